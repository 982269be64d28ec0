"""Choice of a target under patterns of load and failure."""

import random
from collections import Counter

from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, Is, LessThan

from filbertdrift.balance.chooser import TargetChooser
from filbertdrift.members import Member, MemberStatus


def target(number: int, domain: str = 'a') -> Member:
    """Return a member with a target."""
    return Member(
        f'{domain}-{number}:7000',
        domain,
        service='desk',
        status=MemberStatus.SERVING,
        slots=8,
    )


class GrayFailureTest(TestCase):
    """Pattern: a target fails part of its requests but looks healthy."""

    def test_receives_far_fewer_requests(self) -> None:
        rng = random.Random(1)
        chooser = TargetChooser('a', '', rng)
        members = [target(number) for number in range(4)]
        chosen = dict.fromkeys((member.node for member in members), 0)
        now = 0.0
        for _ in range(2000):
            now += 0.01
            member = chooser.choose(members, (), now)
            assert member is not None
            chooser.began(member, now)
            is_failing = member is members[0] and rng.random() < 0.5
            if is_failing:
                chooser.answered_with_error(member, now)
            else:
                chooser.answered(member, 300, 0.05, now)
            chooser.ended(member, now)
            chosen[member.node] += 1
        fair_share = 2000 / len(members)
        self.assertThat(chosen['a-0:7000'], LessThan(fair_share * 0.5))
        self.assertThat(chosen['a-0:7000'], GreaterThan(10))


class SpilloverTest(TestCase):
    """Pattern: a domain's targets fill up while others have free slots."""

    def test_large_bodies_spill_over_later(self) -> None:
        chooser = TargetChooser('a', '', random.Random(2))
        members = [target(0), target(1), target(0, 'b'), target(1, 'b')]
        for member in members:
            load = 2000 if member.domain == 'a' else 100
            chooser.answered(member, load, 0.05, 10)
        in_domain = {'small': 0, 'large': 0}
        for _ in range(200):
            for kind, spill in (('small', 1500), ('large', 4000)):
                chosen = chooser.choose(members, (), 10, spill)
                assert chosen is not None
                in_domain[kind] += chosen.domain == 'a'
        self.assertThat(in_domain['large'], Equals(200))
        self.assertThat(in_domain['small'], LessThan(100))

    def test_refused_in_own_domain_goes_to_another(self) -> None:
        chooser = TargetChooser('a', '', random.Random(3))
        members = [target(0), target(0, 'b')]
        chosen = chooser.choose(members, ('a-0:7000',), 10, 4000)
        assert chosen is not None
        self.assertThat(chosen.domain, Equals('b'))


class FullFleetTest(TestCase):
    """Pattern: all targets are full; refusals must cost little."""

    def test_full_gates_are_skipped_for_a_while(self) -> None:
        chooser = TargetChooser('a', '', random.Random(4))
        members = [target(number) for number in range(4)]
        asked = 0
        now = 10.0
        for _ in range(1000):
            now += 0.001
            tried: list[str] = []
            for _ in range(3):
                member = chooser.choose(members, tried, now, 1500, 'read')
                if member is None:
                    break
                asked += 1
                tried.append(member.node)
                chooser.refused(member, 2000, now, 'read')
        # Over one second, each of the four gates may be asked every 40 ms.
        self.assertThat(asked, LessThan(4 * 26))
        self.assertThat(asked, GreaterThan(4 * 20))

    def test_other_kinds_are_not_affected(self) -> None:
        chooser = TargetChooser('a', '', random.Random(5))
        members = [target(0)]
        chooser.refused(members[0], 2000, 10, 'read')
        chosen = chooser.choose(members, (), 10.01, 1500, 'write')
        self.assertThat(chosen, Equals(members[0]))


class LocalTargetTest(TestCase):
    """Pattern: links are narrow; the local target is reached without them."""

    def count_local(self, local_load: int) -> int:
        """Return how many of 400 requests go to the local target."""
        chooser = TargetChooser(
            'a', '', random.Random(6), local_node='a-0:7000'
        )
        members = [target(number) for number in range(8)]
        for member in members:
            load = local_load if member.node == 'a-0:7000' else 500
            chooser.answered(member, load, 0.05, 10)
        chosen = [chooser.choose(members, (), 10) for _ in range(400)]
        return sum(
            member is not None and member.node == 'a-0:7000'
            for member in chosen
        )

    def test_preferred_while_it_has_free_slots(self) -> None:
        self.assertThat(self.count_local(local_load=500), Equals(400))

    def test_not_preferred_when_far_more_loaded(self) -> None:
        self.assertThat(self.count_local(local_load=1400), LessThan(100))


