"""Exchange of configuration documents between nodes."""

import asyncio
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift.config_holder import ConfigHolder
from filbertdrift.errors import MalformedMessage, PeerUnavailable
from filbertdrift.gen import ttypes
from filbertdrift.link import LinkPool
from filbertdrift.membership import Membership

# Allows for the transfer of a document over a narrow, busy connection.
FETCH_TIMEOUT_S = 2.0
FETCH_SILENCE_TIMEOUT_S = 1.0
# After this delay, another announcing peer is asked as well (hedged request).
HEDGE_DELAY_S = 0.4
MAX_CONCURRENT_FETCHES = 2
MAX_DOCUMENT_BYTES = 16_777_216
MS_PER_S = 1000


@dataclass(slots=True)
class ExchangeCounters:
    """Fetches of configuration documents from peers."""

    failed_fetches: int = 0


class ConfigExchange:
    """Announces new documents to peers and fetches newer ones from them.

    A gossip message carries only version and digest; a peer that lacks the
    document fetches it. Digests on pings and acks repair lost gossip messages.

    Args:
        holder: Holds the document of this node.
        membership: The other nodes.
        links: Connections to the other nodes.
    """

    def __init__(
        self,
        holder: ConfigHolder,
        membership: Membership,
        links: LinkPool,
    ) -> None:
        """Create an exchange and subscribe to digests of peers."""
        self.counters = ExchangeCounters()
        self._holder = holder
        self._membership = membership
        self._links = links
        self._fetch_started_at: dict[str, float] = {}
        self._next_sender = ''
        self._tasks: set[asyncio.Task[None]] = set()
        membership.config_digest = holder.digest
        membership.on_config_digest = self.compare

    def notify(self) -> None:
        """Send the version in force here to a sample of members."""
        version, digest = self._holder.digest()
        notice = ttypes.ConfigNotice(version, digest, [])
        self._membership.gossip(notice)

    def on_notice(self, sender: str, notice: ttypes.ConfigNotice) -> None:
        """Fetch the announced document if it is newer."""
        digest = notice.config_digest or b''
        self.compare(sender, notice.config_offset, digest)

    def compare(self, sender: str, version: int, digest: bytes) -> None:
        """Fetch a peer's document if it is newer.

        Args:
            sender: The peer.
            version: The version in force on the peer.
            digest: The digest of its document.
        """
        self._holder.record_announcement(version)
        if version <= self._holder.version or sender in self._fetch_started_at:
            return
        if not self._may_fetch():
            self._next_sender = sender
            return
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._fetch_newer(sender))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def serve(self, req: ttypes.PullConfig) -> ttypes.ConfigDelta:
        """Return the document if it is newer than the requester's."""
        version, digest = self._holder.digest()
        delta = ttypes.ConfigDelta([], version, digest, None, 0)
        if version > (req.config_offset or 0):
            delta.checkpoint = zlib.compress(self._holder.document)
        return delta

    async def fetch(self, peers: Sequence[str]) -> bool:
        """Fetch from several peers; return whether a document was adopted."""
        adopted = await asyncio.gather(*(self._fetch(peer) for peer in peers))
        return any(adopted)

    def _may_fetch(self) -> bool:
        """Return whether another fetch may start now."""
        if not self._fetch_started_at:
            return True
        if len(self._fetch_started_at) >= MAX_CONCURRENT_FETCHES:
            return False
        now = asyncio.get_running_loop().time()
        return now - min(self._fetch_started_at.values()) >= HEDGE_DELAY_S

    async def _fetch_newer(self, sender: str) -> None:
        while sender and sender not in self._fetch_started_at:
            self._next_sender = ''
            self._fetch_started_at[sender] = asyncio.get_running_loop().time()
            try:
                is_newer = await self._fetch(sender)
            finally:
                self._fetch_started_at.pop(sender, None)
            if is_newer:
                self.notify()
            sender = self._next_sender

    async def _fetch(self, peer: str) -> bool:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = started_at + FETCH_TIMEOUT_S
        req = ttypes.PullConfig(self._holder.version, whole=True)
        try:
            reply = await self._links.ask(
                peer,
                req,
                deadline,
                FETCH_SILENCE_TIMEOUT_S,
            )
            document = _decode_document(reply)
        except (PeerUnavailable, MalformedMessage) as exc:
            self.counters.failed_fetches += 1
            logger.bind(
                event='config_fetch_failed',
                peer=peer,
                version=self._holder.version,
                announced=self._holder.announced_version,
                waited_ms=int((loop.time() - started_at) * MS_PER_S),
            ).info('{}', exc)
            return False
        return bool(document) and self._holder.offer(document, peer)


def _decode_document(reply: object) -> bytes:
    if not isinstance(reply, ttypes.ConfigDelta):
        raise MalformedMessage('no configuration', step='fetch config')
    if not reply.checkpoint:
        return b''
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(reply.checkpoint, MAX_DOCUMENT_BYTES)
    except zlib.error as exc:
        raise MalformedMessage(str(exc), step='fetch config') from exc
    if not decompressor.eof:
        raise MalformedMessage('document too large', step='fetch config')
    return document
