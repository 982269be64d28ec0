"""Forwarding: the truth about each request."""

from tests import variants
from tests.cases import TraceTest


class OutcomeTest(TraceTest):
    """Every caller is told what became of its request."""

    def test_truth(self) -> None:
        self.holds('outcomes')

    def test_notices_repeats(self) -> None:
        self.notices('outcomes', variants.repeats_everything)

    def test_notices_lies(self) -> None:
        self.notices('outcomes', variants.tells_not_run_always)
