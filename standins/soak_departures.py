"""Targets that leave by DELETE in a soak test, and their late heartbeats."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Sequence

from standins.soak_history import DRAIN_S
from standins.soak_instance import SoakInstance

# Departing targets keep serving for longer than they must.
EXTRA_SERVING_S = 2.0
# How often the node is killed before the acknowledgement, and after it.
KILLED_BEFORE_SHARE = 0.4
KILLED_AFTER_SHARE = 0.4


class DepartureLoad:
    """Lets targets leave by DELETE, beside other faults.

    Its random choices are its own, so that those of the faults stay the same
    for a seed.

    Args:
        rng: Chooses targets and times.
        instances: The instances of the targets.
        kill: Kills the node of an instance and starts it again.
        run_in_background: Runs a departure to its end.
    """

    def __init__(
        self,
        rng: random.Random,
        instances: Sequence[SoakInstance],
        kill: Callable[[SoakInstance], Awaitable[None]],
        run_in_background: Callable[[Awaitable[None]], None],
    ) -> None:
        self._rng = rng
        self._instances = instances
        self._kill = kill
        self._run_in_background = run_in_background

    async def run(self, seconds: float) -> None:
        """Let one target after the other leave, for some time."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            self._run_in_background(
                self._depart(
                    self._rng.choice(self._instances),
                    self._rng.random(),
                    self._rng.uniform(0.5, 3),
                )
            )
            await asyncio.sleep(self._rng.uniform(2, 6))

    async def _depart(
        self, instance: SoakInstance, order: float, late_s: float
    ) -> None:
        """Let a target leave, with a heartbeat that arrives late.

        Args:
            instance: The instance of the target.
            order: Its node is killed before the acknowledgement if this is
                small, after it if it is large.
            late_s: How long after that the heartbeat arrives.
        """
        leaving = instance.target.instance
        instance.target.hold_back_heartbeat()
        if order < KILLED_BEFORE_SHARE:
            await self._kill(instance)
        await instance.target.leave_unannounced()
        if order >= 1 - KILLED_AFTER_SHARE:
            await self._kill(instance)
        await _serve_on(instance, late_s)
        if instance.target.instance == leaving:
            await _replace(instance)


async def _serve_on(instance: SoakInstance, late_s: float) -> None:
    """Deliver the late heartbeat of a target, which goes on for a while."""
    await asyncio.sleep(late_s)
    await instance.target.deliver_heartbeat()
    await asyncio.sleep(DRAIN_S + EXTRA_SERVING_S)


async def _replace(instance: SoakInstance) -> None:
    """Start another target in place of one that has left."""
    instance.target.crash()
    await asyncio.sleep(0.2)
    await instance.target.start()
