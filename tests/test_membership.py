"""Membership, proved by replayed traces."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from tests import variants
from tests.builders import run_virtual, small_fleet
from tests.cases import TraceTest


class MembershipTest(TraceTest):
    """Leaving, restarts in place, pauses, cuts and failures."""

    def test_leave_freeze_cut_fail(self) -> None:
        self.holds('membership')

    def test_notices_judging_other_domains(self) -> None:
        self.notices('membership', variants.judges_other_domains)

    def test_notices_old_generations(self) -> None:
        self.notices('membership', variants.forgets_generations)

    def test_notices_work_while_leaving(self) -> None:
        self.notices('membership', variants.keeps_working_while_leaving)


class ClockTest(TestCase):
    """A node whose clock went back starts with a lower generation."""

    def test_clock_set_back(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=92)
            old = fleet.instances['a-3:7000'].identity.generation
            instance = await fleet.kill('a-3:7000')
            fleet._generation = old - 500
            node = await fleet.restart(instance)
            await asyncio.sleep(10)
            self.assertThat(node.membership.me.generation, GreaterThan(old))
            answer = await fleet.call('b-0:7000', '/ledger/x')
            self.assertThat(answer.status, Equals(200))
            answer.close()

        run_virtual(case())
