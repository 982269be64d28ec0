"""A client of the log calls of the platform's metadata store, over HTTP/1.1.

On the wire a stream is a topic with one partition.
"""

import asyncio
import base64
import contextlib
import json
import socket
import struct
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from filbertdrift import http1
from filbertdrift.document_delta import MAX_DOCUMENT_BYTES
from filbertdrift.errors import (
    LogAnswerLost,
    LogGap,
    LogUnavailable,
    MalformedMessage,
    PeerUnavailable,
)
from filbertdrift.keyedlog import (
    MAX_READ_BYTES,
    NO_ERA,
    NO_OFFSET,
    KeyedLog,
    KeyedPage,
    KeyedRecord,
)
from filbertdrift.network import split_address
from filbertdrift.responsestream import ResponseProtocol, ResponseStream

CONNECT_TIMEOUT_S = 1.0
# Limit on the wait for the first byte of a response, beyond the requested wait.
# It doubles with each consecutive timeout, so that a slow store gets through.
RESPONSE_TIMEOUT_S = 0.8
MAX_RESPONSE_TIMEOUT_S = 2.0
# Limits from the first byte on: on the time between two parts, and in total.
SILENCE_TIMEOUT_S = 1.0
TRANSFER_TIMEOUT_S = 10.0
# The kernel probes a connection without traffic, and closes one whose peer has
# acknowledged nothing for the user timeout.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 2000
MAX_IDLE_CONNECTIONS = 2
BYTES_PER_KB = 1024
# Limits on the size of a response. A read may exceed its maximum by one record,
# and base64 turns 3 bytes into 4. The overhead is the head, the sizes of chunks
# and the syntax of JSON.
MAX_OVERHEAD_BYTES = 1_048_576
MAX_READ_RESPONSE_BYTES = (
    MAX_READ_BYTES + MAX_DOCUMENT_BYTES + MAX_OVERHEAD_BYTES
)
MAX_NEWEST_RESPONSE_BYTES = MAX_DOCUMENT_BYTES // 3 * 4 + MAX_OVERHEAD_BYTES
MAX_APPEND_RESPONSE_BYTES = MAX_OVERHEAD_BYTES
# The pages of one call to newest together have the size limit of one response.
MAX_NEWEST_PAGES = 1000
# A connection that was idle for longer may have been dropped silently.
MAX_IDLE_REUSE_S = 5.0

STATUS_OK = 200
STATUS_GONE = 410
STATUS_PRECONDITION_FAILED = 412
# After one of these statuses an append may have been applied.
STATUSES_OUTCOME_UNKNOWN = frozenset((500, 502, 504))

_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
)

# What decoding bytes that are not a page raises.
_PARSE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    OverflowError,
    RecursionError,
    struct.error,
)

_PARTITION = '0'
_ERA_HEADER = b'store-era'
_MAX_ERA_DIGITS = 18
_BOUNDS = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')


@dataclass(frozen=True, slots=True)
class _StoreReply:
    status: int
    body: bytes
    era: int
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class _NewestPage:
    records: list[KeyedRecord]
    end: int
    has_more: bool
    era: int
    size_bytes: int


class _ResponseTimeout(PeerUnavailable):
    """No byte of a response arrived in time."""


class _TransferTimeout(PeerUnavailable):
    """A message stopped on its way or took too long."""


