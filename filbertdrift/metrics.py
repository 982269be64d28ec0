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

from filbertdrift.timings import Timings

PREFIX = 'filbertdrift'
QUANTILES: Mapping[str, float] = {
    '0.5': 50.0,
    '0.9': 90.0,
    '0.99': 99.0,
    '0.999': 99.9,
}


class NodeCollector(Collector):
    """Collects counters, gauges and histograms that objects keep."""

    def __init__(self) -> None:
        """Start without sources."""
        self._counters: dict[str, object] = {}
        self._labelled: dict[str, dict[str, int]] = {}
        self._gauges: dict[str, object] = {}
        self._timings: list[Timings] = []

    def add_counters(self, name: str, source: object) -> None:
        """Collect the fields of a data class of counters."""
        self._counters[name] = source

    def add_labelled(self, name: str, source: dict[str, int]) -> None:
        """Collect a mapping from kind to count."""
        self._labelled[name] = source

    def add_gauge(self, name: str, source: object) -> None:
        """Collect what a function without arguments returns."""
        self._gauges[name] = source

    def add_timings(self, timings: Timings) -> None:
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
            yield _timings_family(timings)


def expose(collector: NodeCollector) -> bytes:
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


def _timings_family(timings: Timings) -> Metric:
    """Return a histogram as a summary with quantiles."""
    name = f'{PREFIX}_{timings.name}_seconds'
    family = SummaryMetricFamily(name, timings.text)
    for label, percent in QUANTILES.items():
        family.add_sample(
            name,
            {'quantile': label},
            timings.quantile_s(percent),
        )
    family.add_sample(f'{name}_count', {}, timings.count())
    family.add_sample(f'{name}_sum', {}, timings.sum_s)
    return family
