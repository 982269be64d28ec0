"""Comparison of two versions or policies under a load pattern."""

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
# Three seeds do not always tell a real difference from noise.
MORE_SEEDS = (1, 2, 3, 4, 5, 6)
CURRENT = Variant('this', str(OWN_TREE), {})


def verdicts(differences: list[Difference]) -> dict[str, str]:
    """Return the verdicts by figure."""
    return {one.figure: one.verdict for one in differences}


class CompareTest(TestCase):
    """Verdicts, plots and errors."""

    def test_identical_variants_do_not_differ(self) -> None:
        differences = compare(
            'returning-callers', CURRENT, CURRENT, LOADS, SEEDS
        )
        self.assertThat(set(verdicts(differences).values()), Equals({'noise'}))

    def test_longer_waits_differ(self) -> None:
        # Requests queue without searching for a free slot first.
        waiting = Variant(
            'waiting',
            str(OWN_TREE),
            {'dispatch.MAX_SEARCHES': 0},
        )
        with tempfile.TemporaryDirectory() as folder:
            plot = str(Path(folder) / 'figures.png')
            differences = compare(
                'stale-loads', CURRENT, waiting, LOADS, MORE_SEEDS, plot
            )
            self.assertThat(plot, FileExists())
        self.assertThat(verdicts(differences)['tail_ms'], Equals('differs'))

    def test_unknown_constant(self) -> None:
        wrong = Variant('wrong', str(OWN_TREE), {'dispatch.NOTHING': 1})
        with ExpectedException(FilbertdriftError, '.*no constant.*'):
            compare('returning-callers', wrong, CURRENT, LOADS, SEEDS)

    def test_unknown_pattern(self) -> None:
        with ExpectedException(SettingsError, '.*returning-callers.*'):
            compare('nothing', CURRENT, CURRENT, LOADS, SEEDS)

    def test_too_few_seeds(self) -> None:
        with ExpectedException(SettingsError, '.*at least 3 seeds.*'):
            compare('returning-callers', CURRENT, CURRENT, LOADS, (1, 2))

    def test_a_version_without_a_module(self) -> None:
        # A source tree from before callerwait must still play the pattern.
        with tempfile.TemporaryDirectory() as folder:
            package = Path(folder) / 'filbertdrift'
            shutil.copytree(OWN_TREE / 'filbertdrift', package)
            (package / 'callerwait.py').unlink()
            earlier = Variant('earlier', folder, {})
            differences = compare(
                'returning-callers', earlier, CURRENT, (2.0,), MORE_SEEDS
            )
        self.assertThat(verdicts(differences)['in_time'], Equals('differs'))
