"""Suspicion timeouts: how long a suspect member may refute its suspicion."""

import asyncio
from collections.abc import Sequence

from filbertdrift.members import Member, MemberStatus, MemberTable


class Suspicions:
    """Deadlines after which suspect members of a domain are declared dead.

    A node declares only members of its own domain dead, since a network
    partition between domains cannot separate it from them.

    Args:
        domain: The node's own domain.
        table: All members.
        timeout_s: How long a suspect member has to refute the suspicion.
    """

    def __init__(
        self,
        domain: str,
        table: MemberTable,
        timeout_s: float,
    ) -> None:
        """Start without suspicions."""
        self._domain = domain
        self._table = table
        self._timeout_s = timeout_s
        self._deadlines: dict[str, float] = {}

    def update(self, member: Member) -> None:
        """Start or end the suspicion of a member according to its status."""
        if member.domain != self._domain:
            return
        if member.status == MemberStatus.SUSPECT:
            now = asyncio.get_running_loop().time()
            self._deadlines.setdefault(member.node, now + self._timeout_s)
        else:
            self._deadlines.pop(member.node, None)

    def pop_expired(self, now: float) -> Sequence[Member]:
        """Remove and return the members whose suspicion timed out.

        Args:
            now: The time on the event loop's clock.
        """
        expired = [
            node
            for node, deadline in self._deadlines.items()
            if now >= deadline
        ]
        found = []
        for node in expired:
            self._deadlines.pop(node)
            member = self._table.get(node)
            if member and member.status == MemberStatus.SUSPECT:
                found.append(member)
        return found

    def clear(self) -> None:
        """Drop all suspicions.

        Called after this node was paused: it missed the acks itself.
        """
        self._deadlines.clear()
