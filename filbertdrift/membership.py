"""Gossip membership based on SWIM: failure detection and dissemination.

In each heartbeat interval, every node probes one member of its own failure
domain. It gossips changes to a few sampled members. Pings and acks carry state
digests; where they differ, anti-entropy repairs what gossip has lost.
"""

import asyncio
import random
from collections.abc import Callable, Collection, Coroutine, Sequence
from dataclasses import dataclass, replace
from functools import singledispatchmethod

from filbertdrift.errors import MalformedMessage, PeerUnavailable
from filbertdrift.gen import ttypes
from filbertdrift.gossip import MemberGossip
from filbertdrift.link import LinkPool
from filbertdrift.member_sync import MemberSync
from filbertdrift.members import (
    Member,
    MemberStatus,
    MemberTable,
    entry_precedence,
    from_entry,
    to_entry,
    with_status,
)
from filbertdrift.network import Network
from filbertdrift.peersample import PeerSampler
from filbertdrift.prober import Prober
from filbertdrift.profile import Profile
from filbertdrift.reachability import Reachability
from filbertdrift.suspicion import Suspicions

ACK_TIMEOUT_HEARTBEATS = 0.3
SUSPICION_TIMEOUT_HEARTBEATS = 4
# Differing digests start a sync only after the table was unchanged this long,
# since gossip may still be in flight.
SETTLE_BEFORE_SYNC_S = 0.5
HEARTBEAT_MIN_JITTER = 0.75
TICK_S = 0.25

DigestSource = Callable[[], tuple[int, bytes]]
OnDigest = Callable[[str, int, bytes], None]
OnChange = Callable[[Sequence[Member]], None]


@dataclass(slots=True)
class MembershipCounters:
    """Membership events at this node."""

    suspected: int = 0
    declared_dead: int = 0
    refuted: int = 0
    failed_syncs: int = 0
    stale_datagrams: int = 0


@dataclass(frozen=True, slots=True)
class LastContact:
    """Time of a node's last digest and its configuration offset."""

    at: float
    offset: int


