"""Estimates of how long callers have been retrying, from their timeouts.

A latency objective counts from a caller's first attempt, but requests do not
show whether they are retries. Callers of one kind send the same timeout with
each first attempt, and the time that remains of it with each retry. So a
timeout that many requests of a route have is that of first attempts, and a
rare one is what remains of the next longer common timeout.
"""

import bisect
from collections import Counter

MS_PER_S = 1000
# A timeout with at least this share of a route's requests is common: that of
# first attempts. Remaining times differ by milliseconds, so each stays rare.
# Up to 20 kinds of callers can be distinguished.
COMMON_SHARE = 0.05
# Requests of a route before its common timeouts are first determined.
MIN_REQUESTS = 20
# Requests after which they are determined again and older counts are halved.
WINDOW_REQUESTS = 400


class _RouteTimeouts:
    """The timeouts of one route's requests, in milliseconds."""

    def __init__(self) -> None:
        """Start without requests."""
        self._counts: Counter[int] = Counter()
        self._common: list[int] = []
        self._until_update = MIN_REQUESTS

    def record(self, timeout_ms: int) -> int:
        """Count a request; return for how long its caller has been retrying."""
        self._counts[timeout_ms] += 1
        self._until_update -= 1
        if self._until_update <= 0:
            self._update_common()
        index = bisect.bisect_left(self._common, timeout_ms)
        if index == len(self._common):
            return 0
        return self._common[index] - timeout_ms

    def _update_common(self) -> None:
        least = self._counts.total() * COMMON_SHARE
        self._common = sorted(
            timeout_ms
            for timeout_ms, count in self._counts.items()
            if count >= least
        )
        self._counts = Counter(
            {
                timeout_ms: count // 2
                for timeout_ms, count in self._counts.items()
                if count > 1
            },
        )
        self._until_update = WINDOW_REQUESTS


class CallerWaitEstimator:
    """Estimates how long callers have been retrying, by route."""

    def __init__(self) -> None:
        """Start without requests."""
        self._routes: dict[str, _RouteTimeouts] = {}

    def estimate_elapsed_s(
        self, route: str, caller_timeout_s: float | None
    ) -> float:
        """Count a request; return for how long its caller has been retrying.

        Args:
            route: The name of its route.
            caller_timeout_s: The timeout in its deadline header, None if
                absent.
        """
        if caller_timeout_s is None:
            return 0
        times = self._routes.get(route)
        if times is None:
            times = self._routes.setdefault(route, _RouteTimeouts())
        return times.record(round(caller_timeout_s * MS_PER_S)) / MS_PER_S

    def retain_routes(self, routes: set[str]) -> None:
        """Drop all routes but the given ones.

        Args:
            routes: Names of the routes in force.
        """
        for name in list(self._routes):
            if name not in routes:
                self._routes.pop(name)
