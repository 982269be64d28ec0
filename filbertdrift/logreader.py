"""Reading the configuration from the log, and writing checkpoints to it."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from filbertdrift.errors import (
    LogGap,
    LogUnavailable,
    MalformedMessage,
    RulesUnknown,
)
from filbertdrift.fold import decode_checkpoint, encode_checkpoint
from filbertdrift.keeper import ConfigReplica
from filbertdrift.log import (
    CHECKPOINT_STREAM,
    CONFIG_STREAM,
    LAST_RECORD,
    LONG_POLL_S,
    Log,
)
from filbertdrift.membership import Membership
from filbertdrift.rendezvous import rank

READERS_PER_DOMAIN = 2
NOT_READER_S = 1.0
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
CHECKPOINT_RECORDS = 100
CHECKPOINT_CHECK_S = 5.0

LOG_ERRORS = (LogUnavailable, LogGap, RulesUnknown, MalformedMessage)

OnAdvance = Callable[[int], None]


@dataclass(slots=True)
class LogReaderCounters:
    """What this node did at the log."""

    read_forward: int = 0
    gaps: int = 0
    log_behind: int = 0
    checkpoints_written: int = 0


class LogReader:
    """Follows the log if this node ranks as a reader of its domain.

    Args:
        replica: The configuration.
        membership: The other nodes.
        log: The platform's log.
        checkpoint_interval_s: Time between checkpoints, below the retention
            of the log.
        rng: Spreads times.
    """

    def __init__(
        self,
        replica: ConfigReplica,
        membership: Membership,
        log: Log,
        checkpoint_interval_s: float,
        rng: random.Random,
    ) -> None:
        """Start without having read anything."""
        self.counters = LogReaderCounters()
        self.is_reachable = False
        self.checkpoint_offset = -1
        self.on_advance: OnAdvance = _ignore_advance
        self._replica = replica
        self._membership = membership
        self._log = log
        self._checkpoint_interval_s = checkpoint_interval_s
        self._checkpoint_due_at = 0.0
        self._rng = rng

    async def run(self) -> None:
        """Follow the log and write checkpoints until cancelled."""
        await asyncio.gather(self._follow(), self._write_checkpoints())

    def is_reader(self) -> bool:
        """Tell whether this node reads the log for its domain."""
        me = self._membership.me
        nodes = [
            member.node
            for member in self._membership.table.in_domain(me.domain)
        ]
        return me.node in rank(CONFIG_STREAM, nodes)[:READERS_PER_DOMAIN]

    def is_checkpointer(self) -> bool:
        """Tell whether this node ranks first for writing checkpoints."""
        nodes = [member.node for member in self._membership.table.alive()]
        first = rank(CHECKPOINT_STREAM, nodes)[:1]
        return list(first) == [self._membership.me.node]

    async def boot(self) -> None:
        """Take the newest checkpoint and all records behind it.

        Raises:
            LogUnavailable: The log did not answer.
            LogGap: Records between have expired.
            RulesUnknown: Only a newer program can use the configuration.
            MalformedMessage: The checkpoint is damaged.
        """
        await self._read_checkpoint(self._replica)
        await self.catch_up()

    async def catch_up(self) -> None:
        """Fold everything that the log holds now.

        Raises:
            LogUnavailable: The log did not answer.
            LogGap: Records between have expired.
            RulesUnknown: Only a newer program can judge from here on.
        """
        next_offset = self._replica.state.offset + 2
        while self._replica.state.offset + 1 < next_offset:
            next_offset = await self._read(0)

    async def rebuild(self) -> None:
        """Fold the log afresh and take that over if it disagrees.

        Raises:
            LogUnavailable: The log did not answer.
            LogGap: Records between have expired.
            RulesUnknown: Only a newer program can use the configuration.
            MalformedMessage: The checkpoint is damaged.
        """
        fresh = ConfigReplica(self._replica.supported_rules)
        await self._read_checkpoint(fresh)
        while fresh.state.offset < self._replica.state.offset:
            wanted = fresh.state.offset + 1
            page = await self._log.read(CONFIG_STREAM, wanted)
            if not fresh.add(page.records):
                return
        self._replica.correct(fresh)

    async def write_checkpoint_if_due(self) -> bool:
        """Append a checkpoint if the last kept one is old or gone.

        A checkpoint is a function of its offset, so one too many is harmless
        and a stale writer's cannot push anybody back.

        Returns:
            True if one was written.

        Raises:
            LogUnavailable: The log did not answer.
            MalformedMessage: The last checkpoint is damaged.
        """
        state = self._replica.state
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
        self.counters.checkpoints_written += 1
        self.checkpoint_offset = state.offset
        self._checkpoint_due_at = now + self._checkpoint_interval_s
        return True

    async def _follow(self) -> None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            if not self.is_reader():
                self.is_reachable = False
                await asyncio.sleep(self._jittered(NOT_READER_S))
                continue
            try:
                await self._read(LONG_POLL_S)
            except LOG_ERRORS as exc:
                self.is_reachable = not isinstance(exc, LogUnavailable)
                await asyncio.sleep(self._jittered(backoff_s))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            else:
                backoff_s = FIRST_BACKOFF_S

    async def _write_checkpoints(self) -> None:
        while True:
            await asyncio.sleep(self._jittered(CHECKPOINT_CHECK_S))
            if not self.is_checkpointer():
                continue
            try:
                await self.write_checkpoint_if_due()
            except LOG_ERRORS:
                self.is_reachable = False

    async def _read(self, wait_s: float) -> int:
        wanted = self._replica.state.offset + 1
        page = await self._log.read(CONFIG_STREAM, wanted, wait_s)
        self.is_reachable = True
        if page.next_offset < wanted:
            self.counters.log_behind += 1
            reason = f'log ends at {page.next_offset - 1}, before {wanted - 1}'
            raise LogGap(reason, step='read log')
        if page.first_offset > wanted:
            self.counters.gaps += 1
            await self._cross_gap(page.first_offset)
            return page.next_offset
        before = self._replica.state.offset
        if self._replica.add(page.records):
            self.counters.read_forward += 1
            self.on_advance(before)
        return page.next_offset

    async def _cross_gap(self, first_offset: int) -> None:
        before = self._replica.state.offset
        await self._read_checkpoint(self._replica)
        if self._replica.state.offset > before:
            self.on_advance(before)
        if self._replica.state.offset < first_offset - 1:
            reason = f'records below {first_offset} have expired'
            raise LogGap(reason, step='read log')

    async def _read_checkpoint(self, replica: ConfigReplica) -> None:
        page = await self._log.read(CHECKPOINT_STREAM, LAST_RECORD)
        if page.records:
            replica.replace(page.records[-1].payload)

    def _jittered(self, span_s: float) -> float:
        return span_s * (0.5 + self._rng.random())


def _ignore_advance(before: int) -> None:
    """Do nothing."""
