"""Table of the member nodes and their announced targets."""

import hashlib
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from enum import IntEnum

from filbertdrift.address import has_valid_port
from filbertdrift.errors import MalformedMessage
from filbertdrift.gen import ttypes

BUCKETS = 64
DEAD_RETENTION_S = 3600.0
_HASH_BYTES = 8


class MemberStatus(IntEnum):
    """Status of a node. At equal versions the higher status wins."""

    IDLE = ttypes.MemberStatus.IDLE
    SERVING = ttypes.MemberStatus.SERVING
    LEAVING = ttypes.MemberStatus.LEAVING
    SUSPECT = ttypes.MemberStatus.SUSPECT
    DEAD = ttypes.MemberStatus.DEAD


@dataclass(frozen=True, slots=True)
class Member:
    """Record of one node and its announced target.

    Args:
        node: The node's address.
        domain: Its failure domain.
        region: Its region.
        service: The service of its target, empty if it has none.
        generation: Increases with every start of the node.
        version: The incarnation: increases when the node changes its own
            record or refutes a suspicion.
        status: Its status.
        slots: Concurrent requests that its target accepts.
        link_mbps: Capacity of its link in Mbit/s, 0 if unknown.
        target_version: The version that its target states, empty if none.
        departed_instance: Instance id of its target that has left, while it
            has no other; empty if none has.
        departed_born_ms: Latest start of the incarnations that have left.
    """

    node: str
    domain: str
    region: str = ''
    service: str = ''
    generation: int = 0
    version: int = 0
    status: MemberStatus = MemberStatus.IDLE
    slots: int = 0
    # Not in the repr, which nodes of earlier releases hash without it.
    link_mbps: int = field(default=0, repr=False)
    target_version: str = field(default='', repr=False)
    departed_instance: str = field(default='', repr=False)
    departed_born_ms: int = field(default=0, repr=False)

    def supersedes(self, other: 'Member') -> bool:
        """Return whether this record overrides the other."""
        return self.precedence() > other.precedence()

    def fingerprint(self) -> int:
        """Return a 63-bit hash of the record.

        Nodes compare these hashes. They are taken over the repr, so the class,
        its fields and the statuses must not be renamed while releases mix.
        """
        text = repr(self).encode()
        raw = hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
        return int.from_bytes(raw, 'big') >> 1

    def precedence(self) -> tuple[int, int, int]:
        """Return the sort key that is higher for newer records."""
        return self.generation, self.version, self.status


