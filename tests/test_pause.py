"""Detection of pauses."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals

from filbertdrift.pause import RECOVERY_S, PauseDetector
from tests.builders import run_virtual


class SuspendedTest(TestCase):
    """The monotonic clock stops while the machine is suspended."""

    def test_detected_by_the_boot_time_clock(self) -> None:
        run_virtual(self._suspend())

    async def _suspend(self) -> None:
        suspended_s = [7.0]
        detector = PauseDetector(lambda: suspended_s[0])
        self.assertThat(detector.check(), Equals(False))
        suspended_s[0] += 3
        self.assertThat(detector.check(), Equals(True))
        await asyncio.sleep(RECOVERY_S + 0.1)
        self.assertThat(detector.check(), Equals(False))
        self.assertThat(detector.pauses, Equals(1))
