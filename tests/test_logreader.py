"""Nodes whose log was away, or that are cut off, follow it again soon."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals

from tests.builders import Fleet, run_virtual, small_fleet


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
