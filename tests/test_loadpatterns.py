"""Patterns of load that a gate or a fleet has to withstand, without network.

Each test names its pattern. The bounds are what the pattern's callers need, not
what was measured.
"""

import asyncio

from testtools import TestCase
from testtools.matchers import GreaterThan

from filbertdrift.callerwait import CallerWaitEstimator
from filbertdrift.errors import RequestNotRun, RequestUnknown
from standins.load_patterns import (
    READS_AND_WRITES,
    SHORT_OBJECTIVES,
    RequestKind,
    Tally,
    returning_callers,
)
from standins.mesh_fleet import MeshFleet, config_document
from standins.scripted_target import TargetScript
from tests.builders import run_virtual

SEEDS = range(4)


def play(load: float, kinds: dict[str, RequestKind], name: str) -> Tally:
    """Return the outcomes of one kind over some seeds."""
    total = Tally()
    for seed in SEEDS:
        tally = returning_callers(load, seed, CallerWaitEstimator(), kinds)[
            name
        ]
        total.sent += tally.sent
        total.in_time += tally.in_time
        total.served += tally.served
    return total


class ShortObjectiveTest(TestCase):
    """Pattern: steady overload, with objectives of a few service times.

    A queue at its limit makes each request start at the last moment, and half
    of them end late, although the target could serve as many in time.
    """

    def test_served_requests_are_in_time(self) -> None:
        for load in (1.1, 1.3, 1.6):
            tally = play(load, SHORT_OBJECTIVES, 'read')
            # Nine in ten of what is served, and the target stays busy.
            self.expectThat(
                tally.in_time / tally.served, GreaterThan(0.9), str(load)
            )
            self.expectThat(
                tally.served / tally.sent, GreaterThan(0.95 / load), str(load)
            )

    def test_little_is_refused_below_capacity(self) -> None:
        tally = play(0.8, SHORT_OBJECTIVES, 'read')
        self.expectThat(tally.served / tally.sent, GreaterThan(0.99))
        self.expectThat(tally.in_time_share, GreaterThan(0.97))

    def test_urgent_requests_are_in_time(self) -> None:
        tally = play(1.3, READS_AND_WRITES, 'write')
        self.assertThat(tally.in_time_share, GreaterThan(0.99))


class SlowDomainTest(TestCase):
    """Pattern: the targets of one domain turn slow without being loaded.

    Callers in the domain stayed with them, since only load made a request leave
    its domain.
    """

    objective_s = 0.3

    def test_callers_leave_and_return(self) -> None:
        run_virtual(self._slow_domain())

    async def _slow_domain(self) -> None:
        fleet = MeshFleet(seed=12)
        await fleet.publish(config_document())
        scripts = [TargetScript(work_s=0.05) for _ in range(6)]
        for domain, script in zip('aabbcc', scripts, strict=True):
            await fleet.add(domain, 'desk', script)
        await fleet.wait_until_in_force(1, 5)
        await asyncio.sleep(3)
        await self._call(fleet, 200)
        for script in scripts[:2]:
            script.work_s = 0.6
        await self._call(fleet, 100)
        in_time = await self._call(fleet, 400)
        self.expectThat(in_time, GreaterThan(0.9 * 400))
        for script in scripts[:2]:
            script.work_s = 0.05
        await self._call(fleet, 800)
        before = sum(sum(script.runs.values()) for script in scripts[:2])
        await self._call(fleet, 200)
        after = sum(sum(script.runs.values()) for script in scripts[:2])
        self.assertThat(after - before, GreaterThan(0.9 * 200))

    async def _call(self, fleet: MeshFleet, count: int) -> int:
        """Call from one domain, 50 times a second; return how many in time."""
        loop = asyncio.get_running_loop()

        async def call(number: int) -> bool:
            await asyncio.sleep(number * 0.02)
            started_at = loop.time()
            try:
                response = await fleet.call(f'a-{number % 2}:7000', '/read/1')
            except (RequestNotRun, RequestUnknown):
                return False
            response.close()
            return loop.time() - started_at <= self.objective_s

        return sum(await asyncio.gather(*map(call, range(count))))
