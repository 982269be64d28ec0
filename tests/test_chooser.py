"""Choice of a target, by patterns of load and failure."""

import random

from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

from filbertdrift.chooser import TargetChooser
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


class GreyTargetTest(TestCase):
    """Pattern: a target fails part of its requests and looks healthy."""

    def test_gets_much_less_work(self) -> None:
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
            is_grey = member is members[0] and rng.random() < 0.5
            if is_grey:
                chooser.answered_badly(member, now)
            else:
                chooser.answered(member, 300, 0.05, now)
            chooser.ended(member, now)
            chosen[member.node] += 1
        fair = 2000 / len(members)
        self.assertThat(chosen['a-0:7000'], LessThan(fair * 0.5))
        self.assertThat(chosen['a-0:7000'], GreaterThan(10))
