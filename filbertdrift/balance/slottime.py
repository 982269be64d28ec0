"""Slot-time accounting: what the slots of a target were used for."""

from dataclasses import astuple, dataclass, fields
from enum import Enum

from loguru import logger

MS_PER_S = 1000


class SlotUse(Enum):
    """What became of the request that held a slot.

    IDLE also covers a slot whose request the target refused or never received.
    """

    IN_TIME = 'in_time_seconds'
    LATE = 'late_seconds'
    FAILED = 'failed_seconds'
    GIVEN_UP = 'given_up_seconds'
    IDLE = 'idle_seconds'


@dataclass(slots=True)
class SlotTimeCounters:
    """Seconds of slot time by use, over all incarnations of the target."""

    in_time_seconds: float = 0.0
    late_seconds: float = 0.0
    failed_seconds: float = 0.0
    given_up_seconds: float = 0.0
    idle_seconds: float = 0.0

    def add(self, use: SlotUse, spent_s: float) -> None:
        """Count time of one slot.

        Args:
            use: What it was used for.
            spent_s: How long, in seconds.
        """
        name = use.value
        setattr(self, name, getattr(self, name) + spent_s)


class SlotTime:
    """Counts the slot time of one gate.

    Args:
        slots: How many slots the target has.
        counters: Shared by the gates of all incarnations of the target.
        now: The time on the loop's clock, None if it is not known yet.
    """

    def __init__(
        self, slots: int, counters: SlotTimeCounters, now: float | None = None
    ) -> None:
        """Start with all slots idle."""
        self.counters = counters
        self._slots = slots
        self._held = 0
        self._updated_at = now
        self._is_stopped = False

    def resize(self, slots: int, now: float) -> None:
        """Change the number of slots."""
        self.update(now)
        self._slots = slots

    def hold(self, now: float) -> None:
        """Count a slot as held from now on."""
        self.update(now)
        self._held += 1

    def release(self, use: SlotUse, held_s: float, now: float) -> None:
        """Count a slot as idle from now on, and what it was held for.

        Args:
            use: What became of its request.
            held_s: How long it was held, in seconds.
            now: The time on the loop's clock.
        """
        self.update(now)
        self._held -= 1
        self.counters.add(use, held_s)

    def update(self, now: float) -> None:
        """Count the idle time until now."""
        if self._updated_at is not None and not self._is_stopped:
            idle_slots = max(self._slots - self._held, 0)
            self.counters.idle_seconds += idle_slots * (now - self._updated_at)
        self._updated_at = now

    def stop(self, now: float) -> None:
        """Count no more idle time: another incarnation has begun."""
        self.update(now)
        self._is_stopped = True


class SlotTimeLog:
    """Logs the slot time of an interval as one line.

    Args:
        counters: The counters to log.
    """

    def __init__(self, counters: SlotTimeCounters) -> None:
        """Start at the current counters."""
        self._counters = counters
        self._logged = astuple(counters)

    def log(self, instance: str, slots: int) -> None:
        """Log what has been counted since the last call.

        Args:
            instance: Id of the target's instance.
            slots: How many slots it has.
        """
        current = astuple(self._counters)
        spent_ms = {
            field.name.replace('_seconds', '_ms'): round(
                (counted - before) * MS_PER_S
            )
            for field, counted, before in zip(
                fields(self._counters), current, self._logged, strict=True
            )
        }
        self._logged = current
        logger.bind(
            event='slot_time', instance=instance, slots=slots, **spent_ms
        ).info('slot time of {} slots', slots)
