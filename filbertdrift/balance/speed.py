"""Speed of a target: relative to others of its service, and at present."""

from dataclasses import dataclass

PERCENT = 100.0
# Sums are multiplied by this for each request: about the last 200 count, some
# ten seconds at a busy target. Three long requests in a hundred then move the
# speed by a tenth.
SPEED_DECAY = 0.995
# Requests that a speed of 1 counts for.
PRIOR_RECORDS = 4.0
# Only ratios of speeds can be observed. A weak pull to 1 keeps the speeds and
# costs of a service from drifting together.
PULL_EXPONENT = 0.9
# A longer service time counts for this many times the cost: the target stalled.
MAX_COSTS = 10.0
MIN_SPEED = 0.1
MAX_SPEED = 10.0
# Episodes in which a target is slow by another load on its machine last 0.6 s.
SLOWDOWN_HALF_LIFE_S = 0.6


@dataclass(frozen=True, slots=True)
class Slowdown:
    """How long work takes at a target, in percent, as stated at a time.

    Args:
        percent: 100 for the usual.
        stated_at: When it was stated, on the event loop's clock.
    """

    percent: float
    stated_at: float

    def factor(self, now: float) -> float:
        """Return how many times as long work takes; it fades to 1.

        Args:
            now: The time on the event loop's clock.
        """
        age_s = max(now - self.stated_at, 0)
        fresh = 0.5 ** (age_s / SLOWDOWN_HALF_LIFE_S)
        return 1 + (self.percent / PERCENT - 1) * fresh


class SpeedMeter:
    """Speed of one target, from what its requests cost elsewhere.

    Attributes:
        slowdown: The newest figure that the target stated, if any.
    """

    def __init__(self) -> None:
        """Start at the usual speed."""
        self.slowdown: Slowdown | None = None
        self._costs_s = 0.0
        self._times_s = 0.0
        self._records = 0.0

    @property
    def base(self) -> float:
        """Return the speed at a slowdown of 100 percent; 1 is the usual."""
        if not self._records:
            return 1
        prior_s = PRIOR_RECORDS * self._costs_s / self._records
        ratio = (self._costs_s + prior_s) / (self._times_s + prior_s)
        return min(max(ratio**PULL_EXPONENT, MIN_SPEED), MAX_SPEED)

    def current(self, now: float) -> float:
        """Return the speed at present.

        Args:
            now: The time on the event loop's clock.
        """
        if self.slowdown is None:
            return self.base
        return self.base / self.slowdown.factor(now)

    def record(self, cost_s: float, service_time_s: float, now: float) -> None:
        """Record a request that the target has run.

        Args:
            cost_s: What it was expected to cost at a target of usual speed.
            service_time_s: How long the target ran it.
            now: The time on the event loop's clock.
        """
        if cost_s <= 0:
            return
        if self.slowdown is not None:
            service_time_s /= self.slowdown.factor(now)
        service_time_s = min(service_time_s, cost_s * MAX_COSTS)
        self._costs_s = self._costs_s * SPEED_DECAY + cost_s
        self._times_s = self._times_s * SPEED_DECAY + service_time_s
        self._records = self._records * SPEED_DECAY + 1
