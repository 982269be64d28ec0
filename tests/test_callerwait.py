"""Estimates of callers' retry time, and what admission gains from them."""

import random

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from filbertdrift.callerwait import WINDOW_REQUESTS, CallerWaitEstimator
from standins.load_patterns import returning_callers


def _estimator_after(**timeouts_s: list[float]) -> CallerWaitEstimator:
    """Return an estimator that has seen evenly mixed timeouts of routes."""
    estimator = CallerWaitEstimator()
    for route, times in timeouts_s.items():
        for number in range(WINDOW_REQUESTS):
            estimator.estimate_elapsed_s(route, times[number % len(times)])
    return estimator


class CallerWaitEstimatorTest(TestCase):
    """Estimates from callers' timeouts."""

    def test_first_request_of_a_route(self) -> None:
        self.assertThat(
            CallerWaitEstimator().estimate_elapsed_s('read', 1.2), Equals(0)
        )

    def test_no_timeout(self) -> None:
        self.assertThat(
            _estimator_after(read=[2.5]).estimate_elapsed_s('read', None),
            Equals(0),
        )

    def test_first_attempt(self) -> None:
        self.assertThat(
            _estimator_after(read=[2.5]).estimate_elapsed_s('read', 2.5),
            Equals(0),
        )

    def test_retry(self) -> None:
        estimator = _estimator_after(read=[2.5])
        self.assertThat(estimator.estimate_elapsed_s('read', 2.1), Equals(0.4))

    def test_callers_of_two_kinds(self) -> None:
        estimator = _estimator_after(read=[2.5, 1.0])
        self.assertThat(estimator.estimate_elapsed_s('read', 1.0), Equals(0))
        self.assertThat(
            estimator.estimate_elapsed_s('read', 0.75), Equals(0.25)
        )
        self.assertThat(
            estimator.estimate_elapsed_s('read', 2.25), Equals(0.25)
        )

    def test_single_long_timeout(self) -> None:
        estimator = _estimator_after(read=[2.5])
        estimator.estimate_elapsed_s('read', 600.0)
        for _ in range(WINDOW_REQUESTS):
            self.assertThat(
                estimator.estimate_elapsed_s('read', 2.5), Equals(0)
            )

    def test_many_retries(self) -> None:
        rng = random.Random(1)
        estimator = CallerWaitEstimator()
        for _ in range(WINDOW_REQUESTS):
            estimator.estimate_elapsed_s('read', 2.5)
            estimator.estimate_elapsed_s('read', rng.uniform(0.5, 2.4))
        self.assertThat(estimator.estimate_elapsed_s('read', 2.5), Equals(0))
        self.assertThat(estimator.estimate_elapsed_s('read', 2.0), Equals(0.5))

    def test_routes_are_separate(self) -> None:
        estimator = _estimator_after(read=[2.5], write=[1.0])
        self.assertThat(estimator.estimate_elapsed_s('write', 1.0), Equals(0))

    def test_removed_routes_are_dropped(self) -> None:
        estimator = _estimator_after(read=[2.5])
        estimator.retain_routes({'write'})
        self.assertThat(estimator.estimate_elapsed_s('read', 2.0), Equals(0))


class ReturningCallersTest(TestCase):
    """Overload in which refused callers retry after a delay."""

    def test_more_are_in_time_at_light_overload(self) -> None:
        self._compare(load=1.3, kind='read')

    def test_more_are_in_time_at_heavy_overload(self) -> None:
        self._compare(load=2.6, kind='write')

    def _compare(self, load: float, kind: str) -> None:
        """Compare with a gate that takes each attempt for a first one."""
        for seed in (1, 2, 3):
            without = returning_callers(load, seed, wait_estimator=None)
            estimated = returning_callers(load, seed, CallerWaitEstimator())
            self.assertThat(
                estimated[kind].in_time_share,
                GreaterThan(without[kind].in_time_share),
            )
