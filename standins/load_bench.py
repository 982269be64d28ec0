"""Benchmark of requests under overload, with faulty targets.

Nodes and in-memory targets run on virtual time, so the figures are exact and
repeatable. The baseline chooses targets at random, admits all requests and
retries all that are not answered; the queues of its targets have no limit.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from loguru import logger

from filbertdrift.errors import RequestNotRun, RequestUnknown
from filbertdrift.members import Member
from filbertdrift.node import Node
from standins.fleet import Fleet, run_virtual

DOMAINS = ('a', 'b', 'c')
TARGETS_PER_DOMAIN = 3
SLOTS = 10
WORK_S = 0.05
SLOW_WORK_S = 0.5
TIMEOUT_S = 1.0
MEASURE_S = 10.0
SETTLE_S = 8.0
WRITE_SHARE = 0.2
CONFIG = """
[targets desk]
service = desk
refusal_statuses = 503
slow_start_ms = 0
[policy read]
timeout_ms = 1000
customer_header = x-customer
[policy write]
timeout_ms = 1000
importance = critical
customer_header = x-customer
[route read]
path = /desk/*
methods = GET
targets = desk
policy = read
[route write]
path = /desk/*
methods = POST
targets = desk
policy = write
"""


@dataclass(slots=True)
class LoadReport:
    """Outcomes and latencies of the offered requests."""

    variant: str
    load: float
    seed: int
    offered: int = 0
    answered_share: float = 0.0
    critical_answered_share: float = 0.0
    not_run: int = 0
    unknown: int = 0
    wasted_share: float = 0.0
    writes_run_twice: int = 0
    latency_median_s: float = 0.0
    latency_tail_s: float = 0.0
    refusal_tail_s: float = 0.0


@dataclass(slots=True)
class _Tally:
    """Outcomes, latencies and refusal times while requests run."""

    outcomes: Counter[str] = field(default_factory=Counter)
    writes: Counter[str] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)
    refusals: list[float] = field(default_factory=list)


def bench_load(
    loads: Sequence[float] = (0.5, 1.0, 1.5, 3.0),
    seed: int = 1,
) -> list[LoadReport]:
    """Measure goodput at several loads, compared with the baseline.

    Args:
        loads: Offered load as a multiple of the capacity of the healthy
            targets.
        seed: Seed of all random numbers.

    Returns:
        Two reports for each load: of filbertdrift, then of the baseline.
    """
    logger.remove()
    reports = []
    for load in loads:
        for variant in ('filbertdrift', 'baseline'):
            bench = _LoadBench(variant, load, seed)
            reports.append(run_virtual(bench.run()))
    return reports


class _LoadBench:
    """Measurement of one variant at one load."""

    def __init__(self, variant: str, load: float, seed: int) -> None:
        self._report = LoadReport(variant, load, seed)
        self._fleet = Fleet(seed)
        self._rng = random.Random(seed)
        self._tally = _Tally()

    async def run(self) -> LoadReport:
        """Start the fleet, inject a fault in three targets, offer requests."""
        fleet = self._fleet
        for domain in DOMAINS:
            await fleet.add(domain, 'desk', TARGETS_PER_DOMAIN)
        for instance in fleet.instances.values():
            instance.behaviour.slots = SLOTS
            instance.behaviour.work_s = WORK_S
            instance.behaviour.limits_slots = True
            if self._report.variant == 'baseline':
                _make_baseline(instance.node, self._rng)
        await asyncio.sleep(SETTLE_S)
        await fleet.publish({'desk.ini': CONFIG})
        await asyncio.sleep(SETTLE_S)
        broken = [f'{domain}-0:7000' for domain in DOMAINS]
        fleet.instances[broken[0]].behaviour.work_s = SLOW_WORK_S
        fleet.instances[broken[1]].behaviour.sheds = True
        fleet.instances[broken[2]].behaviour.is_up = False
        await self._offer_requests()
        return self._summarize()

    async def _offer_requests(self) -> None:
        loop = asyncio.get_running_loop()
        healthy = len(self._fleet.instances) - len(DOMAINS)
        rate = self._report.load * healthy * SLOTS / WORK_S
        deadline = loop.time() + MEASURE_S
        addresses = list(self._fleet.instances)
        tasks = []
        while loop.time() < deadline:
            await asyncio.sleep(self._rng.expovariate(rate))
            address = self._rng.choice(addresses)
            is_write = self._rng.random() < WRITE_SHARE
            number = self._report.offered
            self._report.offered += 1
            work = self._call(address, number, is_write=is_write)
            tasks.append(loop.create_task(work))
        await asyncio.gather(*tasks)

    async def _call(self, address: str, number: int, *, is_write: bool) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        method = 'POST' if is_write else 'GET'
        name = f'{method}-{number}'
        outcome = 'answered'
        try:
            response = await self._fleet.call(
                address,
                f'/desk/{number}',
                method,
                name,
                timeout_s=TIMEOUT_S,
                customer=f'customer-{number % 20}',
            )
            part = response.first_part
            while not part.end:
                part = await response.part(TIMEOUT_S)
            response.close()
        except RequestNotRun:
            outcome = 'not-run'
            self._tally.refusals.append(loop.time() - started_at)
        except RequestUnknown:
            outcome = 'unknown'
        else:
            self._tally.latencies.append(loop.time() - started_at)
        self._tally.outcomes[outcome] += 1
        if is_write:
            self._tally.writes[outcome] += 1

    def _summarize(self) -> LoadReport:
        report, tally = self._report, self._tally
        answered = tally.outcomes['answered']
        executions = self._fleet.executions()
        runs = sum(executions.values())
        report.answered_share = answered / max(report.offered, 1)
        writes = sum(tally.writes.values())
        report.critical_answered_share = tally.writes['answered'] / writes
        report.not_run = tally.outcomes['not-run']
        report.unknown = tally.outcomes['unknown']
        report.wasted_share = (runs - answered) / max(runs, 1)
        report.writes_run_twice = sum(
            count > 1 and name.startswith('POST')
            for name, count in executions.items()
        )
        report.latency_median_s = _quantile(tally.latencies, 0.5)
        report.latency_tail_s = _quantile(tally.latencies, 0.99)
        report.refusal_tail_s = _quantile(tally.refusals, 0.99)
        return report


def _make_baseline(node: Node, rng: random.Random) -> None:
    """Make a node choose at random, admit all and retry unless answered."""

    def choose(
        endpoints: Sequence[Member],
        tried: Sequence[str],
        now: float,
    ) -> Member | None:
        return rng.choice(endpoints) if endpoints else None

    def may_retry(left: int, *parts: object) -> bool:
        return left > 0

    async def admit(
        importance: int, client_account: str, deadline: float
    ) -> None:
        """Admit without a limit."""

    announce = node.announce

    def announce_ungated(announcement: object) -> None:
        announce(announcement)  # type: ignore[arg-type]
        if node.server.announced:
            node.server.announced.gate.admit = admit  # type: ignore

    node.announce = announce_ungated  # type: ignore[method-assign]
    node.chooser.choose = choose  # type: ignore[method-assign,assignment]
    node.forwarder._may_retry_not_run = may_retry  # type: ignore # noqa: SLF001
    node.forwarder._may_retry_unknown = may_retry  # type: ignore # noqa: SLF001


def _quantile(samples: list[float], share: float) -> float:
    ordered = sorted(samples)
    return ordered[int(len(ordered) * share)] if ordered else 0.0
