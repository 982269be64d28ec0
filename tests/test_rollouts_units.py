"""Decisions of roll-outs on their own: filter, counts, judgement."""

import random
from dataclasses import replace

from testtools import TestCase
from testtools.matchers import Equals, Is, LessThan

from filbertdrift.gen.ttypes import RolloutNotice
from filbertdrift.members import Member, MemberStatus
from filbertdrift.rollouts.counts import (
    BUCKETS,
    FleetCounts,
    NodeReport,
    OutcomeCounter,
    RouteCounts,
    bucket_of,
)
from filbertdrift.rollouts.filter import (
    HOLD_S,
    JOIN_WAIT_S,
    PERMISSION_S,
    UNKNOWN_STEP_WAIT_S,
    WARM_UP_S,
    VersionFilter,
)
from filbertdrift.rollouts.judge import Judge
from filbertdrift.rollouts.reports import Reporter
from filbertdrift.rollouts.steps import Order, Phase, Step, step_to_message
from standins.rollout_fleet import Behaviour, good, slow

ORDER = Order('desk', 'v2', 30, 1, 1, 5)
TRIAL = Step(1, Phase.TRIAL, ORDER, ('v1',), 1)


def members(old: int = 4, new: int = 4) -> list[Member]:
    """Return targets of v1 and of v2."""
    return [
        Member(
            f'a-{number}',
            'a',
            service='desk',
            status=MemberStatus.SERVING,
            target_version='v1' if number < old else 'v2',
        )
        for number in range(old + new)
    ]


class FilterTest(TestCase):
    """Which targets an ingress uses."""

    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.config_age_s = 1.0
        self.filter = VersionFilter(
            0.1,
            lambda: self.now,
            lambda: self.config_age_s,
            random.Random(1),
        )
        self.members = members()

    def versions(self) -> set[str]:
        """Return the versions that the next request may use."""
        assigned = self.filter.assign('desk', self.members)
        return {member.target_version for member in assigned}

    def use(self, count: int) -> int:
        """Send some requests; return how many the new version got."""
        counter = OutcomeCounter('a', self.filter.states.get)
        exposed = 0
        for _ in range(count):
            member = self.filter.assign('desk', self.members)[0]
            counter.began(member)
            exposed += member.target_version == 'v2'
        return exposed

    def begin_trial(self) -> None:
        """Let a trial with warm targets be permitted."""
        self.filter.assign('desk', self.members)
        self.now += WARM_UP_S
        self.filter.state('desk').adopt(TRIAL, self.now)
        self.filter.state('desk').record_reply(self.now, is_permitted=True)

    def test_one_version_returns_the_same_object(self) -> None:
        """Guards the chooser's cache, which compares by identity."""
        old = members(4, 0)
        self.assertThat(self.filter.assign('desk', old), Is(old))
        self.begin_trial()
        first = self.filter.assign('desk', self.members)
        self.now += 1
        self.assertThat(self.filter.assign('desk', self.members), Is(first))

    def test_trial_keeps_its_share(self) -> None:
        self.begin_trial()
        self.assertThat(self.use(4000), LessThan(4000 * 0.025 + 2))

    def test_permission_expires(self) -> None:
        self.begin_trial()
        self.now += PERMISSION_S
        self.assertThat(self.use(1000), Equals(0))

    def test_reply_that_a_denial_overtook_permits_nothing(self) -> None:
        self.begin_trial()
        state = self.filter.state('desk')
        state.record_reply(self.now + 0.4, is_permitted=False)
        state.record_reply(self.now + 0.2, is_permitted=True)
        self.assertThat(self.use(1000), Equals(0))

    def test_request_of_the_trial_after_a_rollback(self) -> None:
        self.begin_trial()
        trial = [each for each in self.members if each.target_version == 'v2']
        rolled_back = replace(TRIAL, number=2, phase=Phase.ROLLED_BACK)
        self.filter.state('desk').adopt(rolled_back, self.now)
        renewed = self.filter.renew('desk', self.members, trial)
        found = {member.target_version for member in renewed}
        self.assertThat(found, Equals({'v1'}))

    def test_late_step_changes_nothing(self) -> None:
        completed = replace(TRIAL, number=3, phase=Phase.COMPLETED)
        self.filter.state('desk').adopt(completed, self.now)
        self.filter.state('desk').adopt(TRIAL, self.now)
        self.assertThat(self.versions(), Equals({'v2'}))

    def test_two_versions_at_start_wait_for_the_driver(self) -> None:
        """Guards against old targets after a restart in the shift."""
        self.assertThat(self.versions(), Equals(set()))
        self.now += UNKNOWN_STEP_WAIT_S
        self.assertThat(self.versions(), Equals({'v1'}))

    def test_own_target_before_the_others_are_known(self) -> None:
        """Guards against requests to a new target at a node that starts."""
        alone = members(0, 1)
        versions = VersionFilter(
            0.1, lambda: self.now, lambda: 1.0, random.Random(1), alone[0].node
        )
        self.assertThat(list(versions.assign('desk', alone)), Equals([]))
        versions.answered_at['desk'] = self.now
        assigned = versions.assign('desk', members())
        found = {member.target_version for member in assigned}
        self.assertThat(found, Equals({'v1'}))

    def test_unordered_version_is_held_back(self) -> None:
        self.filter.assign('desk', members(4, 0))
        self.now += JOIN_WAIT_S
        self.filter.assign('desk', members(4, 0))
        self.assertThat(self.versions(), Equals({'v1'}))
        self.now += HOLD_S * 2
        # The driver has not replied that there is no order.
        self.assertThat(self.versions(), Equals({'v1'}))
        self.filter.answered_at['desk'] = self.now
        self.config_age_s = HOLD_S * 2
        self.now += 1
        self.assertThat(self.versions(), Equals({'v1'}))
        self.config_age_s = 1
        self.now += 1
        self.assertThat(self.versions(), Equals({'v1', 'v2'}))