class NarrowLinkTest(TestCase):
    """Pattern: large bodies fill the link of one target's instance."""

    def test_large_bodies_avoid_the_narrow_link(self) -> None:
        chooser = TargetChooser('a', '', random.Random(7))
        members = [target(number) for number in range(4)]
        for member in members:
            is_narrow = member.node == 'a-0:7000'
            latency_s = 2.0 if is_narrow else 0.3
            chooser.answered(member, 300, 0.05, 10)
            chooser.answered(member, 300, latency_s, 10, has_large_body=True)
        bulk = [
            chooser.choose(members, (), 10, has_large_body=True)
            for _ in range(200)
        ]
        narrow = [member for member in bulk if member is members[0]]
        self.assertThat(len(narrow), Equals(0))
        small = [chooser.choose(members, (), 10) for _ in range(200)]
        self.assertThat(small.count(members[0]), GreaterThan(30))


class LargeFleetTest(TestCase):
    """Pattern: a service with hundreds of targets, most of them usable."""

    def setUp(self) -> None:
        super().setUp()
        self.checked = 0
        self.suspects: set[str] = set()
        self.chooser = TargetChooser('a', '', random.Random(4), 'a-0:7000')
        self.chooser.is_suspect = self._check

    def _check(self, node: str) -> bool:
        self.checked += 1
        return node in self.suspects

    # Each request checked all targets, some of them three times.
    def test_checks_do_not_grow_with_the_fleet(self) -> None:
        for count in (200, 1000):
            members = [
                target(number, 'abcde'[number % 5]) for number in range(count)
            ]
            self.checked = 0
            for step in range(500):
                self.chooser.choose(members, (), step * 0.01)
            self.expectThat(self.checked, LessThan(500 * 4), str(count))

    def test_chosen_evenly(self) -> None:
        members = [target(number) for number in range(1, 41)]
        chosen = Counter(
            self.chooser.choose(members, (), 1.0).node for _ in range(8000)
        )
        self.expectThat(len(chosen), Equals(40))
        # The expected count is 200, with a standard deviation of 14.
        self.expectThat(min(chosen.values()), GreaterThan(140))
        self.expectThat(max(chosen.values()), LessThan(260))

    def test_last_usable_target_is_found(self) -> None:
        members = [target(number, 'b') for number in range(300)]
        self.suspects = {member.node for member in members[:-1]}
        for _ in range(20):
            chosen = self.chooser.choose(members, (), 1.0)
            self.assertThat(chosen, Equals(members[-1]))

    def test_tried_targets_are_left_out(self) -> None:
        members = [target(number, 'b') for number in range(300)]
        tried = [member.node for member in members[1:]]
        chosen = self.chooser.choose(members, tried, 1.0)
        self.expectThat(chosen, Equals(members[0]))
        tried.append(members[0].node)
        self.expectThat(self.chooser.choose(members, tried, 1.0), Is(None))


class EndlessFailureTest(TestCase):
    """Pattern: a target refuses every request for a long time."""

    # LOST: the 1,025th ejection raised OverflowError, which closed the
    # connection of the request that was refused.
    def test_refusals_without_a_success(self) -> None:
        chooser = TargetChooser('a', '', random.Random(3))
        member = target(0)
        now = 10.0
        for _ in range(1100):
            chooser.refused(member, 0, now)
        self.assertThat(chooser.choose([member], (), now), Is(member))

    # A burst of refusals of requests under way kept a target out for 30 s.
    def test_refusals_under_way_are_one_episode(self) -> None:
        chooser = TargetChooser('a', '', random.Random(3))
        sound, busy = target(0), target(1)
        for _ in range(20):
            chooser.refused(busy, 0, 10)
        chosen = [chooser.choose([sound, busy], (), 10.8) for _ in range(50)]
        self.assertThat(chosen, Contains(busy))
