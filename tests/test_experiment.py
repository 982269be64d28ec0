"""Comparing two versions or policies."""

import shutil
import tempfile
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, FileExists
from testtools.testcase import ExpectedException

from filbertdrift.errors import FilbertdriftError, SettingsError
from standins.experiment import OWN_TREE, Difference, Variant, compare

LOADS = (0.8,)
SEEDS = (1, 2, 3)
THIS = Variant('this', str(OWN_TREE), {})


def verdicts(found: list[Difference]) -> dict[str, str]:
    """Return the verdict on each figure."""
    return {one.figure: one.verdict for one in found}


class CompareTest(TestCase):
    """Verdicts, plots and errors."""

    def test_the_same_twice_is_noise(self) -> None:
        found = compare('returning-callers', THIS, THIS, LOADS, SEEDS)
        self.assertThat(set(verdicts(found).values()), Equals({'noise'}))

    def test_a_policy_that_waits_longer_differs(self) -> None:
        waiting = Variant(
            'waiting',
            str(OWN_TREE),
            {'dispatch.MAX_SEARCHES': 0},
        )
        with tempfile.TemporaryDirectory() as folder:
            plot = str(Path(folder) / 'figures.png')
            found = compare('stale-loads', THIS, waiting, LOADS, SEEDS, plot)
            self.assertThat(plot, FileExists())
        self.assertThat(verdicts(found)['tail_ms'], Equals('differs'))

    def test_unknown_constant(self) -> None:
        wrong = Variant('wrong', str(OWN_TREE), {'dispatch.NOTHING': 1})
        with ExpectedException(FilbertdriftError, '.*no constant.*'):
            compare('returning-callers', wrong, THIS, LOADS, SEEDS)

    def test_unknown_pattern(self) -> None:
        with ExpectedException(SettingsError, '.*returning-callers.*'):
            compare('nothing', THIS, THIS, LOADS, SEEDS)

    def test_too_few_seeds(self) -> None:
        with ExpectedException(SettingsError, '.*at least 3 seeds.*'):
            compare('returning-callers', THIS, THIS, LOADS, (1, 2))

    def test_a_version_without_a_module(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            copied = Path(folder) / 'filbertdrift'
            shutil.copytree(OWN_TREE / 'filbertdrift', copied)
            (copied / 'callerwait.py').unlink()
            earlier = Variant('earlier', folder, {})
            found = compare('returning-callers', earlier, THIS, (2.0,), SEEDS)
        self.assertThat(verdicts(found)['in_time'], Equals('differs'))
