"""Which other failure domains this node can reach.

A cut is told apart from failures: a domain none of whose members answers is
marked as unreachable by this node for itself, and nobody is declared dead.
"""

import asyncio
import random
from collections.abc import Callable

from filbertdrift.members import MemberTable
from filbertdrift.prober import Prober

MISSES = 3


class Reachability:
    """Pings members of the other domains.

    Args:
        domain: This node's own domain.
        table: All members.
        prober: Sends the pings.
        interval_s: Time between two pings.
        rng: Draws members.
    """

    def __init__(
        self,
        domain: str,
        table: MemberTable,
        prober: Prober,
        interval_s: float,
        rng: random.Random,
    ) -> None:
        """Start with every domain reachable."""
        self.unreachable: set[str] = set()
        self.on_change: Callable[[], None] = _ignore
        self._domain = domain
        self._table = table
        self._prober = prober
        self._interval_s = interval_s
        self._rng = rng
        self._misses: dict[str, int] = {}

    async def run(self) -> None:
        """Ping until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s * (0.5 + self._rng.random()))
            others = [
                name for name in self._table.domains() if name != self._domain
            ]
            if others:
                await self.probe(self._rng.choice(others))

    async def probe(self, domain: str) -> None:
        """Ping a few members of a domain until one answers."""
        members = list(self._table.in_domain(domain))
        tries = min(MISSES, len(members))
        for member in self._rng.sample(members, tries):
            if await self._prober.ping(member.node):
                self._answered(domain)
                return
        if members:
            self._missed(domain, tries)

    def _answered(self, domain: str) -> None:
        self._misses.pop(domain, None)
        if domain in self.unreachable:
            self.unreachable.discard(domain)
            self.on_change()

    def _missed(self, domain: str, tries: int) -> None:
        misses = self._misses.get(domain, 0) + tries
        self._misses[domain] = misses
        if misses >= MISSES:
            self.unreachable.add(domain)
            self.on_change()


def _ignore() -> None:
    """Do nothing."""
