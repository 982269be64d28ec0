"""Remaining work of the requests at a gate."""

from collections.abc import Hashable
from dataclasses import dataclass

from filbertdrift.balance.estimate import CostSource, RequestFeatures


@dataclass(slots=True)
class GateEntry:
    """A request at the gate.

    Args:
        features: What was known of it before it ran.
        cost_s: What it was expected to cost at a target of usual speed.
        sender_cost_s: What its sender expected, zero if it stated nothing.
        arrived_at: When it arrived, on the event loop's clock.
        started_at: When the target began to run it, None while it waits.
    """

    features: RequestFeatures
    cost_s: float
    sender_cost_s: float
    arrived_at: float
    started_at: float | None = None


class Backlog:
    """The requests at one gate, waiting and running."""

    def __init__(self) -> None:
        """Start without requests."""
        self._waiting: dict[Hashable, GateEntry] = {}
        self._running: dict[Hashable, GateEntry] = {}

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._waiting) + len(self._running)

    def arrived(self, key: Hashable, entry: GateEntry) -> None:
        """Record a request that waits, or whose body is still received."""
        self._waiting[key] = entry

    def started(self, key: Hashable, now: float) -> None:
        """Record that the target runs a request from now on."""
        entry = self._waiting.pop(key, None)
        if entry is not None:
            entry.started_at = now
            self._running[key] = entry

    def ended(self, key: Hashable) -> GateEntry | None:
        """Remove and return a request, None if it is unknown."""
        return self._running.pop(key, None) or self._waiting.pop(key, None)

    def work_s(self, costs: CostSource, speed: float, now: float) -> float:
        """Return the remaining work, at usual speed.

        Args:
            costs: Estimates what is left of running requests.
            speed: The speed at which they run.
            now: The time on the event loop's clock.
        """
        work_s = sum(entry.cost_s for entry in self._waiting.values())
        for entry in self._running.values():
            started_at = now if entry.started_at is None else entry.started_at
            elapsed_s = (now - started_at) * speed
            work_s += costs.remaining_s(entry.features, elapsed_s)
        return work_s
