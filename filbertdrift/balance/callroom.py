"""Limits the starts of requests that make calls while these calls fail."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift.balance.callkinds import CallKinds

# Outcomes of calls count with a weight that falls to 1/e in this time. At 16
# calls a second, a limit reacts to some ten outcomes.
OUTCOME_DECAY_S = 1.0
# Outcomes, weighted, before a limit begins or falls.
MIN_OUTCOMES = 4.0
# Expected calls of started requests, weighted, without which a limit does not
# begin: the calls are not made by requests that it would hold back.
MIN_STARTED = 1.0
# Time between two changes of a limit: calls started before the first have
# ended by then (deadlines are 400 to 1,026 ms, most calls take under 100 ms).
CHANGE_INTERVAL_S = 0.25
# A larger share of failed calls means that the called service is down rather
# than full, and the rate that it can serve is not known.
OUTAGE_SHARE = 0.5
FAST_GROWTH = 2.0
SLOW_GROWTH = 1.1
# The load of the called service has changed after this time, so that the rate
# at which calls failed says less; the limit then grows by MEDIUM_GROWTH.
CEILING_TTL_S = 3.0
MEDIUM_GROWTH = 1.5
# A limit ends if it has held no request back for this long.
RELEASE_AFTER_S = 1.0
# Starts, in expected calls, that may follow each other at once.
BURST_CALLS = 1.0
# Longest wait for the limit. A request that would wait for longer is refused,
# as another node may have room.
MAX_WAIT_S = 0.1


@dataclass(frozen=True, slots=True)
class Tolerance:
    """How a limit reacts to failed calls.

    Args:
        share: Share of failed calls that is tolerated.
        probe_per_s: Expected calls a second that are always allowed, so that a
            recovery is noticed.
    """

    share: float
    probe_per_s: float


# A failed run costs 0.3 of its value and its work, a start held back by mistake
# costs all of its value, so some failures are tolerated: at 0.08, the stand-in
# of a saturated called service was worth 0.02 less than at 0.25. A failed run
# that must not be repeated is lost for its caller.
TOLERATED_SHARE = 0.2
CAREFUL_TOLERATED_SHARE = 0.06
# At 46 nodes, probes are 23 calls a second, a hundredth of what a service of 30
# targets serves. With 0.2, a recovery is noticed after 7 s.
PROBE_PER_S = 0.5
IDEMPOTENT = Tolerance(TOLERATED_SHARE, PROBE_PER_S)
NON_IDEMPOTENT = Tolerance(CAREFUL_TOLERATED_SHARE, PROBE_PER_S)


class CallLimit:
    """Limit of the calls a second that started requests may make.

    Args:
        tolerance: How it reacts to failed calls.

    Attributes:
        per_s: The limit in expected calls a second, infinite for none.
    """

    def __init__(self, tolerance: Tolerance) -> None:
        """Start without a limit."""
        self.per_s = math.inf
        self._tolerance = tolerance
        # The rate to which the limit last fell, infinite if not known.
        self._ceiling_per_s = math.inf
        self._tokens = BURST_CALLS
        self._updated_at = 0.0
        self._changed_at = -math.inf
        self._fell_at = -math.inf
        self._held_back_at = -math.inf
        # Outcomes since the last fall of the limit, and all, decayed.
        self._failed = 0.0
        self._ended = 0.0
        # Expected calls of started requests, decayed.
        self._started = 0.0
        self._decayed_at = 0.0

    def record(self, *, is_failure: bool, now: float) -> None:
        """Record the outcome of a call.

        Args:
            is_failure: It failed.
            now: The time on the loop's clock.
        """
        self._decay(now)
        self._ended += 1
        self._failed += is_failure
        is_unused = self.per_s == math.inf and self._started < MIN_STARTED
        if is_unused or now - self._changed_at < CHANGE_INTERVAL_S:
            return
        # One more success counts, so that few outcomes say less.
        share = self._failed / (self._ended + 1)
        if share > self._tolerance.share and self._has_evidence():
            self._fall(share, now)
        elif self.per_s < math.inf and not is_failure:
            self._rise(now)

    def wait_s(self, now: float) -> float:
        """Return when another request may start, in seconds."""
        if self.per_s == math.inf:
            return 0
        self._refill(now)
        if self._tokens >= 0:
            return 0
        self._held_back_at = now
        return -self._tokens / self.per_s

    def take(self, calls: float, now: float) -> None:
        """Count the expected calls of a request that starts."""
        self._decay(now)
        self._started += calls
        if self.per_s < math.inf:
            self._refill(now)
            self._tokens -= calls

    def _has_evidence(self) -> bool:
        """Return whether the outcomes say enough to lower the limit.

        Under a low limit there are few.
        """
        usual = max(self.per_s * OUTCOME_DECAY_S / 2, 1)
        return self._ended >= min(MIN_OUTCOMES, usual)

    def _fall(self, share: float, now: float) -> None:
        used_per_s = self._started / OUTCOME_DECAY_S
        before_per_s = min(self.per_s, used_per_s)
        self._refill(now)
        if self.per_s == math.inf:
            self._tokens = 0
        # The rate at which the tolerated share of these calls fails.
        kept = (1 - share) / (1 - self._tolerance.share)
        self.per_s = max(before_per_s * kept, self._tolerance.probe_per_s)
        is_outage = self._failed > OUTAGE_SHARE * self._ended
        self._ceiling_per_s = math.inf if is_outage else self.per_s
        self._failed = 0
        self._ended = 0
        self._changed_at = now
        self._fell_at = now

    def _rise(self, now: float) -> None:
        self._changed_at = now
        if now - max(self._held_back_at, self._fell_at) > RELEASE_AFTER_S:
            self.per_s = math.inf
            return
        self._refill(now)
        self.per_s *= self._growth(now)
        # The next start need not wait for the rate of before.
        self._tokens = max(self._tokens, 0)

    def _growth(self, now: float) -> float:
        if self.per_s * FAST_GROWTH <= self._ceiling_per_s:
            return FAST_GROWTH
        is_recent = now - self._fell_at < CEILING_TTL_S
        return SLOW_GROWTH if is_recent else MEDIUM_GROWTH

    def _refill(self, now: float) -> None:
        if self.per_s < math.inf:
            gain = (now - self._updated_at) * self.per_s
            self._tokens = min(self._tokens + gain, BURST_CALLS)
        self._updated_at = now

    def _decay(self, now: float) -> None:
        factor = math.exp((self._decayed_at - now) / OUTCOME_DECAY_S)
        self._decayed_at = now
        self._failed *= factor
        self._ended *= factor
        self._started *= factor


class CallRoom:
    """Whether requests that make calls may start at this node."""

    def __init__(self) -> None:
        """Start without limits and with no kind known to make calls."""
        self._kinds = CallKinds()
        # By called route and whether the requests are idempotent.
        self._limits: dict[tuple[str, bool], CallLimit] = {}

    def record_run(self, kind: str, run_s: float) -> None:
        """Record that a request has run.

        Args:
            kind: Its kind.
            run_s: How long it ran, in seconds.
        """
        self._kinds.record_run(kind, run_s)

    def record_call(
        self, route: str, running: Sequence[str], now: float
    ) -> None:
        """Record that a call begins.

        Args:
            route: The called route.
            running: The kinds of the requests that the target runs.
            now: The time on the loop's clock.
        """
        self._kinds.record_call(route, running, now)

    def record_outcome(
        self, route: str, *, is_failure: bool, now: float
    ) -> None:
        """Record how a call ended.

        Args:
            route: The called route.
            is_failure: It was refused, too late, or failed.
            now: The time on the loop's clock.
        """
        for is_idempotent in (True, False):
            limit = self._find_limit(route, is_idempotent=is_idempotent)
            before_per_s = limit.per_s
            limit.record(is_failure=is_failure, now=now)
            if math.inf in {before_per_s, limit.per_s} and (
                before_per_s != limit.per_s
            ):
                _log_limit(route, limit, is_idempotent=is_idempotent)

    def wait_s(self, kind: str, *, is_idempotent: bool, now: float) -> float:
        """Return when a request of a kind may start, in seconds.

        Args:
            kind: The kind.
            is_idempotent: It may run more than once.
            now: The time on the loop's clock.
        """
        if not self._limits:
            return 0
        return max(
            (
                self._find_limit(route, is_idempotent=is_idempotent).wait_s(now)
                for route in self._kinds.calls_per_run(kind)
            ),
            default=0,
        )

    def take(self, kind: str, *, is_idempotent: bool, now: float) -> None:
        """Count a request that starts.

        Args:
            kind: Its kind.
            is_idempotent: It may run more than once.
            now: The time on the loop's clock.
        """
        for route, calls in self._kinds.calls_per_run(kind).items():
            limit = self._find_limit(route, is_idempotent=is_idempotent)
            limit.take(calls, now)

    def _find_limit(self, route: str, *, is_idempotent: bool) -> CallLimit:
        key = (route, is_idempotent)
        limit = self._limits.get(key)
        if limit is None:
            tolerance = IDEMPOTENT if is_idempotent else NON_IDEMPOTENT
            limit = self._limits.setdefault(key, CallLimit(tolerance))
        return limit


def _log_limit(route: str, limit: CallLimit, *, is_idempotent: bool) -> None:
    per_s = None if limit.per_s == math.inf else round(limit.per_s, 1)
    logger.bind(
        event='call_limit',
        route=route,
        is_idempotent=is_idempotent,
        per_s=per_s,
    ).info('requests that call {} may start: {} calls a second', route, per_s)
