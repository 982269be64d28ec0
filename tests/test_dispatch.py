"""Target selection and the search for free slots, with stale loads."""

import asyncio
import statistics

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from filbertdrift import dispatch
from standins.load_patterns import stale_loads
from standins.mesh_fleet import MeshFleet, config_document
from standins.scripted_target import TargetScript
from tests.builders import run_virtual


class StaleLoadsTest(TestCase):
    """Many ingress nodes, each of which sends few requests to each target."""

    def test_searching_for_a_free_slot_shortens_waits(self) -> None:
        for seed in (61, 62):
            searching = stale_loads(0.8, seed)
            self.patch(dispatch, 'MAX_SEARCHES', 0)
            waiting = stale_loads(0.8, seed)
            self.patch(dispatch, 'MAX_SEARCHES', 2)
            self.assertThat(
                statistics.mean(searching.latencies_s),
                LessThan(statistics.mean(waiting.latencies_s)),
            )


class FullFleetTest(TestCase):
    """No target has a free slot."""

    def test_requests_queue_after_the_search(self) -> None:
        run_virtual(self._full())

    async def _full(self) -> None:
        fleet = MeshFleet(63)
        await fleet.publish(config_document())
        scripts = [TargetScript(work_s=0.1, slots=1) for _ in range(3)]
        for script in scripts:
            await fleet.add('a', 'desk', script)
        await fleet.wait_until_in_force(1, 5)
        await asyncio.sleep(3)
        answers = await asyncio.gather(
            *(fleet.call(f'a-{number % 3}:7000') for number in range(6)),
        )
        for answer in answers:
            answer.close()
        self.assertThat({answer.status for answer in answers}, Equals({200}))
        most = max(script.max_running for script in scripts)
        self.assertThat(most, Equals(1))
        searches = sum(
            instance.node.dispatcher.counters.searches
            for instance in fleet.instances.values()
        )
        self.assertThat(searches, GreaterThan(0))


class SearchInFullFleetTest(TestCase):
    """The fleet stays full for a long time."""

    def test_few_requests_search_then(self) -> None:
        limited = self._busy_gates(dispatch.BUSY_SHARE_LIMIT)
        unlimited = self._busy_gates(limit=1.0)
        self.assertThat(limited, LessThan(unlimited))

    def _busy_gates(self, limit: float) -> int:
        """Return how many attempts found a busy gate."""
        self.patch(dispatch, 'BUSY_SHARE_LIMIT', limit)
        busy: list[str] = []
        original = dispatch.Dispatcher._record_search

        def record(
            dispatcher: dispatch.Dispatcher,
            service: str,
            *,
            is_busy: bool,
        ) -> None:
            if is_busy:
                busy.append(service)
            original(dispatcher, service, is_busy=is_busy)

        self.patch(dispatch.Dispatcher, '_record_search', record)
        stale_loads(1.2, seed=64, calls=1200)
        self.patch(dispatch.Dispatcher, '_record_search', original)
        return len(busy)


class BusyDomainTest(TestCase):
    """The nearby target is briefly busy while one in another domain is free."""

    def test_queues_nearby(self) -> None:
        run_virtual(self._busy())

    async def _busy(self) -> None:
        fleet = MeshFleet(65)
        await fleet.publish(config_document())
        await fleet.add('a', 'other')
        near, far = TargetScript(slots=1), TargetScript(slots=1)
        await fleet.add('a', 'desk', near)
        await fleet.add('b', 'desk', far)
        await fleet.wait_until_in_force(1, 5)
        await asyncio.sleep(3)
        for _ in range(8):
            # The recorded loads have decayed, so the nearby gate is chosen.
            await asyncio.sleep(4)
            answers = await asyncio.gather(
                fleet.call('a-1:7000', '/write/1'),
                fleet.call('a-0:7000', '/write/1'),
            )
            for answer in answers:
                answer.close()
        self.assertThat(far.arrivals, Equals(0))
