"""Load patterns on virtual time, for comparisons of versions and policies.

One pattern loads a single gate without nodes, the other a fleet of nodes on a
simulated network.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from filbertdrift.errors import RequestNotRun, RequestUnknown
from filbertdrift.objective_gate import ObjectiveGate, SlotRequest
from standins.fleet import run_virtual
from standins.mesh_fleet import MeshFleet, config_document
from standins.scripted_target import TargetScript

SLOTS = 12
MAX_RETRIES = 2
ROUND_TRIP_S = 0.012
FLEET_SLOTS = 2
FLEET_WORK_S = 0.2
FLEET_OBJECTIVE_S = 0.5


class WaitEstimator(Protocol):
    """Estimates how long callers have been retrying."""

    def estimate_elapsed_s(
        self, route: str, caller_timeout_s: float | None
    ) -> float:
        """Count a request; return how long its caller has been retrying."""


@dataclass(frozen=True)
class RequestKind:
    """Requests of one kind: their priority, service time and deadlines.

    Args:
        share: Share of all requests.
        rank: The priority; zero is the most urgent.
        work_s: Mean service time at the target.
        objective_s: The latency objective, from the first attempt on.
        deadline_s: The caller gives up after this time.
    """

    share: float
    rank: int
    work_s: float
    objective_s: float
    deadline_s: float


READS_AND_WRITES = {
    'read': RequestKind(0.68, 2, 0.12, 0.4, 2.5),
    'write': RequestKind(0.32, 1, 0.16, 0.5, 3.0),
}

# An objective of less than three service times.
SHORT_OBJECTIVES = {'read': RequestKind(1.0, 2, 0.075, 0.2, 0.8)}


@dataclass
class Tally:
    """Outcomes of requests.

    Attributes:
        sent: Number of requests.
        in_time: Number of those that met their latency objective.
        served: Number of those served before their deadline.
        latencies_s: Latencies of those that ran, retries included.
    """

    sent: int = 0
    in_time: int = 0
    served: int = 0
    latencies_s: list[float] = field(default_factory=list)

    @property
    def in_time_share(self) -> float:
        """Return the share of requests that met the latency objective."""
        return self.in_time / self.sent


def returning_callers(
    load: float,
    seed: int,
    wait_estimator: WaitEstimator | None,
    kinds: Mapping[str, RequestKind] = READS_AND_WRITES,
    duration_s: float = 15.0,
) -> dict[str, Tally]:
    """Simulate callers of one gate who retry refusals, at a steady load.

    Args:
        load: Offered load as a multiple of the target's capacity.
        seed: Seed of all random numbers.
        wait_estimator: Estimates how long callers have been retrying; with
            None, each attempt counts as a first one.
        kinds: The kinds of request, by name.
        duration_s: How long requests arrive.

    Returns:
        The outcomes by kind.
    """
    pattern = _RetryingCallers(random.Random(seed), wait_estimator, kinds)
    return run_virtual(pattern.play(load, duration_s))  # type: ignore[no-any-return]


def stale_loads(
    load: float,
    seed: int,
    targets: int = 16,
    calls: int = 600,
) -> Tally:
    """Simulate many ingress nodes that send few requests to each target.

    The loads that an ingress node has received from targets are then stale.

    Args:
        load: Offered load as a multiple of the targets' capacity.
        seed: Seed of all random numbers.
        targets: Number of targets, all in one domain.
        calls: Number of requests, which arrive at random times.

    Returns:
        The outcomes of all requests.
    """
    return run_virtual(_stale_loads(load, seed, targets, calls))  # type: ignore[no-any-return]


async def _stale_loads(
    load: float,
    seed: int,
    targets: int,
    calls: int,
) -> Tally:
    fleet = await _start_fleet(targets, seed)
    loop = asyncio.get_running_loop()
    rng = random.Random(seed)
    nodes = list(fleet.instances)
    tally = Tally()
    tasks = []
    rate = load * targets * FLEET_SLOTS / FLEET_WORK_S
    for _ in range(calls):
        await asyncio.sleep(rng.expovariate(rate))
        call = _call_fleet(fleet, rng.choice(nodes), tally)
        tasks.append(loop.create_task(call))
    await asyncio.gather(*tasks)
    return tally


async def _start_fleet(targets: int, seed: int) -> MeshFleet:
    fleet = MeshFleet(seed)
    await fleet.publish(
        config_document(write={'target_latency_s': FLEET_OBJECTIVE_S}),
    )
    for _ in range(targets):
        script = TargetScript(work_s=FLEET_WORK_S, slots=FLEET_SLOTS)
        await fleet.add('a', 'desk', script)
    await fleet.wait_until_in_force(1, 5)
    await asyncio.sleep(3)
    return fleet


async def _call_fleet(fleet: MeshFleet, node: str, tally: Tally) -> None:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    tally.sent += 1
    try:
        response = await fleet.call(node, '/write/1')
    except (RequestNotRun, RequestUnknown):
        return
    response.close()
    latency_s = loop.time() - started_at
    tally.served += 1
    tally.in_time += latency_s <= FLEET_OBJECTIVE_S
    tally.latencies_s.append(latency_s)


class _RetryingCallers:
    """Callers of one gate; each retries a refusal up to MAX_RETRIES times."""

    def __init__(
        self,
        rng: random.Random,
        wait_estimator: WaitEstimator | None,
        kinds: Mapping[str, RequestKind],
    ) -> None:
        self._rng = rng
        self._estimator = wait_estimator
        self._kinds = kinds
        self._tallies = {name: Tally() for name in kinds}

    async def play(self, load: float, duration_s: float) -> dict[str, Tally]:
        """Send requests at random times; return their outcomes by kind."""
        loop = asyncio.get_running_loop()
        gate = ObjectiveGate(SLOTS, self._rng)
        mean_work_s = sum(
            kind.share * kind.work_s for kind in self._kinds.values()
        )
        names = list(self._kinds)
        shares = [kind.share for kind in self._kinds.values()]
        calls = []
        while loop.time() < duration_s:
            await asyncio.sleep(
                self._rng.expovariate(load * SLOTS / mean_work_s)
            )
            name = self._rng.choices(names, shares)[0]
            calls.append(loop.create_task(self._call(gate, name, loop.time)))
        await asyncio.gather(*calls)
        return self._tallies

    async def _call(
        self,
        gate: ObjectiveGate,
        name: str,
        clock: Callable[[], float],
    ) -> None:
        kind, tally = self._kinds[name], self._tallies[name]
        started_at = clock()
        deadline = started_at + kind.deadline_s
        tally.sent += 1
        for _ in range(MAX_RETRIES + 1):
            remaining_s = deadline - clock()
            elapsed_s = 0.0
            if self._estimator is not None:
                elapsed_s = self._estimator.estimate_elapsed_s(
                    name, remaining_s
                )
            objective_at = clock() + kind.objective_s - elapsed_s
            slot_request = SlotRequest(kind.rank, name, objective_at, deadline)
            try:
                await gate.admit(slot_request)
            except RequestNotRun as exc:
                retry_after_s = min(exc.retry_after_ms / 1000, remaining_s / 3)
                await asyncio.sleep(retry_after_s + ROUND_TRIP_S)
                continue
            await self._work(gate, name, deadline)
            tally.served += clock() < deadline
            tally.in_time += clock() <= started_at + kind.objective_s
            tally.latencies_s.append(clock() - started_at)
            return

    async def _work(
        self,
        gate: ObjectiveGate,
        name: str,
        deadline: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        work_s = self._rng.gammavariate(4, self._kinds[name].work_s / 4)
        await asyncio.sleep(min(work_s, deadline - started_at))
        gate.release(name, loop.time() - started_at)
