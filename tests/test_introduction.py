"""Bootstrap of nodes whose seeds are down, missing or shared."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from tests.builders import Fleet, run_virtual, service_files


class IntroductionTest(TestCase):
    """Nodes that start separately form one fleet."""

    def test_seed_that_starts_later(self) -> None:
        async def case() -> None:
            fleet = Fleet(seed=71)
            fleet.log.is_down = True
            fleet.fixed_seeds = [fleet.address('a', 0)]
            await fleet.add('b', 'desk', 2)
            await asyncio.sleep(5)
            await fleet.add('a', 'desk')
            await asyncio.sleep(20)
            self.assert_one_fleet(fleet)

        run_virtual(case())

    def test_seeds_published_on_the_log(self) -> None:
        async def case() -> None:
            fleet = Fleet(seed=72)
            fleet.fixed_seeds = []
            for domain in ('a', 'b', 'c'):
                await fleet.add(domain, 'desk', 3)
            await asyncio.sleep(60)
            self.assert_one_fleet(fleet)
            reads = fleet.log.counters.reads
            await asyncio.sleep(60)
            per_s = (fleet.log.counters.reads - reads) / 60
            self.assertThat(per_s, LessThan(4))

        run_virtual(case())

    def test_many_new_nodes_on_the_same_seeds(self) -> None:
        async def case() -> None:
            fleet = Fleet(seed=73)
            domains = ('a', 'b', 'c')
            fleet.fixed_seeds = [fleet.address(name, 0) for name in domains]
            for domain in domains:
                await fleet.add(domain, 'desk')
            await asyncio.sleep(5)
            await fleet.publish(service_files('desk'))
            await asyncio.sleep(3)
            reads = fleet.log.counters.reads
            for domain in domains:
                await fleet.add(domain, 'desk', 30)
            await fleet.wait_until_in_force(0, 10)
            self.assertThat(fleet.log.counters.reads - reads, LessThan(60))
            await asyncio.sleep(10)
            self.assert_one_fleet(fleet)

        run_virtual(case())

    def assert_one_fleet(self, fleet: Fleet) -> None:
        """Assert that every node has every other one in its table."""
        for node in fleet.nodes:
            known = len(node.membership.table)
            self.assertThat(known, Equals(len(fleet.nodes)))
