"""The target beside a node: which incarnation is there, and its leaving.

Only the node beside a target hands it requests. So an announced leaving holds
from the moment at which this node's gate knows of it, whoever else lags.
"""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace

from loguru import logger

from filbertdrift.members import MemberStatus
from filbertdrift.membership import Membership
from filbertdrift.objective_gate import ObjectiveGate
from filbertdrift.target import Target

# Entries hear of a leaving target within this time; until then its gate still
# takes what they send, which saves them another try.
LEAVING_GRACE_S = 0.5
GONE_KEPT = 64


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a target says of itself.

    Args:
        instance: Its id.
        born_ms: Unix time of its start in milliseconds; a later start under
            the same id is another incarnation.
        sequence: Grows with each heartbeat of an incarnation.
        service: The service it belongs to.
        address: Where it listens.
        slots: Requests it runs at a time.
        is_draining: It wants no new work.
        cold_s: How much longer it stays slow after its start.
    """

    instance: str
    born_ms: int
    sequence: int
    service: str
    address: str
    slots: int
    is_draining: bool
    cold_s: float


@dataclass(slots=True)
class Incarnation:
    """The target as one start of it, with its connections and its gate."""

    heartbeat: Heartbeat
    target: Target
    gate: ObjectiveGate
    is_leaving: bool = False


@dataclass(slots=True)
class LifecycleCounters:
    """What became of heartbeats."""

    heartbeats: int = 0
    outdated: int = 0
    incarnations: int = 0
    leavings: int = 0


OpenTarget = Callable[[str, str], Target]


class TargetLifecycle:
    """Follows the target beside this node and tells the other nodes.

    Args:
        membership: Tells the other nodes.
        open_target: Makes the connections, given service and address.
        rng: Spreads the gate's retry-after delays.
    """

    def __init__(
        self,
        membership: Membership,
        open_target: OpenTarget,
        rng: random.Random,
    ) -> None:
        """Start without a target."""
        self.counters = LifecycleCounters()
        self.current: Incarnation | None = None
        self.is_healthy = True
        self.is_node_leaving = False
        self._membership = membership
        self._open_target = open_target
        self._rng = rng
        # Incarnations that have left, with the time of their birth.
        self._gone: OrderedDict[str, int] = OrderedDict()

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take a heartbeat; outdated ones change nothing."""
        self.counters.heartbeats += 1
        if self._is_outdated(heartbeat):
            self.counters.outdated += 1
            return
        current = self.current
        if current and _is_same_start(current.heartbeat, heartbeat):
            current.heartbeat = heartbeat
            current.gate.slots = max(heartbeat.slots, 1)
        else:
            self._begin(heartbeat)
        if heartbeat.is_draining:
            self._leave(heartbeat)
            if current is not self.current:
                # An earlier process of this node may have acknowledged it.
                self._close_gate_at_once()

    def leave(self, instance: str, born_ms: int | None) -> None:
        """Take a target's word that it is gone or about to go.

        Args:
            instance: Its id.
            born_ms: Which start of it, None if it did not say.
        """
        current = self.current
        is_current = current is not None and (
            current.heartbeat.instance == instance
            and born_ms in {None, current.heartbeat.born_ms}
        )
        if current is not None and is_current:
            self._leave(current.heartbeat)
        elif born_ms is not None:
            self._remember_gone(instance, born_ms)

    def set_health(self, *, is_healthy: bool) -> None:
        """Offer the target to the other nodes, or stop offering it."""
        self.is_healthy = is_healthy
        self.announce_status()

    def announce_status(self) -> None:
        """Tell the other nodes how the target is."""
        status, service, slots = MemberStatus.IDLE, '', 0
        current = self.current
        if current is not None:
            service = current.heartbeat.service
            slots = current.heartbeat.slots
            if current.is_leaving or self.is_node_leaving:
                status = MemberStatus.LEAVING
            elif self.is_healthy:
                status = MemberStatus.SERVING
        elif self.is_node_leaving:
            status = MemberStatus.LEAVING
        me = self._membership.me
        changed = replace(me, service=service, slots=slots, status=status)
        if changed != me:
            self._membership.update_me(changed)

    def close_gate(self) -> None:
        """Take no new requests after the other nodes have heard of it."""
        if self.current is not None:
            now = asyncio.get_running_loop().time()
            gate = self.current.gate
            gate.closes_at = min(gate.closes_at, now + LEAVING_GRACE_S)

    def _close_gate_at_once(self) -> None:
        if self.current is not None:
            self.current.gate.closes_at = 0

    def _is_outdated(self, heartbeat: Heartbeat) -> bool:
        gone_born_ms = self._gone.get(heartbeat.instance)
        if gone_born_ms is not None and heartbeat.born_ms <= gone_born_ms:
            return True
        if self.current is None:
            return False
        known = self.current.heartbeat
        if _is_same_start(known, heartbeat):
            return heartbeat.sequence <= known.sequence
        return heartbeat.born_ms < known.born_ms

    def _begin(self, heartbeat: Heartbeat) -> None:
        self.counters.incarnations += 1
        before = self.current
        if before is not None:
            before.gate.closes_at = 0
            before.target.close()
        logger.bind(
            event='target_started',
            instance=heartbeat.instance,
            born_ms=heartbeat.born_ms,
            service=heartbeat.service,
            address=heartbeat.address,
        ).info('target {} is there', heartbeat.instance)
        self.current = Incarnation(
            heartbeat,
            self._open_target(heartbeat.service, heartbeat.address),
            ObjectiveGate(heartbeat.slots, self._rng),
        )
        self.is_healthy = True
        self.announce_status()

    def _leave(self, heartbeat: Heartbeat) -> None:
        current = self.current
        if current is None or current.is_leaving:
            return
        self.counters.leavings += 1
        logger.bind(
            event='target_leaving',
            instance=heartbeat.instance,
            born_ms=heartbeat.born_ms,
        ).info('target {} leaves', heartbeat.instance)
        current.is_leaving = True
        self._remember_gone(heartbeat.instance, heartbeat.born_ms)
        self.close_gate()
        self.announce_status()

    def _remember_gone(self, instance: str, born_ms: int) -> None:
        known = self._gone.pop(instance, born_ms)
        self._gone[instance] = max(known, born_ms)
        if len(self._gone) > GONE_KEPT:
            self._gone.popitem(last=False)


def _is_same_start(one: Heartbeat, other: Heartbeat) -> bool:
    return one.instance == other.instance and one.born_ms == other.born_ms
