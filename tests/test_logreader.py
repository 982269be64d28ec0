"""Nodes whose log was away, or that are cut off, follow it again soon."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from filbertdrift.node import Node
from tests.builders import Fleet, run_virtual, service_file, small_fleet

PER_DOMAIN = 8


class CutOffTest(TestCase):
    """A node that reaches the log has its configuration, whoever it hears."""

    # Guards against a node that waits for peers none of which reaches it.
    def test_node_cut_off_from_all_peers(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=91, per_domain=PER_DOMAIN)
            cut_off = _find_other(fleet, 'b')
            address = cut_off.identity.address
            others = [name for name in fleet.instances if name != address]
            fleet.simulator.cut([address], others)
            await _publish(fleet)
            took_s = await _wait_until(cut_off, 1)
            self.assertThat(took_s, LessThan(8))

        run_virtual(case())

    # Guards against a domain whose readers do not reach the log.
    def test_domain_whose_readers_are_cut_off_from_the_log(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=92, per_domain=PER_DOMAIN)
            other = _find_other(fleet, 'b')
            fleet.cut('b')
            for address in fleet.domain('b'):
                instance = fleet.instances[address]
                is_reader = instance.node.reader.is_reader()
                instance.log.is_partitioned = is_reader
            await _publish(fleet)
            took_s = await _wait_until(other, 1)
            self.assertThat(took_s, LessThan(20))

        run_virtual(case())


class OutageTest(TestCase):
    """Readers follow the log as soon as it is back."""

    # Guards against readers that wait long after the log came back.
    def test_log_comes_back(self) -> None:
        async def case() -> None:
            for outage_s in (5, 7, 9, 11):
                fleet = await small_fleet(seed=90 + outage_s)
                fleet.log.is_down = True
                await asyncio.sleep(outage_s)
                fleet.log.is_down = False
                reads = _list_reads(fleet)
                await asyncio.sleep(2)
                self.assertThat(_count_unread(fleet, reads), Equals(0))

        run_virtual(case())


def _find_other(fleet: Fleet, domain: str) -> Node:
    """Return a node of a domain that does not read the log."""
    nodes = [fleet.instances[name].node for name in fleet.domain(domain)]
    return next(node for node in nodes if not node.reader.is_reader())


def _list_reads(fleet: Fleet) -> dict[str, int]:
    """Return how often each reader of the log has read it."""
    return {
        address: instance.log.counters.reads
        for address, instance in fleet.instances.items()
        if instance.node.reader.is_reader()
    }


def _count_unread(fleet: Fleet, reads: dict[str, int]) -> int:
    """Return how many readers have not read the log since."""
    return sum(
        fleet.instances[address].log.counters.reads == count
        for address, count in reads.items()
    )


async def _publish(fleet: Fleet) -> None:
    result = await fleet.publish({'70-new.ini': service_file('new')})
    assert result.is_accepted, result


async def _wait_until(node: Node, offset: int, limit_s: float = 120) -> float:
    """Return how long it takes until a node has an offset in force."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while node.replica.state.offset < offset:
        if loop.time() > started_at + limit_s:
            break
        await asyncio.sleep(0.05)
    return loop.time() - started_at
