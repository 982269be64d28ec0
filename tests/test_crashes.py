"""Requests that crash their targets."""

from tests import variants
from tests.cases import TraceTest


class CrashTest(TraceTest):
    """A poisonous request is refused everywhere after two crashes."""

    def test_refused_after_two(self) -> None:
        self.holds('poison')

    def test_notices_forgotten_crashes(self) -> None:
        self.notices('poison', variants.forgets_crashes)

    def test_notices_condemned_bystanders(self) -> None:
        self.notices('poison', variants.condemns_bystanders)
