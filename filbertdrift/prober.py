"""Failure detection as in SWIM: direct and indirect pings."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from filbertdrift.gen import ttypes
from filbertdrift.members import Member, MemberStatus, MemberTable

INDIRECT_PINGS = 3
INDIRECT_TIMEOUT_FACTOR = 2
PING_BATCH = 64
RECENT_S = 1.5

Send = Callable[[str, object], None]


@dataclass(slots=True)
class ProberCounters:
    """Pings sent and acks that timed out."""

    pings: int = 0
    missed_acks: int = 0


class Prober:
    """Pings members and awaits their acks.

    Args:
        node: This node's address.
        table: All members.
        send: Sends a datagram to a node.
        digest: Returns this node's state digest, sent with every ping.
        ack_timeout_s: How long to wait for an ack.
        rng: Shuffles members and samples relays.
    """

    def __init__(
        self,
        node: str,
        table: MemberTable,
        send: Send,
        digest: Callable[[], ttypes.StateDigest],
        ack_timeout_s: float,
        rng: random.Random,
    ) -> None:
        """Start without pings in flight."""
        self.counters = ProberCounters()
        self._node = node
        self._table = table
        self._send = send
        self._digest = digest
        self._ack_timeout_s = ack_timeout_s
        self._rng = rng
        self._sequence = 0
        self._acks: dict[int, asyncio.Future[None]] = {}
        self._ping_order: list[str] = []
        # When pings were acked lately, and how long that took.
        self._round_trips: deque[tuple[float, float]] = deque()

    def next_in_domain(self, domain: str) -> Member | None:
        """Return the next member of a domain to ping.

        Each round visits every member once, in random order.
        """
        for _ in range(2):
            while self._ping_order:
                member = self._table.get(self._ping_order.pop())
                if member and member.status != MemberStatus.DEAD:
                    return member
            self._ping_order = [
                member.node
                for member in self._table.in_domain(domain)
                if member.node != self._node
            ]
            self._rng.shuffle(self._ping_order)
        return None

    async def ping(self, node: str) -> bool:
        """Ping a node; return whether its ack arrived in time."""
        self.counters.pings += 1
        sent_at = asyncio.get_running_loop().time()
        sequence, fut = self._expect_ack()
        self._send(node, ttypes.Ping(sequence, self._digest()))
        is_acked = await self._await_ack(sequence, fut, self._ack_timeout_s)
        if is_acked:
            self._record_round_trip(sent_at)
        return is_acked

    def recent_delay_s(self) -> float:
        """Return the least round trip of the pings acked lately.

        Returns:
            Infinity if none was acked within RECENT_S.
        """
        self._drop_old_round_trips()
        return min(
            (delay_s for _, delay_s in self._round_trips),
            default=float('inf'),
        )

    async def probe(self, member: Member) -> bool:
        """Ping a member, then also indirectly through relays in its domain.

        Returns:
            True if an ack arrived in time.
        """
        if await self.ping(member.node):
            return True
        relays = [
            relay.node
            for relay in self._table.in_domain(member.domain)
            if relay.node not in {self._node, member.node}
        ]
        sampled = self._rng.sample(relays, min(INDIRECT_PINGS, len(relays)))
        sequence, fut = self._expect_ack()
        for relay in sampled:
            self._send(relay, ttypes.PingRequest(sequence, member.node))
        self._send(member.node, ttypes.Ping(sequence, self._digest()))
        timeout_s = self._ack_timeout_s * INDIRECT_TIMEOUT_FACTOR
        return await self._await_ack(sequence, fut, timeout_s)

    async def relay_ping(self, sender: str, req: ttypes.PingRequest) -> None:
        """Serve a ping request: ping its node and relay the ack."""
        if await self.ping(req.node):
            self._send(sender, ttypes.Ack(req.sequence, None, []))

    async def ping_all(self) -> None:
        """Ping every member once."""
        members = [
            member.node
            for member in self._table.alive()
            if member.node != self._node
        ]
        for start in range(0, len(members), PING_BATCH):
            batch = members[start : start + PING_BATCH]
            await asyncio.gather(*(self.ping(node) for node in batch))

    def on_ack(self, sequence: int) -> None:
        """Handle the ack of a ping."""
        fut = self._acks.get(sequence)
        if fut and not fut.done():
            fut.set_result(None)

    def _record_round_trip(self, sent_at: float) -> None:
        now = asyncio.get_running_loop().time()
        self._round_trips.append((now, now - sent_at))
        self._drop_old_round_trips()

    def _drop_old_round_trips(self) -> None:
        now = asyncio.get_running_loop().time()
        while self._round_trips and self._round_trips[0][0] < now - RECENT_S:
            self._round_trips.popleft()

    def _expect_ack(self) -> tuple[int, asyncio.Future[None]]:
        self._sequence += 1
        fut = asyncio.get_running_loop().create_future()
        self._acks[self._sequence] = fut
        return self._sequence, fut

    async def _await_ack(
        self,
        sequence: int,
        fut: asyncio.Future[None],
        timeout_s: float,
    ) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                await fut
        except TimeoutError:
            self.counters.missed_acks += 1
            return False
        finally:
            self._acks.pop(sequence, None)
        return True
