"""How a starting node finds the others: seeds and introductions on the log.

The first-ranked member of each failure domain keeps a short list of nodes of
its domain on the log, so that a newcomer whose seeds are gone finds someone.
"""

import asyncio
import random
from collections.abc import Sequence

from filbertdrift.errors import LogUnavailable, MalformedMessage
from filbertdrift.gen import ttypes
from filbertdrift.log import INTRODUCTION_STREAM, Log
from filbertdrift.membership import Membership
from filbertdrift.rendezvous import rank
from filbertdrift.wire import decode, encode

INTRODUCED_NODES = 4
JOINED_NODES = 3
CHECK_S = 5.0
REFRESH_S = 600.0
READ_S = 30.0
FIRST_REJOIN_S = 1.0
MAX_REJOIN_S = 60.0
LOOK_BACK_RECORDS = 60


class SeedDiscovery:
    """Finds peers for this node and introduces it to newcomers.

    Args:
        log: The platform's log.
        membership: The other nodes.
        seeds: Nodes from the settings.
        rng: Spreads times.
    """

    def __init__(
        self,
        log: Log,
        membership: Membership,
        seeds: Sequence[str],
        rng: random.Random,
    ) -> None:
        """Start without having introduced anybody."""
        self._seeds = seeds
        self._log = log
        self._membership = membership
        self._rng = rng
        self._introduced: list[str] = []
        self._refresh_at = 0.0
        self._read_at = 0.0

    async def join(self) -> int:
        """Join the members that the seeds know, or those the log names.

        Returns:
            How many nodes answered.
        """
        answered = await self._membership.join(self._draw(self._seeds))
        if answered:
            return answered
        return await self._join_introduced()

    async def run(self) -> None:
        """Introduce and be introduced until cancelled."""
        await asyncio.gather(self._introduce(), self._rejoin())

    async def _introduce(self) -> None:
        """Keep this domain's introduction current, and meet the others'."""
        while True:
            await asyncio.sleep(self._jittered(CHECK_S))
            if not self.is_publisher():
                continue
            try:
                await self.publish_if_due()
            except LogUnavailable:
                await asyncio.sleep(CHECK_S)
            now = asyncio.get_running_loop().time()
            if now >= self._read_at:
                self._read_at = now + self._jittered(READ_S)
                await self._join_introduced()

    async def _rejoin(self) -> None:
        """Ask seeds that are not members, more and more seldom.

        Nodes that started while none of their seeds was up, or that were cut
        off until everybody they knew was replaced, find each other this way.
        """
        interval_s = FIRST_REJOIN_S
        while True:
            await asyncio.sleep(self._jittered(interval_s))
            interval_s = min(interval_s * 2, MAX_REJOIN_S)
            if len(self._membership.table) == 1:
                interval_s = FIRST_REJOIN_S
                await self.join()
            else:
                await self._membership.join(self._strangers(self._seeds)[:1])

    async def _join_introduced(self) -> int:
        try:
            introduced = await self._read()
        except LogUnavailable:
            return 0
        return await self._membership.join(self._strangers(introduced))

    def is_publisher(self) -> bool:
        """Tell whether this node introduces its domain."""
        return self._ranked()[:1] == [self._membership.local_member.node]

    async def publish_if_due(self) -> bool:
        """Append this domain's introduction if it changed or grew old.

        Returns:
            True if it was appended.

        Raises:
            LogUnavailable: The log did not answer.
        """
        ranked = self._ranked()
        now = asyncio.get_running_loop().time()
        if ranked == self._introduced and now < self._refresh_at:
            return False
        record = ttypes.Introduction(
            self._membership.local_member.domain, ranked
        )
        await self._log.append(INTRODUCTION_STREAM, encode(record))
        self._introduced = ranked
        self._refresh_at = now + REFRESH_S
        return True

    def _ranked(self) -> list[str]:
        members = self._membership.table.in_domain(
            self._membership.local_member.domain
        )
        nodes = [member.node for member in members]
        return list(rank(INTRODUCTION_STREAM, nodes))[:INTRODUCED_NODES]

    def _strangers(self, nodes: Sequence[str]) -> Sequence[str]:
        """Return a few nodes that are not members, drawn at random."""
        alive = {member.node for member in self._membership.table.alive()}
        return self._draw([node for node in nodes if node not in alive])

    def _draw(self, nodes: Sequence[str]) -> Sequence[str]:
        me = self._membership.local_member.node
        others = [node for node in nodes if node != me]
        return self._rng.sample(others, min(JOINED_NODES, len(others)))

    def _jittered(self, span_s: float) -> float:
        return span_s * (0.5 + self._rng.random())

    async def _read(self) -> Sequence[str]:
        newest = await self._log.read(INTRODUCTION_STREAM, -1)
        start = max(newest.next_offset - LOOK_BACK_RECORDS, 0)
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
