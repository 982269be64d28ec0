"""Stand-in for the platform's store: the keyed log over HTTP."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from filbertdrift.errors import LogGap
from filbertdrift.keyedlog import KeyedRecord, MemoryKeyedLog
from filbertdrift.listener import HttpListener, HttpResponse

CONFIG_STREAM = 'keyed.op'
CONFIG_KEY = 'config'
PAGE_HEADER = struct.Struct('>QQ')
LENGTH_PREFIX = struct.Struct('>I')
OCTET_STREAM = b'application/octet-stream'


class PlatformStore:
    """A server of a keyed log with the platform's documented HTTP API.

    Args:
        address: Host and port to listen on.

    Attributes:
        is_down: Whether every call fails with status 503 and has no effect.
        drops_responses: Whether appends succeed but get no response.
        delay_s: Time that each call takes.
        calls: Number of calls received.
    """

    def __init__(self, address: str) -> None:
        self.log = MemoryKeyedLog()
        self.is_down = False
        self.drops_responses = False
        self.delay_s = 0.004
        self.calls = 0
        self._listener = HttpListener(address, self._serve)

    async def start(self) -> None:
        """Start listening."""
        await self._listener.start()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    async def publish(self, document: dict[str, object]) -> None:
        """Append a configuration to the operator's stream."""
        raw = json.dumps(document).encode()
        await self.log.append(CONFIG_STREAM, KeyedRecord(CONFIG_KEY, raw))

    async def _serve(self, method: str, path: str, body: bytes) -> HttpResponse:
        self.calls += 1
        await asyncio.sleep(self.delay_s)
        if self.is_down:
            return HttpResponse(503)
        url = urlsplit(path)
        query = {
            name: values[0] for name, values in parse_qs(url.query).items()
        }
        if url.path == '/log-newest':
            return await self._newest(query['topic'])
        if url.path == '/log-read':
            return await self._read(query)
        if url.path == '/log-append' and method == 'POST':
            return await self._append(query['topic'], body)
        return HttpResponse(404)

    async def _newest(self, topic: str) -> HttpResponse:
        page = await self.log.newest(topic)
        items = [
            {
                'key': record.key,
                'value': base64.b64encode(record.payload).decode(),
                'offset': 0,
            }
            for record in page.records
        ]
        newest = {'items': items, 'has_more': False, 'end': page.next_offset}
        return HttpResponse(200, json.dumps(newest).encode())

    async def _read(self, query: dict[str, str]) -> HttpResponse:
        wait_s = int(query.get('wait_ms', '0')) / 1000
        try:
            page = await self.log.read(
                query['topic'],
                int(query['from']),
                wait_s,
            )
        except LogGap:
            return HttpResponse(410, b'{"first":0}')
        raw = b''.join(_encode_record(record) for record in page.records)
        return HttpResponse(
            200, PAGE_HEADER.pack(page.next_offset, 0) + raw, OCTET_STREAM
        )

    async def _append(self, topic: str, body: bytes) -> HttpResponse:
        size = LENGTH_PREFIX.unpack_from(body)[0]
        content = body[LENGTH_PREFIX.size : LENGTH_PREFIX.size + size]
        key_end = 1 + content[0]
        key = content[1:key_end].decode()
        await self.log.append(topic, KeyedRecord(key, content[key_end:]))
        if self.drops_responses:
            await asyncio.sleep(3600)
        return HttpResponse(200, b'{"offset":0,"end":1}')


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.payload
    return LENGTH_PREFIX.pack(len(content)) + content
