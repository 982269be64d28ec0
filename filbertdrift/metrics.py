"""Counters and histograms of a node in the Prometheus text format."""

from collections.abc import Iterator, Mapping
from dataclasses import fields, is_dataclass

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

PREFIX = 'filbertdrift'
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 3
US_PER_S = 1_000_000
QUANTILES: Mapping[str, float] = {
    '0.5': 50.0,
    '0.9': 90.0,
    '0.99': 99.0,
    '0.999': 99.9,
}


class DurationHistogram:
    """A histogram of durations.

    Args:
        name: The metric's name without prefix.
        text: What is measured.
    """

    def __init__(self, name: str, text: str) -> None:
        """Start empty."""
        self.name = name
        self.text = text
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self._sum_s = 0.0

    def record(self, seconds: float) -> None:
        """Add one duration."""
        self._sum_s += seconds
        microseconds = max(int(seconds * US_PER_S), LOWEST_US)
        self._histogram.record_value(min(microseconds, HIGHEST_US))

    def quantile_s(self, percent: float) -> float:
        """Return a quantile in seconds.

        Args:
            percent: From 0 to 100.
        """
        found = self._histogram.get_value_at_percentile(percent)
        return float(found) / US_PER_S

    def count(self) -> int:
        """Return how many durations were recorded."""
        return int(self._histogram.get_total_count())

    def family(self) -> Metric:
        """Return the histogram as a summary with quantiles."""
        name = f'{PREFIX}_{self.name}_seconds'
        family = SummaryMetricFamily(name, self.text)
        for label, percent in QUANTILES.items():
            family.add_sample(
                name,
                {'quantile': label},
                self.quantile_s(percent),
            )
        family.add_sample(f'{name}_count', {}, self.count())
        family.add_sample(f'{name}_sum', {}, self._sum_s)
        return family


class NodeCollector(Collector):
    """Collects counters, gauges and histograms that objects keep."""

    def __init__(self) -> None:
        """Start without sources."""
        self._counters: dict[str, object] = {}
        self._labelled: dict[str, dict[str, int]] = {}
        self._gauges: dict[str, object] = {}
        self._timings: list[DurationHistogram] = []

    def add_counters(self, name: str, source: object) -> None:
        """Collect the fields of a data class of counters."""
        self._counters[name] = source

    def add_labelled(self, name: str, source: dict[str, int]) -> None:
        """Collect a mapping from kind to count."""
        self._labelled[name] = source

    def add_gauge(self, name: str, source: object) -> None:
        """Collect what a function without arguments returns."""
        self._gauges[name] = source

    def add_histogram(self, timings: DurationHistogram) -> None:
        """Collect a histogram."""
        self._timings.append(timings)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics."""
        for name, source in self._counters.items():
            yield from _counter_families(name, source)
        for name, source in self._labelled.items():
            family = CounterMetricFamily(
                f'{PREFIX}_{name}',
                name.replace('_', ' '),
                labels=['kind'],
            )
            for kind, count in sorted(source.items()):
                family.add_metric([kind], count)
            yield family
        for name, read in self._gauges.items():
            yield GaugeMetricFamily(
                f'{PREFIX}_{name}',
                name.replace('_', ' '),
                value=float(read()),  # type: ignore[operator]
            )
        for timings in self._timings:
            yield timings.family()


def render_metrics(collector: NodeCollector) -> bytes:
    """Return all metrics as text for a scraper."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(collector)
    return generate_latest(registry)


def _counter_families(name: str, source: object) -> Iterator[Metric]:
    if not is_dataclass(source):
        return
    for field in fields(source):
        yield CounterMetricFamily(
            f'{PREFIX}_{name}_{field.name}',
            f'{name} {field.name}'.replace('_', ' '),
            value=getattr(source, field.name),
        )
