"""How long callers have been trying, and what knowing it is worth."""

import random

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from filbertdrift.callerwait import WINDOW_REQUESTS, CallerWaitEstimator
from standins.load_patterns import returning_callers


def _waits(**stated_s: list[float]) -> CallerWaitEstimator:
    """Return estimates after requests of some routes, evenly mixed."""
    waits = CallerWaitEstimator()
    for route, times in stated_s.items():
        for number in range(WINDOW_REQUESTS):
            waits.estimate_elapsed_s(route, times[number % len(times)])
    return waits


class CallerWaitsTest(TestCase):
    """Estimates from stated deadlines."""

    def test_nothing_known_at_first(self) -> None:
        self.assertThat(
            CallerWaitEstimator().estimate_elapsed_s('read', 1.2), Equals(0)
        )

    def test_no_stated_time(self) -> None:
        self.assertThat(
            _waits(read=[2.5]).estimate_elapsed_s('read', None), Equals(0)
        )

    def test_first_attempt(self) -> None:
        self.assertThat(
            _waits(read=[2.5]).estimate_elapsed_s('read', 2.5), Equals(0)
        )

    def test_returning_caller(self) -> None:
        waits = _waits(read=[2.5])
        self.assertThat(waits.estimate_elapsed_s('read', 2.1), Equals(0.4))

    def test_callers_of_two_kinds(self) -> None:
        waits = _waits(read=[2.5, 1.0])
        self.assertThat(waits.estimate_elapsed_s('read', 1.0), Equals(0))
        self.assertThat(waits.estimate_elapsed_s('read', 0.75), Equals(0.25))
        self.assertThat(waits.estimate_elapsed_s('read', 2.25), Equals(0.25))

    def test_one_very_patient_caller(self) -> None:
        waits = _waits(read=[2.5])
        waits.estimate_elapsed_s('read', 600.0)
        for _ in range(WINDOW_REQUESTS):
            self.assertThat(waits.estimate_elapsed_s('read', 2.5), Equals(0))

    def test_many_returning_callers(self) -> None:
        rng = random.Random(1)
        waits = CallerWaitEstimator()
        for _ in range(WINDOW_REQUESTS):
            waits.estimate_elapsed_s('read', 2.5)
            waits.estimate_elapsed_s('read', rng.uniform(0.5, 2.4))
        self.assertThat(waits.estimate_elapsed_s('read', 2.5), Equals(0))
        self.assertThat(waits.estimate_elapsed_s('read', 2.0), Equals(0.5))

    def test_routes_are_told_apart(self) -> None:
        waits = _waits(read=[2.5], write=[1.0])
        self.assertThat(waits.estimate_elapsed_s('write', 1.0), Equals(0))

    def test_routes_of_no_configuration_are_forgotten(self) -> None:
        waits = _waits(read=[2.5])
        waits.retain_routes({'write'})
        self.assertThat(waits.estimate_elapsed_s('read', 2.0), Equals(0))


class ReturningCallersTest(TestCase):
    """Overload in which refused callers come back after a while."""

    def test_more_are_in_time_at_light_overload(self) -> None:
        self._compare(load=1.3, kind='read')

    def test_more_are_in_time_at_heavy_overload(self) -> None:
        self._compare(load=2.6, kind='write')

    def _compare(self, load: float, kind: str) -> None:
        """Compare with taking each attempt for a first one."""
        for seed in (1, 2, 3):
            without = returning_callers(load, seed, waits=None)
            known = returning_callers(load, seed, CallerWaitEstimator())
            self.assertThat(
                known[kind].in_time_share,
                GreaterThan(without[kind].in_time_share),
            )
