"""The default cost source: mean and deviation of service times by kind."""

from collections import defaultdict

from filbertdrift.balance.estimate import (
    CostEstimate,
    CostSource,
    RequestFeatures,
)

# Estimated service time before the first request has ended.
FIRST_SERVICE_TIME_S = 0.05
SERVICE_TIME_WEIGHT = 0.1
# Nine in ten requests take at most the mean and this many mean deviations, if
# the service times are distributed normally (1.28 standard deviations).
HIGH_DEVIATIONS = 1.6
# Least expected remaining time of a running request, as a share of the mean:
# service times are spread, and one that has passed the mean is not at its end.
MIN_REMAINING_SHARE = 0.25


class KindCosts(CostSource):
    """Moving averages of service times by kind, which is the route.

    Attributes:
        mean_s: Moving average of the service time of all requests.
    """

    def __init__(self) -> None:
        """Start without service times."""
        self.mean_s = FIRST_SERVICE_TIME_S
        self._means_s: dict[str, float] = defaultdict(lambda: self.mean_s)
        self._deviations_s: dict[str, float] = defaultdict(float)

    def kind_mean_s(self, kind: str) -> float:
        """Return the mean service time of a kind, that of all when new."""
        return self._means_s[kind]

    def kind_deviation_s(self, kind: str) -> float:
        """Return the mean deviation from the mean service time of a kind."""
        return self._deviations_s[kind]

    def record_kind(self, kind: str, service_time_s: float) -> None:
        """Record the service time of a request that has ended."""
        previous_s = self._means_s[kind]
        step = SERVICE_TIME_WEIGHT
        difference_s = service_time_s - previous_s
        self._means_s[kind] = previous_s + step * difference_s
        self._deviations_s[kind] += step * (
            abs(difference_s) - self._deviations_s[kind]
        )
        self.mean_s += step * (service_time_s - self.mean_s)

    def estimate(self, features: RequestFeatures) -> CostEstimate:
        """Return the expected service time of a request."""
        mean_s = self._means_s[features.route]
        deviation_s = self._deviations_s[features.route]
        return CostEstimate(mean_s, mean_s + HIGH_DEVIATIONS * deviation_s)

    def remaining_s(self, features: RequestFeatures, elapsed_s: float) -> float:
        """Return what a request is expected to need after it ran a while."""
        mean_s = self._means_s[features.route]
        least_s = max(
            mean_s * MIN_REMAINING_SHARE, self._deviations_s[features.route]
        )
        return max(mean_s - elapsed_s, least_s)

    def record(self, features: RequestFeatures, service_time_s: float) -> None:
        """Record the service time of a request that has ended."""
        self.record_kind(features.route, service_time_s)
