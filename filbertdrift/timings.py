"""Histograms of durations."""

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 3
US_PER_S = 1_000_000


class Timings:
    """A histogram of durations.

    Args:
        name: The metric's name without prefix.
        text: What is measured.

    Attributes:
        sum_s: All durations together.
    """

    def __init__(self, name: str, text: str) -> None:
        """Start empty."""
        self.name = name
        self.text = text
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self.sum_s = 0.0

    def record(self, seconds: float) -> None:
        """Add one duration."""
        self.sum_s += seconds
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
