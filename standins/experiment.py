"""Compares two versions or two policies over loads and seeds.

A variant is a source tree, and constants of its modules that are set to other
values. Both variants play the same patterns of load with the same seeds, in
processes of their own, so differences are taken seed by seed.
"""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, dataclass
from importlib import import_module
from importlib.util import find_spec
from pathlib import Path
from typing import Any

from filbertdrift.errors import FilbertdriftError, SettingsError

# A difference is told from noise where chance makes one as large less often.
SIGNIFICANCE = 0.05
MIN_SEEDS = 3
SHOWN_DIGITS = 4
MS_PER_S = 1000
OWN_TREE = Path(__file__).resolve().parent.parent
FIGURES = ('in_time', 'refused', 'median_ms', 'tail_ms')


@dataclass(frozen=True)
class Variant:
    """What is measured.

    Args:
        name: For tables and plots.
        tree: Folder with the package filbertdrift.
        settings: Values of constants, by module and name: dispatch.NAME.
    """

    name: str
    tree: str
    settings: Mapping[str, float]


@dataclass(frozen=True)
class Sample:
    """One play of a pattern.

    Args:
        load: Work that arrives over what the targets can do.
        seed: The seed.
        in_time: Share of requests answered within their objective.
        refused: Share of requests not served.
        median_ms: Median time to the answer, of those served.
        tail_ms: The 99th percentile of it.
    """

    load: float
    seed: int
    in_time: float
    refused: float
    median_ms: float
    tail_ms: float


@dataclass(frozen=True)
class Difference:
    """One figure of both variants at one load, averaged over the seeds."""

    load: float
    figure: str
    first: float
    second: float
    chance: float
    verdict: str


def compare(
    pattern: str,
    first: Variant,
    second: Variant,
    loads: Sequence[float],
    seeds: Sequence[int],
    plot: str = '',
) -> list[Difference]:
    """Play a pattern with both variants and compare their figures.

    Args:
        pattern: The pattern's name.
        first: The variant to compare with.
        second: The other one.
        loads: Work that arrives over what the targets can do.
        seeds: Three or more.
        plot: An image file to write, none if empty.

    Raises:
        FilbertdriftError: A variant cannot be played.
    """
    if len(seeds) < MIN_SEEDS:
        raise SettingsError(
            f'at least {MIN_SEEDS} seeds are needed to tell noise',
            step='bench compare',
        )
    samples = [_play(one, pattern, loads, seeds) for one in (first, second)]
    found = [
        _difference(samples[0], samples[1], load, figure)
        for load in loads
        for figure in FIGURES
    ]
    if plot:
        _draw(plot, (first, second), samples)
    return found


def play(order: str) -> None:
    """Play a pattern as told, and print its samples as JSON.

    Args:
        order: JSON with pattern, settings, loads and seeds.
    """
    found = json.loads(order)
    for path, number in found['settings'].items():
        module_name, _, name = path.rpartition('.')
        module = import_module(f'filbertdrift.{module_name}')
        if not hasattr(module, name):
            raise SettingsError(f'no constant {path}', step='settings')
        setattr(module, name, number)
    pattern = _PATTERNS[found['pattern']]
    samples = [
        asdict(pattern(load, seed))
        for load in found['loads']
        for seed in found['seeds']
    ]
    sys.stdout.write(json.dumps(samples))


def _play(
    variant: Variant,
    pattern: str,
    loads: Sequence[float],
    seeds: Sequence[int],
) -> list[Sample]:
    if pattern not in _PATTERNS:
        raise SettingsError(
            f'no pattern {pattern}; there are {", ".join(sorted(_PATTERNS))}',
            step='bench compare',
        )
    order = {
        'pattern': pattern,
        'settings': dict(variant.settings),
        'loads': list(loads),
        'seeds': list(seeds),
    }
    # The package is the variant's, the patterns are this tree's.
    code = (
        f'import sys; sys.path.insert(0, {variant.tree!r}); '
        f'import filbertdrift; sys.path.insert(0, {str(OWN_TREE)!r}); '
        'from loguru import logger; logger.remove(); '
        'from standins.experiment import play; play(sys.stdin.read())'
    )
    with tempfile.TemporaryDirectory() as folder:
        done = subprocess.run(  # noqa: S603
            [sys.executable, '-c', code],
            input=json.dumps(order),
            capture_output=True,
            text=True,
            cwd=folder,
            env={**os.environ, 'PYTHONDONTWRITEBYTECODE': '1'},
            check=False,
        )
    if done.returncode:
        last = done.stderr.strip().rpartition('\n')[2]
        raise FilbertdriftError(f'{variant.name}: {last}', step='play')
    return [Sample(**sample) for sample in json.loads(done.stdout)]


