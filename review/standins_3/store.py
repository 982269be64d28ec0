"""The platform's store: the keyed topics of its log."""

import asyncio
import base64
import contextlib
import json
import struct
from collections.abc import Mapping
from urllib.parse import parse_qs, urlsplit

from review.standins_3.http import encode, read_message

OPERATOR_TOPIC = 'keyed.op'
STATUS_TOPIC = 'keyed.status'
ANSWER_S = 0.004
LENGTH = struct.Struct('>I')
BOUNDS = struct.Struct('>QQ')

Reply = tuple[int, bytes]


class Topic:
    """The one partition of a keyed topic."""

    def __init__(self) -> None:
        """Create the empty partition."""
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()

    def append(self, record: bytes) -> None:
        """Append one record: length of the key, key, value."""
        value_at = 1 + record[0]
        key = record[1:value_at].decode()
        self.newest.pop(key, None)
        if record[value_at:]:
            self.newest[key] = (len(self.records), record[value_at:])
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """A store that keeps all that it has acknowledged.

    Args:
        host: The loopback address that it listens on.
        port: The port.

    Attributes:
        is_down: Whether it responds to every call with 503.
    """

    def __init__(self, host: str, port: int) -> None:
        """Create the empty store."""
        self.address = f'{host}:{port}'
        self.is_down = False
        self._host = host
        self._port = port
        self._topics: dict[str, Topic] = {}

    async def start(self) -> None:
        """Listen.

        Raises:
            OSError: The address is in use.
        """
        await asyncio.start_server(self._serve, self._host, self._port)

    def write(self, key: str, document: Mapping[str, object]) -> None:
        """Write a record of the operator; the store has acknowledged it."""
        name = key.encode()
        record = bytes((len(name),)) + name + json.dumps(document).encode()
        self._topic(OPERATOR_TOPIC).append(record)

    def read_status(self, key: str) -> dict[str, str]:
        """Return the newest status record of a key, empty if there is none."""
        found = self._topic(STATUS_TOPIC).newest.get(key)
        return json.loads(found[1]) if found else {}

    def _topic(self, name: str) -> Topic:
        return self._topics.setdefault(name, Topic())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(EOFError, OSError, asyncio.CancelledError):
            while True:
                req = await read_message(reader)
                status, body = await self._answer(req.start, req.body)
                writer.write(encode(f'HTTP/1.1 {status} Status', {}, body))
                await writer.drain()
        writer.close()

    async def _answer(self, start: str, body: bytes) -> Reply:
        url = urlsplit(start.split(' ')[1])
        query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
        topic = self._topic(query.get('topic', ''))
        await asyncio.sleep(ANSWER_S)
        if self.is_down:
            return 503, b''
        if url.path == '/log-append':
            return _append(topic, query, body)
        if url.path == '/log-newest':
            return _list_newest(topic)
        if url.path == '/log-read':
            return await _read(topic, query)
        return 404, b''


def _append(topic: Topic, query: Mapping[str, str], body: bytes) -> Reply:
    offset = len(topic.records)
    if int(query.get('at', offset)) != offset:
        return 412, json.dumps({'end': offset}).encode()
    start = 0
    while start < len(body):
        size = LENGTH.unpack_from(body, start)[0]
        start += LENGTH.size
        topic.append(body[start : start + size])
        start += size
    appended = {'offset': offset, 'end': len(topic.records)}
    return 200, json.dumps(appended).encode()


def _list_newest(topic: Topic) -> Reply:
    found = [
        {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'offset': offset,
        }
        for key, (offset, value) in topic.newest.items()
    ]
    page = {'items': found, 'has_more': False, 'end': len(topic.records)}
    return 200, json.dumps(page).encode()


async def _read(topic: Topic, query: Mapping[str, str]) -> Reply:
    start = int(query['from'])
    if start >= len(topic.records):
        wait_s = int(query.get('wait_ms', '0')) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await topic.changed.wait()
    raw = b''.join(
        LENGTH.pack(len(record)) + record for record in topic.records[start:]
    )
    return 200, BOUNDS.pack(len(topic.records), 0) + raw
