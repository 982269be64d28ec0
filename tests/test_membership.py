"""Membership, proved by replayed traces."""

from tests import variants
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
