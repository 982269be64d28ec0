"""The share of a fleet's retry budget that one node may spend.

A service tolerates, in any window, a number of repeats that is a ratio of its
requests plus a constant. All nodes draw on the same budget without asking
each other: each keeps to the ratio of the requests that entered at it, and to
its part of the constant.
"""

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

# Part of the budget that a node plans with: the rest covers repeats that
# follow from repeats, which the node that caused them cannot count.
PLANNED_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """The budget of all nodes together.

    Args:
        ratio: Repeats for each request of a service.
        extra: Repeats allowed on top in each window.
        window_s: Length of the sliding window.
    """

    ratio: float = 0.1
    extra: float = 20.0
    window_s: float = 10.0


@dataclass(slots=True)
class _Window:
    """Requests and repeats of one service, the oldest first."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def forget_before(self, earliest: float) -> None:
        """Drop what lies before a time on the loop's clock."""
        for times in (self.requests, self.repeats):
            while times and times[0] < earliest:
                times.popleft()


class SharedRetryBudget:
    """Counts requests and repeats by service and allows repeats.

    Args:
        limits: The budget of all nodes together.
        node_count: Returns how many nodes draw on it.
    """

    def __init__(
        self,
        limits: RetryLimits,
        node_count: Callable[[], int],
    ) -> None:
        """Start with an empty window."""
        self.denied = 0
        self.spent = 0
        self.limits = limits
        self._node_count = node_count
        self._windows: dict[str, _Window] = defaultdict(_Window)

    def record_request(self, service: str) -> None:
        """Count a request that entered at this node."""
        self._window(service).requests.append(_now())

    def spend(self, service: str) -> bool:
        """Take one repeat; False if this node's share is used up."""
        if self.left(service) < 1:
            self.denied += 1
            return False
        self._windows[service].repeats.append(_now())
        self.spent += 1
        return True

    def left(self, service: str) -> float:
        """Return how many repeats this node may still allow now."""
        window = self._window(service)
        limits = self.limits
        allowed = limits.ratio * len(window.requests)
        allowed += limits.extra / max(self._node_count(), 1)
        return allowed * PLANNED_SHARE - len(window.repeats)

    def _window(self, service: str) -> _Window:
        window = self._windows[service]
        window.forget_before(_now() - self.limits.window_s)
        return window


def _now() -> float:
    return asyncio.get_running_loop().time()
