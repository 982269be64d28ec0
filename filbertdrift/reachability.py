"""Reachability of the other failure domains, as this node sees it.

Network partitions are distinguished from failures: if no member of a domain
acks, this node treats the domain as unreachable and declares no member dead.
"""

import asyncio
import random
from collections.abc import Callable

from filbertdrift.members import MemberTable
from filbertdrift.prober import Prober

# Consecutive missed acks after which a domain is unreachable.
MAX_MISSED_ACKS = 3


class Reachability:
    """Detects unreachable failure domains by pinging their members.

    Args:
        domain: This node's own domain.
        table: All members.
        prober: Sends the pings.
        interval_s: Mean time between two probes.
        rng: Samples members and adds jitter.
    """

    def __init__(
        self,
        domain: str,
        table: MemberTable,
        prober: Prober,
        interval_s: float,
        rng: random.Random,
    ) -> None:
        """Start with all domains reachable."""
        self.unreachable: set[str] = set()
        self.on_change: Callable[[], None] = _ignore
        self._domain = domain
        self._table = table
        self._prober = prober
        self._interval_s = interval_s
        self._rng = rng
        self._missed_acks: dict[str, int] = {}

    async def run(self) -> None:
        """Probe random domains until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s * (0.5 + self._rng.random()))
            other_domains = [
                name for name in self._table.domains() if name != self._domain
            ]
            if other_domains:
                await self.probe(self._rng.choice(other_domains))

    async def probe(self, domain: str) -> None:
        """Ping up to MAX_MISSED_ACKS members of a domain until one acks."""
        members = list(self._table.in_domain(domain))
        attempts = min(MAX_MISSED_ACKS, len(members))
        for member in self._rng.sample(members, attempts):
            if await self._prober.ping(member.node):
                self._on_ack(domain)
                return
        if members:
            self._on_missed_acks(domain, attempts)

    def _on_ack(self, domain: str) -> None:
        self._missed_acks.pop(domain, None)
        if domain in self.unreachable:
            self.unreachable.discard(domain)
            self.on_change()

    def _on_missed_acks(self, domain: str, attempts: int) -> None:
        missed = self._missed_acks.get(domain, 0) + attempts
        self._missed_acks[domain] = missed
        if missed >= MAX_MISSED_ACKS:
            self.unreachable.add(domain)
            self.on_change()


def _ignore() -> None:
    """Do nothing."""
