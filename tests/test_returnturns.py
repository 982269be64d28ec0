"""Turns in which refused callers return."""

from testtools import TestCase
from testtools.matchers import AllMatch, Equals, LessThan

from filbertdrift.returnturns import MAX_DELAY_S, ReturnTurns


class ReturnTurnsTest(TestCase):
    """Callers return one after the other, at the rate that is given."""

    def test_turns_follow_each_other(self) -> None:
        turns = ReturnTurns()
        delays_s = [turns.next_delay_s(('desk', 1), 2, 10) for _ in range(4)]
        self.assertThat(delays_s, Equals([0.5, 1, 1.5, 2]))
        # Turns that have passed are not made up for.
        self.assertThat(turns.next_delay_s(('desk', 1), 2, 60), Equals(0.5))

    def test_each_priority_has_turns_of_its_own(self) -> None:
        turns = ReturnTurns()
        for _ in range(5):
            turns.next_delay_s(('desk', 2), 2, 0)
        self.assertThat(turns.next_delay_s(('desk', 1), 2, 0), Equals(0.5))

    def test_no_caller_is_told_a_longer_delay(self) -> None:
        turns = ReturnTurns()
        delays_s = [turns.next_delay_s(('desk', 1), 1, 0) for _ in range(9)]
        delays_s.append(turns.next_delay_s(('desk', 1), 0, 0))
        self.assertThat(delays_s, AllMatch(LessThan(MAX_DELAY_S + 0.001)))
