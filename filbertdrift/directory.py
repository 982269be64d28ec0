"""How nodes find each other: a directory on the platform's log, and seeds.

Each node enters its address once when it starts, and reads who else is there.
From then on membership spreads between the nodes themselves.
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
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
# A settled node looks again now and then, so that halves which formed apart
# find each other.
REJOIN_INTERVAL_S = 60.0
MIN_SPREAD = 0.75
# An entry is dropped after that many looks without its node.
MISSES = 3


class Directory:
    """Enters this node and joins those that are entered.

    Args:
        log: The platform's log.
        stream: The keyed stream of the directory.
        membership: The other nodes.
        seeds: Addresses from the settings, perhaps stale.
        rng: Draws peers and spreads times.
    """

    def __init__(
        self,
        log: KeyedLog,
        stream: str,
        membership: Membership,
        seeds: Sequence[str],
        rng: random.Random,
    ) -> None:
        """Start without an entry."""
        self.is_registered = False
        self._log = log
        self._stream = stream
        self._membership = membership
        self._seeds = list(seeds)
        self._rng = rng
        # Looks in a row at which a node of this domain was missing.
        self._missed: Counter[str] = Counter()

    async def register(self) -> None:
        """Write this node's entry.

        Raises:
            LogUnavailable: The log did not take it, or its answer was lost.
        """
        me = self._membership.local_member
        record = KeyedRecord(me.node, me.domain.encode())
        await self._log.append(self._stream, record)
        self.is_registered = True

    async def join(self) -> int:
        """Join some of the nodes that the directory and the seeds name.

        Returns:
            How many nodes answered.

        Raises:
            LogUnavailable: The log did not answer.
        """
        page = await self._log.newest(self._stream)
        entries = {
            record.key: record.payload.decode('utf-8', 'replace')
            for record in page.records
        }
        answered = await self._membership.join(self._draw(entries))
        await self._drop_gone(entries)
        return answered

    async def _drop_gone(self, entries: Mapping[str, str]) -> None:
        """Drop entries of this domain whose nodes are gone for long.

        Only the first-ranked member does so, for its own domain: it is on the
        same side of every cut between domains.
        """
        domain = self._membership.local_member.domain
        alive = {member.node for member in self._membership.table.alive()}
        gone = [
            node
            for node, of_domain in entries.items()
            if of_domain == domain and node not in alive
        ]
        self._missed = Counter({node: self._missed[node] + 1 for node in gone})
        if not self._is_first():
            return
        for node in filter(self._is_gone, gone):
            await self._log.append(self._stream, KeyedRecord(node, b''))
            logger.bind(event='directory_dropped', member=node).info(
                'entry of {} dropped',
                node,
            )

    def _is_gone(self, node: str) -> bool:
        return self._missed[node] >= MISSES

    def _is_first(self) -> bool:
        me = self._membership.local_member
        members = self._membership.table.in_domain(me.domain)
        ranked = rank(self._stream, [member.node for member in members])
        return list(ranked[:1]) == [me.node]

    async def run(self) -> None:
        """Enter, join and look again until cancelled."""
        backoff_s = FIRST_BACKOFF_S
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
            backoff_s = FIRST_BACKOFF_S
            await asyncio.sleep(self._pause_s())

    def _pause_s(self) -> float:
        spread = MIN_SPREAD + self._rng.random() / 2
        if len(self._membership.table) == 1:
            return MAX_BACKOFF_S * spread
        return REJOIN_INTERVAL_S * spread

    def _draw(self, entries: dict[str, str]) -> list[str]:
        me = self._membership.local_member
        known = {member.node for member in self._membership.table.alive()}
        strangers = [node for node in entries if node not in known]
        strangers.extend(seed for seed in self._seeds if seed not in known)
        near = [node for node in strangers if entries.get(node) == me.domain]
        far = [node for node in strangers if entries.get(node) != me.domain]
        return self._sample(near, NEAR_PEERS) + self._sample(far, FAR_PEERS)

    def _sample(self, nodes: list[str], count: int) -> list[str]:
        return self._rng.sample(nodes, min(count, len(nodes)))
