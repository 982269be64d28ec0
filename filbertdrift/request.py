"""A request as it entered at a node, its outcome and its answer."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

from filbertdrift import http1


class Outcome(Enum):
    """What a caller is told about its request."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class IngressRequest:
    """A request as it entered at this node.

    Args:
        request_id: Names the request in logs, traces and the target.
        method: Upper case.
        path: The request target, query included.
        headers: End-to-end headers.
        first_chunk: The beginning of the body.
        is_whole: True if the body ends with the first chunk.
        read_body: Returns the next part of the body.
        deadline: When the caller gives up, on the loop's clock.
        client_account: Whose request it is, empty if unknown.
        is_nested: The caller is itself serving a request of this system.
        fingerprint: Hash of the content, the same for a repeat.
        tried: Nodes that it was sent to, without those that were only asked
            for a free slot and had none.
        is_body_consumed: Body beyond the first chunk was read.
        caller_timeout_s: The time that the caller's deadline header leaves,
            None without that header.
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
    caller_timeout_s: float | None = None


class Response(ABC):
    """An answer whose body may still be coming.

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
            stall_s: How long the body may stand still.

        Raises:
            RequestUnknown: The answer is cut short.
        """

    @abstractmethod
    def close(self) -> None:
        """End the answer; what has not come yet is given up."""
