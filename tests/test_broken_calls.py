"""Broken responses to calls that a node makes for itself."""

import asyncio
import gzip
import threading
import time

from testtools import TestCase
from testtools.matchers import (
    Equals,
    IsInstance,
    LessThan,
    MatchesListwise,
)
from testtools.testcase import ExpectedException

from filbertdrift import log as log_module
from filbertdrift import porcelain
from filbertdrift import target as target_module
from filbertdrift.errors import (
    LogAnswerLost,
    LogUnavailable,
    MalformedMessage,
    PeerUnavailable,
)
from filbertdrift.gen import ttypes
from filbertdrift.keyedlog import KeyedRecord
from filbertdrift.log import HttpLog
from filbertdrift.network import TcpNetwork
from filbertdrift.platform import store as store_module
from filbertdrift.platform.store import StoreLog
from filbertdrift.target import HttpTarget
from filbertdrift.wire import LENGTH_BYTES, MAX_FRAME_BYTES, pack_frame
from standins.broken_target import (
    HEAD,
    HOST,
    WHOLE,
    BrokenTarget,
    Endless,
    Step,
)
from tests.broken_mesh import RUNNERS, find_error, let_arrive
from tests.broken_scripts import (
    CLOSE,
    ENDLESS_HEADS,
    ENDLESS_PAGES,
    HALF_CLOSE,
    HOLD,
    NO_DIGITS,
    NO_STATUSES,
    OPEN,
    RESET,
    SLOW_RESPONSES,
    with_status,
)

# Before any time limit.
PROMPT_S = 2.5
LATE_S = 30.0
# After any time limit of the calls.
MAX_CALL_S = 20.0
PAGE = b'{"records": [], "first_offset": 0, "next_offset": 0}'
# Spaces after a page do not change it.
ENCODED_PAGE = gzip.compress(PAGE + b' ' * 1_000_000)


class HealthCheckTest(TestCase):
    """A health check that gets no response has failed."""

    def setUp(self) -> None:
        """Let the time limit of a check be late."""
        super().setUp()
        self.patch(target_module, 'PROBE_TIMEOUT_S', LATE_S)

    # Statuses up to 099 were skipped, which took the whole time limit.
    def test_status(self) -> None:
        for runner in RUNNERS:
            for status in (*NO_STATUSES, *NO_DIGITS):
                head = with_status(status)
                script = (head + b'content-length: 2\r\n\r\nno',)
                runner(self._check(script, is_healthy=False))

    # Held before: bytes without end are dropped until the time limit.
    def test_endless_response(self) -> None:
        self.patch(target_module, 'PROBE_TIMEOUT_S', 0.3)
        for runner in RUNNERS:
            for script in (*ENDLESS_PAGES, *ENDLESS_HEADS, *SLOW_RESPONSES):
                runner(self._check(script, is_healthy=False))

    # Held before.
    def test_reset(self) -> None:
        for runner in RUNNERS:
            for script in (
                (OPEN + b'part', RESET),
                (OPEN, 0.01, b'part', RESET),
                (OPEN, 0.01, RESET),
            ):
                runner(self._check(script, is_healthy=False))

    # Held before.
    def test_whole_response(self) -> None:
        for runner in RUNNERS:
            runner(self._check((WHOLE,), is_healthy=True))

    async def _check(
        self, script: tuple[Step, ...], *, is_healthy: bool
    ) -> None:
        broken = BrokenTarget(script)
        target = HttpTarget(broken.start(), 1)
        started_at = time.monotonic()
        try:
            found = await target.check_health('/health')
            ended = await asyncio.to_thread(broken.has_ended.wait, LATE_S)
        finally:
            target.close()
            broken.close()
        elapsed_s = time.monotonic() - started_at
        self.assertThat(ended, Equals(True), repr(script))
        self.assertThat(found, Equals(is_healthy), repr(script))
        self.assertThat(elapsed_s, LessThan(PROMPT_S), repr(script))


