"""Watches the calls that the local target makes through this node."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from filbertdrift.balance.callroom import CallRoom
from filbertdrift.routed import RoutedRequest, RoutedResponse

CALL_RANK = 0
STATUS_SERVER_ERROR = 500
# A caller that leaves earlier than this before its deadline has not given up
# the call for its lateness. Timers and the connection take some milliseconds.
DEADLINE_SLACK_S = 0.02

Dispatch = Callable[[RoutedRequest], Awaitable[RoutedResponse]]


class CallWatch:
    """Records the calls of the local target and how they end.

    Args:
        room: Learns from the calls.
        running: Returns the kinds of the requests that the target runs, None
            while calls are not watched.
    """

    def __init__(
        self, room: CallRoom, running: Callable[[], Sequence[str] | None]
    ) -> None:
        """Set what is told of calls."""
        self._room = room
        self._running = running

    async def observe(
        self, routed: RoutedRequest, dispatch: Dispatch
    ) -> RoutedResponse:
        """Dispatch a request, and record it if it may be a call.

        Args:
            routed: The request.
            dispatch: Dispatches it.

        Returns:
            The response.

        Raises:
            RequestNotRun: No target ran the request.
            RequestUnknown: A target may have run the request.
        """
        is_call = routed.route.rank == CALL_RANK
        if not is_call or routed.req.client_account:
            return await dispatch(routed)
        running = self._running()
        if running is None:
            return await dispatch(routed)
        now = asyncio.get_running_loop().time()
        self._room.record_call(routed.route.name, running, now)
        try:
            response = await dispatch(routed)
        except Exception:
            self._record(routed, is_failure=True)
            raise
        except asyncio.CancelledError:
            self._record_departure(routed)
            raise
        is_failure = response.status >= STATUS_SERVER_ERROR
        self._record(routed, is_failure=is_failure)
        return response

    def _record_departure(self, routed: RoutedRequest) -> None:
        """Record a call whose caller left: late, or its run was given up."""
        now = asyncio.get_running_loop().time()
        if now >= routed.req.deadline - DEADLINE_SLACK_S:
            self._record(routed, is_failure=True)

    def _record(self, routed: RoutedRequest, *, is_failure: bool) -> None:
        now = asyncio.get_running_loop().time()
        self._room.record_outcome(
            routed.route.name, is_failure=is_failure, now=now
        )
