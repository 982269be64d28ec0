"""What the choice of a target knows of one request."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from filbertdrift.balance.estimate import CostEstimate, RequestFeatures
from filbertdrift.gen import ttypes
from filbertdrift.members import Member

US_PER_S = 1_000_000
# The largest figure of a message.
MAX_INT = 0x7FFFFFFF


@dataclass(frozen=True, slots=True)
class TrackedRequest:
    """A request whose target is chosen by expected completion.

    Args:
        service: The service of its targets.
        features: What is known of it.
        cost: What it is expected to cost.
        objective_at: When its latency objective ends, on the loop's clock.
        request_bytes: Length of its body.
        has_large_body: Whether it stays in its domain for its body.
    """

    service: str
    features: RequestFeatures
    cost: CostEstimate
    objective_at: float
    request_bytes: int = 0
    has_large_body: bool = False

    @property
    def cost_us(self) -> int:
        """Return the mean cost in microseconds."""
        return min(int(self.cost.mean_s * US_PER_S), MAX_INT)


@dataclass(frozen=True, slots=True)
class RequestTracker:
    """Binds a tracked request to the chooser, for its attempts.

    Args:
        request: The request.
        choose: Returns its target among members, without those excluded.
        sent: Records that it was sent to a member.
        received: Records the response of a member, with the latency, or its
            refusal.
    """

    request: TrackedRequest
    choose: Callable[[Sequence[Member], Collection[str], float], Member | None]
    sent: Callable[[Member, float], None]
    received: Callable[
        [Member, ttypes.AnswerOpen | ttypes.Refusal, float, float], None
    ]