class StoreTest(TestCase):
    """An append whose response is broken may have been applied."""

    def setUp(self) -> None:
        """Let the time limits of a call be late."""
        super().setUp()
        self.patch(store_module, 'RESPONSE_TIMEOUT_S', LATE_S)
        self.patch(store_module, 'SILENCE_TIMEOUT_S', LATE_S)

    # Statuses from 600 on were taken for a refusal, those up to 099 skipped.
    def test_status(self) -> None:
        for runner in RUNNERS:
            for status in (*NO_STATUSES, *NO_DIGITS):
                head = with_status(status)
                script = (HOLD, head + b'content-length: 2\r\n\r\n{}')
                runner(self._check(script))

    # A reset that came with the last bytes passed for the end of the response.
    def test_reset(self) -> None:
        for runner in RUNNERS:
            for script in (
                (HOLD, OPEN + b'{}', RESET),
                (OPEN, HOLD, b'{}', RESET),
                (OPEN, HOLD, RESET),
                (OPEN + b'{}', HOLD, RESET),
            ):
                runner(self._check(script))

    # Held before: the end of the connection ends such a response.
    def test_close(self) -> None:
        for runner in RUNNERS:
            runner(self._append((HOLD, OPEN + b'{}', CLOSE)))

    async def _check(self, script: tuple[Step, ...]) -> None:
        with ExpectedException(LogAnswerLost):
            await self._append(script)

    async def _append(self, script: tuple[Step, ...]) -> None:
        broken = BrokenTarget(script)
        store = StoreLog(broken.start())
        broken.may_go_on.clear()
        record = KeyedRecord('key', b'record')
        started_at = time.monotonic()
        try:
            appending = asyncio.create_task(store.append('keyed.op', record))
            await let_arrive(broken)
            await appending
        finally:
            await store.close()
            broken.close()
        elapsed_s = time.monotonic() - started_at
        self.assertThat(elapsed_s, LessThan(PROMPT_S), repr(script))


class HttpLogTest(TestCase):
    """What the log sends is kept within limits of size and time."""

    # All that the log sent was kept, without an end.
    def test_endless_page(self) -> None:
        for runner in RUNNERS:
            for script in ENDLESS_PAGES:
                runner(self._check(script))

    # A page had no limit of size.
    def test_large_page(self) -> None:
        self.patch(log_module, 'MAX_RESPONSE_BYTES', len(PAGE))
        asyncio.run(self._read((OPEN + PAGE, CLOSE)))
        asyncio.run(self._check((OPEN + PAGE + b' ', CLOSE)))

    # Held before.
    def test_endless_head(self) -> None:
        for runner in RUNNERS:
            for script in ENDLESS_HEADS:
                runner(self._check(script))

    # The body was decoded, whatever its size then.
    def test_encoded_page(self) -> None:
        head = HEAD + b'content-encoding: gzip\r\n\r\n'
        for runner in RUNNERS:
            runner(self._check((head + ENCODED_PAGE, CLOSE)))

    # Held before.
    def test_page(self) -> None:
        for runner in RUNNERS:
            runner(self._read((OPEN + PAGE, CLOSE)))

    # The limit of time began anew with each byte.
    def test_slow_response(self) -> None:
        self.patch(log_module, 'TRANSFER_TIMEOUT_S', 0.5)
        for runner in RUNNERS:
            for script in SLOW_RESPONSES:
                runner(self._check(script))

    async def _check(self, script: tuple[Step, ...]) -> None:
        with ExpectedException(LogUnavailable):
            await self._read(script)

    async def _read(self, script: tuple[Step, ...]) -> None:
        broken = BrokenTarget(script)
        log = HttpLog(f'http://{broken.start()}')
        try:
            async with asyncio.timeout(MAX_CALL_S):
                await log.read('config', 0)
        finally:
            await log.close()
            broken.close()


