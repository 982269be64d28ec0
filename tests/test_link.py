"""Kept connections between nodes."""

from tests import variants
from tests.cases import TraceTest


class SilentLinkTest(TraceTest):
    """A connection that went silent is found and replaced."""

    def test_replaced(self) -> None:
        self.holds('silent')

    def test_notices_kept_silent_links(self) -> None:
        self.notices('silent', variants.keeps_silent_links)
