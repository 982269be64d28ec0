"""A load pattern on virtual time: callers leave while messages are late.

Nodes are suspended for 1 to 3 s, and narrow links are full while the
connections on them are new.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from filbertdrift.errors import RequestNotRun, RequestUnknown
from standins.fleet import run_virtual
from standins.load_patterns import Tally
from standins.mesh_fleet import MeshFleet, config_document
from standins.scripted_target import TargetScript

DOMAINS = 'aabbcc'
LINK_BYTES_PER_S = 750_000
CALLS_PER_S = 60
WORK_S = 0.2
SLOTS = 8
STAY_S = (0.05, 0.6)
# How long after its caller has left a request may reach a target.
LEAVE_S = 0.5
SUSPENDED_S = (1.0, 3.0)
LINK_WAIT_S = (0.3, 1.5)
FULL_S = 1.5
FILL_INTERVAL_S = 0.02
PAUSE_S = 0.5
DURATION_S = 30.0
RECOVERY_S = 5.0


class TimedRuns(Counter[str]):
    """Counts the executions of requests, and notes when they began."""

    def __init__(self) -> None:
        super().__init__()
        self.times: dict[str, float] = {}

    def __setitem__(self, request_id: str, count: int) -> None:
        """Count an execution."""
        super().__setitem__(request_id, count)
        self.times[request_id] = asyncio.get_running_loop().time()


@dataclass
class _LeavingCallers:
    """The fleet and its callers.

    Args:
        load: Offered load, as a multiple of CALLS_PER_S.
        rng: Source of all chances.
        runs: What the targets ran.
        left_at: When the caller of each request left.
    """

    load: float
    rng: random.Random
    runs: TimedRuns = field(default_factory=TimedRuns)
    left_at: dict[str, float] = field(default_factory=dict)

    async def play(self, seed: int) -> Tally:
        """Play the pattern and return how much reached targets too late."""
        fleet = await self._start(seed)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + DURATION_S
        faults = asyncio.ensure_future(self._inject(fleet))
        tasks = []
        while loop.time() < ends_at:
            tasks.append(asyncio.ensure_future(self._call(fleet)))
            pause_s = self.rng.expovariate(CALLS_PER_S * self.load)
            await asyncio.sleep(pause_s)
        faults.cancel()
        await asyncio.gather(*tasks)
        await asyncio.sleep(RECOVERY_S)
        return self._tally()

    async def _start(self, seed: int) -> MeshFleet:
        fleet = MeshFleet(seed)
        fleet.link_mbps = LINK_BYTES_PER_S * 8 / 1e6
        await fleet.publish(config_document())
        for domain in DOMAINS:
            script = TargetScript(work_s=WORK_S, slots=SLOTS, runs=self.runs)
            await fleet.add(domain, 'desk', script)
        await fleet.wait_until_in_force(1, 5)
        for address in fleet.instances:
            fleet.simulator.bytes_per_s[address] = LINK_BYTES_PER_S
        await asyncio.sleep(3)
        return fleet

    async def _call(self, fleet: MeshFleet) -> None:
        node = self.rng.choice(list(fleet.instances))
        stay_s = self.rng.uniform(*STAY_S)
        # The fleet numbers its requests as they are sent.
        call = asyncio.ensure_future(fleet.call(node))
        await asyncio.sleep(0)
        request_id = f'request-{fleet.calls}'
        done, _ = await asyncio.wait((call,), timeout=stay_s)
        if not done:
            self.left_at[request_id] = asyncio.get_running_loop().time()
            call.cancel()
        try:
            response = await call
        except (RequestNotRun, RequestUnknown, asyncio.CancelledError):
            return
        response.close()

    async def _inject(self, fleet: MeshFleet) -> None:
        while True:
            address = self.rng.choice(list(fleet.instances))
            await self.rng.choice((self._suspend, self._fill))(fleet, address)
            await asyncio.sleep(PAUSE_S)

    async def _suspend(self, fleet: MeshFleet, address: str) -> None:
        fleet.simulator.freeze(address)
        await asyncio.sleep(self.rng.uniform(*SUSPENDED_S))
        fleet.simulator.thaw(address)

    async def _fill(self, fleet: MeshFleet, address: str) -> None:
        """Reset the connections to a node and fill its link."""
        for instance in fleet.instances.values():
            link = instance.node.links.ready(address)
            if link is not None:
                link.close('reset')
        wait_s = self.rng.uniform(*LINK_WAIT_S)
        for _ in range(int(FULL_S / FILL_INTERVAL_S)):
            missing_s = wait_s - fleet.simulator.link_wait_s(address)
            size_bytes = int(max(missing_s, 0) * LINK_BYTES_PER_S)
            fleet.simulator.occupy_link(address, size_bytes)
            await asyncio.sleep(FILL_INTERVAL_S)

    def _tally(self) -> Tally:
        tally = Tally()
        for request_id, left_at in self.left_at.items():
            late_s = self.runs.times.get(request_id, left_at) - left_at
            tally.sent += 1
            tally.served += late_s <= LEAVE_S
            tally.in_time += late_s <= LEAVE_S
            tally.latencies_s.append(max(late_s, 0))
        return tally


def leaving_callers(load: float, seed: int) -> Tally:
    """Simulate callers that leave while messages between nodes are late.

    Args:
        load: Offered load, as a multiple of CALLS_PER_S.
        seed: Seed of all random numbers.

    Returns:
        Of the callers that left: in time are those for which nothing reached
        a target later than LEAVE_S after that; the latencies are how long
        after it their work began.
    """
    pattern = _LeavingCallers(load, random.Random(seed))
    return run_virtual(pattern.play(seed))  # type: ignore[no-any-return]
