"""The time by which a request with a key must be handed to its target.

The ingress sets it by the evidence with which it honoured the key. Nodes pass
it on as a duration from when the message was sent, as they have no clock in
common.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from filbertdrift.errors import RequestNotRun

MS_PER_S = 1000
NO_LIMIT = float('inf')
# The ingress has newer evidence by then, or refuses the next attempt itself.
RETRY_AFTER_MS = 300

_Request = TypeVar('_Request')


def find_start_within_ms(start_by: float, now: float) -> int | None:
    """Return the limit as a duration, None for no limit.

    Args:
        start_by: The limit on the loop's clock.
        now: When the message that states it is sent.
    """
    if start_by == NO_LIMIT:
        return None
    return max(int((start_by - now) * MS_PER_S), 0)


def find_start_by(start_within_ms: int | None, sent_at: float) -> float:
    """Return the limit on the loop's clock.

    Args:
        start_within_ms: As stated by the ingress, None for no limit.
        sent_at: When the message was sent, on the loop's clock.
    """
    if start_within_ms is None:
        return NO_LIMIT
    return sent_at + start_within_ms / MS_PER_S


def check_start(start_by: float) -> None:
    """Check that a request may still be handed to its target.

    Args:
        start_by: The limit on the loop's clock.

    Raises:
        RequestNotRun: It is too late.
    """
    if asyncio.get_running_loop().time() >= start_by:
        raise build_late_start_error()


async def admit_before(
    start_by: float,
    admit: Callable[[_Request], Awaitable[None]],
    req: _Request,
) -> None:
    """Wait for a slot, no longer than the request may still start.

    Args:
        start_by: The limit on the loop's clock.
        admit: Waits for a slot.
        req: The request for a slot.

    Raises:
        RequestNotRun: It got no slot in time.
    """
    if start_by == NO_LIMIT:
        await admit(req)
        return
    check_start(start_by)
    try:
        async with asyncio.timeout_at(start_by):
            await admit(req)
    except TimeoutError as exc:
        raise build_late_start_error() from exc


def build_late_start_error() -> RequestNotRun:
    """Return the error of a request whose key was checked too long ago."""
    return RequestNotRun(
        'its key was checked too long ago',
        retry_after_ms=RETRY_AFTER_MS,
        step='check key',
    )
