"""The gossip of member records while a large fleet changes."""

import asyncio
import random

from testtools import TestCase
from testtools.matchers import (
    AllMatch,
    Contains,
    Equals,
    HasLength,
    LessThan,
    Not,
)

from filbertdrift.gen import ttypes
from filbertdrift.gossip import (
    BATCH_INTERVAL_S,
    MAX_BATCH_ENTRIES,
    MAX_ENTRIES,
    MAX_REPEATS,
    MemberGossip,
)
from filbertdrift.link import LinkPool
from filbertdrift.members import Member, MemberStatus, to_entry
from filbertdrift.membership import Membership
from filbertdrift.network_memory import MemoryNetwork, NetworkSimulator
from filbertdrift.profile import PROFILES
from standins.mesh_fleet import MeshFleet
from tests.builders import run_virtual

DOMAINS = 5
PROFILE = PROFILES['convergence']
PEERS = PROFILE.fanout + PROFILE.far_fanout
# What one node sends in a second of continuous changes, in any fleet.
MAX_PER_S = (
    PEERS * (MAX_BATCH_ENTRIES // MAX_ENTRIES) * (1 / BATCH_INTERVAL_S + 1)
)


def build_membership() -> Membership:
    """Build the membership of a node whose peers do not exist."""
    rng = random.Random(3)
    network = MemoryNetwork(NetworkSimulator(rng), 'a:1')
    member = Member('a:1', 'domain-0')
    return Membership(member, network, LinkPool(network), PROFILE, rng)


def build_member(number: int, **fields: object) -> Member:
    """Build the record of a node of a large fleet."""
    member = {'node': f'n{number}:1', 'domain': f'domain-{number % DOMAINS}'}
    return Member(**{**member, 'generation': 1, **fields})  # type: ignore[arg-type]


class StormTest(TestCase):
    """A large fleet starts: each node learns of all others in a second."""

    def test_datagrams_do_not_grow_with_the_fleet(self) -> None:
        async def count_sent(nodes: int) -> int:
            membership = build_membership()
            for number in range(nodes):
                entry = to_entry(build_member(number))
                membership.on_datagram('x:1', 1, ttypes.MemberNotice([entry]))
                await asyncio.sleep(1 / nodes)
            counters = membership._network.counters
            return counters.sent_messages['MemberNotice']

        for nodes in (200, 1000):
            sent = run_virtual(count_sent(nodes))
            self.expectThat(sent, LessThan(MAX_PER_S + 1), str(nodes))

    def test_fleet_of_200_starts(self) -> None:
        async def case() -> None:
            fleet = MeshFleet(seed=5)
            for number in range(200):
                await fleet.add(f'd{number % DOMAINS}', 'desk')
            await asyncio.sleep(5)
            nodes = [each.node for each in fleet.instances.values()]
            sent = [
                node.network.counters.sent_messages['MemberNotice']
                for node in nodes
            ]
            self.expectThat(sum(sent) / len(sent), LessThan(MAX_PER_S))
            sizes = [len(node.membership.table) for node in nodes]
            self.expectThat(sizes, AllMatch(Equals(200)))

        run_virtual(case())


class BatchTest(TestCase):
    """What a batch holds."""

    def setUp(self) -> None:
        super().setUp()
        self.sent: list[tuple[list[str], list[str]]] = []
        self.gossip = MemberGossip(lambda: ['p:1'], self._record)

    def _record(self, nodes: list[str], notice: ttypes.MemberNotice) -> None:
        self.sent.append((nodes, [entry.node for entry in notice.updates]))

    def test_single_changes_are_sent_at_once(self) -> None:
        async def case() -> None:
            for number in range(3):
                self.gossip.add([build_member(number)])
                self.assertThat(self.sent, HasLength(number + 1))
                await asyncio.sleep(2 * BATCH_INTERVAL_S)

        run_virtual(case())

    def test_newest_record_replaces_a_waiting_one(self) -> None:
        async def case() -> None:
            self.gossip.add([build_member(0)])
            for version in range(5):
                self.gossip.add([build_member(1, version=version)])
            await asyncio.sleep(2 * BATCH_INTERVAL_S)
            self.assertThat(self.sent[1:], Equals([(['p:1'], ['n1:1'])]))

        run_virtual(case())

    def test_departures_go_first(self) -> None:
        async def case() -> None:
            self.gossip.add([build_member(0)])
            self.gossip.add(map(build_member, range(1, 200)))
            leaving = build_member(500, status=MemberStatus.LEAVING)
            self.gossip.add([leaving])
            await asyncio.sleep(1.5 * BATCH_INTERVAL_S)
            self.assertThat(self.sent[1][1], Contains('n500:1'))

        run_virtual(case())

    def test_widespread_records_are_not_sent_on(self) -> None:
        async def case() -> None:
            self.gossip.add([build_member(0)])
            known = build_member(1)
            leaving = build_member(2, status=MemberStatus.LEAVING)
            self.gossip.add([known, leaving])
            for _ in range(MAX_REPEATS):
                self.gossip.record_repeat(known)
                self.gossip.record_repeat(leaving)
            await asyncio.sleep(2 * BATCH_INTERVAL_S)
            self.assertThat(self.sent[1:], Equals([(['p:1'], ['n2:1'])]))

        run_virtual(case())

    def test_suspects_get_their_record(self) -> None:
        async def case() -> None:
            suspect = build_member(7, status=MemberStatus.SUSPECT)
            self.gossip.add([suspect])
            self.assertThat(self.sent[0][0], Equals(['p:1', 'n7:1']))

        run_virtual(case())


class SampleTest(TestCase):
    """Peers that are drawn for a message."""

    def test_sample_of_a_large_fleet(self) -> None:
        async def case() -> None:
            membership = build_membership()
            members = list(map(build_member, range(900)))
            members[5] = build_member(5, status=MemberStatus.SUSPECT)
            membership._apply(members)
            domain_of = {member.node: member.domain for member in members}
            for _ in range(200):
                sampled = membership.sample_peers()
                self.assertThat(set(sampled), HasLength(PEERS))
                self.assertThat(sampled, Not(Contains('n5:1')))
                own = [
                    node for node in sampled if domain_of[node] == 'domain-0'
                ]
                self.assertThat(own, HasLength(PROFILE.fanout))

        run_virtual(case())
