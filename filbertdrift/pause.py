"""Detection of pauses of this process, such as a suspended machine."""

import asyncio
import time
from collections.abc import Callable

from filbertdrift.gen import ttypes

CHECK_INTERVAL_S = 0.25
MIN_PAUSE_S = 2.0
RECOVERY_S = 1.0
RETRY_AFTER_MS = 400


class PauseDetector:
    """Detects that this process did not run for a while.

    After a pause, messages in its buffers may be too old to act on, and its
    view of other nodes is stale.
    """

    def __init__(
        self,
        suspended_s: Callable[[], float] | None = None,
    ) -> None:
        """Start in the state of no pause.

        Args:
            suspended_s: Returns for how long the machine was suspended since
                boot; the loop's clock does not include that time.
        """
        self._suspended_s = suspended_s or read_suspended_s
        self._last_suspended_s = self._suspended_s()
        self.pauses = 0
        self.on_pause: Callable[[], None] = _do_nothing
        self._ticked_at: float | None = None
        self._recovered_at = 0.0

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self) -> bool:
        """Return whether this process has just resumed from a pause.

        Returns:
            True from the end of a pause until buffered messages were read.
        """
        now = asyncio.get_running_loop().time()
        ticked_at = now if self._ticked_at is None else self._ticked_at
        self._ticked_at = now
        suspended_s = self._suspended_s()
        missed_s = now - ticked_at + suspended_s - self._last_suspended_s
        self._last_suspended_s = suspended_s
        if missed_s > MIN_PAUSE_S:
            self.pauses += 1
            self._recovered_at = now + RECOVERY_S
            self.on_pause()
        return now < self._recovered_at


def read_suspended_s() -> float:
    """Return for how long the machine was suspended since boot."""
    booted_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return booted_s - time.clock_gettime(time.CLOCK_MONOTONIC)


def build_pause_refusal() -> ttypes.Refusal:
    """Return the refusal of a request that may have waited during a pause."""
    return ttypes.Refusal(
        ttypes.RefusalKind.NOT_RUN,
        'this node was paused; the request may be old',
        RETRY_AFTER_MS,
        0,
        reached_target=False,
    )


def _do_nothing() -> None:
    """Do nothing."""
