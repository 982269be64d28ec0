"""Requests of other nodes for a slot, and what the slot was used for."""

import asyncio
from types import TracebackType
from typing import Self

from filbertdrift.balance.admissionqueue import SlotRequest
from filbertdrift.balance.estimate import RequestFeatures
from filbertdrift.balance.slottime import SlotUse
from filbertdrift.errors import RequestNotRun, RequestUnknown
from filbertdrift.gen import ttypes
from filbertdrift.objective_gate import ObjectiveGate

MS_PER_S = 1000
CALL_RANK = 0
STATUS_SERVER_ERROR = 500


class SlotHold:
    """Holds an admitted request's slot, and releases it at the end.

    Args:
        gate: The gate that admitted it.
        req: The request given to the gate.
    """

    def __init__(self, gate: ObjectiveGate, req: SlotRequest) -> None:
        """Hold the slot; the target has not got the request."""
        self._gate = gate
        self._req = req
        self._started_at: float | None = None
        self._spent_s = 0.0
        self._use = SlotUse.IDLE

    def __enter__(self) -> Self:
        """Return the hold."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the slot, and state what it was used for."""
        if exc is not None and self._started_at is not None:
            self._use = _use_of_error(exc)
        self._gate.release(self._req.kind, self._spent_s, self._req, self._use)

    def start(self) -> None:
        """Record that the target gets the request now."""
        self._started_at = asyncio.get_running_loop().time()

    def end(self, status: int, began_at: float) -> None:
        """Record that the target has responded.

        Args:
            status: The status of its response.
            began_at: When the time that it needed began, on the loop's clock.
        """
        now = asyncio.get_running_loop().time()
        self._spent_s = now - began_at
        if status >= STATUS_SERVER_ERROR:
            self._use = SlotUse.FAILED
        elif now > self._req.objective_at:
            self._use = SlotUse.LATE
        else:
            self._use = SlotUse.IN_TIME


def build_slot_request(
    req: ttypes.RequestOpen, sent_at: float, weight: float = 1
) -> SlotRequest:
    """Return the request for a slot, with times on the loop's clock.

    Args:
        req: The request, with durations counted from when it was sent.
        sent_at: When it was sent, on the loop's clock.
        weight: The weight of its account.
    """
    account = req.customer or ''
    return SlotRequest(
        rank=req.importance,
        kind=req.route_name or '',
        objective_at=sent_at + (req.objective_ms or 0) / MS_PER_S,
        deadline=sent_at + req.remaining_ms / MS_PER_S,
        may_wait=not req.no_wait,
        account=account,
        weight=weight,
        is_nested=req.importance == CALL_RANK and not account,
        is_idempotent=bool(req.is_idempotent),
        features=RequestFeatures(
            req.route_name or '', req.method or '', account=account
        ),
    )


def _use_of_error(exc: BaseException) -> SlotUse:
    """Return what the slot of a request was used for that ended so."""
    if isinstance(exc, RequestUnknown):
        is_timeout = isinstance(exc.__cause__, TimeoutError)
        return SlotUse.GIVEN_UP if is_timeout else SlotUse.FAILED
    if isinstance(exc, asyncio.CancelledError):
        return SlotUse.GIVEN_UP
    if isinstance(exc, RequestNotRun):
        # The target refused it.
        return SlotUse.IDLE
    return SlotUse.FAILED
