"""The keeper of accounts: grants tokens, and lends and borrows shares.

Decisions only; the time is handed in, and messages are sent elsewhere.
"""

import random
import zlib
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from filbertdrift.accounts.directory import ClientAccount
from filbertdrift.accounts.pledges import PledgeBook
from filbertdrift.accounts.pool import AccountPool, Limits, limits_of
from filbertdrift.accounts.quota_bounds import (
    LEASE_S,
    LOAN_S,
    MILLION,
    PLEDGE_S,
    QuotaBounds,
)
from filbertdrift.gen import ttypes

# Accounts are spread over this many keepers in a domain. An idle node sends
# a message to each in every RENEW_S, so more would cost over 100 B/s.
SLOTS = 3
MS_PER_S = 1000
# Stamps of two processes at one address differ by a random origin.
ORIGIN_BITS = 31
# A node whose configuration lacks the account may get it within this time.
UNKNOWN_ACCOUNT_WAIT_MS = 300
# Shares of accounts that fit a datagram of 1,200 bytes.
MAX_LOAN_BYTES = 1000
SHARE_BYTES = 14
# Clocks that run apart may bring a stamp from the future; CLOCK_MARGIN_S covers
# this. A stamp further ahead is older than a pause of this machine.
MAX_AHEAD_S = 0.05
LONG_AGO = float('-inf')


@dataclass(slots=True)
class Slot:
    """The pledges of one slot, and the buckets of its accounts."""

    pledges: PledgeBook = field(default_factory=PledgeBook)
    pools: dict[str, AccountPool] = field(default_factory=dict)

    def advance(self, now: float) -> None:
        """Fill all buckets, and use the shares of now from now on."""
        total = self.pledges.total(now)
        for pool in self.pools.values():
            pool.advance(total, now)


