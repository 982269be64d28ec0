"""The platform's store: the calls of its log that nodes make."""

import asyncio
import base64
import json
import struct
from collections.abc import Mapping
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

from review.standins.message import BrokenOff, Message, read_message

MS_PER_S = 1000
BYTES_PER_KB = 1024
DEFAULT_READ_KB = 1024
APPEND_S = 0.004
PAGE_ITEMS = 500
OPERATOR_TOPIC = 'keyed.op'
CONFIG_KEY = 'config'

_BOUNDS = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')

Query = Mapping[str, str]


@dataclass
class _Topic:
    """One topic with one partition; all records are kept."""

    contents: list[bytes] = field(default_factory=list)
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, content: bytes) -> None:
        """Append a record and wake the reads that wait for it."""
        self.contents.append(content)
        self.appended.set()
        self.appended = asyncio.Event()

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of the newest record of each key."""
        found: dict[str, tuple[int, bytes]] = {}
        for offset, content in enumerate(self.contents):
            key_end = 1 + content[0]
            key = content[1:key_end].decode()
            found.pop(key, None)
            if content[key_end:]:
                found[key] = (offset, content[key_end:])
        return dict(sorted(found.items()))


class Store:
    """A server of the platform's log.

    Args:
        address: Host and port to listen on.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Start empty; nothing listens yet."""
        self._address = address
        self._topics: dict[str, _Topic] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self._address)

    def close(self) -> None:
        """Stop listening."""
        if self._server:
            self._server.close()

    def publish(self, document: Mapping[str, object]) -> None:
        """Write a configuration as the operator does."""
        key = CONFIG_KEY.encode()
        raw = json.dumps(document).encode()
        self._topic(OPERATOR_TOPIC).append(bytes((len(key),)) + key + raw)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while call := await read_message(reader):
                writer.write((await self._answer(call)).encode())
                await writer.drain()
        except (BrokenOff, OSError):
            writer.transport.abort()
        finally:
            writer.close()

    async def _answer(self, call: Message) -> Message:
        url = urlsplit(call.words[1])
        query = dict(parse_qsl(url.query))
        topic = self._topic(query['topic'])
        if url.path == '/log-append':
            await asyncio.sleep(APPEND_S)
            return _append(topic, query, call.body)
        if url.path == '/log-newest':
            return _newest(topic, query.get('after', ''))
        return await _read(topic, query)

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())


def _append(topic: _Topic, query: Query, body: bytes) -> Message:
    end = len(topic.contents)
    if query.get('at', str(end)) != str(end):
        return _json_answer('412 Precondition Failed', {'end': end})
    start = 0
    while start < len(body):
        size = _LENGTH.unpack_from(body, start)[0]
        start += _LENGTH.size
        topic.append(body[start : start + size])
        start += size
    return _json_answer('200 OK', {'offset': end, 'end': len(topic.contents)})


def _newest(topic: _Topic, after: str) -> Message:
    found = [each for each in topic.newest().items() if each[0] > after]
    listed = [
        {
            'key': key,
            'value': base64.b64encode(payload).decode(),
            'offset': offset,
        }
        for key, (offset, payload) in found[:PAGE_ITEMS]
    ]
    page = {
        'items': listed,
        'has_more': len(found) > len(listed),
        'end': len(topic.contents),
    }
    return _json_answer('200 OK', page)


async def _read(topic: _Topic, query: Query) -> Message:
    start = int(query['from'])
    if start >= len(topic.contents):
        wait_s = int(query.get('wait_ms', 0)) / MS_PER_S
        try:
            async with asyncio.timeout(wait_s):
                await topic.appended.wait()
        except TimeoutError:
            return Message('HTTP/1.1 200 OK', body=_page(topic, []))
    limit_bytes = int(query.get('max_kb', DEFAULT_READ_KB)) * BYTES_PER_KB
    found: list[bytes] = []
    for content in topic.contents[start:]:
        if found and sum(map(len, found)) + len(content) > limit_bytes:
            break
        found.append(content)
    return Message('HTTP/1.1 200 OK', body=_page(topic, found))


def _page(topic: _Topic, contents: list[bytes]) -> bytes:
    records = [_LENGTH.pack(len(each)) + each for each in contents]
    return _BOUNDS.pack(len(topic.contents), 0) + b''.join(records)


def _json_answer(status: str, content: object) -> Message:
    headers = {'content-type': 'application/json'}
    return Message(f'HTTP/1.1 {status}', headers, json.dumps(content).encode())
