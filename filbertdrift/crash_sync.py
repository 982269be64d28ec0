"""Anti-entropy for crash notices: fetches those that gossip lost."""

import asyncio

from filbertdrift.crashes import CrashLedger
from filbertdrift.errors import PeerUnavailable
from filbertdrift.gen import ttypes
from filbertdrift.link import LinkPool

SYNC_TIMEOUT_S = 2.0
SYNC_INTERVAL_S = 1.0


class CrashSync:
    """Fetches missing notices from a node whose digest differs.

    Args:
        ledger: This node's notices.
        links: Connections to the other nodes.
    """

    def __init__(self, ledger: CrashLedger, links: LinkPool) -> None:
        """Start without a sync."""
        self._ledger = ledger
        self._links = links
        self._next_sync_at = 0.0
        self._task: asyncio.Task[None] | None = None

    def compare(self, sender: str, digest: int) -> None:
        """Fetch missing notices from a peer if its digest differs.

        Args:
            sender: The peer.
            digest: The digest of its notices.
        """
        now = asyncio.get_running_loop().time()
        if not digest or digest == self._ledger.digest():
            return
        if now < self._next_sync_at:
            return
        self._next_sync_at = now + SYNC_INTERVAL_S
        self._task = asyncio.get_running_loop().create_task(self._fetch(sender))

    def serve(self, request: ttypes.SyncCrashes) -> ttypes.CrashesDelta:
        """Return the notices that the requesting node is missing."""
        known_ids = set(request.known_ids or ())
        return ttypes.CrashesDelta(self._ledger.list_notices_except(known_ids))

    async def _fetch(self, peer: str) -> None:
        deadline = asyncio.get_running_loop().time() + SYNC_TIMEOUT_S
        request = ttypes.SyncCrashes(self._ledger.known_ids())
        try:
            reply = await self._links.ask(peer, request, deadline)
        except PeerUnavailable:
            return
        if isinstance(reply, ttypes.CrashesDelta):
            for notice in reply.notices or ():
                self._ledger.on_peer_notice(notice)
