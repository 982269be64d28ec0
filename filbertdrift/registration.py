"""Registration of the local target: announcement, lease and health."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from loguru import logger

from filbertdrift.gate import Gate
from filbertdrift.health import DEFAULT_INTERVAL_S, TargetHealth
from filbertdrift.members import MemberStatus
from filbertdrift.membership import Membership
from filbertdrift.serving import AnnouncedTarget, TargetServer
from filbertdrift.snapshot import TargetSet
from filbertdrift.target import Target

ANNOUNCEMENT_TTL_S = 6.0
LEASE_CHECK_INTERVAL_S = 1.0

OpenTarget = Callable[[str, int], Target]


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a target announces to its node.

    Args:
        service: Service that the target belongs to.
        address: Address at which it listens.
        slots: Number of requests that it runs at a time.
        connections: Number of connections that it accepts.
    """

    service: str
    address: str
    slots: int
    connections: int


@dataclass(slots=True)
class RegistrationCounters:
    """Announcements received and how they ended."""

    announced: int = 0
    withdrawn: int = 0
    expired: int = 0


class TargetRegistration:
    """Registers the local target and distributes its status to the other nodes.

    Args:
        membership: Distributes the status.
        server: Serves requests with the target.
        health: Monitors the target.
        target_sets: Returns the target sets in force.
        open_target: Returns the connections to an announced target.
        rng: Source of jitter for the gate's retry-after delays.
    """

    def __init__(
        self,
        membership: Membership,
        server: TargetServer,
        health: TargetHealth,
        target_sets: Callable[[], Iterable[TargetSet]],
        open_target: OpenTarget,
        rng: random.Random,
    ) -> None:
        """Create the registration without a target."""
        self.counters = RegistrationCounters()
        self.is_leaving = False
        self._membership = membership
        self._server = server
        self._health = health
        self._target_sets = target_sets
        self._open_target = open_target
        self._rng = rng
        self._announcement: Announcement | None = None
        self._expires_at = 0.0
        health.probe = self._probe
        health.on_change = self._announce_health

    def announce(self, announcement: Announcement) -> None:
        """Register a target or renew its lease for ANNOUNCEMENT_TTL_S.

        Args:
            announcement: What the target announces.
        """
        now = asyncio.get_running_loop().time()
        self._expires_at = now + ANNOUNCEMENT_TTL_S
        if self._announcement == announcement or self.is_leaving:
            return
        self.withdraw()
        self.counters.announced += 1
        logger.info('target of {} announced', announcement.service)
        self._announcement = announcement
        self._health.reset()
        self._server.announced = AnnouncedTarget(
            announcement.service,
            self._open_target(announcement.address, announcement.connections),
            self._create_gate(announcement),
        )
        self._membership.update_local_member(
            replace(
                self._membership.local_member,
                service=announcement.service,
                status=MemberStatus.SERVING,
                slots=announcement.slots,
            ),
        )

    def withdraw(self) -> None:
        """Deregister the target: it gets no new work."""
        announced = self._server.announced
        if announced is None:
            return
        self.counters.withdrawn += 1
        logger.info('target of {} withdrawn', announced.service)
        self._announcement = None
        self._server.announced = None
        announced.gate.drain()
        announced.target.close()
        status = MemberStatus.IDLE
        if self.is_leaving:
            status = MemberStatus.LEAVING
        self._membership.update_local_member(
            replace(
                self._membership.local_member,
                service='',
                status=status,
                slots=0,
            ),
        )

    def leave(self) -> None:
        """Announce to the other nodes that this one takes no new work."""
        self.is_leaving = True
        self._membership.update_local_member(
            replace(self._membership.local_member, status=MemberStatus.LEAVING),
        )

    async def run(self) -> None:
        """Withdraw the target when its lease expires, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self._health.interval_s = self._probe_interval_s()
            if self._announcement and loop.time() >= self._expires_at:
                self.counters.expired += 1
                self.withdraw()

    def _create_gate(self, announcement: Announcement) -> Gate:
        target_sets = self._find_target_sets(announcement.service)
        slow_start_s = max(
            (target_set.slow_start_s for target_set in target_sets), default=0
        )
        now = asyncio.get_running_loop().time()
        return Gate(
            announcement.slots,
            self._rng,
            warm_at=now + slow_start_s,
            slow_start_s=slow_start_s,
        )

    def _find_target_sets(self, service: str) -> list[TargetSet]:
        return [
            target_set
            for target_set in self._target_sets()
            if target_set.service == service
        ]

    def _probe_interval_s(self) -> float:
        service = self._announcement.service if self._announcement else ''
        target_sets = self._find_target_sets(service)
        return min(
            (target_set.probe_interval_s for target_set in target_sets),
            default=DEFAULT_INTERVAL_S,
        )

    async def _probe(self) -> bool:
        announced = self._server.announced
        if announced is None:
            return True
        target_sets = self._find_target_sets(announced.service)
        path = max(
            (target_set.probe_path for target_set in target_sets), default=''
        )
        return await announced.target.check_health(path)

    def _announce_health(self, is_healthy: bool) -> None:
        if self._server.announced is None or self.is_leaving:
            return
        status = MemberStatus.SERVING if is_healthy else MemberStatus.IDLE
        self._membership.update_local_member(
            replace(self._membership.local_member, status=status),
        )
