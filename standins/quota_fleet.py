"""A fleet of quota limiters on a lossy message fabric, in virtual time."""

import asyncio
import math
import random
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from filbertdrift import wire
from filbertdrift.accounts.directory import ClientAccount
from filbertdrift.accounts.fleet_view import FleetView
from filbertdrift.accounts.quota import QuotaExceeded, QuotaLimiter
from filbertdrift.accounts.quota_bounds import QuotaBounds
from filbertdrift.accounts.quota_keeper import slot_of
from filbertdrift.members import Member, MemberStatus, MemberTable

DOMAINS = ('a', 'b', 'c')


@dataclass
class QuotaNode:
    """One node: its limiter, its members and its background task."""

    member: Member
    table: MemberTable
    view: FleetView
    limiter: QuotaLimiter
    task: asyncio.Task[None]


@dataclass
class Outcomes:
    """When requests ran and were refused, by account."""

    runs: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    refusals: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    waits_s: list[float] = field(default_factory=list)

    def refused_share(self, account: str, since: float) -> float:
        """Return the share of an account's requests that was refused."""
        runs = len([at for at in self.runs[account] if at >= since])
        refusals = len([at for at in self.refusals[account] if at >= since])
        return refusals / max(runs + refusals, 1)

    def most_in_window(self, account: str, window_s: float) -> int:
        """Return the most runs of an account in any window."""
        runs = sorted(self.runs[account])
        return max(
            (
                bisect_right(runs, start + window_s) - index
                for index, start in enumerate(runs)
            ),
            default=0,
        )


