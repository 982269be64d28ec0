"""Patterns of load that a gate or a fleet has to withstand, without network.

Each test names its pattern. The bounds are what the pattern's callers need, not
what was measured.
"""

from testtools import TestCase
from testtools.matchers import GreaterThan

from filbertdrift.callerwait import CallerWaitEstimator
from standins.load_patterns import (
    READS_AND_WRITES,
    SHORT_OBJECTIVES,
    RequestKind,
    Tally,
    returning_callers,
)

SEEDS = range(4)


def play(load: float, kinds: dict[str, RequestKind], name: str) -> Tally:
    """Return the outcomes of one kind over some seeds."""
    total = Tally()
    for seed in SEEDS:
        tally = returning_callers(load, seed, CallerWaitEstimator(), kinds)[
            name
        ]
        total.sent += tally.sent
        total.in_time += tally.in_time
        total.served += tally.served
    return total


class ShortObjectiveTest(TestCase):
    """Pattern: steady overload, with objectives of a few service times.

    A queue at its limit makes each request start at the last moment, and half
    of them end late, although the target could serve as many in time.
    """

    def test_served_requests_are_in_time(self) -> None:
        for load in (1.1, 1.3, 1.6):
            tally = play(load, SHORT_OBJECTIVES, 'read')
            # Nine in ten of what is served, and the target stays busy.
            self.expectThat(
                tally.in_time / tally.served, GreaterThan(0.9), str(load)
            )
            self.expectThat(
                tally.served / tally.sent, GreaterThan(0.95 / load), str(load)
            )

    def test_little_is_refused_below_capacity(self) -> None:
        tally = play(0.8, SHORT_OBJECTIVES, 'read')
        self.expectThat(tally.served / tally.sent, GreaterThan(0.99))
        self.expectThat(tally.in_time_share, GreaterThan(0.97))

    def test_urgent_requests_are_in_time(self) -> None:
        tally = play(1.3, READS_AND_WRITES, 'write')
        self.assertThat(tally.in_time_share, GreaterThan(0.99))
