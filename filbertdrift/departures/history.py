"""Which incarnations of the local target have left."""

import time
from collections.abc import Sequence
from dataclasses import dataclass

# A message of a target that arrives later than this after the last one of its
# incarnation may bring it back.
KEPT_FOR_S = 600.0
# More than a target that is restarted every second leaves behind.
MAX_DEPARTURES = 1024
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Departure:
    """The departure of an instance, announced or complete.

    Args:
        instance: Id of the instance.
        until_ms: Latest start of the incarnations that have left, in Unix
            milliseconds. A later start is another incarnation; one that is not
            stated counts as 0.
    """

    instance: str
    until_ms: int

    def covers(self, instance: str, born_ms: int) -> bool:
        """Return whether an incarnation has left.

        Args:
            instance: Id of its instance.
            born_ms: Its start, in Unix milliseconds.
        """
        return instance == self.instance and born_ms <= self.until_ms


class DepartureHistory:
    """The latest departure of each instance, for KEPT_FOR_S.

    Times are those of the event loop's clock, in seconds.
    """

    def __init__(self) -> None:
        """Start without departures."""
        self._departures: dict[str, Departure] = {}
        self._forget_at: dict[str, float] = {}

    def add(self, departure: Departure, now: float) -> bool:
        """Record a departure; a later one of the same instance stays.

        Args:
            departure: The departure.
            now: The time.

        Returns:
            False if it is not recorded, as too many others are.
        """
        known = self._departures.get(departure.instance)
        if known is None and len(self._departures) >= MAX_DEPARTURES:
            return False
        if known is None or known.until_ms < departure.until_ms:
            self._departures[departure.instance] = departure
        self._forget_at[departure.instance] = now + KEPT_FOR_S
        return True

    def find(self, instance: str, born_ms: int) -> Departure | None:
        """Return the departure of an incarnation, None if it has not left.

        Args:
            instance: Id of its instance.
            born_ms: Its start, in Unix milliseconds.
        """
        departure = self._departures.get(instance)
        if departure is None or not departure.covers(instance, born_ms):
            return None
        return departure

    def remove_expired(self, now: float) -> Sequence[Departure]:
        """Forget the departures that are due, and return them.

        Args:
            now: The time.
        """
        due = [
            instance
            for instance, forget_at in self._forget_at.items()
            if forget_at <= now
        ]
        for instance in due:
            self._forget_at.pop(instance)
        return [self._departures.pop(instance) for instance in due]


def read_wall_clock_ms() -> int:
    """Return the Unix time in milliseconds."""
    return int(time.time() * MS_PER_S)
