"""Benchmark of one call through two nodes, against the direct call.

Both are measured in the same run, in turns, so that the machine's own noise
falls on both. The noise floor is the difference between two direct series.
"""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3
US_PER_S = 1_000_000
WARM_UP_CALLS = 200


@dataclass(slots=True)
class HopReport:
    """Latencies in milliseconds, and what the nodes add."""

    calls: int
    per_s: float
    direct_median_ms: float
    direct_tail_ms: float
    via_median_ms: float
    via_tail_ms: float
    added_median_ms: float
    added_tail_ms: float
    noise_median_ms: float
    noise_tail_ms: float
    failures: int


class _Connection:
    """A kept HTTP connection that times bare calls."""

    def __init__(self, address: str, path: str) -> None:
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        head = f'GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n'
        self._request = head.encode()
        self.failures = 0

    async def open(self) -> None:
        """Connect."""
        self._reader, self._writer = await asyncio.open_connection(
            self._host,
            self._port,
        )

    async def call(self) -> float:
        """Make one call and return its seconds."""
        began = time.perf_counter()
        self._writer.write(self._request)
        head = await self._reader.readuntil(b'\r\n\r\n')
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                await self._reader.readexactly(int(line[15:]))
        if not head.startswith(b'HTTP/1.1 200'):
            self.failures += 1
        return time.perf_counter() - began


def bench_hop(
    direct: str,
    via: str,
    path: str,
    calls: int = 3000,
    per_s: float = 100,
) -> HopReport:
    """Measure direct calls and calls through the nodes in turns.

    Args:
        direct: A target's address.
        via: A node's address for callers.
        path: The path to call on both.
        calls: How many calls of each kind.
        per_s: Calls a second of each kind.
    """
    return asyncio.run(_bench(direct, via, path, calls, per_s))


async def _bench(
    direct: str,
    via: str,
    path: str,
    calls: int,
    per_s: float,
) -> HopReport:
    connections = [
        _Connection(direct, path),
        _Connection(via, path),
        _Connection(direct, path),
    ]
    for conn in connections:
        await conn.open()
        for _ in range(WARM_UP_CALLS):
            await conn.call()
    histograms = [
        HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS) for _ in connections
    ]
    began = time.perf_counter()
    for number in range(calls):
        for conn, histogram in zip(connections, histograms, strict=True):
            histogram.record_value(int(await conn.call() * US_PER_S))
        pause_s = began + (number + 1) / per_s - time.perf_counter()
        await asyncio.sleep(max(pause_s, 0))
    failures = sum(conn.failures for conn in connections)
    return _report(histograms, calls, per_s, failures)


def _report(
    histograms: Sequence[HdrHistogram],
    calls: int,
    per_s: float,
    failures: int,
) -> HopReport:
    medians = [_ms(found, 50) for found in histograms]
    tails = [_ms(found, 99) for found in histograms]
    return HopReport(
        calls=calls,
        per_s=per_s,
        direct_median_ms=medians[0],
        direct_tail_ms=tails[0],
        via_median_ms=medians[1],
        via_tail_ms=tails[1],
        added_median_ms=round(medians[1] - medians[0], 3),
        added_tail_ms=round(tails[1] - tails[0], 3),
        noise_median_ms=round(abs(medians[2] - medians[0]), 3),
        noise_tail_ms=round(abs(tails[2] - tails[0]), 3),
        failures=failures,
    )


def _ms(histogram: HdrHistogram, percent: float) -> float:
    return float(histogram.get_value_at_percentile(percent)) / 1000
