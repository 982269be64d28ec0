"""One node's part of the retry budget that all nodes share.

In any window, the budget of a service allows retries for a ratio of its
requests plus a constant. Nodes do not coordinate: each keeps to the ratio of
its own ingress requests and to an equal part of the constant.
"""

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

# Share of its budget that a node spends. The rest covers retries caused by
# other retries, which the node that sent the first one cannot count.
USABLE_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """The retry budget of a service, for all nodes together.

    Args:
        ratio: Retries allowed for each request.
        extra: Retries allowed in addition in each window.
        window_s: Length of the sliding window.
    """

    ratio: float = 0.1
    extra: float = 20.0
    window_s: float = 10.0


@dataclass(slots=True)
class _Window:
    """Times of one service's requests and retries, the oldest first."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def drop_before(self, earliest: float) -> None:
        """Drop all times before the given one, on the loop's clock."""
        for times in (self.requests, self.repeats):
            while times and times[0] < earliest:
                times.popleft()


class SharedRetryBudget:
    """Limits this node's retries to its part of each service's budget.

    Args:
        limits: The budget of a service, for all nodes together.
        node_count: Returns how many nodes share the budget, None if that is
            not known yet: then the constant is left to the others.

    Attributes:
        spent: Retries allowed.
        denied: Retries not allowed.
    """

    def __init__(
        self,
        limits: RetryLimits,
        node_count: Callable[[], int | None],
    ) -> None:
        """Start with an empty window."""
        self.denied = 0
        self.spent = 0
        self.limits = limits
        self._node_count = node_count
        self._windows: dict[str, _Window] = defaultdict(_Window)

    def record_request(self, service: str) -> None:
        """Count an ingress request of this node."""
        self._window(service).requests.append(_now())

    def spend(self, service: str) -> bool:
        """Take one retry; return False if this node's part is exhausted."""
        if self.left(service) < 1:
            self.denied += 1
            return False
        self._windows[service].repeats.append(_now())
        self.spent += 1
        return True

    def left(self, service: str) -> float:
        """Return how many retries this node may still allow now."""
        window = self._window(service)
        limits = self.limits
        allowed = limits.ratio * len(window.requests)
        nodes = self._node_count()
        if nodes is not None:
            allowed += limits.extra / max(nodes, 1)
        return allowed * USABLE_SHARE - len(window.repeats)

    def _window(self, service: str) -> _Window:
        window = self._windows[service]
        window.drop_before(_now() - self.limits.window_s)
        return window


def _now() -> float:
    return asyncio.get_running_loop().time()
