"""HTTP/1.1 messages of the stand-ins, over asyncio streams."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

CRLF = b'\r\n'
HEAD_END = b'\r\n\r\n'
HEXADECIMAL = 16


@dataclass(frozen=True, slots=True)
class Message:
    """A request or a response.

    Args:
        start: Its first line.
        headers: Its headers, with names in lower case.
        body: Its body; for a broken message, what came of it.
        is_whole: Whether the message came to its end.
    """

    start: str
    headers: Mapping[str, str]
    body: bytes
    is_whole: bool = True

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(' ')[1])


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, Mapping[str, str]]:
    """Return the first line and the headers of the next message.

    Raises:
        EOFError: The connection ended before.
        OSError: The connection broke.
    """
    raw = await reader.readuntil(HEAD_END)
    start, *lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.lower()] = text.strip()
    return start, headers


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message with its body.

    Raises:
        EOFError: The connection ended before the end of the head.
        OSError: The connection broke.
    """
    start, headers = await read_head(reader)
    body = bytearray()
    try:
        await _read_body(reader, headers, body)
    except (EOFError, OSError):
        return Message(start, headers, bytes(body), is_whole=False)
    return Message(start, headers, bytes(body))


async def _read_body(
    reader: asyncio.StreamReader,
    headers: Mapping[str, str],
    body: bytearray,
) -> None:
    if headers.get('transfer-encoding') == 'chunked':
        size = 1
        while size:
            size = int(await reader.readuntil(CRLF), HEXADECIMAL)
            await _read_into(reader, size, body)
            await reader.readexactly(len(CRLF))
        return
    await _read_into(reader, int(headers.get('content-length', '0')), body)


async def _read_into(
    reader: asyncio.StreamReader, size: int, body: bytearray
) -> None:
    left = size
    while left:
        chunk = await reader.read(left)
        if not chunk:
            raise EOFError('cut short')
        body += chunk
        left -= len(chunk)


def encode(start: str, headers: Mapping[str, str], body: bytes = b'') -> bytes:
    """Return a message with its length."""
    lines = [start]
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body
