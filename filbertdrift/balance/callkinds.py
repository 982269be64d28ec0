"""Learns which kinds of requests make calls while the target runs them."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

# Runs of a kind before it is known whether it makes calls.
MIN_RUNS = 20
# Runs of a kind after which its older evidence is halved.
WINDOW_RUNS = 400
# A kind that makes fewer calls a run makes none as far as limits go: a few
# calls of kinds that ran beside it are attributed to it by mistake.
MIN_CALLS_PER_RUN = 0.2
# Stands for the sources of calls other than requests that run here.
BACKGROUND = ''
# Seconds of the background before its older evidence is halved.
BACKGROUND_WINDOW_S = 60.0
# Evidence of a rate before anything is known, so that a kind without calls
# keeps a small part of the calls: one call in this many seconds.
PRIOR_S = 1.0
PRIOR_CALLS = 0.05


@dataclass(slots=True)
class _Exposure:
    """How often and how long requests of a kind have run."""

    runs: float = 0.0
    run_s: float = 0.0


class CallKinds:
    """Calls that each kind of request makes, by called route.

    A call cannot be matched to the request that made it. It is divided among
    the requests that run at that time and the background, in proportion to the
    rate at which each makes calls as far as known (expectation maximization).
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self._exposures: dict[str, _Exposure] = defaultdict(_Exposure)
        # Calls by called route and kind.
        self._calls: dict[str, dict[str, float]] = {}
        self._background_at: float | None = None

    def record_run(self, kind: str, run_s: float) -> None:
        """Record that a request has run.

        Args:
            kind: Its kind.
            run_s: How long it ran, in seconds.
        """
        exposure = self._exposures[kind]
        exposure.runs += 1
        exposure.run_s += run_s
        if exposure.runs > WINDOW_RUNS:
            self._halve(kind)

    def record_call(
        self, route: str, running: Sequence[str], now: float
    ) -> None:
        """Attribute a call to the requests that run now.

        Args:
            route: The called route.
            running: The kinds of the running requests.
            now: The time on the loop's clock.
        """
        self._record_background(now)
        calls = self._calls.setdefault(route, defaultdict(float))
        sources = [*running, BACKGROUND]
        rates = [self._rate_per_s(calls, kind) for kind in sources]
        total = sum(rates)
        for kind, rate in zip(sources, rates, strict=True):
            calls[kind] += rate / total

    def calls_per_run(self, kind: str) -> dict[str, float]:
        """Return the called routes of a kind and its calls to each per run."""
        exposure = self._exposures.get(kind)
        if exposure is None or exposure.runs < MIN_RUNS:
            return {}
        per_run = {
            route: calls.get(kind, 0) / exposure.runs
            for route, calls in self._calls.items()
        }
        return {
            route: count
            for route, count in per_run.items()
            if count >= MIN_CALLS_PER_RUN
        }

    def _rate_per_s(self, calls: dict[str, float], kind: str) -> float:
        exposure = self._exposures[kind]
        made = calls.get(kind, 0) + PRIOR_CALLS
        return made / (exposure.run_s + PRIOR_S)

    def _record_background(self, now: float) -> None:
        if self._background_at is not None:
            exposure = self._exposures[BACKGROUND]
            exposure.run_s += now - self._background_at
            if exposure.run_s > BACKGROUND_WINDOW_S:
                self._halve(BACKGROUND)
        self._background_at = now

    def _halve(self, kind: str) -> None:
        exposure = self._exposures[kind]
        exposure.runs /= 2
        exposure.run_s /= 2
        for calls in self._calls.values():
            calls[kind] = calls.get(kind, 0) / 2
