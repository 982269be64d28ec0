"""Anti-entropy: two nodes exchange the buckets in which they differ."""

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
    """Requests sent, served and deferred."""

    asked: int = 0
    served: int = 0
    deferred: int = 0


class MemberSync:
    """Anti-entropy of the member table with other nodes.

    Args:
        table: All members.
        links: Connections to the other nodes.
        local_member: Returns this node's own record.
        rng: Adds jitter to delays.
    """

    def __init__(
        self,
        table: MemberTable,
        links: LinkPool,
        local_member: Callable[[], Member],
        rng: random.Random,
    ) -> None:
        """Start without syncs."""
        self.counters = SyncCounters()
        self._table = table
        self._links = links
        self._local_member = local_member
        self._rng = rng
        self._rate_limit = RateLimit(LARGE_SYNCS_PER_S, LARGE_SYNC_BURST, rng)

    async def ask(self, peer: str) -> Sequence[ttypes.MemberEntry]:
        """Fetch the records in which a peer differs.

        Args:
            peer: The node to sync with.

        Returns:
            The peer's entries of all buckets whose digests differ.

        Raises:
            PeerUnavailable: The peer did not reply.
            MalformedMessage: The reply is of another type.
        """
        deadline = asyncio.get_running_loop().time() + SYNC_TIMEOUT_S
        while True:
            self.counters.asked += 1
            req = ttypes.SyncMembers(
                self._table.buckets,
                to_entry(self._local_member()),
            )
            reply = await self._links.ask(peer, req, deadline)
            if not isinstance(reply, ttypes.MembersDelta):
                raise MalformedMessage('no members', step='sync', peer=peer)
            if not reply.come_back_ms:
                return reply.entries or ()
            jitter = 0.5 + self._rng.random()
            delay_s = reply.come_back_ms * jitter / MS_PER_S
            left_s = deadline - asyncio.get_running_loop().time()
            await asyncio.sleep(min(delay_s, max(left_s, 0)))

    def serve(self, req: ttypes.SyncMembers) -> ttypes.MembersDelta:
        """Return the reply to another node's request.

        Args:
            req: Its bucket digests.

        Returns:
            The entries of the differing buckets, or a retry-after delay.
        """
        differing = self._table.differing_buckets(req.buckets or ())
        found = self._table.in_buckets(differing)
        retry_after_ms = 0
        if len(found) > LARGE_SYNC_ENTRIES:
            now = asyncio.get_running_loop().time()
            retry_after_ms = self._rate_limit.retry_after_ms(now)
        if retry_after_ms:
            self.counters.deferred += 1
            return ttypes.MembersDelta([], retry_after_ms)
        self.counters.served += 1
        return ttypes.MembersDelta([to_entry(member) for member in found], 0)
