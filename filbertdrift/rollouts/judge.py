"""Sequential judgement of a new version against the old one.

For each route and over all routes, failures and slow responses of the new
version feed a cumulative sum (CUSUM) of log-likelihood ratios: "as good as the
old version lately" against "several times worse", and for latency also "a part
of the responses is several times slower".
"""

import math
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from itertools import accumulate

from filbertdrift.rollouts.counts import (
    BUCKETS,
    Outcomes,
    RouteCounts,
    bucket_end_s,
)

# Limit of the sums. None of 400 simulated roll-outs of a good version passed
# it, of six routes and 150 responses of the new version each; 9 of 10 stayed
# below 4.
ALARM = 10.0
# A shift waits while a sum is higher: the evidence is not clear.
DOUBT = 6.0
# Failure probabilities: at least this under "good", and under "bad" this many
# times as high, and higher by this at least.
MIN_FAILURE_SHARE = 0.005
BAD_FAILURE_RATIO = 4.0
BAD_FAILURE_GAIN = 0.03
# A slow version: its latencies are those of the old one, longer by these many
# buckets of sqrt(2), with these weights: 2.8, 5.7 and 16 times. In the shift,
# where queues change as well, 4, 8 and 16 times.
TRIAL_SLOWDOWN = ((3, 0.5), (5, 0.3), (8, 0.2))
SHIFT_SLOWDOWN = ((4, 0.5), (6, 0.3), (8, 0.2))
# A version that is slow in part: this share of its responses takes 4 to 16
# times as long.
SLOW_PART = 0.3
PART_SLOWDOWN = ((4, 0.25), (5, 0.25), (6, 0.25), (8, 0.25))
# Responses that each bucket has in advance: a bucket without responses of the
# old version is unlikely, not impossible.
PRIOR_RESPONSES = 0.5
# Evidence of one response at most, since some requests are odd.
MAX_RATIO = 2.0
MAX_BAD_SHARE = 0.9
# Responses of the old version that say enough about its latency.
MIN_OLD_SAMPLES = 20
# A disruption that hits both versions shows in the old one's last second; its
# rate without disruption in its last ten.
SHORT_WINDOW_S = 1.2
LONG_WINDOW_S = 10.0
ALL_ROUTES = '(all)'


@dataclass(slots=True)
class _RouteEvidence:
    """What is known of one route.

    Args:
        recent: Responses of the old version by time of arrival.
        failing: Sum of the failures' ratios.
        slow: Sum of the slow responses' ratios.
        partly_slow: The same, if a part of the responses is slow.
        shifted: Responses of the new version in the shift whose latency
            counts.
        new: All responses of the new version.
    """

    recent: deque[tuple[float, Outcomes]] = field(default_factory=deque)
    failing: float = 0.0
    slow: float = 0.0
    partly_slow: float = 0.0
    shifted: int = 0
    new: Outcomes = field(default_factory=Outcomes)

    @property
    def highest(self) -> float:
        """Return the highest of the sums."""
        return max(self.failing, self.slow, self.partly_slow)

    def add_slow(self, ratios: '_SlowRatios') -> None:
        """Add the ratios of some responses."""
        self.slow = max(self.slow + ratios.all_slow, 0)
        self.partly_slow = max(self.partly_slow + ratios.partly_slow, 0)

    def old_since(self, since: float) -> Outcomes:
        """Return the old version's responses since a time."""
        found = Outcomes()
        for at, outcomes in self.recent:
            if at >= since:
                found.add(outcomes)
        return found

    def find_windows(self) -> tuple[Outcomes, Outcomes]:
        """Return the old version's responses in the long and short window."""
        newest_at = self.recent[-1][0] if self.recent else 0
        return (
            self.old_since(newest_at - LONG_WINDOW_S),
            self.old_since(newest_at - SHORT_WINDOW_S),
        )


@dataclass(slots=True)
class _SlowRatios:
    """Log-likelihood ratios of the latencies of some responses.

    Args:
        all_slow: That the version is slow.
        partly_slow: That a part of its responses is.
    """

    all_slow: float = 0.0
    partly_slow: float = 0.0

    def add(self, other: '_SlowRatios') -> None:
        """Add those of other responses."""
        self.all_slow += other.all_slow
        self.partly_slow += other.partly_slow