class _LimitedStream(ResponseStream):
    """The receiving half of a connection, with limits for each response.

    Args:
        peer: The address of the store.
    """

    def __init__(self, peer: str) -> None:
        """Create a stream that expects no response yet."""
        super().__init__(http1.READ_BYTES)
        self._peer = peer
        # When the next bytes are due, and the end of the response.
        self._due_at = asyncio.get_running_loop().time()
        self._end_at: float | None = None
        self._bytes_left = 0

    def expect_response(self, due_at: float, max_bytes: int) -> None:
        """Set the limits of the next response.

        Args:
            due_at: When its first byte is due.
            max_bytes: Limit on its size, head included.
        """
        self._due_at = due_at
        self._end_at = None
        self._bytes_left = max_bytes

    async def read(self, size: int = -1) -> bytes:
        """Read up to a number of bytes within the limits.

        Args:
            size: The maximum.

        Returns:
            The bytes; none at the end of the stream.

        Raises:
            PeerUnavailable: They did not arrive in time.
            MalformedMessage: The response is over the limit on its size.
            OSError: The connection broke.
        """
        try:
            async with asyncio.timeout_at(self._due_at) as limit:
                raw = await super().read(size)
        except TimeoutError as exc:
            # TCP reports a dead connection by the same error.
            if limit.expired():
                raise self._build_timeout() from exc
            raise
        now = asyncio.get_running_loop().time()
        if self._end_at is None:
            self._end_at = now + TRANSFER_TIMEOUT_S
        self._due_at = min(now + SILENCE_TIMEOUT_S, self._end_at)
        self._bytes_left -= len(raw)
        if self._bytes_left < 0:
            raise MalformedMessage(
                'the response is too large',
                step='read',
                peer=self._peer,
            )
        return raw

    def _build_timeout(self) -> PeerUnavailable:
        if self._end_at is None:
            return _ResponseTimeout(
                'no response in time',
                step='read',
                peer=self._peer,
            )
        is_silent = self._due_at < self._end_at
        return _TransferTimeout(
            'the response stopped' if is_silent else 'the response is too slow',
            step='read',
            peer=self._peer,
        )


class _StoreConnection:
    """A persistent connection to the store that runs one call at a time."""

    def __init__(
        self,
        reader: _LimitedStream,
        writer: asyncio.StreamWriter,
        peer: str,
    ) -> None:
        """Wrap the streams of an open connection."""
        self.reuse_until = 0.0
        self._peer = peer
        self._writer = writer
        self._reader = reader
        self._responses = http1.ResponseReader(reader, peer)

    def is_usable(self, now: float) -> bool:
        """Return whether the connection can be used for another call."""
        is_open = not self._reader.at_eof() and not self._writer.is_closing()
        # Bytes after a response would be taken for the next one.
        is_clean = (
            self._responses.is_between_messages()
            and not self._reader.unread_bytes
        )
        return is_open and is_clean and now < self.reuse_until

    async def call(
        self,
        raw: bytes,
        timeout_s: float,
        max_bytes: int,
    ) -> _StoreReply:
        """Send one request and read its reply.

        Args:
            raw: The request.
            timeout_s: Limit on the wait for the first byte of the response.
            max_bytes: Limit on the size of the response.

        Raises:
            PeerUnavailable: The connection broke, or a limit has passed.
            MalformedMessage: The response is not HTTP or too large.
            OSError: The connection broke.
        """
        await self._send(raw)
        now = asyncio.get_running_loop().time()
        self._reader.expect_response(now + timeout_s, max_bytes)
        head = await self._responses.head()
        body = bytearray()
        end = False
        while not end:
            part = await self._responses.part()
            body += part.chunk
            end = part.end
        return _StoreReply(
            head.status,
            bytes(body),
            _parse_era(head.headers),
            head.keep_alive,
        )

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()

    async def _send(self, raw: bytes) -> None:
        self._writer.write(raw)
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                await self._writer.drain()
        except TimeoutError as exc:
            raise _TransferTimeout(
                'the request was not sent in time',
                step='send',
                peer=self._peer,
            ) from exc


