"""Broken responses of a target do not reach callers as answers."""

import asyncio
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

from testtools import TestCase
from testtools.matchers import Equals

from standins.broken_target import HEAD, Action, BrokenTarget, Step
from tests.broken_mesh import (
    RUNNERS,
    Answer,
    call,
    let_arrive,
    library_port,
    node_beside,
    node_elsewhere,
)

HOLD, RESET = Action.HOLD, Action.RESET
CLOSE, HALF_CLOSE = Action.CLOSE, Action.HALF_CLOSE
Place = Callable[[BrokenTarget], AbstractAsyncContextManager[int]]
# Above what a node reads of a response before it forwards any of it.
LONG = bytes(2_000_000)
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
