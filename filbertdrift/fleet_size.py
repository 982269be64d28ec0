"""How many nodes a node that has started knows there to be."""

from collections.abc import Callable

# A node that cannot read the directory counts the members that others have told
# it of after this time.
TOLD_S = 5.0
# Nodes that the directory lists, and that have not joined, count for this time.
JOIN_S = 5.0


class FleetSize:
    """What a node that has started knows of the size of its fleet.

    Until it has read the directory of nodes, the members that it knows may be
    a few of many, or none but itself.

    Args:
        seeds: How many nodes the settings name.
        clock: Returns the time on the loop's clock.
    """

    def __init__(self, seeds: int, clock: Callable[[], float]) -> None:
        """Start without evidence."""
        self._seeds = seeds
        self._clock = clock
        self._asked_at: float | None = None
        self._listed = 0
        self._listed_at: float | None = None

    def record_listed(self, count: int) -> None:
        """Record that the directory has been read.

        Args:
            count: How many nodes it lists.
        """
        self._listed = count
        if self._listed_at is None:
            self._listed_at = self._clock()

    def find_least(self, members: int) -> int | None:
        """Return how many nodes there are at least, None if it is unknown.

        Args:
            members: How many members are known, this node included.
        """
        now = self._clock()
        if self._asked_at is None:
            self._asked_at = now
        if self._listed_at is None:
            is_told = members > 1 and now - self._asked_at >= TOLD_S
            return self._seeds + 1 if is_told else None
        if now - self._listed_at < JOIN_S:
            return max(self._listed, self._seeds + 1)
        return self._seeds + 1
