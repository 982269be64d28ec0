"""Recent slot time used by each priority and class of requests."""

from filbertdrift.balance.admissionqueue import (
    GUARANTEED_SHARE,
    PRIORITY_TIME_DECAY,
    PriorityClass,
)


class ClassTimes:
    """Slot time that the started requests of each class need, decayed."""

    def __init__(self) -> None:
        """Start without requests."""
        self._times_s: dict[PriorityClass, float] = {}

    def record(self, priority_class: PriorityClass, cost_s: float) -> None:
        """Record that a request starts.

        Args:
            priority_class: Its class.
            cost_s: Its expected service time.
        """
        times = self._times_s
        for known in times:
            times[known] *= PRIORITY_TIME_DECAY
        times[priority_class] = times.get(priority_class, 0) + cost_s

    def share_before(self, priority_class: PriorityClass) -> float:
        """Return the share of slot time that preceding classes use."""
        return self._share(
            [known for known in self._times_s if known < priority_class]
        )

    def has_guaranteed(self, rank: int) -> bool:
        """Return whether a priority has used its guaranteed share."""
        in_rank = [known for known in self._times_s if known.rank == rank]
        return self._share(in_rank) >= GUARANTEED_SHARE

    def _share(self, classes: list[PriorityClass]) -> float:
        total_s = sum(self._times_s.values())
        used_s = sum(self._times_s[known] for known in classes)
        return used_s / total_s if total_s else 0
