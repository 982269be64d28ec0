"""How long callers have been trying, by the deadlines that they state.

A latency objective counts from a caller's first attempt, but nothing in a
request says that it is a repeat. Callers of one kind state the same time at
first and what is left of it when they come back. So a time that many requests
of a route state is that of first attempts, and one that is stated seldom is a
rest of the next longer such time.
"""

import bisect
from collections import Counter

MS_PER_S = 1000
# A time is one of first attempts if that part of a route's requests states it.
# Rests differ by the millisecond; up to 20 kinds of callers can be told apart.
COMMON_SHARE = 0.05
# Requests of a route before its times are judged.
MIN_REQUESTS = 20
# Times are judged again after so many requests; older counts are halved then.
WINDOW_REQUESTS = 400


class _RouteTimes:
    """The times that the requests of one route state, in milliseconds."""

    def __init__(self) -> None:
        """Start without requests."""
        self._counts: Counter[int] = Counter()
        self._common: list[int] = []
        self._until_judged = MIN_REQUESTS

    def note(self, stated_ms: int) -> int:
        """Count a request; return how long its caller has been trying."""
        self._counts[stated_ms] += 1
        self._until_judged -= 1
        if self._until_judged <= 0:
            self._judge()
        place = bisect.bisect_left(self._common, stated_ms)
        if place == len(self._common):
            return 0
        return self._common[place] - stated_ms

    def _judge(self) -> None:
        least = self._counts.total() * COMMON_SHARE
        self._common = sorted(
            stated_ms
            for stated_ms, count in self._counts.items()
            if count >= least
        )
        self._counts = Counter(
            {
                stated_ms: count // 2
                for stated_ms, count in self._counts.items()
                if count > 1
            },
        )
        self._until_judged = WINDOW_REQUESTS


class CallerWaitEstimator:
    """Estimates how long callers have been trying, route by route."""

    def __init__(self) -> None:
        """Start without requests."""
        self._routes: dict[str, _RouteTimes] = {}

    def estimate_elapsed_s(
        self, route: str, caller_timeout_s: float | None
    ) -> float:
        """Count a request and return how long its caller has been trying.

        Args:
            route: Its route.
            caller_timeout_s: The time that the caller's deadline header
                leaves, None without that header.
        """
        if caller_timeout_s is None:
            return 0
        times = self._routes.get(route)
        if times is None:
            times = self._routes.setdefault(route, _RouteTimes())
        return times.note(round(caller_timeout_s * MS_PER_S)) / MS_PER_S

    def retain_routes(self, routes: set[str]) -> None:
        """Forget routes that no configuration has any more.

        Args:
            routes: The names of those to keep.
        """
        for name in list(self._routes):
            if name not in routes:
                self._routes.pop(name)
