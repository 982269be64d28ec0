"""Rate limit for expensive replies to peers, with a retry-after delay."""

import random

MS_PER_S = 1000


class RateLimit:
    """Limits the rate of replies, and spreads retries of the deferred ones.

    Args:
        per_s: Sustained rate, in replies a second.
        burst: How many replies are allowed at once after an idle time.
        rng: Adds jitter to the retry-after delays.

    Attributes:
        deferred: How many replies were not allowed.
    """

    def __init__(self, per_s: float, burst: int, rng: random.Random) -> None:
        """Start with the full burst."""
        self.deferred = 0
        self._interval_s = 1 / per_s
        self._burst_s = burst / per_s
        self._next_allowed_at = 0.0
        # Deferrals since the last allowed reply; each retries one interval
        # later than the one before it.
        self._pending_retries = 0
        self._rng = rng

    def retry_after_ms(self, now: float) -> int:
        """Allow one reply now, or return the delay after which to retry.

        Args:
            now: The time on the event loop's clock.

        Returns:
            Zero if the reply is allowed, else the delay in milliseconds.
        """
        start = max(self._next_allowed_at, now - self._burst_s)
        if start <= now:
            self._next_allowed_at = start + self._interval_s
            self._pending_retries = 0
            return 0
        self.deferred += 1
        self._pending_retries += 1
        wait_s = start - now + self._pending_retries * self._interval_s
        jitter = 0.5 + self._rng.random()
        return max(int(wait_s * jitter * MS_PER_S), 1)
