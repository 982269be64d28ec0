"""Quantile sketch of service times: bounded, fading, robust to odd values."""

from bisect import bisect_right

BUCKETS = 48
LEAST_S = 0.001
# An estimate is within half of it; 48 buckets then reach from 1 ms to 45 s.
BUCKET_RATIO = 1.25
# All weights are halved after this many records, some 20 s at a busy target.
HALVING_RECORDS = 700
# A value counts for at most this many times the ninth decile: what takes seven
# times the mean is common and stays below it, a stall does not.
MAX_NINTH_DECILES = 6.0
# Values are not limited before there is this much evidence.
MIN_TO_LIMIT = 20.0
# Tables for quantiles and remaining times are built anew after as many records.
TABLE_RECORDS = 16
HIGH_SHARE = 0.9
# Beyond all values seen, the remaining time is taken for this share of the
# time spent, as in a distribution with a heavy tail.
TAIL_SHARE = 0.5
MIN_TAIL_WEIGHT = 0.5

_LOWER_S = tuple(LEAST_S * BUCKET_RATIO**index for index in range(BUCKETS))


class ServiceTimeSketch:
    """Distribution of the service times of one class of requests.

    Attributes:
        weight: Effective number of records.
    """

    __slots__ = (
        '_high_s',
        '_left_to_halve',
        '_records_to_tables',
        '_sum_s',
        '_sums_s',
        '_tail_means_s',
        '_weights',
        'weight',
    )

    def __init__(self) -> None:
        """Start without records."""
        self.weight = 0.0
        self._weights = [0.0] * BUCKETS
        self._sums_s = [0.0] * BUCKETS
        self._sum_s = 0.0
        self._high_s = 0.0
        self._tail_means_s: list[float] = []
        self._left_to_halve = HALVING_RECORDS
        self._records_to_tables = 0

    @property
    def mean_s(self) -> float:
        """Return the mean, zero without records."""
        return self._sum_s / self.weight if self.weight else 0

    @property
    def high_s(self) -> float:
        """Return the time that nine in ten take at most."""
        self._build_tables_if_due()
        return self._high_s

    def record(self, service_time_s: float) -> None:
        """Record one service time.

        Args:
            service_time_s: The service time in seconds.
        """
        if self.weight >= MIN_TO_LIMIT:
            limit_s = self.high_s * MAX_NINTH_DECILES
            service_time_s = min(service_time_s, limit_s)
        index = _find_bucket(service_time_s)
        self.weight += 1
        self._weights[index] += 1
        self._sums_s[index] += service_time_s
        self._sum_s += service_time_s
        self._records_to_tables -= 1
        self._left_to_halve -= 1
        if not self._left_to_halve:
            self._halve()

    def remaining_s(self, elapsed_s: float) -> float:
        """Return the mean of what is left after some time.

        Args:
            elapsed_s: How long the request has run.
        """
        self._build_tables_if_due()
        if not self._tail_means_s:
            return 0
        tail_mean_s = self._tail_means_s[_find_bucket(elapsed_s)]
        left_s = tail_mean_s - elapsed_s
        return left_s if left_s > 0 else elapsed_s * TAIL_SHARE

    def _halve(self) -> None:
        self._left_to_halve = HALVING_RECORDS
        self.weight /= 2
        self._sum_s /= 2
        self._weights = [weight / 2 for weight in self._weights]
        self._sums_s = [sum_s / 2 for sum_s in self._sums_s]

    def _build_tables_if_due(self) -> None:
        if self._records_to_tables > 0 or not self.weight:
            return
        self._records_to_tables = TABLE_RECORDS if self.weight > 2 else 1
        above = (1 - HIGH_SHARE) * self.weight
        tail_weight = 0.0
        tail_sum_s = 0.0
        high_s = 0.0
        means_s = [0.0] * BUCKETS
        for index in range(BUCKETS - 1, -1, -1):
            tail_weight += self._weights[index]
            tail_sum_s += self._sums_s[index]
            if not high_s and tail_weight > above:
                high_s = _LOWER_S[index] * BUCKET_RATIO
            if tail_weight >= MIN_TAIL_WEIGHT:
                means_s[index] = tail_sum_s / tail_weight
        self._high_s = high_s
        self._tail_means_s = means_s


def _find_bucket(time_s: float) -> int:
    return max(bisect_right(_LOWER_S, time_s) - 1, 0)
