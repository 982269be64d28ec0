"""Bootstrap of membership: a node directory on the log, and seeds.

Each node registers its address in the directory when it starts, and joins nodes
that it finds there. From then on membership spreads by gossip. Two members of
each domain, its keepers, read the directory again from time to time: they write
entries of their domain that are missing, drop those of absent nodes, and join
nodes that they do not know. So the calls to the log do not grow with the fleet.
All nodes register again when the log has come back from an older copy.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Mapping, Sequence

from loguru import logger

from filbertdrift.address import has_valid_port
from filbertdrift.errors import LogUnavailable
from filbertdrift.fleet_size import FleetSize
from filbertdrift.keyedlog import NO_ERA, KeyedLog, KeyedRecord
from filbertdrift.membership import Membership
from filbertdrift.rendezvous import rank

NEAR_PEERS = 3
FAR_PEERS = 2
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
# Keepers read the directory again at this interval, so that clusters that
# formed separately merge: each has keepers of its own.
REJOIN_INTERVAL_S = 60.0
KEEPERS_PER_DOMAIN = 2
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

    Attributes:
        on_absent: Called with the nodes whose entries are dropped next; raises
            LogUnavailable if they are not to be dropped yet.
        size: How many nodes are known to be registered.
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
        self.on_absent: Callable[[Collection[str]], Awaitable[None]] = (
            _ignore_absent
        )
        self.size = FleetSize(
            len(seeds), lambda: asyncio.get_running_loop().time()
        )
        # Set when the first node has replied, or none has.
        self.has_tried = asyncio.Event()
        self._log = log
        self._stream = stream
        self._membership = membership
        self._seeds = list(seeds)
        self._rng = rng
        # Consecutive reads that found a node of this domain absent.
        self._missed_reads: Counter[str] = Counter()
        # Consecutive reads that found no entry of a member of this domain.
        self._missed_entries: Counter[str] = Counter()
        self._era = NO_ERA
        # A page was read that stated no era, or era zero.
        self._has_read_without_era = False
        self._has_new_era = asyncio.Event()

    def count_nodes(self) -> int | None:
        """Return how many nodes there are, None if that is not known yet."""
        members = len(self._membership.table)
        least = self.size.find_least(members)
        return None if least is None else max(members, least)

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
        self.size.record_listed(len(entries))
        is_outdated = NO_ERA < page.era < self._era
        if is_outdated or not self._is_listed(entries):
            self.is_registered = False
        answered = await self._join_peers(self._sample_peers(entries))
        await self._repair_entries(entries)
        return answered

    async def _join_peers(self, peers: Sequence[str]) -> int:
        """Join some nodes at the same time; return how many replied."""
        return sum(await asyncio.gather(*map(self._join_peer, peers)))

    async def _join_peer(self, peer: str) -> int:
        answered = await self._membership.join((peer,))
        if answered:
            self.has_tried.set()
        return answered

    def _is_listed(self, entries: Mapping[str, str]) -> bool:
        local_member = self._membership.local_member
        return entries.get(local_member.node) == local_member.domain

    async def _repair_entries(self, entries: Mapping[str, str]) -> None:
        """Write missing entries of this domain, drop those of absent nodes.

        Only the first-ranked member of a domain does so: no network partition
        between domains can make it miss members of its own domain.
        """
        domain = self._membership.local_member.domain
        alive = {
            member.node for member in self._membership.table.in_domain(domain)
        }
        listed = {node for node, each in entries.items() if each == domain}
        self._missed_reads = Counter(
            {node: self._missed_reads[node] + 1 for node in listed - alive}
        )
        self._missed_entries = Counter(
            {node: self._missed_entries[node] + 1 for node in alive - listed}
        )
        if not self._is_ranked(1):
            return
        stale = list(filter(self._is_stale, sorted(listed - alive)))
        if stale:
            await self.on_absent(stale)
        for node in stale:
            await self._log.append(self._stream, KeyedRecord(node, b''))
            logger.bind(event='directory_dropped', member=node).info(
                'entry of {} dropped',
                node,
            )
        for node in filter(self._is_lost, sorted(alive - listed)):
            record = KeyedRecord(node, domain.encode())
            await self._log.append(self._stream, record)
            logger.bind(event='directory_restored', member=node).info(
                'entry of {} written again',
                node,
            )

    def _is_stale(self, node: str) -> bool:
        return self._missed_reads[node] >= MAX_MISSED_READS

    def _is_lost(self, node: str) -> bool:
        is_local = node == self._membership.local_member.node
        return not is_local and self._missed_entries[node] > 1

    def _is_ranked(self, count: int) -> bool:
        """Return whether this node is among the first members of its domain."""
        local_member = self._membership.local_member
        members = self._membership.table.in_domain(local_member.domain)
        ranked = rank(self._stream, [member.node for member in members])
        return local_member.node in ranked[:count]

    async def run(self) -> None:
        """Keep this node registered and join periodically until cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            is_reachable = await self._register_and_join()
            self.has_tried.set()
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
        """Wait until a keeper's next read is due, or less in a new era."""
        is_due = False
        while not is_due:
            try:
                async with asyncio.timeout(self._next_interval_s()):
                    await self._has_new_era.wait()
                break
            except TimeoutError:
                is_due = self._is_ranked(KEEPERS_PER_DOMAIN)
        if is_due:
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
        unjoined = [
            node for node in entries if node not in known and _is_usable(node)
        ]
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


async def _ignore_absent(nodes: Collection[str]) -> None:
    """Do nothing."""


def _is_usable(node: str) -> bool:
    """Return whether an entry names a node; log one that does not."""
    if has_valid_port(node):
        return True
    logger.bind(event='directory_entry_invalid', member=node).warning(
        'entry {!r} of the directory names no node', node
    )
    return False
