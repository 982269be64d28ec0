"""The soak in short: real processes, faults drawn from fixed seeds."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from standins.platform_target import PlatformTarget, RunLog
from standins.soak import run_soak

# Seeds that once failed, each with its cause.
REGRESSION_SEEDS: tuple[int, ...] = (
    # With 5 instances and 12 s: a target began anew while it waited for its
    # leaving to be acknowledged, and the new one was noted as having left.
    411,
)
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


class LeavingTargetTest(TestCase):
    """What the stand-in of a target notes of its leaving."""

    def test_begins_anew_before_the_acknowledgement(self) -> None:
        asyncio.run(self._begins_anew())

    async def _begins_anew(self) -> None:
        log = RunLog()
        # Nothing listens there, so no call of the target is answered.
        target = PlatformTarget(
            ('127.0.0.1', 0),
            '127.0.0.1:1',
            ('127.0.0.1', 1),
            'desk',
            log,
        )
        await target.start()
        leaving = asyncio.ensure_future(target.leave())
        await asyncio.sleep(0.1)
        target.crash()
        await target.start()
        await asyncio.wait_for(leaving, 2)
        target.crash()
        self.assertThat(log.acknowledged, Equals({}))
