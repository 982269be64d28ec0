"""Stand-in for the platform's store: the keyed log over HTTP."""

import asyncio
import base64
import json
import struct
from dataclasses import replace
from enum import Enum
from urllib.parse import parse_qs, urlsplit

from filbertdrift.errors import LogGap, LogUnavailable
from filbertdrift.keyedlog import KeyedRecord, LogCopy, MemoryKeyedLog
from filbertdrift.listener import HttpListener, HttpResponse

CONFIG_STREAM = 'keyed.op'
CONFIG_KEY = 'config'
PAGE_HEADER = struct.Struct('>QQ')
LENGTH_PREFIX = struct.Struct('>I')
OCTET_STREAM = b'application/octet-stream'
ERA_HEADER = b'Store-Era'
# Items in one response of log-newest.
PAGE_ITEMS = 100
# Longer than a client waits.
SILENCE_S = 3600.0


class Absence(Enum):
    """What calls observe while the store is away."""

    # Calls fail with status 503 and have no effect.
    REFUSING = 'refusing'
    # Connections are reset, and none is accepted.
    RESET = 'reset'
    # Calls in progress and new ones get no response, also later.
    SILENT = 'silent'


class PlatformStore:
    """A server of a keyed log with the platform's documented HTTP API.

    Args:
        address: Host and port to listen on.

    Attributes:
        is_down: Whether every call fails with status 503 and has no effect.
        drops_responses: Whether appends succeed but get no response.
        delay_s: Time that each call takes.
        page_items: Largest number of items in a response of log-newest.
        calls: Number of calls received.
    """

    def __init__(self, address: str) -> None:
        self.log = MemoryKeyedLog()
        self.is_down = False
        self.drops_responses = False
        self.delay_s = 0.004
        self.page_items = PAGE_ITEMS
        self.calls = 0
        self._is_silent = False
        self._silences = 0
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

    async def drill(
        self, copy: LogCopy, absence: Absence, away_s: float
    ) -> None:
        """Be away, then come back from a copy.

        Args:
            copy: The copy to come back from.
            absence: What calls observe meanwhile.
            away_s: How long the store is away.
        """
        if absence is Absence.RESET:
            self._listener.close()
        elif absence is Absence.SILENT:
            self._is_silent = True
            self._silences += 1
        else:
            self.is_down = True
        await asyncio.sleep(away_s)
        await restore_log(self.log, copy)
        self.is_down = False
        self._is_silent = False
        if absence is Absence.RESET:
            await self._listener.start()

    async def _serve(self, method: str, path: str, body: bytes) -> HttpResponse:
        self.calls += 1
        silences = self._silences
        await asyncio.sleep(self.delay_s)
        if self._is_silent:
            await asyncio.sleep(SILENCE_S)
        try:
            reply = await self._handle(method, path, body)
        except LogUnavailable:
            reply = HttpResponse(503)
        if silences != self._silences:
            await asyncio.sleep(SILENCE_S)
        return replace(reply, headers=((ERA_HEADER, b'%d' % self.log.era),))

    async def _handle(
        self, method: str, path: str, body: bytes
    ) -> HttpResponse:
        if self.is_down:
            return HttpResponse(503)
        url = urlsplit(path)
        query = {
            name: values[0] for name, values in parse_qs(url.query).items()
        }
        if url.path == '/log-newest':
            return await self._newest(query['topic'], query.get('after', ''))
        if url.path == '/log-read':
            return await self._read(query)
        if url.path == '/log-append' and method == 'POST':
            return await self._append(query, body)
        return HttpResponse(404)

    async def _newest(self, topic: str, after: str) -> HttpResponse:
        """Return the newest record of each key after a key, in their order."""
        page = await self.log.newest(topic)
        records = sorted(
            (record for record in page.records if record.key > after),
            key=lambda record: record.key,
        )
        items = [
            {
                'key': record.key,
                'value': base64.b64encode(record.payload).decode(),
                'offset': self.log.newest_offset(topic, record.key),
            }
            for record in records[: self.page_items]
        ]
        newest = {
            'items': items,
            'has_more': len(items) < len(records),
            'end': page.next_offset,
        }
        return HttpResponse(200, json.dumps(newest).encode())

    async def _read(self, query: dict[str, str]) -> HttpResponse:
        topic = query['topic']
        wait_s = int(query.get('wait_ms', '0')) / 1000
        try:
            page = await self.log.read(topic, int(query['from']), wait_s)
        except LogGap:
            first, _ = self.log.bounds(topic)
            return HttpResponse(410, json.dumps({'first': first}).encode())
        first, end = self.log.bounds(topic)
        raw = b''.join(_encode_record(record) for record in page.records)
        return HttpResponse(
            200, PAGE_HEADER.pack(end, first) + raw, OCTET_STREAM
        )

    async def _append(self, query: dict[str, str], body: bytes) -> HttpResponse:
        topic = query['topic']
        size = LENGTH_PREFIX.unpack_from(body)[0]
        content = body[LENGTH_PREFIX.size : LENGTH_PREFIX.size + size]
        key_end = 1 + content[0]
        key = content[1:key_end].decode()
        record = KeyedRecord(key, content[key_end:])
        if 'at' not in query:
            await self.log.append(topic, record)
        elif not await self.log.append_at(topic, record, int(query['at'])):
            return HttpResponse(412)
        _, end = self.log.bounds(topic)
        if self.drops_responses:
            await asyncio.sleep(SILENCE_S)
        appended = {'offset': end - 1, 'end': end}
        return HttpResponse(200, json.dumps(appended).encode())


async def restore_log(log: MemoryKeyedLog, copy: LogCopy) -> None:
    """Restore a log from a copy; the operator writes again what is lost.

    Args:
        log: The log, which must not be down.
        copy: An earlier copy of it.
    """
    written = await log.newest(CONFIG_STREAM)
    log.restore(copy)
    kept = await log.newest(CONFIG_STREAM)
    keys = {record.key for record in written.records}
    deleted = [
        KeyedRecord(record.key, b'')
        for record in kept.records
        if record.key not in keys
    ]
    for record in (*written.records, *deleted):
        if record not in kept.records:
            await log.append(CONFIG_STREAM, record)


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.payload
    return LENGTH_PREFIX.pack(len(content)) + content
