"""A base class of test cases that replay traces."""

from testtools import TestCase
from testtools.matchers import HasLength, Not

from filbertdrift.node import Node
from tests.replay import Variant, replay


class TraceTest(TestCase):
    """Asserts that a trace passes, and that it detects broken variants."""

    def holds(self, trace: str) -> None:
        """Assert that every outcome of a trace holds."""
        self.assertThat(replay(trace), HasLength(0))

    def notices(self, trace: str, *broken: Variant) -> None:
        """Assert that a trace detects a fault in its nodes.

        Args:
            trace: The name of the trace.
            broken: Variants that are applied to every node; at least one
                outcome of the trace has to fail.
        """

        def break_node(node: Node) -> None:
            for variant in broken:
                variant(node)

        self.assertThat(replay(trace, break_node), Not(HasLength(0)))
