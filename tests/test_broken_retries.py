"""Requests that two targets may get, of which one responds brokenly."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan

from filbertdrift.incarnation import Heartbeat
from standins.broken_target import HEAD, WHOLE, BrokenTarget, Step
from standins.mesh_fleet import config_document
from tests.broken_mesh import DEADLINE_S, RUNNERS, SETTLE_S, Answer, call
from tests.broken_scripts import HALF_CLOSE, OPEN, RESET, with_status
from tests.socket_mesh import socket_mesh

UPLOADS = (b'', bytes(300_000))
LATENCY_S = 0.2
# A run is overdue by then, and its retry begins.
OVERDUE_S = 0.5
TIMES = {'timeout_s': DEADLINE_S, 'target_latency_s': LATENCY_S}
ROUTES = config_document(read=TIMES, write=TIMES)
CALLS = 3
BROKEN: tuple[tuple[Step, ...], ...] = (
    (OPEN + b'part', RESET),
    (OPEN, 0.01, b'part', RESET),
    (OPEN + bytes(2_000_000), RESET),
    (with_status(b'000') + b'content-length: 2\r\n\r\nno',),
    (with_status(b'999') + b'content-length: 2\r\n\r\nno',),
    (HEAD + b'x note: 1\r\ncontent-length: 2\r\n\r\nno',),
    (HEAD + b'transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n', HALF_CLOSE),
)


@dataclass(frozen=True)
class Pair:
    """Two nodes, the first beside a target that responds brokenly.

    Args:
        port: Port of the first node for callers.
        broken: Its target.
        whole: The target of the other node.
    """

    port: int
    broken: BrokenTarget
    whole: BrokenTarget

    def count_runs(self) -> int:
        """Return the number of requests that the targets received."""
        return len(self.broken.received) + len(self.whole.received)

    async def call(self, path: str, upload: bytes) -> Answer | None:
        """Send a request to its end."""
        return await call(self.port, path, upload)


@asynccontextmanager
async def pair(
    broken: tuple[Step, ...], whole: tuple[Step, ...]
) -> AsyncIterator[Pair]:
    """Run two nodes, each with a target that answers by a script."""
    targets = BrokenTarget(broken), BrokenTarget(whole)
    addresses = [target.start() for target in targets]
    try:
        async with socket_mesh(document=ROUTES, target_elsewhere=True) as mesh:
            for node, address in zip(
                (mesh.node, mesh.serving), addresses, strict=True
            ):
                node.lifecycle.record_heartbeat(
                    Heartbeat('i-2', 2, 1, 'desk', address, 4, False, 0),
                )
            await asyncio.sleep(SETTLE_S * 3)
            yield Pair(mesh.caller_port, *targets)
    finally:
        for target in targets:
            target.close()


class RetryTest(TestCase):
    """A broken response is repeated only where it may be, and never mixed."""

    # 999 and unknown codings were passed on; resets and names held before.
    def test_idempotent(self) -> None:
        for runner in RUNNERS:
            for script in BROKEN:
                runner(self._check('/read/x', script))

    # As above; 000 took the whole deadline.
    def test_non_idempotent(self) -> None:
        for runner in RUNNERS:
            for script in BROKEN:
                runner(self._check('/write/x', script))

    async def _check(self, path: str, script: tuple[Step, ...]) -> None:
        async with pair(script, (WHOLE,)) as fleet:
            answers = [
                await fleet.call(path, upload) for upload in UPLOADS * CALLS
            ]
            received = len(fleet.broken.received)
            runs = fleet.count_runs()
        self.assertThat(received, GreaterThan(0), repr(script))
        for answer in answers:
            self._check_answer(answer, script)
        if path.startswith('/write'):
            self.assertThat(runs, Equals(len(answers)), repr(script))

    def _check_answer(
        self, answer: Answer | None, script: tuple[Step, ...]
    ) -> None:
        # None is a response that breaks off.
        if answer is not None and answer != Answer(200, b'ok'):
            self.assertThat(answer.status, Equals(502), repr(script))

    # As above: a run and its retry, of which one responds brokenly.
    def test_overdue_run(self) -> None:
        for runner in RUNNERS:
            for script in BROKEN[::3]:
                late = (OVERDUE_S, *script)
                runner(self._check_hedge(late, (WHOLE,)))
                runner(self._check_hedge(script, (OVERDUE_S, WHOLE)))

    async def _check_hedge(
        self, script: tuple[Step, ...], whole: tuple[Step, ...]
    ) -> None:
        async with pair(script, whole) as fleet:
            answers = await asyncio.gather(
                *(fleet.call('/read/x', b'') for _ in range(2 * CALLS))
            )
            received = len(fleet.broken.received)
        self.assertThat(received, GreaterThan(0), repr(script))
        self.assertThat(answers, Contains(Answer(200, b'ok')), repr(script))
        for answer in answers:
            self._check_answer(answer, script)
