"""Lifecycle of the local target: its current incarnation and its departure.

Only the target's own node sends it requests. An announced departure thus takes
effect once this node's gate closes, even if other nodes have not received it.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from loguru import logger

from filbertdrift.balance.callroom import CallRoom
from filbertdrift.balance.estimate import CostSource
from filbertdrift.balance.slottime import SlotTimeCounters, SlotTimeLog
from filbertdrift.contract import TargetStatement
from filbertdrift.departures.history import (
    Departure,
    DepartureHistory,
    read_wall_clock_ms,
)
from filbertdrift.gen import ttypes
from filbertdrift.incarnation import Heartbeat, Incarnation
from filbertdrift.members import MemberStatus
from filbertdrift.membership import Membership
from filbertdrift.objective_gate import ObjectiveGate
from filbertdrift.target import Target
from filbertdrift.targetlimit import TargetLimit

# The other nodes receive the LEAVING status within this time. Until then the
# gate still admits the requests they send, which saves a retry.
LEAVING_GRACE_S = 0.5
NO_END = float('inf')


@dataclass(slots=True)
class LifecycleCounters:
    """Heartbeats received and what they changed."""

    heartbeats: int = 0
    outdated: int = 0
    incarnations: int = 0
    leavings: int = 0


OpenTarget = Callable[[str, str], Target]


class TargetLifecycle:
    """Tracks the local target and announces its status to the other nodes.

    Args:
        membership: Distributes the status.
        open_target: Returns the connections for a service and address.
        rng: Adds jitter to the gate's retry-after delays.

    Attributes:
        on_load: Called with the load header of each response that has one.
        slot_time: What the slots of all incarnations were used for.
        call_room: Limits the requests that make calls.
        costs: Estimates the cost of requests, None for means by kind. It is
            taken over by the next incarnation.
        wall_clock_ms: Returns the Unix time in milliseconds.
        departures: The incarnations that have left.
        on_departure: Called with each departure that is recorded.
    """

    def __init__(
        self,
        membership: Membership,
        open_target: OpenTarget,
        rng: random.Random,
    ) -> None:
        """Create the lifecycle without a target."""
        self.counters = LifecycleCounters()
        self.current: Incarnation | None = None
        self.is_healthy = True
        self.is_node_leaving = False
        self.on_load: Callable[[Incarnation, str], None] = _ignore_load
        self.slot_time = SlotTimeCounters()
        self.call_room = CallRoom()
        self.costs: CostSource | None = None
        self.wall_clock_ms = read_wall_clock_ms
        self.departures = DepartureHistory()
        self.on_departure: Callable[[Departure], None] = _ignore_departure
        self._by_cost = False
        # For the gates of all incarnations.
        self._closes_at = NO_END
        self._runs_end_at = NO_END
        self._slot_time_log = SlotTimeLog(self.slot_time)
        # Announced while there is no other target.
        self._latest_departure: Departure | None = None
        self._membership = membership
        self._open_target = open_target
        self._rng = rng

    @property
    def by_cost(self) -> bool:
        """Return whether gates admit by expected work."""
        return self._by_cost

    @by_cost.setter
    def by_cost(self, by_cost: bool) -> None:
        self._by_cost = by_cost
        if self.current is not None:
            self.current.gate.by_cost = by_cost

    def find_running_kinds(self) -> Sequence[str] | None:
        """Return the kinds of requests that run, None without by_cost."""
        if not self._by_cost or self.current is None:
            return None
        return self.current.gate.running_kinds

    def log_slot_time(self) -> None:
        """Log what the target's slots were used for since the last call."""
        current = self.current
        if current is not None:
            current.gate.slot_time.update(asyncio.get_running_loop().time())
            self._slot_time_log.log(
                current.heartbeat.instance, current.gate.slots
            )

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat; outdated ones have no effect."""
        self.counters.heartbeats += 1
        outdated_by = self._find_outdated_by(heartbeat)
        if outdated_by:
            self._ignore(heartbeat, outdated_by)
            return
        current = self.current
        if current and _is_same_incarnation(current.heartbeat, heartbeat):
            current.heartbeat = heartbeat
            current.gate.slots = max(heartbeat.slots, 1)
        else:
            self._start_incarnation(heartbeat)
        if heartbeat.is_draining:
            # If this is the first heartbeat recorded of the incarnation, an
            # earlier process of this node may have acknowledged the departure
            # already.
            is_first = current is not self.current
            record = self.adopt_departure if is_first else self.record_departure
            record(_departure_of(heartbeat))

    def leave(self, instance: str, born_ms: int | None) -> Departure:
        """Record a target's departure, announced or complete.

        Args:
            instance: Id of the instance.
            born_ms: Start time of the incarnation, None if not stated.

        Returns:
            The departure.
        """
        departure = Departure(
            instance, self._find_latest_start(instance, born_ms)
        )
        logger.bind(
            event='target_departed',
            instance=instance,
            born_ms=born_ms,
            is_current=self._is_current(departure),
        ).info('target {} departs', instance)
        self.record_departure(departure)
        return departure

    def record_departure(self, departure: Departure) -> None:
        """Record a departure; its target gets no new requests."""
        now = asyncio.get_running_loop().time()
        if self.departures.add(departure, now):
            self.on_departure(departure)
        else:
            logger.bind(
                event='departure_not_recorded', instance=departure.instance
            ).warning('too many departures')
        self._latest_departure = departure
        if self._is_current(departure):
            self._start_departure()
        elif self.current is None:
            self.announce_status()

    def adopt_departure(self, departure: Departure) -> None:
        """Record a departure that an earlier process may have acknowledged.

        The other nodes know of it, so the gate closes at once.
        """
        self.record_departure(departure)
        if self._is_current(departure):
            self._close_gate_now()

    def record_statement(
        self,
        incarnation: Incarnation,
        statement: TargetStatement,
        sent_at: float,
    ) -> None:
        """Record what a response of a target states.

        Args:
            incarnation: The incarnation that responded.
            statement: What it states.
            sent_at: When the request was sent, on the loop's clock.
        """
        incarnation.gate.record_limit(statement.limit_per_s, sent_at)
        if statement.load:
            self.on_load(incarnation, statement.load)
        if statement.is_leaving and not incarnation.is_leaving:
            self.record_departure(_departure_of(incarnation.heartbeat))

    def record_notice(self, notice: ttypes.TargetNotice) -> None:
        """Record what another node has heard of the target before.

        This node may have restarted since then. A later start of the target
        is not bound by what an earlier one has stated.

        Args:
            notice: The notice of the other node.
        """
        is_known = self.departures.find(notice.instance, notice.born_ms)
        if notice.is_leaving and not is_known:
            # Also before the first heartbeat, which may be on its way.
            self.adopt_departure(Departure(notice.instance, notice.born_ms))
        current = self.current
        if current is None or notice.limit_per_s is None:
            return
        heartbeat = current.heartbeat
        if (notice.instance, notice.born_ms) == (
            heartbeat.instance,
            heartbeat.born_ms,
        ):
            current.gate.limit.adopt(notice.limit_per_s)

    def set_health(self, *, is_healthy: bool) -> None:
        """Set the target's health and announce its status."""
        self.is_healthy = is_healthy
        self.announce_status()

    def announce_status(self, *, is_renewed: bool = False) -> None:
        """Announce the target's status to the other nodes if it changed.

        Args:
            is_renewed: It is announced in any case.
        """
        status, service, slots, version = MemberStatus.IDLE, '', 0, ''
        current = self.current
        if current is not None:
            service = current.heartbeat.service
            slots = current.heartbeat.slots
            version = current.heartbeat.version
            if current.is_leaving or self.is_node_leaving:
                status = MemberStatus.LEAVING
            elif self.is_healthy:
                status = MemberStatus.SERVING
        elif self.is_node_leaving:
            status = MemberStatus.LEAVING
        departure = self._find_announced_departure()
        local_member = self._membership.local_member
        changed = replace(
            local_member,
            service=service,
            slots=slots,
            status=status,
            target_version=version,
            departed_instance=departure.instance if departure else '',
            departed_born_ms=departure.until_ms if departure else 0,
        )
        if is_renewed or changed != local_member:
            self._membership.update_local_member(changed)

    def close_gate(self, runs_end_at: float = NO_END) -> None:
        """Close the gate after LEAVING_GRACE_S, as the node leaves.

        The gate of a target that is not known yet closes as well.

        Args:
            runs_end_at: When this node ends all runs, on the loop's clock.
        """
        now = asyncio.get_running_loop().time()
        self._closes_at = min(self._closes_at, now + LEAVING_GRACE_S)
        self._runs_end_at = min(self._runs_end_at, runs_end_at)
        if self.current is not None:
            self._limit_gate(self.current.gate)

    def _limit_gate(self, gate: ObjectiveGate) -> None:
        """Let a gate close, and end its runs, when the node needs it."""
        gate.closes_at = min(gate.closes_at, self._closes_at)
        gate.runs_end_at = min(gate.runs_end_at, self._runs_end_at)

    def _find_announced_departure(self) -> Departure | None:
        """Return the departure that other nodes should know, None for none.

        They tell the next process of this node.
        """
        current = self.current
        if current is None:
            return self._latest_departure
        return _departure_of(current.heartbeat) if current.is_leaving else None

    def _close_gate_now(self) -> None:
        if self.current is not None:
            self.current.gate.closes_at = 0

    def _find_outdated_by(self, heartbeat: Heartbeat) -> str:
        """Return what is newer than a heartbeat, empty if nothing is."""
        if self.departures.find(heartbeat.instance, heartbeat.born_ms):
            return 'its departure'
        if self.current is None:
            return ''
        latest = self.current.heartbeat
        if _is_same_incarnation(latest, heartbeat):
            is_repeat = heartbeat.sequence <= latest.sequence
            return 'a later heartbeat' if is_repeat else ''
        is_earlier = heartbeat.born_ms < latest.born_ms
        return 'a later start' if is_earlier else ''

    def _ignore(self, heartbeat: Heartbeat, outdated_by: str) -> None:
        """Ignore a heartbeat, but for a departure that it announces."""
        self.counters.outdated += 1
        logger.bind(
            event='heartbeat_outdated',
            instance=heartbeat.instance,
            born_ms=heartbeat.born_ms,
            sequence=heartbeat.sequence,
            reason=outdated_by,
        ).info('heartbeat of {} ignored', heartbeat.instance)
        current = self.current
        is_offered = (
            current is not None
            and not current.is_leaving
            and _is_same_incarnation(current.heartbeat, heartbeat)
        )
        if heartbeat.is_draining and not is_offered:
            self.record_departure(_departure_of(heartbeat))

    def _start_incarnation(self, heartbeat: Heartbeat) -> None:
        self.counters.incarnations += 1
        before = self.current
        if before is not None:
            before.gate.closes_at = 0
            before.gate.slot_time.stop(asyncio.get_running_loop().time())
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
            ObjectiveGate(
                heartbeat.slots,
                self._rng,
                TargetLimit(heartbeat.instance),
                self.costs,
                self.call_room,
                self.slot_time,
                by_cost=self._by_cost,
            ),
        )
        self._limit_gate(self.current.gate)
        self.is_healthy = True
        # Other nodes may have left the address out for the instance before.
        self.announce_status(is_renewed=before is not None)

    def _is_current(self, departure: Departure) -> bool:
        """Return whether a departure is that of the current incarnation."""
        current = self.current
        return current is not None and departure.covers(
            current.heartbeat.instance, current.heartbeat.born_ms
        )

    def _start_departure(self) -> None:
        current = self.current
        if current is None or current.is_leaving:
            return
        self.counters.leavings += 1
        logger.bind(
            event='target_leaving',
            instance=current.heartbeat.instance,
            born_ms=current.heartbeat.born_ms,
        ).info('target {} leaves', current.heartbeat.instance)
        current.is_leaving = True
        now = asyncio.get_running_loop().time()
        gate = current.gate
        gate.closes_at = min(gate.closes_at, now + LEAVING_GRACE_S)
        self.announce_status()

    def _find_latest_start(self, instance: str, born_ms: int | None) -> int:
        """Return the latest start of the incarnations that a departure ends.

        Without a stated start, a departure ends the incarnation that is known.
        If none is, as an earlier process of this node may have known it, it
        ends those that have started by now.

        Args:
            instance: Id of the instance.
            born_ms: The start that the target stated, None if it did not.
        """
        if born_ms is not None:
            return born_ms
        current = self.current
        if current is not None and current.heartbeat.instance == instance:
            return current.heartbeat.born_ms
        return self.wall_clock_ms()


def _is_same_incarnation(one: Heartbeat, other: Heartbeat) -> bool:
    return one.instance == other.instance and one.born_ms == other.born_ms


def _departure_of(heartbeat: Heartbeat) -> Departure:
    return Departure(heartbeat.instance, heartbeat.born_ms)


def _ignore_departure(departure: Departure) -> None:
    """Do nothing."""


def _ignore_load(incarnation: Incarnation, text: str) -> None:
    """Do nothing."""
