"""Counters and histograms of a node in the Prometheus text format."""

from collections.abc import Iterator, Mapping
from dataclasses import fields, is_dataclass

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from filbertdrift.accounts.usage import AccountCounts, AccountUsage
from filbertdrift.durations import DurationHistogram

PREFIX = 'filbertdrift'
QUANTILES: Mapping[str, float] = {
    '0.5': 50.0,
    '0.9': 90.0,
    '0.99': 99.0,
    '0.999': 99.9,
}


class NodeCollector(Collector):
    """Collects the registered counters, gauges and histograms of a node."""

    def __init__(self) -> None:
        """Create a collector without metrics."""
        self._counters: dict[str, object] = {}
        self._labelled_counters: dict[str, dict[str, int]] = {}
        self._account_usage: AccountUsage | None = None
        self._gauges: dict[str, object] = {}
        self._histograms: list[DurationHistogram] = []

    def add_counters(self, name: str, source: object) -> None:
        """Register a data class of counters, one metric for each field."""
        self._counters[name] = source

    def add_labelled_counter(self, name: str, source: dict[str, int]) -> None:
        """Register a mapping from kind to count, one metric with a label."""
        self._labelled_counters[name] = source

    def add_account_counters(self, usage: AccountUsage) -> None:
        """Register the counters of accounts, metrics with their names."""
        self._account_usage = usage

    def add_gauge(self, name: str, source: object) -> None:
        """Register a gauge; its source is called for the current value."""
        self._gauges[name] = source

    def add_histogram(self, histogram: DurationHistogram) -> None:
        """Register a histogram."""
        self._histograms.append(histogram)

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families with their current values.

        Gauges and histograms are first: tools that keep only the beginning of
        a scrape keep what tells most about the state of a node.
        """
        for name, read in self._gauges.items():
            yield GaugeMetricFamily(
                f'{PREFIX}_{name}',
                name.replace('_', ' '),
                value=float(read()),  # type: ignore[operator]
            )
        for histogram in self._histograms:
            yield _histogram_family(histogram)
        for name, source in self._counters.items():
            yield from _counter_families(name, source)
        for name, source in self._labelled_counters.items():
            family = CounterMetricFamily(
                f'{PREFIX}_{name}',
                name.replace('_', ' '),
                labels=['kind'],
            )
            for kind, count in sorted(source.items()):
                family.add_metric([kind], count)
            yield family
        if self._account_usage is not None:
            yield from _account_families(self._account_usage)


def render_metrics(collector: NodeCollector) -> bytes:
    """Return all metrics in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(collector)
    return generate_latest(registry)


def _histogram_family(histogram: DurationHistogram) -> Metric:
    """Return the metric family of a histogram: a summary with quantiles."""
    name = f'{PREFIX}_{histogram.name}_seconds'
    family = SummaryMetricFamily(name, histogram.text)
    for label, percent in QUANTILES.items():
        family.add_sample(
            name,
            {'quantile': label},
            histogram.quantile_s(percent),
        )
    family.add_sample(f'{name}_count', {}, histogram.count())
    family.add_sample(f'{name}_sum', {}, histogram.sum_s())
    return family


def _account_families(usage: AccountUsage) -> Iterator[Metric]:
    largest = usage.largest()
    for field in fields(AccountCounts):
        family = CounterMetricFamily(
            f'{PREFIX}_account_{field.name}',
            f'account {field.name}'.replace('_', ' '),
            labels=['account'],
        )
        for account, counts in largest.items():
            family.add_metric([account], getattr(counts, field.name))
        yield family


def _counter_families(name: str, source: object) -> Iterator[Metric]:
    if not is_dataclass(source):
        return
    for field in fields(source):
        yield CounterMetricFamily(
            f'{PREFIX}_{name}_{field.name}',
            f'{name} {field.name}'.replace('_', ' '),
            value=getattr(source, field.name),
        )
