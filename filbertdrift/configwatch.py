"""Following the configuration on the platform's log.

Two members of each failure domain, by rank, keep a long poll open; the others
learn from them. So the log's load depends on the number of domains only.
"""

import asyncio
import random
from dataclasses import dataclass

from loguru import logger

from filbertdrift.config_exchange import ConfigExchange
from filbertdrift.config_holder import ConfigHolder
from filbertdrift.errors import LogGap, LogUnavailable
from filbertdrift.keyedlog import KeyedLog, KeyedRecord
from filbertdrift.members import MemberStatus
from filbertdrift.membership import Membership
from filbertdrift.rendezvous import rank

WATCHERS_PER_DOMAIN = 2
# How often a member that does not watch checks its rank.
RANK_CHECK_S = 0.5
# An answer to a long poll is due after that time, with or without records.
LONG_POLL_S = 15.0
# Changes in quick succession are read together.
SETTLE_S = 0.25
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
# Unknown position in the stream: the newest record is read first.
UNKNOWN_OFFSET = -1


@dataclass(slots=True)
class WatchCounters:
    """What this node did at the log for the configuration."""

    polls: int = 0
    whole_reads: int = 0
    failures: int = 0


class ConfigWatch:
    """Follows the configuration if this node ranks as a watcher.

    Args:
        log: The platform's log.
        stream: The stream with the operator's records.
        key: The key of the configuration in it.
        holder: Takes the documents.
        exchange: Tells the other nodes.
        membership: The other nodes.
        rng: Spreads times.
    """

    def __init__(
        self,
        log: KeyedLog,
        stream: str,
        key: str,
        holder: ConfigHolder,
        exchange: ConfigExchange,
        membership: Membership,
        rng: random.Random,
    ) -> None:
        """Start at an unknown position."""
        self.counters = WatchCounters()
        self.is_log_reachable = True
        self._log = log
        self._stream = stream
        self._key = key
        self._holder = holder
        self._exchange = exchange
        self._membership = membership
        self._rng = rng
        self._offset = UNKNOWN_OFFSET
        self._backoff_s = FIRST_BACKOFF_S

    def is_watcher(self) -> bool:
        """Tell whether this node follows the log for its domain.

        Members that leave or may be gone are left out, so that others follow
        in time.
        """
        me = self._membership.me
        members = self._membership.table.in_domain(me.domain)
        ranked = rank(
            self._stream,
            [
                member.node
                for member in members
                if member.status < MemberStatus.LEAVING
            ],
        )
        return me.node in ranked[:WATCHERS_PER_DOMAIN]

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            if not self.is_watcher():
                self._offset = UNKNOWN_OFFSET
                await asyncio.sleep(RANK_CHECK_S)
                continue
            await self.poll_once()

    async def poll_once(self) -> None:
        """Make one call and take over what it brought."""
        try:
            records = await self._read()
        except LogUnavailable as exc:
            await self._back_off(exc)
            return
        self._note_reachable(is_reachable=True)
        self._backoff_s = FIRST_BACKOFF_S
        if self._take(records):
            self._exchange.notify()
            await asyncio.sleep(SETTLE_S)

    async def load_newest(self) -> bool:
        """Read the newest record; tell whether it was newer.

        Raises:
            LogUnavailable: The log did not answer.
        """
        self.counters.whole_reads += 1
        page = await self._log.newest(self._stream)
        self._offset = page.next_offset
        return self._take(list(page.records))

    async def _read(self) -> list[KeyedRecord]:
        if self._offset == UNKNOWN_OFFSET:
            self.counters.whole_reads += 1
            page = await self._log.newest(self._stream)
        else:
            self.counters.polls += 1
            try:
                page = await self._log.read(
                    self._stream,
                    self._offset,
                    LONG_POLL_S,
                )
            except LogGap:
                self._offset = UNKNOWN_OFFSET
                return await self._read()
        is_known = self._offset != UNKNOWN_OFFSET
        if is_known and not page.records and page.next_offset != self._offset:
            # The stream is shorter than it was, or its history was dropped.
            self._offset = UNKNOWN_OFFSET
            return await self._read()
        if page.has_more:
            # Only the newest counts, and links may be narrow.
            self._offset = UNKNOWN_OFFSET
            return await self._read()
        self._offset = page.next_offset
        return list(page.records)

    def _take(self, records: list[KeyedRecord]) -> bool:
        documents = [
            record.payload
            for record in records
            if record.key == self._key and record.payload
        ]
        # The newest that is valid counts.
        return any(
            self._holder.offer(document, 'log')
            for document in reversed(documents)
        )

    async def _back_off(self, exc: LogUnavailable) -> None:
        self.counters.failures += 1
        self._note_reachable(is_reachable=False, reason=str(exc))
        await asyncio.sleep(self._backoff_s * (0.5 + self._rng.random()))
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def _note_reachable(self, *, is_reachable: bool, reason: str = '') -> None:
        if is_reachable == self.is_log_reachable:
            return
        self.is_log_reachable = is_reachable
        event = 'store_regained' if is_reachable else 'store_lost'
        logger.bind(event=event, reason=reason).warning(event)
