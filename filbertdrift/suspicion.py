"""Suspicions: members that did not answer and have time to refute it."""

import asyncio
from collections.abc import Sequence

from filbertdrift.members import Member, MemberStatus, MemberTable


class Suspicions:
    """When suspect members of one domain are declared dead.

    Only members of a node's own domain are judged: they are on its side of
    every cut between domains.

    Args:
        domain: The domain.
        table: All members.
        refute_s: How long a suspect member has to refute it.
    """

    def __init__(
        self,
        domain: str,
        table: MemberTable,
        refute_s: float,
    ) -> None:
        """Start without suspicions."""
        self._domain = domain
        self._table = table
        self._refute_s = refute_s
        self._deadlines: dict[str, float] = {}

    def update(self, member: Member) -> None:
        """Start or end the suspicion of a member as its status says."""
        if member.domain != self._domain:
            return
        if member.status == MemberStatus.SUSPECT:
            now = asyncio.get_running_loop().time()
            self._deadlines.setdefault(member.node, now + self._refute_s)
        else:
            self._deadlines.pop(member.node, None)

    def pop_expired(self, now: float) -> Sequence[Member]:
        """Return the members whose time to refute is over.

        Args:
            now: The time on the event loop's clock.
        """
        expired = [
            node for node, until in self._deadlines.items() if now >= until
        ]
        found = []
        for node in expired:
            self._deadlines.pop(node)
            member = self._table.get(node)
            if member and member.status == MemberStatus.SUSPECT:
                found.append(member)
        return found

    def clear(self) -> None:
        """Forget all suspicions, because it was this node that was paused."""
        self._deadlines.clear()
