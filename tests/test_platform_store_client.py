"""The client of the platform's store against scripted servers."""

import asyncio
import base64
import contextlib
import itertools
import json
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

import uvloop
from testtools import TestCase
from testtools.matchers import (
    Equals,
    GreaterThan,
    HasLength,
    Is,
    LessThan,
    MatchesAll,
    StartsWith,
)
from testtools.testcase import ExpectedException

from filbertdrift.document_delta import MAX_DOCUMENT_BYTES
from filbertdrift.errors import LogAnswerLost, LogGap, LogUnavailable
from filbertdrift.keyedlog import NO_ERA, KeyedRecord
from filbertdrift.platform import store as store_module
from filbertdrift.platform.store import StoreLog

STREAM = 'keyed.op'
BOUNDS = struct.Struct('>QQ')

Respond = Callable[['ScriptedStore', asyncio.StreamWriter], Awaitable[None]]


def response(body: bytes, *headers: str, status: int = 200) -> bytes:
    """Return a response with a stated length."""
    lines = [f'HTTP/1.1 {status} X', f'content-length: {len(body)}', *headers]
    return '\r\n'.join([*lines, '', '']).encode() + body


def newest_body(*records: tuple[str, bytes], **fields: object) -> bytes:
    """Return the body of a page of the newest records."""
    items = [
        {'key': key, 'value': base64.b64encode(payload).decode()}
        for key, payload in records
    ]
    page = {'items': items, 'has_more': False, 'end': 7, **fields}
    return json.dumps(page).encode()


