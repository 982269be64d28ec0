"""How configuration documents pass from node to node."""

import asyncio
import zlib
from collections.abc import Sequence

from loguru import logger

from filbertdrift.config_holder import ConfigHolder
from filbertdrift.errors import MalformedMessage, PeerUnavailable
from filbertdrift.gen import ttypes
from filbertdrift.link import LinkPool
from filbertdrift.membership import Membership

PULL_TIMEOUT_S = 1.0
MAX_DOCUMENT_BYTES = 16_777_216


class ConfigExchange:
    """Tells peers of a newer document and fetches theirs.

    A notice carries only version and digest. Whoever lacks the document asks
    for it; digests on heartbeats repair lost notices.

    Args:
        holder: The document that this node holds.
        membership: The other nodes.
        links: Connections to them.
    """

    def __init__(
        self,
        holder: ConfigHolder,
        membership: Membership,
        links: LinkPool,
    ) -> None:
        """Start without a fetch in progress."""
        self._holder = holder
        self._membership = membership
        self._links = links
        self._is_fetching = False
        self._next_sender = ''
        self._tasks: set[asyncio.Task[None]] = set()
        membership.config_digest = holder.digest
        membership.on_config_digest = self.compare

    def notify(self) -> None:
        """Tell a few members which version is in force here."""
        version, digest = self._holder.digest()
        notice = ttypes.ConfigNotice(version, digest, [])
        self._membership.send_to_drawn(notice)

    def compare(self, sender: str, version: int, digest: bytes) -> None:
        """Fetch what a peer holds if it is newer.

        Args:
            sender: The peer.
            version: The version in force there.
            digest: The digest of its document.
        """
        if version <= self._holder.version:
            return
        if self._is_fetching:
            self._next_sender = sender
            return
        self._is_fetching = True
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._fetch_newer(sender))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def serve(self, question: ttypes.PullConfig) -> ttypes.ConfigDelta:
        """Return the document if it is newer than what a peer holds."""
        version, digest = self._holder.digest()
        delta = ttypes.ConfigDelta([], version, digest, None, 0)
        if version > (question.config_offset or 0):
            delta.checkpoint = zlib.compress(self._holder.document)
        return delta

    async def fetch(self, peers: Sequence[str]) -> bool:
        """Ask several peers at once; tell whether a newer one came."""
        found = await asyncio.gather(*(self._fetch(peer) for peer in peers))
        return any(found)

    async def _fetch_newer(self, sender: str) -> None:
        try:
            while sender:
                self._next_sender = ''
                if await self._fetch(sender):
                    self.notify()
                sender = self._next_sender
        finally:
            self._is_fetching = False

    async def _fetch(self, peer: str) -> bool:
        deadline = asyncio.get_running_loop().time() + PULL_TIMEOUT_S
        question = ttypes.PullConfig(self._holder.version, whole=True)
        try:
            reply = await self._links.ask(peer, question, deadline)
            document = _document(reply)
        except (PeerUnavailable, MalformedMessage) as exc:
            logger.bind(event='config_fetch_failed').info('{}', exc)
            return False
        return bool(document) and self._holder.offer(document, peer)


def _document(reply: object) -> bytes:
    if not isinstance(reply, ttypes.ConfigDelta):
        raise MalformedMessage('no configuration', step='fetch config')
    if not reply.checkpoint:
        return b''
    inflate = zlib.decompressobj()
    try:
        document = inflate.decompress(reply.checkpoint, MAX_DOCUMENT_BYTES)
    except zlib.error as exc:
        raise MalformedMessage(str(exc), step='fetch config') from exc
    if not inflate.eof:
        raise MalformedMessage('document too large', step='fetch config')
    return document
