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
LOOK_BACK_RECORDS = 60


class Introducer:
    """Finds peers for this node and introduces it to newcomers.

    Args:
        log: The platform's log.
        membership: The other nodes.
        rng: Spreads times.
    """

    def __init__(
        self,
        log: Log,
        membership: Membership,
        rng: random.Random,
    ) -> None:
        """Start without having introduced anybody."""
        self._log = log
        self._membership = membership
        self._rng = rng
        self._introduced: list[str] = []
        self._refresh_at = 0.0

    async def join(self, seeds: Sequence[str]) -> int:
        """Join the members that the seeds know, or those the log names.

        Args:
            seeds: Nodes from the settings.

        Returns:
            How many nodes answered.
        """
        chosen = self._draw(seeds)
        answered = await self._membership.join(chosen)
        if answered:
            return answered
        try:
            introduced = await self._read()
        except LogUnavailable:
            return 0
        return await self._membership.join(self._draw(introduced))

    async def run(self) -> None:
        """Keep this domain's introduction current until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S * (0.5 + self._rng.random()))
            try:
                await self.introduce_if_due()
            except LogUnavailable:
                await asyncio.sleep(CHECK_S)

    async def introduce_if_due(self) -> bool:
        """Append this domain's introduction if it changed or grew old.

        Returns:
            True if it was appended.

        Raises:
            LogUnavailable: The log did not answer.
        """
        domain = self._membership.me.domain
        nodes = [
            member.node for member in self._membership.table.in_domain(domain)
        ]
        ranked = list(rank(INTRODUCTION_STREAM, nodes))[:INTRODUCED_NODES]
        now = asyncio.get_running_loop().time()
        is_old = now >= self._refresh_at
        if ranked[:1] != [self._membership.me.node]:
            return False
        if ranked == self._introduced and not is_old:
            return False
        record = ttypes.Introduction(domain, ranked)
        await self._log.append(INTRODUCTION_STREAM, encode(record))
        self._introduced = ranked
        self._refresh_at = now + REFRESH_S
        return True

    def _draw(self, nodes: Sequence[str]) -> Sequence[str]:
        me = self._membership.me.node
        others = [node for node in nodes if node != me]
        return self._rng.sample(others, min(JOINED_NODES, len(others)))

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
            is_own = found.domain == self._membership.me.domain
            (own if is_own else others).extend(found.nodes or ())
        return list(dict.fromkeys(own + others))