class Membership:
    """Member table of this node and the gossip protocol that maintains it.

    Args:
        local_member: This node's own record.
        network: Sends datagrams.
        links: Connections for syncs, which do not fit a datagram.
        profile: Rates and fan-outs.
        rng: Samples peers and adds jitter.
    """

    def __init__(
        self,
        local_member: Member,
        network: Network,
        links: LinkPool,
        profile: Profile,
        rng: random.Random,
    ) -> None:
        """Start with this node as the only member."""
        self.local_member = local_member
        self.table = MemberTable()
        self.counters = MembershipCounters()
        self.config_digest: DigestSource = _no_config
        self.on_config_digest: OnDigest = _ignore_digest
        self.crashes_digest: Callable[[], int] = int
        self.on_crashes_digest: Callable[[str, int], None] = (
            _ignore_crashes_digest
        )
        self.on_change: OnChange = _ignore_change
        self.last_contacts: dict[str, LastContact] = {}
        self.prober = Prober(
            local_member.node,
            self.table,
            self._send,
            self._digest,
            profile.heartbeat_s * ACK_TIMEOUT_HEARTBEATS,
            rng,
        )
        self.reachability = Reachability(
            local_member.domain,
            self.table,
            self.prober,
            profile.domain_ping_s,
            rng,
        )
        self.reachability.on_change = self._on_reachability
        self.suspicions = Suspicions(
            local_member.domain,
            self.table,
            profile.heartbeat_s * SUSPICION_TIMEOUT_HEARTBEATS,
        )
        self.sync = MemberSync(
            self.table, links, lambda: self.local_member, rng
        )
        self._sampler = PeerSampler(
            local_member, self.table, lambda: self.unreachable_domains, rng
        )
        self.changes = MemberGossip(self.sample_peers, self._send_to_all)
        self._network = network
        self._profile = profile
        self._rng = rng
        self._changed_at = 0.0
        self._is_syncing = False
        self._tasks: set[asyncio.Task[None]] = set()
        self.table.apply(local_member, 0)

    @property
    def unreachable_domains(self) -> set[str]:
        """Return the domains that this node currently cannot reach."""
        return self.reachability.unreachable

    def update_local_member(self, member: Member) -> None:
        """Change this node's own record and gossip it.

        Args:
            member: The new record; its version is set here.
        """
        known = self.table.get(member.node) or self.local_member
        version = max(self.local_member.version, known.version) + 1
        self.local_member = replace(member, version=version)
        self._apply([self.local_member])

    async def join(self, peers: Sequence[str]) -> int:
        """Sync the member table with some nodes.

        Args:
            peers: Their addresses; this node's own is skipped.

        Returns:
            How many of them replied.
        """
        others = [peer for peer in peers if peer != self.local_member.node]
        answers = await asyncio.gather(
            *(self._sync_with(peer) for peer in others),
        )
        return sum(answers)

    async def run(self) -> None:
        """Probe members and expire suspicions until cancelled."""
        await asyncio.gather(
            self._probe_own_domain(),
            self.reachability.run(),
            self._expire_members(),
        )

    def sample_peers(self, *, is_far: bool = True) -> list[str]:
        """Return a random sample of members to gossip to.

        Args:
            is_far: Whether members of other domains are sampled as well.
        """
        sampled = self._sampler.sample_near(self._profile.fanout)
        if is_far:
            sampled += self._sampler.sample_far(self._profile.far_fanout)
        return sampled

    def gossip(
        self, body: object, receivers: Sequence[str] | None = None
    ) -> None:
        """Send a datagram to some members.

        Args:
            body: The message.
            receivers: Their addresses; None for a random sample.
        """
        self._send_to_all(
            self.sample_peers() if receivers is None else receivers, body
        )

    def broadcast(self, body: object) -> None:
        """Send a datagram to members of each reachable domain.

        For rare messages that have to be everywhere soon.

        Args:
            body: The message.
        """
        receivers = self._sampler.sample_near(self._profile.fanout)
        receivers += self._sampler.sample_each_domain()
        self._send_to_all(receivers, body)

    def prune_last_contacts(self, known: Collection[str]) -> None:
        """Drop the last contacts of nodes that are no longer members.

        Args:
            known: The nodes whose last contact is kept.
        """
        for node in list(self.last_contacts):
            if node not in known:
                self.last_contacts.pop(node)

    def serve_sync(
        self,
        req: ttypes.SyncMembers,
    ) -> ttypes.MembersDelta:
        """Return the reply to another node's sync request."""
        if req.sender:
            self._apply_entries([req.sender])
        return self.sync.serve(req)

    def on_datagram(self, sender: str, generation: int, body: object) -> bool:
        """Handle a datagram of the membership protocol.

        A datagram of an earlier generation is dropped. Its sender is sent its
        newer record, which it refutes if its clock was set back.

        Args:
            sender: The sending node.
            generation: Its generation.
            body: The message.

        Returns:
            True if the message belongs to this protocol.
        """
        known = self.table.get(sender)
        if known and generation < known.generation:
            self.counters.stale_datagrams += 1
            self._send(sender, ttypes.MemberNotice([to_entry(known)]))
            return True
        return self._handle(body, sender)

    @singledispatchmethod
    def _handle(self, body: object, sender: str) -> bool:
        return False

    @_handle.register
    def _handle_ping(self, body: ttypes.Ping, sender: str) -> bool:
        updates = []
        known = self.table.get(sender)
        if known and known.status >= MemberStatus.SUSPECT:
            # The sender can refute it.
            updates.append(to_entry(known))
        self._send(sender, ttypes.Ack(body.sequence, self._digest(), updates))
        if body.digest:
            self._on_digest(sender, body.digest)
        return True

    @_handle.register
    def _handle_ack(self, body: ttypes.Ack, sender: str) -> bool:
        self.prober.on_ack(body.sequence)
        if body.updates:
            self._apply_entries(body.updates)
        if body.digest:
            self._on_digest(sender, body.digest)
        return True

    @_handle.register
    def _handle_ping_request(
        self, body: ttypes.PingRequest, sender: str
    ) -> bool:
        self._spawn(self.prober.relay_ping(sender, body))
        return True

    @_handle.register
    def _handle_gossip(self, body: ttypes.MemberNotice, sender: str) -> bool:
        self._apply_entries(body.updates or ())
        return True

    async def _probe_own_domain(self) -> None:
        while True:
            jitter = HEARTBEAT_MIN_JITTER + self._rng.random() / 2
            await asyncio.sleep(self._profile.heartbeat_s * jitter)
            member = self.prober.next_in_domain(self.local_member.domain)
            if member and not await self.prober.probe(member):
                self._suspect(member.node)

    async def _expire_members(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_S)
            for member in self.suspicions.pop_expired(loop.time()):
                self.counters.declared_dead += 1
                self._apply([with_status(member, MemberStatus.DEAD)])
            self.table.remove_expired(loop.time())

    def _on_reachability(self) -> None:
        self.on_change(())

    def _suspect(self, node: str) -> None:
        member = self.table.get(node)
        if member is None or member.status >= MemberStatus.SUSPECT:
            return
        self.counters.suspected += 1
        self._apply([with_status(member, MemberStatus.SUSPECT)])

    def _apply(
        self, members: Sequence[Member], *, should_gossip: bool = True
    ) -> None:
        now = asyncio.get_running_loop().time()
        changed = []
        for member in members:
            if (
                member.node == self.local_member.node
                and member != self.local_member
            ):
                self._refute(member)
            elif self.table.apply(member, now):
                changed.append(member)
                self.suspicions.update(member)
        if not changed:
            return
        self._changed_at = now
        if should_gossip:
            self.changes.add(changed)
        self.on_change(changed)

    def _refute(self, member: Member) -> None:
        if not member.supersedes(self.local_member):
            return
        self.counters.refuted += 1
        generation = self.local_member.generation
        if member.generation > generation:
            generation = member.generation + 1
        self.local_member = replace(
            self.local_member,
            generation=generation,
            version=member.version + 1,
        )
        self._apply([self.local_member])

    def _apply_entries(
        self,
        entries: Sequence[ttypes.MemberEntry],
        *,
        should_gossip: bool = True,
    ) -> None:
        members = []
        for entry in entries:
            known = self.table.get(entry.node)
            precedence = entry_precedence(entry)
            if known and precedence and precedence <= known.precedence():
                if precedence == known.precedence():
                    self.changes.record_repeat(known)
                continue
            try:
                members.append(from_entry(entry))
            except MalformedMessage:
                self._network.counters.malformed += 1
        if members:
            self._apply(members, should_gossip=should_gossip)

    def _on_digest(self, sender: str, digest: ttypes.StateDigest) -> None:
        now = asyncio.get_running_loop().time()
        self.last_contacts[sender] = LastContact(now, digest.config_offset)
        self.on_config_digest(
            sender,
            digest.config_offset,
            digest.config_digest or b'',
        )
        self.on_crashes_digest(sender, digest.crashes_digest or 0)
        is_settled = now - self._changed_at >= SETTLE_BEFORE_SYNC_S
        differs = digest.members_digest != self.table.digest
        if differs and is_settled and not self._is_syncing:
            self._spawn(self._sync_once(sender))

    async def _sync_once(self, peer: str) -> None:
        self._is_syncing = True
        try:
            await self._sync_with(peer)
        finally:
            self._is_syncing = False

    async def _sync_with(self, peer: str) -> bool:
        try:
            entries = await self.sync.ask(peer)
        except (PeerUnavailable, MalformedMessage):
            self.counters.failed_syncs += 1
            return False
        self._apply_entries(entries, should_gossip=False)
        return True

    def _digest(self) -> ttypes.StateDigest:
        offset, digest = self.config_digest()
        return ttypes.StateDigest(
            offset,
            digest,
            self.table.digest,
            self.crashes_digest() or None,
        )

    def _send(self, node: str, body: object) -> None:
        self._network.send(node, self.local_member.generation, body)

    def _send_to_all(self, nodes: Sequence[str], body: object) -> None:
        self._network.send_to_all(nodes, self.local_member.generation, body)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _no_config() -> tuple[int, bytes]:
    return -1, b''


def _ignore_digest(sender: str, offset: int, digest: bytes) -> None:
    """Do nothing."""


def _ignore_change(changed: Sequence[Member]) -> None:
    """Do nothing."""


def _ignore_crashes_digest(sender: str, digest: int) -> None:
    """Do nothing."""
