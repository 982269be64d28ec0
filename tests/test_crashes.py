"""Queries of death: requests that crash their targets."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, HasLength

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
