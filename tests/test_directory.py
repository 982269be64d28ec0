"""Registration of nodes in the directory on the log."""

import asyncio
from dataclasses import replace

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from filbertdrift.directory import REJOIN_INTERVAL_S
from filbertdrift.keyedlog import KeyedPage, KeyedRecord, MemoryKeyedLog
from standins.mesh_fleet import DIRECTORY_STREAM, MeshFleet, config_document
from tests.builders import run_virtual


async def registered_nodes(fleet: MeshFleet) -> set[str]:
    """Return the nodes that have an entry in the directory."""
    page = await fleet.log.newest(DIRECTORY_STREAM)
    return {record.key for record in page.records}


async def drilled_fleet(seed: int, count: int = 4) -> MeshFleet:
    """Return a fleet whose log came back from a copy without its nodes."""
    fleet = MeshFleet(seed)
    await fleet.publish(config_document())
    copy = fleet.log.snapshot()
    for number in range(count):
        await fleet.add('ab'[number % 2], 'desk')
    await asyncio.sleep(3)
    await fleet.drill(copy, 1)
    return fleet


class HidingLog(MemoryKeyedLog):
    """A log that acknowledges entries of the directory and never shows them."""

    async def newest(self, stream: str) -> KeyedPage:
        """Return the newest record of each key, none of the directory."""
        page = await super().newest(stream)
        if stream == DIRECTORY_STREAM:
            return replace(page, records=())
        return page


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


class DrillTest(TestCase):
    """Entries after the log came back from an older copy."""

    # Nodes believed that entries they had once written still stood.
    def test_later_nodes_find_the_others(self) -> None:
        run_virtual(self._later())

    async def _later(self) -> None:
        fleet = await drilled_fleet(4)
        await asyncio.sleep(REJOIN_INTERVAL_S * 1.5)
        self.assertThat(
            await registered_nodes(fleet), Equals(set(fleet.instances))
        )
        later = await fleet.add('a', 'desk')
        await asyncio.sleep(5)
        self.assertThat(len(later.node.membership.table), Equals(5))

    # A node that is told of a newer era waited for its next periodic read.
    def test_told_of_a_newer_era(self) -> None:
        run_virtual(self._told())

    async def _told(self) -> None:
        fleet = await drilled_fleet(5, count=8)
        for instance in fleet.instances.values():
            instance.node.directory.on_era(fleet.log.era)
        await asyncio.sleep(0.3)
        # Writes are limited, so the nodes do not all write at once.
        self.assertThat(len(await registered_nodes(fleet)), LessThan(7))
        await asyncio.sleep(1)
        self.assertThat(
            await registered_nodes(fleet), Equals(set(fleet.instances))
        )

    # The first drill of a store that states era zero was no change of era.
    def test_told_of_the_first_era(self) -> None:
        run_virtual(self._first_era())

    async def _first_era(self) -> None:
        fleet = MeshFleet(9)
        fleet.log.era = 0
        copy = fleet.log.snapshot()
        for domain in 'aabb':
            await fleet.add(domain, 'desk')
        await asyncio.sleep(5)
        fleet.log.restore(copy)
        for instance in fleet.instances.values():
            instance.node.directory.on_era(fleet.log.era)
        await asyncio.sleep(1.5)
        self.assertThat(
            await registered_nodes(fleet), Equals(set(fleet.instances))
        )

    def test_told_of_the_same_era(self) -> None:
        run_virtual(self._same())

    async def _same(self) -> None:
        fleet = await drilled_fleet(6, count=2)
        await asyncio.sleep(REJOIN_INTERVAL_S * 1.5)
        appended = fleet.log.bounds(DIRECTORY_STREAM)
        for instance in fleet.instances.values():
            for era in (0, 1, fleet.log.era):
                instance.node.directory.on_era(era)
        await asyncio.sleep(REJOIN_INTERVAL_S * 2)
        self.assertThat(fleet.log.bounds(DIRECTORY_STREAM), Equals(appended))

    # An entry lost before the first read, which states the era, stayed lost.
    def test_lost_before_the_first_read(self) -> None:
        run_virtual(self._first_read())

    async def _first_read(self) -> None:
        fleet = MeshFleet(7)
        await fleet.publish(config_document())
        copy = fleet.log.snapshot()
        await fleet.add('a', 'desk')
        while fleet.log.bounds(DIRECTORY_STREAM) == (0, 0):
            await asyncio.sleep(0)
        fleet.log.restore(copy)
        await asyncio.sleep(2)
        self.assertThat(
            await registered_nodes(fleet), Equals(set(fleet.instances))
        )

    # An entry that another node dropped late was missing for good.
    def test_missing_entry_is_written_again(self) -> None:
        run_virtual(self._missing())

    async def _missing(self) -> None:
        fleet = MeshFleet(8)
        await fleet.publish(config_document())
        for domain in 'ab':
            await fleet.add(domain, 'desk')
        await asyncio.sleep(3)
        await fleet.log.append(DIRECTORY_STREAM, KeyedRecord('a-0:7000', b''))
        await asyncio.sleep(REJOIN_INTERVAL_S * 1.5)
        self.assertThat(
            await registered_nodes(fleet), Equals(set(fleet.instances))
        )

    # Guards against a node that writes an entry without end.
    def test_entry_that_never_shows(self) -> None:
        run_virtual(self._never_shown())

    async def _never_shown(self) -> None:
        fleet = MeshFleet(9)
        fleet.log = HidingLog()
        await fleet.publish(config_document())
        await fleet.add('a', 'desk')
        await asyncio.sleep(REJOIN_INTERVAL_S * 10)
        _, appended = fleet.log.bounds(DIRECTORY_STREAM)
        self.assertThat(appended, LessThan(25))

    # A page read just before the log came back confirmed the lost entry.
    def test_page_of_the_era_before(self) -> None:
        run_virtual(self._outdated_page())

    async def _outdated_page(self) -> None:
        fleet = MeshFleet(10)
        await fleet.publish(config_document())
        directory = (await fleet.add('a', 'desk')).node.directory
        await asyncio.sleep(3)
        directory.on_era(2)
        await directory.register()
        await directory.join()
        self.assertThat(directory.is_registered, Equals(False))
