"""Nodes must not act on an outdated configuration unnoticed."""

import asyncio
import random
from collections.abc import Callable

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from filbertdrift.errors import PeerUnavailable
from filbertdrift.keyedlog import KeyedRecord
from filbertdrift.platform.documents import CONFIG_KEY, OPERATOR_STREAM
from standins.mesh_fleet import MeshFleet, config_document
from tests.builders import run_virtual

# A change must be in force this long after it was acknowledged.
CONFIG_APPLY_S = 2.0
# One-way delay between two nodes, and one that no test waits for.
DELAY_S = 0.0005
NEVER_S = 600.0


async def settled_fleet(seed: int, domains: str) -> MeshFleet:
    """Return a fleet of nodes with the first configuration in force.

    Args:
        seed: Seed of all random choices.
        domains: The failure domain of each node, one letter per node.
    """
    fleet = MeshFleet(seed)
    await fleet.publish(config_document())
    for domain in domains:
        await fleet.add(domain, 'desk')
    await fleet.wait_until_in_force(1, 5)
    # Ends the long polls of nodes that knew no others when they started.
    await asyncio.sleep(20)
    return fleet


def address_of_no_reader(fleet: MeshFleet) -> str:
    """Return the address of a node that does not read the log."""
    return next(
        address
        for address, instance in fleet.instances.items()
        if not instance.node.watch.is_watcher()
    )


def delays_of(
    slow: str, there_s: float, back_s: float
) -> Callable[[str, str], float]:
    """Return one-way delays where the links of one node are slow."""

    def delay(sender: str, address: str) -> float:
        if address == slow:
            return there_s
        return back_s if sender == slow else DELAY_S

    return delay


async def _never_answer(peer: str, *_: object) -> object:
    """Fail as a call on a connection that has gone silent."""
    await asyncio.sleep(2.5)
    raise PeerUnavailable('silent', step='ask', peer=peer)


def turn_readers_away(fleet: MeshFleet) -> None:
    """Let the log refuse its usual readers; their pending reads get nothing."""
    for instance in fleet.instances.values():
        instance.log.is_partitioned = instance.node.watch.is_watcher()
        instance.log.silence()


async def publish_second(fleet: MeshFleet) -> float:
    """Publish version 2; return after how many seconds it is in force."""
    await asyncio.sleep(0.1)
    await fleet.publish(config_document(2))
    return await fleet.wait_until_in_force(2, 30)


def cut_from_peers(fleet: MeshFleet, address: str) -> None:
    """Cut a node from all others, but not from the log."""
    others = [other for other in fleet.instances if other != address]
    fleet.simulator.cut([address], others)


class IsolatedNodeTest(TestCase):
    """A node without peers still follows the log."""

    # DENIED: nodes cut from all others, and not from the store, refused
    # requests on routes that were added meanwhile.
    def test_node_cut_from_its_peers_follows_the_log(self) -> None:
        run_virtual(self._isolated())

    async def _isolated(self) -> None:
        fleet = await settled_fleet(51, 'aaaabbbb')
        cut_from_peers(fleet, address_of_no_reader(fleet))
        for version in (2, 3, 4):
            await asyncio.sleep(0.1)
            await fleet.publish(config_document(version))
            took_s = await fleet.wait_until_in_force(version, 30)
            self.assertThat(took_s, LessThan(CONFIG_APPLY_S))

    # DENIED: as above, where the node is heard but hears nobody.
    def test_node_that_hears_nobody_follows_the_log(self) -> None:
        run_virtual(self._deaf())

    async def _deaf(self) -> None:
        fleet = await settled_fleet(52, 'aaaabbbb')
        deaf = address_of_no_reader(fleet)
        fleet.simulator.delay_s = lambda sender, address: (
            NEVER_S if address == deaf else DELAY_S
        )
        took_s = await publish_second(fleet)
        self.assertThat(took_s, LessThan(CONFIG_APPLY_S))


