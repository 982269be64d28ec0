"""Distribution of the configuration from the log to every node.

A few readers in each failure domain, chosen by rendezvous hashing, follow the
log. The other nodes get the configuration from peers: a gossip message
announces a newer offset, a pull fetches the records, and digests on pings and
acks repair lost messages (anti-entropy).
"""

import asyncio
import random
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift.admission import RateLimit
from filbertdrift.errors import (
    LogGap,
    MalformedMessage,
    PeerUnavailable,
    RulesUnknown,
)
from filbertdrift.fold import EMPTY_OFFSET, encode_checkpoint
from filbertdrift.gen import ttypes
from filbertdrift.keeper import ConfigReplica, from_position
from filbertdrift.link import LinkPool
from filbertdrift.log import LogRecord
from filbertdrift.logreader import LOG_ERRORS, LogReader
from filbertdrift.membership import Membership
from filbertdrift.wire import MAX_DATAGRAM_BYTES

NOTICE_OVERHEAD_BYTES = 200
MAX_PUSH_BYTES = MAX_DATAGRAM_BYTES - NOTICE_OVERHEAD_BYTES
PULL_TIMEOUT_S = 3.0
FULL_SYNCS_PER_S = 20.0
FULL_SYNC_BURST = 8
REBUILD_INTERVAL_S = 30.0
REBUILD_RETRY_S = 2.0
MS_PER_S = 1000

_PULL_ERRORS = (PeerUnavailable, MalformedMessage, RulesUnknown)


@dataclass(slots=True)
class DistributionCounters:
    """How often the configuration was exchanged with peers."""

    from_push: int = 0
    from_pull: int = 0
    wholes_served: int = 0
    wholes_deferred: int = 0
    deltas_served: int = 0
    digest_mismatches: int = 0


