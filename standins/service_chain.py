"""Services of gates whose requests call each other, on virtual time.

There are no nodes and no network: a caller or a running request asks the gate
that is less loaded of two, and another one if that refuses.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from filbertdrift.balance.admissionqueue import SlotRequest
from filbertdrift.balance.callroom import CallRoom
from filbertdrift.balance.slottime import SlotTimeCounters, SlotUse
from filbertdrift.errors import RequestNotRun
from filbertdrift.objective_gate import ObjectiveGate

# Gates that one request is offered to.
ATTEMPTS = 3
# Times that a caller repeats a refused request.
MAX_RETRIES = 2
MS_PER_S = 1000
# Time between two nodes, one way.
TRANSIT_S = 0.002
# What callers lose by a run that failed, as a part of the value of a request.
FAILURE_COST = 0.3
# What a response after the objective is worth.
LATE_VALUE = 0.5
LONG_SHARE = 0.03
LONG_FACTOR = 7


@dataclass(frozen=True)
class Kind:
    """Requests of one kind.

    Args:
        name: Its name, that of its route.
        service: The service that runs it.
        rank: The priority.
        work_s: Mean service time without calls.
        objective_s: The latency objective.
        deadline_s: The caller gives up after this time.
        is_idempotent: It may run more than once.
        has_tail: Three in 100 take seven times as long.
        calls: The kinds that it calls in turn.
        call_share: Share of its runs that make the calls.
    """

    name: str
    service: str
    rank: int
    work_s: float
    objective_s: float
    deadline_s: float
    is_idempotent: bool = True
    has_tail: bool = False
    calls: tuple['Kind', ...] = ()
    call_share: float = 0.0

    def draw_s(self, rng: random.Random) -> float:
        """Return the work of one request, in seconds."""
        work_s = self.work_s
        if self.has_tail:
            work_s /= 1 + LONG_SHARE * (LONG_FACTOR - 1)
            work_s *= LONG_FACTOR if rng.random() < LONG_SHARE else 1
        return rng.gammavariate(6, work_s / 6)


@dataclass
class Tally:
    """Outcomes of requests."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    latencies_s: list[float] = field(default_factory=list)

    @property
    def value(self) -> float:
        """Return what the outcomes are worth, as a share of all in time."""
        worth = self.in_time + LATE_VALUE * self.late
        return (worth - FAILURE_COST * self.failed) / max(self.sent, 1)


class Failed(Exception):
    """A request ran and failed."""


