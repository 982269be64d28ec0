"""The directory of nodes on the log."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals

from filbertdrift.directory import LOOK_AGAIN_S
from standins.mesh_fleet import DIRECTORY_STREAM, MeshFleet, config_document
from tests.builders import run_virtual


async def entered(fleet: MeshFleet) -> set[str]:
    """Return the nodes that the directory names."""
    page = await fleet.log.newest(DIRECTORY_STREAM)
    return {record.key for record in page.records}


class EntryTest(TestCase):
    """Who is entered, and for how long."""

    def test_nodes_that_are_gone_are_dropped(self) -> None:
        run_virtual(self._gone())

    async def _gone(self) -> None:
        fleet = MeshFleet(1)
        await fleet.publish(config_document())
        for domain in 'aaab':
            await fleet.add(domain, 'desk')
        await asyncio.sleep(3)
        await fleet.kill('a-1:7000')
        await asyncio.sleep(LOOK_AGAIN_S)
        self.assertThat(len(await entered(fleet)), Equals(4))
        await asyncio.sleep(LOOK_AGAIN_S * 5)
        self.assertThat(await entered(fleet), Equals(set(fleet.instances)))

    def test_a_cut_domain_stays_entered(self) -> None:
        run_virtual(self._cut())

    async def _cut(self) -> None:
        fleet = MeshFleet(2)
        await fleet.publish(config_document())
        for domain in 'aabb':
            await fleet.add(domain, 'desk')
        await asyncio.sleep(3)
        inside = ['a-0:7000', 'a-1:7000']
        fleet.fabric.cut(inside, ['b-0:7000', 'b-1:7000'])
        await asyncio.sleep(LOOK_AGAIN_S * 6)
        self.assertThat(len(await entered(fleet)), Equals(4))

    def test_halves_that_formed_apart_meet(self) -> None:
        run_virtual(self._halves())

    async def _halves(self) -> None:
        fleet = MeshFleet(3)
        await fleet.publish(config_document())
        fleet.fabric.loss = 1.0
        await fleet.add('a', 'desk')
        fleet.fabric.cut(['a-0:7000'], ['b-0:7000'])
        await fleet.add('b', 'desk')
        await asyncio.sleep(5)
        fleet.fabric.heal()
        fleet.fabric.loss = 0.0
        await asyncio.sleep(LOOK_AGAIN_S * 2)
        node = fleet.instances['a-0:7000'].node
        self.assertThat(len(node.membership.table), Equals(2))
