"""Bootstrap of membership: a node directory on the log, and seeds.

Each node registers its address in the directory when it starts, and joins nodes
that it finds there. From then on membership spreads by gossip. A node registers
again when the log has come back from an older copy, or when its entry is
missing.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Mapping, Sequence

from loguru import logger

from filbertdrift.errors import LogUnavailable
from filbertdrift.keyedlog import NO_ERA, KeyedLog, KeyedRecord
from filbertdrift.membership import Membership
from filbertdrift.rendezvous import rank

NEAR_PEERS = 3
FAR_PEERS = 2
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
# Joined nodes read the directory again at this interval, so that clusters that
# formed separately merge.
REJOIN_INTERVAL_S = 60.0
MIN_JITTER = 0.75
# All nodes learn of a new era at once, and the log limits calls.
NEW_ERA_JITTER_S = 1.0
NEW_ERA_NODES_PER_S = 100.0
# Consecutive reads that find a node absent before its entry is dropped.
MAX_MISSED_READS = 3


class Directory:
    """Registers this node and joins the nodes that are registered.

    Args:
        log: The platform's log.
        stream: The keyed stream that holds the directory.
        membership: Membership of this node.
        seeds: Addresses from the settings, possibly stale.
        rng: Samples peers and adds jitter.
    """

    def __init__(
        self,
        log: KeyedLog,
        stream: str,
        membership: Membership,
        seeds: Sequence[str],
        rng: random.Random,
    ) -> None:
        """Start unregistered."""
        # Whether the entry of this node stands, as far as is known.
        self.is_registered = False
        self._log = log
        self._stream = stream
        self._membership = membership
        self._seeds = list(seeds)
        self._rng = rng
        # Consecutive reads that found a node of this domain absent.
        self._missed_reads: Counter[str] = Counter()
        self._era = NO_ERA
        # A page was read that stated no era, or era zero.
        self._has_read_without_era = False
        self._has_new_era = asyncio.Event()

    def on_era(self, era: int) -> None:
        """Register again, soon, if the log is in a newer era than known.

        Args:
            era: The era that a response of the log stated, of any stream.
        """
        if era <= self._era:
            return
        is_first = self._era == NO_ERA and not self._has_read_without_era
        self._era = era
        if not is_first:
            self.is_registered = False
            self._has_new_era.set()

    async def register(self) -> None:
        """Write this node's entry.

        Raises:
            LogUnavailable: The append failed, or its response was lost.
        """
        local_member = self._membership.local_member
        record = KeyedRecord(local_member.node, local_member.domain.encode())
        self._has_new_era.clear()
        await self._log.append(self._stream, record)
        # The append may have been of the era before.
        self.is_registered = not self._has_new_era.is_set()

    async def join(self) -> int:
        """Join a sample of the unknown nodes in the directory and the seeds.

        Returns:
            How many nodes replied.

        Raises:
            LogUnavailable: The directory cannot be read or changed.
        """
        page = await self._log.newest(self._stream)
        self._has_read_without_era |= page.era == NO_ERA
        self.on_era(page.era)
        entries = {
            record.key: record.payload.decode('utf-8', 'replace')
            for record in page.records
        }
        is_outdated = NO_ERA < page.era < self._era
        if is_outdated or not self._is_listed(entries):
            self.is_registered = False
        answered = await self._membership.join(self._sample_peers(entries))
        await self._drop_stale_entries(entries)
        return answered

    def _is_listed(self, entries: Mapping[str, str]) -> bool:
        local_member = self._membership.local_member
        return entries.get(local_member.node) == local_member.domain

    async def _drop_stale_entries(self, entries: Mapping[str, str]) -> None:
        """Drop entries of this domain whose nodes have long been absent.

        Only the first-ranked member of a domain does so: no network partition
        between domains can make it miss members of its own domain.
        """
        domain = self._membership.local_member.domain
        alive = {member.node for member in self._membership.table.alive()}
        absent = [
            node
            for node, entry_domain in entries.items()
            if entry_domain == domain and node not in alive
        ]
        self._missed_reads = Counter(
            {node: self._missed_reads[node] + 1 for node in absent}
        )
        if not self._is_first_ranked():
            return
        for node in filter(self._is_stale, absent):
            await self._log.append(self._stream, KeyedRecord(node, b''))
            logger.bind(event='directory_dropped', member=node).info(
                'entry of {} dropped',
                node,
            )

    def _is_stale(self, node: str) -> bool:
        return self._missed_reads[node] >= MAX_MISSED_READS

    def _is_first_ranked(self) -> bool:
        local_member = self._membership.local_member
        members = self._membership.table.in_domain(local_member.domain)
        ranked = rank(self._stream, [member.node for member in members])
        return list(ranked[:1]) == [local_member.node]

    async def run(self) -> None:
        """Keep this node registered and join periodically until cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            is_reachable = await self._register_and_join()
            if is_reachable and self.is_registered:
                backoff_s = MIN_BACKOFF_S
                await self._wait_for_rejoin()
                continue
            await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
            # A log that never shows the entry must not be flooded with it.
            limit_s = REJOIN_INTERVAL_S if is_reachable else MAX_BACKOFF_S
            backoff_s = min(backoff_s * 2, limit_s)

    async def _register_and_join(self) -> bool:
        """Register if need be, and join; return whether the log responded."""
        try:
            if not self.is_registered:
                await self.register()
            await self.join()
        except LogUnavailable as exc:
            logger.bind(event='directory_unavailable').info('{}', exc)
            return False
        return True

    async def _wait_for_rejoin(self) -> None:
        """Wait for the next interval, or less in a new era."""
        try:
            async with asyncio.timeout(self._next_interval_s()):
                await self._has_new_era.wait()
        except TimeoutError:
            return
        nodes = len(self._membership.table)
        spread_s = max(NEW_ERA_JITTER_S, nodes / NEW_ERA_NODES_PER_S)
        await asyncio.sleep(spread_s * self._rng.random())

    def _next_interval_s(self) -> float:
        jitter = MIN_JITTER + self._rng.random() / 2
        if len(self._membership.table) == 1:
            return MAX_BACKOFF_S * jitter
        return REJOIN_INTERVAL_S * jitter

    def _sample_peers(self, entries: dict[str, str]) -> list[str]:
        local_member = self._membership.local_member
        known = {member.node for member in self._membership.table.alive()}
        unjoined = [node for node in entries if node not in known]
        unjoined.extend(seed for seed in self._seeds if seed not in known)
        near = [
            node
            for node in unjoined
            if entries.get(node) == local_member.domain
        ]
        far = [
            node
            for node in unjoined
            if entries.get(node) != local_member.domain
        ]
        return self._sample(near, NEAR_PEERS) + self._sample(far, FAR_PEERS)

    def _sample(self, nodes: list[str], count: int) -> list[str]:
        return self._rng.sample(nodes, min(count, len(nodes)))
