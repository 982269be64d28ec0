"""Repair of crash notices that were lost on their way."""

import asyncio

from filbertdrift.crashes import CrashLedger
from filbertdrift.errors import PeerUnavailable
from filbertdrift.gen import ttypes
from filbertdrift.link import LinkPool

SYNC_TIMEOUT_S = 2.0
SYNC_INTERVAL_S = 1.0


class CrashSync:
    """Fetches notices from a node whose digest differs.

    Args:
        ledger: The notices this node has.
        links: Connections to the other nodes.
    """

    def __init__(self, ledger: CrashLedger, links: LinkPool) -> None:
        """Start without an exchange."""
        self._ledger = ledger
        self._links = links
        self._next_at = 0.0
        self._task: asyncio.Task[None] | None = None

    def compare(self, sender: str, digest: int) -> None:
        """Fetch what a peer knows if its digest differs.

        Args:
            sender: The peer.
            digest: The digest of its notices.
        """
        now = asyncio.get_running_loop().time()
        if not digest or digest == self._ledger.digest():
            return
        if now < self._next_at:
            return
        self._next_at = now + SYNC_INTERVAL_S
        self._task = asyncio.get_running_loop().create_task(self._ask(sender))

    def serve(self, question: ttypes.SyncCrashes) -> ttypes.CrashesDelta:
        """Return the notices that another node does not know."""
        known_ids = set(question.known_ids or ())
        return ttypes.CrashesDelta(self._ledger.notices_except(known_ids))

    async def _ask(self, peer: str) -> None:
        deadline = asyncio.get_running_loop().time() + SYNC_TIMEOUT_S
        question = ttypes.SyncCrashes(self._ledger.known_ids())
        try:
            reply = await self._links.ask(peer, question, deadline)
        except PeerUnavailable:
            return
        if isinstance(reply, ttypes.CrashesDelta):
            for notice in reply.notices or ():
                self._ledger.on_peer_notice(notice)
