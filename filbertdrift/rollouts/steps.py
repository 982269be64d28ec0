"""Orders and steps of roll-outs, and their messages."""

import hashlib
from dataclasses import dataclass
from enum import IntEnum

from filbertdrift.errors import MalformedMessage
from filbertdrift.gen import ttypes
from filbertdrift.keyedlog import NO_ERA

MS_PER_S = 1000
NO_STEP = 0
# The offset of an order that was not read at a known place.
UNKNOWN_OFFSET = -1
_HASH_BYTES = 8


class Phase(IntEnum):
    """What a step does. Numbers are on the wire and on the log."""

    TRIAL = 1
    SHIFT = 2
    COMPLETED = 3
    ROLLED_BACK = 4
    # Records the versions that serve without an order.
    ESTABLISHED = 5


RUNNING_PHASES = frozenset((Phase.TRIAL, Phase.SHIFT))


@dataclass(frozen=True, slots=True)
class Order:
    """An operator's order.

    Args:
        service: The service.
        target_version: The version that its traffic moves to, empty before the
            first order.
        duration_s: Time from the order to its deadline.
        digest: Hash of the record.
        era: Era of the log that it was read in.
        offset: Its place in that era, or UNKNOWN_OFFSET.
    """

    service: str
    target_version: str
    duration_s: float
    digest: int
    era: int = NO_ERA
    offset: int = UNKNOWN_OFFSET

    def is_same(self, other: 'Order') -> bool:
        """Return whether both are one order.

        Operators write orders again in a new era, at other places.
        """
        if self.digest != other.digest:
            return False
        is_placed = UNKNOWN_OFFSET not in {self.offset, other.offset}
        is_comparable = self.era == other.era and is_placed
        return not is_comparable or self.offset == other.offset

    def is_newer(self, other: 'Order') -> bool:
        """Return whether this order replaces another one."""
        if self.is_same(other):
            return False
        return (self.era, self.offset) > (other.era, other.offset)


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a roll-out.

    Args:
        number: Increases with each step of the service.
        phase: What it does.
        order: The order that it follows.
        old_versions: The versions that served before.
        trial_number: The number of the step that began the trial.
        reason: Why it was taken.
        writer: The node that wrote it.
    """

    number: int
    phase: Phase
    order: Order
    old_versions: tuple[str, ...]
    trial_number: int
    reason: str = ''
    writer: str = ''

    @property
    def is_running(self) -> bool:
        """Return whether the roll-out goes on after this step."""
        return self.phase in RUNNING_PHASES

    @property
    def is_trial(self) -> bool:
        """Return whether the version gets only a part of the requests."""
        return self.phase == Phase.TRIAL

    @property
    def has_status(self) -> bool:
        """Return whether it leads to a status that the operator reads."""
        return self.phase != Phase.ESTABLISHED

    @property
    def versions_after(self) -> tuple[str, ...]:
        """Return the versions that serve if nothing else is ordered."""
        if self.phase == Phase.COMPLETED:
            return (self.order.target_version,)
        return self.old_versions


def no_order(service: str) -> Order:
    """Return what stands for the order of a service that has had none."""
    return Order(service, '', 0, 0)


def hash_record(payload: bytes) -> int:
    """Return a 63-bit hash of an order's record."""
    raw = hashlib.blake2b(payload, digest_size=_HASH_BYTES).digest()
    return int.from_bytes(raw, 'big') >> 1


def order_to_message(order: Order, age_s: float) -> ttypes.RolloutOrder:
    """Convert an order to its message.

    Args:
        order: The order.
        age_s: Time since it was read.
    """
    return ttypes.RolloutOrder(
        service_name=order.service,
        target_version=order.target_version,
        duration_ms=int(order.duration_s * MS_PER_S),
        digest=order.digest,
        era=order.era,
        offset=order.offset,
        age_ms=int(age_s * MS_PER_S),
    )


def order_from_message(message: ttypes.RolloutOrder) -> Order:
    """Convert a message to an order.

    Raises:
        MalformedMessage: A field is missing.
    """
    try:
        return Order(
            service=_required(message.service_name),
            target_version=_stated(message.target_version),
            duration_s=message.duration_ms / MS_PER_S,
            digest=int(message.digest),
            era=int(message.era),
            offset=int(message.offset),
        )
    except (TypeError, ValueError) as exc:
        raise MalformedMessage(str(exc), step='read order') from exc


def step_to_message(step: Step, age_s: float) -> ttypes.RolloutStep:
    """Convert a step to its message.

    Args:
        step: The step.
        age_s: Time since its order was read.
    """
    return ttypes.RolloutStep(
        number=step.number,
        phase=int(step.phase),
        order=order_to_message(step.order, age_s),
        old_versions=list(step.old_versions),
        trial_number=step.trial_number,
        reason=step.reason,
        writer=step.writer,
    )


def step_from_message(message: ttypes.RolloutStep) -> Step:
    """Convert a message to a step.

    Raises:
        MalformedMessage: A field is missing or out of range.
    """
    try:
        return Step(
            number=int(message.number),
            phase=Phase(message.phase),
            order=order_from_message(message.order),
            old_versions=tuple(message.old_versions or ()),
            trial_number=int(message.trial_number),
            reason=message.reason or '',
            writer=message.writer or '',
        )
    except (AttributeError, TypeError, ValueError) as exc:
        raise MalformedMessage(str(exc), step='read step') from exc


def _required(text: str | None) -> str:
    if not text:
        raise ValueError('empty name')
    return text


def _stated(text: str | None) -> str:
    if text is None:
        raise ValueError('missing name')
    return text
