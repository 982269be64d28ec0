"""Histograms of durations."""

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000


class DurationHistogram:
    """An HDR histogram of durations, exported as a summary.

    Args:
        name: The metric's name without prefix and unit.
        text: The metric's help text.
    """

    def __init__(self, name: str, text: str) -> None:
        """Create an empty histogram."""
        self.name = name
        self.text = text
        self._histogram = HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
        self._sum_s = 0.0

    def record(self, seconds: float) -> None:
        """Record one duration, clamped to the range of the histogram."""
        self._sum_s += seconds
        microseconds = max(int(seconds * US_PER_S), LOWEST_US)
        self._histogram.record_value(min(microseconds, HIGHEST_US))

    def quantile_s(self, percent: float) -> float:
        """Return a percentile in seconds.

        Args:
            percent: The percentile, from 0 to 100.
        """
        duration_us = self._histogram.get_value_at_percentile(percent)
        return float(duration_us) / US_PER_S

    def count(self) -> int:
        """Return the number of recorded durations."""
        return int(self._histogram.get_total_count())

    def sum_s(self) -> float:
        """Return the sum of the recorded durations."""
        return self._sum_s
