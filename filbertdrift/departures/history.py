"""Which incarnations of the local target have left."""

from collections import OrderedDict
from dataclasses import dataclass

MAX_DEPARTED_INSTANCES = 64


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
    """The latest departure of each instance."""

    def __init__(self) -> None:
        """Start without departures."""
        self._departures: OrderedDict[str, Departure] = OrderedDict()

    def add(self, departure: Departure) -> None:
        """Record a departure; a later one of the same instance stays."""
        known = self._departures.pop(departure.instance, departure)
        latest = max(known, departure, key=_until_ms)
        self._departures[departure.instance] = latest
        if len(self._departures) > MAX_DEPARTED_INSTANCES:
            self._departures.popitem(last=False)

    def covers(self, instance: str, born_ms: int) -> bool:
        """Return whether an incarnation has left.

        Args:
            instance: Id of its instance.
            born_ms: Its start, in Unix milliseconds.
        """
        departure = self._departures.get(instance)
        return departure is not None and departure.covers(instance, born_ms)


def _until_ms(departure: Departure) -> int:
    return departure.until_ms
