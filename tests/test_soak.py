"""The soak in short: real processes, faults drawn from fixed seeds."""

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from standins.soak import run_soak

# Seeds that once failed, each with its cause.
REGRESSION_SEEDS: tuple[int, ...] = ()
SHORT_S = 6
INSTANCES = 3
SERVED = 100


class SoakTest(TestCase):
    """Promises hold while processes, targets and the store fail."""

    def test_short(self) -> None:
        for seed in (1, *REGRESSION_SEEDS):
            verdict = run_soak(seed, SHORT_S, INSTANCES)
            self.assertThat(verdict.violations, Equals([]))
            self.assertThat(verdict.outcomes['200'], GreaterThan(SERVED))