def play(*responses: bytes) -> Respond:
    """Reply to each request with the next of some responses."""
    remaining = list(responses)

    async def respond(
        store: ScriptedStore, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(remaining.pop(0))
        await writer.drain()

    return respond


def repeat(*parts: bytes, interval_s: float, count: int | None) -> Respond:
    """Send the first part, then the last one again and again.

    Args:
        parts: The bytes to send.
        interval_s: Time before each repetition.
        count: How many repetitions; None for no end.
    """

    async def respond(
        store: ScriptedStore, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(parts[0])
        numbers = itertools.count() if count is None else range(count)
        for _ in numbers:
            await asyncio.sleep(interval_s)
            writer.write(parts[-1])
            await writer.drain()

    return respond


class ScriptedStore:
    """Replies to the requests of each connection by a function.

    Args:
        respond: Called with this server and the stream for each request.

    Attributes:
        connections: How many connections were accepted.
        requests: The heads of the requests.
    """

    def __init__(self, respond: Respond) -> None:
        self.connections = 0
        self.requests: list[bytes] = []
        self.closed = asyncio.Event()
        self._respond = respond

    async def wait_for_requests(self, count: int) -> None:
        """Wait until a number of requests has arrived."""
        while len(self.requests) < count:
            await asyncio.sleep(0.005)

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection until it ends."""
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                self.requests.append(await reader.readuntil(b'\r\n\r\n'))
                await self._respond(self, writer)
        self.closed.set()
        writer.close()


@contextlib.asynccontextmanager
async def scripted(
    respond: Respond,
) -> AsyncIterator[tuple[ScriptedStore, StoreLog]]:
    """Run a scripted store and a client of it."""
    store = ScriptedStore(respond)
    server = await asyncio.start_server(store.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    log = StoreLog(f'127.0.0.1:{port}')
    try:
        yield store, log
    finally:
        await log.close()
        server.close()


class StoreClientTest(TestCase):
    """Base of the tests, with limits that can be replaced."""

    def limit(self, **limits: float) -> None:
        """Replace limits of the client during the test."""
        for name, bound in limits.items():
            self.patch(store_module, name, bound)


class EraTest(TestCase):
    """The era that the store states in each reply."""

    # A holder of offsets missed that the store had come back from a copy.
    def test_pages_carry_the_era(self) -> None:
        async def main() -> None:
            replies = (
                response(newest_body(('a', b'1')), 'Store-Era: 3'),
                response(BOUNDS.pack(7, 0), 'store-era: 4'),
            )
            async with scripted(play(*replies)) as (_, log):
                newest = await log.newest(STREAM)
                page = await log.read(STREAM, 7, 0)
            self.assertThat([newest.era, page.era], Equals([3, 4]))

        uvloop.run(main())

    # Only pages stated the era, so a failed call did not show a new one.
    def test_every_reply_tells_the_era(self) -> None:
        async def main() -> None:
            replies = (
                response(b'', 'Store-Era: 5', status=503),
                response(b'{}', 'Store-Era: 6', status=410),
                response(b'{}', 'Store-Era: 7'),
            )
            eras: list[int] = []
            async with scripted(play(*replies)) as (_, log):
                log.on_era = eras.append
                with ExpectedException(LogUnavailable):
                    await log.newest(STREAM)
                with ExpectedException(LogGap):
                    await log.read(STREAM, 7, 0)
                await log.append(STREAM, KeyedRecord('a', b''))
            self.assertThat(eras, Equals([5, 6, 7]))

        uvloop.run(main())

    # A malformed header must neither fail the call nor pass for an era.
    def test_malformed_eras_are_none(self) -> None:
        async def main() -> None:
            headers = ('', '-1', '1.5', 'x', '1 2', '\xb2', '9' * 5000, '0')
            replies = [response(newest_body())] + [
                response(newest_body(), f'Store-Era: {text}')
                for text in headers
            ]
            told: list[int] = []
            async with scripted(play(*replies)) as (_, log):
                log.on_era = told.append
                eras = [(await log.newest(STREAM)).era for _ in replies]
            self.assertThat(set(eras), Equals({NO_ERA}))
            self.assertThat(told, HasLength(0))

        uvloop.run(main())

    # Offsets and records of two eras were mixed in one result.
    def test_newest_does_not_mix_eras(self) -> None:
        async def main() -> None:
            first = newest_body(('a', b'1'), has_more=True)
            replies = (
                response(first, 'Store-Era: 1'),
                response(newest_body(('b', b'2')), 'Store-Era: 2'),
            )
            async with scripted(play(*replies)) as (_, log):
                with ExpectedException(LogUnavailable, '.*era changed.*'):
                    await log.newest(STREAM)
            self.assertThat(log.counters.failures, Equals(1))

        uvloop.run(main())


class TimeoutTest(StoreClientTest):
    """The time limits of a call."""

    # A large document on a slow link ran out of time at each attempt.
    def test_progress_has_no_short_limit(self) -> None:
        self.limit(RESPONSE_TIMEOUT_S=0.5, SILENCE_TIMEOUT_S=5)
        payload = bytes(1000)
        raw = response(newest_body(('a', payload)))
        cuts = range(0, len(raw), len(raw) // 20)

        async def respond(
            store: ScriptedStore, writer: asyncio.StreamWriter
        ) -> None:
            for cut in cuts:
                writer.write(raw[cut : cut + cuts.step])
                await asyncio.sleep(0.05)

        async def main() -> None:
            async with scripted(respond) as (_, log):
                page = await log.newest(STREAM)
            self.assertThat(page.records, Equals([KeyedRecord('a', payload)]))

        uvloop.run(main())

    # A response cut by a silent connection held its reader for the long poll.
    def test_silence_within_a_response_ends_the_call(self) -> None:
        self.limit(SILENCE_TIMEOUT_S=0.1)
        half = response(BOUNDS.pack(7, 0))[:-8]

        async def main() -> None:
            async with asyncio.timeout(5), scripted(play(half)) as (_, log):
                with ExpectedException(LogAnswerLost, '.*stopped.*'):
                    await log.read(STREAM, 7, 15)

        uvloop.run(main())

    # A call on a silent connection took 2 s, whatever the store's usual time.
    def test_no_response_ends_the_call(self) -> None:
        self.limit(RESPONSE_TIMEOUT_S=0.05)

        async def main() -> None:
            async with asyncio.timeout(1.5), scripted(play(b'')) as (_, log):
                with ExpectedException(LogAnswerLost, '.*no response.*'):
                    await log.newest(STREAM)

        uvloop.run(main())

    # With a fixed limit a store that is slower never got through.
    def test_slow_store_gets_through(self) -> None:
        self.limit(RESPONSE_TIMEOUT_S=0.05, MAX_RESPONSE_TIMEOUT_S=20)
        raw = response(newest_body())

        async def respond(
            store: ScriptedStore, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(0.3)
            writer.write(raw)

        async def main() -> None:
            attempts = []
            async with asyncio.timeout(60), scripted(respond) as (_, log):
                for _ in range(2):
                    before = log.counters.calls
                    while log.counters.calls - before < 12:
                        with contextlib.suppress(LogAnswerLost):
                            await log.newest(STREAM)
                            break
                    attempts.append(log.counters.calls - before)
            # After a success the limit is short again.
            for count in attempts:
                self.assertThat(count, MatchesAll(GreaterThan(1), LessThan(12)))

        uvloop.run(main())

    # Without a maximum each call to a silent store takes twice as long.
    def test_doubled_limit_has_a_maximum(self) -> None:
        self.limit(RESPONSE_TIMEOUT_S=0.01, MAX_RESPONSE_TIMEOUT_S=0.02)

        async def main() -> None:
            silent = play(*[b''] * 14)
            async with asyncio.timeout(10), scripted(silent) as (_, log):
                for _ in range(14):
                    with ExpectedException(LogAnswerLost):
                        await log.newest(STREAM)

        uvloop.run(main())

    # Bytes of a head that trickle in are progress, but no answer.
    def test_trickling_head_ends(self) -> None:
        self.limit(TRANSFER_TIMEOUT_S=0.3)
        respond = repeat(
            b'HTTP/1.1 200 OK\r\n', b'x: y\r\n', interval_s=0.02, count=None
        )

        async def main() -> None:
            async with asyncio.timeout(1.5), scripted(respond) as (_, log):
                with ExpectedException(LogAnswerLost, '.*too slow.*'):
                    await log.newest(STREAM)

        uvloop.run(main())

    # Informational heads without end are complete messages, but no answer.
    def test_trickling_informational_heads_end(self) -> None:
        self.limit(TRANSFER_TIMEOUT_S=0.3)
        head = b'HTTP/1.1 103 Early Hints\r\n\r\n'
        respond = repeat(head, interval_s=0.02, count=None)

        async def main() -> None:
            async with asyncio.timeout(1.5), scripted(respond) as (_, log):
                with ExpectedException(LogAnswerLost, '.*too slow.*'):
                    await log.newest(STREAM)

        uvloop.run(main())


class ConnectionTest(StoreClientTest):
    """The connections to the store."""

    # A long poll waited in full on a connection whose network had failed.
    def test_tcp_detects_dead_connections(self) -> None:
        async def main() -> None:
            async with scripted(play(response(newest_body()))) as (_, log):
                await log.newest(STREAM)
                sock = log._idle[0]._writer.get_extra_info('socket')
                found = [
                    sock.getsockopt(level, option)
                    for level, option in (
                        (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
                        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL),
                        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT),
                        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
                    )
                ]
            self.assertThat(found, Equals([1, 1, 1, 2, 2000]))

        uvloop.run(main())

    # After a timeout the next calls timed out on other silent connections.
    def test_timeout_closes_idle_connections(self) -> None:
        self.limit(RESPONSE_TIMEOUT_S=1)
        is_silent = False

        async def respond(
            store: ScriptedStore, writer: asyncio.StreamWriter
        ) -> None:
            # Requests in pairs get responses, so two connections are idle.
            if not is_silent:
                await store.wait_for_requests(2)
            if not is_silent or store.connections > 2:
                writer.write(response(newest_body()))

        async def main() -> None:
            nonlocal is_silent
            async with asyncio.timeout(20), scripted(respond) as (store, log):
                await asyncio.gather(log.newest(STREAM), log.newest(STREAM))
                self.assertThat(store.connections, Equals(2))
                is_silent = True
                with ExpectedException(LogAnswerLost):
                    await log.newest(STREAM)
                await log.newest(STREAM)
                self.assertThat(store.connections, Equals(3))

        uvloop.run(main())


class SizeTest(StoreClientTest):
    """The limits on the size of a response."""

    # A body without end was collected in memory until the time limit.
    def test_endless_body_is_refused(self) -> None:
        heads = (
            b'HTTP/1.1 200 OK\r\n\r\n',
            b'HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n',
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
        )
        chunk = b'10000\r\n%s\r\n' % bytes(65_536)
        self.limit(
            MAX_NEWEST_RESPONSE_BYTES=1_000_000,
            MAX_READ_RESPONSE_BYTES=1_000_000,
            TRANSFER_TIMEOUT_S=60,
        )

        async def main() -> None:
            for head in heads:
                endless = repeat(head, chunk, interval_s=0, count=None)
                async with asyncio.timeout(20), scripted(endless) as found:
                    with ExpectedException(LogAnswerLost, '.*too large.*'):
                        await found[1].newest(STREAM)
                    with ExpectedException(LogAnswerLost, '.*too large.*'):
                        await found[1].read(STREAM, 7, 0)
                    # The client has closed the connections.
                    await found[0].closed.wait()

        uvloop.run(main())

    # An append only needs the status, but took a body of any size.
    def test_endless_body_of_an_append_is_refused(self) -> None:
        head = b'HTTP/1.1 200 OK\r\n\r\n'
        self.limit(TRANSFER_TIMEOUT_S=60)

        async def main() -> None:
            endless = repeat(head, bytes(65_536), interval_s=0, count=None)
            async with asyncio.timeout(20), scripted(endless) as (_, log):
                with ExpectedException(LogAnswerLost, '.*too large.*'):
                    await log.append(STREAM, KeyedRecord('a', b''))

        uvloop.run(main())

    # Informational heads without end were read until the time limit.
    def test_endless_informational_heads_are_refused(self) -> None:
        heads = b'HTTP/1.1 103 Early Hints\r\n\r\n' * 1000
        self.limit(MAX_NEWEST_RESPONSE_BYTES=500_000, TRANSFER_TIMEOUT_S=60)

        async def main() -> None:
            endless = repeat(heads, interval_s=0, count=None)
            async with asyncio.timeout(20), scripted(endless) as (_, log):
                with ExpectedException(LogAnswerLost, '.*HeadTooLarge.*'):
                    await log.newest(STREAM)

        uvloop.run(main())

    # A head without end must not grow in memory either.
    def test_endless_head_is_refused(self) -> None:
        fields = b'x: %s\r\n' % (b'y' * 1000)
        self.limit(TRANSFER_TIMEOUT_S=60)

        async def main() -> None:
            endless = repeat(
                b'HTTP/1.1 200 OK\r\n', fields, interval_s=0, count=None
            )
            async with asyncio.timeout(20), scripted(endless) as (_, log):
                with ExpectedException(LogAnswerLost, '.*head over.*'):
                    await log.newest(STREAM)

        uvloop.run(main())

    # The limits must leave room for the largest document.
    def test_largest_document_is_read(self) -> None:
        payload = bytes(MAX_DOCUMENT_BYTES)
        content = b'\x01a' + payload
        page = BOUNDS.pack(8, 0) + struct.pack('>I', len(content)) + content
        replies = response(newest_body(('a', payload))), response(page)
        self.limit(TRANSFER_TIMEOUT_S=60, SILENCE_TIMEOUT_S=20)

        async def main() -> None:
            async with scripted(play(*replies)) as (_, log):
                newest = await log.newest(STREAM)
                read = await log.read(STREAM, 7, 0)
            for found in (newest, read):
                self.assertThat(found.records[0].payload == payload, Is(True))

        uvloop.run(main())


class MalformedTest(StoreClientTest):
    """Replies that are not what the store's API states."""

    # A reply without its fields ended the task of the reader by a KeyError.
    def test_malformed_newest_pages(self) -> None:
        item = '{"key":"a","value":"%s"}'
        bodies = [
            b'',
            b'{}',
            b'[]',
            b'null',
            b'7',
            b'\xff',
            b'[' * 100_000,
            b'{"items":[],"has_more":false}',
            b'{"items":[],"end":7}',
            b'{"end":7,"has_more":false}',
            newest_body(end=None),
            newest_body(end='x'),
            newest_body(end=-1),
            newest_body(end=float('inf')),
            newest_body(items=None),
            newest_body(items={}),
            newest_body(items='ab'),
            newest_body(items=[None]),
            newest_body(items=[{'key': 'a'}]),
            newest_body(items=[{'value': ''}]),
            newest_body(items=[json.loads(item % 'YQ')]),
            newest_body(items=[json.loads(item % '!YWFh')]),
            newest_body(items=[json.loads(item % '\xe9')]),
            newest_body(items=[{'key': 'a', 'value': 5}]),
            newest_body(items=[{'key': '\ud800', 'value': ''}]),
        ]

        async def main() -> None:
            replies = map(response, bodies)
            async with scripted(play(*replies)) as (_, log):
                for _ in bodies:
                    exc = await self.assert_unavailable(log.newest(STREAM))
                    self.assertThat(exc.step, Equals('log-newest'))
            self.assertThat(log.counters.failures, Equals(len(bodies)))

        uvloop.run(main())

    # A record with a key that is cut short was taken for a shorter key.
    def test_malformed_read_pages(self) -> None:
        bounds = BOUNDS.pack(8, 0)
        bodies = [
            b'',
            bounds[:-1],
            bounds + b'\x00\x00',
            bounds + struct.pack('>I', 5) + b'\x01a',
            bounds + struct.pack('>I', 0),
            bounds + struct.pack('>I', 2) + b'\x05a',
        ]

        async def main() -> None:
            replies = map(response, bodies)
            async with scripted(play(*replies)) as (_, log):
                for _ in bodies:
                    exc = await self.assert_unavailable(log.read(STREAM, 7, 0))
                    self.assertThat(exc.step, Equals('log-read'))
            self.assertThat(log.counters.failures, Equals(len(bodies)))

        uvloop.run(main())

    async def assert_unavailable(
        self, call: Awaitable[object]
    ) -> LogUnavailable:
        """Assert that a call fails and names the store; return the error."""
        try:
            await call
        except LogUnavailable as exc:
            self.assertThat(exc.peer, StartsWith('127.0.0.1:'))
            return exc
        raise AssertionError('the call did not fail')


class PagingTest(StoreClientTest):
    """Results of several pages."""

    # All pages of a result are returned, each after the last key before.
    def test_pages_are_joined(self) -> None:
        pages = (
            newest_body(('a', b'1'), ('b', b'2'), has_more=True),
            newest_body(('c', b'3')),
        )

        async def main() -> None:
            async with scripted(play(*map(response, pages))) as (store, log):
                page = await log.newest(STREAM)
            keys = [record.key for record in page.records]
            self.assertThat(keys, Equals(['a', 'b', 'c']))
            self.assertThat(b'after=b' in store.requests[1], Is(True))

        uvloop.run(main())

    # A store that always states more records kept the caller in a loop.
    def test_repeated_pages_end(self) -> None:
        pages = (
            newest_body(('a', b'1'), has_more=True),
            newest_body(('b', b'2'), has_more=True),
        )

        async def main() -> None:
            replies = map(response, pages * 30)
            async with scripted(play(*replies)) as (store, log):
                with ExpectedException(LogUnavailable, '.*pages repeat.*'):
                    await log.newest(STREAM)
            self.assertThat(store.requests, HasLength(3))
            self.assertThat(log.counters.failures, Equals(1))

        uvloop.run(main())

    # Ever new keys did the same, and filled the memory.
    def test_pages_without_end_are_refused(self) -> None:
        async def respond(
            store: ScriptedStore, writer: asyncio.StreamWriter
        ) -> None:
            key = str(len(store.requests))
            writer.write(response(newest_body((key, b'1'), has_more=True)))

        async def main() -> None:
            async with asyncio.timeout(10), scripted(respond) as (_, log):
                with ExpectedException(LogUnavailable, '.*too many pages.*'):
                    await log.newest(STREAM)

        for limits in (
            {'MAX_NEWEST_PAGES': 20},
            {'MAX_NEWEST_RESPONSE_BYTES': 2000},
        ):
            self.limit(**limits)
            uvloop.run(main())
            self.limit(MAX_NEWEST_PAGES=1000)

    # DENIED: a record that was appended between two pages was never read.
    def test_next_offset_is_the_end_of_the_first_page(self) -> None:
        pages = (
            newest_body(('a', b'1'), has_more=True, end=7),
            newest_body(('b', b'2'), end=9),
        )

        async def main() -> None:
            async with scripted(play(*map(response, pages))) as (_, log):
                page = await log.newest(STREAM)
            self.assertThat(page.next_offset, Equals(7))

        uvloop.run(main())


class SurplusTest(StoreClientTest):
    """Bytes after a response."""

    # Bytes after a response were taken for the response to the next request.
    def test_surplus_is_no_response(self) -> None:
        for delay_s in (0, 0.05):
            self.check_surplus(delay_s)

    def check_surplus(self, delay_s: float) -> None:
        """Send a surplus response after a delay, and call once more."""

        async def respond(
            store: ScriptedStore, writer: asyncio.StreamWriter
        ) -> None:
            number = len(store.requests)
            raw = [response(newest_body(end=end)) for end in (number, 99)]
            if delay_s:
                writer.write(raw.pop(0))
                await asyncio.sleep(delay_s)
            writer.write(b''.join(raw))

        async def main() -> None:
            async with scripted(respond) as (store, log):
                ends = []
                for _ in range(3):
                    ends.append((await log.newest(STREAM)).next_offset)
                    await asyncio.sleep(delay_s * 5)
            self.assertThat(ends, Equals([1, 2, 3]))
            self.assertThat(store.connections, Equals(3))

        uvloop.run(main())
