"""Rate limit for expensive answers to peers, with a retry-after delay."""

import random

MS_PER_S = 1000


class RateLimit:
    """Spreads expensive work over time.

    Args:
        per_s: How many pieces of work a second are allowed.
        burst: How many may be done at once after a quiet time.
        rng: Spreads the retry-after delays.
    """

    def __init__(self, per_s: float, burst: int, rng: random.Random) -> None:
        """Start with the full burst."""
        self.deferred = 0
        self._interval_s = 1 / per_s
        self._burst_s = burst / per_s
        self._free_at = 0.0
        self._promised = 0
        self._rng = rng

    def retry_after_ms(self, now: float) -> int:
        """Take a place, or return when to ask again.

        Args:
            now: The time on the event loop's clock.

        Returns:
            Zero if the work may be done now, else milliseconds from now.
        """
        start = max(self._free_at, now - self._burst_s)
        if start <= now:
            self._free_at = start + self._interval_s
            self._promised = 0
            return 0
        self.deferred += 1
        self._promised += 1
        wait_s = start - now + self._promised * self._interval_s
        jitter = 0.5 + self._rng.random()
        return max(int(wait_s * jitter * MS_PER_S), 1)
