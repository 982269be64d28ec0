"""Random samples of the members that get a message."""

import random
from collections.abc import Callable, Collection, Sequence

from filbertdrift.members import Member, MemberStatus, MemberTable

# Peers are drawn at random if the table holds at least this many members for
# each; of the draws, some hit members that are no candidates.
MIN_MEMBERS_PER_DRAW = 4
DRAWS_PER_PEER = 4


class PeerSampler:
    """Samples peers from the member table, without a scan of a large one.

    Args:
        local_member: This node's record.
        table: All members.
        unreachable_domains: Returns the domains that get no messages.
        rng: Draws the peers.
    """

    def __init__(
        self,
        local_member: Member,
        table: MemberTable,
        unreachable_domains: Callable[[], Collection[str]],
        rng: random.Random,
    ) -> None:
        """Create a sampler of a table."""
        self._node = local_member.node
        self._domain = local_member.domain
        self._table = table
        self._unreachable_domains = unreachable_domains
        self._rng = rng

    def sample_near(self, count: int) -> list[str]:
        """Return the addresses of some members of the own domain."""
        members = self._table.in_domain(self._domain)
        return self._sample(members, count, self._is_candidate)

    def sample_far(self, count: int) -> list[str]:
        """Return the addresses of some members of other domains."""
        if len(self._table.domains()) == 1:
            return []
        members = self._table.alive()
        return self._sample(members, count, self._is_far_candidate)

    def sample_each_domain(self) -> list[str]:
        """Return the address of a member of each reachable other domain."""
        sampled = []
        for domain in self._table.domains():
            members = self._table.in_domain(domain)
            sampled += self._sample(members, 1, self._is_far_candidate)
        return sampled

    def _is_candidate(self, member: Member) -> bool:
        is_suspect = member.status == MemberStatus.SUSPECT
        return member.node != self._node and not is_suspect

    def _is_far_candidate(self, member: Member) -> bool:
        is_far = member.domain != self._domain
        is_reachable = member.domain not in self._unreachable_domains()
        return is_far and is_reachable and self._is_candidate(member)

    def _sample(
        self,
        members: Sequence[Member],
        count: int,
        is_candidate: Callable[[Member], bool],
    ) -> list[str]:
        drawn: dict[str, None] = {}
        if len(members) >= count * MIN_MEMBERS_PER_DRAW:
            for member in self._rng.choices(members, k=count * DRAWS_PER_PEER):
                if len(drawn) < count and is_candidate(member):
                    drawn[member.node] = None
        if len(drawn) == count:
            return list(drawn)
        candidates = [member.node for member in members if is_candidate(member)]
        return self._rng.sample(candidates, min(count, len(candidates)))
