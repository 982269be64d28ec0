"""Requests with their route and service, and the responses to them."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift.balance.tracking import RequestTracker
from filbertdrift.forwarded import ForwardedResponse
from filbertdrift.members import Member
from filbertdrift.request import IngressRequest
from filbertdrift.routing import PrefixRoute

# Smallest size of a large body, which saturates links of low bandwidth.
LARGE_BODY_BYTES = 16_384


@dataclass(slots=True)
class RoutedRequest:
    """A request with its route and the service chosen for it.

    Args:
        req: The ingress request.
        route: Its route.
        service: The service of all its attempts.
        objective_at: When its latency objective ends, on the loop's clock.
        version: The version of the configuration that it was routed by.
        candidates: The targets that it may be sent to, None before the first
            attempt.
        tracker: Set while its target is chosen by expected completion.
    """

    req: IngressRequest
    route: PrefixRoute
    service: str
    objective_at: float
    version: int
    candidates: Sequence[Member] | None = None
    tracker: RequestTracker | None = None

    @property
    def rank(self) -> int:
        """Return the priority that counts: of the account, or the route."""
        return self.req.find_rank(self.route.rank)

    @property
    def has_large_body(self) -> bool:
        """Return whether the request has a large body."""
        return len(self.req.first_chunk) >= LARGE_BODY_BYTES


class RoutedResponse(ForwardedResponse):
    """A response that may arrive before its request's body is sent."""

    upload: asyncio.Task[None] | None = None
    deadline = float('inf')

    async def finish_upload(self) -> None:
        """Wait for the rest of the request's body, until the deadline."""
        if self.upload is None:
            return
        left_s = self.deadline - asyncio.get_running_loop().time()
        _, pending = await asyncio.wait((self.upload,), timeout=max(left_s, 0))
        if pending:
            logger.bind(event='upload_overdue').info(
                'the body did not end by the deadline',
            )