@dataclass(frozen=True, slots=True)
class Verdict:
    """Why a version is bad.

    Args:
        reason: The route, the kind of fault and the counts.
    """

    reason: str


class Judge:
    """Judges the new version of one service while it is rolled out.

    Attributes:
        verdict: Why the version is bad, None while it is not known to be.
        is_loaded: All requests have gone to the new version for as long as
            responses usually take.
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self.verdict: Verdict | None = None
        self._routes: dict[str, _RouteEvidence] = {}
        self.is_loaded = False
        self._waiting_doubt = 0.0
        # Sum of the ratios of "slow in part" under the load of the shift, and
        # those of the attempts that wait.
        self._loaded_ratio = 0.0
        self._waiting_ratio = 0.0

    @property
    def doubt(self) -> float:
        """Return the highest of the sums.

        Attempts that wait for a response count as far as they already took.
        """
        return max(
            self._waiting_doubt,
            *(evidence.highest for evidence in self._routes.values()),
            0,
        )

    @property
    def responses(self) -> int:
        """Return the number of responses of the new version."""
        evidence = self._routes.get(ALL_ROUTES)
        return evidence.new.total if evidence else 0

    @property
    def loaded_evidence(self) -> float | None:
        """Return the ratio of "slow in part" under the load of the shift.

        Below zero, the version is more likely to be good; None if too few
        responses of the old version are known to compare with.
        """
        evidence = self._routes.get(ALL_ROUTES)
        if evidence is None or evidence.old_since(0).near < MIN_OLD_SAMPLES:
            return None
        return self._loaded_ratio + self._waiting_ratio

    @property
    def has_old_responses(self) -> bool:
        """Return whether any response of the old version is known."""
        evidence = self._routes.get(ALL_ROUTES)
        return evidence is not None and bool(evidence.recent)

    @property
    def usual_latency_s(self) -> float:
        """Return a latency that half of the old version's do not exceed."""
        evidence = self._routes.get(ALL_ROUTES)
        old = evidence.old_since(0) if evidence else Outcomes()
        return bucket_end_s(_quantile(old, 1 / 2)) if old.near else 0

    def record(
        self,
        fresh: Mapping[str, RouteCounts],
        now: float,
        *,
        is_shifted: bool,
    ) -> None:
        """Add counts that have arrived since the last call.

        Args:
            fresh: Counts by route.
            now: The time on the loop's clock.
            is_shifted: All requests go to the new version.
        """
        total = RouteCounts()
        slow = _SlowRatios()
        for route, counts in fresh.items():
            windows = self._add(route, counts, now, is_shifted=is_shifted)
            ratios = _slow_ratios(counts.new, windows, is_shifted=is_shifted)
            self._judge(route, counts.new, windows, ratios)
            total.old.add(counts.old)
            total.new.add(counts.new)
            slow.add(ratios)
        if fresh:
            windows = self._add(ALL_ROUTES, total, now, is_shifted=is_shifted)
            self._judge(ALL_ROUTES, total.new, windows, slow)
        if self.is_loaded:
            self._loaded_ratio += slow.partly_slow

    def weigh_waiting(
        self, waiting: Mapping[str, Sequence[int]], shifted_s: float
    ) -> None:
        """Weigh the attempts at the new version that wait for a response.

        They add to the doubt only: that a target does not respond may also be
        due to the link.

        Args:
            waiting: Their numbers by route and bucket of their age.
            shifted_s: Time since the shift.
        """
        total = [0] * BUCKETS
        doubts = [0.0]
        for route, ages in waiting.items():
            doubts.append(self._weigh_route(route, ages, shifted_s))
            total = [
                one + other for one, other in zip(total, ages, strict=True)
            ]
        doubt = self._weigh_route(ALL_ROUTES, total, shifted_s)
        everything = self._routes.get(ALL_ROUTES) or _RouteEvidence()
        self._waiting_ratio = doubt - everything.partly_slow
        self._waiting_doubt = max(doubt, *doubts)

    def describe(self) -> dict[str, object]:
        """Return the evidence as fields of a log line."""
        evidence = self._routes.get(ALL_ROUTES) or _RouteEvidence()
        old = Outcomes()
        for _, outcomes in evidence.recent:
            old.add(outcomes)
        return {
            'new_responses': evidence.new.total,
            'new_failures': evidence.new.failures,
            'old_responses': old.total,
            'old_failures': old.failures,
            'doubt': round(self.doubt, 2),
        }

    def _weigh_route(
        self, route: str, ages: Sequence[int], shifted_s: float
    ) -> float:
        evidence = self._routes.get(route)
        if evidence is None or shifted_s <= 0:
            return 0
        rate_per_s = (evidence.shifted + sum(ages)) / shifted_s
        ratios = [
            _waiting_ratio(ages, old, rate_per_s, shifted_s)
            for old in evidence.find_windows()
            if old.near >= MIN_OLD_SAMPLES
        ]
        return evidence.partly_slow + min(ratios, default=0)

    def _add(
        self,
        route: str,
        counts: RouteCounts,
        now: float,
        *,
        is_shifted: bool,
    ) -> tuple[Outcomes, Outcomes]:
        """Add counts; return the old version's in the long and short window."""
        evidence = self._routes.setdefault(route, _RouteEvidence())
        evidence.new.add(counts.new)
        evidence.shifted += counts.new.near if is_shifted else 0
        recent = evidence.recent
        if counts.old.total:
            recent.append((now, counts.old))
        # After the shift the old version responds no more.
        while recent and not is_shifted and now - recent[0][0] > LONG_WINDOW_S:
            recent.popleft()
        return evidence.find_windows()

    def _judge(
        self,
        route: str,
        new: Outcomes,
        windows: tuple[Outcomes, Outcomes],
        slow: _SlowRatios,
    ) -> None:
        if not new.total:
            return
        evidence = self._routes[route]
        evidence.failing = _add_failures(evidence.failing, new, windows)
        evidence.add_slow(slow)
        self._conclude(route, evidence)

    def _conclude(self, route: str, evidence: _RouteEvidence) -> None:
        if self.verdict or evidence.highest < ALARM:
            return
        kind = 'is slow'
        if evidence.failing >= ALARM:
            kind = 'fails'
        elif evidence.slow < ALARM:
            kind = 'is slow in part'
        new, old = evidence.new, evidence.old_since(0)
        self.verdict = Verdict(
            f'{kind} on {route}: {new.failures} of {new.total} failed,'
            f' old {old.failures} of {old.total};'
            f' median bucket {_quantile(new, 1 / 2)},'
            f' old {_quantile(old, 1 / 2)}'
        )


