"""Broken responses of a target do not reach callers as answers."""

import asyncio
import time
from dataclasses import dataclass

from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from standins.broken_target import HEAD, WHOLE, BrokenTarget, Endless, Step
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
    unread_call,
)
from tests.broken_scripts import (
    CLOSE,
    ENDLESS_PAGES,
    HALF_CLOSE,
    HOLD,
    NO_DIGITS,
    NO_STATUSES,
    OPEN,
    RESET,
    with_status,
)

# Above what a node reads of a response before it forwards any of it.
LONG = bytes(2_000_000)
# Before any deadline or time limit.
PROMPT_S = 2.5
# By then the buffers are full. Later, the deadlines end the response anyhow.
FILLED_S = 4.0
# A target that can send nothing for so long is not read.
QUIET_S = 0.2


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

    # MIXED: as above, from the node of another target.
    def test_target_elsewhere(self) -> None:
        self._check_all(node_elsewhere)

    # Held before.
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


ENDLESS = Endless(bytes(100_000))


class StatusTest(TestCase):
    """A status outside 100 to 599 makes a response none."""

    # Statuses up to 099 were skipped like interim responses, until the
    # deadline; those from 600 on were passed on.
    def test_target_beside_the_node(self) -> None:
        self._check_all(node_beside)

    # As above, from the node of another target.
    def test_target_elsewhere(self) -> None:
        self._check_all(node_elsewhere)

    # As above, for callers of the library's port.
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


class EndlessBodyTest(TestCase):
    """A target is read only as fast as the caller reads."""

    # Held before.
    def test_caller_that_reads_nothing(self) -> None:
        for place, path in (
            (node_beside, '/write/x'),
            (node_elsewhere, '/write/x'),
            (library_port, '/desk/x'),
        ):
            for runner in RUNNERS:
                runner(self._check(place, path))

    async def _check(self, place: Place, path: str) -> None:
        target = BrokenTarget()
        async with place(target) as port:
            for script in ENDLESS_PAGES:
                for upload in (b'', UPLOAD):
                    target.sent_bytes = 0
                    target.play(*script)
                    await self._check_flow(target, port, path, upload)

    async def _check_flow(
        self, target: BrokenTarget, port: int, path: str, upload: bytes
    ) -> None:
        async with unread_call(port, path, upload):
            sent_bytes = -1
            async with asyncio.timeout(FILLED_S):
                while target.sent_bytes > sent_bytes:
                    sent_bytes = target.sent_bytes
                    await asyncio.sleep(QUIET_S)
            self.assertThat(sent_bytes, GreaterThan(0))
