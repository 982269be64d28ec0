"""Work that goes on for as long as the process runs."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from loguru import logger

RESTART_DELAY_S = 1.0


@dataclass(slots=True)
class SupervisorCounters:
    """Failures of periodic work."""

    restarts: int = 0


class Supervisor:
    """Starts work that failed again, and says so."""

    def __init__(self) -> None:
        """Start without failures."""
        self.counters = SupervisorCounters()

    async def keep_running(
        self,
        name: str,
        work: Callable[[], Awaitable[None]],
    ) -> None:
        """Run work until cancelled, again after each failure.

        Args:
            name: What it is, for the log.
            work: A coroutine function that does not return.
        """
        while True:
            try:
                await work()
            except Exception:
                self.counters.restarts += 1
                logger.exception('{} failed and starts again', name)
            await asyncio.sleep(RESTART_DELAY_S)