class MemberTable:
    """Records of all known members, indexed by domain and by service.

    The digest and the bucket digests are XORs of fingerprints. They leave dead
    members out, so that nodes that drop them at different times agree.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.digest = 0
        self.buckets = [0] * BUCKETS
        self._members: dict[str, Member] = {}
        self._by_domain: dict[str, dict[str, Member]] = defaultdict(dict)
        self._by_service: dict[str, dict[str, Member]] = defaultdict(dict)
        self._remove_at: dict[str, float] = {}
        # Lists that are built when first needed after a change.
        self._serving: dict[str, Sequence[Member]] = {}
        self._in_domain: dict[str, Sequence[Member]] = {}
        self._alive: Sequence[Member] | None = None

    def __len__(self) -> int:
        """Return the number of members that are not dead."""
        return len(self._members) - len(self._remove_at)

    def get(self, node: str) -> Member | None:
        """Return the record of a node, or None if it is unknown."""
        return self._members.get(node)

    def apply(self, member: Member, now: float) -> bool:
        """Store a record if it is newer.

        Args:
            member: The record.
            now: The time on the event loop's clock.

        Returns:
            True if the table changed.
        """
        known = self._members.get(member.node)
        if known is None and member.status == MemberStatus.DEAD:
            return False
        if known is not None and not member.supersedes(known):
            return False
        if known is not None:
            self._unindex(known)
        self._index(member, now)
        return True

    def remove_expired(self, now: float) -> None:
        """Drop members that have been dead for DEAD_RETENTION_S."""
        for node, remove_at in list(self._remove_at.items()):
            if remove_at <= now:
                self._remove_at.pop(node)
                self._members.pop(node)

    def alive(self) -> Sequence[Member]:
        """Return all members that are not dead."""
        if self._alive is None:
            self._alive = [
                member
                for member in self._members.values()
                if member.status != MemberStatus.DEAD
            ]
        return self._alive

    def all_members(self) -> Sequence[Member]:
        """Return all members, the dead included."""
        return list(self._members.values())

    def domains(self) -> Sequence[str]:
        """Return the domains that have members, sorted."""
        return sorted(name for name, found in self._by_domain.items() if found)

    def in_domain(self, domain: str) -> Sequence[Member]:
        """Return the members of a domain that are not dead."""
        found = self._in_domain.get(domain)
        if found is None:
            found = list(self._by_domain[domain].values())
            self._in_domain[domain] = found
        return found

    def of_service(self, service: str) -> Sequence[Member]:
        """Return the members with a healthy target of a service.

        Falls back to those whose targets are reported unhealthy.
        """
        found = self._serving.get(service)
        if found is None:
            known = list(self._by_service[service].values())
            serving = [
                member
                for member in known
                if member.status == MemberStatus.SERVING
            ]
            found = serving or known
            self._serving[service] = found
        return found

    def in_buckets(self, numbers: Iterable[int]) -> Sequence[Member]:
        """Return the members in some buckets, the dead included."""
        wanted = set(numbers)
        return [
            member
            for node, member in self._members.items()
            if bucket_of(node) in wanted
        ]

    def differing_buckets(self, other: Sequence[int]) -> Sequence[int]:
        """Return the numbers of the buckets whose digests differ.

        Args:
            other: The bucket digests of another node.
        """
        return [
            number
            for number, digest in enumerate(self.buckets)
            if number >= len(other) or other[number] != digest
        ]

    def _index(self, member: Member, now: float) -> None:
        self._forget_lists(member)
        self._members[member.node] = member
        if member.status == MemberStatus.DEAD:
            self._remove_at[member.node] = now + DEAD_RETENTION_S
            return
        self._remove_at.pop(member.node, None)
        self._by_domain[member.domain][member.node] = member
        if member.status <= MemberStatus.SERVING and member.service:
            self._by_service[member.service][member.node] = member
        self._toggle_digest(member)

    def _unindex(self, member: Member) -> None:
        self._forget_lists(member)
        self._by_domain[member.domain].pop(member.node, None)
        self._by_service[member.service].pop(member.node, None)
        if member.status != MemberStatus.DEAD:
            self._toggle_digest(member)

    def _forget_lists(self, member: Member) -> None:
        self._serving.pop(member.service, None)
        self._in_domain.pop(member.domain, None)
        self._alive = None

    def _toggle_digest(self, member: Member) -> None:
        fingerprint = member.fingerprint()
        self.digest ^= fingerprint
        self.buckets[bucket_of(member.node)] ^= fingerprint


def bucket_of(node: str) -> int:
    """Return the number of the bucket that holds a node."""
    raw = hashlib.blake2b(node.encode(), digest_size=2).digest()
    return int.from_bytes(raw, 'big') % BUCKETS


def to_entry(member: Member) -> ttypes.MemberEntry:
    """Convert a member to its wire message."""
    return ttypes.MemberEntry(
        node=member.node,
        domain=member.domain,
        region=member.region,
        service_name=member.service,
        generation=member.generation,
        version=member.version,
        status=int(member.status),
        slots=member.slots,
        link_mbps=member.link_mbps or None,
        target_version=member.target_version or None,
        departed_instance=member.departed_instance or None,
        departed_born_ms=member.departed_born_ms or None,
    )


def from_entry(entry: ttypes.MemberEntry) -> Member:
    """Convert a wire message to a member.

    Raises:
        MalformedMessage: A field is missing or out of range.
    """
    try:
        return Member(
            node=_required_address(entry.node),
            domain=_required_text(entry.domain),
            region=entry.region or '',
            service=entry.service_name or '',
            generation=int(entry.generation),
            version=int(entry.version),
            status=MemberStatus(entry.status),
            slots=entry.slots or 0,
            link_mbps=entry.link_mbps or 0,
            target_version=entry.target_version or '',
            departed_instance=entry.departed_instance or '',
            departed_born_ms=entry.departed_born_ms or 0,
        )
    except (TypeError, ValueError) as exc:
        raise MalformedMessage(str(exc), step='read member') from exc


def entry_precedence(
    entry: ttypes.MemberEntry,
) -> tuple[int, int, int] | None:
    """Return the precedence of a wire message, None if a field is missing.

    This is cheaper than from_entry, and most messages repeat what is known.
    """
    precedence = entry.generation, entry.version, entry.status
    return None if None in precedence else precedence


def with_status(member: Member, status: MemberStatus) -> Member:
    """Return the same version of a member with another status."""
    return replace(member, status=status)


def _required_text(text: str | None) -> str:
    if not text:
        raise ValueError('empty name')
    return text


def _required_address(text: str | None) -> str:
    if not text or not has_valid_port(text):
        raise ValueError('no address with a port')
    return text