def _add_failures(
    before: float, new: Outcomes, windows: tuple[Outcomes, Outcomes]
) -> float:
    good = MIN_FAILURE_SHARE
    for old in windows:
        if old.total:
            # One more response than there were, half of it failed: a short
            # window without failures says little.
            share = (old.failures + 1 / 2) / (old.total + 1)
            good = max(good, share if old.failures else 0)
    bad = max(good * BAD_FAILURE_RATIO, good + BAD_FAILURE_GAIN)
    return _add_ratio(before, new.failures, new.total, good, bad)


def _slow_ratios(
    new: Outcomes, windows: tuple[Outcomes, Outcomes], *, is_shifted: bool
) -> _SlowRatios:
    """Return the log-likelihood ratios of "slow" of some responses.

    Args:
        new: The responses.
        windows: Those of the old version in the long and the short window.
        is_shifted: All requests go to the new version.
    """
    slowdown = SHIFT_SLOWDOWN if is_shifted else TRIAL_SLOWDOWN
    known = [old for old in windows if old.near >= MIN_OLD_SAMPLES]
    return _SlowRatios(
        _sum_lowest(
            new.latencies, [_bucket_ratios(old, slowdown) for old in known]
        ),
        _sum_lowest(
            new.latencies,
            [_bucket_ratios(old, PART_SLOWDOWN, SLOW_PART) for old in known],
        ),
    )


