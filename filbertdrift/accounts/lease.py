"""The tokens of one account that this node holds."""

import asyncio
import math
from collections import deque
from dataclasses import dataclass, field

from filbertdrift.accounts.pledges import KeeperId
from filbertdrift.accounts.quota_bounds import LEASE_S
from filbertdrift.gen import ttypes

# Tokens are asked ahead of demand from this rate on; below, most would expire.
AHEAD_FROM_PER_S = 2.0
# Tokens are asked for the demand of this time.
AHEAD_S = 0.8
# Tokens are renewed when they expire within this time.
RENEW_BEFORE_S = 0.6
# Weight of the newest tick in the rate of use.
RATE_WEIGHT = 0.2
# After a refusal, requests are refused for at most this time without asking.
REFUSED_MAX_S = 0.1
LONG_AGO = float('-inf')


@dataclass(slots=True)
class Lease:
    """Tokens of one account at this node, and the requests that wait for one.

    Attributes:
        account: The account's name.
        tokens: Unused tokens, until `ends_at`.
        keeper: The keeper that granted them.
        refused_until: The keeper has no tokens until then.
        waiting: Futures of the waiting requests, the oldest first. The result
            is None for a token, else seconds until the next one.
    """

    account: str
    tokens: int = 0
    ends_at: float = LONG_AGO
    keeper: KeeperId | None = None
    refused_until: float = LONG_AGO
    rate_per_s: float = 0.0
    taken: int = 0
    waiting: deque[asyncio.Future[float | None]] = field(default_factory=deque)
    # Of the ask on its way: its urgent wants, and tokens taken since.
    _asked: int = 0
    _taken_since: int = 0

    def take(self, now: float) -> bool:
        """Take a token, and return False if there is none."""
        self.taken += 1
        if self.tokens < 1 or now >= self.ends_at:
            return False
        self.tokens -= 1
        self._taken_since += 1
        return True

    def give_back(self, now: float) -> bool:
        """Put a token back, and return False if it has expired."""
        if now >= self.ends_at:
            return False
        self.tokens += 1
        self._taken_since -= 1
        return True

    def tick(self, elapsed_s: float) -> bool:
        """Update the rate of use, and return whether the lease is in use."""
        self.rate_per_s += RATE_WEIGHT * (
            self.taken / elapsed_s - self.rate_per_s
        )
        self.taken = 0
        return self.rate_per_s > RATE_WEIGHT / 2 or bool(self.waiting)

    def is_low(self, now: float) -> bool:
        """Return whether tokens should be asked ahead of demand."""
        if self.rate_per_s < AHEAD_FROM_PER_S or now < self.refused_until:
            return False
        is_ending = now > self.ends_at - RENEW_BEFORE_S
        return is_ending or self.tokens < self._goal() / 2

    def to_want(self, keeper: KeeperId | None, now: float) -> ttypes.QuotaWant:
        """Return what to ask a keeper for, and note that it is being asked.

        Args:
            keeper: The process that is asked, None if it is not known.
            now: The time.
        """
        while self.waiting and self.waiting[0].done():
            self.waiting.popleft()
        is_held = self.keeper == keeper and now < self.ends_at
        held = self.tokens if is_held else 0
        self._asked = len(self.waiting)
        self._taken_since = 0
        ahead = 0
        if self.rate_per_s >= AHEAD_FROM_PER_S:
            ahead = max(self._goal() - held, 0)
        return ttypes.QuotaWant(self.account, self._asked, ahead, held)

    def on_grant(
        self,
        grant: ttypes.QuotaTokens,
        keeper: KeeperId,
        asked_at: float,
        now: float,
    ) -> None:
        """Replace the tokens by those of a reply, and serve waiting requests.

        Args:
            grant: The account's part of the reply.
            keeper: The process that granted.
            asked_at: When the ask was sent.
            now: The time.
        """
        # Tokens taken since were held by the node when it asked.
        self.tokens = max(grant.tokens - max(self._taken_since, 0), 0)
        self._taken_since = 0
        self.keeper = keeper
        self.ends_at = asked_at + LEASE_S
        asked = self._asked
        self._asked = 0
        while self.waiting and self.tokens and now < self.ends_at:
            fut = self.waiting.popleft()
            asked -= 1
            if not fut.done():
                self.tokens -= 1
                fut.set_result(None)
        if grant.wait_ms is None:
            return
        wait_s = grant.wait_ms / 1000
        self.refused_until = now + min(wait_s, REFUSED_MAX_S)
        while self.waiting and asked > 0:
            fut = self.waiting.popleft()
            asked -= 1
            if not fut.done():
                fut.set_result(wait_s)

    def _goal(self) -> int:
        return math.ceil(self.rate_per_s * AHEAD_S)
