"""Exchange of configuration documents between nodes.

A document is large and a change of it small, so nodes send deltas: with the
announcement of a change if it fits a datagram, else when a peer asks. A whole
document is sent only to a node that has none in common with its peer. Notices
also carry the evidence that the sender's version is the newest one.
"""

import asyncio
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift.config_holder import ConfigHolder
from filbertdrift.document_delta import (
    MAX_DOCUMENT_BYTES,
    apply_delta,
    encode_delta,
)
from filbertdrift.errors import MalformedMessage, PeerUnavailable
from filbertdrift.freshness import Freshness
from filbertdrift.gen import ttypes
from filbertdrift.link import KEEPALIVE_TIMEOUT_S, LinkPool
from filbertdrift.membership import Membership
from filbertdrift.wire import MAX_DATAGRAM_BYTES

# A reply that is on its way over a full link arrives late. Asking again would
# queue it behind the same bytes, so a fetch waits as long as its connection
# lasts, and other peers are asked meanwhile (hedged requests).
FETCH_TIMEOUT_S = 8.0
FETCH_SILENCE_TIMEOUT_S = KEEPALIVE_TIMEOUT_S
HEDGE_DELAY_S = 0.4
MAX_CONCURRENT_FETCHES = 4
# What a datagram takes beside the delta.
NOTICE_OVERHEAD_BYTES = 250
MAX_PUSH_BYTES = MAX_DATAGRAM_BYTES - NOTICE_OVERHEAD_BYTES
# Between two pushes to a peer that is found to lag behind.
MIN_PUSH_INTERVAL_S = 0.3
MS_PER_S = 1000


@dataclass(slots=True)
class ExchangeCounters:
    """Configuration documents sent to and received from peers."""

    failed_fetches: int = 0
    adopted_deltas: int = 0
    unusable_deltas: int = 0
    sent_deltas: int = 0
    sent_documents: int = 0
    pushes: int = 0
    confirmations: int = 0


