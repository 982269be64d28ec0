"""Detection of pauses of this process."""

import asyncio
import time
from collections.abc import Callable

from filbertdrift.gen import ttypes

TICK_S = 0.25
PAUSE_S = 2.0
RECOVERY_S = 1.0
RETRY_AFTER_MS = 400


class PauseDetector:
    """Notices that this process did not run for a while.

    What waited in its buffers meanwhile may be too old to act on, and what it
    believed of others was not refreshed.
    """

    def __init__(
        self,
        suspended_s: Callable[[], float] | None = None,
    ) -> None:
        """Start without a pause.

        Args:
            suspended_s: Returns for how long the machine was suspended since
                it booted; the loop's clock does not count that time.
        """
        self._suspended_s = suspended_s or machine_suspended_s
        self._known_suspended_s = self._suspended_s()
        self.pauses = 0
        self.on_pause: Callable[[], None] = _ignore
        self._ticked_at: float | None = None
        self._recovered_at = 0.0

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(TICK_S)

    def check(self) -> bool:
        """Tell whether this process was paused just now.

        Returns:
            True from waking until what waited in buffers has been read.
        """
        now = asyncio.get_running_loop().time()
        ticked_at = now if self._ticked_at is None else self._ticked_at
        self._ticked_at = now
        suspended_s = self._suspended_s()
        missed_s = now - ticked_at + suspended_s - self._known_suspended_s
        self._known_suspended_s = suspended_s
        if missed_s > PAUSE_S:
            self.pauses += 1
            self._recovered_at = now + RECOVERY_S
            self.on_pause()
        return now < self._recovered_at


def machine_suspended_s() -> float:
    """Return for how long the machine was suspended since it booted."""
    booted_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return booted_s - time.clock_gettime(time.CLOCK_MONOTONIC)


def paused_refusal() -> ttypes.Refusal:
    """Return the answer to a request that may have waited out a pause."""
    return ttypes.Refusal(
        ttypes.RefusalKind.NOT_RUN,
        'this node was paused; the request may be old',
        RETRY_AFTER_MS,
        0,
        reached_target=False,
    )


def _ignore() -> None:
    """Do nothing."""
