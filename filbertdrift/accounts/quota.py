"""Limits the requests of client accounts over the whole fleet.

The rule, the messages and the argument are in docs/design/quotas.md.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from contextvars import ContextVar
from dataclasses import dataclass
from functools import singledispatchmethod

from loguru import logger

from filbertdrift.accounts.directory import ClientAccount
from filbertdrift.accounts.fleet_view import FleetView
from filbertdrift.accounts.lease import Lease
from filbertdrift.accounts.quota_bounds import RETURN_S, QuotaBounds
from filbertdrift.accounts.quota_keeper import SLOTS, QuotaKeeper, slot_of
from filbertdrift.accounts.slot_client import AskCounters, SlotClient
from filbertdrift.errors import RequestNotRun
from filbertdrift.gen import ttypes
from filbertdrift.membership import Membership
from filbertdrift.network import Network
from filbertdrift.pause import read_suspended_s

STATUS_TOO_MANY = 429
MS_PER_S = 1000
# Time between two ticks. It delays loans and asks ahead of demand.
TICK_S = 0.2
# The longest wait for a token: three asks to a keeper that does not respond,
# and one to the next.
TAKE_TIMEOUT_S = 0.18
# Retry-after delay when no keeper responded.
NO_KEEPER_WAIT_S = 0.25
# The members are counted this often.
COUNT_INTERVAL_S = 1.0
# Log lines about refused requests, in each tick.
MAX_LOGGED = 4
# CLOCK_MARGIN_S covers shorter suspensions of the machine.
MAX_SUSPENDED_S = 0.05
# The other domain's second candidate is asked after this many lost asks.
MAX_LOAN_MISSES = 2

SendDatagram = Callable[[str, object], None]

# When the request of the current task took its token.
_taken_at: ContextVar[float] = ContextVar('taken_at', default=float('-inf'))


class QuotaExceeded(RequestNotRun):
    """An account has no tokens left."""


@dataclass(slots=True)
class QuotaCounters:
    """Requests of accounts with a limit."""

    taken: int = 0
    waited: int = 0
    refused: int = 0
    unanswered: int = 0
    returned: int = 0
    late_returns: int = 0
    lent: int = 0
    borrowed: int = 0
    unlogged: int = 0


@dataclass(slots=True)
class Lender:
    """The keeper of a slot in another domain, as a lender."""

    sent_ms: int = 0
    answered_ms: int = 0
    misses: int = 0


class QuotaLimiter:
    """Takes a token for each request of an account with a limit.

    Args:
        view: The fleet as this node sees it.
        generation: Returns the generation of this node.
        send: Sends a datagram to another node.
        bounds: The rule.
        rng: Source of random choices.

    Attributes:
        suspended_s: Returns for how long this machine was suspended since
            boot.
    """

    def __init__(
        self,
        view: FleetView,
        generation: Callable[[], int],
        send: SendDatagram,
        bounds: QuotaBounds,
        rng: random.Random,
    ) -> None:
        """Start without accounts."""
        self.counters = QuotaCounters()
        self.asks = AskCounters()
        self.keeper = QuotaKeeper(bounds, rng)
        self.suspended_s: Callable[[], float] = read_suspended_s
        self._seen_suspended_s = self.suspended_s()
        self._view = view
        self._generation = generation
        self._send_datagram = send
        self._clients: list[SlotClient] = []
        self._lenders: dict[tuple[str, int], Lender] = {}
        self._logged = 0
        self._has_limits = asyncio.Event()
        self._counted_at = float('-inf')
        # Shares are free some time after the start of the process, however
        # late the first account with a limit comes.
        self._started_at: float | None = None

    def configure(self, accounts: Iterable[ClientAccount]) -> None:
        """Use the accounts of a new configuration; call it in the loop."""
        limited = [account for account in accounts if account.rate_per_s > 0]
        if limited:
            self._has_limits.set()
        else:
            self._has_limits.clear()
        now = _now()
        if not self._clients:
            started_at = now if self._started_at is None else self._started_at
            self._clients = [
                SlotClient(slot, self._view, self._send, self.asks, started_at)
                for slot in range(SLOTS)
            ]
        self.keeper.configure(limited, now)
        names = {account.name for account in limited}
        for client in self._clients:
            for name in set(client.leases) - names:
                client.leases.pop(name)

    async def take(self, account: ClientAccount, deadline: float) -> None:
        """Take a token; wait a few milliseconds for one if none is here.

        Args:
            account: The account of a request.
            deadline: When its caller gives up, on the loop's clock.

        Raises:
            QuotaExceeded: The account has no tokens left.
        """
        if account.rate_per_s <= 0:
            return
        self._check_suspended()
        now = _now()
        client = self._clients[slot_of(account.name)]
        lease = client.leases.get(account.name)
        if lease is None:
            lease = Lease(account.name)
            client.leases[account.name] = lease
        if not lease.take(now):
            await self._wait(client, lease, deadline, now)
        self.counters.taken += 1
        _taken_at.set(now)

    def give_back(self, account: ClientAccount) -> None:
        """Return the token of a request that was refused before it ran.

        Call it in the task that took the token. Tokens that were taken a while
        ago are lost, since the rule counts them in the window of their request.

        Args:
            account: The account of the request.
        """
        if account.rate_per_s <= 0:
            return
        now = _now()
        is_returned = False
        if now - _taken_at.get() <= RETURN_S:
            lease = self._clients[slot_of(account.name)].leases.get(
                account.name
            )
            is_returned = lease is not None and lease.give_back(now)
        self.counters.returned += is_returned
        self.counters.late_returns += not is_returned
        _taken_at.set(float('-inf'))

    def on_datagram(self, sender: str, generation: int, body: object) -> bool:
        """Handle a datagram of this protocol.

        Args:
            sender: The sending node.
            generation: Its generation.
            body: The message.

        Returns:
            False if the message belongs to another protocol.
        """
        self._check_suspended()
        return self._handle(body, sender, generation)

    async def run(self) -> None:
        """Renew pledges, ask ahead of demand and borrow until cancelled."""
        ticked_at = _now()
        if self._started_at is None:
            self._started_at = ticked_at
        try:
            while True:
                await self._has_limits.wait()
                await asyncio.sleep(TICK_S)
                elapsed_s = _now() - ticked_at
                ticked_at += elapsed_s
                self._tick(elapsed_s)
        finally:
            for client in self._clients:
                client.close()

    def _check_suspended(self) -> None:
        """Drop all shares and tokens if this machine was suspended.

        Its clock stood still, so all of them seem younger than they are. A
        stopped process needs nothing: its clock goes on.
        """
        suspended_s = self.suspended_s()
        if suspended_s - self._seen_suspended_s < MAX_SUSPENDED_S:
            return
        logger.bind(
            event='quota_suspended',
            suspended_s=round(suspended_s - self._seen_suspended_s, 3),
        ).warning('this machine was suspended; all tokens are dropped')
        self._seen_suspended_s = suspended_s
        self.keeper.forget(_now())
        for client in self._clients:
            client.forget()

    def _tick(self, elapsed_s: float) -> None:
        self._check_suspended()
        self._logged = 0
        now = _now()
        if now - self._counted_at >= COUNT_INTERVAL_S:
            self._counted_at = now
            share = self._view.share_millionths()
            if not share:
                self._counted_at = float('-inf')
            for client in self._clients:
                client.share_millionths = share
        for client in self._clients:
            client.tick(elapsed_s)
        for slot, wants in enumerate(self.keeper.tick(now)):
            if wants:
                self._ask_for_loans(slot, wants)

    async def _wait(
        self, client: SlotClient, lease: Lease, deadline: float, now: float
    ) -> None:
        if now < lease.refused_until:
            self._refuse(client, lease, lease.refused_until - now)
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[float | None] = loop.create_future()
        lease.waiting.append(fut)
        client.wake()
        timer = loop.call_at(
            min(deadline, now + TAKE_TIMEOUT_S), self._give_up, fut
        )
        self.counters.waited += 1
        try:
            wait_s = await fut
        finally:
            timer.cancel()
        if wait_s is not None:
            self._refuse(client, lease, wait_s)

    def _give_up(self, fut: asyncio.Future[float | None]) -> None:
        if not fut.done():
            self.counters.unanswered += 1
            fut.set_result(NO_KEEPER_WAIT_S)

    def _refuse(self, client: SlotClient, lease: Lease, wait_s: float) -> None:
        self.counters.refused += 1
        retry_after_ms = int(wait_s * MS_PER_S) + 1
        if self._logged < MAX_LOGGED:
            self._logged += 1
            share, tokens = self.keeper.shares(lease.account, _now())
            logger.bind(
                event='quota_exceeded',
                account=lease.account,
                retry_after_ms=retry_after_ms,
                keeper=client.keeper,
                rate_per_s=round(lease.rate_per_s, 1),
                tokens=round(tokens, 1),
                share=round(share, 3),
            ).info('account {} has no tokens left', lease.account)
        else:
            self.counters.unlogged += 1
        raise QuotaExceeded(
            f'account {lease.account} is over its quota',
            retry_after_ms=retry_after_ms,
            step='quota',
            status=STATUS_TOO_MANY,
        )

    def _ask_for_loans(
        self, slot: int, wants: Iterable[ttypes.QuotaShare]
    ) -> None:
        found = {
            domain: self._view.lenders(domain, slot)
            for domain in self._view.domains()
        }
        lenders = {
            domain: self._lenders.setdefault((domain, slot), Lender())
            for domain, ranked in found.items()
            if ranked
        }
        # Each lends a part; those that do not respond do not count.
        others = sum(
            lender.misses < MAX_LOAN_MISSES
            for domain, lender in lenders.items()
            if domain != self._view.domain
        )
        parts = (
            [
                ttypes.QuotaShare(want.account, want.share_millionths // others)
                for want in wants
            ]
            if others
            else list(wants)
        )
        stamp_ms = self.keeper.stamp_ms(_now())
        for domain, lender in lenders.items():
            lender.misses += lender.answered_ms < lender.sent_ms
            lender.sent_ms = stamp_ms
            turn = lender.misses // MAX_LOAN_MISSES % len(found[domain])
            self._send_datagram(
                found[domain][turn], ttypes.LoanAsk(stamp_ms, parts)
            )

    def _send(self, node: str, body: object) -> None:
        if node != self._view.node:
            self._send_datagram(node, body)
            return
        loop = asyncio.get_running_loop()
        loop.call_soon(self._handle, body, node, self._generation())

    @singledispatchmethod
    def _handle(self, body: object, sender: str, generation: int) -> bool:
        return False

    @_handle.register
    def _handle_ask(
        self, body: ttypes.QuotaAsk, sender: str, generation: int
    ) -> bool:
        if self.keeper.accept(sender, generation, body):
            self._send(sender, self.keeper.serve(sender, body, _now()))
        return True

    @_handle.register
    def _handle_grant(
        self, body: ttypes.QuotaGrant, sender: str, generation: int
    ) -> bool:
        if self._clients and 0 <= body.slot < SLOTS:
            self._clients[body.slot].on_grant(sender, generation, body)
        return True

    @_handle.register
    def _handle_loan_ask(
        self, body: ttypes.LoanAsk, sender: str, generation: int
    ) -> bool:
        grant = self.keeper.lend(sender, body, _now())
        self.counters.lent += len(grant.loans)
        self._send(sender, grant)
        return True

    @_handle.register
    def _handle_loan(
        self, body: ttypes.LoanGrant, sender: str, generation: int
    ) -> bool:
        self.counters.borrowed += self.keeper.borrow(sender, body, _now())
        for lender in self._lenders.values():
            if lender.sent_ms == body.stamp_ms:
                lender.answered_ms = body.stamp_ms
                lender.misses = 0
        return True


def build_limiter(
    membership: Membership,
    network: Network,
    bounds: QuotaBounds,
    find_least: Callable[[int], int | None],
    rng: random.Random,
) -> QuotaLimiter:
    """Build the limiter of a mesh node.

    Args:
        membership: The members, and this node's own record.
        network: Sends datagrams.
        bounds: The rule.
        find_least: As in FleetView.
        rng: Source of random choices.
    """
    local = membership.local_member

    def generation() -> int:
        return membership.local_member.generation

    def send(node: str, body: object) -> None:
        network.send(node, generation(), body)

    view = FleetView(local.node, local.domain, membership.table, find_least)
    return QuotaLimiter(view, generation, send, bounds, rng)


def _now() -> float:
    return asyncio.get_running_loop().time()
