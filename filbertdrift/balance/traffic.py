"""Bytes that a node sends to other failure domains, by cause."""

from collections import Counter
from collections.abc import Callable, Iterable

from filbertdrift.gen import ttypes
from filbertdrift.members import Member

REQUEST, RESPONSE, OFFER, CONTROL = 'request', 'response', 'offer', 'control'
# Peers whose domain is kept; more than the nodes and connections of a fleet.
MAX_PEERS = 4096

# Refusals are what asking a gate costs, as offers are.
_CAUSES = {
    ttypes.RequestOpen: REQUEST,
    ttypes.AnswerOpen: RESPONSE,
    ttypes.Refusal: OFFER,
}


class DomainTraffic:
    """Counts sent bytes to other failure domains, by cause.

    Args:
        domain: This node's failure domain.
        members: Returns all members.

    Attributes:
        sent_bytes: Bytes by cause, with length prefixes.
    """

    def __init__(
        self, domain: str, members: Callable[[], Iterable[Member]]
    ) -> None:
        """Start at zero."""
        self.sent_bytes: Counter[str] = Counter()
        self._domain = domain
        self._members = members
        self._domains: dict[str, str] = {}

    def record(
        self,
        body: object,
        size_bytes: int,
        peer: str,
        is_served: bool,
    ) -> None:
        """Count one message.

        Args:
            body: The message.
            size_bytes: The size of its frame or datagram.
            peer: The address it is sent to, which may have the port of an
                accepted connection.
            is_served: Whether the peer opened the connection, so that body
                chunks are those of responses.
        """
        if self._find_domain(peer) != self._domain:
            self.sent_bytes[_find_cause(body, is_served=is_served)] += (
                size_bytes
            )

    def _find_domain(self, peer: str) -> str:
        """Return the domain of a peer; of an unknown one, this node's."""
        domain = self._domains.get(peer)
        if domain is not None:
            return domain
        # The address of a node stays in its domain.
        host = _find_host(peer)
        for member in self._members():
            if member.node == peer or _find_host(member.node) == host:
                if len(self._domains) >= MAX_PEERS:
                    self._domains.clear()
                self._domains[peer] = member.domain
                return member.domain
        return self._domain


def _find_host(address: str) -> str:
    return address.rpartition(':')[0]


def _find_cause(body: object, *, is_served: bool) -> str:
    if isinstance(body, ttypes.RequestOpen) and body.is_offer:
        return OFFER
    if isinstance(body, ttypes.BodyChunk):
        return RESPONSE if is_served else REQUEST
    return _CAUSES.get(type(body), CONTROL)