class SilentReadersTest(TestCase):
    """The readers' connections to the log go silent."""

    # DENIED: all nodes were as old as readers that waited on silent
    # connections to the store, for up to 17 s.
    def test_silent_reads_do_not_hold_up_changes(self) -> None:
        run_virtual(self._silent_reads())

    async def _silent_reads(self) -> None:
        for seed in (53, 54, 55):
            fleet = await settled_fleet(seed, 'aaaabbbbcccc')
            for instance in fleet.instances.values():
                instance.log.silence()
            took_s = await publish_second(fleet)
            self.assertThat(took_s, LessThan(CONFIG_APPLY_S))

    # DENIED: the readers were turned away by the store, which served others.
    def test_readers_that_are_turned_away_are_replaced(self) -> None:
        run_virtual(self._turned_away())

    async def _turned_away(self) -> None:
        fleet = await settled_fleet(56, 'aaaabbbb')
        turn_readers_away(fleet)
        took_s = await publish_second(fleet)
        self.assertThat(took_s, LessThan(CONFIG_APPLY_S))
        self.assertThat(set(fleet.versions().values()), Equals({2}))


class CalmFleetTest(TestCase):
    """Nodes other than the watchers leave the log alone."""

    # Evidence looked old whenever a poll had waited for a change, so all nodes
    # read the log, and its documents filled their links.
    def test_changes_cause_no_takeovers(self) -> None:
        run_virtual(self._changes())

    async def _changes(self) -> None:
        fleet = await settled_fleet(62, 'aaaaaabbbbbbcccccc')
        nodes = [instance.node for instance in fleet.instances.values()]
        before = sum(node.watch.counters.takeovers for node in nodes)
        oldest_s = 0.0
        for version in range(2, 14):
            await fleet.publish(config_document(version))
            for _ in range(17):
                await asyncio.sleep(0.1)
                ages = (node.freshness.age_s() for node in nodes)
                oldest_s = max(oldest_s, *ages)
        takeovers = sum(node.watch.counters.takeovers for node in nodes)
        self.assertThat(takeovers - before, Equals(0))
        self.assertThat(oldest_s, LessThan(CONFIG_APPLY_S))

    # Each node that took over went on for seconds, beside all others.
    def test_one_node_of_a_domain_takes_over(self) -> None:
        run_virtual(self._one_takes_over())

    async def _one_takes_over(self) -> None:
        fleet = await settled_fleet(63, 'aaaaaaaabbbbbbbb')
        turn_readers_away(fleet)
        await asyncio.sleep(10)
        readers = [
            address
            for address, instance in fleet.instances.items()
            if instance.node.watch.is_reader
            and not instance.node.watch.is_watcher()
        ]
        self.assertThat(len(readers), LessThan(3))


class SlowLinkTest(TestCase):
    """One node is behind a link with a lasting delay."""

    # DENIED: evidence that went round over a slow link never aged, so nobody
    # read the log when the usual readers were turned away.
    def test_evidence_that_goes_round_ages(self) -> None:
        run_virtual(self._goes_round())

    async def _goes_round(self) -> None:
        for there_s, back_s in ((0.27, 0.27), (0.55, DELAY_S), (0.12, 0.12)):
            fleet = await settled_fleet(71, 'aaaabbbb')
            slow = address_of_no_reader(fleet)
            fleet.simulator.delay_s = delays_of(slow, there_s, back_s)
            await asyncio.sleep(30)
            turn_readers_away(fleet)
            took_s = await publish_second(fleet)
            self.assertThat(took_s, LessThan(CONFIG_APPLY_S + there_s + back_s))
            for instance in fleet.instances.values():
                instance.log.is_partitioned = True
            await asyncio.sleep(10)
            for instance in fleet.instances.values():
                self.assertThat(instance.node.freshness.age_s(), GreaterThan(6))

    # DENIED: a node that heard of a version, and could not fetch it from its
    # peers, never read the log.
    def test_node_that_cannot_fetch_reads_the_log(self) -> None:
        run_virtual(self._cannot_fetch())

    async def _cannot_fetch(self) -> None:
        fleet = await settled_fleet(97, 'aaaabbbbccccdddd')
        node = fleet.instances[address_of_no_reader(fleet)].node
        node.links.ask = _never_answer  # type: ignore[method-assign]
        rng = random.Random(1)
        routes = {
            # Too large a change for a datagram.
            f'extra{number}': {'path_prefix': f'/{rng.getrandbits(200):x}/'}
            for number in range(300)
        }
        await fleet.publish(config_document(2, **routes))
        took_s = await fleet.wait_until_in_force(2, 30)
        self.assertThat(took_s, LessThan(CONFIG_APPLY_S))


