"""Forwarding: each caller gets the true outcome of its request."""

from tests import variants
from tests.cases import TraceTest


class OutcomeTest(TraceTest):
    """Callers get the outcome that the targets' executions confirm."""

    def test_outcomes_are_true(self) -> None:
        self.holds('outcomes')

    def test_detects_retries_of_unknown_outcomes(self) -> None:
        self.notices('outcomes', variants.repeats_everything)

    def test_detects_false_not_run(self) -> None:
        self.notices('outcomes', variants.tells_not_run_always)
