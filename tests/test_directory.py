"""Registration of nodes in the directory on the log."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals

from filbertdrift.directory import REJOIN_INTERVAL_S
from standins.mesh_fleet import DIRECTORY_STREAM, MeshFleet, config_document
from tests.builders import run_virtual


async def registered_nodes(fleet: MeshFleet) -> set[str]:
    """Return the nodes that have an entry in the directory."""
    page = await fleet.log.newest(DIRECTORY_STREAM)
    return {record.key for record in page.records}


class EntryTest(TestCase):
    """Lifetime of entries, and rejoining through the directory."""

    def test_absent_nodes_are_dropped(self) -> None:
        run_virtual(self._absent())

    async def _absent(self) -> None:
        fleet = MeshFleet(1)
        await fleet.publish(config_document())
        for domain in 'aaab':
            await fleet.add(domain, 'desk')
        await asyncio.sleep(3)
        await fleet.kill('a-1:7000')
        await asyncio.sleep(REJOIN_INTERVAL_S)
        self.assertThat(len(await registered_nodes(fleet)), Equals(4))
        await asyncio.sleep(REJOIN_INTERVAL_S * 5)
        self.assertThat(
            await registered_nodes(fleet), Equals(set(fleet.instances))
        )

    def test_partitioned_domain_stays_registered(self) -> None:
        run_virtual(self._partitioned())

    async def _partitioned(self) -> None:
        fleet = MeshFleet(2)
        await fleet.publish(config_document())
        for domain in 'aabb':
            await fleet.add(domain, 'desk')
        await asyncio.sleep(3)
        inside = ['a-0:7000', 'a-1:7000']
        fleet.simulator.cut(inside, ['b-0:7000', 'b-1:7000'])
        await asyncio.sleep(REJOIN_INTERVAL_S * 6)
        self.assertThat(len(await registered_nodes(fleet)), Equals(4))

    def test_separately_formed_clusters_merge(self) -> None:
        run_virtual(self._separate())

    async def _separate(self) -> None:
        fleet = MeshFleet(3)
        await fleet.publish(config_document())
        fleet.simulator.loss = 1.0
        await fleet.add('a', 'desk')
        fleet.simulator.cut(['a-0:7000'], ['b-0:7000'])
        await fleet.add('b', 'desk')
        await asyncio.sleep(5)
        fleet.simulator.heal()
        fleet.simulator.loss = 0.0
        await asyncio.sleep(REJOIN_INTERVAL_S * 2)
        node = fleet.instances['a-0:7000'].node
        self.assertThat(len(node.membership.table), Equals(2))
