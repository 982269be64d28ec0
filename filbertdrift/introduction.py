"""Bootstrap of membership: seeds from the settings and from the log.

The first-ranked member of each failure domain publishes an introduction on the
log: a short list of nodes of its domain. Starting nodes whose configured seeds
are gone use them as seeds.
"""

import asyncio
import random
from collections.abc import Sequence

from loguru import logger

from filbertdrift.errors import LogUnavailable, MalformedMessage
from filbertdrift.gen import ttypes
from filbertdrift.keyedlog import NO_ERA
from filbertdrift.log import INTRODUCTION_STREAM, Log
from filbertdrift.membership import Membership
from filbertdrift.rendezvous import rank
from filbertdrift.wire import decode, encode

PUBLISHED_SEEDS = 4
JOIN_SAMPLE = 3
CHECK_INTERVAL_S = 5.0
REPUBLISH_INTERVAL_S = 600.0
READ_INTERVAL_S = 30.0
MIN_REJOIN_INTERVAL_S = 1.0
MAX_REJOIN_INTERVAL_S = 60.0
MAX_READ_RECORDS = 60


class SeedDiscovery:
    """Joins nodes found through seeds; publishes seeds for other nodes.

    Args:
        log: The platform's log.
        membership: Membership of this node.
        seeds: Addresses from the settings.
        rng: Samples nodes and adds jitter.
    """

    def __init__(
        self,
        log: Log,
        membership: Membership,
        seeds: Sequence[str],
        rng: random.Random,
    ) -> None:
        """Start with nothing published."""
        self._seeds = seeds
        self._log = log
        self._membership = membership
        self._rng = rng
        self._published: list[str] = []
        self._published_era = NO_ERA
        self._republish_at = 0.0
        self._read_at = 0.0

    async def join(self) -> int:
        """Join a sample of the seeds; if none replies, published nodes.

        Returns:
            How many nodes replied.
        """
        answered = await self._membership.join(self._sample(self._seeds))
        if answered:
            return answered
        return await self._join_published()

    async def run(self) -> None:
        """Publish seeds and rejoin until cancelled."""
        await asyncio.gather(self._publish(), self._rejoin())

    async def _publish(self) -> None:
        """Publish this domain's seeds and join those of all domains.

        Only the first-ranked member of the domain does so.
        """
        while True:
            await asyncio.sleep(self._jittered(CHECK_INTERVAL_S))
            if not self.is_publisher():
                continue
            try:
                await self.publish_if_due()
            except LogUnavailable as exc:
                logger.warning('seeds not published: {}', exc)
                await asyncio.sleep(CHECK_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            if now >= self._read_at:
                self._read_at = now + self._jittered(READ_INTERVAL_S)
                await self._join_published()

    async def _rejoin(self) -> None:
        """Join seeds that are not members, with exponential backoff.

        This connects nodes that started while all their seeds were down, or
        that were partitioned until all nodes they knew were replaced.
        """
        interval_s = MIN_REJOIN_INTERVAL_S
        while True:
            await asyncio.sleep(self._jittered(interval_s))
            interval_s = min(interval_s * 2, MAX_REJOIN_INTERVAL_S)
            if len(self._membership.table) == 1:
                interval_s = MIN_REJOIN_INTERVAL_S
                await self.join()
            else:
                await self._membership.join(
                    self._sample_unjoined(self._seeds)[:1]
                )

    async def _join_published(self) -> int:
        try:
            published = await self._read_published()
        except LogUnavailable as exc:
            logger.warning('published seeds not read: {}', exc)
            return 0
        return await self._membership.join(self._sample_unjoined(published))

    def is_publisher(self) -> bool:
        """Return whether this node publishes the seeds of its domain."""
        return self._ranked_nodes()[:1] == [self._membership.local_member.node]

    async def publish_if_due(self) -> bool:
        """Publish this domain's seeds if they changed or are due again.

        They are also due if the log came back from an older copy, which may
        not contain them.

        Returns:
            True if they were published.

        Raises:
            LogUnavailable: The append failed.
        """
        ranked = self._ranked_nodes()
        now = asyncio.get_running_loop().time()
        is_same_era = self._log.era == self._published_era
        is_published = is_same_era and ranked == self._published
        if is_published and now < self._republish_at:
            return False
        record = ttypes.Introduction(
            self._membership.local_member.domain, ranked
        )
        await self._log.append(INTRODUCTION_STREAM, encode(record))
        self._published = ranked
        self._published_era = self._log.era
        self._republish_at = now + REPUBLISH_INTERVAL_S
        return True

    def _ranked_nodes(self) -> list[str]:
        members = self._membership.table.in_domain(
            self._membership.local_member.domain
        )
        nodes = [member.node for member in members]
        return list(rank(INTRODUCTION_STREAM, nodes))[:PUBLISHED_SEEDS]

    def _sample_unjoined(self, nodes: Sequence[str]) -> Sequence[str]:
        """Return a random sample of the nodes that are not members."""
        alive = {member.node for member in self._membership.table.alive()}
        return self._sample([node for node in nodes if node not in alive])

    def _sample(self, nodes: Sequence[str]) -> Sequence[str]:
        local_node = self._membership.local_member.node
        others = [node for node in nodes if node != local_node]
        return self._rng.sample(others, min(JOIN_SAMPLE, len(others)))

    def _jittered(self, mean_s: float) -> float:
        return mean_s * (0.5 + self._rng.random())

    async def _read_published(self) -> Sequence[str]:
        newest = await self._log.read(INTRODUCTION_STREAM, -1)
        start = max(newest.next_offset - MAX_READ_RECORDS, 0)
        page = await self._log.read(INTRODUCTION_STREAM, start)
        own: list[str] = []
        others: list[str] = []
        for record in reversed(page.records):
            try:
                found = decode(ttypes.Introduction, record.payload)
            except MalformedMessage:
                continue
            is_own = found.domain == self._membership.local_member.domain
            (own if is_own else others).extend(found.nodes or ())
        return list(dict.fromkeys(own + others))
