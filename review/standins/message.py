"""HTTP/1.1 messages with small bodies, read whole from asyncio streams."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

HEAD_END = b'\r\n\r\n'
HEX = 16


class BrokenOff(Exception):
    """A connection ended within a message."""


@dataclass(frozen=True)
class Message:
    """A request or a response.

    Args:
        start: The start line.
        headers: Header fields, names in lower case.
        body: The whole body.
    """

    start: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''

    @property
    def words(self) -> list[str]:
        """Return the words of the start line."""
        return self.start.split(' ')

    @property
    def keeps_open(self) -> bool:
        """Return whether the connection may carry another request."""
        return self.headers.get('connection', '').lower() != 'close'

    def encode(self) -> bytes:
        """Return the message in wire format, with its length."""
        fields = dict(self.headers)
        fields['content-length'] = str(len(self.body))
        lines = [f'{name}: {text}' for name, text in fields.items()]
        head = '\r\n'.join((self.start, *lines)).encode('latin-1')
        return head + HEAD_END + self.body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, None if the connection ended before it.

    Raises:
        BrokenOff: The connection ended within the message.
    """
    try:
        head = await reader.readuntil(HEAD_END)
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise BrokenOff from exc
        return None
    except OSError:
        return None
    start, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    try:
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, OSError) as exc:
        raise BrokenOff from exc
    return Message(start, headers, body)


async def _read_body(
    reader: asyncio.StreamReader, headers: Mapping[str, str]
) -> bytes:
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    chunks = []
    while True:
        size_line = await reader.readuntil(b'\n')
        size = int(size_line.partition(b';')[0], HEX)
        chunk = await reader.readexactly(size)
        await reader.readuntil(b'\n')
        if not size:
            return b''.join(chunks)
        chunks.append(chunk)
