"""Membership: heartbeats, failure detection and the spread of changes.

Every node pings one member of its own failure domain in each interval. Only
members of a node's own domain may declare it dead: they are on its side of
every cut between domains. A node that cannot reach another domain marks that
domain as unreachable for itself alone and tells nobody.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, replace

from filbertdrift.admission import RateLimit
from filbertdrift.errors import MalformedMessage, PeerUnavailable
from filbertdrift.gen import ttypes
from filbertdrift.link import LinkPool
from filbertdrift.members import (
    Member,
    MemberStatus,
    MemberTable,
    from_entry,
    to_entry,
    with_status,
)
from filbertdrift.network import Network
from filbertdrift.profile import Profile

ACK_TIMEOUT_SHARE = 0.3
INDIRECT_PINGS = 3
SUSPICION_HEARTBEATS = 4
DOMAIN_MISSES = 3
SYNC_SETTLE_S = 0.5
SYNC_TIMEOUT_S = 5.0
LARGE_SYNC_ENTRIES = 64
LARGE_SYNCS_PER_S = 20.0
LARGE_SYNC_BURST = 8
NOTICE_ENTRIES = 8
SURVEY_BATCH = 64
TICK_S = 0.25
MS_PER_S = 1000

DigestSource = Callable[[], tuple[int, bytes]]
OnDigest = Callable[[str, int, bytes], None]
OnChange = Callable[[Sequence[Member]], None]


@dataclass(slots=True)
class MembershipCounters:
    """What happened to this node's view of the others."""

    pings: int = 0
    missed_acks: int = 0
    suspected: int = 0
    declared_dead: int = 0
    refuted: int = 0
    syncs: int = 0
    stale_datagrams: int = 0


@dataclass(frozen=True, slots=True)
class Heard:
    """When a node was heard of last and what it had in force."""

    at: float
    offset: int


