"""Detection of pauses."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals

from filbertdrift.pause import RECOVERY_S, PauseDetector
from tests.builders import run_virtual


class SuspendedTest(TestCase):
    """A suspended machine's steady clock stands still."""

    def test_noticed_by_the_clock_that_goes_on(self) -> None:
        run_virtual(self._suspend())

    async def _suspend(self) -> None:
        suspended_s = [7.0]
        guard = PauseDetector(lambda: suspended_s[0])
        self.assertThat(guard.check(), Equals(False))
        suspended_s[0] += 3
        self.assertThat(guard.check(), Equals(True))
        await asyncio.sleep(RECOVERY_S + 0.1)
        self.assertThat(guard.check(), Equals(False))
        self.assertThat(guard.pauses, Equals(1))
