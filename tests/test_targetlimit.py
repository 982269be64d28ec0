"""Targets that state a limit on the rate of their requests, or that leave."""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from testtools import TestCase
from testtools.matchers import (
    AllMatch,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
)

from filbertdrift.errors import FilbertdriftError, RequestNotRun
from standins.mesh_fleet import MeshFleet, MeshInstance, config_document
from standins.scripted_target import TargetScript
from tests.builders import run_virtual

WINDOW_S = 4.0
# A limit is kept from this time after the target has first stated it.
SETTLE_S = 3.0
DRAIN_S = 2.0
# Requests beyond the limit that may arrive together after an idle time.
BURST = 1


@dataclass
class Outcomes:
    """How the requests of a load ended.

    Args:
        by_kind: Requests by path and outcome.
        refusals: What refused requests were told.
        refusal_s: How long each refused request waited.
    """

    by_kind: Counter[tuple[str, str]] = field(default_factory=Counter)
    refusals: list[RequestNotRun] = field(default_factory=list)
    refusal_s: list[float] = field(default_factory=list)

    def count(self, outcome: str) -> int:
        """Return the number of requests with an outcome."""
        return sum(
            count
            for (_, other), count in self.by_kind.items()
            if other == outcome
        )


async def fleet_of(seed: int, *domains: str) -> MeshFleet:
    """Return a fleet of desk targets, and an ingress without one in each.

    Args:
        seed: Seed of all random choices.
        domains: The failure domain of each target.
    """
    fleet = MeshFleet(seed)
    document = config_document()
    document['services']['desk']['health_check_path'] = '/health'
    await fleet.publish(document)
    for domain in sorted(set(domains)):
        await fleet.add(domain, 'other')
    for domain in domains:
        await fleet.add(domain, 'desk')
    await fleet.wait_until_in_force(1, 5)
    await asyncio.sleep(SETTLE_S)
    return fleet


def targets(fleet: MeshFleet) -> Sequence[MeshInstance]:
    """Return the instances with desk targets."""
    return [
        instance
        for instance in fleet.instances.values()
        if instance.service == 'desk'
    ]


async def call_once(
    fleet: MeshFleet, address: str, path: str, outcomes: Outcomes
) -> None:
    """Send one request and record its outcome."""
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    try:
        response = await fleet.call(address, path)
    except RequestNotRun as exc:
        outcomes.by_kind[path, 'refused'] += 1
        outcomes.refusals.append(exc)
        outcomes.refusal_s.append(loop.time() - sent_at)
    except (FilbertdriftError, KeyError):
        outcomes.by_kind[path, 'failed'] += 1
    else:
        response.close()
        outcomes.by_kind[path, 'answered'] += 1


async def send_load(
    fleet: MeshFleet,
    per_s: float,
    for_s: float,
    paths: Sequence[str] = ('/read/1', '/write/1'),
) -> Outcomes:
    """Send requests through all nodes at a steady rate."""
    rng = random.Random(int(per_s * 10))
    outcomes = Outcomes()
    loop = asyncio.get_running_loop()
    tasks = []
    ends_at = loop.time() + for_s
    while loop.time() < ends_at:
        address = rng.choice(list(fleet.instances))
        path = rng.choice(paths)
        call = call_once(fleet, address, path, outcomes)
        tasks.append(loop.create_task(call))
        await asyncio.sleep(rng.expovariate(per_s))
    await asyncio.gather(*tasks)
    return outcomes


def most_in_window(times: Sequence[float], since: float) -> int:
    """Return the most requests within any window that begins after a time."""
    counted = sorted(at for at in times if at >= since)
    most = 0
    start = 0
    for end, at in enumerate(counted):
        while counted[start] <= at - WINDOW_S:
            start += 1
        most = max(most, end - start + 1)
    return most


def share_of_first(fleet: MeshFleet, since: float) -> float:
    """Return the share of the first target in the requests after a time."""
    counts = [
        sum(at > since for at in instance.script.arrival_times)
        for instance in targets(fleet)
    ]
    return counts[0] / sum(counts)


def now() -> float:
    """Return the time on the event loop's clock."""
    return asyncio.get_running_loop().time()