class Membership:
    """This node's view of all members and its part in keeping it current.

    Args:
        me: This node as a member.
        network: How to reach the others.
        links: Kept connections for exchanges that do not fit a datagram.
        profile: How often to talk.
        rng: Draws peers and spreads times.
    """

    def __init__(
        self,
        me: Member,
        network: Network,
        links: LinkPool,
        profile: Profile,
        rng: random.Random,
    ) -> None:
        """Start knowing only this node."""
        self.me = me
        self.table = MemberTable()
        self.counters = MembershipCounters()
        self.unreachable_domains: set[str] = set()
        self.config_digest: DigestSource = lambda: (-1, b'')
        self.on_config_digest: OnDigest = _ignore_digest
        self.on_change: OnChange = _ignore_change
        self.heard: dict[str, Heard] = {}
        self._network = network
        self._links = links
        self._profile = profile
        self._rng = rng
        self._sequence = 0
        self._acks: dict[int, asyncio.Future[None]] = {}
        self._order: list[str] = []
        self._suspect_until: dict[str, float] = {}
        self._domain_misses: dict[str, int] = {}
        self._changed_at = 0.0
        self._syncing: set[str] = set()
        self._sync_limit = RateLimit(LARGE_SYNCS_PER_S, LARGE_SYNC_BURST, rng)
        self._tasks: set[asyncio.Task[None]] = set()
        self.table.apply(me, 0)

    # Own state

    def update_me(self, me: Member) -> None:
        """Change what the others know of this node and tell them at once.

        Args:
            me: The new state; its version is set here.
        """
        known = self.table.get(me.node)
        version = max(self.me.version, known.version if known else 0) + 1
        self.me = replace(me, version=version)
        self._learn([self.me])

    def is_cut_off(self) -> bool:
        """Tell whether no other known domain is reachable."""
        others = [
            domain
            for domain in self.table.domains()
            if domain != self.me.domain
        ]
        return bool(others) and all(
            domain in self.unreachable_domains for domain in others
        )

    # Joining

    async def join(self, peers: Sequence[str]) -> int:
        """Fetch the members that other nodes know.

        Args:
            peers: Addresses to ask, this node's own may be among them.

        Returns:
            How many of them answered.
        """
        others = [peer for peer in peers if peer != self.me.node]
        answers = await asyncio.gather(
            *(self._join_one(peer) for peer in others),
        )
        return sum(answers)

    async def _join_one(self, peer: str) -> bool:
        try:
            await self.sync_with(peer)
        except (PeerUnavailable, MalformedMessage):
            return False
        return True

    # Periodic work

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        await asyncio.gather(
            self._ping_own_domain(),
            self._ping_other_domains(),
            self._watch_time(),
        )

    async def _ping_own_domain(self) -> None:
        while True:
            await asyncio.sleep(self._jittered(self._profile.heartbeat_s))
            member = self._next_in_domain()
            if member and not await self._probe(member):
                self._suspect(member.node)

    async def _ping_other_domains(self) -> None:
        while True:
            await asyncio.sleep(self._jittered(self._profile.domain_ping_s))
            domains = [
                domain
                for domain in self.table.domains()
                if domain != self.me.domain
            ]
            if domains:
                await self._probe_domain(self._rng.choice(domains))

    async def _probe_domain(self, domain: str) -> None:
        members = self.table.in_domain(domain)
        tries = min(DOMAIN_MISSES, len(members))
        for member in self._rng.sample(list(members), tries):
            if await self._ping(member.node):
                self._domain_answered(domain)
                return
        if members:
            self._domain_missed(domain)

    def _domain_answered(self, domain: str) -> None:
        self._domain_misses.pop(domain, None)
        if domain in self.unreachable_domains:
            self.unreachable_domains.discard(domain)
            self.on_change(())

    def _domain_missed(self, domain: str) -> None:
        misses = self._domain_misses.get(domain, 0) + 1
        self._domain_misses[domain] = misses
        alone = len(self.table.in_domain(domain)) >= DOMAIN_MISSES
        if alone or misses >= DOMAIN_MISSES:
            self.unreachable_domains.add(domain)
            self.on_change(())

    async def _watch_time(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_S)
            self._expire_suspicions(loop.time())
            self.table.forget_expired(loop.time())

    def drop_suspicions(self) -> None:
        """Forget all suspicions, because it was this node that was paused."""
        self._suspect_until.clear()

    # Probing

    def _next_in_domain(self) -> Member | None:
        for _ in range(2):
            while self._order:
                member = self.table.get(self._order.pop())
                if member and self._is_probed(member):
                    return member
            self._order = [
                member.node
                for member in self.table.in_domain(self.me.domain)
                if member.node != self.me.node
            ]
            self._rng.shuffle(self._order)
        return None

    def _is_probed(self, member: Member) -> bool:
        return (
            member.node != self.me.node and member.status != MemberStatus.DEAD
        )

    async def _probe(self, member: Member) -> bool:
        if await self._ping(member.node):
            return True
        return await self._probe_indirectly(member)

    async def _probe_indirectly(self, member: Member) -> bool:
        helpers = [
            helper.node
            for helper in self.table.in_domain(self.me.domain)
            if helper.node not in {self.me.node, member.node}
        ]
        chosen = self._rng.sample(helpers, min(INDIRECT_PINGS, len(helpers)))
        sequence, fut = self._expect_ack()
        for helper in chosen:
            request = ttypes.PingRequest(sequence, member.node)
            self._send(helper, request)
        self._send(member.node, self._ping_message(sequence))
        return await self._await_ack(sequence, fut, 2)

    async def _ping(self, node: str) -> bool:
        self.counters.pings += 1
        sequence, fut = self._expect_ack()
        self._send(node, self._ping_message(sequence))
        return await self._await_ack(sequence, fut, 1)

    def _expect_ack(self) -> tuple[int, asyncio.Future[None]]:
        self._sequence += 1
        fut = asyncio.get_running_loop().create_future()
        self._acks[self._sequence] = fut
        return self._sequence, fut

    async def _await_ack(
        self,
        sequence: int,
        fut: asyncio.Future[None],
        factor: int,
    ) -> bool:
        timeout_s = self._profile.heartbeat_s * ACK_TIMEOUT_SHARE * factor
        try:
            async with asyncio.timeout(timeout_s):
                await fut
        except TimeoutError:
            self.counters.missed_acks += 1
            return False
        finally:
            self._acks.pop(sequence, None)
        return True

    # Suspicion

    def _suspect(self, node: str) -> None:
        member = self.table.get(node)
        if member is None or member.status >= MemberStatus.SUSPECT:
            return
        self.counters.suspected += 1
        self._learn([with_status(member, MemberStatus.SUSPECT)])

    def _expire_suspicions(self, now: float) -> None:
        for node, until in list(self._suspect_until.items()):
            if now < until:
                continue
            self._suspect_until.pop(node)
            member = self.table.get(node)
            if member and member.status == MemberStatus.SUSPECT:
                self.counters.declared_dead += 1
                self._learn([with_status(member, MemberStatus.DEAD)])

    def _note_suspicion(self, member: Member) -> None:
        if member.domain != self.me.domain:
            return
        if member.status == MemberStatus.SUSPECT:
            now = asyncio.get_running_loop().time()
            span_s = SUSPICION_HEARTBEATS * self._profile.heartbeat_s
            self._suspect_until.setdefault(member.node, now + span_s)
        else:
            self._suspect_until.pop(member.node, None)

    # Learning and telling

    def _learn(self, found: Sequence[Member]) -> None:
        now = asyncio.get_running_loop().time()
        changed = []
        for member in found:
            if self._is_about_me(member):
                self._refute(member)
            elif self.table.apply(member, now):
                changed.append(member)
                self._note_suspicion(member)
        if changed:
            self._changed_at = now
            self._tell(changed)
            self.on_change(changed)

    def _is_about_me(self, member: Member) -> bool:
        return member.node == self.me.node and member != self.me

    def _refute(self, member: Member) -> None:
        if not member.supersedes(self.me):
            return
        self.counters.refuted += 1
        generation = self.me.generation
        if member.generation > generation:
            generation = member.generation + 1
        self.me = replace(
            self.me,
            generation=generation,
            version=member.version + 1,
        )
        self._learn([self.me])

    def _tell(self, changed: Sequence[Member]) -> None:
        receivers = self.draw_peers()
        receivers.extend(
            member.node
            for member in changed
            if member.status == MemberStatus.SUSPECT
        )
        entries = [to_entry(member) for member in changed]
        for start in range(0, len(entries), NOTICE_ENTRIES):
            notice = ttypes.MemberNotice(
                entries[start : start + NOTICE_ENTRIES],
            )
            for node in receivers:
                self._send(node, notice)

    def draw_peers(self) -> list[str]:
        """Return the members that get a notice, drawn at random."""
        own = self._others(self.me.domain)
        peers = self._draw(own, self._profile.fanout)
        far = [
            node
            for domain in self.table.domains()
            if domain != self.me.domain
            and domain not in self.unreachable_domains
            for node in self._others(domain)
        ]
        return peers + self._draw(far, self._profile.far_fanout)

    def send_to_drawn(self, body: object) -> None:
        """Send a datagram to members drawn at random.

        Args:
            body: The message.
        """
        for node in self.draw_peers():
            self._send(node, body)

    async def survey(self) -> None:
        """Ping every member once, so that offsets becomes current."""
        members = [
            member.node
            for member in self.table.alive()
            if member.node != self.me.node
        ]
        for start in range(0, len(members), SURVEY_BATCH):
            batch = members[start : start + SURVEY_BATCH]
            await asyncio.gather(*(self._ping(node) for node in batch))

    def _others(self, domain: str) -> list[str]:
        return [
            member.node
            for member in self.table.in_domain(domain)
            if member.node != self.me.node
            and member.status != MemberStatus.SUSPECT
        ]

    def _draw(self, nodes: list[str], count: int) -> list[str]:
        return self._rng.sample(nodes, min(count, len(nodes)))

    # Datagrams

    def on_datagram(self, sender: str, generation: int, body: object) -> bool:
        """Take a datagram if it concerns membership.

        Args:
            sender: The sending node.
            generation: Its generation.
            body: The message.

        Returns:
            True if the message was one of membership.
        """
        known = self.table.get(sender)
        if known and generation < known.generation:
            self.counters.stale_datagrams += 1
            self._send(sender, ttypes.MemberNotice([to_entry(known)]))
            return True
        if isinstance(body, ttypes.Ping):
            self._on_ping(sender, body)
        elif isinstance(body, ttypes.Ack):
            self._on_ack(sender, body)
        elif isinstance(body, ttypes.PingRequest):
            self._spawn(self._ping_for(sender, body))
        elif isinstance(body, ttypes.MemberNotice):
            self._on_notice(body)
        else:
            return False
        return True

    def _on_ping(self, sender: str, ping: ttypes.Ping) -> None:
        updates = []
        known = self.table.get(sender)
        if known and known.status >= MemberStatus.SUSPECT:
            updates.append(to_entry(known))
        self._send(sender, ttypes.Ack(ping.sequence, self._digest(), updates))
        self._compare(sender, ping.digest)

    def _on_ack(self, sender: str, ack: ttypes.Ack) -> None:
        fut = self._acks.get(ack.sequence)
        if fut and not fut.done():
            fut.set_result(None)
        if ack.updates:
            self._on_notice(ttypes.MemberNotice(ack.updates))
        if ack.digest:
            self._compare(sender, ack.digest)

    async def _ping_for(self, sender: str, req: ttypes.PingRequest) -> None:
        if await self._ping(req.node):
            self._send(sender, ttypes.Ack(req.sequence, None, []))

    def _on_notice(self, notice: ttypes.MemberNotice) -> None:
        found = []
        for entry in notice.updates or ():
            try:
                found.append(from_entry(entry))
            except MalformedMessage:
                self._network.counters.malformed += 1
        self._learn(found)

    def _compare(self, sender: str, digest: ttypes.StateDigest) -> None:
        now = asyncio.get_running_loop().time()
        self.heard[sender] = Heard(now, digest.config_offset)
        self.on_config_digest(
            sender,
            digest.config_offset,
            digest.config_digest or b'',
        )
        is_settled = now - self._changed_at >= SYNC_SETTLE_S
        differs = digest.members_digest != self.table.digest
        if differs and is_settled and not self._syncing:
            self._spawn(self._sync_quietly(sender))

    def _ping_message(self, sequence: int) -> ttypes.Ping:
        return ttypes.Ping(sequence, self._digest())

    def _digest(self) -> ttypes.StateDigest:
        offset, digest = self.config_digest()
        return ttypes.StateDigest(offset, digest, self.table.digest)

    def _send(self, node: str, body: object) -> None:
        self._network.send(node, self.me.generation, body)

    # Exchange of whole buckets

    async def sync_with(self, peer: str) -> None:
        """Fetch the members that a peer knows otherwise.

        Args:
            peer: The node to ask.

        Raises:
            PeerUnavailable: The peer did not answer.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + SYNC_TIMEOUT_S
        while True:
            self.counters.syncs += 1
            question = ttypes.SyncMembers(
                self.table.buckets,
                to_entry(self.me),
            )
            reply = await self._links.ask(peer, question, deadline)
            if not isinstance(reply, ttypes.MembersDelta):
                raise MalformedMessage('no members', step='sync', peer=peer)
            if not reply.come_back_ms:
                self._on_notice(ttypes.MemberNotice(reply.entries))
                return
            await asyncio.sleep(self._jittered(reply.come_back_ms / MS_PER_S))

    def serve_sync(
        self,
        question: ttypes.SyncMembers,
    ) -> ttypes.MembersDelta:
        """Return the answer to another node's request for members.

        Args:
            question: Its bucket digests.

        Returns:
            The entries of differing buckets, or when to come back.
        """
        if question.sender:
            self._on_notice(ttypes.MemberNotice([question.sender]))
        differing = self.table.differing_buckets(question.buckets or ())
        found = self.table.in_buckets(differing)
        come_back_ms = 0
        if len(found) > LARGE_SYNC_ENTRIES:
            now = asyncio.get_running_loop().time()
            come_back_ms = self._sync_limit.come_back_ms(now)
        if come_back_ms:
            return ttypes.MembersDelta([], come_back_ms)
        return ttypes.MembersDelta([to_entry(member) for member in found], 0)

    async def _sync_quietly(self, peer: str) -> None:
        if peer in self._syncing:
            return
        self._syncing.add(peer)
        try:
            await self.sync_with(peer)
        except (PeerUnavailable, MalformedMessage):
            self.counters.missed_acks += 1
        finally:
            self._syncing.discard(peer)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _jittered(self, span_s: float) -> float:
        return span_s * (0.75 + 0.5 * self._rng.random())


def _ignore_digest(sender: str, offset: int, digest: bytes) -> None:
    """Do nothing."""


def _ignore_change(changed: Sequence[Member]) -> None:
    """Do nothing."""