class QuotaFleet:
    """Nodes in three domains.

    Args:
        seed: Seed of all random choices.
        nodes: How many nodes there are.
        accounts: The accounts.

    Attributes:
        loss: Share of the datagrams that are lost.
        max_delay_s: Longest delay of a datagram.
        repeats: Share of the datagrams that arrive twice.
        cut: Pairs of groups that are cut off from each other: a datagram
            between two groups with different numbers is lost.
    """

    def __init__(
        self, seed: int, nodes: int, accounts: Sequence[ClientAccount]
    ) -> None:
        self.rng = random.Random(seed)
        self.accounts = {account.name: account for account in accounts}
        self.bounds = QuotaBounds()
        self.outcomes = Outcomes()
        self.loss = 0.0
        self.repeats = 0.0
        self.max_delay_s = 0.002
        self.cut: dict[str, int] = {}
        self.sent_bytes = 0
        self.nodes: dict[str, QuotaNode] = {}
        self.held: dict[str, list[tuple[str, int, bytes]]] = {}
        self._callers: set[asyncio.Task[None]] = set()
        self._members = [
            Member(
                f'10.1.{number // 3}.{number % 3}:7000',
                DOMAINS[number % 3],
                generation=1_796_000_000_000,
            )
            for number in range(nodes)
        ]
        for member in self._members:
            self.start(member)

    def start(self, member: Member) -> None:
        """Start a node."""
        table = MemberTable()
        for other in self._members:
            table.apply(other, 0)
        view = FleetView(member.node, member.domain, table, _count)
        limiter = QuotaLimiter(
            view,
            lambda: member.generation,
            lambda node, body: self._send(member, node, body),
            self.bounds,
            random.Random(self.rng.getrandbits(64)),
        )
        limiter.configure(self.accounts.values())
        task = asyncio.get_running_loop().create_task(limiter.run())
        self.nodes[member.node] = QuotaNode(member, table, view, limiter, task)

    def kill(self, node: str) -> Member:
        """End a node's process without a word."""
        killed = self.nodes.pop(node)
        killed.task.cancel()
        return killed.member

    def restart(self, node: str) -> None:
        """Kill a node, and start it again with the next generation."""
        member = self.kill(node)
        self.start(replace(member, generation=member.generation + 10))

    def pause(self, node: str) -> None:
        """Hold back the datagrams to a node until it resumes."""
        self.held.setdefault(node, [])

    def resume(self, node: str) -> None:
        """Deliver what was held back."""
        for sender, generation, raw in self.held.pop(node, []):
            self._deliver(node, sender, generation, raw)

    def declare_dead(self, node: str, observers: Sequence[str] = ()) -> None:
        """Let some nodes, or all others, take a node for dead."""
        for observer in observers or [
            name for name in self.nodes if name != node
        ]:
            table = self.nodes[observer].table
            known = table.get(node)
            if known:
                dead = replace(
                    known, status=MemberStatus.DEAD, version=known.version + 1
                )
                table.apply(dead, 0)

    def keepers(self) -> Sequence[str]:
        """Return the nodes that keep the slots of the accounts."""
        found = []
        for account in self.accounts:
            for domain in DOMAINS:
                node = self.in_domain(domain)[-1]
                view = self.nodes[node].view
                found.append(view.ranked(domain, slot_of(account))[0])
        return [node for node in found if node in self.nodes]

    def configure(self, account: ClientAccount) -> None:
        """Change an account on all nodes."""
        self.accounts[account.name] = account
        for node in self.nodes.values():
            node.limiter.configure(self.accounts.values())

    async def load(
        self,
        account: str,
        rate_per_s: float,
        seconds: float,
        nodes: Sequence[str] = (),
    ) -> None:
        """Send requests at random times to some nodes, or to all."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            node = self.rng.choice(nodes or list(self.nodes))
            if node in self.nodes and node not in self.held:
                task = loop.create_task(self.call(account, node))
                self._callers.add(task)
                task.add_done_callback(self._callers.discard)

    async def call(self, account: str, node: str) -> None:
        """Send one request."""
        started_at = asyncio.get_running_loop().time()
        limiter = self.nodes[node].limiter
        try:
            await limiter.take(self.accounts[account], started_at + 1)
        except QuotaExceeded:
            self.outcomes.refusals[account].append(started_at)
            return
        ended_at = asyncio.get_running_loop().time()
        self.outcomes.runs[account].append(started_at)
        self.outcomes.waits_s.append(ended_at - started_at)

    def excess(self, account: str) -> float:
        """Return by how many requests an account broke the rule, if it did."""
        limits = self.accounts[account]
        allowed = self.bounds.allowed(limits.rate_per_s, limits.burst)
        most = self.outcomes.most_in_window(account, self.bounds.window_s)
        return most - allowed

    def in_domain(self, domain: str) -> Sequence[str]:
        """Return the nodes of a domain."""
        return [
            node
            for node, found in self.nodes.items()
            if found.member.domain == domain
        ]

    async def stop(self) -> None:
        """Wait for all requests, then end all nodes."""
        await asyncio.gather(*self._callers)
        for node in list(self.nodes):
            self.kill(node)

    def _send(self, member: Member, node: str, body: object) -> None:
        raw = wire.pack_datagram(member.node, member.generation, body)
        assert len(raw) <= wire.MAX_DATAGRAM_BYTES
        self.sent_bytes += len(raw)
        sent = self.nodes.get(member.node)
        if sent is None or sent.member is not member:
            return
        if self.cut.get(member.node, 0) != self.cut.get(node, 0):
            return
        copies = 1 + (self.rng.random() < self.repeats)
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                # Most datagrams are quick; a few take much longer.
                part = math.pow(self.rng.random(), 4)
                asyncio.get_running_loop().call_later(
                    0.0002 + self.max_delay_s * part,
                    self._deliver,
                    node,
                    member.node,
                    member.generation,
                    raw,
                )

    def _deliver(
        self, node: str, sender: str, generation: int, raw: bytes
    ) -> None:
        held = self.held.get(node)
        receiver = self.nodes.get(node)
        if held is not None:
            held.append((sender, generation, raw))
        elif receiver is not None:
            _, _, body = wire.unpack_datagram(raw)
            assert receiver.limiter.on_datagram(sender, generation, body)


def _count(members: int) -> int:
    """Return the number of members: all are known from the start."""
    return members
