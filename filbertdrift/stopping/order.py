"""The order to stop this process, and its exit in time, whatever hangs."""

import asyncio
import os
import signal
import threading
import time
from types import FrameType

from loguru import logger

from filbertdrift.errors import EXIT_FAILED
from filbertdrift.stopping.plan import StopPlan, plan_stop

MS_PER_S = 1000
# The thread that exits checks the clock this often.
CHECK_INTERVAL_S = 0.02
# Time for the last log line.
LAST_LINE_S = 0.05


class StopOrder:
    """Waits for SIGTERM or SIGINT, and then exits by the end of the plan.

    The signal handler runs between two instructions, so a loop that is busy
    does not delay the plan. A thread exits: a task that ignores its
    cancellation would keep the loop from ending.

    Args:
        grace_s: How long after the signal the process is killed.

    Attributes:
        phase: What the process does, for the log.
    """

    def __init__(self, grace_s: float) -> None:
        """Handle the signals from now on, in the running loop."""
        self.phase = 'drain'
        self._grace_s = grace_s
        self._plan: StopPlan | None = None
        self._ordered_at = 0.0
        self._loop = asyncio.get_running_loop()
        self._has_order = asyncio.Event()
        self._is_counting = threading.Event()
        thread = threading.Thread(target=self._exit_in_time, daemon=True)
        thread.start()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)

    async def wait(self) -> StopPlan:
        """Return the plan of the stop when it is ordered."""
        await self._has_order.wait()
        return self._plan or self._make_plan()

    def log(self, event: str) -> None:
        """Log an event of the stop with the time since the order."""
        since_s = time.monotonic() - self._ordered_at
        logger.bind(event=event, since_sigterm_ms=int(since_s * MS_PER_S)).info(
            '{}', event
        )

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        if self._plan is None:
            self._make_plan()
            self._is_counting.set()
            self._loop.call_soon_threadsafe(self._has_order.set)

    def _make_plan(self) -> StopPlan:
        self._ordered_at = time.monotonic()
        self._plan = plan_stop(self._ordered_at, self._grace_s)
        return self._plan

    def _exit_in_time(self) -> None:
        """Exit at the end of the plan, unless the process has ended before."""
        self._is_counting.wait()
        plan = self._plan or self._make_plan()
        _sleep_until(plan.exits_by - LAST_LINE_S)
        # A thread of its own, as the lock of the logger may never get free.
        threading.Thread(target=self._log_exit, daemon=True).start()
        _sleep_until(plan.exits_by)
        os._exit(EXIT_FAILED)

    def _log_exit(self) -> None:
        logger.bind(event='exit_forced', phase=self.phase).error(
            'the stop takes too long; the process exits'
        )


def _sleep_until(until: float) -> None:
    """Sleep by the clock that the plan was made with."""
    while time.monotonic() < until:
        time.sleep(CHECK_INTERVAL_S)
