"""Tests of a node: a recorded run, cancellation, no io_uring."""

import asyncio
import contextlib
import os
import tempfile
from pathlib import Path

import uvloop
from testtools import TestCase
from testtools.matchers import Equals, HasLength

from tests.builders import run_virtual, small_fleet
from tests.cases import TraceTest


class RecordedRunTest(TraceTest):
    """Replays a run of five processes, recorded by scripts/chaos.sh."""

    def test_replayed(self) -> None:
        self.holds('recorded')


class CancellationTest(TestCase):
    """A request is cancelled when its caller disconnects."""

    def test_reaches_the_target(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=91)
            for instance in fleet.instances.values():
                instance.behaviour.work_s = 5
            call = asyncio.ensure_future(fleet.call('a-1:7000', '/ledger/x'))
            await asyncio.sleep(1)
            call.cancel()
            await asyncio.sleep(0.1)
            target = fleet.instances['a-3:7000']
            self.assertThat(target.behaviour.cancelled, Equals(1))
            gate = target.node.server.announced
            self.assertThat(gate.gate.running if gate else 1, Equals(0))

        run_virtual(case())


class EventLoopTest(TestCase):
    """The event loop does not open an io_uring."""

    def test_no_ring(self) -> None:
        async def use_files() -> list[str]:
            loop = asyncio.get_running_loop()
            with tempfile.NamedTemporaryFile() as file:
                await loop.run_in_executor(None, Path(file.name).read_bytes)
            await asyncio.sleep(0)
            return [link for link in open_files() if 'io_uring' in link]

        self.assertThat(uvloop.run(use_files()), HasLength(0))


def open_files() -> list[str]:
    """Return the link targets of this process's file descriptors."""
    found = []
    for name in os.listdir('/proc/self/fd'):
        with contextlib.suppress(OSError):
            found.append(os.readlink(f'/proc/self/fd/{name}'))
    return found
