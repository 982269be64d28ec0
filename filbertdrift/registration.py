"""The target beside a node: its announcement, its lease and its health."""

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
CHECK_S = 1.0

OpenTarget = Callable[[str, int], Target]


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a target tells the node beside it.

    Args:
        service: The service the target belongs to.
        address: Where it listens.
        slots: Requests it runs at a time.
        connections: Connections it accepts.
    """

    service: str
    address: str
    slots: int
    connections: int


@dataclass(slots=True)
class RegistrationCounters:
    """What became of the target's announcements."""

    announced: int = 0
    withdrawn: int = 0
    expired: int = 0


class TargetRegistration:
    """Keeps the other nodes told about the target beside this one.

    Args:
        membership: Tells the other nodes.
        server: Serves requests with the target.
        health: Watches the target.
        target_sets: Returns the target sets in force.
        open_target: Makes the connections to an announced target.
        rng: Spreads the gate's retry-after delays.
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
        """Start without a target."""
        self.counters = RegistrationCounters()
        self.is_leaving = False
        self._membership = membership
        self._server = server
        self._health = health
        self._target_sets = target_sets
        self._open_target = open_target
        self._rng = rng
        self._current: Announcement | None = None
        self._expires_at = 0.0
        health.probe = self._probe
        health.on_change = self._on_health

    def announce(self, announcement: Announcement) -> None:
        """Take or renew an announcement; it holds for ANNOUNCEMENT_TTL_S.

        Args:
            announcement: What the target says of itself.
        """
        now = asyncio.get_running_loop().time()
        self._expires_at = now + ANNOUNCEMENT_TTL_S
        if self._current == announcement or self.is_leaving:
            return
        self.withdraw()
        self.counters.announced += 1
        logger.info('target of {} announced', announcement.service)
        self._current = announcement
        self._health.reset()
        self._server.announced = AnnouncedTarget(
            announcement.service,
            self._open_target(announcement.address, announcement.connections),
            self._new_gate(announcement),
        )
        self._membership.update_me(
            replace(
                self._membership.me,
                service=announcement.service,
                status=MemberStatus.SERVING,
                slots=announcement.slots,
            ),
        )

    def withdraw(self) -> None:
        """Take the announcement back: no new work for the target."""
        announced = self._server.announced
        if announced is None:
            return
        self.counters.withdrawn += 1
        logger.info('target of {} withdrawn', announced.service)
        self._current = None
        self._server.announced = None
        announced.gate.drain()
        announced.target.close()
        status = MemberStatus.IDLE
        if self.is_leaving:
            status = MemberStatus.LEAVING
        self._membership.update_me(
            replace(self._membership.me, service='', status=status, slots=0),
        )

    def leave(self) -> None:
        """Tell the other nodes that this one takes no new work."""
        self.is_leaving = True
        self._membership.update_me(
            replace(self._membership.me, status=MemberStatus.LEAVING),
        )

    async def run(self) -> None:
        """Withdraw a target that does not renew, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_S)
            self._health.interval_s = self._probe_interval_s()
            if self._current and loop.time() >= self._expires_at:
                self.counters.expired += 1
                self.withdraw()

    def _new_gate(self, announcement: Announcement) -> Gate:
        found = self._contracts(announcement.service)
        slow_start_s = max((item.slow_start_s for item in found), default=0)
        now = asyncio.get_running_loop().time()
        return Gate(
            announcement.slots,
            self._rng,
            warm_at=now + slow_start_s,
            slow_start_s=slow_start_s,
        )

    def _contracts(self, service: str) -> list[TargetSet]:
        return [item for item in self._target_sets() if item.service == service]

    def _probe_interval_s(self) -> float:
        service = self._current.service if self._current else ''
        found = self._contracts(service)
        return min(
            (item.probe_interval_s for item in found),
            default=DEFAULT_INTERVAL_S,
        )

    async def _probe(self) -> bool:
        announced = self._server.announced
        if announced is None:
            return True
        found = self._contracts(announced.service)
        path = max((item.probe_path for item in found), default='')
        return await announced.target.check_health(path)

    def _on_health(self, is_healthy: bool) -> None:
        if self._server.announced is None or self.is_leaving:
            return
        status = MemberStatus.SERVING if is_healthy else MemberStatus.IDLE
        self._membership.update_me(
            replace(self._membership.me, status=status),
        )