class ReporterTest(TestCase):
    """Replies to the reports of a node."""

    def setUp(self) -> None:
        super().setUp()
        self.filter = VersionFilter(
            0.1, lambda: 100.0, lambda: 1.0, random.Random(1)
        )

    def reporter(self, generation: int) -> Reporter:
        """Return the reporter of one process of the node."""
        counter = OutcomeCounter('a', self.filter.states.get)
        return Reporter(self.filter, counter, lambda: 1, generation)

    # A reply to the earlier process of a node permitted the new version from
    # the first report of the next process on.
    def test_reply_to_an_earlier_process_is_ignored(self) -> None:
        state = self.filter.state('desk')
        state.adopt(TRIAL, 80.0)
        earlier = self.reporter(1000).take_due('desk', 90.0)[0]
        reporter = self.reporter(1010)
        report = reporter.take_due('desk', 100.0)[0]
        reply = RolloutNotice('desk', step_to_message(TRIAL, 1.0))
        reply.is_permitted = True
        reply.sequence = earlier.sequence
        reporter.on_reply('desk', reply)
        self.assertThat(state.permitted_at, LessThan(0))
        reply.sequence = report.sequence
        reporter.on_reply('desk', reply)
        self.assertThat(state.permitted_at, Equals(100.0))


class CountsTest(TestCase):
    """Reports that are repeated or late change nothing."""

    def test_repeated_and_late_reports(self) -> None:
        counts = FleetCounts(1, 0)
        routes = {'read': RouteCounts()}
        routes['read'].new.latencies[3] = 7
        first = NodeReport(1, 0, 1, requests=50, exposed=2)
        second = NodeReport(2, 1, 1, 90, 4, routes=routes)
        for report in (second, first, second):
            counts.record('a', 1, replace(report), 1)
        self.assertThat((counts.requests, counts.exposed), Equals((90, 4)))
        fresh = counts.take_fresh()
        self.assertThat(fresh['read'].new.total, Equals(7))

    def test_restarted_node_adds_up(self) -> None:
        counts = FleetCounts(1, 0)
        counts.record('a', 1, NodeReport(9, 0, 1, requests=50), 1)
        counts.record('a', 2, NodeReport(1, 1, 1, requests=10), 1)
        self.assertThat(counts.requests, Equals(60))

    def test_buckets(self) -> None:
        self.assertThat(bucket_of(0), Equals(0))
        self.assertThat(bucket_of(1000), Equals(BUCKETS - 1))
        self.assertThat(bucket_of(0.4) - bucket_of(0.1), Equals(4))


class JudgeTest(TestCase):
    """Good versions are not taken for bad ones."""

    def responses_until_verdict(self, seed: int, behaviour: Behaviour) -> int:
        """Return the responses of the new version, 1000 if it passed."""
        rng = random.Random(seed)
        judge = Judge()
        for number in range(1000):
            fresh = {'read': RouteCounts()}
            for _ in range(40):
                work = good('read', 0, 0, rng)
                fresh['read'].old.failures += work.is_failure
                fresh['read'].old.latencies[bucket_of(work.latency_s)] += 1
            work = behaviour('read', 0, 0, rng)
            fresh['read'].new.failures += work.is_failure
            fresh['read'].new.latencies[bucket_of(work.latency_s)] += 1
            judge.record(fresh, number * 0.3, is_shifted=False)
            if judge.verdict:
                return number
        return 1000

    def test_good_version(self) -> None:
        for seed in range(4):
            passed = self.responses_until_verdict(seed, good)
            self.assertThat(passed, Equals(1000))

    def test_slow_version(self) -> None:
        for seed in range(10):
            needed = self.responses_until_verdict(seed, slow(3))
            self.assertThat(needed, LessThan(50))
