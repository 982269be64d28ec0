"""Shares of the limits that nodes pledge to keepers."""

from dataclasses import dataclass

from filbertdrift.accounts.quota_bounds import (
    CLOCK_MARGIN_S,
    LEASE_S,
    PLEDGE_S,
)

NEVER = float('inf')


@dataclass(frozen=True, slots=True)
class KeeperId:
    """One process of a keeper: its address and its generation."""

    node: str
    generation: int


class Pledge:
    """Where this node's share of the accounts of one slot is.

    A process that starts pledges at once. The keeper that holds a pledge of
    its predecessor replaces it, as it counts one share for each address. If all
    nodes waited for the end of such a pledge, a restart of the fleet would
    refuse every request with a limit for five seconds.

    Args:
        now: The start of this node.
    """

    def __init__(self, now: float) -> None:
        """Start with a free share."""
        self.holder: KeeperId | None = None
        self.free_at = now

    def may_give(self, keeper: KeeperId, now: float) -> bool:
        """Return whether the share may be pledged to a keeper now."""
        return keeper == self.holder or now >= self.free_at

    def record(self, keeper: KeeperId, now: float) -> None:
        """Record that the share is being pledged to a keeper."""
        self.holder = keeper
        self.free_at = now + PLEDGE_S + LEASE_S + CLOCK_MARGIN_S


class PledgeBook:
    """The shares that nodes have pledged to this node for one slot."""

    def __init__(self) -> None:
        """Start without pledges."""
        self._ends: dict[str, tuple[float, float]] = {}
        self._total = 0.0
        self._next_end = NEVER

    def total(self, now: float) -> float:
        """Return the sum of the valid shares."""
        if now >= self._next_end:
            for node, (_, ends_at) in list(self._ends.items()):
                if now >= ends_at:
                    self._ends.pop(node)
            self._sum_up()
        return self._total

    def lasting(self, until: float) -> float:
        """Return the sum of the shares that are valid until a time."""
        return sum(
            share for share, ends_at in self._ends.values() if ends_at >= until
        )

    def is_unchanged(self, node: str, share: float, now: float) -> bool:
        """Return whether a node has pledged just this share already."""
        known = self._ends.get(node)
        return known is not None and known[0] == share and now < known[1]

    def add(self, node: str, share: float, ends_at: float) -> None:
        """Record a pledge; it replaces an earlier one of the node."""
        self._ends[node] = (share, ends_at)
        self._sum_up()

    def _sum_up(self) -> None:
        pledges = self._ends.values()
        self._total = sum(share for share, _ in pledges)
        self._next_end = min((ends_at for _, ends_at in pledges), default=NEVER)
