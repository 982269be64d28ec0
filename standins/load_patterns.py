"""Patterns of load, without a network, on virtual time."""

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
    """What estimates how long callers have been trying."""

    def estimate_elapsed_s(
        self, route: str, caller_timeout_s: float | None
    ) -> float:
        """Count a request and return how long its caller has been trying."""


@dataclass(frozen=True)
class RequestKind:
    """One kind of request.

    Args:
        share: Part of all requests.
        rank: Zero is the most urgent.
        work_s: Mean time at the target.
        objective_s: An answer within it counts in full.
        deadline_s: The caller waits for so long.
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


@dataclass
class Tally:
    """What became of the requests of one kind."""

    sent: int = 0
    in_time: int = 0
    served: int = 0
    latencies_s: list[float] = field(default_factory=list)

    @property
    def in_time_share(self) -> float:
        """Return the part that was answered within the objective."""
        return self.in_time / self.sent


def returning_callers(
    load: float,
    seed: int,
    waits: WaitEstimator | None,
    kinds: Mapping[str, RequestKind] = READS_AND_WRITES,
    duration_s: float = 15.0,
) -> dict[str, Tally]:
    """Play callers who come back after refusals, at a steady overload.

    Args:
        load: Work that arrives over what the target can do.
        seed: Decides all that is random.
        waits: Estimates how long callers have been trying, None to take each
            attempt for a first one.
        kinds: The kinds of request.
        duration_s: How long requests arrive.

    Returns:
        What became of each kind.
    """
    pattern = _Pattern(random.Random(seed), waits, kinds)
    return run_virtual(pattern.play(load, duration_s))  # type: ignore[no-any-return]


def stale_loads(
    load: float,
    seed: int,
    targets: int = 16,
    calls: int = 600,
) -> Tally:
    """Play many entries, each of which sends each target little.

    Args:
        load: Work that arrives over what the targets can do.
        seed: Decides all that is random.
        targets: Targets of two slots each, all in one domain.
        calls: Requests, one after the other at random times.

    Returns:
        What became of the requests.
    """
    return run_virtual(_stale_loads(load, seed, targets, calls))  # type: ignore[no-any-return]


async def _stale_loads(
    load: float,
    seed: int,
    targets: int,
    calls: int,
) -> Tally:
    fleet = await _settled_fleet(targets, seed)
    loop = asyncio.get_running_loop()
    rng = random.Random(seed)
    nodes = list(fleet.instances)
    tally = Tally()
    tasks = []
    rate = load * targets * FLEET_SLOTS / FLEET_WORK_S
    for _ in range(calls):
        await asyncio.sleep(rng.expovariate(rate))
        call = _fleet_call(fleet, rng.choice(nodes), tally)
        tasks.append(loop.create_task(call))
    await asyncio.gather(*tasks)
    return tally


async def _settled_fleet(targets: int, seed: int) -> MeshFleet:
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


async def _fleet_call(fleet: MeshFleet, node: str, tally: Tally) -> None:
    loop = asyncio.get_running_loop()
    began = loop.time()
    tally.sent += 1
    try:
        answer = await fleet.call(node, '/write/1')
    except (RequestNotRun, RequestUnknown):
        return
    answer.close()
    spent_s = loop.time() - began
    tally.served += 1
    tally.in_time += spent_s <= FLEET_OBJECTIVE_S
    tally.latencies_s.append(spent_s)


class _Pattern:
    """One gate with its callers."""

    def __init__(
        self,
        rng: random.Random,
        waits: WaitEstimator | None,
        kinds: Mapping[str, RequestKind],
    ) -> None:
        self._rng = rng
        self._waits = waits
        self._kinds = kinds
        self._tallies = {name: Tally() for name in kinds}

    async def play(self, load: float, duration_s: float) -> dict[str, Tally]:
        """Let requests arrive at random times and wait for the last one."""
        loop = asyncio.get_running_loop()
        gate = ObjectiveGate(SLOTS, self._rng)
        mean_s = sum(kind.share * kind.work_s for kind in self._kinds.values())
        names = list(self._kinds)
        shares = [kind.share for kind in self._kinds.values()]
        calls = []
        while loop.time() < duration_s:
            await asyncio.sleep(self._rng.expovariate(load * SLOTS / mean_s))
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
        began = clock()
        deadline = began + kind.deadline_s
        tally.sent += 1
        for _ in range(MAX_RETRIES + 1):
            left_s = deadline - clock()
            elapsed_s = 0.0
            if self._waits is not None:
                elapsed_s = self._waits.estimate_elapsed_s(name, left_s)
            objective_at = clock() + kind.objective_s - elapsed_s
            slot_request = SlotRequest(kind.rank, name, objective_at, deadline)
            try:
                await gate.admit(slot_request)
            except RequestNotRun as exc:
                retry_after_s = min(exc.retry_after_ms / 1000, left_s / 3)
                await asyncio.sleep(retry_after_s + ROUND_TRIP_S)
                continue
            await self._work(gate, name, deadline)
            tally.served += clock() < deadline
            tally.in_time += clock() <= began + kind.objective_s
            tally.latencies_s.append(clock() - began)
            return

    async def _work(
        self,
        gate: ObjectiveGate,
        name: str,
        deadline: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        work_s = self._rng.gammavariate(4, self._kinds[name].work_s / 4)
        await asyncio.sleep(min(work_s, deadline - began))
        gate.release(name, loop.time() - began)
