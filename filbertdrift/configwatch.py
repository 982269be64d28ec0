"""Follows the configuration in the platform's log.

The members that rank first in each failure domain long-poll the log; the
others get the configuration from them. The load on the log therefore depends
only on the number of domains. Those with the fastest links rank first, since
the log sends whole documents.
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
WATCHER_CHECK_INTERVAL_S = 0.5
# The log responds to a long poll after this time even without records.
LONG_POLL_S = 15.0
# Delay after a change, so that changes in quick succession are read together.
BATCH_DELAY_S = 0.25
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
# The next read fetches the newest records instead of reading from an offset.
UNKNOWN_OFFSET = -1
MS_PER_S = 1000


@dataclass(slots=True)
class WatchCounters:
    """Reads of the configuration from the log."""

    polls: int = 0
    whole_reads: int = 0
    failures: int = 0


class ConfigWatch:
    """Follows the configuration stream while this node is a watcher.

    Args:
        log: The platform's log.
        stream: The stream of the operator's records.
        key: The key of the configuration in the stream.
        holder: Holds the configuration in force.
        exchange: Announces new configurations to the other nodes.
        membership: The members that are ranked.
        rng: Source of jitter.
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
        """Create a watch at an unknown offset."""
        self.counters = WatchCounters()
        self.is_log_reachable = True
        # When this node last read the log up to its end.
        self.read_at: float | None = None
        self._log = log
        self._stream = stream
        self._key = key
        self._holder = holder
        self._exchange = exchange
        self._membership = membership
        self._rng = rng
        self._offset = UNKNOWN_OFFSET
        self._backoff_s = INITIAL_BACKOFF_S

    def is_watcher(self) -> bool:
        """Return whether this node follows the log for its domain.

        Leaving and suspected members are not ranked, so that others take over
        in time.
        """
        me = self._membership.local_member
        members = self._membership.table.in_domain(me.domain)
        link_mbps = {
            member.node: member.link_mbps
            for member in members
            if member.status < MemberStatus.LEAVING
        }
        ranked = sorted(
            rank(self._stream, link_mbps),
            key=lambda node: -link_mbps[node],
        )
        return me.node in ranked[:WATCHERS_PER_DOMAIN]

    async def run(self) -> None:
        """Follow the log until cancelled."""
        was_watcher = False
        while True:
            is_watcher = self.is_watcher()
            if is_watcher != was_watcher:
                was_watcher = is_watcher
                event = 'watch_started' if is_watcher else 'watch_ended'
                logger.bind(event=event).info(event)
            if not is_watcher:
                self._offset = UNKNOWN_OFFSET
                await asyncio.sleep(WATCHER_CHECK_INTERVAL_S)
                continue
            await self.poll_once()

    async def poll_once(self) -> None:
        """Read once and adopt the newest configuration received."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            records = await self._read()
        except LogUnavailable as exc:
            await self._wait_after_failure(exc, started_at)
            return
        self.read_at = loop.time()
        self._set_reachable(is_reachable=True)
        self._backoff_s = INITIAL_BACKOFF_S
        if self._adopt(records):
            self._exchange.notify()
            await asyncio.sleep(BATCH_DELAY_S)

    async def load_newest(self) -> bool:
        """Read the newest records; return whether a document was adopted.

        Raises:
            LogUnavailable: The log cannot be reached.
        """
        self.counters.whole_reads += 1
        page = await self._log.newest(self._stream)
        self._offset = page.next_offset
        return self._adopt(list(page.records))

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
            # The stream was truncated, or its history was dropped.
            self._offset = UNKNOWN_OFFSET
            return await self._read()
        if page.has_more:
            # Only the newest document matters, and connections may be narrow.
            self._offset = UNKNOWN_OFFSET
            return await self._read()
        self._offset = page.next_offset
        return list(page.records)

    def _adopt(self, records: list[KeyedRecord]) -> bool:
        """Adopt the newest valid document; return whether one was adopted."""
        documents = [
            record.payload
            for record in records
            if record.key == self._key and record.payload
        ]
        return any(
            self._holder.offer(document, 'log')
            for document in reversed(documents)
        )

    async def _wait_after_failure(
        self, exc: LogUnavailable, started_at: float
    ) -> None:
        self.counters.failures += 1
        waited_s = asyncio.get_running_loop().time() - started_at
        self._set_reachable(
            is_reachable=False,
            reason=str(exc),
            waited_ms=int(waited_s * MS_PER_S),
        )
        await asyncio.sleep(self._backoff_s * (0.5 + self._rng.random()))
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def _set_reachable(
        self, *, is_reachable: bool, reason: str = '', waited_ms: int = 0
    ) -> None:
        if is_reachable == self.is_log_reachable:
            return
        self.is_log_reachable = is_reachable
        event = 'store_regained' if is_reachable else 'store_lost'
        logger.bind(
            event=event,
            reason=reason,
            waited_ms=waited_ms,
            offset=self._offset,
        ).warning(event)