class HttpLogContentTest(TestCase):
    """A response of the log that is none tells nothing of the call."""

    # Statuses from 600 on were taken for a refusal.
    def test_status(self) -> None:
        for status in (*NO_STATUSES, *NO_DIGITS):
            head = with_status(status)
            script = (head + b'content-length: 2\r\n\r\n{}', HALF_CLOSE)
            asyncio.run(self._check(script))

    # A page that broke off, or was another document, ended the task.
    def test_no_page(self) -> None:
        for body in (PAGE[:-1], b'', b'[]', b'{}', b'7', b'\xff', b'{"a": 1}'):
            for status in (b'200', b'201'):
                script = (with_status(status) + b'\r\n' + body, HALF_CLOSE)
                asyncio.run(self._check(script, is_lost=status == b'201'))

    # An era that is no number ended the task.
    def test_era(self) -> None:
        for era in (b'x', b'1.5', b''):
            fields = HEAD.replace(b'200', b'201') + b'store-era: ' + era
            script = (fields + b'\r\n\r\n{"offset": 1}', HALF_CLOSE)
            asyncio.run(self._check(script))

    async def _check(
        self, script: tuple[Step, ...], *, is_lost: bool = True
    ) -> None:
        broken = BrokenTarget(script)
        log = HttpLog(f'http://{broken.start()}')
        try:
            appended = await find_error(log.append('config', b'record'))
            read = await find_error(log.read('config', 0))
        finally:
            await log.close()
            broken.close()
        wanted = LogAnswerLost if is_lost else LogUnavailable
        self.assertThat(type(appended), Equals(wanted), repr(script))
        self.assertThat(read, IsInstance(LogUnavailable), repr(script))


class CommandLineTest(TestCase):
    """A command whose node sends no proper response fails in time."""

    # Held before: statuses from 600 on had failed as well.
    def test_status(self) -> None:
        for status in (*NO_STATUSES, *NO_DIGITS):
            head = with_status(status)
            self._check((head + b'content-length: 2\r\n\r\n{}', HALF_CLOSE))

    # What could not be decoded ended the command with a traceback.
    def test_no_document(self) -> None:
        for body in (b'', b'{', b'[]', b'7', b'\xff', b'{"node": 1}'):
            self._check((OPEN + body, HALF_CLOSE))

    # All that the node sent was kept, without an end.
    def test_endless_document(self) -> None:
        for script in ENDLESS_PAGES:
            self._check(script)

    # Held before.
    def test_endless_head(self) -> None:
        for script in ENDLESS_HEADS:
            self._check(script)

    # The limit of time began anew with each byte.
    def test_slow_response(self) -> None:
        self.patch(porcelain, 'TRANSFER_TIMEOUT_S', 0.5)
        for script in SLOW_RESPONSES:
            self._check(script)

    # The body was decoded, whatever its size then.
    def test_encoded_document(self) -> None:
        head = HEAD + b'content-encoding: gzip\r\n\r\n'
        self._check((head + ENCODED_PAGE, CLOSE))

    def _check(self, script: tuple[Step, ...]) -> None:
        broken = BrokenTarget(script)
        admin = broken.start()
        ends: list[object] = []
        calling = threading.Thread(
            target=lambda: ends.append(_find_end(admin)), daemon=True
        )
        calling.start()
        calling.join(MAX_CALL_S)
        broken.close()
        failed = MatchesListwise([IsInstance(PeerUnavailable)])
        self.assertThat(ends, failed, repr(script))


def _find_end(admin: str) -> object:
    """Return what a command fails with, its result if it does not."""
    try:
        return porcelain.status(admin)
    except Exception as exc:
        return exc


class PeerTest(TestCase):
    """A connection between nodes that ends or carries no frames has failed."""

    # Held before.
    def test_part_of_a_frame(self) -> None:
        frame = pack_frame(1, ttypes.Cancel())
        for ending in (RESET, CLOSE):
            for part in (b'', frame[:2], frame[:-1]):
                self._check_all((part, ending), PeerUnavailable)
                self._check_all((part, 0.01, ending), PeerUnavailable)

    # Held before.
    def test_no_frames(self) -> None:
        largest = MAX_FRAME_BYTES.to_bytes(LENGTH_BYTES, 'big')
        for raw in (b'\xff' * 100, bytes(100), largest + bytes(1_000_000)):
            script = (raw, Endless(b'\0' * 100_000, 0.001))
            self._check_all(script, MalformedMessage)

    def _check_all(
        self, script: tuple[Step, ...], error: type[Exception]
    ) -> None:
        for runner in RUNNERS:
            runner(self._check(script, error))

    async def _check(
        self, script: tuple[Step, ...], error: type[Exception]
    ) -> None:
        broken = BrokenTarget(script)
        conn = await TcpNetwork(f'{HOST}:1').connect(broken.start())
        # The stand-in begins at the end of a head.
        conn._write(b'\r\n\r\n')
        with ExpectedException(error):
            await asyncio.wait_for(conn.receive(), MAX_CALL_S)
        conn.close()
        broken.close()
