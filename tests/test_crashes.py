"""Queries of death: requests that crash their targets."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from standins.mesh_fleet import MeshFleet, config_document
from tests import variants
from tests.builders import run_virtual, small_fleet
from tests.cases import TraceTest


class CrashTest(TraceTest):
    """A query of death is refused on all nodes after two crashes."""

    def test_refused_after_two_crashes(self) -> None:
        self.holds('poison')

    def test_detects_unrecorded_crashes(self) -> None:
        self.notices('poison', variants.forgets_crashes)

    def test_detects_blocked_bystanders(self) -> None:
        self.notices('poison', variants.condemns_bystanders)


class CrashSyncTest(TestCase):
    """Lost crash notices are fetched after a heartbeat shows a difference."""

    def test_lost_notices_are_fetched(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=81)
            fleet.simulator.loss = 1.0
            for address in ('a-0:7000', 'b-0:7000'):
                fleet.instances[address].node.crashes.record_crash(['poison'])
            await asyncio.sleep(0.1)
            fleet.simulator.loss = 0
            await asyncio.sleep(8)
            for node in fleet.nodes:
                marked = node.crashes.marked()
                self.assertThat(marked, HasLength(1))
                self.assertTrue(marked[0].is_refused)
            await asyncio.sleep(700)
            for node in fleet.nodes:
                self.assertThat(node.crashes.digest(), Equals(0))

        run_virtual(case())


class RestartTest(TestCase):
    """Notices of a node that has started again."""

    # Peers took the first notices of a restarted node for those of its earlier
    # process, and sent it requests that had crashed its target.
    def test_notices_after_a_restart_are_new(self) -> None:
        run_virtual(self._restarted())

    async def _restarted(self) -> None:
        fleet = MeshFleet(seed=81)
        await fleet.publish(config_document())
        for domain in ('a', 'b', 'c'):
            await fleet.add(domain, 'desk')
        await fleet.wait_until_in_force(1, 5)
        await asyncio.sleep(3)
        for name in ('earlier', 'poison'):
            for address in list(fleet.instances):
                crashes = fleet.instances[address].node.crashes
                crashes.record_crash([name])
                await asyncio.sleep(1)
                await fleet.restart(await fleet.kill(address))
                await asyncio.sleep(5)
        for instance in fleet.instances.values():
            marked = instance.node.crashes.marked()
            counts = {each.name: each.crashes for each in marked}
            self.expectThat(counts, Equals({'earlier': 3, 'poison': 3}))
