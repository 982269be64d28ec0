"""What quotas need to know of the members: their number, and who keeps what."""

from collections.abc import Callable, Sequence
from typing import Protocol

from filbertdrift.accounts.quota_bounds import MILLION, SPREAD_SHARE
from filbertdrift.members import Member, MemberStatus
from filbertdrift.rendezvous import rank

# A node whose first two keepers do not respond is its own keeper.
CANDIDATES = 2


class Members(Protocol):
    """The table of members."""

    def domains(self) -> Sequence[str]:
        """Return the domains that have members."""

    def in_domain(self, domain: str) -> Sequence[Member]:
        """Return the members of a domain that are not dead."""

    def all_members(self) -> Sequence[Member]:
        """Return all members, the dead included."""


class FleetView:
    """Size of the fleet, and the keepers of slots, as this node sees them.

    Args:
        node: This node's address.
        domain: Its failure domain.
        members: The table of members.
        find_least: Returns how many nodes there are at least, given the number
            of those that are known; None if that cannot be told yet.
    """

    def __init__(
        self,
        node: str,
        domain: str,
        members: Members,
        find_least: Callable[[int], int | None],
    ) -> None:
        """Start without any member counted."""
        self.node = node
        self.domain = domain
        self._members = members
        self._find_least = find_least
        self._ranked: dict[
            tuple[str, int], tuple[Sequence[Member], Sequence[str]]
        ] = {}

    def share_millionths(self) -> int:
        """Return this node's share of all limits, 0 while it may be any.

        Members that are cut off stay members. Where most of a domain is dead,
        the dead count too: this node may be the one that is cut off.
        """
        alive: dict[str, int] = {}
        dead: dict[str, int] = {}
        for member in self._members.all_members():
            is_dead = member.status == MemberStatus.DEAD
            counts = dead if is_dead else alive
            counts[member.domain] = counts.get(member.domain, 0) + 1
        size = sum(alive.values())
        for domain, count in dead.items():
            if count >= alive.get(domain, 0):
                size += count
        least = self._find_least(size)
        if least is None:
            return 0
        return int(MILLION * SPREAD_SHARE / max(size, least, 1))

    def candidates(self, slot: int) -> Sequence[str]:
        """Return the nodes to ask for tokens, the preferred one first."""
        ranked = self.ranked(self.domain, slot)[:CANDIDATES]
        if self.node in ranked:
            return ranked[: ranked.index(self.node) + 1]
        return [*ranked, self.node]

    def domains(self) -> Sequence[str]:
        """Return the domains that have members."""
        return self._members.domains()

    def lenders(self, domain: str, slot: int) -> Sequence[str]:
        """Return the nodes of a domain to borrow from, without this one.

        In its own domain, a second candidate borrows from the first one.
        """
        return [node for node in self.ranked(domain, slot) if node != self.node]

    def ranked(self, domain: str, slot: int) -> Sequence[str]:
        """Return the first candidates of a domain to keep a slot."""
        members = self._members.in_domain(domain)
        known = self._ranked.get((domain, slot))
        # The table returns the same list until a member changes.
        if known is None or known[0] is not members:
            nodes = [
                member.node
                for member in members
                if member.status <= MemberStatus.SERVING
            ]
            known = (members, rank(f'quota/{slot}', nodes)[:CANDIDATES])
            self._ranked[domain, slot] = known
        return known[1]
