"""Which member drives the roll-outs of a service."""

from filbertdrift.members import MemberStatus
from filbertdrift.membership import Membership
from filbertdrift.rendezvous import rank
from filbertdrift.rollouts.steplog import KEY_PREFIX


class DriverRanking:
    """Finds the member that ranks first for a service.

    Args:
        membership: The members.
    """

    def __init__(self, membership: Membership) -> None:
        """Start without results."""
        self._membership = membership
        # By service, with the state of the members that it was found for.
        self._ranked: dict[str, tuple[object, str]] = {}

    def find(self, service: str) -> str:
        """Return the member that ranks first for a service."""
        unreachable = self._membership.unreachable_domains
        key = (self._membership.table.digest, frozenset(unreachable))
        ranked = self._ranked.get(service)
        if ranked is None or ranked[0] != key:
            nodes = [
                member.node
                for member in self._membership.table.alive()
                if member.status < MemberStatus.LEAVING
                and member.domain not in unreachable
            ]
            first = rank(KEY_PREFIX + service, nodes)[:1]
            node = first[0] if first else self._membership.local_member.node
            ranked = key, node
            self._ranked[service] = ranked
        return ranked[1]
