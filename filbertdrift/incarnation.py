"""The incarnations of a target and what they report with heartbeats."""

from dataclasses import dataclass

from filbertdrift.gen import ttypes
from filbertdrift.objective_gate import ObjectiveGate
from filbertdrift.target import Target


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Status report of a target.

    Args:
        instance: Id of the instance.
        born_ms: Unix time of its start in milliseconds; a later start under
            the same id is another incarnation.
        sequence: Increases with each heartbeat of an incarnation.
        service: Service that the target belongs to.
        address: Address at which it listens.
        slots: Number of requests that it runs at a time.
        is_draining: It accepts no new work.
        cold_s: Remaining time of its slow start.
        version: The version of its program, empty if not stated.
    """

    instance: str
    born_ms: int
    sequence: int
    service: str
    address: str
    slots: int
    is_draining: bool
    cold_s: float
    version: str = ''


@dataclass(slots=True)
class Incarnation:
    """One incarnation of the target, with its connections and its gate."""

    heartbeat: Heartbeat
    target: Target
    gate: ObjectiveGate
    is_leaving: bool = False

    def build_notice(self) -> ttypes.TargetNotice | None:
        """Return what other nodes should know of it, None for nothing."""
        limit_per_s = self.gate.limit.per_s
        if limit_per_s is None and not self.is_leaving:
            return None
        return ttypes.TargetNotice(
            self.heartbeat.instance,
            self.heartbeat.born_ms,
            limit_per_s,
            self.is_leaving,
        )
