"""Benchmarks against the stand-ins of targets and log, as plain functions."""

import importlib
from collections.abc import Mapping, Sequence
from typing import Any

from filbertdrift.errors import FilbertdriftError


def control(
    nodes: Sequence[int],
    profile: str,
    seed: int,
) -> list[object]:
    """Measure the control plane at several fleet sizes."""
    return list(
        _import_bench('control_bench').bench_control(nodes, profile, seed)
    )


def profiles(nodes: int, seed: int) -> list[object]:
    """Measure both settings profiles and the steps between them."""
    return list(_import_bench('control_bench').bench_profiles(nodes, seed))


def load(loads: Sequence[float], seed: int) -> list[object]:
    """Measure goodput under overload and that of the baseline."""
    return list(_import_bench('load_bench').bench_load(loads, seed))


def accounts(sizes: Sequence[int]) -> list[object]:
    """Measure the check of keys with several numbers of accounts."""
    return list(_import_bench('accounts_bench').bench_accounts(sizes))


def hop(
    direct: str,
    via: str,
    path: str,
    calls: int,
    per_s: float,
    depth: int,
) -> object:
    """Measure the latency that two nodes add to a call."""
    bench = _import_bench('hop_bench')
    return bench.bench_hop(direct, via, path, calls, per_s, depth)


def rate(
    via: str,
    path: str,
    pids: Sequence[int],
    connections: int,
    seconds: float,
) -> object:
    """Measure throughput, CPU time and memory of nodes at full load."""
    bench = _import_bench('hop_bench')
    return bench.bench_rate(via, path, pids, connections, seconds)


def compare(
    pattern: str,
    trees: tuple[str, str],
    settings: tuple[Mapping[str, float], Mapping[str, float]],
    loads: Sequence[float],
    seeds: int,
    plot: str,
) -> list[object]:
    """Compare two versions or policies under a load pattern.

    Args:
        pattern: The name of the load pattern.
        trees: Source trees of both variants; this one where empty.
        settings: Constants of both variants, by module.NAME.
        loads: Offered loads, as multiples of the targets' capacity.
        seeds: The number of seeds, from 1 on.
        plot: The image file to write; none if empty.
    """
    bench = _import_bench('experiment')
    first, second = (
        bench.Variant(name, tree or str(bench.OWN_TREE), constants)
        for name, tree, constants in zip(
            ('first', 'second'),
            trees,
            settings,
            strict=True,
        )
    )
    numbers = range(1, seeds + 1)
    return list(bench.compare(pattern, first, second, loads, numbers, plot))


def _import_bench(name: str) -> Any:
    try:
        return importlib.import_module(f'standins.{name}')
    except ImportError as exc:
        raise FilbertdriftError(
            f"{exc}; install the development extra: pip install '.[dev]'",
            step='bench',
        ) from exc
