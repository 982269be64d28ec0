"""Where requests go, in fleets whose loads an entry hardly knows."""

import asyncio
import random
import statistics

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from filbertdrift import dispatch
from standins.mesh_fleet import MeshFleet, TargetScript, config_document
from tests.builders import run_virtual

TARGETS = 16
SLOTS = 2
WORK_S = 0.2
LOAD = 0.8
CALLS = 600


async def _latencies(seed: int) -> list[float]:
    """Return how long writes took that entered at random nodes."""
    fleet = MeshFleet(seed)
    await fleet.publish(config_document(write={'target_latency_s': 0.9}))
    for _ in range(TARGETS):
        script = TargetScript(work_s=WORK_S, slots=SLOTS)
        await fleet.add('a', 'desk', script)
    await fleet.until_in_force(1, 5)
    await asyncio.sleep(3)
    loop = asyncio.get_running_loop()
    rng = random.Random(seed)
    nodes = list(fleet.places)
    found: list[float] = []

    async def call(node: str) -> None:
        began = loop.time()
        answer = await fleet.call(node, '/write/1')
        answer.close()
        found.append(loop.time() - began)

    calls = []
    for _ in range(CALLS):
        rate = LOAD * TARGETS * SLOTS / WORK_S
        await asyncio.sleep(rng.expovariate(rate))
        calls.append(loop.create_task(call(rng.choice(nodes))))
    await asyncio.gather(*calls)
    return found


class StaleLoadsTest(TestCase):
    """Pattern: many entries, each of which sends each target little."""

    def test_searching_for_a_free_slot_shortens_waits(self) -> None:
        for seed in (61, 62):
            searching = run_virtual(_latencies(seed))
            self.patch(dispatch, 'MAX_SEARCHES', 0)
            waiting = run_virtual(_latencies(seed))
            self.patch(dispatch, 'MAX_SEARCHES', 2)
            self.assertThat(
                statistics.mean(searching) - WORK_S,
                LessThan(statistics.mean(waiting) - WORK_S),
            )


class FullFleetTest(TestCase):
    """Pattern: no target has a free slot."""

    def test_requests_wait_after_the_search(self) -> None:
        run_virtual(self._full())

    async def _full(self) -> None:
        fleet = MeshFleet(63)
        await fleet.publish(config_document())
        scripts = [TargetScript(work_s=0.1, slots=1) for _ in range(3)]
        for script in scripts:
            await fleet.add('a', 'desk', script)
        await fleet.until_in_force(1, 5)
        await asyncio.sleep(3)
        answers = await asyncio.gather(
            *(fleet.call(f'a-{number % 3}:7000') for number in range(6)),
        )
        for answer in answers:
            answer.close()
        self.assertThat({answer.status for answer in answers}, Equals({200}))
        most = max(script.most_running for script in scripts)
        self.assertThat(most, Equals(1))
        searches = sum(
            place.node.dispatcher.counters.searches
            for place in fleet.places.values()
        )
        self.assertThat(searches, GreaterThan(0))
