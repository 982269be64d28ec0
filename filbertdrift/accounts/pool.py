"""The token bucket of one account at its keeper."""

import math
from dataclasses import dataclass

from filbertdrift.accounts.quota_bounds import LEASE_S, LOAN_S, QuotaBounds

# What a refused node waits if the keeper has no share now.
NO_SHARE_WAIT_S = 0.5
# Part of the bucket that requests ahead of demand leave to waiting requests.
URGENT_PART = 0.25
# A keeper asks for its use times this.
RESERVE_FACTOR = 1.3
# A lender keeps its use times this. Its bucket covers short growth, so more
# would refuse requests in a domain whose keeper has ended.
KEPT_FACTOR = 1.1
# Weight of the newest tick in the rate of grants: a mean over about 2 s. With
# 0.3, single requests of small accounts looked like growth and made loans.
RATE_WEIGHT = 0.1
# A lender keeps room for this many tokens, so that single requests pass there.
KEPT_TOKENS = 1.5
# A keeper that refused asks for its use times this: refused requests that are
# not repeated do not show in its use.
SHORT_FACTOR = 2.0
# A keeper that refused within this time lends nothing.
SHORT_OF_TOKENS_S = 1.0
# A keeper borrows when it grants more than this part of its rate, and its
# bucket is below LOW_PART of its depth.
BORROW_ABOVE = 0.8
LOW_PART = 0.15
# Loans are renewed, or enlarged, this often.
BORROW_INTERVAL_S = 0.15
# Loans whose ends differ by less are the same message: stamps are in ms.
SAME_LOAN_S = 0.05
DEVIATIONS = 2.0
LONG_AGO = float('-inf')


@dataclass(frozen=True, slots=True)
class Limits:
    """Tokens a second and unused tokens of an account, over all nodes."""

    fill_per_s: float
    depth: float


@dataclass(slots=True)
class Demand:
    """What was granted and refused lately."""

    granted: int = 0
    refused: int = 0
    rate_per_s: float = 0.0
    certain_per_s: float = 0.0
    refused_at: float = LONG_AGO
    borrow_at: float = LONG_AGO


