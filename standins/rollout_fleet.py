"""Nodes with roll-outs on a simple network, without HTTP and gates.

Each node runs its own RolloutControl. Requests take the time that a test's
behaviour of their version says.
"""

import asyncio
import json
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from filbertdrift.errors import LogUnavailable
from filbertdrift.keyedlog import KeyedRecord, MemoryKeyedLog
from filbertdrift.members import Member, MemberStatus, MemberTable
from filbertdrift.platform.documents import (
    OPERATOR_STREAM,
    ROLLOUT_FORMATS,
    STATUS_STREAM,
)
from filbertdrift.rollouts.control import RolloutControl, RolloutSettings
from filbertdrift.rollouts.counts import WaitingAttempt
from filbertdrift.rollouts.plan import Bounds
from standins.mesh_fleet import PartitionableLog

DOMAINS = 'abc'
MIN_DELAY_S = 0.01
MAX_DELAY_S = 0.15
LOST_SHARE = 0.02
MEAN_WORK_S = 0.05
LONG_SHARE = 0.03
FAILURE_SHARE = 0.003
ROUTES = ('read', 'read', 'read', 'search')
DEATH_DETECTION_S = 5.0
# A part of the operator's stream reaches the readers after a poll.
ORDER_DELAY_S = 0.3


class Attempt(NamedTuple):
    """A request at a target.

    Args:
        sent_at: When it was sent.
        ended_at: When the response came.
        version: The version of the target.
        is_bad: It failed, or took several times as long as usual.
        node: Its ingress.
    """

    sent_at: float
    ended_at: float
    version: str
    is_bad: bool
    node: str


class Work(NamedTuple):
    """What a target makes of a request."""

    latency_s: float
    is_failure: bool = False
    is_bad: bool = False


# Called with the route, the time since the order, the requests a second of
# each target of the version and a source of random choices.
Behaviour = Callable[[str, float, float, random.Random], Work]


class FakeMembership:
    """What roll-outs use of the membership of one node."""

    def __init__(self, fleet: 'RolloutFleet', member: Member) -> None:
        self.local_member = member
        self.table = fleet.table
        self._fleet = fleet

    @property
    def unreachable_domains(self) -> set[str]:
        """Return the domains that the node cannot reach."""
        cut = self._fleet.cut_domains
        if self.local_member.domain in cut:
            return set(DOMAINS) - {self.local_member.domain}
        return cut

    def gossip(
        self, body: object, receivers: Sequence[str] | None = None
    ) -> None:
        """Send a message to some nodes."""
        nodes = receivers
        if nodes is None:
            nodes = self._fleet.rng.sample(list(self._fleet.nodes), 5)
        for node in nodes:
            self._fleet.send(self.local_member.node, node, body)


@dataclass
class RolloutNode:
    """One node."""

    control: RolloutControl
    log: PartitionableLog
    task: asyncio.Task[None] | None = None
    callers: asyncio.Task[None] | None = None


