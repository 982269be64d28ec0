"""A target that starts anew at the same address."""

import asyncio
from collections import Counter

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from standins.mesh_fleet import MeshFleet, MeshInstance, config_document
from tests.builders import call_status, run_virtual

INGRESS = 'a-0:7000'
# The new record of the node reaches the others within this time.
TOLD_S = 0.5
CALLS = 40


class NewIncarnationTest(TestCase):
    """Another instance refuses requests until its node knows its id."""

    # Nodes that were answered 421 left the target out for up to 30 s, though
    # its node knew of the new instance.
    def test_nodes_that_were_refused_use_it_at_once(self) -> None:
        run_virtual(self._renewed())

    async def _renewed(self) -> None:
        fleet = MeshFleet(seed=85)
        await fleet.publish(config_document())
        await fleet.add('a', 'other')
        replaced = await fleet.add('a', 'desk')
        await fleet.add('a', 'desk')
        await fleet.wait_until_in_force(1, 5)
        await asyncio.sleep(3)
        await self._call(fleet)
        replaced.script.is_other_instance = True
        for _ in range(20):
            await self._call(fleet, 10)
            await asyncio.sleep(1)
        self._start_anew(fleet, replaced)
        await asyncio.sleep(TOLD_S)
        before = replaced.script.runs.total()
        statuses = await self._call(fleet)
        self.assertThat(statuses, Equals(Counter({200: CALLS})))
        runs = replaced.script.runs.total() - before
        self.assertThat(runs, GreaterThan(0))

    def _start_anew(self, fleet: MeshFleet, replaced: MeshInstance) -> None:
        replaced.script.is_other_instance = False
        replaced.instance = 'i-new'
        replaced.sequence = 0
        replaced.born_ms += 1
        fleet.send_heartbeat(replaced)

    async def _call(self, fleet: MeshFleet, count: int = CALLS) -> Counter[int]:
        return Counter(
            [await call_status(fleet, INGRESS) for _ in range(count)]
        )
