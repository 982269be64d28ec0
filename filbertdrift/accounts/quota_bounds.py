"""Bounds of the quota rule, and the durations that its argument rests on.

The argument is in docs/design/quotas.md.
"""

from dataclasses import dataclass

# How long a pledge of a node's share to a keeper is valid.
PLEDGE_S = 3.4
# An idle node renews its pledges this often. Asks that are lost are repeated
# within 0.2 s.
RENEW_S = 2.3
# How long tokens are valid at a node. It stays far below the window.
LEASE_S = 1.5
# How long a share is lent. Loans come from pledges that outlast them, and
# pledges are up to RENEW_S old.
LOAN_S = 0.8
# Clocks of two machines may run apart by this much within PLEDGE_S (3%).
CLOCK_MARGIN_S = 0.1
# A token is given back only if it was taken less than this ago: refusals of
# full gates come sooner, and later returns would shift requests into later
# windows.
RETURN_S = 0.1
# The longest time from when a caller sends a request to when it takes a token
# of the same window: the transit to the node and a part of the wait.
TRANSIT_S = 0.06
# The part of all shares that is pledged. The rest covers nodes that count the
# fleet differently.
SPREAD_SHARE = 0.97
# Part of the allowed overage by which buckets fill faster than the limit, so
# that an account gets its whole rate although SPREAD_SHARE is less than one.
FILL_OVERAGE_PART = 0.5
MILLION = 1_000_000


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """The rule: in every window, (rate x window + burst) x 1.1 + 20 requests.

    Args:
        window_s: Length of the window.
        overage: Share by which the limit may be exceeded.
        slack: Requests by which it may be exceeded in addition.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    def allowed(self, rate_per_s: float, burst: float) -> float:
        """Return how many requests of an account may run in a window."""
        limit = rate_per_s * self.window_s + burst
        return limit * (1 + self.overage) + self.slack

    def fill_per_s(self, rate_per_s: float) -> float:
        """Return the tokens a second of all buckets of an account together."""
        return rate_per_s * (1 + self.overage * FILL_OVERAGE_PART)

    def depth(self, rate_per_s: float, burst: float) -> float:
        """Return the unused tokens that an account may have in all places."""
        filled_s = self.window_s + RETURN_S + TRANSIT_S
        filled = self.fill_per_s(rate_per_s) * filled_s
        return max(self.allowed(rate_per_s, burst) - filled, 0)


DEFAULT_BOUNDS = QuotaBounds()
