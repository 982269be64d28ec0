"""Supervision of background tasks, restarted when they fail."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from loguru import logger

RESTART_DELAY_S = 1.0


@dataclass(slots=True)
class SupervisorCounters:
    """Failures of supervised tasks."""

    restarts: int = 0


class Supervisor:
    """Runs background tasks, logs their failures and restarts them."""

    def __init__(self) -> None:
        """Start with no failures counted."""
        self.counters = SupervisorCounters()

    async def keep_running(
        self,
        name: str,
        work: Callable[[], Awaitable[None]],
    ) -> None:
        """Run a task until cancelled, restarting it whenever it ends.

        Args:
            name: Name of the task in the log.
            work: A coroutine function that normally does not return.
        """
        while True:
            try:
                await work()
            except Exception as exc:
                _end_if_cancelled(name, exc)
                self.counters.restarts += 1
                logger.exception('task {} failed; restarting it', name)
            await asyncio.sleep(RESTART_DELAY_S)


def _end_if_cancelled(name: str, exc: Exception) -> None:
    """End the current task if its work failed because of a cancellation."""
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        logger.warning('task {} failed when cancelled: {!r}', name, exc)
        raise asyncio.CancelledError from exc
