"""Distribution of the configuration from the log to every node.

A few readers in each failure domain, chosen by rendezvous rank, follow the
log. Every other node learns from peers: a notice says that there is a newer
configuration, an exchange brings the records, and heartbeats carry a digest
that repairs whatever was lost.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass

from filbertdrift import configfile
from filbertdrift.admission import RateLimit
from filbertdrift.errors import (
    LogGap,
    LogUnavailable,
    MalformedMessage,
    PeerUnavailable,
    RulesUnknown,
)
from filbertdrift.fold import (
    ConfigState,
    decode_checkpoint,
    empty_state,
    encode_checkpoint,
    fold,
)
from filbertdrift.gen import ttypes
from filbertdrift.link import LinkPool
from filbertdrift.log import (
    CHECKPOINT_STREAM,
    CONFIG_STREAM,
    LAST_RECORD,
    LONG_POLL_S,
    Log,
    LogRecord,
)
from filbertdrift.membership import Membership
from filbertdrift.rendezvous import rank
from filbertdrift.wire import MAX_DATAGRAM_BYTES

READERS_PER_DOMAIN = 2
KEPT_RECORDS = 256
KEPT_BYTES = 1024 * 1024
PUSH_BYTES = MAX_DATAGRAM_BYTES - 200
PULL_TIMEOUT_S = 3.0
WHOLE_PER_S = 20.0
WHOLE_BURST = 8
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
CHECKPOINT_RECORDS = 100
CHECKPOINT_CHECK_S = 5.0
REBUILD_INTERVAL_S = 30.0
MS_PER_S = 1000

OnAdopt = Callable[[ConfigState], None]


@dataclass(slots=True)
class DistributionCounters:
    """How the configuration reached this node."""

    adopted: int = 0
    from_log: int = 0
    from_push: int = 0
    from_pull: int = 0
    wholes_received: int = 0
    wholes_served: int = 0
    deltas_served: int = 0
    older_ignored: int = 0
    digest_mismatches: int = 0
    rules_unknown: int = 0
    gaps: int = 0
    log_behind: int = 0
    corrected: int = 0
    checkpoints_written: int = 0


class ConfigKeeper:
    """The newest configuration this node has, and the records behind it.

    Args:
        supported_rules: The highest level of rules this program knows.
    """

    def __init__(
        self,
        supported_rules: int = configfile.RULES_SUPPORTED,
    ) -> None:
        """Start before the first record."""
        self.state = empty_state()
        self.counters = DistributionCounters()
        self.on_adopt: OnAdopt = _ignore_adopt
        self.blocked_by = ''
        self.supported_rules = supported_rules
        self._recent: deque[LogRecord] = deque()
        self._recent_bytes = 0

    def digest(self) -> tuple[int, bytes]:
        """Return the offset and the digest of the configuration."""
        return self.state.offset, self.state.digest

    def add(self, records: Sequence[LogRecord]) -> bool:
        """Fold records that follow the configuration; skip older ones.

        Args:
            records: Records in order.

        Returns:
            True if the configuration moved forward.

        Raises:
            LogGap: Records between are missing.
            RulesUnknown: Only a newer program can judge from here on.
        """
        state = self.state
        added = []
        for record in records:
            if record.offset <= state.offset:
                continue
            try:
                state = fold(
                    state,
                    record.offset,
                    record.payload,
                    self.supported_rules,
                )
            except RulesUnknown as exc:
                self._block(exc)
                raise
            added.append(record)
        if not added:
            return False
        self._remember(added)
        self._adopt(state)
        return True

    def replace(self, payload: bytes) -> bool:
        """Take over a checkpoint if it is newer.

        Args:
            payload: The checkpoint as the log or a peer sent it.

        Returns:
            True if the configuration moved forward.

        Raises:
            MalformedMessage: The bytes are no valid checkpoint.
            RulesUnknown: Only a newer program can use it.
        """
        try:
            state = decode_checkpoint(payload, self.supported_rules)
        except RulesUnknown as exc:
            self._block(exc)
            raise
        if state.offset <= self.state.offset:
            self.counters.older_ignored += 1
            return False
        self.counters.wholes_received += 1
        self._recent.clear()
        self._recent_bytes = 0
        self._adopt(state)
        return True

    def records_after(self, offset: int) -> Sequence[LogRecord] | None:
        """Return the records behind an offset, None if some are gone."""
        if offset >= self.state.offset:
            return ()
        found = [record for record in self._recent if record.offset > offset]
        if not found or found[0].offset != offset + 1:
            return None
        return found

    def correct(self, fresh: 'ConfigKeeper') -> None:
        """Take over a fold of the log that disagrees at the same offset.

        Args:
            fresh: A keeper that folded the log anew.
        """
        is_same_offset = fresh.state.offset == self.state.offset
        if is_same_offset and fresh.state.digest != self.state.digest:
            self.counters.corrected += 1
            self._recent.clear()
            self._recent_bytes = 0
            self._adopt(fresh.state)

    def _block(self, exc: RulesUnknown) -> None:
        self.counters.rules_unknown += 1
        self.blocked_by = str(exc)

    def _adopt(self, state: ConfigState) -> None:
        self.state = state
        self.blocked_by = ''
        self.counters.adopted += 1
        self.on_adopt(state)

    def _remember(self, records: Sequence[LogRecord]) -> None:
        self._recent.extend(records)
        self._recent_bytes += sum(len(found.payload) for found in records)
        while (
            len(self._recent) > KEPT_RECORDS or self._recent_bytes > KEPT_BYTES
        ):
            dropped = self._recent.popleft()
            self._recent_bytes -= len(dropped.payload)


class Distributor:
    """Keeps this node's configuration current and passes it on.

    Args:
        keeper: The configuration.
        membership: The other nodes.
        links: Connections to them.
        log: The platform's log.
        pushes_records: Notices carry small records.
        checkpoint_interval_s: Time between checkpoints, below the retention
            of the log.
        rng: Spreads times.
    """

    def __init__(
        self,
        keeper: ConfigKeeper,
        membership: Membership,
        links: LinkPool,
        log: Log,
        *,
        pushes_records: bool,
        checkpoint_interval_s: float,
        rng: random.Random,
    ) -> None:
        """Start without a pull in progress."""
        self.keeper = keeper
        self.log_is_reachable = False
        self.checkpoint_offset = -1
        self._membership = membership
        self._links = links
        self._log = log
        self._pushes_records = pushes_records
        self._rng = rng
        self._checkpoint_interval_s = checkpoint_interval_s
        self._checkpoint_due_at = 0.0
        self._rebuild_at = 0.0
        self._is_busy = False
        self._next_pull = ('', -1)
        self._whole_limit = RateLimit(WHOLE_PER_S, WHOLE_BURST, rng)
        self._tasks: set[asyncio.Task[None]] = set()
        membership.config_digest = keeper.digest
        membership.on_config_digest = self.compare

    # Boot

    async def boot(self, peers: Sequence[str]) -> Sequence[str]:
        """Take the highest configuration of several peers and the log.

        The log is asked by readers, and by others only if no peer answers,
        so that its load does not grow with the number of nodes that start.

        Args:
            peers: Nodes to ask.

        Returns:
            What answered: peers' addresses, and 'log'.
        """
        answers = await asyncio.gather(
            *(self._boot_from_peer(peer) for peer in peers),
        )
        sources = [source for source in answers if source]
        if self.is_reader() or not sources:
            sources.append(await self._boot_from_log())
        return [source for source in sources if source]

    async def _boot_from_peer(self, peer: str) -> str:
        try:
            await self._pull(peer, whole=False)
        except (PeerUnavailable, MalformedMessage, RulesUnknown):
            return ''
        return peer

    async def _boot_from_log(self) -> str:
        try:
            await self._read_checkpoint()
            await self.catch_up_with_log()
        except (LogUnavailable, LogGap, RulesUnknown, MalformedMessage):
            return ''
        return 'log'

    # From the log

    def is_reader(self) -> bool:
        """Tell whether this node reads the log for its domain."""
        nodes = [
            member.node
            for member in self._membership.table.in_domain(
                self._membership.me.domain,
            )
        ]
        ranked = rank(CONFIG_STREAM, nodes)[:READERS_PER_DOMAIN]
        return self._membership.me.node in ranked

    async def run(self) -> None:
        """Follow the log while this node is a reader, until cancelled."""
        await asyncio.gather(self._follow_log(), self._write_checkpoints())

    async def _follow_log(self) -> None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            if not self.is_reader():
                self.log_is_reachable = False
                await asyncio.sleep(self._jittered(1.0))
                continue
            try:
                await self._catch_up(LONG_POLL_S)
            except (
                LogUnavailable,
                LogGap,
                RulesUnknown,
                MalformedMessage,
            ) as exc:
                self.log_is_reachable = not isinstance(exc, LogUnavailable)
                await asyncio.sleep(self._jittered(backoff_s))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            else:
                backoff_s = FIRST_BACKOFF_S

    async def catch_up_with_log(self) -> None:
        """Fold everything that the log holds now.

        Raises:
            LogUnavailable: The log did not answer.
            LogGap: Records between have expired.
            RulesUnknown: Only a newer program can judge from here on.
        """
        next_offset = self.keeper.state.offset + 2
        while self.keeper.state.offset + 1 < next_offset:
            next_offset = await self._catch_up(0)

    async def _catch_up(self, wait_s: float) -> int:
        wanted = self.keeper.state.offset + 1
        page = await self._log.read(CONFIG_STREAM, wanted, wait_s)
        self.log_is_reachable = True
        if page.next_offset < wanted:
            self.keeper.counters.log_behind += 1
            reason = f'log ends at {page.next_offset - 1}, before {wanted - 1}'
            raise LogGap(reason, step='read log')
        if page.first_offset > wanted:
            self.keeper.counters.gaps += 1
            await self._cross_gap(page.first_offset)
            return page.next_offset
        before = self.keeper.state.offset
        if self.keeper.add(page.records):
            self.keeper.counters.from_log += 1
            self._notify(before)
        return page.next_offset

    async def _cross_gap(self, first_offset: int) -> None:
        before = self.keeper.state.offset
        await self._read_checkpoint()
        if self.keeper.state.offset > before:
            self._notify(before)
        if self.keeper.state.offset < first_offset - 1:
            reason = f'records below {first_offset} have expired'
            raise LogGap(reason, step='read log')

    async def _read_checkpoint(self) -> None:
        page = await self._log.read(CHECKPOINT_STREAM, LAST_RECORD)
        if page.records:
            payload = page.records[-1].payload
            self.keeper.replace(payload)
            stored = decode_checkpoint(payload)
            self.checkpoint_offset = stored.offset

    # Checkpoints

    async def _write_checkpoints(self) -> None:
        while True:
            await asyncio.sleep(self._jittered(CHECKPOINT_CHECK_S))
            if not self.is_checkpointer():
                continue
            try:
                await self.write_checkpoint_if_due()
            except (LogUnavailable, MalformedMessage, RulesUnknown):
                self.log_is_reachable = False

    def is_checkpointer(self) -> bool:
        """Tell whether this node ranks first for writing checkpoints."""
        nodes = [member.node for member in self._membership.table.alive()]
        first = rank(CHECKPOINT_STREAM, nodes)[:1]
        return list(first) == [self._membership.me.node]

    async def write_checkpoint_if_due(self) -> bool:
        """Append a checkpoint if the last kept one is old or gone.

        A checkpoint is a function of its offset, so one too many is harmless
        and a stale writer's cannot push anybody back.

        Returns:
            True if one was written.

        Raises:
            LogUnavailable: The log did not answer.
        """
        state = self.keeper.state
        now = asyncio.get_running_loop().time()
        page = await self._log.read(CHECKPOINT_STREAM, LAST_RECORD)
        config = await self._log.read(CONFIG_STREAM, LAST_RECORD)
        newest = -1
        if page.records:
            newest = decode_checkpoint(page.records[-1].payload).offset
        self.checkpoint_offset = newest
        is_due = (
            now >= self._checkpoint_due_at
            or newest < config.first_offset - 1
            or state.offset - newest >= CHECKPOINT_RECORDS
        )
        if state.offset < max(newest, 0) or not is_due:
            return False
        await self._log.append(CHECKPOINT_STREAM, encode_checkpoint(state))
        self.keeper.counters.checkpoints_written += 1
        self.checkpoint_offset = state.offset
        self._checkpoint_due_at = now + self._checkpoint_interval_s
        return True

    # Between peers

    def compare(self, sender: str, offset: int, digest: bytes) -> None:
        """Fetch what a peer has if it is newer or differs.

        Args:
            sender: The peer.
            offset: The offset of its configuration.
            digest: The digest of its configuration.
        """
        own = self.keeper.state
        if offset > own.offset and not self.keeper.blocked_by:
            if self._is_busy:
                self._next_pull = (sender, offset)
            else:
                self._start(self._pull_quietly(sender))
        elif offset == own.offset and digest and digest != own.digest:
            self.keeper.counters.digest_mismatches += 1
            self._start(self._rebuild_quietly())

    def on_notice(self, sender: str, notice: ttypes.ConfigNotice) -> None:
        """Take a peer's notice of a newer configuration."""
        before = self.keeper.state.offset
        records = [
            LogRecord(record.offset, record.payload)
            for record in notice.records or ()
        ]
        try:
            added = self.keeper.add(records)
        except (LogGap, RulesUnknown):
            added = False
        if added:
            self.keeper.counters.from_push += 1
            self._notify(before)
        self.compare(sender, notice.config_offset, notice.config_digest or b'')

    def serve_pull(self, question: ttypes.PullConfig) -> ttypes.ConfigDelta:
        """Return the answer to another node's request for configuration."""
        state = self.keeper.state
        records = None
        if not question.whole:
            records = self.keeper.records_after(question.config_offset)
        delta = ttypes.ConfigDelta(
            records=[],
            config_offset=state.offset,
            config_digest=state.digest,
            come_back_ms=0,
        )
        if records is not None:
            self.keeper.counters.deltas_served += 1
            delta.records = [
                ttypes.OffsetRecord(found.offset, found.payload)
                for found in records
            ]
            return delta
        now = asyncio.get_running_loop().time()
        delta.come_back_ms = self._whole_limit.come_back_ms(now)
        if not delta.come_back_ms:
            self.keeper.counters.wholes_served += 1
            delta.checkpoint = encode_checkpoint(state)
        return delta

    def _notify(self, before: int) -> None:
        state = self.keeper.state
        notice = ttypes.ConfigNotice(state.offset, state.digest, [])
        if self._pushes_records:
            records = self.keeper.records_after(before) or ()
            size = sum(len(record.payload) for record in records)
            if size <= PUSH_BYTES:
                notice.records = [
                    ttypes.OffsetRecord(found.offset, found.payload)
                    for found in records
                ]
        self._membership.send_to_drawn(notice)

    def _start(self, work: Coroutine[None, None, None]) -> None:
        if self._is_busy:
            work.close()
            return
        self._is_busy = True
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._is_busy = False
        self._tasks.discard(task)
        sender, offset = self._next_pull
        if offset > self.keeper.state.offset and not task.cancelled():
            self._next_pull = ('', -1)
            self._start(self._pull_quietly(sender))

    async def _pull_quietly(self, peer: str) -> None:
        before = self.keeper.state.offset
        try:
            await self._pull(peer, whole=False)
        except (PeerUnavailable, MalformedMessage, RulesUnknown):
            return
        if self.keeper.state.offset > before:
            self.keeper.counters.from_pull += 1
            self._notify(before)

    async def _rebuild_quietly(self) -> None:
        """Fold the log afresh, because a peer disagrees at one offset."""
        loop = asyncio.get_running_loop()
        if loop.time() < self._rebuild_at:
            return
        self._rebuild_at = loop.time() + self._jittered(REBUILD_INTERVAL_S)
        try:
            await self._rebuild()
        except (LogUnavailable, LogGap, RulesUnknown, MalformedMessage):
            self.log_is_reachable = False

    async def _rebuild(self) -> None:
        page = await self._log.read(CHECKPOINT_STREAM, LAST_RECORD)
        fresh = ConfigKeeper(self.keeper.supported_rules)
        if page.records:
            fresh.replace(page.records[-1].payload)
        while fresh.state.offset < self.keeper.state.offset:
            config = await self._log.read(
                CONFIG_STREAM,
                fresh.state.offset + 1,
            )
            if not fresh.add(config.records):
                return
        self.keeper.correct(fresh)

    async def _pull(self, peer: str, *, whole: bool) -> None:
        deadline = asyncio.get_running_loop().time() + PULL_TIMEOUT_S
        while True:
            question = ttypes.PullConfig(self.keeper.state.offset, whole)
            reply = await self._links.ask(peer, question, deadline)
            if not isinstance(reply, ttypes.ConfigDelta):
                raise MalformedMessage('no config', step='pull', peer=peer)
            if reply.come_back_ms:
                await asyncio.sleep(reply.come_back_ms / MS_PER_S)
                continue
            if self._take(reply):
                return
            whole = True

    def _take(self, delta: ttypes.ConfigDelta) -> bool:
        if delta.checkpoint:
            self.keeper.replace(delta.checkpoint)
            return True
        records = [
            LogRecord(record.offset, record.payload)
            for record in delta.records or ()
        ]
        try:
            self.keeper.add(records)
        except LogGap:
            return False
        return True

    def _jittered(self, span_s: float) -> float:
        return span_s * (0.5 + self._rng.random())


def _ignore_adopt(state: ConfigState) -> None:
    """Do nothing."""