class StoreLog(KeyedLog):
    """Keyed streams on the metadata store.

    Args:
        address: The store's address.
    """

    def __init__(self, address: str) -> None:
        """Create the client without connections."""
        super().__init__()
        self._address = address
        self._idle: deque[_StoreConnection] = deque()
        # The limits of the steps whose last call timed out.
        self._response_timeouts_s: dict[str, float] = {}

    async def newest(self, stream: str) -> KeyedPage:
        """Return the newest record of each key."""
        pages: list[_NewestPage] = []
        query = {'topic': stream, 'part': _PARTITION}
        has_more = True
        while has_more:
            page = await self._read_newest(query)
            pages.append(page)
            has_more = page.has_more and bool(page.records)
            if has_more:
                query['after'] = page.records[-1].key
            reason = _find_paging_fault(pages)
            if reason:
                raise self._build_error(reason, 'log-newest')
        records = [record for page in pages for record in page.records]
        # Records may have been appended between the pages; reading from the end
        # of the first page on finds them.
        return KeyedPage(records, pages[0].end, era=pages[0].era)

    async def read(
        self,
        stream: str,
        offset: int,
        wait_s: float,
    ) -> KeyedPage:
        """Read records from an offset on."""
        query = {
            'topic': stream,
            'part': _PARTITION,
            'from': str(offset),
            'wait_ms': str(int(wait_s * 1000)),
            'max_kb': str(MAX_READ_BYTES // BYTES_PER_KB),
        }
        reply = await self._call(
            'GET',
            '/log-read',
            query,
            wait_s=wait_s,
            max_bytes=MAX_READ_RESPONSE_BYTES,
        )
        if reply.status == STATUS_GONE:
            raise LogGap(
                'no records at the offset',
                step=f'read {stream}',
                peer=self._address,
            )
        self._check_status(reply, 'log-read')
        return self._parse_page(reply, offset)

    async def append(self, stream: str, record: KeyedRecord) -> None:
        """Append one record."""
        query = {'topic': stream, 'part': _PARTITION}
        reply = await self._append(query, record)
        self._check_status(reply, 'log-append')

    async def append_at(
        self, stream: str, record: KeyedRecord, offset: int
    ) -> bool:
        """Append one record if the stream ends at an offset."""
        query = {'topic': stream, 'part': _PARTITION, 'at': str(offset)}
        reply = await self._append(query, record)
        if reply.status == STATUS_PRECONDITION_FAILED:
            return False
        self._check_status(reply, 'log-append')
        return True

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _append(
        self, query: dict[str, str], record: KeyedRecord
    ) -> _StoreReply:
        key = record.key.encode()
        content = bytes((len(key),)) + key + record.payload
        raw = _LENGTH.pack(len(content)) + content
        self.counters.bytes_written += len(raw)
        return await self._call('POST', '/log-append', query, raw)

    async def _read_newest(self, query: dict[str, str]) -> _NewestPage:
        reply = await self._call(
            'GET',
            '/log-newest',
            query,
            max_bytes=MAX_NEWEST_RESPONSE_BYTES,
        )
        self._check_status(reply, 'log-newest')
        try:
            return _parse_newest(reply)
        except _PARSE_ERRORS as exc:
            reason = f'not a page: {exc!r}'
            raise self._build_error(reason, 'log-newest') from exc

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes = b'',
        wait_s: float = 0,
        max_bytes: int = MAX_APPEND_RESPONSE_BYTES,
    ) -> _StoreReply:
        self.counters.calls += 1
        target = f'{path}?{urlencode(query)}'
        headers = [
            (b'host', self._address.encode()),
            (b'content-length', b'%d' % len(body)),
        ]
        raw = http1.encode_request_head(method, target, headers) + body
        step = path.strip('/')
        conn = await self._acquire_connection(step)
        timeout_s = self._response_timeouts_s.get(step, RESPONSE_TIMEOUT_S)
        try:
            reply = await conn.call(raw, wait_s + timeout_s, max_bytes)
        except (PeerUnavailable, MalformedMessage, OSError) as exc:
            conn.close()
            self.counters.failures += 1
            # The cause may be the network, which the idle ones share.
            await self.close()
            if isinstance(exc, _ResponseTimeout):
                self._response_timeouts_s[step] = min(
                    timeout_s * 2,
                    MAX_RESPONSE_TIMEOUT_S,
                )
            raise LogAnswerLost(
                repr(exc),
                step=step,
                peer=self._address,
            ) from exc
        except BaseException:
            conn.close()
            raise
        self._response_timeouts_s.pop(step, None)
        self.counters.bytes_read += len(reply.body)
        self._release(conn, keep_alive=reply.keep_alive)
        if reply.era != NO_ERA:
            self.on_era(reply.era)
        return reply

    async def _acquire_connection(self, step: str) -> _StoreConnection:
        now = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            if conn.is_usable(now):
                return conn
            conn.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await _connect(self._address)
        except (OSError, TimeoutError) as exc:
            self.counters.failures += 1
            raise LogUnavailable(
                repr(exc),
                step=step,
                peer=self._address,
            ) from exc

    def _release(self, conn: _StoreConnection, *, keep_alive: bool) -> None:
        if not keep_alive or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            conn.close()
            return
        conn.reuse_until = asyncio.get_running_loop().time() + MAX_IDLE_REUSE_S
        self._idle.append(conn)

    def _check_status(self, reply: _StoreReply, step: str) -> None:
        if reply.status == STATUS_OK:
            return
        self.counters.failures += 1
        reason = f'status {reply.status}'
        lost = reply.status in STATUSES_OUTCOME_UNKNOWN
        kind = LogAnswerLost if lost else LogUnavailable
        raise kind(reason, step=step, peer=self._address)

    def _build_error(self, reason: str, step: str) -> LogUnavailable:
        """Count a malformed reply and return its error."""
        self.counters.failures += 1
        return LogUnavailable(reason, step=step, peer=self._address)

    def _parse_page(self, reply: _StoreReply, offset: int) -> KeyedPage:
        """Decode a page: the bounds of the partition, then records."""
        raw = reply.body
        try:
            end, _ = _BOUNDS.unpack_from(raw)
            records = _parse_records(memoryview(raw)[_BOUNDS.size :], offset)
        except _PARSE_ERRORS as exc:
            reason = f'not records: {exc!r}'
            raise self._build_error(reason, 'log-read') from exc
        # A read may return only some of the records up to the end.
        next_offset = min(offset + len(records), end) if records else end
        has_more = next_offset < end
        return KeyedPage(records, next_offset, has_more, reply.era)