class AccountPool:
    """Tokens of one account; level and tokens at nodes keep to the share.

    The share is that of the slot's pledges, plus loans from other keepers,
    minus what is lent to them.

    Args:
        limits: The account's limits.
        now: The time.
    """

    def __init__(self, limits: Limits, now: float) -> None:
        """Start empty."""
        self.level = 0.0
        self.share = 0.0
        self.demand = Demand()
        self.limits = limits
        self._updated_at = now
        # Tokens that nodes may hold, and when these expire.
        self._held: dict[str, tuple[int, float]] = {}
        self._borrowed: dict[str, tuple[float, float]] = {}
        self._loan_ends: dict[str, float] = {}
        self._lent: dict[str, list[tuple[float, float]]] = {}

    def advance(self, slot_share: float, now: float) -> None:
        """Fill the bucket; call this before any share grows.

        Args:
            slot_share: The sum of the pledges that are valid now.
            now: The time.
        """
        share = max(slot_share + self._loans(now) - self.lent(now), 0)
        elapsed_s = max(now - self._updated_at, 0)
        # Shares only fall unnoticed, so the lower one was valid throughout.
        fill = min(share, self.share) * self.limits.fill_per_s * elapsed_s
        self.level += fill
        self._updated_at = now
        self.share = share
        self._cap(now)

    def grant(
        self, node: str, wanted: tuple[int, int, int], now: float
    ) -> tuple[int, float | None]:
        """Grant tokens to a node; advance must have been called.

        Args:
            node: The node.
            wanted: Tokens for waiting requests, tokens ahead of demand, and
                unused tokens that it holds.
            now: The time.

        Returns:
            Tokens that the node may hold now, and how long another one takes
            in seconds, None if no waiting request was refused.
        """
        urgent, ahead, held = wanted
        self._held.pop(node, None)
        room = self.share * self.limits.depth
        kept = min(held, max(int(room - self._held_total(now)), 0))
        self.level = max(
            min(self.level, room - self._held_total(now) - kept), 0
        )
        granted = min(urgent, int(self.level))
        spare = self.level - granted - URGENT_PART * room
        extra = min(ahead, max(int(spare), 0))
        self.level -= granted + extra
        self._held[node] = (kept + granted + extra, now + LEASE_S)
        self.demand.granted += granted + extra
        if granted == urgent:
            return kept + granted + extra, None
        self.demand.refused += urgent - granted
        self.demand.refused_at = now
        return kept + granted + extra, self._wait_s()

    def tick(self, elapsed_s: float) -> bool:
        """Update the rate of grants.

        Args:
            elapsed_s: The time since the last tick.

        Returns:
            Whether the account is in use here.
        """
        demand = self.demand
        count = demand.granted + demand.refused
        newest = count / elapsed_s
        # Two deviations less: a few requests of a small account are no rate.
        certain = count - DEVIATIONS * math.sqrt(count)
        demand.certain_per_s = max(certain, 0) / elapsed_s
        demand.rate_per_s += RATE_WEIGHT * (newest - demand.rate_per_s)
        demand.granted = 0
        demand.refused = 0
        return demand.rate_per_s > RATE_WEIGHT

    def share_to_borrow(self, slot_share: float, now: float) -> float:
        """Return the share that this keeper asks others for now.

        Args:
            slot_share: The sum of the valid pledges.
            now: The time.

        Returns:
            0 if it needs none, or has asked a moment ago.
        """
        demand = self.demand
        if now < demand.borrow_at or not self.limits.fill_per_s:
            return 0
        used = demand.rate_per_s / self.limits.fill_per_s
        is_short = now - demand.refused_at < SHORT_OF_TOKENS_S
        is_low = self.level < LOW_PART * self.share * self.limits.depth
        if not is_short and (used < BORROW_ABOVE * slot_share or not is_low):
            return 0
        demand.borrow_at = now + BORROW_INTERVAL_S
        if is_short:
            # The rate of a keeper that is new has yet to grow.
            certain = demand.certain_per_s / self.limits.fill_per_s
            used = max(used, certain) * SHORT_FACTOR
        else:
            used *= RESERVE_FACTOR
        return max(min(used, 1) - slot_share, 0)

    def lend(
        self, borrower: str, wanted: float, lasting: float, now: float
    ) -> tuple[float, int]:
        """Lend a share; it is given up before the borrower gets it.

        Args:
            borrower: The keeper that asks.
            wanted: The share that it asks for.
            lasting: The sum of the pledges that outlast a loan.
            now: The time; advance must have been called.

        Returns:
            The share, and tokens that move with it.
        """
        before = self._lent_to(borrower, now)
        kept = max(self._used_share(now), KEPT_TOKENS / self.limits.depth)
        free = lasting - self.lent(now) + before - kept
        amount = max(min(wanted, free), 0)
        if not amount:
            return 0, 0
        entry = (amount, now + LOAN_S + LEASE_S)
        self._lent.setdefault(borrower, []).append(entry)
        gain = max(amount - before, 0)
        part = min(gain / self.share, 1) if self.share else 0
        tokens = min(int(self.level * part), int(gain * self.limits.depth))
        tokens = max(min(tokens, int(self.level) - 1), 0)
        self.level -= tokens
        self.share = max(self.share - gain, 0)
        self._cap(now)
        return amount, tokens

    def borrow(
        self, lender: str, loan: tuple[float, int], ends_at: float
    ) -> bool:
        """Use a share of another keeper; advance must have been called.

        Args:
            lender: The other keeper.
            loan: The share, and tokens that come with it.
            ends_at: When the loan ends; each loan counts once.

        Returns:
            False if this loan, or a later one of the lender, counts already.
        """
        if ends_at - self._loan_ends.get(lender, LONG_AGO) < SAME_LOAN_S:
            return False
        amount, tokens = loan
        self._loan_ends[lender] = ends_at
        self._borrowed[lender] = (amount, ends_at)
        self.level += tokens
        return True

    def lent(self, now: float) -> float:
        """Return the share that is lent to other keepers."""
        return sum(self._lent_to(borrower, now) for borrower in self._lent)

    def _lent_to(self, borrower: str, now: float) -> float:
        entries = self._lent.get(borrower, [])
        if entries and now >= entries[0][1]:
            entries = [entry for entry in entries if now < entry[1]]
            self._lent[borrower] = entries
        return max((share for share, _ in entries), default=0)

    def _loans(self, now: float) -> float:
        if not self._borrowed:
            return 0
        for lender, (_, ends_at) in list(self._borrowed.items()):
            if now >= ends_at:
                self._borrowed.pop(lender)
        return sum(share for share, _ in self._borrowed.values())

    def _used_share(self, now: float) -> float:
        demand = self.demand
        if now - demand.refused_at < SHORT_OF_TOKENS_S:
            return 1
        return demand.rate_per_s * KEPT_FACTOR / self.limits.fill_per_s

    def _held_total(self, now: float) -> int:
        for node, (_, ends_at) in list(self._held.items()):
            if now >= ends_at:
                self._held.pop(node)
        return sum(tokens for tokens, _ in self._held.values())

    def _cap(self, now: float) -> None:
        room = self.share * self.limits.depth - self._held_total(now)
        self.level = max(min(self.level, room), 0)

    def _wait_s(self) -> float:
        per_s = self.share * self.limits.fill_per_s
        if not per_s:
            return NO_SHARE_WAIT_S
        return max(math.ceil(self.level + 0.5) - self.level, 0.5) / per_s


def limits_of(rate_per_s: float, burst: float, bounds: QuotaBounds) -> Limits:
    """Return the limits of an account's buckets, over all nodes.

    Args:
        rate_per_s: The account's rate.
        burst: Its burst.
        bounds: The rule.
    """
    return Limits(
        bounds.fill_per_s(rate_per_s), bounds.depth(rate_per_s, burst)
    )
