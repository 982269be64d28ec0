"""Test cases that replay traces."""

from testtools import TestCase
from testtools.matchers import HasLength, Not

from filbertdrift.node import Node
from tests.replay import Variant, replay


class TraceTest(TestCase):
    """Outcomes hold, and a broken variant is noticed."""

    def holds(self, trace: str) -> None:
        """Replay a trace and want every outcome to hold."""
        self.assertThat(replay(trace), HasLength(0))

    def notices(self, trace: str, *broken: Variant) -> None:
        """Replay a trace with broken nodes and want outcomes to fail."""

        def break_node(node: Node) -> None:
            for variant in broken:
                variant(node)

        self.assertThat(replay(trace, break_node), Not(HasLength(0)))
