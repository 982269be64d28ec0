"""Broken responses of a target do not reach callers as answers."""

import asyncio
import gzip
import time
from collections.abc import Awaitable
from dataclasses import dataclass

from testtools import TestCase
from testtools.matchers import Contains, Equals, IsInstance, LessThan
from testtools.testcase import ExpectedException

from filbertdrift import log as log_module
from filbertdrift import target as target_module
from filbertdrift.errors import LogAnswerLost, LogUnavailable
from filbertdrift.keyedlog import KeyedRecord
from filbertdrift.log import HttpLog
from filbertdrift.platform import store as store_module
from filbertdrift.platform.store import StoreLog
from filbertdrift.target import HttpTarget
from standins.broken_target import (
    HEAD,
    WHOLE,
    Action,
    BrokenTarget,
    Endless,
    Step,
)
from tests.broken_mesh import (
    RUNNERS,
    UPLOAD,
    Answer,
    Place,
    call,
    let_arrive,
    library_port,
    node_beside,
    node_elsewhere,
)

HOLD, RESET = Action.HOLD, Action.RESET
CLOSE, HALF_CLOSE = Action.CLOSE, Action.HALF_CLOSE
# Above what a node reads of a response before it forwards any of it.
LONG = bytes(2_000_000)
# Before any deadline or time limit.
PROMPT_S = 2.5
LATE_S = 30.0
# Limit on the time in which the largest page arrives.
MAX_PAGE_S = 8.0
OPEN = HEAD + b'\r\n'


@dataclass(frozen=True)
class EarlyResponse:
    """A response without a length that comes while an upload is being sent.

    Args:
        script: What the target sends.
        body: The body if it is complete.
    """

    script: tuple[Step, ...]
    body: bytes | None = None


EARLY_RESPONSES = (
    EarlyResponse((HOLD, OPEN + b'part', RESET)),
    EarlyResponse((OPEN, HOLD, b'part', RESET)),
    EarlyResponse((OPEN, HOLD, RESET)),
    EarlyResponse((OPEN + b'part', HOLD, RESET)),
    EarlyResponse((OPEN + b'part', HOLD, b'part', RESET)),
    EarlyResponse((OPEN, HOLD, bytes(100_000), RESET)),
    EarlyResponse((OPEN + LONG, HOLD, b'part', RESET)),
    # With much of the upload unread, a close sends a reset as well.
    EarlyResponse((OPEN, HOLD, b'part', CLOSE)),
    EarlyResponse((OPEN, HOLD, b'whole', HALF_CLOSE), b'whole'),
    EarlyResponse((OPEN + b'who', HOLD, b'le', HALF_CLOSE), b'whole'),
    EarlyResponse((HOLD, OPEN + b'whole', HALF_CLOSE), b'whole'),
)


class EarlyResetTest(TestCase):
    """A reset ends no response, whether a read or a write learns of it."""

    # MIXED: the write of the upload took the error off the socket, and the end
    # of the stream passed for a close.
    def test_target_beside_the_node(self) -> None:
        self._check_all(node_beside)

    def test_target_elsewhere(self) -> None:
        self._check_all(node_elsewhere)

    def test_library_port(self) -> None:
        self._check_all(library_port, '/desk/x')

    def _check_all(self, place: Place, path: str = '/write/x') -> None:
        for runner in RUNNERS:
            runner(self._check(place, path))

    async def _check(self, place: Place, path: str) -> None:
        target = BrokenTarget()
        whole = path.replace('/x', '/whole')
        async with place(target) as port:
            for case in EARLY_RESPONSES:
                await call(port, whole, b'')
                target.may_go_on.clear()
                target.play(*case.script)
                calling = asyncio.create_task(call(port, path))
                await let_arrive(target)
                answer = await calling
                if case.body is not None:
                    wanted = Answer(200, case.body)
                    self.assertThat(answer, Equals(wanted), repr(case))
                elif answer:
                    self.assertThat(answer.status, Equals(502), repr(case))


NO_STATUSES = (b'000', b'001', b'099', b'600', b'700', b'999')
NO_DIGITS = (b'', b'2', b'20', b'2000', b'+20', b'-20', b'2x0', b'0x2', b' 200')
ENDLESS = Endless(bytes(100_000))


def with_status(status: bytes) -> bytes:
    """Return the head of a response, up to its length."""
    return HEAD.replace(b'200', status)


