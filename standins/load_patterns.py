"""Patterns of load on one gate, without a network, on virtual time."""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from filbertdrift.callerwait import CallerWaits
from filbertdrift.errors import RequestNotRun
from filbertdrift.objective_gate import Demand, ObjectiveGate
from standins.fleet import run_virtual

SLOTS = 12
RETRIES = 2
ROUND_TRIP_S = 0.012


@dataclass(frozen=True)
class Kind:
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
    'read': Kind(0.68, 2, 0.12, 0.4, 2.5),
    'write': Kind(0.32, 1, 0.16, 0.5, 3.0),
}


@dataclass
class Tally:
    """What became of the requests of one kind."""

    sent: int = 0
    in_time: int = 0
    served: int = 0

    @property
    def in_time_share(self) -> float:
        """Return the part that was answered within the objective."""
        return self.in_time / self.sent


def returning_callers(
    load: float,
    seed: int,
    waits: CallerWaits | None,
    kinds: Mapping[str, Kind] = READS_AND_WRITES,
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


class _Pattern:
    """One gate with its callers."""

    def __init__(
        self,
        rng: random.Random,
        waits: CallerWaits | None,
        kinds: Mapping[str, Kind],
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
        for _ in range(RETRIES + 1):
            left_s = deadline - clock()
            elapsed_s = 0.0
            if self._waits is not None:
                elapsed_s = self._waits.elapsed_s(name, left_s)
            objective_at = clock() + kind.objective_s - elapsed_s
            demand = Demand(kind.rank, name, objective_at, deadline)
            try:
                await gate.admit(demand)
            except RequestNotRun as exc:
                come_back_s = min(exc.come_back_ms / 1000, left_s / 3)
                await asyncio.sleep(come_back_s + ROUND_TRIP_S)
                continue
            await self._work(gate, name, deadline)
            tally.served += clock() < deadline
            tally.in_time += clock() <= began + kind.objective_s
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
