"""Follows the configuration in the platform's log.

The members that rank first in each failure domain long-poll the log; the
others get the configuration from them, with the evidence that it is current.
While all is well, the load on the log depends only on the number of domains.
Those with the fastest links rank first, since the log sends whole documents. A
node that gets no such evidence reads the log itself: it may be cut off, or the
readers may be.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift.config_exchange import ConfigExchange
from filbertdrift.config_holder import ConfigHolder
from filbertdrift.errors import LogGap, LogUnavailable
from filbertdrift.freshness import (
    REFUSED_VERSION,
    Confirmation,
    Freshness,
    LogPosition,
)
from filbertdrift.keyedlog import KeyedLog, KeyedPage
from filbertdrift.members import MemberStatus
from filbertdrift.membership import Membership
from filbertdrift.rendezvous import rank
from filbertdrift.routing import NO_VERSION

WATCHERS_PER_DOMAIN = 2
WATCHER_CHECK_INTERVAL_S = 0.5
FRESHNESS_CHECK_INTERVAL_S = 0.1
# The log responds to a long poll after this time even without records. The
# standby is the second watcher of a domain. After a change the wait is short,
# since a poll that waited for a record is no evidence for the time of its wait.
# Each wait is drawn from MIN_POLL_JITTER to 1 times these.
LONG_POLL_S = 1.0
STANDBY_POLL_S = 3.0
POLL_AFTER_CHANGE_S = 0.5
MIN_POLL_JITTER = 0.5
# Delay after a change, so that changes in quick succession are read together.
BATCH_DELAY_S = 0.25
MIN_POLL_INTERVAL_S = 0.2
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
# A node reads the log itself if no other has read it for STALE_AFTER_S, or if
# it has been behind its peers for STUCK_AFTER_S: after a random delay, as one
# reader among its peers is enough, but at once if it has heard from no peer for
# ISOLATED_AFTER_S.
STALE_AFTER_S = 1.5
STUCK_AFTER_S = 1.2
# A node without a configuration refuses all requests, so it waits less.
FIRST_DOCUMENT_S = 0.8
ISOLATED_AFTER_S = 1.0
MAX_TAKEOVER_DELAY_S = 0.5
MAX_TAKEOVER_BACKOFF_S = 3.0
MS_PER_S = 1000
# In log lines, in place of the age of evidence that does not exist.
NEVER = -1


@dataclass(slots=True)
class WatchCounters:
    """Reads of the configuration from the log."""

    polls: int = 0
    whole_reads: int = 0
    failures: int = 0
    takeovers: int = 0
    era_changes: int = 0


class ConfigWatch:
    """Follows the configuration stream while this node is a reader.

    Args:
        log: The platform's log.
        stream: The stream of the operator's records.
        key: The key of the configuration in the stream.
        holder: Holds the configuration in force.
        freshness: Evidence that the configuration in force is the newest.
        exchange: Announces new configurations to the other nodes.
        membership: The members that are ranked.
        rng: Source of jitter.

    Attributes:
        is_reader: Whether this node reads the log now.
        is_log_reachable: Whether the last read succeeded.
        on_page: Called with each page that was read.
    """

    def __init__(
        self,
        log: KeyedLog,
        stream: str,
        key: str,
        holder: ConfigHolder,
        freshness: Freshness,
        exchange: ConfigExchange,
        membership: Membership,
        rng: random.Random,
    ) -> None:
        """Create a watch at an unknown position."""
        self.counters = WatchCounters()
        self.is_log_reachable = True
        self.on_page: Callable[[KeyedPage], None] = _ignore_page
        self._log = log
        self._stream = stream
        self._key = key
        self._holder = holder
        self._freshness = freshness
        self._exchange = exchange
        self._membership = membership
        self._rng = rng
        # Where to read on; None to read the newest records.
        self._position: LogPosition | None = None
        self._backoff_s = INITIAL_BACKOFF_S
        self.is_reader = False
        self._is_watcher = False
        self._check_watcher_at = 0.0
        # The start of a takeover unless a peer is found to read the log.
        self._takeover_at: float | None = None
        self._poll_s = 0.0

    def is_watcher(self) -> bool:
        """Return whether this node follows the log for its domain.

        Leaving and suspected members are not ranked, so that others take over
        in time.
        """
        me = self._membership.local_member
        return me.node in self._rank_domain()[:WATCHERS_PER_DOMAIN]

    def _rank_domain(self) -> Sequence[str]:
        domain = self._membership.local_member.domain
        link_mbps = {
            member.node: member.link_mbps
            for member in self._membership.table.in_domain(domain)
            if member.status < MemberStatus.LEAVING
        }
        return sorted(
            rank(self._stream, link_mbps),
            key=lambda node: -link_mbps[node],
        )

    async def run(self) -> None:
        """Follow the log until cancelled."""
        now = asyncio.get_running_loop().time()
        # Peers that follow the log may not have been heard yet.
        wait_s = STALE_AFTER_S if self._holder.config else FIRST_DOCUMENT_S
        self._takeover_at = now + wait_s + self._takeover_delay_s(now)
        while True:
            self._set_reader(is_reader=self._should_read())
            if self.is_reader:
                await self.poll_once()
            else:
                await asyncio.sleep(FRESHNESS_CHECK_INTERVAL_S)

    async def poll_once(self) -> None:
        """Read once and adopt the newest configuration received."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            is_adopted = await self._read()
        except LogUnavailable as exc:
            await self._wait_after_failure(exc, started_at)
            return
        self._set_reachable(is_reachable=True)
        self._backoff_s = INITIAL_BACKOFF_S
        self._poll_s = self._next_poll_s(is_adopted=is_adopted)
        # Limits the rate of calls, also if the log does not wait for records.
        next_at = started_at + MIN_POLL_INTERVAL_S
        if self._position is None:
            # The newest document is refused here.
            next_at = started_at + LONG_POLL_S
        if is_adopted:
            self._exchange.notify()
            next_at = max(next_at, loop.time() + BATCH_DELAY_S)
        await asyncio.sleep(next_at - loop.time())

    def _next_poll_s(self, *, is_adopted: bool) -> float:
        if is_adopted:
            return POLL_AFTER_CHANGE_S
        now = asyncio.get_running_loop().time()
        node = self._membership.local_member.node
        is_standby = (
            self._is_watcher
            and now - self._freshness.peers_read_at <= STALE_AFTER_S
            and self._rank_domain()[:1] != [node]
        )
        return STANDBY_POLL_S if is_standby else LONG_POLL_S

    async def load_newest(self) -> bool:
        """Read the newest records; return whether a document was adopted.

        Raises:
            LogUnavailable: The log cannot be reached.
        """
        self.counters.whole_reads += 1
        as_of = asyncio.get_running_loop().time()
        page = await self._log.newest(self._stream)
        return self._accept(page, as_of, NO_VERSION)

    # Who reads

    def _should_read(self) -> bool:
        now = asyncio.get_running_loop().time()
        if now >= self._check_watcher_at:
            self._check_watcher_at = now + WATCHER_CHECK_INTERVAL_S
            self._is_watcher = self.is_watcher()
        if self._is_watcher:
            return True
        if not self._is_needed(now):
            self._takeover_at = None
            return False
        if self._takeover_at is None:
            self._takeover_at = now + self._takeover_delay_s(now)
        if now < self._takeover_at:
            return False
        self.counters.takeovers += not self.is_reader
        return True

    def _is_needed(self, now: float) -> bool:
        """Return whether this node should read although it is no watcher."""
        if self._is_stuck():
            return True
        if self._holder.behind_s() and not self._is_isolated(now):
            # Peers have what it lacks, and send it in fewer bytes.
            return False
        read_at = self._freshness.peers_read_at
        if self.is_reader:
            # Of several nodes that took over, one goes on.
            read_at = self._freshness.senior_read_at
        return now - read_at > STALE_AFTER_S

    def _takeover_delay_s(self, now: float) -> float:
        if self.is_reader or self._is_isolated(now):
            return 0
        return MAX_TAKEOVER_DELAY_S * self._rng.random()

    def _is_stuck(self) -> bool:
        """Return whether this node cannot get what its peers have."""
        holder = self._holder
        return min(holder.behind_s(), holder.unchanged_s()) > STUCK_AFTER_S

    def _is_isolated(self, now: float) -> bool:
        contacts = self._membership.last_contacts.values()
        return bool(contacts) and all(
            now - contact.at > ISOLATED_AFTER_S for contact in contacts
        )

    def _set_reader(self, *, is_reader: bool) -> None:
        if is_reader == self.is_reader:
            return
        self.is_reader = is_reader
        if is_reader:
            self._position = self._freshness.position()
            # The first response comes at once, so that peers hear of it.
            self._poll_s = 0
        event = 'watch_started' if is_reader else 'watch_ended'
        logger.bind(
            event=event,
            is_takeover=is_reader and not self._is_watcher,
            confirmed_ms=age_ms(self._freshness),
        ).info(event)

    # Reads

    async def _read(self) -> bool:
        """Read once; return whether a document was adopted."""
        position = self._position
        if position is None:
            return await self.load_newest()
        self.counters.polls += 1
        loop = asyncio.get_running_loop()
        wait_s = self._poll_s * self._rng.uniform(MIN_POLL_JITTER, 1)
        sent_at = loop.time()
        try:
            page = await self._log.read(
                self._stream, position.next_offset, wait_s
            )
        except LogGap:
            return await self.load_newest()
        if self._is_discontinuous(page, position) or page.has_more:
            # Of several documents only the newest matters, and connections may
            # be narrow.
            return await self.load_newest()
        # The log responds without records only at the end of the wait.
        as_of = sent_at if page.records else min(sent_at + wait_s, loop.time())
        return self._accept(page, as_of, position.version)

    def _is_discontinuous(self, page: KeyedPage, position: LogPosition) -> bool:
        """Return whether a page does not continue what was read before.

        The log lost records: it came back from an older copy, or its history
        was dropped.
        """
        if page.era != position.era:
            self.counters.era_changes += 1
            logger.bind(
                event='store_era_changed',
                before=position.era,
                era=page.era,
                offset=position.next_offset,
            ).warning('the log came back from an older copy')
            return True
        return not page.records and page.next_offset != position.next_offset

    def _accept(self, page: KeyedPage, as_of: float, version: int) -> bool:
        """Adopt what a page holds; return whether a document was adopted.

        Args:
            page: The page.
            as_of: When the log ended after the page.
            version: The newest version before the page.
        """
        before = self._holder.version
        self.on_page(page)
        version = self._adopt(page, version)
        position = LogPosition(page.era, page.next_offset, version)
        # A refused document is read again.
        self._position = None if version == REFUSED_VERSION else position
        is_adopted = self._holder.version > before
        self._holder.forget_lost_announcement(version, as_of)
        is_gain = self._freshness.record(
            Confirmation(
                position=position,
                as_of=as_of,
                read_at=asyncio.get_running_loop().time(),
                reader=self._membership.local_member.node,
                is_takeover=not self._is_watcher,
            )
        )
        if is_gain and not is_adopted:
            self._exchange.send_confirmation()
        return is_adopted

    def _adopt(self, page: KeyedPage, version: int) -> int:
        """Adopt the newest valid document of a page.

        Args:
            page: The page.
            version: The newest version before the page.

        Returns:
            The newest version up to the end of the page.
        """
        documents = [
            record.payload
            for record in page.records
            if record.key == self._key and record.payload
        ]
        for document in reversed(documents):
            found = self._holder.read(document, 'log')
            if found is not None:
                is_newest = document is documents[-1]
                return found if is_newest else REFUSED_VERSION
        return REFUSED_VERSION if documents else version

    async def _wait_after_failure(
        self, exc: LogUnavailable, started_at: float
    ) -> None:
        self.counters.failures += 1
        # A log that hung responds at once when it is back.
        self._poll_s = 0
        now = asyncio.get_running_loop().time()
        waited_s = now - started_at
        self._set_reachable(
            is_reachable=False,
            reason=str(exc),
            waited_ms=int(waited_s * MS_PER_S),
        )
        await asyncio.sleep(self._backoff_s * (0.5 + self._rng.random()))
        is_needed = self._is_watcher or self._is_isolated(now)
        limit_s = MAX_BACKOFF_S if is_needed else MAX_TAKEOVER_BACKOFF_S
        self._backoff_s = min(self._backoff_s * 2, limit_s)

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
            confirmed_ms=age_ms(self._freshness),
        ).warning(event)


def age_ms(freshness: Freshness) -> int:
    """Return the age of the evidence in milliseconds, NEVER for none."""
    age_s = freshness.age_s()
    return NEVER if age_s == float('inf') else int(age_s * MS_PER_S)


def _ignore_page(page: KeyedPage) -> None:
    """Do nothing."""
