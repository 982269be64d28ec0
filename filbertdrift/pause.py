"""Detection of pauses of this process."""

import asyncio
from collections.abc import Callable

from filbertdrift.gen import ttypes

TICK_S = 0.25
PAUSE_S = 2.0
RECOVERY_S = 1.0
COME_BACK_MS = 400


class PauseGuard:
    """Notices that this process did not run for a while.

    What waited in its buffers meanwhile may be too old to act on, and what it
    believed of others was not refreshed.
    """

    def __init__(self) -> None:
        """Start without a pause."""
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
        if now - ticked_at > PAUSE_S:
            self.pauses += 1
            self._recovered_at = now + RECOVERY_S
            self.on_pause()
        return now < self._recovered_at


def paused_refusal() -> ttypes.Refusal:
    """Return the answer to a request that may have waited out a pause."""
    return ttypes.Refusal(
        ttypes.RefusalKind.NOT_RUN,
        'this node was paused; the request may be old',
        COME_BACK_MS,
        0,
        reached_target=False,
    )


def _ignore() -> None:
    """Do nothing."""
