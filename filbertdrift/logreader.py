"""Following of the configuration stream, and writing of checkpoints."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from filbertdrift.errors import (
    LogGap,
    LogUnavailable,
    MalformedMessage,
    RulesUnknown,
)
from filbertdrift.fold import (
    EMPTY_OFFSET,
    decode_checkpoint,
    encode_checkpoint,
)
from filbertdrift.keeper import ConfigReplica
from filbertdrift.log import (
    CHECKPOINT_STREAM,
    CONFIG_STREAM,
    LAST_RECORD,
    LONG_POLL_S,
    Log,
    LogPage,
)
from filbertdrift.membership import Membership
from filbertdrift.rendezvous import rank

READERS_PER_DOMAIN = 2
READER_CHECK_INTERVAL_S = 1.0
PEER_SILENCE_S = 4.0
# Mean time between the reads of all other members of a domain together.
SPOT_READ_INTERVAL_S = 5.0
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
MAX_RECORDS_PER_CHECKPOINT = 100
CHECKPOINT_CHECK_INTERVAL_S = 5.0

LOG_ERRORS = (LogUnavailable, LogGap, RulesUnknown, MalformedMessage)

OnAdvance = Callable[[int], None]


@dataclass(slots=True)
class LogReaderCounters:
    """Reads of the log by this node, their faults, and checkpoints."""

    read_forward: int = 0
    gaps: int = 0
    log_behind: int = 0
    checkpoints_written: int = 0


class LogReader:
    """Follows the log while this node is a reader of its failure domain.

    The READERS_PER_DOMAIN members that rank first in a domain are its readers.
    A node that has heard no peer for PEER_SILENCE_S follows the log as well.
    While the domain hears no other domain, or not all of them, its other
    members take turns at random to read the log once, in case that the readers
    do not reach it.
    The member that ranks first of all writes checkpoints.

    Args:
        replica: Applies the records.
        membership: The members that are ranked.
        log: The platform's log.
        checkpoint_interval_s: Time between checkpoints; must be below the
            retention time of the log.
        rng: Source of jitter.

    Attributes:
        is_reachable: Whether the log responded to the last call; False on a
            node that is not a reader.
        checkpoint_offset: Offset of the newest known checkpoint, or -1.
        on_advance: Called with the previous offset after the replica advances.
    """

    def __init__(
        self,
        replica: ConfigReplica,
        membership: Membership,
        log: Log,
        checkpoint_interval_s: float,
        rng: random.Random,
    ) -> None:
        """Create a reader; no call is made yet."""
        self.counters = LogReaderCounters()
        self.is_reachable = False
        self.checkpoint_offset = -1
        self.on_advance: OnAdvance = _ignore_advance
        self._replica = replica
        self._membership = membership
        self._log = log
        self._checkpoint_interval_s = checkpoint_interval_s
        self._checkpoint_due_at = 0.0
        self._is_failing = False
        self._is_cut_off_at = 0.0
        self._rng = rng

    async def run(self) -> None:
        """Follow the log and write checkpoints until cancelled."""
        self.note_peer()
        await asyncio.gather(self._follow(), self._write_checkpoints())

    def is_reader(self) -> bool:
        """Return whether this node reads the log for its domain."""
        me = self._membership.local_member
        nodes = [
            member.node
            for member in self._membership.table.in_domain(me.domain)
        ]
        return me.node in rank(CONFIG_STREAM, nodes)[:READERS_PER_DOMAIN]

    def note_peer(self) -> None:
        """Note that a peer has reported its configuration."""
        now = asyncio.get_running_loop().time()
        self._is_cut_off_at = now + PEER_SILENCE_S

    def is_cut_off(self) -> bool:
        """Return whether no peer was heard recently."""
        return asyncio.get_running_loop().time() >= self._is_cut_off_at

    def is_checkpointer(self) -> bool:
        """Return whether this node ranks first for writing checkpoints."""
        nodes = [member.node for member in self._membership.table.alive()]
        first = rank(CHECKPOINT_STREAM, nodes)[:1]
        return list(first) == [self._membership.local_member.node]

    async def boot(self) -> None:
        """Load the newest checkpoint and replay the records after it.

        If the log is in a later era than the replica, catch_up loads both.

        Raises:
            LogUnavailable: The log cannot be reached.
            LogGap: Records in between have expired.
            RulesUnknown: The configuration needs a newer program.
            MalformedMessage: The checkpoint is invalid.
        """
        page = await self._read_checkpoint()
        if page.era == self._replica.era:
            _load(page, self._replica)
        await self.catch_up()

    async def catch_up(self) -> None:
        """Apply all records up to the current end of the log.

        Raises:
            LogUnavailable: The log cannot be reached.
            LogGap: Records in between have expired.
            RulesUnknown: A record needs a newer program.
            MalformedMessage: The checkpoint that replaces expired records is
                invalid.
        """
        has_more = True
        while has_more:
            has_more = await self._read(0)

    async def rebuild(self) -> None:
        """Replay the log into a new replica; adopt its state if it differs.

        Raises:
            LogUnavailable: The log cannot be reached.
            LogGap: Records in between have expired.
            RulesUnknown: The configuration needs a newer program.
            MalformedMessage: The checkpoint is invalid.
        """
        fresh = await self._replay(self._replica.state.offset)
        before = self._replica.state.offset
        if self._replica.enter_era(fresh):
            self.on_advance(before)
        else:
            self._replica.correct(fresh)

    async def write_checkpoint_if_due(self) -> bool:
        """Append a checkpoint if the newest one is outdated or missing.

        A checkpoint depends only on its offset, so a redundant one is
        harmless. Replicas ignore an older one of a stale writer.

        Returns:
            True if a checkpoint was written.

        Raises:
            LogUnavailable: The log cannot be reached.
            MalformedMessage: The newest checkpoint is invalid.
        """
        state = self._replica.state
        now = asyncio.get_running_loop().time()
        page = await self._read_checkpoint()
        config = await self._log.read(CONFIG_STREAM, LAST_RECORD)
        era = self._replica.era
        if {page.era, config.era} != {era} or _is_beyond(state.offset, config):
            # The state may contain records that the log has lost.
            return False
        newest = EMPTY_OFFSET
        if page.records:
            newest = decode_checkpoint(page.records[-1].payload).offset
        if _is_beyond(newest, config):
            newest = EMPTY_OFFSET
        self.checkpoint_offset = newest
        is_due = (
            now >= self._checkpoint_due_at
            or newest < config.first_offset - 1
            or state.offset - newest >= MAX_RECORDS_PER_CHECKPOINT
        )
        if state.offset < max(newest, 0) or not is_due:
            return False
        await self._log.append(CHECKPOINT_STREAM, encode_checkpoint(state))
        self.counters.checkpoints_written += 1
        self.checkpoint_offset = state.offset
        if self._log.era == era:
            self._checkpoint_due_at = now + self._checkpoint_interval_s
        else:
            logger.warning('checkpoint of an earlier era; to be replaced')
            self._checkpoint_due_at = 0
        return True

    async def _follow(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            wait_s = await self._await_turn()
            try:
                await self._read(wait_s)
            except LOG_ERRORS as exc:
                self.is_reachable = not isinstance(exc, LogUnavailable)
                self._log_failure(exc)
                await asyncio.sleep(self._jittered(backoff_s))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            else:
                backoff_s = INITIAL_BACKOFF_S
                self._log_success()

    async def _await_turn(self) -> float:
        """Wait until this node should read; return how long it may wait."""
        while not (self.is_reader() or self.is_cut_off()):
            self.is_reachable = False
            await asyncio.sleep(self._jittered(READER_CHECK_INTERVAL_S))
            if self._draws_spot_read():
                return 0
        return LONG_POLL_S

    def _draws_spot_read(self) -> bool:
        domain = self._membership.local_member.domain
        table = self._membership.table
        is_alone = len(table.domains()) == 1
        if not is_alone and not self._membership.unreachable_domains:
            return False
        others = len(table.in_domain(domain)) - READERS_PER_DOMAIN
        share = READER_CHECK_INTERVAL_S / SPOT_READ_INTERVAL_S
        return self._rng.random() < share / max(others, 1)

    async def _write_checkpoints(self) -> None:
        while True:
            await asyncio.sleep(self._jittered(CHECKPOINT_CHECK_INTERVAL_S))
            if not self.is_checkpointer():
                continue
            try:
                await self.write_checkpoint_if_due()
            except LOG_ERRORS as exc:
                self.is_reachable = False
                logger.warning('no checkpoint written: {}', exc)

    def _log_failure(self, exc: Exception) -> None:
        if not self._is_failing:
            logger.warning('cannot follow the log: {}', exc)
        self._is_failing = True

    def _log_success(self) -> None:
        if self._is_failing:
            logger.info('following the log again')
        self._is_failing = False

    async def _read(self, wait_s: float) -> bool:
        """Apply one page; return whether there are more records."""
        wanted = self._replica.state.offset + 1
        page = await self._log.read(CONFIG_STREAM, wanted, wait_s)
        self.is_reachable = True
        if page.era > self._replica.era:
            await self._enter_era()
            return True
        if page.era < self._replica.era:
            reason = f'log in era {page.era}, before {self._replica.era}'
            raise LogGap(reason, step='read log')
        if page.next_offset < wanted:
            self.counters.log_behind += 1
            reason = f'log ends at {page.next_offset - 1}, before {wanted - 1}'
            raise LogGap(reason, step='read log')
        if page.first_offset > wanted:
            self.counters.gaps += 1
            await self._skip_expired(page)
            return self._replica.state.offset + 1 < page.next_offset
        before = self._replica.state.offset
        if self._replica.add(page.records, page.era):
            self.counters.read_forward += 1
            self.on_advance(before)
        return self._replica.state.offset + 1 < page.next_offset

    async def _enter_era(self) -> None:
        """Replace the state, which may contain records that the log lost."""
        before = self._replica.state.offset
        if self._replica.enter_era(await self._replay()):
            self.on_advance(before)

    async def _replay(self, until: int | None = None) -> ConfigReplica:
        """Return a replica of the log up to an offset, or to its end."""
        page = await self._read_checkpoint()
        fresh = ConfigReplica(self._replica.supported_rules)
        fresh.era = page.era
        end = await self._log.read(CONFIG_STREAM, LAST_RECORD)
        last = end.next_offset - 1 if until is None else until
        _load(page, fresh, end)
        while fresh.state.offset < last:
            wanted = fresh.state.offset + 1
            page = await self._log.read(CONFIG_STREAM, wanted)
            if page.era != fresh.era or page.next_offset <= wanted:
                reason = f'log ends at {page.next_offset - 1} in era {page.era}'
                raise LogGap(reason, step='replay log')
            fresh.add(page.records, page.era)
        return fresh

    async def _skip_expired(self, page: LogPage) -> None:
        """Advance past expired records with the newest checkpoint."""
        before = self._replica.state.offset
        first_offset = page.first_offset
        checkpoint = await self._read_checkpoint()
        if checkpoint.era == self._replica.era:
            _load(checkpoint, self._replica)
        if self._replica.state.offset > before:
            self.on_advance(before)
        if self._replica.state.offset < first_offset - 1:
            reason = f'records below {first_offset} have expired'
            raise LogGap(reason, step='read log')

    async def _read_checkpoint(self) -> LogPage:
        return await self._log.read(CHECKPOINT_STREAM, LAST_RECORD)

    def _jittered(self, delay_s: float) -> float:
        return delay_s * (0.5 + self._rng.random())


def _load(
    checkpoint: LogPage,
    replica: ConfigReplica,
    config: LogPage | None = None,
) -> None:
    """Adopt a checkpoint, unless it is beyond the end of the log."""
    if not checkpoint.records:
        return
    payload = checkpoint.records[-1].payload
    offset = decode_checkpoint(payload, replica.supported_rules).offset
    if config and _is_beyond(offset, config):
        logger.warning('checkpoint {} beyond the end of the log', offset)
        return
    replica.replace(payload, checkpoint.era)


def _is_beyond(offset: int, page: LogPage) -> bool:
    return offset >= page.next_offset


def _ignore_advance(before: int) -> None:
    """Do nothing."""
