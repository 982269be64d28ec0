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
from filbertdrift.rollouts.established import FIRST_SIGHT_S
from filbertdrift.rollouts.filter import (
    PERMISSION_S,
    UNKNOWN_STEP_WAIT_S,
    WARM_UP_S,
    VersionFilter,
)
from filbertdrift.rollouts.judge import Judge
from filbertdrift.rollouts.plan import (
    GONE_S,
    HOLD_S,
    Bounds,
    Decision,
    FleetView,
    Times,
    decide,
    number_after,
)
from filbertdrift.rollouts.reports import Reporter
from filbertdrift.rollouts.state import ServiceState, new_state
from filbertdrift.rollouts.steps import (
    Order,
    Phase,
    Step,
    no_order,
    step_from_message,
    step_to_message,
)
from standins.rollout_fleet import (
    Behaviour,
    good,
    partly_slow,
    slow,
    steady,
)

ORDER = Order('desk', 'v2', 30, 1, 1, 5)
TRIAL = Step(2, Phase.TRIAL, ORDER, ('v1',), 2)
ESTABLISHED = Step(1, Phase.ESTABLISHED, no_order('desk'), ('v1',), 1)


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
        self.filter = VersionFilter(0.1, lambda: self.now, random.Random(1))
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
        self.filter.answered_at['desk'] = self.now
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
        rolled_back = replace(TRIAL, number=3, phase=Phase.ROLLED_BACK)
        self.filter.state('desk').adopt(rolled_back, self.now)
        renewed = self.filter.renew('desk', self.members, trial)
        found = {member.target_version for member in renewed}
        self.assertThat(found, Equals({'v1'}))

    def test_rollback_without_an_old_version(self) -> None:
        """Guards against a service that is down after its roll-back."""
        rolled_back = replace(TRIAL, phase=Phase.ROLLED_BACK, old_versions=())
        self.filter.state('desk').adopt(rolled_back, self.now)
        self.assertThat(self.versions(), Equals({'v1'}))

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
        self.assertThat(list(self.filter.assign('desk', alone)), Equals([]))
        self.filter.answered_at['desk'] = self.now
        self.assertThat(self.versions(), Equals({'v1'}))

    def test_new_targets_are_known_before_the_old_ones(self) -> None:
        """Guards against a version that nobody ordered, after a restart."""
        new = [each for each in self.members if each.target_version == 'v2']
        self.assertThat(list(self.filter.assign('desk', new)), Equals([]))
        self.now += UNKNOWN_STEP_WAIT_S / 2
        self.assertThat(list(self.filter.assign('desk', new)), Equals([]))
        self.filter.state('desk').adopt(ESTABLISHED, self.now)
        self.assertThat(list(self.filter.assign('desk', new)), Equals([]))
        self.assertThat(self.versions(), Equals({'v1'}))

    def test_more_new_targets_than_old_ones(self) -> None:
        """Guards against taking the version with most targets."""
        self.members = members(2, 4)
        self.filter.state('desk').adopt(ESTABLISHED, self.now)
        self.assertThat(self.versions(), Equals({'v1'}))

    def test_without_a_record_versions_that_came_later_wait(self) -> None:
        self.filter.answered_at['desk'] = self.now
        self.filter.assign('desk', members(2, 0))
        self.now += FIRST_SIGHT_S + 1
        self.members = members(2, 4)
        self.assertThat(self.versions(), Equals({'v1'}))

    def test_unordered_version_is_held_back(self) -> None:
        self.filter.state('desk').adopt(ESTABLISHED, self.now)
        self.assertThat(self.versions(), Equals({'v1'}))
        self.now += HOLD_S * 2
        self.filter.answered_at['desk'] = self.now
        self.assertThat(self.versions(), Equals({'v1'}))


