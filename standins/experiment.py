"""Compares two versions or two policies over loads and seeds.

A variant is a source tree with overridden values of module constants. Both
variants play the same load pattern with the same seeds, each in a process of
its own, so the test for differences is paired by seed.
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

# Differences with a lower p-value are significant, others are noise.
SIGNIFICANCE = 0.05
MIN_SEEDS = 3
SHOWN_DIGITS = 4
MS_PER_S = 1000
OWN_TREE = Path(__file__).resolve().parent.parent
FIGURES = ('in_time', 'refused', 'median_ms', 'tail_ms')


@dataclass(frozen=True)
class Variant:
    """A source tree with overridden constants.

    Args:
        name: Name in errors and plots.
        tree: Directory that holds the package filbertdrift.
        settings: Values of constants by module.NAME.
    """

    name: str
    tree: str
    settings: Mapping[str, float]


@dataclass(frozen=True)
class Sample:
    """Figures of a load pattern played with one load and seed.

    Args:
        load: Offered load as a multiple of the targets' capacity.
        seed: Seed of all random numbers.
        in_time: Share of requests that met their latency objective.
        refused: Share of requests not served.
        median_ms: Median latency of the requests that ran.
        tail_ms: The 99th percentile of the same latencies.
    """

    load: float
    seed: int
    in_time: float
    refused: float
    median_ms: float
    tail_ms: float


@dataclass(frozen=True)
class Difference:
    """One figure of both variants at one load.

    Args:
        load: Offered load as a multiple of the targets' capacity.
        figure: Field of `Sample`.
        first: Mean of the first variant over the seeds.
        second: Mean of the second variant over the seeds.
        chance: The p-value of the difference.
        verdict: 'differs' if it is significant, otherwise 'noise'.
    """

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
    """Play a load pattern with both variants and compare their figures.

    Args:
        pattern: Name of the load pattern.
        first: The variant to compare with.
        second: The other variant.
        loads: Offered loads as multiples of the targets' capacity.
        seeds: Seeds, at least MIN_SEEDS.
        plot: Path of an image file to write; none if empty.

    Raises:
        SettingsError: There are too few seeds or no such pattern.
        FilbertdriftError: A variant failed.
    """
    if len(seeds) < MIN_SEEDS:
        raise SettingsError(
            f'at least {MIN_SEEDS} seeds are needed to tell noise',
            step='bench compare',
        )
    samples = [
        _run_variant(one, pattern, loads, seeds) for one in (first, second)
    ]
    differences = [
        _compare_samples(samples[0], samples[1], load, figure)
        for load in loads
        for figure in FIGURES
    ]
    if plot:
        _plot_samples(plot, (first, second), samples)
    return differences


def play(job_json: str) -> None:
    """Play a load pattern and write its samples to stdout as JSON.

    Args:
        job_json: JSON object with pattern, settings, loads and seeds.

    Raises:
        SettingsError: A constant does not exist.
    """
    job = json.loads(job_json)
    for path, number in job['settings'].items():
        module_name, _, name = path.rpartition('.')
        module = import_module(f'filbertdrift.{module_name}')
        if not hasattr(module, name):
            raise SettingsError(f'no constant {path}', step='settings')
        setattr(module, name, number)
    pattern = _PATTERNS[job['pattern']]
    samples = [
        asdict(pattern(load, seed))
        for load in job['loads']
        for seed in job['seeds']
    ]
    sys.stdout.write(json.dumps(samples))


def _run_variant(
    variant: Variant,
    pattern: str,
    loads: Sequence[float],
    seeds: Sequence[int],
) -> list[Sample]:
    """Play a load pattern in a process that imports the variant's package."""
    if pattern not in _PATTERNS:
        raise SettingsError(
            f'unknown pattern {pattern}; known: {", ".join(sorted(_PATTERNS))}',
            step='bench compare',
        )
    job = {
        'pattern': pattern,
        'settings': dict(variant.settings),
        'loads': list(loads),
        'seeds': list(seeds),
    }
    # filbertdrift is imported from the variant's tree, standins from this one.
    code = (
        f'import sys; sys.path.insert(0, {variant.tree!r}); '
        f'import filbertdrift; sys.path.insert(0, {str(OWN_TREE)!r}); '
        'from loguru import logger; logger.remove(); '
        'from standins.experiment import play; play(sys.stdin.read())'
    )
    with tempfile.TemporaryDirectory() as folder:
        completed = subprocess.run(  # noqa: S603
            [sys.executable, '-c', code],
            input=json.dumps(job),
            capture_output=True,
            text=True,
            cwd=folder,
            env={**os.environ, 'PYTHONDONTWRITEBYTECODE': '1'},
            check=False,
        )
    if completed.returncode:
        last_line = completed.stderr.strip().rpartition('\n')[2]
        raise FilbertdriftError(f'{variant.name}: {last_line}', step='play')
    return [Sample(**sample) for sample in json.loads(completed.stdout)]


def _compare_samples(
    first: Sequence[Sample],
    second: Sequence[Sample],
    load: float,
    figure: str,
) -> Difference:
    left = [getattr(one, figure) for one in first if one.load == load]
    right = [getattr(one, figure) for one in second if one.load == load]
    chance = _p_value(left, right)
    verdict = 'differs' if chance < SIGNIFICANCE else 'noise'
    return Difference(
        load=load,
        figure=figure,
        first=round(sum(left) / len(left), SHOWN_DIGITS),
        second=round(sum(right) / len(right), SHOWN_DIGITS),
        chance=round(chance, SHOWN_DIGITS),
        verdict=verdict,
    )


def _p_value(left: Sequence[float], right: Sequence[float]) -> float:
    """Return the p-value of a paired t-test."""
    if list(left) == list(right):
        return 1.0
    stats = import_module('scipy.stats')
    return float(stats.ttest_rel(left, right).pvalue)


def _plot_samples(
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
            _plot_figure(axis, variant, found, name)
        axis.set_xlabel('load')
        axis.set_title(name)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _plot_figure(
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


def _play_returning_callers(load: float, seed: int) -> Sample:
    patterns = import_module('standins.load_patterns')
    wait_estimator = None
    if _has_module('callerwait'):
        wait_estimator = import_module(
            'filbertdrift.callerwait'
        ).CallerWaitEstimator()
    tallies = patterns.returning_callers(load, seed, wait_estimator)
    return _summarize(load, seed, list(tallies.values()))


def _has_module(name: str) -> bool:
    """Return whether the variant's source tree has a module.

    A pattern that uses a newer module can still compare source trees without
    it. If this tree is installed in editable mode, `find_spec` also finds its
    modules for other trees, so the directory is compared with the package's.
    """
    spec = find_spec(f'filbertdrift.{name}')
    package = import_module('filbertdrift')
    if spec is None or spec.origin is None or package.__file__ is None:
        return False
    return Path(spec.origin).parent == Path(package.__file__).parent


def _play_stale_loads(load: float, seed: int) -> Sample:
    patterns = import_module('standins.load_patterns')
    return _summarize(load, seed, [patterns.stale_loads(load, seed)])


def _play_leaving_callers(load: float, seed: int) -> Sample:
    patterns = import_module('standins.age_patterns')
    return _summarize(load, seed, [patterns.leaving_callers(load, seed)])


def _summarize(load: float, seed: int, tallies: Sequence[Any]) -> Sample:
    sent = sum(tally.sent for tally in tallies)
    latencies = sorted(
        latency_s for tally in tallies for latency_s in tally.latencies_s
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
    'returning-callers': _play_returning_callers,
    'stale-loads': _play_stale_loads,
    'leaving-callers': _play_leaving_callers,
}
