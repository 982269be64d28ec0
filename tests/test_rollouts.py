"""Bounds of roll-outs on fleets with simulated requests, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from filbertdrift.rollouts.steps import Phase
from standins.rollout_fleet import (
    Behaviour,
    RolloutFleet,
    Work,
    failing,
    good,
    partly_slow,
    slow,
    steady,
)
from tests.builders import run_virtual

DURATION_S = 30.0
# A completed status may take some tenths of a second more than its deadline
# where a fault of the log or of a node delays it.
LIMIT_S = 30.0

Fault = Callable[[RolloutFleet], Awaitable[None]]


async def roll_out(
    size: int,
    seed: int,
    behaviour: Behaviour = good,
    fault: Fault | None = None,
    duration_s: float = DURATION_S,
) -> tuple[RolloutFleet, str]:
    """Run one roll-out; return the fleet and the last state.

    Args:
        size: How many ingress nodes there are.
        seed: Seed of all random choices.
        behaviour: How the new version behaves.
        fault: What happens meanwhile.
        duration_s: The duration of the order.
    """
    fleet = RolloutFleet(size, max(size // 5, 6), size * 3, seed)
    await fleet.start()
    fleet.behaviours['v2'] = behaviour
    fleet.start_new_targets()
    await asyncio.sleep(1)
    await fleet.order(duration_s)
    if fault is not None:
        await fault(fleet)
    return fleet, await fleet.run_until_ended(duration_s + LIMIT_S)


async def roll_out_few(
    behaviour: Behaviour, usual: Behaviour, duration_s: float
) -> tuple[RolloutFleet, str]:
    """Run one roll-out with three targets of each version.

    Args:
        behaviour: How the new version behaves.
        usual: How the old one does.
        duration_s: The duration of the order.
    """
    fleet = RolloutFleet(6, 3, 90)
    fleet.behaviours = {'v1': usual, 'v2': behaviour}
    await fleet.start()
    await asyncio.sleep(4)
    fleet.start_new_targets()
    await asyncio.sleep(5)
    await fleet.order(duration_s)
    state = await fleet.run_until_ended(duration_s + LIMIT_S)
    await asyncio.sleep(8)
    return fleet, state


class RolloutCase(TestCase):
    """Asserts the bounds that hold for each roll-out."""

    def check(
        self,
        size: int,
        seed: int,
        behaviour: Behaviour = good,
        fault: Fault | None = None,
    ) -> tuple[RolloutFleet, str]:
        """Run one roll-out and assert the hard bounds."""
        fleet, state = run_virtual(roll_out(size, seed, behaviour, fault))
        exposed, limit = fleet.exposure()
        self.assertThat(exposed, LessThan(limit))
        self.assertThat(fleet.late_exposures(), Equals(0))
        if state == 'completed':
            self.assertThat(fleet.overlaps('v1'), Equals(0))
        return fleet, state

    def completes(
        self, size: int, seed: int, fault: Fault | None = None
    ) -> float:
        """Assert that a good version is completed; return the time."""
        fleet, state = self.check(size, seed, fault=fault)
        self.assertThat(state, Equals('completed'))
        return fleet.ended_at()

    def rolls_back(self, size: int, seed: int, behaviour: Behaviour) -> None:
        """Assert that a bad version is rolled back."""
        _, state = self.check(size, seed, behaviour)
        self.assertThat(state, Equals('rolled_back'))


class GoodVersionTest(RolloutCase):
    """A good version is completed by its deadline."""

    def test_65_nodes(self) -> None:
        for seed in range(1, 5):
            ended_at = self.completes(65, seed)
            self.assertThat(ended_at, LessThan(DURATION_S))

    def test_300_nodes(self) -> None:
        self.assertThat(self.completes(300, 1), LessThan(DURATION_S))

    def test_short_and_long_orders(self) -> None:
        for duration_s in (12.0, 60.0):
            fleet, state = run_virtual(roll_out(30, 1, duration_s=duration_s))
            self.assertThat(state, Equals('completed'))
            exposed, limit = fleet.exposure()
            self.assertThat(exposed, LessThan(limit))

    def test_few_targets(self) -> None:
        """Guards against an end that waits for too many responses."""
        for usual in (good, steady(0.02), steady(0.2)):
            fleet, state = run_virtual(roll_out_few(usual, usual, 20))
            self.assertThat(state, Equals('completed'))
            self.assertThat(fleet.ended_at(), LessThan(20))

    def test_rate_that_rises_with_the_shift(self) -> None:
        """Guards against a plan that holds only at a constant rate."""

        async def rise(fleet: RolloutFleet) -> None:
            fleet.rate_factor = 0.8
            await asyncio.sleep(27)
            fleet.rate_factor = 1.55

        self.completes(65, 1, rise)

    def test_disruption_of_both_versions(self) -> None:
        """Guards against blaming the new version for a common fault."""

        async def disrupt(fleet: RolloutFleet) -> None:
            await asyncio.sleep(8)
            fleet.behaviours = {'v1': _disrupted, 'v2': _disrupted}
            await asyncio.sleep(5)
            fleet.behaviours = {'v1': good, 'v2': good}

        for seed in range(1, 4):
            self.completes(30, seed, disrupt)


class BadVersionTest(RolloutCase):
    """A bad version is rolled back, within the bounds on its requests."""

    def test_failing_at_once(self) -> None:
        self.rolls_back(65, 1, failing(0.3))
        self.rolls_back(300, 2, failing(0.3))

    def test_few_failures(self) -> None:
        self.rolls_back(65, 3, failing(0.1))

    def test_failing_late(self) -> None:
        self.rolls_back(65, 1, failing(0.3, from_s=6))
        self.rolls_back(300, 2, failing(0.3, from_s=6))
        self.rolls_back(65, 3, failing(0.3, from_s=20))

    def test_failing_under_load_only(self) -> None:
        self.rolls_back(65, 1, failing(0.3, min_load=0.4))
        self.rolls_back(300, 2, failing(0.3, min_load=0.4))

    def test_failing_on_one_route(self) -> None:
        self.rolls_back(65, 1, failing(0.4, route_name='search'))
        self.rolls_back(300, 2, failing(0.4, route_name='search'))

    def test_slow_responses_that_come_after_the_shift(self) -> None:
        """Guards against an end before the responses of the shift arrive."""
        for work_s in (0.2, 1.0):
            usual = steady(work_s)
            behaviour = partly_slow(usual, 0.4, 5, min_load=3)
            fleet, state = run_virtual(roll_out_few(behaviour, usual, 12))
            self.assertThat(state, Equals('rolled_back'))
            self.assertThat(fleet.late_exposures(), Equals(0))
            exposed, limit = fleet.exposure()
            self.assertThat(exposed, LessThan(limit))

    def test_three_times_slower(self) -> None:
        self.rolls_back(65, 1, slow(3))
        self.rolls_back(300, 2, slow(3))


class FaultTest(RolloutCase):
    """The bounds hold while the driver, a domain or the log fails."""

    def test_driver_killed_in_trial(self) -> None:
        self.assertThat(
            self.completes(30, 1, _kill_in_trial), LessThan(DURATION_S)
        )

    def test_driver_killed_in_shift(self) -> None:
        """Guards against an end that a new driver takes from old reports."""
        self.completes(30, 1, _kill_in_shift)

    def test_driver_cut_off_in_trial(self) -> None:
        self.completes(30, 1, _cut_in_trial)

    def test_driver_cut_off_in_shift(self) -> None:
        ended_at = self.completes(30, 2, _cut_in_shift)
        self.assertThat(ended_at, GreaterThan(DURATION_S))

    def test_domain_cut_off_in_trial(self) -> None:
        """Two drivers: each side of the cut has one."""
        self.completes(30, 1, _cut_domain_at(8))

    def test_domain_cut_off_at_the_end(self) -> None:
        """Guards against an end without the reports of a cut domain."""
        ended_at = self.completes(30, 1, _cut_domain_at(27))
        self.assertThat(ended_at, GreaterThan(35))

    def test_log_silent(self) -> None:
        self.completes(30, 1, _stop_log_at(8))
        ended_at = self.completes(30, 2, _stop_log_at(27))
        self.assertThat(ended_at, GreaterThan(33))

    def test_replies_of_appends_lost(self) -> None:
        async def lose(fleet: RolloutFleet) -> None:
            for node in fleet.nodes.values():
                node.log.loses_replies = True

        self.completes(30, 1, lose)

    def test_bad_version_while_the_driver_is_cut_off(self) -> None:
        async def cut(fleet: RolloutFleet) -> None:
            await asyncio.sleep(8)
            driver = fleet.driver()
            fleet.cut(driver)
            fleet.find_dead(driver)

        behaviour = failing(0.3, from_s=7)
        fleet, state = run_virtual(roll_out(30, 1, behaviour, cut))
        self.assertThat(state, Equals('rolled_back'))
        exposed, limit = fleet.exposure()
        self.assertThat(exposed, LessThan(limit))


class OrderTest(RolloutCase):
    """Orders without targets, and orders that replace others."""

    def test_version_without_targets(self) -> None:
        run_virtual(self._order_without_targets())

    async def _order_without_targets(self) -> None:
        fleet = RolloutFleet(12, 6, 60)
        await fleet.start()
        await fleet.order(6)
        state = await fleet.run_until_ended(12)
        self.assertThat(state, Equals('rolled_back'))
        versions = {attempt.version for attempt in fleet.attempts}
        self.assertThat(versions, Equals({'v1'}))

    def test_order_for_the_old_version_aborts(self) -> None:
        run_virtual(self._abort())

    async def _abort(self) -> None:
        fleet = RolloutFleet(12, 6, 60)
        await fleet.start()
        fleet.start_new_targets()
        await fleet.order(30)
        await asyncio.sleep(8)
        await fleet.order(10, 'v1')
        await asyncio.sleep(5)
        states = [state for _, state in fleet.statuses]
        self.assertThat(
            states, Equals(['running', 'rolled_back', 'running', 'completed'])
        )
        rolled_back_at = fleet.statuses[1][0]
        late = [
            attempt
            for attempt in fleet.attempts
            if attempt.version == 'v2' and attempt.sent_at > rolled_back_at + 1
        ]
        self.assertThat(late, Equals([]))

    def test_version_that_nobody_ordered_gets_no_requests(self) -> None:
        run_virtual(self._no_order())

    async def _no_order(self) -> None:
        fleet = RolloutFleet(12, 6, 60)
        await fleet.start()
        fleet.start_new_targets()
        await asyncio.sleep(20)
        versions = {attempt.version for attempt in fleet.attempts}
        self.assertThat(versions, Equals({'v1'}))


def _disrupted(route: str, since_s: float, load: float, rng: object) -> Work:
    work = good(route, since_s, load, rng)  # type: ignore[arg-type]
    is_failure = work.latency_s > 0.05
    return Work(work.latency_s * 5, is_failure)


async def _wait_for_shift(fleet: RolloutFleet) -> str:
    await asyncio.sleep(10)
    driver = fleet.driver()
    state = fleet.nodes[driver].control.filter.state('desk')
    while state.step is None or state.step.phase != Phase.SHIFT:
        await asyncio.sleep(0.02)
    return driver


async def _kill_in_trial(fleet: RolloutFleet) -> None:
    await asyncio.sleep(10)
    await fleet.kill(fleet.driver())


async def _kill_in_shift(fleet: RolloutFleet) -> None:
    await fleet.kill(await _wait_for_shift(fleet))


async def _cut_in_trial(fleet: RolloutFleet) -> None:
    await asyncio.sleep(10)
    driver = fleet.driver()
    fleet.cut(driver)
    await asyncio.sleep(6)
    fleet.heal(driver)


async def _cut_in_shift(fleet: RolloutFleet) -> None:
    driver = await _wait_for_shift(fleet)
    fleet.cut(driver)
    await asyncio.sleep(6)
    fleet.heal(driver)


def _cut_domain_at(at: float) -> Fault:
    async def cut(fleet: RolloutFleet) -> None:
        await asyncio.sleep(at)
        fleet.cut_domain('a', is_cut=True)
        await asyncio.sleep(8)
        fleet.cut_domain('a', is_cut=False)

    return cut


def _stop_log_at(at: float) -> Fault:
    async def stop(fleet: RolloutFleet) -> None:
        await asyncio.sleep(at)
        fleet.log.is_down = True
        await asyncio.sleep(6)
        fleet.log.is_down = False

    return stop
