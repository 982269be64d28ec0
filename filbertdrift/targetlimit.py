"""The rate of requests that a target takes, and what was sent to it.

Only the node beside a target hands it requests, so its gate keeps the limit for
all nodes together.
"""

import asyncio
from collections import deque

from loguru import logger

# The time over which the rate that was sent is counted.
RATE_WINDOW_S = 4.0
# Requests that may be sent at once after an idle time, in seconds of the limit
# but at least one. It makes up for timers that fire late.
BURST_S = 0.1
# A target that gets no requests cannot say that its limit has ended.
LOWEST_RATE_PER_S = 0.1
# When a limit begins or falls, what was sent within RECENT_S counts against it,
# but for ALLOWANCE_S of the limit: that was sent before this node knew.
RECENT_S = 1.0
ALLOWANCE_S = 2.0
# The longest pause because of it, in seconds of the limit.
MAX_DEBT_S = 2.25
# Differences of tokens that rounding can cause.
EPSILON = 1e-6


class TargetLimit:
    """Paces requests to a target that states a limit (token bucket).

    Args:
        instance: Id of the target's instance, for log lines.

    Attributes:
        per_s: The limit in force in requests a second, None for no limit.
    """

    def __init__(self, instance: str = '') -> None:
        """Start without a limit."""
        self.per_s: float | None = None
        self._instance = instance
        self._tokens = 1.0
        self._updated_at = 0.0
        # The last response that stated the limit arrived then.
        self._stated_at = float('-inf')
        self._has_statement = False
        # When requests were sent, within RATE_WINDOW_S.
        self._sent_at: deque[float] = deque()

    def record(self, per_s: float | None, sent_at: float) -> None:
        """Record what a response of the target states.

        Args:
            per_s: The limit, None if the response states none.
            sent_at: When its request was sent, on the loop's clock.
        """
        now = _now()
        self._has_statement = True
        if per_s is None and sent_at < self._stated_at:
            # It may be older than the response that stated the limit.
            return
        if per_s is not None:
            self._stated_at = now
        self._set(per_s, now)

    def adopt(self, per_s: float) -> None:
        """Use a limit that another node knows until the target responds."""
        if not self._has_statement and self.per_s is None:
            self._set(per_s, _now())

    def take(self) -> None:
        """Count a request that is sent to the target now."""
        now = _now()
        if self.per_s is not None:
            self._refill(now)
            self._tokens -= 1
        self._sent_at.append(now)
        self._drop_before(now - RATE_WINDOW_S)

    def wait_s(self, ahead: int = 0) -> float:
        """Return how long the limit makes the next request wait.

        Args:
            ahead: Requests that are sent before it.
        """
        if self.per_s is None:
            return 0
        self._refill(_now())
        lacking = ahead + 1 - self._tokens
        return lacking / self._rate_per_s if lacking > EPSILON else 0

    def explain(self, reason: str, wait_s: float) -> str:
        """Add the limit to the reason of a refusal if it makes requests wait.

        Args:
            reason: The reason.
            wait_s: How long the limit makes the next request wait.
        """
        if not wait_s:
            return reason
        return f'{reason}: the target takes {self.per_s:g} a second'

    def sent_per_s(self) -> float:
        """Return the rate of requests sent within RATE_WINDOW_S."""
        self._drop_before(_now() - RATE_WINDOW_S)
        return len(self._sent_at) / RATE_WINDOW_S

    @property
    def _rate_per_s(self) -> float:
        return max(self.per_s or 0, LOWEST_RATE_PER_S)

    @property
    def _burst(self) -> float:
        return max(1.0, self._rate_per_s * BURST_S)

    def _refill(self, now: float) -> None:
        if self.per_s is not None:
            gain = (now - self._updated_at) * self._rate_per_s
            self._tokens = min(self._tokens + gain, self._burst)
        self._updated_at = now

    def _set(self, per_s: float | None, now: float) -> None:
        before = self.per_s
        if per_s == before:
            return
        self._refill(now)
        self.per_s = per_s
        if per_s is not None and (before is None or per_s < before):
            tokens = self._burst if before is None else self._tokens
            self._tokens = min(tokens, self._tokens_after_start(now))
        logger.bind(
            event='target_limit',
            instance=self._instance,
            limit_per_s=per_s,
            before_per_s=before,
            sent_per_s=self.sent_per_s(),
        ).info('the target takes {} requests a second', per_s)

    def _tokens_after_start(self, now: float) -> float:
        """Return the tokens left by what was sent just before."""
        sent = sum(sent_at > now - RECENT_S for sent_at in self._sent_at)
        tokens = self._rate_per_s * ALLOWANCE_S - sent
        return max(tokens, -self._rate_per_s * MAX_DEBT_S)

    def _drop_before(self, earliest: float) -> None:
        while self._sent_at and self._sent_at[0] < earliest:
            self._sent_at.popleft()


def _now() -> float:
    return asyncio.get_running_loop().time()
