"""Asks the keeper of one slot for tokens, for all accounts of the slot."""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from loguru import logger

from filbertdrift.accounts.fleet_view import FleetView
from filbertdrift.accounts.lease import Lease
from filbertdrift.accounts.pledges import KeeperId, Pledge
from filbertdrift.accounts.quota_bounds import RENEW_S
from filbertdrift.gen import ttypes

# Requests that arrive within this time are asked for together.
COALESCE_S = 0.002
# A reply takes a few ms; an event loop that is busy delays it by some 10 ms.
ASK_TIMEOUT_S = 0.04
# A keeper that misses this many asks in a row is avoided until it replies. With
# one datagram in 100 lost, two misses in a row happen every few minutes.
MAX_MISSED = 3
# Such a keeper is tried again, without requests that wait for it.
AVOID_S = 1.0
# An ask fits a datagram of 1,200 bytes, names of accounts included.
MAX_WANTS_BYTES = 1000
WANT_BYTES = 12
MS_PER_S = 1000

Send = Callable[[str, object], None]


@dataclass(slots=True)
class Peer:
    """What is known of a keeper, and its time stamp that arrived last."""

    keeper: KeeperId | None = None
    stamp_ms: int | None = None
    stamp_arrived_at: float = 0.0
    missed: int = 0
    is_responsive: bool = True
    # When an unresponsive keeper is tried again.
    retry_at: float = 0.0

    def clock_ms(self, now: float) -> int | None:
        """Return a time that the keeper's clock has certainly reached."""
        if self.stamp_ms is None:
            return None
        return self.stamp_ms + int((now - self.stamp_arrived_at) * MS_PER_S)


@dataclass(slots=True)
class AskCounters:
    """Asks of this node for tokens."""

    sent: int = 0
    missed: int = 0
    avoided_keepers: int = 0


@dataclass(frozen=True, slots=True)
class PendingAsk:
    """The ask on its way."""

    sequence: int
    node: str
    asked_at: float
    timer: asyncio.TimerHandle | None = None
    leases: list[Lease] = field(default_factory=list)


