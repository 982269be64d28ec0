"""The client of the platform's store against scripted servers."""

import asyncio
import base64
import contextlib
import json
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

import uvloop
from testtools import TestCase
from testtools.matchers import Equals, HasLength
from testtools.testcase import ExpectedException

from filbertdrift.errors import LogGap, LogUnavailable
from filbertdrift.keyedlog import NO_ERA, KeyedRecord
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