def _difference(
    first: Sequence[Sample],
    second: Sequence[Sample],
    load: float,
    figure: str,
) -> Difference:
    left = [getattr(one, figure) for one in first if one.load == load]
    right = [getattr(one, figure) for one in second if one.load == load]
    chance = _chance(left, right)
    verdict = 'differs' if chance < SIGNIFICANCE else 'noise'
    return Difference(
        load=load,
        figure=figure,
        first=round(sum(left) / len(left), SHOWN_DIGITS),
        second=round(sum(right) / len(right), SHOWN_DIGITS),
        chance=round(chance, SHOWN_DIGITS),
        verdict=verdict,
    )


def _chance(left: Sequence[float], right: Sequence[float]) -> float:
    """Return how likely chance alone makes pairs differ that much."""
    if list(left) == list(right):
        return 1.0
    stats = import_module('scipy.stats')
    return float(stats.ttest_rel(left, right).pvalue)


def _draw(
    path: str,
    variants: Sequence[Variant],
    samples: Sequence[Sequence[Sample]],
) -> None:
    matplotlib = import_module('matplotlib')
    matplotlib.use('Agg')
    pyplot = import_module('matplotlib.pyplot')
    figure, axes = pyplot.subplots(1, len(FIGURES), figsize=(16, 4))
    for axis, name in zip(axes, FIGURES, strict=True):
        for variant, found in zip(variants, samples, strict=True):
            _draw_figure(axis, variant, found, name)
        axis.set_xlabel('load')
        axis.set_title(name)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _draw_figure(
    axis: Any,
    variant: Variant,
    samples: Sequence[Sample],
    name: str,
) -> None:
    loads = sorted({sample.load for sample in samples})
    by_load = [
        [getattr(one, name) for one in samples if one.load == load]
        for load in loads
    ]
    means = [sum(found) / len(found) for found in by_load]
    below = [
        mean - min(found) for mean, found in zip(means, by_load, strict=True)
    ]
    above = [
        max(found) - mean for mean, found in zip(means, by_load, strict=True)
    ]
    axis.errorbar(loads, means, yerr=(below, above), label=variant.name)


def _returning(load: float, seed: int) -> Sample:
    patterns = import_module('standins.load_patterns')
    wait_estimator = None
    if _has_module('callerwait'):
        wait_estimator = import_module(
            'filbertdrift.callerwait'
        ).CallerWaitEstimator()
    tallies = patterns.returning_callers(load, seed, wait_estimator)
    return _sample(load, seed, list(tallies.values()))


def _has_module(name: str) -> bool:
    """Tell whether the variant's own package has a module.

    Where this tree is installed for development, its modules are found for
    other trees as well.
    """
    spec = find_spec(f'filbertdrift.{name}')
    package = import_module('filbertdrift')
    if spec is None or spec.origin is None or package.__file__ is None:
        return False
    return Path(spec.origin).parent == Path(package.__file__).parent


def _stale(load: float, seed: int) -> Sample:
    patterns = import_module('standins.load_patterns')
    return _sample(load, seed, [patterns.stale_loads(load, seed)])


def _sample(load: float, seed: int, tallies: Sequence[Any]) -> Sample:
    sent = sum(tally.sent for tally in tallies)
    latencies = sorted(
        spent_s for tally in tallies for spent_s in tally.latencies_s
    ) or [0.0]
    return Sample(
        load=load,
        seed=seed,
        in_time=sum(tally.in_time for tally in tallies) / sent,
        refused=1 - sum(tally.served for tally in tallies) / sent,
        median_ms=latencies[len(latencies) // 2] * MS_PER_S,
        tail_ms=latencies[len(latencies) * 99 // 100] * MS_PER_S,
    )


_PATTERNS: Mapping[str, Callable[[float, int], Sample]] = {
    'returning-callers': _returning,
    'stale-loads': _stale,
}
