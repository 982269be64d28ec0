"""Requests at their ingress node, their outcomes and responses."""

import contextlib
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

from filbertdrift import http1
from filbertdrift.accounts.directory import ClientAccount


class Outcome(Enum):
    """Outcome of a request, as reported to its caller."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class IngressRequest:
    """A request as a caller sent it to this node.

    Args:
        request_id: Id of the request in logs, traces and at the target.
        method: The HTTP method, in upper case.
        path: The request target, query included.
        headers: End-to-end headers.
        first_chunk: The beginning of the body.
        is_whole: The body ends with the first chunk.
        read_body: Returns the next part of the body.
        deadline: When the caller gives up, on the loop's clock.
        client_account: The caller's account, empty if unknown.
        is_nested: The caller is itself serving a request of this system.
        fingerprint: Hash of the content, the same for a retry.
        tried: Nodes that it was sent to, without those that refused it only
            because no slot was free.
        is_body_consumed: Body beyond the first chunk was read.
        may_have_run: Some target may have run it, as far as this node knows.
        caller_timeout_s: The timeout in the caller's deadline header, None if
            absent.
        account: The client account of the caller's key, None without one.
        arrived_at: When its head may have arrived, on the loop's clock.
        start_by: No target may be handed it later, on the loop's clock.
        cleanup: Ends the attempts that are still open; closed by the ingress
            once the request has ended.
    """

    request_id: str
    method: str
    path: str
    headers: http1.Headers
    first_chunk: bytes
    is_whole: bool
    read_body: Callable[[], Awaitable[http1.BodyPart]]
    deadline: float
    client_account: str = ''
    is_nested: bool = False
    fingerprint: str = ''
    tried: list[str] = field(default_factory=list)
    is_body_consumed: bool = False
    may_have_run: bool = False
    caller_timeout_s: float | None = None
    account: ClientAccount | None = None
    arrived_at: float = 0.0
    start_by: float = float('inf')
    cleanup: contextlib.ExitStack = field(default_factory=contextlib.ExitStack)

    def find_rank(self, route_rank: int) -> int:
        """Return the priority that counts: of the account, or the route.

        Args:
            route_rank: The priority of the route.
        """
        account = self.account
        if account is None or account.rank is None:
            return route_rank
        return account.rank


class Response(ABC):
    """An HTTP response whose body may still be arriving.

    Attributes:
        status: The HTTP status.
        headers: End-to-end headers.
        first_part: The beginning of the body.
    """

    status: int
    headers: http1.Headers
    first_part: http1.BodyPart

    @abstractmethod
    async def part(self, stall_s: float) -> http1.BodyPart:
        """Return the next part of the body.

        Args:
            stall_s: Timeout for that part.

        Raises:
            RequestUnknown: The response is incomplete.
        """

    @abstractmethod
    def close(self) -> None:
        """Release the response; the rest of its body is discarded."""
