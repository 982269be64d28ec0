"""Waits for the requests in progress while a node stops."""

import asyncio

from loguru import logger

from filbertdrift.entry import IngressServer
from filbertdrift.handover import HandoverServer
from filbertdrift.stopping.plan import StopPlan
from filbertdrift.stopping.steps import run_step

POLL_S = 0.05
# Connections that were just accepted are not known to be idle yet.
QUIET_POLLS = 2


class RequestDrain:
    """The requests of callers and of other nodes while their node stops.

    Args:
        entry: Serves the callers.
        handover: Serves the requests of other nodes.
        plan: The times of the stop.
    """

    def __init__(
        self, entry: IngressServer, handover: HandoverServer, plan: StopPlan
    ) -> None:
        """Set what to wait for; nothing is waited for yet."""
        self._entry = entry
        self._handover = handover
        self._plan = plan

    async def run(self) -> None:
        """Wait for all requests; end those that last too long."""
        plan = self._plan
        self._entry.is_closing = True
        self._entry.stop_plan = plan
        loop = asyncio.get_running_loop()
        await asyncio.sleep(plan.unnoticed_until - loop.time())
        await run_step('callers', self._callers(), plan.requests_end_at)
        self._log('requests_due')
        # Better a final response than a connection that ends without one.
        self._entry.interrupt()
        await run_step('responses', self._responses(), plan.drained_by - POLL_S)
        self._log('requests_ended')
        if self._handover.in_progress:
            self._handover.interrupt()
            # Their last messages are on their way before connections end.
            await asyncio.sleep(POLL_S / 2)

    async def _callers(self) -> None:
        """Wait until no caller is connected and no request in progress."""
        quiet_polls = 0
        while quiet_polls < QUIET_POLLS:
            self._entry.close_idle()
            await asyncio.sleep(POLL_S)
            is_quiet = self._entry.is_empty and not self._in_progress
            quiet_polls = quiet_polls + 1 if is_quiet else 0

    async def _responses(self) -> None:
        """Wait until responses were sent and their callers have them."""
        while self._in_progress or self._entry.lingering:
            await asyncio.sleep(POLL_S)

    @property
    def _in_progress(self) -> int:
        return self._entry.in_progress + self._handover.in_progress

    def _log(self, event: str) -> None:
        logger.bind(
            event=event,
            unfinished=self._in_progress,
            of_callers=self._entry.in_progress,
            of_peers=self._handover.in_progress,
        ).info('{}', event)