class RefusedDocumentTest(TestCase):
    """The newest document in the log is refused."""

    # DENIED: a refused document confirmed the version before it.
    def test_refused_document_is_no_evidence(self) -> None:
        run_virtual(self._refused())

    async def _refused(self) -> None:
        fleet = await settled_fleet(77, 'aabb')
        broken = KeyedRecord(CONFIG_KEY, b'{"version": "r2"')
        await fleet.log.append(OPERATOR_STREAM, broken)
        await asyncio.sleep(5)
        nodes = [instance.node for instance in fleet.instances.values()]
        self.assertThat(
            {node.may_be_outdated for node in nodes}, Equals({True})
        )
        await fleet.publish(config_document(3))
        await fleet.wait_until_in_force(3, 3)
        await asyncio.sleep(3)
        self.assertThat(
            {node.may_be_outdated for node in nodes}, Equals({False})
        )


class StoreDrillTest(TestCase):
    """The log comes back from a copy that lacks its newest records."""

    # DENIED: offsets that the readers had read were given out again, and they
    # waited for records behind the newest configuration.
    def test_offsets_that_are_given_out_again(self) -> None:
        run_virtual(self._given_out_again())

    async def _given_out_again(self) -> None:
        fleet = await settled_fleet(57, 'aaaabbbb')
        copy = fleet.log.snapshot()
        for version in (2, 3, 4):
            await fleet.publish(config_document(version))
            await asyncio.sleep(0.5)
        _, end = fleet.log.bounds(OPERATOR_STREAM)
        await fleet.drill(copy, 0.5)
        # The drill has written the newest version again.
        for version in (5, 6):
            await fleet.publish(config_document(version))
        self.assertThat(fleet.log.bounds(OPERATOR_STREAM)[1], Equals(end))
        took_s = await fleet.wait_until_in_force(6, 30)
        self.assertThat(took_s, LessThan(CONFIG_APPLY_S))

    def test_versions_never_decrease_in_a_drill(self) -> None:
        run_virtual(self._never_back())

    async def _never_back(self) -> None:
        for seed in (58, 59):
            fleet = await settled_fleet(seed, 'aaabbb')
            copy = fleet.log.snapshot()
            await fleet.publish(config_document(7))
            await fleet.wait_until_in_force(7, 5)
            fleet.log.restore(copy)
            await asyncio.sleep(3)
            self.assertThat(set(fleet.versions().values()), Equals({7}))
            await fleet.publish(config_document(9))
            took_s = await fleet.wait_until_in_force(9, 30)
            self.assertThat(took_s, LessThan(CONFIG_APPLY_S))

    # DENIED: the log had lost a version that no node had read yet, and
    # confirmed the one before it until the operator wrote it again.
    def test_lost_version_is_not_denied(self) -> None:
        run_virtual(self._lost_version())

    async def _lost_version(self) -> None:
        fleet = await settled_fleet(61, 'aaaabbbb')
        fleet.log.restore(fleet.log.snapshot())
        await asyncio.sleep(1.5)
        nodes = [instance.node for instance in fleet.instances.values()]
        self.assertThat(
            {node.may_be_outdated for node in nodes}, Equals({True})
        )
        await fleet.publish(config_document(2))
        await fleet.wait_until_in_force(2, 2)
        await asyncio.sleep(5)
        self.assertThat(
            {node.may_be_outdated for node in nodes}, Equals({False})
        )

    # DENIED: a node that starts after the store lost the directory's newest
    # entries must find the others, and the configuration.
    def test_node_that_starts_after_a_drill(self) -> None:
        run_virtual(self._start_after())

    async def _start_after(self) -> None:
        fleet = MeshFleet(60)
        await fleet.publish(config_document())
        copy = fleet.log.snapshot()
        for domain in 'aabb':
            await fleet.add(domain, 'desk')
        await fleet.wait_until_in_force(1, 5)
        await asyncio.sleep(5)
        await fleet.drill(copy, 0.5)
        await asyncio.sleep(4)
        await fleet.add('a', 'desk')
        await fleet.wait_until_in_force(1, 5)
        await asyncio.sleep(1)
        for instance in fleet.instances.values():
            self.assertThat(len(instance.node.membership.table), Equals(5))
