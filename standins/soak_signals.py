"""SIGHUP in a soak test, and processes that end without being told to."""

import asyncio
import random
import signal
import time
from asyncio.subprocess import Process
from collections.abc import Iterator, Sequence

from standins.soak_instance import SoakInstance

HANG_UP_PAUSE_S = (0.02, 0.3)


class HangUpLoad:
    """Sends SIGHUP to nodes, from their first handler to their exit.

    Args:
        rng: Chooses nodes and times.
        instances: The instances.
    """

    def __init__(
        self, rng: random.Random, instances: Sequence[SoakInstance]
    ) -> None:
        self._rng = rng
        self._instances = instances
        # Processes that have had a handler, also if it is gone.
        self._prepared: set[Process] = set()

    async def run(self, seconds: float) -> None:
        """Signal one node after the other for some time."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            instance = self._rng.choice(self._instances)
            self._note_handlers()
            if instance.process in self._prepared:
                instance.signal(signal.SIGHUP)
            await asyncio.sleep(self._rng.uniform(*HANG_UP_PAUSE_S))

    def _note_handlers(self) -> None:
        for instance in self._instances:
            if instance.process and instance.has_handler(signal.SIGHUP):
                self._prepared.add(instance.process)


def unprompted_ends(instances: Sequence[SoakInstance]) -> Iterator[str]:
    """Yield processes that ended without SIGTERM or SIGKILL, or by SIGHUP."""
    for instance in instances:
        for process in instance.processes:
            code = process.returncode
            if code == -signal.SIGHUP:
                yield f'{instance.name} was ended by SIGHUP'
            elif code is not None and process not in instance.told_to_end:
                yield f'{instance.name} ended by itself with code {code}'