class Distributor:
    """Exchanges the configuration with other nodes.

    Args:
        replica: The configuration of this node.
        reader: Reads the log.
        membership: The other nodes.
        links: Connections to the other nodes.
        pushes_records: Whether gossip messages carry small records.
        rng: Source of jitter.
    """

    def __init__(
        self,
        replica: ConfigReplica,
        reader: LogReader,
        membership: Membership,
        links: LinkPool,
        *,
        pushes_records: bool,
        rng: random.Random,
    ) -> None:
        """Create a distributor and subscribe to the reader and to gossip."""
        self.counters = DistributionCounters()
        self._replica = replica
        self._reader = reader
        self._membership = membership
        self._links = links
        self._pushes_records = pushes_records
        self._rng = rng
        self._next_rebuild_at = 0.0
        self._is_syncing = False
        self._next_pull = ('', -1)
        self._full_sync_limit = RateLimit(
            FULL_SYNCS_PER_S, FULL_SYNC_BURST, rng
        )
        self._tasks: set[asyncio.Task[None]] = set()
        reader.on_advance = self.notify
        membership.config_digest = replica.digest
        membership.on_config_digest = self.compare

    async def boot(self, peers: Sequence[str]) -> Sequence[str]:
        """Load the newest configuration of several peers and the log.

        Only readers read the log, and other nodes if no peer replies, so that
        the load on the log does not grow with the number of starting nodes.

        Args:
            peers: Nodes to pull from.

        Returns:
            The sources that replied: addresses of peers, and 'log'.
        """
        answers = await asyncio.gather(
            *(self._boot_from(peer) for peer in peers),
        )
        sources = [source for source in answers if source]
        if self._reader.is_reader() or not sources:
            sources.append(await self._boot_from_log())
        return [source for source in sources if source]

    def compare(self, sender: str, position: int, digest: bytes) -> None:
        """Pull if a peer is ahead; rebuild if it differs at this position.

        Args:
            sender: The peer.
            position: The position of its configuration.
            digest: The digest of its configuration.
        """
        self._reader.note_peer()
        own, own_digest = self._replica.digest()
        if position > own and not self._replica.blocked_by:
            if self._is_syncing:
                self._next_pull = (sender, position)
            else:
                self._start_sync(self._pull_and_notify(sender))
        elif position == own and digest and digest != own_digest:
            self.counters.digest_mismatches += 1
            self._start_sync(self._rebuild())

    def on_notice(self, sender: str, notice: ttypes.ConfigNotice) -> None:
        """Apply the records of a gossip message, or pull what is missing."""
        before = self._replica.state.offset
        era, _ = from_position(notice.config_offset)
        try:
            added = self._replica.add(_from_wire(notice.records or ()), era)
        except (LogGap, RulesUnknown):
            added = False
        if added:
            self.counters.from_push += 1
            self.notify(before)
        self.compare(sender, notice.config_offset, notice.config_digest or b'')

    def notify(self, before: int) -> None:
        """Send the new offset to a sample of members.

        Args:
            before: The offset before the configuration advanced.
        """
        state = self._replica.state
        notice = ttypes.ConfigNotice(self._replica.position, state.digest, [])
        if self._pushes_records:
            records = self._replica.records_after(before) or ()
            size = sum(len(record.payload) for record in records)
            if size <= MAX_PUSH_BYTES:
                notice.records = _to_wire(records)
        self._membership.gossip(notice)

    def serve_pull(self, req: ttypes.PullConfig) -> ttypes.ConfigDelta:
        """Return the reply to a pull: a delta, or the full configuration.

        The full configuration is rate-limited; beyond the limit the reply is
        a retry-after delay.
        """
        state = self._replica.state
        position = self._replica.position
        delta = ttypes.ConfigDelta([], position, state.digest, None, 0)
        records = None
        era, offset = from_position(req.config_offset)
        is_comparable = era >= self._replica.era or offset == EMPTY_OFFSET
        if is_comparable and not req.whole:
            records = self._replica.records_after(offset)
        if records is not None:
            self.counters.deltas_served += 1
            delta.records = _to_wire(records)
            return delta
        now = asyncio.get_running_loop().time()
        delta.come_back_ms = self._full_sync_limit.retry_after_ms(now)
        if delta.come_back_ms:
            self.counters.wholes_deferred += 1
        else:
            self.counters.wholes_served += 1
            delta.checkpoint = encode_checkpoint(state)
        return delta

    async def _boot_from(self, peer: str) -> str:
        try:
            await self._pull(peer)
        except _PULL_ERRORS:
            return ''
        return peer

    async def _boot_from_log(self) -> str:
        try:
            await self._reader.boot()
        except LOG_ERRORS as exc:
            logger.warning('configuration not loaded from the log: {}', exc)
            return ''
        return 'log'

    def _start_sync(self, sync: Coroutine[None, None, None]) -> None:
        if self._is_syncing:
            sync.close()
            return
        self._is_syncing = True
        task = asyncio.get_running_loop().create_task(sync)
        self._tasks.add(task)
        task.add_done_callback(self._finish_sync)

    def _finish_sync(self, task: asyncio.Task[None]) -> None:
        self._is_syncing = False
        self._tasks.discard(task)
        sender, position = self._next_pull
        if position > self._replica.position and not task.cancelled():
            self._next_pull = ('', -1)
            self._start_sync(self._pull_and_notify(sender))

    async def _pull_and_notify(self, peer: str) -> None:
        before = self._replica.state.offset
        position = self._replica.position
        try:
            await self._pull(peer)
        except _PULL_ERRORS:
            return
        if self._replica.position > position:
            self.counters.from_pull += 1
            self.notify(before)

    async def _rebuild(self) -> None:
        """Replay the log because a peer's state differs at the same offset."""
        now = asyncio.get_running_loop().time()
        if now < self._next_rebuild_at:
            return
        jitter = 0.5 + self._rng.random()
        self._next_rebuild_at = now + REBUILD_INTERVAL_S * jitter
        try:
            await self._reader.rebuild()
        except LOG_ERRORS as exc:
            self._reader.is_reachable = False
            self._next_rebuild_at = now + REBUILD_RETRY_S * jitter
            logger.warning('configuration not compared with the log: {}', exc)

    async def _pull(self, peer: str) -> None:
        deadline = asyncio.get_running_loop().time() + PULL_TIMEOUT_S
        whole = False
        while True:
            req = ttypes.PullConfig(self._replica.position, whole)
            reply = await self._links.ask(peer, req, deadline)
            if not isinstance(reply, ttypes.ConfigDelta):
                raise MalformedMessage('no config', step='pull', peer=peer)
            if reply.come_back_ms:
                left_s = deadline - asyncio.get_running_loop().time()
                delay_s = reply.come_back_ms / MS_PER_S
                await asyncio.sleep(min(delay_s, max(left_s, 0)))
            elif self._apply(reply):
                return
            else:
                whole = True

    def _apply(self, delta: ttypes.ConfigDelta) -> bool:
        """Apply a delta or checkpoint; return False if records are missing."""
        era, _ = from_position(delta.config_offset)
        if delta.checkpoint:
            self._replica.replace(delta.checkpoint, era)
            return True
        try:
            self._replica.add(_from_wire(delta.records or ()), era)
        except LogGap:
            return False
        return True


def _to_wire(records: Sequence[LogRecord]) -> list[ttypes.OffsetRecord]:
    return [
        ttypes.OffsetRecord(record.offset, record.payload) for record in records
    ]


def _from_wire(records: Sequence[ttypes.OffsetRecord]) -> list[LogRecord]:
    return [LogRecord(record.offset, record.payload) for record in records]
