"""Membership, tested by replaying traces."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from tests import variants
from tests.builders import run_virtual, small_fleet
from tests.cases import TraceTest


class MembershipTest(TraceTest):
    """Leaves, restarts, pauses, network partitions and failures."""

    def test_leaves_pauses_partitions_and_failures(self) -> None:
        self.holds('membership')

    def test_notices_declaring_other_domains_dead(self) -> None:
        self.notices('membership', variants.judges_other_domains)

    def test_notices_ignored_generations(self) -> None:
        self.notices('membership', variants.forgets_generations)

    def test_notices_work_while_leaving(self) -> None:
        self.notices('membership', variants.keeps_working_while_leaving)


class ClockTest(TestCase):
    """Restarts of a node whose clock was set back.

    Its generation, taken from the clock, starts lower than before. Refuting its
    old record must raise it above that, or peers ignore the node.
    """

    def test_clock_set_back(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=92)
            old = fleet.instances['a-3:7000'].identity.generation
            instance = await fleet.kill('a-3:7000')
            fleet._generation = old - 500
            node = await fleet.restart(instance)
            await asyncio.sleep(10)
            self.assertThat(
                node.membership.local_member.generation, GreaterThan(old)
            )
            response = await fleet.call('b-0:7000', '/ledger/x')
            self.assertThat(response.status, Equals(200))
            response.close()

        run_virtual(case())