def _waiting_ratio(
    ages: Sequence[int], old: Outcomes, rate_per_s: float, shifted_s: float
) -> float:
    """Return the ratio of "slow in part" of the attempts that wait.

    How many wait in each bucket of age is Poisson distributed; its mean is
    the rate of attempts, times the width of the bucket, times the share of
    attempts that take so long.

    Args:
        ages: Their numbers by bucket of age.
        old: Responses of the old version.
        rate_per_s: Attempts a second.
        shifted_s: Time since the shift: none waits for longer.
    """
    good = _shares(old)
    usual = _waiting_shares(good)
    slower = _waiting_shares(_slowed(good, PART_SLOWDOWN, SLOW_PART))
    ratio = 0.0
    begin_s = 0.0
    for bucket, one in enumerate(slower):
        end_s = min(bucket_end_s(bucket), shifted_s)
        excess = rate_per_s * (end_s - begin_s) * (one - usual[bucket])
        ratio += ages[bucket] * math.log(one / usual[bucket]) - excess
        begin_s = end_s
    return ratio


def _waiting_shares(shares: Sequence[float]) -> Sequence[float]:
    """Return the share of attempts that wait, on average in each bucket."""
    longer = tuple(reversed(tuple(accumulate(reversed(shares)))))
    return [
        at_begin - share / 2
        for at_begin, share in zip(longer, shares, strict=True)
    ]


def _sum_lowest(
    counts: Sequence[int], ratios: Sequence[Sequence[float]]
) -> float:
    """Return the sum of ratios over buckets, the lowest of each bucket."""
    if not ratios:
        return 0
    lowest = [min(column) for column in zip(*ratios, strict=True)]
    return sum(
        count * ratio for count, ratio in zip(counts, lowest, strict=True)
    )


def _bucket_ratios(
    old: Outcomes,
    slowdown: Sequence[tuple[int, float]],
    slow_share: float = 1,
) -> Sequence[float]:
    """Return the log-likelihood ratio of "slow" of one response by bucket.

    Args:
        old: Responses of the old version.
        slowdown: By how many buckets slow responses are slower, with weights.
        slow_share: The share of responses that are slow.
    """
    good = _shares(old)
    return _clipped_ratios(_slowed(good, slowdown, slow_share), good)


def _shares(old: Outcomes) -> Sequence[float]:
    """Return the share of the old version's responses in each bucket."""
    total = old.near + PRIOR_RESPONSES * BUCKETS
    return [(count + PRIOR_RESPONSES) / total for count in old.latencies]


def _slowed(
    good: Sequence[float],
    slowdown: Sequence[tuple[int, float]],
    slow_share: float,
) -> Sequence[float]:
    """Return the shares by bucket if a share of responses is slower."""
    bad = [share * (1 - slow_share) for share in good]
    for bucket, share in enumerate(good):
        for shift, weight in slowdown:
            slower = min(bucket + shift, BUCKETS - 1)
            bad[slower] += share * weight * slow_share
    return bad


def _clipped_ratios(
    bad: Sequence[float], good: Sequence[float]
) -> Sequence[float]:
    return [
        max(min(math.log(one / other), MAX_RATIO), -MAX_RATIO)
        if one
        else -MAX_RATIO
        for one, other in zip(bad, good, strict=True)
    ]


def _add_ratio(
    before: float, hits: int, total: int, good: float, bad: float
) -> float:
    """Add the log-likelihood ratio of some responses to a sum.

    Args:
        before: The sum.
        hits: How many are failures, or slow.
        total: How many there are.
        good: The probability of a hit of a good version.
        bad: That of a bad one.
    """
    bad = min(bad, MAX_BAD_SHARE)
    if bad <= good:
        return before
    misses = total - hits
    ratio = hits * math.log(bad / good)
    ratio += misses * math.log((1 - bad) / (1 - good))
    return max(before + ratio, 0)


def _quantile(outcomes: Outcomes, share: float) -> int:
    """Return the bucket of a quantile, 0 without responses."""
    left = outcomes.near * share
    for bucket in range(BUCKETS):
        left -= outcomes.latencies[bucket]
        if left <= 0:
            return bucket
    return BUCKETS - 1
