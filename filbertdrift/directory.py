"""Bootstrap of membership: a node directory on the log, and seeds.

Each node registers its address in the directory once when it starts, and joins
nodes that it finds there. From then on membership spreads by gossip.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Mapping, Sequence

from loguru import logger

from filbertdrift.errors import LogUnavailable
from filbertdrift.keyedlog import KeyedLog, KeyedRecord
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
        self.is_registered = False
        self._log = log
        self._stream = stream
        self._membership = membership
        self._seeds = list(seeds)
        self._rng = rng
        # Consecutive reads that found a node of this domain absent.
        self._missed_reads: Counter[str] = Counter()

    async def register(self) -> None:
        """Write this node's entry.

        Raises:
            LogUnavailable: The append failed, or its response was lost.
        """
        local_member = self._membership.local_member
        record = KeyedRecord(local_member.node, local_member.domain.encode())
        await self._log.append(self._stream, record)
        self.is_registered = True

    async def join(self) -> int:
        """Join a sample of the unknown nodes in the directory and the seeds.

        Returns:
            How many nodes replied.

        Raises:
            LogUnavailable: The directory cannot be read or changed.
        """
        page = await self._log.newest(self._stream)
        entries = {
            record.key: record.payload.decode('utf-8', 'replace')
            for record in page.records
        }
        answered = await self._membership.join(self._sample_peers(entries))
        await self._drop_stale_entries(entries)
        return answered

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
        """Register, then join periodically until cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                if not self.is_registered:
                    await self.register()
                await self.join()
            except LogUnavailable as exc:
                logger.bind(event='directory_unavailable').info('{}', exc)
                await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
                continue
            backoff_s = MIN_BACKOFF_S
            await asyncio.sleep(self._next_interval_s())

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
