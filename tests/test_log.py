"""The in-memory log and the HTTP log of the stand-in behave alike."""

import asyncio
from collections.abc import Awaitable, Callable

import uvicorn
from litestar import Litestar
from litestar.datastructures import State
from litestar.exceptions import HTTPException
from testtools import ExpectedException, TestCase
from testtools.matchers import Equals

from filbertdrift.errors import LogAnswerLost, LogUnavailable
from filbertdrift.log import LAST_RECORD, HttpLog, Log, LogPage, MemoryLog
from standins import log_server
from tests.sockets import free_port

Case = Callable[[Log, Callable[[bool, int], None]], Awaitable[None]]
Drill = Callable[[Log, Callable[[], None], Callable[[], None]], Awaitable[None]]


class LogTest(TestCase):
    """Each case runs against both implementations."""

    def run_both(self, case: Case) -> None:
        """Run a case against the in-memory log and the HTTP log."""
        asyncio.run(self._in_memory(case))
        asyncio.run(self._over_http(case))

    async def _in_memory(self, case: Case) -> None:
        log = MemoryLog(0)

        def set_faults(down: bool, lost: int) -> None:
            log.is_down = down
            log.lost_answers = lost

        await case(log, set_faults)

    async def _over_http(self, case: Case) -> None:
        store = log_server.StreamStore(3600, 1000)

        def set_faults(down: bool, lost: int) -> None:
            store.faults = log_server.Faults(down=down, lost_answers=lost)

        await self._serve(store, lambda log: case(log, set_faults))

    async def _serve(
        self,
        store: log_server.StreamStore,
        case: Callable[[Log], Awaitable[None]],
    ) -> None:
        port = free_port()
        app = Litestar(
            [log_server.append, log_server.read],
            state=State({'store': store}),
            logging_config=None,
        )
        config = uvicorn.Config(
            app,
            port=port,
            log_config=None,
            lifespan='off',
        )
        server = uvicorn.Server(config)
        serving = asyncio.create_task(server.serve())
        while not server.started:
            await asyncio.sleep(0.01)
        log = HttpLog(f'http://127.0.0.1:{port}')
        try:
            await case(log)
        finally:
            await log.close()
            server.should_exit = True
            await serving

    def run_drill(self, drill: Drill) -> None:
        """Run a case with a copy of the streams against both logs."""
        asyncio.run(self._drill_in_memory(drill))
        asyncio.run(self._drill_over_http(drill))

    async def _drill_in_memory(self, drill: Drill) -> None:
        log = MemoryLog(0)
        copies = [log.copy_streams()]

        def take_copy() -> None:
            copies.append(log.copy_streams())

        await drill(log, take_copy, lambda: log.come_back(copies[-1]))

    async def _drill_over_http(self, drill: Drill) -> None:
        store = log_server.StreamStore(3600, 1000)
        await self._serve(
            store,
            lambda log: drill(log, store.take_copy, store.come_back),
        )

    def test_append_and_read(self) -> None:
        async def case(
            log: Log,
            set_faults: Callable[[bool, int], None],
        ) -> None:
            for number in range(3):
                offset = await log.append('s', b'record %d' % number)
                self.assertThat(offset, Equals(number))
            page = await log.read('s', 1)
            found = [record.payload for record in page.records]
            self.assertThat(found, Equals([b'record 1', b'record 2']))
            last = await log.read('s', LAST_RECORD)
            self.assertThat(last.records[0].offset, Equals(2))
            self.assertThat(last.next_offset, Equals(3))

        self.run_both(case)

    def test_long_poll_wakes(self) -> None:
        async def case(
            log: Log,
            set_faults: Callable[[bool, int], None],
        ) -> None:
            waiting = asyncio.create_task(log.read('s', 0, 30))
            await asyncio.sleep(0.05)
            await log.append('s', b'woken')
            page = await waiting
            self.assertThat(page.records[0].payload, Equals(b'woken'))

        self.run_both(case)

    # Guards against offsets of two eras that look alike to a client.
    def test_comes_back_from_an_older_copy(self) -> None:
        async def drill(
            log: Log,
            take_copy: Callable[[], None],
            come_back: Callable[[], None],
        ) -> None:
            await log.append('s', b'kept')
            take_copy()
            await log.append('s', b'lost')
            await log.append('s', b'lost, too')
            waiting = asyncio.create_task(log.read('s', 3, 30))
            await asyncio.sleep(0.05)
            come_back()
            for page in (await waiting, await log.read('s', 3, 30)):
                self.assertThat(page.era, Equals(1))
                self.assertThat(page.next_offset, Equals(1))
            self.assertThat(await log.append('s', b'again'), Equals(1))
            self.assertThat(log.era, Equals(1))

        self.run_drill(drill)

    def test_faults(self) -> None:
        async def case(
            log: Log,
            set_faults: Callable[[bool, int], None],
        ) -> None:
            set_faults(True, 0)
            error = await self._append_error(log)
            self.assertThat(type(error), Equals(LogUnavailable))
            set_faults(False, 1)
            error = await self._append_error(log)
            self.assertThat(type(error), Equals(LogAnswerLost))
            page = await log.read('s', 0)
            self.assertThat(len(page.records), Equals(1))

        self.run_both(case)

    def test_silent_connection_is_given_up(self) -> None:
        async def read_all(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await reader.read()
            writer.close()

        async def case() -> None:
            silent = await asyncio.start_server(read_all, '127.0.0.1', 0)
            port = silent.sockets[0].getsockname()[1]
            log = HttpLog(f'http://127.0.0.1:{port}')
            error = await self._append_error(log)
            self.assertThat(type(error), Equals(LogAnswerLost))
            await log.close()
            silent.close()

        asyncio.run(case())

    # Guards against an offset that is gone being taken for an outage.
    def test_gone_offset_tells_the_era(self) -> None:
        async def reply(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(
                b'HTTP/1.1 410 Gone\r\nStore-Era: 7\r\n'
                b'Content-Length: 0\r\n\r\n',
            )
            writer.close()

        async def case() -> None:
            server = await asyncio.start_server(reply, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            log = HttpLog(f'http://127.0.0.1:{port}')
            page = await log.read('s', 5)
            self.assertThat(page, Equals(LogPage((), 0, 0, 7)))
            self.assertThat(log.era, Equals(7))
            await log.close()
            server.close()

        asyncio.run(case())

    def test_stand_in_expires_and_limits(self) -> None:
        async def case() -> None:
            store = log_server.StreamStore(0, 3)
            for _ in range(3):
                await store.append('s', b'x')
            with ExpectedException(HTTPException, '.*too many.*'):
                await store.append('s', b'x')
            page = await store.read('s', 0, 0)
            self.assertThat(page.records, Equals([]))
            self.assertThat(page.first_offset, Equals(3))

        asyncio.run(case())

    async def _append_error(self, log: Log) -> BaseException | None:
        try:
            await log.append('s', b'x')
        except LogUnavailable as exc:
            return exc
        return None