class StatusTest(TestCase):
    """A status outside 100 to 599 makes a response none."""

    # Statuses up to 099 were skipped like interim responses, until the
    # deadline; those from 600 on were passed on.
    def test_target_beside_the_node(self) -> None:
        self._check_all(node_beside)

    def test_target_elsewhere(self) -> None:
        self._check_all(node_elsewhere)

    def test_library_port(self) -> None:
        self._check_all(library_port, '/desk/x')

    def _check_all(self, place: Place, path: str = '/write/x') -> None:
        for runner in RUNNERS:
            for upload in (b'', UPLOAD):
                runner(self._check(place, path, upload))

    async def _check(self, place: Place, path: str, upload: bytes) -> None:
        target = BrokenTarget()
        whole = path.replace('/x', '/whole')
        async with place(target) as port:
            for status in (*NO_STATUSES, *NO_DIGITS):
                head = with_status(status)
                for script in (
                    (head + b'content-length: 2\r\n\r\nno',),
                    (head + b'\r\n', ENDLESS),
                ):
                    await call(port, whole, b'')
                    target.play(*script)
                    started_at = time.monotonic()
                    answer = await call(port, path, upload)
                    elapsed_s = time.monotonic() - started_at
                    self.assertThat(answer.status, Equals(502), repr(script))
                    self.assertThat(elapsed_s, LessThan(PROMPT_S), repr(script))

    # Held before: statuses that are none of ours, and interim responses.
    def test_unusual_statuses(self) -> None:
        for runner in RUNNERS:
            runner(self._unusual())

    async def _unusual(self) -> None:
        target = BrokenTarget()
        async with node_beside(target) as port:
            for status in (201, 299, 306, 418, 499, 599):
                head = with_status(b'%d' % status)
                target.play(head + b'content-length: 2\r\n\r\nno')
                answer = await call(port, upload=b'')
                self.assertThat(answer, Equals(Answer(status, b'no')))
                self.assertThat(answer.head, Contains(b'server-seal: s'))
            for interim in (b'100', b'102', b'103', b'199'):
                target.play(with_status(interim) + b'\r\n', 0.01, WHOLE)
                answer = await call(port, upload=b'')
                self.assertThat(answer, Equals(Answer(200, b'ok')))


CODINGS = (
    b'gzip, chunked',
    b'gzip\r\ntransfer-encoding: chunked',
    b'chunked, chunked',
    b'chunked, gzip',
    b'gzip',
    b'identity',
    b'',
)


class TransferCodingTest(TestCase):
    """A body in a coding that nobody asked for is not passed on."""

    # The chunks were taken apart, and the caller got what was still coded.
    def test_unknown_coding(self) -> None:
        for place, path in (
            (node_beside, '/write/x'),
            (node_elsewhere, '/write/x'),
            (library_port, '/desk/x'),
        ):
            for runner in RUNNERS:
                runner(self._check(place, path, CODINGS, 502))

    # Held before.
    def test_chunks(self) -> None:
        codings = (b'chunked', b'Chunked', b'  chunked')
        for runner in RUNNERS:
            runner(self._check(node_beside, '/write/x', codings, 200))

    async def _check(
        self, place: Place, path: str, codings: tuple[bytes, ...], status: int
    ) -> None:
        target = BrokenTarget()
        whole = path.replace('/x', '/whole')
        async with place(target) as port:
            for coding in codings:
                await call(port, whole, b'')
                head = HEAD + b'transfer-encoding: ' + coding
                body = b'\r\n\r\n2\r\nok\r\n0\r\n\r\n'
                target.play(head + body, HALF_CLOSE)
                answer = await call(port, path, b'')
                self.assertThat(answer and answer.status, Equals(status), head)


class HealthCheckTest(TestCase):
    """A health check that gets no response has failed."""

    def setUp(self) -> None:
        """Let the time limit of a check be late."""
        super().setUp()
        self.patch(target_module, 'PROBE_TIMEOUT_S', LATE_S)

    def test_status(self) -> None:
        for runner in RUNNERS:
            for status in (*NO_STATUSES, *NO_DIGITS):
                head = with_status(status)
                script = (head + b'content-length: 2\r\n\r\nno',)
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
        finally:
            target.close()
            broken.close()
        elapsed_s = time.monotonic() - started_at
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


INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'
PAGE = b'{"records": [], "first_offset": 0, "next_offset": 0}'
# Spaces after a page do not change it.
ENCODED_PAGE = gzip.compress(PAGE + b' ' * 1_000_000)
CHUNK = b'186a0\r\n%s\r\n' % bytes(100_000)
CHUNKED = HEAD + b'transfer-encoding: chunked\r\n\r\n'
# About 100 MB a second at most.
FAST = Endless(bytes(100_000), 0.001)
ENDLESS_PAGES: tuple[tuple[Step, ...], ...] = (
    (OPEN, FAST),
    (CHUNKED, Endless(CHUNK, 0.001)),
    (HEAD + b'content-length: 1000000000000000\r\n\r\n', FAST),
)
ENDLESS_HEADS: tuple[tuple[Step, ...], ...] = (
    (FAST,),
    (b'HTTP/1.1 200 ', FAST),
    (HEAD, Endless(b'a' * 100_000, 0.001)),
    (HEAD, Endless(b'a: b\r\n' * 10_000, 0.001)),
    (CHUNKED + b'2;', Endless(b'a' * 100_000, 0.001)),
    (CHUNKED + b'0\r\n', Endless(b'a: b\r\n' * 10_000, 0.001)),
)
SLOW_RESPONSES: tuple[tuple[Step, ...], ...] = (
    (OPEN, Endless(b'a', 0.01)),
    (Endless(INTERIM, 0.01),),
    (OPEN, Endless(bytes(1000), 0.01)),
)


class HttpLogTest(TestCase):
    """What the log sends is kept within limits of size and time."""

    # All that the log sent was kept, without an end.
    def test_endless_page(self) -> None:
        for runner in RUNNERS:
            for script in ENDLESS_PAGES:
                runner(self._check(script))

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
            async with asyncio.timeout(MAX_PAGE_S):
                await log.read('config', 0)
        finally:
            await log.close()
            broken.close()


async def find_error(call_to_log: Awaitable[object]) -> Exception | None:
    """Return the error with which a call to the log ends."""
    try:
        await call_to_log
    except LogUnavailable as exc:
        return exc
    return None


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