class Chain:
    """Some services with targets of equal speed.

    Args:
        targets: Number of targets and slots of each service.
        seed: Seed of all random choices.
        by_cost: Whether the gates admit by expected work.

    Attributes:
        tallies: Outcomes by kind, or by account if there is one.
        slot_time: Slot time of each service.
        broken: Names of kinds that fail when they run.
    """

    def __init__(
        self,
        targets: Mapping[str, tuple[int, int]],
        seed: int,
        *,
        by_cost: bool,
    ) -> None:
        self.rng = random.Random(seed)
        # Of its own, so that arrivals do not depend on what gates decide.
        self._arrival_rng = random.Random(seed + 1)
        self.tallies: dict[str, Tally] = defaultdict(Tally)
        self.slot_time = {name: SlotTimeCounters() for name in targets}
        self.broken: set[str] = set()
        self.weights: dict[str, float] = {}
        self.gates: dict[str, Sequence[ObjectiveGate]] = {
            name: [
                ObjectiveGate(
                    slots,
                    random.Random(self.rng.getrandbits(32)),
                    room=CallRoom(),
                    slot_time=self.slot_time[name],
                    by_cost=by_cost,
                )
                for _ in range(count)
            ]
            for name, (count, slots) in targets.items()
        }

    async def play(
        self,
        rates: Mapping[tuple[Kind, str], Callable[[float], float]],
        for_s: float,
    ) -> None:
        """Send outer requests at random times.

        Args:
            rates: Requests a second of a kind and account, by time.
            for_s: How long to send.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        tasks = []
        while loop.time() - started_at < for_s:
            elapsed_s = loop.time() - started_at
            per_s = [rate(elapsed_s) for rate in rates.values()]
            await asyncio.sleep(self._arrival_rng.expovariate(sum(per_s)))
            kind, account = self._arrival_rng.choices(list(rates), per_s)[0]
            tasks.append(loop.create_task(self._send_outer(kind, account)))
        await asyncio.gather(*tasks)

    async def _send_outer(self, kind: Kind, account: str) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        tally = self.tallies[account or kind.name]
        tally.sent += 1
        try:
            await self._send_patiently(kind, account, began + kind.deadline_s)
        except RequestNotRun:
            tally.refused += 1
            return
        except (Failed, TimeoutError):
            tally.failed += 1
            return
        tally.latencies_s.append(loop.time() - began)
        if loop.time() - began <= kind.objective_s:
            tally.in_time += 1
        else:
            tally.late += 1

    async def _send_patiently(
        self, kind: Kind, account: str, deadline: float
    ) -> None:
        """Send a request, and repeat it when it is told to."""
        loop = asyncio.get_running_loop()
        for _ in range(MAX_RETRIES):
            try:
                await self.send(kind, account, deadline)
            except RequestNotRun as exc:
                retry_at = loop.time() + exc.retry_after_ms / MS_PER_S
                if retry_at + kind.work_s > deadline:
                    raise
                await asyncio.sleep(exc.retry_after_ms / MS_PER_S)
            else:
                return
        await self.send(kind, account, deadline)

    async def send(
        self, kind: Kind, account: str = '', deadline: float | None = None
    ) -> None:
        """Send one request to some gates in turn, until one runs it.

        Raises:
            RequestNotRun: All gates refused it.
            Failed: It ran and failed.
            TimeoutError: It ran past its deadline.
        """
        if deadline is None:
            deadline = asyncio.get_running_loop().time() + kind.deadline_s
        req = SlotRequest(
            kind.rank,
            kind.name,
            deadline - kind.deadline_s + kind.objective_s,
            deadline,
            account=account,
            weight=self.weights.get(account, 1),
            is_nested=not kind.rank,
            is_idempotent=kind.is_idempotent,
        )
        tried: list[ObjectiveGate] = []
        while True:
            gate = self._choose(kind.service, tried)
            tried.append(gate)
            await asyncio.sleep(TRANSIT_S)
            try:
                await gate.admit(req)
            except RequestNotRun:
                if len(tried) == min(ATTEMPTS, len(self.gates[kind.service])):
                    raise
                continue
            await self._run(gate, kind, req)
            return

    def _choose(
        self, service: str, tried: Sequence[ObjectiveGate]
    ) -> ObjectiveGate:
        left = [gate for gate in self.gates[service] if gate not in tried]
        drawn = self.rng.sample(left, min(2, len(left)))
        return min(drawn, key=lambda gate: gate.load_permille)

    async def _run(
        self, gate: ObjectiveGate, kind: Kind, req: SlotRequest
    ) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        use = SlotUse.GIVEN_UP
        spent_s = 0.0
        try:
            async with asyncio.timeout_at(req.deadline):
                await self._work(gate, kind)
            spent_s = loop.time() - began
            is_late = loop.time() > req.objective_at
            use = SlotUse.LATE if is_late else SlotUse.IN_TIME
        except Failed:
            spent_s = loop.time() - began
            use = SlotUse.FAILED
            raise
        finally:
            gate.release(kind.name, spent_s, req, use)

    async def _work(self, gate: ObjectiveGate, kind: Kind) -> None:
        work_s = kind.draw_s(self.rng)
        await asyncio.sleep(work_s / 2)
        if kind.name in self.broken:
            raise Failed
        if self.rng.random() < kind.call_share:
            for called in kind.calls:
                await self._call(gate, called)
        await asyncio.sleep(work_s / 2)

    async def _call(self, gate: ObjectiveGate, called: Kind) -> None:
        """Make a call as a target does; the node beside it sees the outcome."""
        loop = asyncio.get_running_loop()
        gate.room.record_call(called.name, gate.running_kinds, loop.time())
        is_failure = True
        try:
            await self.send(called)
            is_failure = False
        except (RequestNotRun, TimeoutError) as exc:
            raise Failed from exc
        except asyncio.CancelledError:
            # The outer request was given up.
            is_failure = False
            raise
        finally:
            gate.room.record_outcome(
                called.name, is_failure=is_failure, now=loop.time()
            )
