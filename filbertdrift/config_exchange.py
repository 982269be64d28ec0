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

# A narrow link that is busy takes its time for a document.
FETCH_TIMEOUT_S = 2.0
FETCH_GIVE_UP_S = 1.0
# A fetch that takes longer than that gets company from another peer.
SLOW_FETCH_S = 0.4
MAX_FETCHES = 2
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
        # Peers that are being asked, and since when.
        self._asked_at: dict[str, float] = {}
        self._next_sender = ''
        self._tasks: set[asyncio.Task[None]] = set()
        membership.config_digest = holder.digest
        membership.on_config_digest = self.compare

    def notify(self) -> None:
        """Tell a few members which version is in force here."""
        version, digest = self._holder.digest()
        notice = ttypes.ConfigNotice(version, digest, [])
        self._membership.gossip(notice)

    def on_notice(self, sender: str, notice: ttypes.ConfigNotice) -> None:
        """Fetch what a peer tells of if it is newer."""
        digest = notice.config_digest or b''
        self.compare(sender, notice.config_offset, digest)

    def compare(self, sender: str, version: int, digest: bytes) -> None:
        """Fetch what a peer holds if it is newer.

        Args:
            sender: The peer.
            version: The version in force there.
            digest: The digest of its document.
        """
        if version <= self._holder.version or sender in self._asked_at:
            return
        if not self._may_fetch():
            self._next_sender = sender
            return
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

    def _may_fetch(self) -> bool:
        """Tell whether another peer may be asked now."""
        if not self._asked_at:
            return True
        if len(self._asked_at) >= MAX_FETCHES:
            return False
        now = asyncio.get_running_loop().time()
        return now - min(self._asked_at.values()) >= SLOW_FETCH_S

    async def _fetch_newer(self, sender: str) -> None:
        while sender and sender not in self._asked_at:
            self._next_sender = ''
            self._asked_at[sender] = asyncio.get_running_loop().time()
            try:
                is_newer = await self._fetch(sender)
            finally:
                self._asked_at.pop(sender, None)
            if is_newer:
                self.notify()
            sender = self._next_sender

    async def _fetch(self, peer: str) -> bool:
        deadline = asyncio.get_running_loop().time() + FETCH_TIMEOUT_S
        question = ttypes.PullConfig(self._holder.version, whole=True)
        try:
            reply = await self._links.ask(
                peer,
                question,
                deadline,
                FETCH_GIVE_UP_S,
            )
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