@dataclass
class RolloutFleet:
    """Nodes with targets of one service, half of them of each version.

    Args:
        size: How many nodes there are.
        old_targets: How many of them have a target of v1; as many have one of
            v2, the others none.
        rate_per_s: Requests a second of all nodes together.
        seed: Seed of all random choices.
    """

    size: int
    old_targets: int
    rate_per_s: float
    seed: int = 1
    bounds: Bounds = field(default_factory=Bounds)

    def __post_init__(self) -> None:
        """Start without nodes."""
        self.rng = random.Random(self.seed)
        self.table = MemberTable()
        self.log = MemoryKeyedLog()
        self.nodes: dict[str, RolloutNode] = {}
        self.cut_domains: set[str] = set()
        self.cut_nodes: set[str] = set()
        self.attempts: list[Attempt] = []
        self.in_progress: list[str] = []
        self.arrivals: list[float] = []
        self.statuses: list[tuple[float, str]] = []
        self.behaviours: dict[str, Behaviour] = {'v1': good, 'v2': good}
        # Multiplies the rate of requests.
        self.rate_factor = 1.0
        self.ordered_at = 0.0
        self.duration_s = 0.0
        self._running: dict[str, int] = {'v1': 0, 'v2': 0}

    async def start(self) -> None:
        """Start all nodes, with targets of v1 only."""
        for number in range(self.size):
            domain = DOMAINS[number % len(DOMAINS)]
            member = Member(f'{domain}-{number}', domain, generation=1)
            if number < self.old_targets:
                member = _with_target(member, 'v1')
            self.table.apply(member, 0)
            self._add(member)
        asyncio.get_running_loop().create_task(self._watch_status())
        await asyncio.sleep(1)

    def start_new_targets(self) -> None:
        """Start the targets of v2."""
        for node in list(self.nodes)[self.old_targets : 2 * self.old_targets]:
            member = self.table.get(node)
            assert member is not None
            self.table.apply(_with_target(member, 'v2'), 0)

    async def order(self, duration_s: float, version: str = 'v2') -> None:
        """Write an order and let two nodes of each domain read it."""
        self.ordered_at = asyncio.get_running_loop().time()
        self.duration_s = duration_s
        payload = json.dumps(
            {
                'service': 'desk',
                'target_version': version,
                'duration_s': duration_s,
            }
        ).encode()
        record = KeyedRecord('rollout/desk', payload)
        await self.log.append(OPERATOR_STREAM, record)
        page = await self.log.newest(OPERATOR_STREAM)
        await asyncio.sleep(ORDER_DELAY_S)
        for node in list(self.nodes.values())[:6]:
            node.control.on_page(page)

    async def run_until_ended(self, limit_s: float) -> str:
        """Wait for the end of the roll-out; return its last state."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + limit_s
        while loop.time() < end_at:
            await asyncio.sleep(0.1)
            if self.statuses and self.statuses[-1][1] != 'running':
                break
        state = self.statuses[-1][1] if self.statuses else ''
        await asyncio.sleep(max(self.deadline - loop.time(), 0) + 1)
        return state

    @property
    def deadline(self) -> float:
        """Return when the order's time ends."""
        return self.ordered_at + self.duration_s

    def driver(self) -> str:
        """Return the node that drives the roll-out, empty if there is none."""
        drivers = [
            name for name, node in self.nodes.items() if node.control.drivers
        ]
        return drivers[0] if drivers else ''

    async def kill(self, name: str) -> None:
        """Stop a node; the others declare it dead some seconds later."""
        node = self.nodes.pop(name)
        for task in (node.task, node.callers):
            if task:
                task.cancel()
        self.find_dead(name)

    def cut(self, name: str) -> None:
        """Cut a node off from the others and from the log."""
        self.cut_nodes.add(name)
        self.nodes[name].log.is_partitioned = True

    def find_dead(self, name: str) -> None:
        """Let the others declare a node dead, some seconds from now."""
        loop = asyncio.get_running_loop()
        loop.call_later(DEATH_DETECTION_S, self._declare_dead, name)

    def heal(self, name: str) -> None:
        """End the cut of a node."""
        self.cut_nodes.discard(name)
        self.nodes[name].log.is_partitioned = False

    def cut_domain(self, domain: str, *, is_cut: bool) -> None:
        """Cut a domain off from the others and the log, or end the cut."""
        self.cut_domains = {domain} if is_cut else set()
        for name, node in self.nodes.items():
            if name.startswith(domain):
                node.log.is_partitioned = is_cut

    def send(self, sender: str, receiver: str, body: object) -> None:
        """Send a message, unless it is lost."""
        if self._is_cut(sender, receiver) or self.rng.random() < LOST_SHARE:
            return
        asyncio.get_running_loop().call_later(
            self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S),
            self._deliver,
            sender,
            receiver,
            body,
        )

    # Results

    def exposure(self) -> tuple[int, float]:
        """Return the requests to v2 until the deadline, and their limit."""
        exposed = sum(
            each.version == 'v2'
            and self.ordered_at <= each.sent_at <= self.deadline
            for each in self.attempts
        )
        total = sum(
            self.ordered_at <= at <= self.deadline for at in self.arrivals
        )
        limit = total * self.bounds.expose_share + self.bounds.slack
        return exposed, limit

    def late_exposures(self) -> int:
        """Return the requests to v2 that were sent too late."""
        bad = sorted(each.ended_at for each in self.attempts if each.is_bad)
        if len(bad) < 50:
            return 0
        limit = bad[49] + self.bounds.rollback_s
        return sum(
            each.version == 'v2' and each.sent_at > limit
            for each in self.attempts
        )

    def ended_at(self) -> float:
        """Return when the roll-out ended, after the order."""
        return self.statuses[-1][0] - self.ordered_at

    def overlaps(self, version: str) -> int:
        """Return the requests at a version when its end was written.

        Args:
            version: The version.
        """
        ended_at = self.statuses[-1][0]
        return sum(
            each.version == version and each.ended_at > ended_at
            for each in self.attempts
        )

    # Internals

    def _add(self, member: Member) -> None:
        log = PartitionableLog(self.log)
        membership: Any = FakeMembership(self, member)
        control = RolloutControl(
            RolloutSettings(ROLLOUT_FORMATS, self.bounds),
            membership,
            log,
            random.Random(self.rng.getrandbits(64)),
        )
        loop = asyncio.get_running_loop()
        node = RolloutNode(control, log)
        node.task = loop.create_task(control.run())
        node.callers = loop.create_task(self._call(member.node))
        self.nodes[member.node] = node

    def _is_cut(self, one: str, other: str) -> bool:
        domains = {one[0], other[0]}
        is_domain_cut = len(domains) > 1 and bool(domains & self.cut_domains)
        return is_domain_cut or bool({one, other} & self.cut_nodes)

    def _deliver(self, sender: str, receiver: str, body: object) -> None:
        node = self.nodes.get(receiver)
        if node is not None:
            node.control.on_datagram(sender, 1, body)

    def _declare_dead(self, name: str) -> None:
        member = self.table.get(name)
        if member is not None:
            dead = replace(member, status=MemberStatus.DEAD)
            self.table.apply(dead, asyncio.get_running_loop().time())

    async def _call(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        mean_s = self.size / self.rate_per_s
        while True:
            rate = self.rate_factor / mean_s
            await asyncio.sleep(self.rng.expovariate(rate))
            self.arrivals.append(loop.time())
            self._send_request(name)

    def _send_request(self, name: str) -> None:
        control = self.nodes[name].control
        members = self.table.of_service('desk')
        reachable = [
            each
            for each in control.filter.assign('desk', members)
            if not self._is_cut(name, each.node)
        ]
        near = [each for each in reachable if each.domain == name[0]]
        if not reachable:
            return
        member = self.rng.choice(near or reachable)
        loop = asyncio.get_running_loop()
        version = member.target_version
        route = self.rng.choice(ROUTES)
        self._running[version] += 1
        load = self._running[version] / self.old_targets
        since = loop.time() - self.ordered_at if self.ordered_at else 0
        work = self.behaviours[version](route, since, load, self.rng)
        now = loop.time()
        attempt = Attempt(now, now + work.latency_s, version, work.is_bad, name)
        self.attempts.append(attempt)
        waiting = control.outcomes.began(member, route, now)
        loop.call_later(
            work.latency_s, self._end, control, member, waiting, work
        )

    def _end(
        self,
        control: RolloutControl,
        member: Member,
        waiting: WaitingAttempt,
        work: Work,
    ) -> None:
        self._running[member.target_version] -= 1
        control.outcomes.stop_waiting(waiting)
        control.outcomes.record(
            member,
            waiting.route,
            is_failure=work.is_failure,
            latency_s=work.latency_s,
        )
        control.outcomes.ended(member)

    async def _watch_status(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.01)
            try:
                page = await self.log.newest(STATUS_STREAM)
            except LogUnavailable:
                continue
            for record in page.records:
                state = json.loads(record.payload)['state']
                if not self.statuses or self.statuses[-1][1] != state:
                    self.statuses.append((loop.time(), state))


def good(route: str, since_s: float, load: float, rng: random.Random) -> Work:
    """Serve as the old version does: three in a thousand fail."""
    latency_s = rng.lognormvariate(0, 0.5) * MEAN_WORK_S
    if rng.random() <= LONG_SHARE:
        latency_s *= 7
    return Work(latency_s, rng.random() <= FAILURE_SHARE)


def failing(
    share: float,
    from_s: float = 0,
    route_name: str = '',
    min_load: float = 0,
) -> Behaviour:
    """Return a behaviour that fails a share of requests.

    Args:
        share: The share.
        from_s: Time since the order from which it does.
        route_name: The route on which it does, empty for all.
        min_load: The requests in progress for each target from which it does.
    """

    def serve(
        route: str, since_s: float, load: float, rng: random.Random
    ) -> Work:
        work = good(route, since_s, load, rng)
        is_active = since_s >= from_s and load >= min_load
        if is_active and route_name in {'', route} and rng.random() < share:
            return Work(work.latency_s, is_failure=True, is_bad=True)
        return work

    return serve


def slow(factor: float) -> Behaviour:
    """Return a behaviour that takes several times as long."""

    def serve(
        route: str, since_s: float, load: float, rng: random.Random
    ) -> Work:
        work = good(route, since_s, load, rng)
        return Work(work.latency_s * factor, work.is_failure, is_bad=True)

    return serve


def steady(work_s: float) -> Behaviour:
    """Return a behaviour that always takes the same time.

    Args:
        work_s: The time.
    """
    return lambda route, since_s, load, rng: Work(work_s)


def partly_slow(
    usual: Behaviour, share: float, factor: float, min_load: float = 0
) -> Behaviour:
    """Return a behaviour with which a part of responses are slower.

    Args:
        usual: The behaviour of the others.
        share: The part.
        factor: How many times slower.
        min_load: The requests in progress for each target from which it does.
    """

    def serve(
        route: str, since_s: float, load: float, rng: random.Random
    ) -> Work:
        work = usual(route, since_s, load, rng)
        if load < min_load or rng.random() >= share:
            return work
        return Work(work.latency_s * factor, work.is_failure, is_bad=True)

    return serve


def _with_target(member: Member, version: str) -> Member:
    return replace(
        member,
        service='desk',
        version=member.version + 1,
        status=MemberStatus.SERVING,
        slots=4,
        target_version=version,
    )
