"""Gates and ingress nodes in virtual time, to compare choices of a target.

Gates, reports and choosers are the real ones; links, targets and the retry
loop of an ingress are modelled.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from filbertdrift.balance.chooser import TargetChooser
from filbertdrift.balance.completion import CompletionChooser
from filbertdrift.balance.costmodel import CostModels
from filbertdrift.balance.estimate import RequestFeatures
from filbertdrift.balance.gatereport import GateReporter
from filbertdrift.errors import NoFreeSlot, RequestNotRun
from filbertdrift.gen import ttypes
from filbertdrift.members import Member, MemberStatus
from filbertdrift.objective_gate import ObjectiveGate, SlotRequest
from standins.balance_load import Kind, Pattern, Tally
from standins.fleet import run_virtual

DOMAINS = ('a', 'b', 'c')
SERVICE = 'desk'
WITHOUT, WITH, ORACLE = 'without', 'with', 'oracle'
# Round trips: to the local target, within a domain and between domains.
LOCAL_S, NEAR_S, FAR_S = 0.0002, 0.002, 0.01
MAX_SEARCHES = 2
MAX_REFUSALS = 3
SPILL_PERMILLE = 1500
DEADLINE_S = 2.0
# Length of the steps in which targets do their work.
STEP_S = 0.02
# Less is due to rounding.
LEAST_WORK_S = 1e-9


@dataclass
class SimTarget:
    """A target with its gate and the reporter beside it."""

    member: Member
    speed: float
    factor: Callable[[float], float]
    gate: ObjectiveGate
    reporter: GateReporter
    models: CostModels
    incarnation: Any
    link_mbps: float = 0.0
    is_varying: bool = False
    link_free_at: float = 0.0
    # Remaining work of the requests that run and wait, for the oracle.
    works: dict[object, float] = field(default_factory=dict)

    async def work(self, key: object, now: Callable[[], float]) -> None:
        """Do the work of one request."""
        while self.works[key] > LEAST_WORK_S:
            speed = self.speed / self.factor(now())
            step_s = self.works[key] / speed
            if self.is_varying:
                step_s = min(step_s, STEP_S)
            await asyncio.sleep(step_s)
            self.works[key] -= step_s * speed

    def end_s(self, work_s: float, now: float) -> float:
        """Return when a request would end, from complete knowledge."""
        slots_s = [0.0] * self.gate.slots
        for left_s in self.works.values():
            slots_s.sort()
            slots_s[0] += left_s
        speed = self.speed / self.factor(now)
        return (min(slots_s) + work_s) / speed


class Simulation:
    """One run of a pattern with one way to choose targets."""

    def __init__(self, pattern: Pattern, choice: str, seed: int) -> None:
        self.pattern = pattern
        self.choice = choice
        self.tally = Tally()
        self.rng = random.Random(seed)
        # The load is the same for all ways to choose.
        self.load_rng = random.Random(seed + 1)
        self.targets: dict[str, SimTarget] = {}
        self.endpoints: list[Member] = []
        self.choosers: dict[str, CompletionChooser] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> Tally:
        """Return the outcomes of all requests."""
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        last = len(self.pattern.speeds) - 1
        for index in range(last + 1):
            if index < last or self.pattern.joins_at is None:
                self._add_targets(index)
        self._add_nodes()
        await asyncio.gather(*(self._arrive(domain) for domain in DOMAINS))
        await asyncio.gather(*self.tasks)
        return self.tally

    def elapsed_s(self) -> float:
        """Return the time since the start."""
        return self.loop.time() - self.started_at

    def _add_targets(self, index: int) -> None:
        for place, domain in enumerate(DOMAINS):
            number = index * len(DOMAINS) + place
            mbps = (self.pattern.link_mbps or [0] * (index + 1))[index]
            member = Member(
                f'{domain}-{index}:7000',
                domain,
                'one',
                SERVICE,
                status=MemberStatus.SERVING,
                slots=self.pattern.slots,
                link_mbps=int(mbps),
            )
            gate = ObjectiveGate(member.slots, self.rng)
            incarnation: Any = SimpleNamespace(
                gate=gate, heartbeat=SimpleNamespace(service=SERVICE)
            )
            lifecycle: Any = SimpleNamespace(current=incarnation)
            models = CostModels()
            self.targets[member.node] = SimTarget(
                member,
                self.pattern.speeds[index],
                self._factor_of(number),
                gate,
                GateReporter(lifecycle, models, b'caller-service'),
                models,
                incarnation,
                mbps,
                self.pattern.is_varying,
            )
        # A new list: choosers cache groups by identity.
        self.endpoints = [one.member for one in self.targets.values()]

    def _factor_of(self, number: int) -> Callable[[float], float]:
        def factor(now: float) -> float:
            return self.pattern.factor(number, now - self.started_at)

        return factor

    def _add_nodes(self) -> None:
        for domain in DOMAINS:
            for number in range(self.pattern.nodes):
                node = f'{domain}-{number}:7000'
                target = self.targets.get(node)
                chooser = CompletionChooser(domain, 'one', self.rng, node)
                if target:
                    chooser.read_local = target.reporter.snapshot
                    chooser.models = target.models
                self.choosers[node] = chooser

    async def _arrive(self, domain: str) -> None:
        pattern = self.pattern
        mean_s = sum(kind.share * kind.work_s for kind in pattern.kinds)
        capacity = sum(pattern.speeds) * pattern.slots / mean_s
        burst_at = pattern.burst_interval_s
        rng = random.Random(f'{domain}{self.load_rng.random()}')
        now = 0.0
        while now < pattern.duration_s:
            self._join_if_due(now)
            if pattern.burst and now >= burst_at:
                burst_at += pattern.burst_interval_s
                for _ in range(pattern.burst):
                    self._start(domain, pattern.kinds[0], rng)
            rate = max(pattern.load(domain, now) * capacity, 0.1)
            await asyncio.sleep(rng.expovariate(rate))
            shares = [kind.share for kind in pattern.kinds]
            self._start(domain, rng.choices(pattern.kinds, shares)[0], rng)
            now = self.elapsed_s()

    def _join_if_due(self, now: float) -> None:
        joins_at = self.pattern.joins_at
        whole = len(DOMAINS) * len(self.pattern.speeds)
        is_due = joins_at is not None and now > joins_at
        if is_due and len(self.targets) < whole:
            self._add_targets(len(self.pattern.speeds) - 1)

    def _start(self, domain: str, kind: Kind, rng: random.Random) -> None:
        node = f'{domain}-{rng.randrange(self.pattern.nodes)}:7000'
        work_s = kind.draw_work_s(rng)
        self.tally.sent += 1
        self.tasks.append(
            self.loop.create_task(self._send(node, domain, kind, work_s))
        )

    async def _send(
        self, node: str, domain: str, kind: Kind, work_s: float
    ) -> None:
        started_at = self.loop.time()
        attempt = _Attempts(self, node, domain, kind, work_s)
        if await attempt.run():
            latency_s = self.loop.time() - started_at
            self.tally.in_time += latency_s <= kind.objective_s


class _Attempts:
    """The attempts of one request, as dispatch makes them."""

    def __init__(
        self, sim: Simulation, node: str, domain: str, kind: Kind, work_s: float
    ) -> None:
        self.sim = sim
        self.node = node
        self.domain = domain
        self.kind = kind
        self.work_s = work_s
        self.chooser = sim.choosers[node]
        self.now = sim.loop.time
        self.busy: list[str] = []
        self.refused: list[str] = []
        self.is_over = sim.choice == ORACLE
        self.objective_at = self.now() + kind.objective_s
        self.deadline = self.now() + DEADLINE_S
        features = RequestFeatures(kind.route, 'GET', kind.path)
        self.tracker = self.chooser.track(SERVICE, features, self.objective_at)
        self.is_tracked = sim.choice == WITH and self.chooser.is_on(
            SERVICE, self.now()
        )

    async def run(self) -> bool:
        """Return whether a target ran the request."""
        while len(self.refused) < MAX_REFUSALS and self.now() < self.deadline:
            member = self._find_member()
            if member is None:
                return False
            may_wait = self.is_over or not self.chooser.is_below_capacity(
                member, self.now()
            )
            try:
                await self._attempt(member, may_wait=may_wait)
            except NoFreeSlot:
                self.busy.append(member.node)
                self.is_over = len(self.busy) >= MAX_SEARCHES
            except RequestNotRun:
                self.refused.append(member.node)
            else:
                self.sim.tally.far += member.domain != self.domain
                return True
        return False

    def _find_member(self) -> Member | None:
        """Return the next target; the search stays in the domain."""
        if self.is_over:
            return self._choose(self.refused)
        member = self._choose(self.busy + self.refused)
        is_near = member is not None and member.domain == self.domain
        if is_near or not self.busy:
            return member
        self.is_over = True
        return self._choose(self.refused)

    def _choose(self, excluded: Sequence[str]) -> Member | None:
        now = self.now()
        if self.sim.choice == ORACLE:
            return self._choose_by_oracle(excluded)
        if self.is_tracked:
            return self.tracker.choose(self.sim.endpoints, excluded, now)
        return TargetChooser.choose(
            self.chooser,
            self.sim.endpoints,
            excluded,
            now,
            SPILL_PERMILLE,
            self.kind.route,
            objective_s=self.kind.objective_s,
        )

    def _choose_by_oracle(self, excluded: Sequence[str]) -> Member | None:
        """Return the best target; one elsewhere if only that is in time."""
        known = [one for one in self.sim.endpoints if one.node not in excluded]
        price = self._oracle_price
        best = min(known, key=price, default=None)
        near = [one for one in known if one.domain == self.domain]
        if best is None or not near:
            return best
        left_s = self.objective_at - self.now()
        best_near = min(near, key=price)
        return best_near if price(best_near) <= left_s else best

    def _oracle_price(self, member: Member) -> float:
        target = self.sim.targets[member.node]
        transfer_s = self._transfer_s(target)
        wait_s = max(target.link_free_at - self.now(), 0) if transfer_s else 0
        end_s = target.end_s(self.work_s, self.now()) + transfer_s + wait_s
        return end_s + self._round_trip_s(member)

    async def _attempt(self, member: Member, *, may_wait: bool) -> None:
        chooser, target = self.chooser, self.sim.targets[member.node]
        sent_at = self.now()
        chooser.began(member, sent_at)
        if self.is_tracked:
            self.tracker.sent(member, sent_at)
        try:
            await asyncio.sleep(self._round_trip_s(member) / 2)
            answer = await self._serve(target, may_wait=may_wait)
            await asyncio.sleep(self._round_trip_s(member) / 2)
        except RequestNotRun as exc:
            self._record_refusal(target, exc)
            raise
        finally:
            chooser.ended(member, self.now())
        self._deliver(member, answer, self.now() - sent_at)

    async def _serve(
        self, target: SimTarget, *, may_wait: bool
    ) -> ttypes.AnswerOpen:
        gate, reporter = target.gate, target.reporter
        key: Any = object()
        cost_us = self.tracker.request.cost_us if self.is_tracked else None
        opening = ttypes.RequestOpen(
            'GET', self.kind.path, [], 1, SERVICE, cost_us=cost_us
        )
        opening.route_name = self.kind.route
        reporter.arrived(key, opening)
        target.works[key] = self.work_s
        slot_request = SlotRequest(
            1, self.kind.route, self.objective_at, self.deadline, may_wait
        )
        try:
            await gate.admit(slot_request)
            started_at = self.now()
            reporter.started(key)
            await target.work(key, self.now)
            return await self._answer(target, key, started_at)
        finally:
            target.works.pop(key, None)
            reporter.ended(key)

    async def _answer(
        self, target: SimTarget, key: Any, started_at: float
    ) -> ttypes.AnswerOpen:
        percent = int(100 * target.factor(self.now()))
        target.reporter.record_load(target.incarnation, f'1,0,3,{percent}')
        body = b'x' * self.kind.response_bytes
        answer = ttypes.AnswerOpen(200, [], body, end=True)
        answer.load_permille = target.gate.load_permille
        target.reporter.fill_response(key, answer)
        target.gate.release(self.kind.route, self.now() - started_at)
        transfer_s = self._transfer_s(target)
        target.link_free_at = max(target.link_free_at, self.now()) + transfer_s
        await asyncio.sleep(target.link_free_at - self.now())
        return answer

    def _record_refusal(self, target: SimTarget, exc: RequestNotRun) -> None:
        refusal = ttypes.Refusal(ttypes.RefusalKind.NOT_RUN, str(exc))
        target.reporter.fill_refusal(refusal)
        refusal.load_permille = target.gate.load_permille
        if not isinstance(exc, NoFreeSlot):
            load = refusal.load_permille
            self.chooser.refused(
                target.member, load, self.now(), self.kind.route
            )
        self._deliver(target.member, refusal, 0)

    def _deliver(
        self,
        member: Member,
        message: ttypes.AnswerOpen | ttypes.Refusal,
        latency_s: float,
    ) -> None:
        def deliver() -> None:
            now = self.now()
            self.tracker.received(member, message, latency_s, now)
            load, kind = message.load_permille, self.kind.route
            if isinstance(message, ttypes.Refusal):
                self.chooser.record_load(member, load, now)
            else:
                self.chooser.answered(member, load, latency_s, now, kind)

        self.sim.loop.call_later(self.sim.pattern.report_delay_s, deliver)

    def _transfer_s(self, target: SimTarget) -> float:
        if not target.link_mbps or target.member.node == self.node:
            return 0
        return self.kind.response_bytes * 8 / (target.link_mbps * 1e6)

    def _round_trip_s(self, member: Member) -> float:
        if member.node == self.node:
            return LOCAL_S
        return NEAR_S if member.domain == self.domain else FAR_S


def play(pattern: Pattern, choice: str, seeds: Sequence[int]) -> Tally:
    """Return the outcomes of a pattern over some seeds.

    Args:
        pattern: The pattern.
        choice: WITHOUT, WITH or ORACLE.
        seeds: Seeds of all random choices.
    """
    total = Tally()
    for seed in seeds:
        tally = run_virtual(Simulation(pattern, choice, seed).run())
        total.sent += tally.sent
        total.in_time += tally.in_time
        total.far += tally.far
    return total