class QuotaKeeper:
    """The buckets of the accounts whose keeper this node is, in some view.

    Args:
        bounds: The rule.
        rng: Draws the origin of the time stamps.
    """

    def __init__(self, bounds: QuotaBounds, rng: random.Random) -> None:
        """Start without accounts and without shares."""
        self._bounds = bounds
        self._rng = rng
        self._limits: Mapping[str, Limits] = {}
        self._sequences: dict[tuple[str, int], tuple[int, int]] = {}
        # Drawn when first needed: nodes without accounts draw nothing.
        self._origin_ms: int | None = None
        self._slots = [Slot() for _ in range(SLOTS)]
        self._ticked_at = 0.0
        # Pledges of earlier times do not count.
        self._ready_at = LONG_AGO

    def configure(self, accounts: Iterable[ClientAccount], now: float) -> None:
        """Use the limits of a new configuration."""
        self._limits = {
            account.name: limits_of(
                account.rate_per_s, account.burst, self._bounds
            )
            for account in accounts
            if account.rate_per_s > 0
        }
        for slot in self._slots:
            slot.advance(now)
            for name in set(slot.pools).difference(self._limits):
                slot.pools.pop(name)
        for account, limits in self._limits.items():
            # Buckets of accounts without requests fill as well.
            pools = self._slots[slot_of(account)].pools
            pools.setdefault(account, AccountPool(limits, now)).limits = limits
        for changed in self._slots:
            changed.advance(now)

    def forget(self, now: float) -> None:
        """Drop all shares and tokens, as a new process has none.

        Tokens that came from shares which this node had lent end before any
        share counts again.
        """
        self._slots = [Slot() for _ in range(SLOTS)]
        for name, limits in self._limits.items():
            self._slots[slot_of(name)].pools[name] = AccountPool(limits, now)
        self._origin_ms = None
        self._ready_at = now + LEASE_S

    def stamp_ms(self, now: float) -> int:
        """Return the time as other nodes send it back."""
        if self._origin_ms is None:
            self._origin_ms = self._rng.getrandbits(ORIGIN_BITS)
        return int(now * MS_PER_S) + self._origin_ms

    def accept(
        self, sender: str, generation: int, ask: ttypes.QuotaAsk
    ) -> bool:
        """Return whether an ask is newer than those before it."""
        if not 0 <= ask.slot < SLOTS:
            return False
        key = (sender, ask.slot)
        order = (generation, ask.sequence)
        if order <= self._sequences.get(key, (0, 0)):
            return False
        self._sequences[key] = order
        return True

    def remove_missing(self, nodes: Collection[str]) -> None:
        """Forget the asks of nodes that are gone."""
        for sender, slot in list(self._sequences):
            if sender not in nodes:
                self._sequences.pop((sender, slot))

    def serve(
        self, sender: str, ask: ttypes.QuotaAsk, now: float
    ) -> ttypes.QuotaGrant:
        """Record the pledge of an ask, and grant tokens.

        Args:
            sender: The node that asks.
            ask: Its message.
            now: The time.

        Returns:
            The reply.
        """
        stamped_at = self._stamped_at(ask.stamp_ms, now)
        ends_at = stamped_at + PLEDGE_S
        is_pledged = ask.share_millionths is not None and now < ends_at
        if is_pledged and now >= self._ready_at:
            self._add_pledge(
                ask.slot, sender, ask.share_millionths / MILLION, ends_at, now
            )
        is_known = now < ends_at
        return ttypes.QuotaGrant(
            sequence=ask.sequence,
            slot=ask.slot,
            stamp_ms=self.stamp_ms(now),
            grants=[
                self._grant(ask.slot, sender, want, is_known, now)
                for want in ask.wants or ()
            ]
            or None,
        )

    def tick(self, now: float) -> Sequence[Sequence[ttypes.QuotaShare]]:
        """Update the rates of grants.

        Returns:
            For each slot, the shares to borrow from other domains.
        """
        elapsed_s = now - self._ticked_at
        self._ticked_at = now
        return [self._tick_slot(slot, elapsed_s, now) for slot in self._slots]

    def lend(
        self, borrower: str, ask: ttypes.LoanAsk, now: float
    ) -> ttypes.LoanGrant:
        """Return the shares that are lent to another keeper.

        Args:
            borrower: The other keeper.
            ask: Its message.
            now: The time.
        """
        loans = []
        for want in ask.wants or ():
            pool, slot = self._pool(want.account, now)
            if pool is None:
                continue
            amount, tokens = pool.lend(
                borrower,
                want.share_millionths / MILLION,
                slot.pledges.lasting(now + LOAN_S),
                now,
            )
            millionths = int(amount * MILLION)
            if millionths:
                loans.append(
                    ttypes.QuotaShare(want.account, millionths, tokens or None)
                )
        return ttypes.LoanGrant(ask.stamp_ms, loans)

    def borrow(self, lender: str, grant: ttypes.LoanGrant, now: float) -> int:
        """Use what another keeper lends.

        Args:
            lender: The other keeper.
            grant: Its message.
            now: The time.

        Returns:
            How many loans count now; none of a message that came before.
        """
        ends_at = self._stamped_at(grant.stamp_ms, now) + LOAN_S
        if now >= ends_at:
            return 0
        count = 0
        for loan in grant.loans or ():
            pool, slot = self._pool(loan.account, now)
            if pool is None:
                continue
            share = loan.share_millionths / MILLION
            count += pool.borrow(lender, (share, loan.tokens or 0), ends_at)
            pool.advance(slot.pledges.total(now), now)
        return count

    def shares(self, account: str, now: float) -> tuple[float, float]:
        """Return an account's share and its tokens here, for log lines."""
        pool = self._slots[slot_of(account)].pools.get(account)
        return (pool.share, pool.level) if pool else (0, 0)

    def _stamped_at(self, stamp_ms: int | None, now: float) -> float:
        """Return when a stamp was given, long ago if it is not of here."""
        if stamp_ms is None:
            return -PLEDGE_S + now
        age_s = (self.stamp_ms(now) - stamp_ms) / MS_PER_S
        if not -MAX_AHEAD_S <= age_s < PLEDGE_S:
            age_s = PLEDGE_S
        return now - max(age_s, 0)

    def _add_pledge(
        self, number: int, node: str, share: float, ends_at: float, now: float
    ) -> None:
        slot = self._slots[number]
        is_unchanged = slot.pledges.is_unchanged(node, share, now)
        if not is_unchanged:
            slot.advance(now)
        slot.pledges.add(node, share, ends_at)
        if not is_unchanged:
            slot.advance(now)

    def _pool(self, name: str, now: float) -> tuple[AccountPool | None, Slot]:
        """Return the bucket of an account, filled up to now."""
        slot = self._slots[slot_of(name)]
        pool = slot.pools.get(name)
        if pool is not None:
            pool.advance(slot.pledges.total(now), now)
        return pool, slot

    def _grant(
        self,
        number: int,
        sender: str,
        want: ttypes.QuotaWant,
        is_known: bool,
        now: float,
    ) -> ttypes.QuotaTokens:
        name = want.account
        pool = None
        if slot_of(name) == number:
            pool, _ = self._pool(name, now)
        if pool is None:
            return ttypes.QuotaTokens(name, 0, UNKNOWN_ACCOUNT_WAIT_MS)
        # Tokens of another process at this address do not count.
        held = want.held if is_known else 0
        tokens, wait_s = pool.grant(
            sender, (want.urgent, want.ahead, held), now
        )
        wait_ms = None if wait_s is None else int(wait_s * MS_PER_S) + 1
        return ttypes.QuotaTokens(name, tokens, wait_ms)

    def _tick_slot(
        self, slot: Slot, elapsed_s: float, now: float
    ) -> Sequence[ttypes.QuotaShare]:
        wants: list[ttypes.QuotaShare] = []
        total = slot.pledges.total(now)
        size_bytes = 0
        for name, pool in slot.pools.items():
            if not pool.tick(elapsed_s) or size_bytes > MAX_LOAN_BYTES:
                continue
            share = pool.share_to_borrow(total, now)
            if share:
                size_bytes += len(name) + SHARE_BYTES
                wants.append(ttypes.QuotaShare(name, int(share * MILLION)))
        return wants


def slot_of(account: str) -> int:
    """Return the number of the slot of an account."""
    return zlib.crc32(account.encode()) % SLOTS