class RecordTest(TestCase):
    """The record of the versions that serve without an order."""

    def setUp(self) -> None:
        super().setUp()
        self.view = FleetView('desk', ('v1',), new_targets=3)
        self.times = Times(100, 90, 95)

    def decide(
        self, step: Step | None, order: Order | None = None
    ) -> Decision | None:
        """Return the next step."""
        return decide(step, order, self.view, self.times, Bounds())

    def test_order_waits_for_the_record(self) -> None:
        """Guards against a roll-out that begins with no old version."""
        self.view = FleetView('desk', None, new_targets=3)
        self.assertIsNone(self.decide(None, ORDER))
        self.view = FleetView('desk', ('v1',), new_targets=3)
        first = self.decide(None, ORDER)
        assert first is not None
        self.assertThat(first.phase, Equals(Phase.ESTABLISHED))
        self.assertThat(first.old_versions, Equals(('v1',)))
        trial = self.decide(number_after(None, first, 'a'), ORDER)
        assert trial is not None
        self.assertThat(trial.phase, Equals(Phase.TRIAL))
        self.assertThat(trial.old_versions, Equals(('v1',)))

    def test_no_record_without_targets(self) -> None:
        """Guards against a service that is down when its targets come back."""
        self.view = FleetView('desk', ())
        self.assertIsNone(self.decide(None))
        versions = VersionFilter(0.1, lambda: 100.0, random.Random(1))
        empty = replace(ESTABLISHED, old_versions=())
        versions.state('desk').adopt(empty, 0)
        old = members(4, 0)
        self.assertThat(list(versions.assign('desk', old)), Equals(old))

    def test_order_goes_by_the_record(self) -> None:
        """Guards against what a driver that has just started sees."""
        for seen in (None, (), ('v2',)):
            self.view = FleetView('desk', seen, new_targets=3)
            trial = self.decide(ESTABLISHED, ORDER)
            assert trial is not None
            self.assertThat(trial.old_versions, Equals(('v1',)))

    def test_versions_that_differ(self) -> None:
        state = self.states()
        second = replace(ESTABLISHED, number=2, old_versions=('v2',))
        self.assertTrue(state.adopt(second, 0))
        self.assertFalse(state.adopt(ESTABLISHED, 0))
        self.assertThat(state.step, Is(second))

    def test_all_nodes_start_again_in_the_shift(self) -> None:
        """Guards against an end without responses of the old version."""
        shift = replace(TRIAL, number=3, phase=Phase.SHIFT)
        self.view = FleetView(
            'desk', new_targets=3, shift_responses=50, has_lost_trial=True
        )
        decision = self.decide(shift)
        assert decision is not None
        self.assertThat(decision.phase, Equals(Phase.TRIAL))
        self.assertThat(decision.old_versions, Equals(('v1',)))
        again = number_after(shift, decision, 'a')
        self.assertThat(again.trial_number, Equals(again.number))

    def test_version_that_changes_in_place(self) -> None:
        self.view = FleetView('desk', ('v3',), ('v3',))
        self.assertIsNone(self.decide(ESTABLISHED))
        self.times = Times(100, 90, 95, unserved_at=99 - GONE_S)
        decision = self.decide(replace(TRIAL, phase=Phase.COMPLETED))
        assert decision is not None
        self.assertThat(decision.old_versions, Equals(('v3',)))
        self.assertThat(decision.order, Is(ORDER))

    def test_message(self) -> None:
        message = step_to_message(ESTABLISHED, 0)
        self.assertThat(step_from_message(message), Equals(ESTABLISHED))

    def states(self) -> ServiceState:
        """Return the state of a service that knows the record."""
        state = new_state(random.Random(1))
        state.adopt(ESTABLISHED, 0)
        return state


class ReporterTest(TestCase):
    """Replies to the reports of a node."""

    def setUp(self) -> None:
        super().setUp()
        self.filter = VersionFilter(0.1, lambda: 100.0, random.Random(1))

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

    def responses_until_verdict(
        self, seed: int, behaviour: Behaviour, old: Behaviour = good
    ) -> int:
        """Return the responses of the new version, 1000 if it passed."""
        rng = random.Random(seed)
        judge = Judge()
        for number in range(1000):
            fresh = {'read': RouteCounts()}
            for _ in range(40):
                work = old('read', 0, 0, rng)
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

    def test_version_that_is_slow_in_part(self) -> None:
        """Guards against slow responses that the others make up for."""
        for seed in range(4):
            for old in (good, steady(0.2)):
                for share in (0.4, 0.6):
                    behaviour = partly_slow(old, share, 5)
                    needed = self.responses_until_verdict(seed, behaviour, old)
                    self.assertThat(needed * share, LessThan(50))

    def test_target_that_is_a_little_slower(self) -> None:
        """Guards against a machine that is taken for its version."""
        for seed in range(8):
            passed = self.responses_until_verdict(seed, slow(1.3))
            self.assertThat(passed, Equals(1000))
