"""A node process one part of which does not end when the node stops."""

import asyncio
import contextlib
import itertools
import sys
import time
from collections.abc import Callable, Iterator, Mapping

from filbertdrift.membership import Membership
from filbertdrift.mesh import MeshNode
from filbertdrift.platform import daemon
from filbertdrift.platform.store import StoreLog

LONG_S = 60


async def _never_end(*_: object) -> None:
    while True:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(3600)


def _hang_task() -> None:
    Membership.run = _never_end  # type: ignore[method-assign]


def _hang_log() -> None:
    StoreLog.close = _never_end  # type: ignore[method-assign]


def _hang_unknown_task() -> None:
    start = MeshNode.start

    async def start_more(node: MeshNode) -> None:
        await start(node)
        node.unknown = asyncio.create_task(_never_end())  # type: ignore[attr-defined]

    MeshNode.start = start_more  # type: ignore[method-assign]


def _hang_drain() -> None:
    MeshNode.drain = _never_end  # type: ignore[method-assign]


def _saturate_loop() -> None:
    async def drain(*_: object) -> None:
        for number in itertools.count():
            hash(number)

    MeshNode.drain = drain  # type: ignore[method-assign]


def _wait_when_removed(sleep: Callable[[float], None]) -> Iterator[None]:
    """Wait when the interpreter removes the suspended generator."""
    try:
        yield
    finally:
        sleep(LONG_S)


def _end_interpreter_slowly() -> None:
    waiting = _wait_when_removed(time.sleep)
    next(waiting)
    _kept.append(waiting)


_kept: list[object] = []

VARIANTS: Mapping[str, Callable[[], None]] = {
    'none': lambda: None,
    'task': _hang_task,
    'log': _hang_log,
    'unknown_task': _hang_unknown_task,
    'drain': _hang_drain,
    'loop': _saturate_loop,
    'interpreter': _end_interpreter_slowly,
}

if __name__ == '__main__':
    VARIANTS[sys.argv.pop()]()
    daemon.main()
