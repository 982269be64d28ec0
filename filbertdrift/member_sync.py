"""Exchange of whole parts of the member table between two nodes."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from filbertdrift.admission import RateLimit
from filbertdrift.errors import MalformedMessage
from filbertdrift.gen import ttypes
from filbertdrift.link import LinkPool
from filbertdrift.members import Member, MemberTable, to_entry

SYNC_TIMEOUT_S = 5.0
LARGE_SYNC_ENTRIES = 64
LARGE_SYNCS_PER_S = 20.0
LARGE_SYNC_BURST = 8
MS_PER_S = 1000


@dataclass(slots=True)
class SyncCounters:
    """Exchanges begun and answered."""

    asked: int = 0
    served: int = 0
    deferred: int = 0


class MemberSync:
    """Compares the buckets of the member table with another node's.

    Args:
        table: All members.
        links: Connections to the other nodes.
        me: Returns this node as a member.
        rng: Spreads times.
    """

    def __init__(
        self,
        table: MemberTable,
        links: LinkPool,
        me: Callable[[], Member],
        rng: random.Random,
    ) -> None:
        """Start without exchanges."""
        self.counters = SyncCounters()
        self._table = table
        self._links = links
        self._me = me
        self._rng = rng
        self._limit = RateLimit(LARGE_SYNCS_PER_S, LARGE_SYNC_BURST, rng)

    async def ask(self, peer: str) -> Sequence[ttypes.MemberEntry]:
        """Return the members that a peer knows otherwise.

        Args:
            peer: The node to ask.

        Returns:
            Its entries in all buckets that differ.

        Raises:
            PeerUnavailable: The peer did not answer.
            MalformedMessage: It answered something else.
        """
        deadline = asyncio.get_running_loop().time() + SYNC_TIMEOUT_S
        while True:
            self.counters.asked += 1
            question = ttypes.SyncMembers(
                self._table.buckets,
                to_entry(self._me()),
            )
            reply = await self._links.ask(peer, question, deadline)
            if not isinstance(reply, ttypes.MembersDelta):
                raise MalformedMessage('no members', step='sync', peer=peer)
            if not reply.come_back_ms:
                return reply.entries or ()
            spread = 0.5 + self._rng.random()
            await asyncio.sleep(reply.come_back_ms * spread / MS_PER_S)

    def serve(self, question: ttypes.SyncMembers) -> ttypes.MembersDelta:
        """Return the answer to another node's question.

        Args:
            question: Its bucket digests.

        Returns:
            The entries of differing buckets, or the retry-after delay.
        """
        differing = self._table.differing_buckets(question.buckets or ())
        found = self._table.in_buckets(differing)
        retry_after_ms = 0
        if len(found) > LARGE_SYNC_ENTRIES:
            now = asyncio.get_running_loop().time()
            retry_after_ms = self._limit.retry_after_ms(now)
        if retry_after_ms:
            self.counters.deferred += 1
            return ttypes.MembersDelta([], retry_after_ms)
        self.counters.served += 1
        return ttypes.MembersDelta([to_entry(member) for member in found], 0)