class SteadyLoadTest(TestCase):
    """More requests than a target takes, from several nodes at once."""

    # LIMIT: a target that stated a limit got more than three times as much.
    def test_one_target_states_a_limit(self) -> None:
        for limit in (0.5, 3.0, 10.0):
            run_virtual(self._one(limit))

    async def _one(self, limit: float) -> None:
        fleet = await fleet_of(71, 'a', 'a', 'b')
        limited = targets(fleet)[0].script
        load = asyncio.ensure_future(send_load(fleet, 60, 20))
        await asyncio.sleep(3)
        limited.limit = f'{limit}'
        stated_at = now()
        outcomes = await load
        # The allowance for what was under way is used up before that.
        most = most_in_window(limited.arrival_times, stated_at + 0.1)
        self.assertThat(most, LessThan(limit * WINDOW_S + BURST + 0.1))
        # Something still reaches it, so that it can say that it recovered.
        late = [at for at in limited.arrival_times if at > stated_at + 5]
        self.assertThat(len(late), GreaterThan(2))
        # The other targets have room for the rest.
        self.assertThat(outcomes.count('failed'), Equals(0))
        self.assertThat(
            outcomes.count('answered'),
            GreaterThan(0.97 * outcomes.by_kind.total()),
        )

    # LIMIT: all targets of a service state limits, and the callers want twice
    # as much.
    def test_all_targets_state_limits(self) -> None:
        for limit in (0.5, 5.0, 20.0):
            run_virtual(self._all(limit))

    async def _all(self, limit: float) -> None:
        fleet = await fleet_of(72, 'a', 'a', 'b', 'b')
        for instance in targets(fleet):
            instance.script.limit = f'{limit}'
        stated_at = now()
        outcomes = await send_load(fleet, 2 * 4 * limit, 24)
        for instance in targets(fleet):
            arrivals = instance.script.arrival_times
            self.assertThat(
                most_in_window(arrivals, stated_at + 0.1),
                LessThan(limit * WINDOW_S + max(BURST, limit / 10) + 0.1),
            )
            # What the target takes is used.
            self.assertThat(len(arrivals), GreaterThan(0.8 * limit * 24))
        self.assertThat(outcomes.count('failed'), Equals(0))
        self.assertThat(outcomes.count('refused'), GreaterThan(0))
        # What cannot be served is refused at once, with the time to return.
        waits = sorted(outcomes.refusal_s)
        self.assertThat(waits[len(waits) // 2], LessThan(0.1))
        self.assertThat(
            [exc.retry_after_ms for exc in outcomes.refusals],
            AllMatch(GreaterThan(0)),
        )

    def test_urgent_requests_go_first(self) -> None:
        run_virtual(self._urgent())

    async def _urgent(self) -> None:
        fleet = await fleet_of(73, 'a', 'b')
        for instance in targets(fleet):
            instance.script.limit = '20'
        await send_load(fleet, 40, 3)
        # Writes are more urgent, and half of the load.
        outcomes = await send_load(fleet, 60, 20)
        served = {
            path: outcomes.by_kind[path, 'answered']
            / (
                outcomes.by_kind[path, 'answered']
                + outcomes.by_kind[path, 'refused']
            )
            for path in ('/read/1', '/write/1')
        }
        self.assertThat(served['/write/1'], GreaterThan(0.8))
        self.assertThat(served['/read/1'], LessThan(0.6))

    def test_a_limit_above_the_load_changes_nothing(self) -> None:
        run_virtual(self._above())

    async def _above(self) -> None:
        fleet = await fleet_of(74, 'a', 'b')
        for instance in targets(fleet):
            instance.script.limit = '100'
        outcomes = await send_load(fleet, 60, 10)
        total = outcomes.by_kind.total()
        self.assertThat(outcomes.count('answered'), Equals(total))


class ChangingLimitTest(TestCase):
    """Limits begin, fall, rise and end under load."""

    def test_a_limit_falls_under_load(self) -> None:
        run_virtual(self._falls())

    async def _falls(self) -> None:
        fleet = await fleet_of(75, 'a', 'b')
        first = targets(fleet)[0].script
        first.limit = '20'
        load = asyncio.ensure_future(send_load(fleet, 60, 20))
        await asyncio.sleep(6)
        first.limit = '2'
        fell_at = now()
        await load
        most = most_in_window(first.arrival_times, fell_at + 0.1)
        self.assertThat(most, LessThan(2 * WINDOW_S + BURST + 1))
        late = [at for at in first.arrival_times if at > fell_at + 5]
        self.assertThat(len(late), GreaterThan(0))

    def test_requests_just_before_count_against_a_low_limit(self) -> None:
        run_virtual(self._before())

    async def _before(self) -> None:
        fleet = await fleet_of(76, 'a')
        only = targets(fleet)[0].script
        load = asyncio.ensure_future(send_load(fleet, 43, 12))
        await asyncio.sleep(4)
        only.limit = '11.4'
        stated_at = now()
        await load
        # The window that ends when the limit has to be kept, as the bound of
        # one and a half times the limit and five requests sees it.
        most = most_in_window(only.arrival_times, stated_at + SETTLE_S - 4)
        self.assertThat(most, LessThan(1.5 * 11.4 * WINDOW_S + 5))

    def test_a_limit_ends_with_the_responses_that_state_it(self) -> None:
        run_virtual(self._ends())

    async def _ends(self) -> None:
        fleet = await fleet_of(77, 'a', 'b')
        first = targets(fleet)[0].script
        first.limit = '1'
        load = asyncio.ensure_future(send_load(fleet, 40, 24))
        await asyncio.sleep(10)
        first.limit = None
        ended_at = now()
        await load
        share = share_of_first(fleet, ended_at + 4)
        self.assertThat(share, GreaterThan(0.25))

    def test_a_late_response_without_the_limit_does_not_end_it(self) -> None:
        run_virtual(self._late_response())

    async def _late_response(self) -> None:
        fleet = await fleet_of(78, 'a')
        instance = targets(fleet)[0]
        gate = instance.node.lifecycle.current.gate
        sent_at = now()
        await asyncio.sleep(0.1)
        gate.limit.record(2.0, sent_at)
        gate.limit.record(None, sent_at)
        self.assertThat(gate.limit.per_s, Equals(2.0))
        await asyncio.sleep(0.1)
        gate.limit.record(None, now())
        self.assertThat(gate.limit.per_s, Equals(None))

    def test_texts_that_are_no_limit(self) -> None:
        for text in ('', '-1', 'nan', 'inf', '1,5', '1e3', '9' * 400, '0x1'):
            run_virtual(self._no_limit(text))

    async def _no_limit(self, text: str) -> None:
        fleet = await fleet_of(79, 'a', 'b')
        for instance in targets(fleet):
            instance.script.limit = text
        outcomes = await send_load(fleet, 60, 4)
        total = outcomes.by_kind.total()
        self.assertThat(outcomes.count('answered'), Equals(total))


class StatementTest(TestCase):
    """Which responses state the limit of a target."""

    def test_responses_of_the_target(self) -> None:
        for script in (
            TargetScript(),
            TargetScript(refuses=True),
            TargetScript(failure_share=1),
            TargetScript(truncates=True),
        ):
            self.assertThat(run_virtual(self._limit(script)), Equals(3))

    def test_responses_that_are_not_its_own(self) -> None:
        for script in (
            TargetScript(is_other_instance=True),
            TargetScript(has_signature=False),
            TargetScript(encoding='gzip'),
        ):
            self.assertThat(run_virtual(self._limit(script)), Equals(None))

    async def _limit(self, script: TargetScript) -> float | None:
        """Return the limit in force after one response of a target."""
        fleet = MeshFleet(91)
        await fleet.publish(config_document())
        script.limit = '3'
        instance = await fleet.add('a', 'desk', script)
        await asyncio.sleep(SETTLE_S)
        address = instance.identity.address
        await call_once(fleet, address, '/write/1', Outcomes())
        return instance.node.lifecycle.current.gate.limit.per_s


class RefusalTest(TestCase):
    """What a refusal because of a limit does, and does not do."""

    def test_the_target_stays_in_use(self) -> None:
        run_virtual(self._in_use())

    async def _in_use(self) -> None:
        fleet = await fleet_of(80, 'a', 'a')
        for instance in targets(fleet):
            instance.script.limit = '4'
        # Callers that do not return, at twice the limits.
        await send_load(fleet, 16, 20)
        for instance in fleet.instances.values():
            self.assertThat(instance.node.budget.spent, Equals(0))
            for target in targets(fleet):
                stats = instance.node.chooser.find_stats(
                    target.identity.address
                )
                self.assertThat(stats.ejections, Equals(0))
        self.assertThat(
            [target.script.arrivals for target in targets(fleet)],
            AllMatch(GreaterThan(60)),
        )

    def test_a_refusal_by_the_target_itself_does_not_eject_it(self) -> None:
        run_virtual(self._refused_by_target())

    async def _refused_by_target(self) -> None:
        fleet = await fleet_of(81, 'a', 'a')
        first = targets(fleet)[0].script
        first.limit = '50'
        first.refuses = True
        await send_load(fleet, 40, 1)
        first.refuses = False
        recovered_at = now()
        await send_load(fleet, 40, 2)
        share = share_of_first(fleet, recovered_at)
        self.assertThat(share, GreaterThan(0.25))

    def test_refused_callers_return_at_the_rate_of_the_limits(self) -> None:
        run_virtual(self._returning())

    async def _returning(self) -> None:
        fleet = await fleet_of(82, 'a')
        targets(fleet)[0].script.limit = '1'
        await send_load(fleet, 4, 6)
        outcomes = await send_load(fleet, 4, 6)
        delays_ms = [exc.retry_after_ms for exc in outcomes.refusals]
        # The next turn is a second away, for some callers much later.
        self.assertThat(max(delays_ms), GreaterThan(900))
        self.assertThat(sum(delays_ms) / len(delays_ms), GreaterThan(1500))


class ProbeTest(TestCase):
    """Health checks are requests, too."""

    def test_probes_stay_within_the_limit(self) -> None:
        run_virtual(self._probes())

    async def _probes(self) -> None:
        fleet = await fleet_of(83, 'a', 'b')
        instance = targets(fleet)[0]
        script = instance.script
        script.limit = '0.5'
        await send_load(fleet, 40, 3)
        for _ in range(3):
            instance.node.health.record_failure()
        script.is_healthy = False
        began_at = now()
        await send_load(fleet, 40, 16)
        arrivals = [*script.arrival_times, *script.probe_times]
        self.assertThat(len(script.probe_times), GreaterThan(2))
        self.assertThat(
            most_in_window(arrivals, began_at),
            LessThan(0.5 * WINDOW_S + BURST + 0.1),
        )

    def test_a_probe_tells_the_limit(self) -> None:
        run_virtual(self._told())

    async def _told(self) -> None:
        fleet = await fleet_of(84, 'a', 'b')
        instance = targets(fleet)[0]
        instance.script.limit = '2'
        instance.script.is_healthy = False
        for _ in range(3):
            instance.node.health.record_failure()
        await asyncio.sleep(1)
        gate = instance.node.lifecycle.current.gate
        self.assertThat(gate.limit.per_s, Equals(2.0))


class RestartTest(TestCase):
    """Nodes and targets restart, or are cut off, while a limit is in force."""

    # LIMIT: a gate that has restarted knows no limit.
    def test_gate_restarts(self) -> None:
        for limit in (0.5, 5.0):
            run_virtual(self._gate_restarts(limit))

    async def _gate_restarts(self, limit: float) -> None:
        fleet = await fleet_of(85, 'a', 'a', 'b')
        instance = targets(fleet)[0]
        script = instance.script
        script.limit = f'{limit}'
        load = asyncio.ensure_future(send_load(fleet, 60, 30))
        await asyncio.sleep(5)
        began_at = now()
        for _ in range(3):
            killed = await fleet.kill(instance.identity.address)
            await asyncio.sleep(0.5)
            instance = await fleet.restart(killed)
            await asyncio.sleep(6)
        await load
        most = most_in_window(script.arrival_times, began_at)
        # An ingress that has not heard of the limit may send one request.
        self.assertThat(most, LessThan(limit * WINDOW_S + BURST + 2))
        late = [at for at in script.arrival_times if at > now() - 8]
        self.assertThat(len(late), GreaterThan(0))

    def test_nodes_are_cut_from_each_other(self) -> None:
        run_virtual(self._cut())

    async def _cut(self) -> None:
        fleet = await fleet_of(86, 'a', 'a', 'b', 'b')
        for instance in targets(fleet):
            instance.script.limit = '4'
        load = asyncio.ensure_future(send_load(fleet, 32, 30))
        await asyncio.sleep(5)
        began_at = now()
        in_a = [node for node in fleet.instances if node.startswith('a')]
        in_b = [node for node in fleet.instances if node.startswith('b')]
        for _ in range(2):
            fleet.simulator.cut(in_a, in_b)
            await asyncio.sleep(4)
            fleet.simulator.heal()
            await asyncio.sleep(4)
        await load
        for instance in targets(fleet):
            most = most_in_window(instance.script.arrival_times, began_at)
            self.assertThat(most, LessThan(4 * WINDOW_S + BURST + 0.1))

    def test_a_target_that_restarts_has_no_limit(self) -> None:
        run_virtual(self._target_restarts())

    async def _target_restarts(self) -> None:
        fleet = await fleet_of(87, 'a', 'b')
        instance = targets(fleet)[0]
        instance.script.limit = '0.5'
        await send_load(fleet, 40, 5)
        instance.script.limit = None
        instance.born_ms += 1000
        instance.sequence = 0
        fleet.send_heartbeat(instance)
        restarted_at = now()
        await send_load(fleet, 40, 8)
        # The slow start takes some seconds.
        share = share_of_first(fleet, restarted_at + 3)
        self.assertThat(share, GreaterThan(0.2))


class LeavingTest(TestCase):
    """Targets that state with their responses that they leave."""

    # DRAIN: a target that only says so in its responses.
    def test_no_requests_after_a_response_that_says_so(self) -> None:
        run_virtual(self._leaves())

    async def _leaves(self) -> None:
        fleet = await fleet_of(88, 'a', 'b', 'b')
        leaving = targets(fleet)[0].script
        load = asyncio.ensure_future(send_load(fleet, 60, 12))
        await asyncio.sleep(3)
        leaving.is_leaving = True
        since = now()
        outcomes = await load
        late = [at for at in leaving.arrival_times if at > since + DRAIN_S]
        self.assertThat(late, HasLength(0))
        self.assertThat(outcomes.count('failed'), Equals(0))
        self.assertThat(
            outcomes.count('answered'),
            GreaterThan(0.99 * outcomes.by_kind.total()),
        )

    # DRAIN: the node beside a leaving target restarts, and its target does not
    # say again that it leaves.
    def test_gate_restarts_beside_a_leaving_target(self) -> None:
        run_virtual(self._gate_restarts())

    async def _gate_restarts(self) -> None:
        fleet = await fleet_of(89, 'a', 'b', 'b')
        instance = targets(fleet)[0]
        instance.script.is_leaving = True
        await call_once(fleet, 'a-0:7000', '/read/1', Outcomes())
        self.assertThat(instance.script.arrivals, Equals(1))
        # The target's responses do not say so any more, so that only the node
        # knows that passed one on.
        instance.script.is_leaving = False
        killed = await fleet.kill(instance.identity.address)
        await asyncio.sleep(0.3)
        await fleet.restart(killed)
        restarted_at = now()
        await send_load(fleet, 60, 10)
        late = [
            at
            for at in instance.script.arrival_times
            if at > restarted_at + DRAIN_S
        ]
        self.assertThat(late, HasLength(0))

    def test_a_target_started_again_under_its_id_is_not_leaving(self) -> None:
        run_virtual(self._started_again())

    async def _started_again(self) -> None:
        fleet = await fleet_of(90, 'a', 'b')
        instance = targets(fleet)[0]
        instance.script.is_leaving = True
        await send_load(fleet, 40, 4)
        instance.script.is_leaving = False
        instance.born_ms += 1000
        instance.sequence = 0
        fleet.send_heartbeat(instance)
        restarted_at = now()
        await send_load(fleet, 40, 8)
        # The slow start takes some seconds.
        share = share_of_first(fleet, restarted_at + 3)
        self.assertThat(share, GreaterThan(0.2))