class ConfigExchange:
    """Announces new documents to peers and fetches newer ones from them.

    Digests on pings and acks repair lost announcements: a node that lacks a
    document fetches it, and one that has it pushes the delta.

    Args:
        holder: Holds the document of this node.
        freshness: Evidence that the document is the newest one.
        membership: The other nodes.
        links: Connections to the other nodes.
    """

    def __init__(
        self,
        holder: ConfigHolder,
        freshness: Freshness,
        membership: Membership,
        links: LinkPool,
    ) -> None:
        """Create an exchange and subscribe to digests of peers."""
        self.counters = ExchangeCounters()
        self._holder = holder
        self._freshness = freshness
        self._membership = membership
        self._links = links
        self._fetch_started_at: dict[str, float] = {}
        self._next_sender = ''
        self._tasks: set[asyncio.Task[None]] = set()
        # Deltas to the version in force, by the version they apply to.
        self._deltas: dict[int, bytes] = {}
        self._deltas_version = holder.version
        self._compressed = b''
        self._pushed_at: dict[str, float] = {}
        # A delta could not be applied, so the next fetch asks for a document.
        self._needs_document = False
        membership.config_digest = holder.digest
        membership.on_config_digest = self.compare

    def notify(self) -> None:
        """Announce the version in force here to a sample of members."""
        previous = list(self._holder.documents)[-2:-1]
        self._membership.gossip(self._build_notice(previous))

    def send_confirmation(self) -> None:
        """Send the newest evidence to a sample of members."""
        self.counters.confirmations += 1
        self._membership.gossip(self._build_notice(()))

    def on_notice(self, sender: str, notice: ttypes.ConfigNotice) -> None:
        """Adopt the announced document, or fetch it if that is not possible."""
        version = notice.config_offset
        self._holder.record_announcement(version)
        is_adopted = version > self._holder.version and self._adopt_delta(
            notice.records or (), sender
        )
        is_confirmed = (
            notice.confirmation is not None
            and self._freshness.record_from_peer(sender, notice.confirmation)
        )
        if is_adopted:
            self.notify()
        elif is_confirmed:
            # Each domain has readers of its own, and some of them send far.
            self.counters.confirmations += 1
            self._membership.gossip(
                self._build_notice(()),
                self._membership.sample_peers(is_far=False),
            )
        self.compare(sender, version, notice.config_digest or b'')

    def compare(self, sender: str, version: int, digest: bytes) -> None:
        """Fetch a peer's document if it is newer, push it if it is older.

        Args:
            sender: The peer.
            version: The version in force on the peer.
            digest: The digest of its document.
        """
        if version < self._holder.version:
            self._push(sender, version)
            return
        self._holder.record_announcement(version)
        if version == self._holder.version:
            return
        peer = self._choose_peer(sender, version)
        if peer in self._fetch_started_at:
            return
        if not self._may_fetch():
            self._next_sender = peer
            return
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._fetch_newer(peer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def serve(self, req: ttypes.PullConfig) -> ttypes.ConfigDelta:
        """Return what a requester lacks: a delta if possible, or all."""
        version, digest = self._holder.digest()
        delta = ttypes.ConfigDelta([], version, digest, None, 0)
        if version <= (req.config_offset or 0):
            return delta
        held = () if req.whole else req.held_versions or ()
        delta.records = self._build_records(held)
        if delta.records:
            self.counters.sent_deltas += 1
        else:
            self.counters.sent_documents += 1
            delta.checkpoint = self._compressed_document()
        return delta

    async def fetch(self, peers: Sequence[str]) -> bool:
        """Fetch from one of several peers, the next one if it is slow.

        Returns:
            True if a document was adopted.
        """
        loop = asyncio.get_running_loop()
        pending: set[asyncio.Task[bool]] = set()
        try:
            for peer in peers:
                pending.add(loop.create_task(self._fetch(peer)))
                done, pending = await asyncio.wait(
                    pending,
                    timeout=HEDGE_DELAY_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if any(task.result() for task in done):
                    return True
            if pending:
                done, pending = await asyncio.wait(
                    pending, timeout=HEDGE_DELAY_S
                )
                return any(task.result() for task in done)
            return False
        finally:
            for task in pending:
                task.cancel()

    # Fetches

    def _choose_peer(self, sender: str, version: int) -> str:
        """Return the peer to fetch from.

        On a full link it takes long to open a connection, so a peer that has
        the version and an open connection is preferred to the sender.
        """
        if self._is_connected(sender):
            return sender
        for node, contact in self._membership.last_contacts.items():
            is_idle = node not in self._fetch_started_at
            has_version = contact.offset >= version
            if has_version and is_idle and self._is_connected(node):
                return node
        return sender

    def _is_connected(self, peer: str) -> bool:
        is_ready = self._links.ready(peer) is not None
        return is_ready and not self._links.is_suspect(peer)

    def _may_fetch(self) -> bool:
        """Return whether another fetch may start now."""
        if not self._fetch_started_at:
            return True
        if len(self._fetch_started_at) >= MAX_CONCURRENT_FETCHES:
            return False
        now = asyncio.get_running_loop().time()
        return now - max(self._fetch_started_at.values()) >= HEDGE_DELAY_S

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
            is_behind = self._holder.version < self._holder.announced_version
            sender = self._next_sender if is_behind else ''

    async def _fetch(self, peer: str) -> bool:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = started_at + FETCH_TIMEOUT_S
        req = ttypes.PullConfig(
            self._holder.version,
            whole=self._needs_document,
            held_versions=list(self._holder.documents),
        )
        try:
            reply = await self._links.ask(
                peer,
                req,
                deadline,
                FETCH_SILENCE_TIMEOUT_S,
            )
            return self._adopt_reply(reply, peer)
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

    def _adopt_reply(self, reply: object, peer: str) -> bool:
        if not isinstance(reply, ttypes.ConfigDelta):
            raise MalformedMessage('no configuration', step='fetch config')
        if not reply.checkpoint:
            return self._adopt_delta(reply.records or (), peer)
        self._needs_document = False
        return self._holder.offer(_decompress(reply.checkpoint), peer)

    def _adopt_delta(
        self, records: Sequence[ttypes.OffsetRecord], peer: str
    ) -> bool:
        """Adopt the document that one of the deltas leads to."""
        for record in records:
            document = self._holder.documents.get(record.offset)
            if document is None:
                continue
            try:
                newer = apply_delta(document, record.payload or b'')
            except MalformedMessage as exc:
                self.counters.unusable_deltas += 1
                self._needs_document = True
                logger.bind(event='config_delta_refused', peer=peer).warning(
                    'delta from version {}: {}', record.offset, exc
                )
                continue
            if self._holder.offer(newer, peer):
                self.counters.adopted_deltas += 1
                return True
        return False

    # Announcements

    def _push(self, peer: str, version: int) -> None:
        """Send a peer that lags behind the delta, if it fits a datagram."""
        now = asyncio.get_running_loop().time()
        if now - self._pushed_at.get(peer, 0) < MIN_PUSH_INTERVAL_S:
            return
        notice = self._build_notice((version,))
        if notice.records:
            self.counters.pushes += 1
            self._pushed_at[peer] = now
            self._membership.gossip(notice, (peer,))

    def _build_notice(self, versions: Sequence[int]) -> ttypes.ConfigNotice:
        version, digest = self._holder.digest()
        records = [
            record
            for record in self._build_records(versions)
            if len(record.payload) <= MAX_PUSH_BYTES
        ]
        return ttypes.ConfigNotice(
            version, digest, records, self._freshness.to_message()
        )

    def _build_records(
        self, versions: Sequence[int]
    ) -> list[ttypes.OffsetRecord]:
        """Return the delta from the newest of some versions, if one is held."""
        self._forget_older_deltas()
        documents = self._holder.documents
        common = [version for version in versions if version in documents]
        if not common or max(common) == self._holder.version:
            return []
        base = max(common)
        delta = self._deltas.get(base)
        if delta is None:
            delta = encode_delta(documents[base], self._holder.document)
            self._deltas[base] = delta
        return [ttypes.OffsetRecord(base, delta)]

    def _compressed_document(self) -> bytes:
        self._forget_older_deltas()
        if not self._compressed:
            self._compressed = zlib.compress(self._holder.document)
        return self._compressed

    def _forget_older_deltas(self) -> None:
        if self._deltas_version != self._holder.version:
            self._deltas_version = self._holder.version
            self._deltas.clear()
            self._compressed = b''
            self._pushed_at.clear()


def _decompress(raw: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(raw, MAX_DOCUMENT_BYTES)
    except zlib.error as exc:
        raise MalformedMessage(str(exc), step='fetch config') from exc
    if not decompressor.eof:
        raise MalformedMessage('document too large', step='fetch config')
    return document
