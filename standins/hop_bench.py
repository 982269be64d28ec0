"""Benchmark of calls through two nodes, compared with direct calls.

Three series of calls alternate in one run, so that noise of the machine affects
them alike: direct, through the nodes, and direct again. The noise floor is the
difference between the two direct series.
"""

import asyncio
import os
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from hdrh.histogram import HdrHistogram

from standins.kept import PersistentConnection, open_persistent

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000
WARM_UP_CALLS = 200
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
PAGE_KIB = os.sysconf('SC_PAGE_SIZE') // 1024


@dataclass(slots=True)
class HopReport:
    """Latency of direct calls and calls through nodes, with the difference."""

    calls: int
    per_s: float
    depth: int
    direct_median_ms: float
    direct_tail_ms: float
    via_median_ms: float
    via_tail_ms: float
    added_median_ms: float
    added_tail_ms: float
    noise_median_ms: float
    noise_tail_ms: float
    failures: int


@dataclass(slots=True)
class RateReport:
    """Throughput of nodes under full load, with their CPU time and memory."""

    connections: int
    calls: int
    per_s: float
    median_ms: float
    tail_ms: float
    node_us_per_call: float
    memory_kib_per_connection: float
    failures: int


def bench_hop(
    direct: str,
    via: str,
    path: str,
    calls: int = 3000,
    per_s: float = 100,
    depth: int = 1,
) -> HopReport:
    """Measure the latency that the nodes add to a call.

    Args:
        direct: Address of a target.
        via: Ingress address of a node.
        path: Path of the calls.
        calls: Number of calls in each series.
        per_s: Calls per second in each series.
        depth: Number of calls in a chain. Each target makes the next call as
            the first was made, directly or through the nodes.
    """
    return asyncio.run(_measure_hop(direct, via, path, calls, per_s, depth))


def bench_rate(
    via: str,
    path: str,
    pids: Sequence[int],
    connections: int = 32,
    seconds: float = 5,
) -> RateReport:
    """Measure closed-loop throughput: each caller waits for the response.

    Args:
        via: Ingress address of a node.
        path: Path of the calls.
        pids: Processes of the nodes, for their CPU time and memory.
        connections: Number of concurrent callers, each on its own connection.
        seconds: Duration of the measurement.
    """
    return asyncio.run(_measure_rate(via, path, pids, connections, seconds))


async def _measure_hop(
    direct: str,
    via: str,
    path: str,
    calls: int,
    per_s: float,
    depth: int,
) -> HopReport:
    addresses = (direct, via, direct)
    connections = [await open_persistent(address) for address in addresses]
    chains = [f'x-chain: {depth - 1} {address}\r\n' for address in addresses]
    for conn, chain in zip(connections, chains, strict=True):
        for _ in range(WARM_UP_CALLS):
            await conn.call(path, chain)
    histograms = [_histogram() for _ in addresses]
    started_at = time.perf_counter()
    for number in range(calls):
        for index, histogram in enumerate(histograms):
            seconds = await connections[index].call(path, chains[index])
            histogram.record_value(int(seconds * US_PER_S))
        pause_s = started_at + (number + 1) / per_s - time.perf_counter()
        await asyncio.sleep(max(pause_s, 0))
    medians = [_percentile_ms(series, 50) for series in histograms]
    tails = [_percentile_ms(series, 99) for series in histograms]
    return HopReport(
        calls=calls,
        per_s=per_s,
        depth=depth,
        direct_median_ms=medians[0],
        direct_tail_ms=tails[0],
        via_median_ms=medians[1],
        via_tail_ms=tails[1],
        added_median_ms=round(medians[1] - medians[0], 3),
        added_tail_ms=round(tails[1] - tails[0], 3),
        noise_median_ms=round(abs(medians[2] - medians[0]), 3),
        noise_tail_ms=round(abs(tails[2] - tails[0]), 3),
        failures=sum(conn.failures for conn in connections),
    )


async def _measure_rate(
    via: str,
    path: str,
    pids: Sequence[int],
    connections: int,
    seconds: float,
) -> RateReport:
    first = await open_persistent(via)
    for _ in range(WARM_UP_CALLS):
        await first.call(path)
    memory_kib = sum(_resident_kib(pid) for pid in pids)
    conns = [await open_persistent(via) for _ in range(connections)]
    histogram = _histogram()
    cpu_s = sum(_cpu_s(pid) for pid in pids)
    started_at = time.perf_counter()
    await asyncio.gather(
        *(
            _call_until(conn, path, started_at + seconds, histogram)
            for conn in conns
        ),
    )
    elapsed_s = time.perf_counter() - started_at
    cpu_s = sum(_cpu_s(pid) for pid in pids) - cpu_s
    memory_kib = sum(_resident_kib(pid) for pid in pids) - memory_kib
    calls = int(histogram.get_total_count())
    return RateReport(
        connections=connections,
        calls=calls,
        per_s=round(calls / elapsed_s, 1),
        median_ms=_percentile_ms(histogram, 50),
        tail_ms=_percentile_ms(histogram, 99),
        node_us_per_call=round(cpu_s / max(calls, 1) * US_PER_S, 1),
        memory_kib_per_connection=round(memory_kib / connections, 1),
        failures=sum(conn.failures for conn in conns),
    )


async def _call_until(
    conn: PersistentConnection,
    path: str,
    deadline: float,
    histogram: HdrHistogram,
) -> None:
    while time.perf_counter() < deadline:
        seconds = await conn.call(path)
        histogram.record_value(int(seconds * US_PER_S))


def _histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def _cpu_s(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text('utf-8').split()
    return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS


def _resident_kib(pid: int) -> int:
    fields = Path(f'/proc/{pid}/statm').read_text('utf-8').split()
    return int(fields[1]) * PAGE_KIB


def _percentile_ms(histogram: HdrHistogram, percent: float) -> float:
    return float(histogram.get_value_at_percentile(percent)) / US_PER_MS