async def _connect(address: str) -> _StoreConnection:
    loop = asyncio.get_running_loop()
    reader = _LimitedStream(address)
    protocol = ResponseProtocol(reader)
    transport, _ = await loop.create_connection(
        lambda: protocol,
        *split_address(address),
    )
    sock = transport.get_extra_info('socket')
    for option in _SOCKET_OPTIONS:
        with contextlib.suppress(OSError):
            sock.setsockopt(*option)
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    return _StoreConnection(reader, writer, address)


def _parse_era(headers: http1.Headers) -> int:
    text = http1.find_header(headers, _ERA_HEADER).strip()
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > _MAX_ERA_DIGITS:
        return NO_ERA
    return int(text)


def _parse_records(raw: memoryview, offset: int) -> list[KeyedRecord]:
    found: list[KeyedRecord] = []
    start = 0
    while start < len(raw):
        size = _LENGTH.unpack_from(raw, start)[0]
        start += _LENGTH.size
        content = bytes(raw[start : start + size])
        if len(content) != size:
            raise ValueError('a record is cut short')
        found.append(_parse_record(content, offset + len(found)))
        start += size
    return found


def _parse_record(content: bytes, offset: int) -> KeyedRecord:
    """Decode one record: length of the key in one byte, key, payload."""
    key_end = 1 + content[0]
    if len(content) < key_end:
        raise ValueError('a key is cut short')
    key = content[1:key_end].decode('utf-8', 'replace')
    return KeyedRecord(key, content[key_end:], offset)


def _find_paging_fault(pages: Sequence[_NewestPage]) -> str:
    """Return what is wrong with the pages of one call, empty if nothing."""
    if pages[-1].era != pages[0].era:
        return 'the era changed between pages'
    last_keys = [page.records[-1].key for page in pages if page.records]
    if pages[-1].has_more and len(set(last_keys)) < len(last_keys):
        return 'pages repeat'
    size_bytes = sum(page.size_bytes for page in pages)
    if len(pages) > MAX_NEWEST_PAGES or size_bytes > MAX_NEWEST_RESPONSE_BYTES:
        return 'too many pages'
    return ''


def _parse_newest(reply: _StoreReply) -> _NewestPage:
    """Decode a page of the newest records; any of _PARSE_ERRORS may occur."""
    page = json.loads(reply.body)
    items = page['items']
    end = int(page['end'])
    if not isinstance(items, list) or end < 0:
        raise ValueError('invalid items or end')
    records = [_parse_item(item) for item in items]
    has_more = bool(page['has_more'])
    return _NewestPage(records, end, has_more, reply.era, len(reply.body))


def _parse_item(item: dict[str, Any]) -> KeyedRecord:
    key = str(item['key'])
    # Keys with lone surrogates cannot be sent back in a query.
    key.encode()
    payload = base64.b64decode(item['value'], validate=True)
    return KeyedRecord(key, payload, int(item.get('offset', NO_OFFSET)))