class SlotClient:
    """This node's asks for the accounts of one slot.

    Args:
        slot: The number of the slot.
        view: Who keeps the slot.
        send: Sends a message to a node, which may be this one.
        counters: Counts the asks of all slots.
        started_at: When this process started.
    """

    def __init__(
        self,
        slot: int,
        view: FleetView,
        send: Send,
        counters: AskCounters,
        started_at: float,
    ) -> None:
        """Start with no lease; the share is free after a while."""
        self.leases: dict[str, Lease] = {}
        self.share_millionths = 0
        self._slot = slot
        self._view = view
        self._send = send
        self._counters = counters
        self._pledge = Pledge(started_at)
        # The next ask because of the pledge.
        self._due_at = _now()
        self._peers: dict[str, Peer] = {}
        self._pending: PendingAsk | None = None
        self._wake_timer: asyncio.TimerHandle | None = None
        self._sequence = 0

    @property
    def keeper(self) -> str:
        """Return the node that is asked for tokens."""
        for node in self._view.candidates(self._slot):
            if self._peer(node).is_responsive:
                return node
        return self._view.node

    def forget(self) -> None:
        """Drop all tokens; the share is free after a while."""
        self._pledge = Pledge(_now())
        self._due_at = _now()
        self.close()
        self._pending = None
        self._wake_timer = None
        for lease in self.leases.values():
            lease.tokens = 0

    def wake(self) -> None:
        """Ask soon, when no other ask is on its way."""
        if self._pending is None and self._wake_timer is None:
            loop = asyncio.get_running_loop()
            self._wake_timer = loop.call_later(COALESCE_S, self._flush)

    def tick(self, elapsed_s: float) -> None:
        """Ask ahead of demand, and renew the pledge.

        Args:
            elapsed_s: The time since the last tick.
        """
        now = _now()
        is_due = now >= self._due_at
        for lease in self.leases.values():
            if lease.tick(elapsed_s) and lease.is_low(now):
                is_due = True
        if is_due and self._pending is None:
            self._ask(self._find_retry(now))

    def close(self) -> None:
        """Cancel all timers."""
        if self._wake_timer:
            self._wake_timer.cancel()
        if self._pending and self._pending.timer:
            self._pending.timer.cancel()

    def on_grant(
        self, sender: str, generation: int, grant: ttypes.QuotaGrant
    ) -> None:
        """Handle the reply to the ask on its way; others are ignored.

        Args:
            sender: The keeper.
            generation: Its generation.
            grant: Its message.
        """
        pending = self._pending
        if pending is None or pending.sequence != grant.sequence:
            return
        if pending.node != sender:
            return
        if pending.timer:
            pending.timer.cancel()
        self._pending = None
        keeper = KeeperId(sender, generation)
        peer = self._peer(sender)
        is_new = peer.keeper != keeper or not peer.is_responsive
        now = _now()
        peer.keeper = keeper
        peer.stamp_ms = grant.stamp_ms
        peer.stamp_arrived_at = now
        peer.missed = 0
        peer.is_responsive = True
        for tokens in grant.grants or ():
            lease = self.leases.get(tokens.account)
            if lease is not None:
                lease.on_grant(tokens, keeper, pending.asked_at, now)
        if is_new or any(lease.waiting for lease in self.leases.values()):
            # A new keeper gets the pledge now that its clock is known.
            self.wake()

    def _flush(self) -> None:
        self._wake_timer = None
        if self._pending is None:
            self._ask()

    def _find_retry(self, now: float) -> str:
        """Return an unresponsive keeper that is to be tried again, or ''."""
        for node in self._view.candidates(self._slot):
            peer = self._peer(node)
            if peer.is_responsive:
                return ''
            if now >= peer.retry_at:
                return node
        return ''

    def _peer(self, node: str) -> Peer:
        return self._peers.setdefault(node, Peer())

    def _ask(self, retried: str = '') -> None:
        """Ask the keeper; or send a pledge only to one that is tried again."""
        now = _now()
        node = retried or self.keeper
        peer = self._peer(node)
        leases = [] if retried else list(self._leases_to_ask(now))
        self._sequence += 1
        ask = ttypes.QuotaAsk(
            sequence=self._sequence,
            slot=self._slot,
            share_millionths=self._share_for(peer, now),
            stamp_ms=peer.clock_ms(now),
            wants=[lease.to_want(peer.keeper, now) for lease in leases] or None,
        )
        timer = None
        if node != self._view.node:
            loop = asyncio.get_running_loop()
            timer = loop.call_later(
                ASK_TIMEOUT_S, self._on_missed, self._sequence
            )
        self._pending = PendingAsk(self._sequence, node, now, timer)
        self._counters.sent += 1
        self._send(node, ask)

    def _share_for(self, peer: Peer, now: float) -> int | None:
        """Return the share to pledge to a keeper, None if it is not free."""
        keeper = peer.keeper
        self._due_at = now + RENEW_S
        if keeper is None or not peer.is_responsive:
            return None
        if not self._pledge.may_give(keeper, now):
            self._due_at = min(self._due_at, self._pledge.free_at)
            return None
        self._pledge.record(keeper, now)
        return self.share_millionths

    def _leases_to_ask(self, now: float) -> Iterator[Lease]:
        size_bytes = 0
        for lease in self.leases.values():
            if not lease.waiting and not lease.is_low(now):
                continue
            size_bytes += len(lease.account) + WANT_BYTES
            if size_bytes > MAX_WANTS_BYTES:
                return
            yield lease

    def _on_missed(self, sequence: int) -> None:
        pending = self._pending
        if pending is None or pending.sequence != sequence:
            return
        self._pending = None
        self._counters.missed += 1
        peer = self._peers[pending.node]
        peer.missed += 1
        if not peer.is_responsive:
            peer.retry_at = _now() + AVOID_S
        elif peer.missed >= MAX_MISSED:
            peer.is_responsive = False
            peer.retry_at = _now() + AVOID_S
            self._counters.avoided_keepers += 1
            logger.bind(
                event='quota_keeper_avoided',
                slot=self._slot,
                keeper=pending.node,
            ).info('keeper {} does not respond', pending.node)
        self._ask()


def _now() -> float:
    return asyncio.get_running_loop().time()
