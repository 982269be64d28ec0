"""Departures that a node acknowledges hold, also for its next process."""

import asyncio
import json

from testtools import TestCase
from testtools.matchers import Equals, Is, LessThan
from testtools.testcase import ExpectedException

from filbertdrift.contract import TargetStatement
from filbertdrift.departures.history import KEPT_FOR_S, MAX_DEPARTURES
from filbertdrift.directory import MAX_MISSED_READS, REJOIN_INTERVAL_S
from filbertdrift.errors import RequestNotRun
from filbertdrift.gen import ttypes
from standins.mesh_fleet import (
    DEPARTURES_STREAM,
    MeshFleet,
    MeshInstance,
    config_document,
    heartbeat,
)
from tests.builders import run_virtual, target_calls

NODE = 'a-0:7000'
OTHER_NODE = 'a-1:7000'
READY, DRAINING = 'ready', 'draining'
ACKNOWLEDGED, UNAVAILABLE = 200, 503


class TargetBeside:
    """Calls of a target to the node beside it, which may have restarted.

    Args:
        instance: The node and its target.
        born_ms: The start that it states, None to state none.
        name: Its instance id, None for that of the instance.
    """

    def __init__(
        self,
        instance: MeshInstance,
        born_ms: int | None = None,
        name: str | None = None,
    ) -> None:
        self.node = instance.node
        self.name = name or instance.instance
        self._stated = heartbeat(instance)
        self._born = {} if born_ms is None else {'born': born_ms}
        self._calls = target_calls(instance)

    async def beat(self, state: str = READY, sequence: int = 1) -> int:
        """Send a heartbeat; return the status of the reply."""
        stated = self._stated
        fields = {
            'service': stated.service,
            'address': '127.0.0.1:8080',
            'zone': 'a',
            'version': stated.version,
            'slots': stated.slots,
            'state': state,
            'cold_remaining_s': 0,
            'seq': sequence,
            **self._born,
        }
        return await self._call('PUT', json.dumps(fields).encode())

    async def leave(self, *, states_start: bool = True) -> int:
        """Send DELETE; return the status of the reply."""
        stated = self._born if states_start else {}
        body = json.dumps(stated).encode() if stated else b''
        return await self._call('DELETE', body)

    @property
    def is_offered(self) -> bool:
        """Return whether the node lets requests reach this target."""
        current = self.node.lifecycle.current
        return (
            current is not None
            and not current.is_leaving
            and current.heartbeat.instance == self.name
        )

    async def _call(self, method: str, body: bytes) -> int:
        path = f'/instances/{self.name}'
        return (await self._calls.serve(method, path, body)).status


async def silent_fleet(count: int = 2) -> MeshFleet:
    """Return a fleet whose targets send no heartbeats of their own."""
    fleet = MeshFleet()
    await fleet.publish(config_document())
    for _ in range(count):
        silence(await fleet.add('a', 'desk'))
    await fleet.wait_until_in_force(1, 5)
    return fleet


def silence(instance: MeshInstance) -> MeshInstance:
    """Let a target send no heartbeats; it is as if it never had."""
    assert instance.heartbeat_task is not None
    instance.heartbeat_task.cancel()
    return instance


async def restart(fleet: MeshFleet, born_ms: int | None = None) -> TargetBeside:
    """Restart a node; return its target, of which it has not heard."""
    killed = await fleet.kill(NODE)
    restarted = silence(await fleet.restart(killed))
    return TargetBeside(restarted, born_ms)


async def unknown_target(born_ms: int | None = None) -> TargetBeside:
    """Return a target of which its node has not heard."""
    return await restart(await silent_fleet(), born_ms)


class UnknownTargetTest(TestCase):
    """The departure of a target that the node has not heard of yet.

    Guards against a late heartbeat that brings back a target whose departure
    a restarted node has acknowledged.
    """

    def test_without_a_stated_start(self) -> None:
        run_virtual(self._leave(None, states_start=False))

    def test_with_a_stated_start(self) -> None:
        run_virtual(self._leave(17, states_start=True))

    def test_start_stated_by_heartbeats_only(self) -> None:
        run_virtual(self._leave(17, states_start=False))

    async def _leave(self, born_ms: int | None, *, states_start: bool) -> None:
        target = await unknown_target(born_ms)
        self.assertThat(
            await target.leave(states_start=states_start), Equals(200)
        )
        self.assertThat(await target.beat(), Equals(200))
        self.assertThat(target.is_offered, Is(False))

    def test_later_start_is_offered(self) -> None:
        run_virtual(self._start_again())

    async def _start_again(self) -> None:
        target = await unknown_target(born_ms=2_000)
        target.node.lifecycle.wall_clock_ms = lambda: 1_000
        await target.leave(states_start=False)
        await target.beat()
        self.assertThat(target.is_offered, Is(True))

    def test_departure_of_a_later_start_ends_the_known_one(self) -> None:
        run_virtual(self._unheard_start())

    async def _unheard_start(self) -> None:
        target = await unknown_target(born_ms=1)
        await target.beat()
        self.assertThat(target.is_offered, Is(True))
        target.node.lifecycle.leave(target.name, 2)
        self.assertThat(target.is_offered, Is(False))


class RestartTest(TestCase):
    """A departure, then a restart of the node, then a late heartbeat.

    Guards against a process that forgets what the one before acknowledged.
    """

    def test_left_without_a_stated_start(self) -> None:
        run_virtual(self._leave(None))

    def test_left_with_a_stated_start(self) -> None:
        run_virtual(self._leave(17))

    async def _leave(self, born_ms: int | None) -> None:
        fleet = await silent_fleet()
        target = TargetBeside(fleet.instances[NODE], born_ms)
        await target.beat()
        self.assertThat(await target.leave(), Equals(ACKNOWLEDGED))
        await self._check_after_restart(fleet, born_ms)

    def test_announced_by_heartbeat(self) -> None:
        run_virtual(self._drain())

    async def _drain(self) -> None:
        fleet = await silent_fleet()
        target = TargetBeside(fleet.instances[NODE])
        await target.beat()
        status = await target.beat(DRAINING, sequence=3)
        self.assertThat(status, Equals(ACKNOWLEDGED))
        await self._check_after_restart(fleet)

    def test_stated_in_a_response(self) -> None:
        run_virtual(self._state())

    async def _state(self) -> None:
        fleet = await silent_fleet()
        target = TargetBeside(fleet.instances[NODE])
        await target.beat()
        lifecycle = target.node.lifecycle
        assert lifecycle.current is not None
        lifecycle.record_statement(
            lifecycle.current, TargetStatement(is_leaving=True), 0
        )
        await asyncio.sleep(0.1)
        await self._check_after_restart(fleet)

    def test_heartbeat_before_the_departure_is_read(self) -> None:
        run_virtual(self._late_read())

    async def _late_read(self) -> None:
        fleet = await silent_fleet()
        target = TargetBeside(fleet.instances[NODE])
        await target.beat()
        await target.leave()
        fleet.log.is_down = True
        target = await restart(fleet)
        await target.beat(sequence=2)
        fleet.log.is_down = False
        await asyncio.sleep(5)
        self.assertThat(target.is_offered, Is(False))

    def test_heartbeat_announces_the_departure_of_an_earlier_start(
        self,
    ) -> None:
        run_virtual(self._earlier_start())

    async def _earlier_start(self) -> None:
        fleet = await silent_fleet()
        await TargetBeside(fleet.instances[NODE], 2, 'i-next').beat()
        target = TargetBeside(fleet.instances[NODE], 1)
        status = await target.beat(DRAINING)
        self.assertThat(status, Equals(ACKNOWLEDGED))
        await self._check_after_restart(fleet, born_ms=1)

    async def _check_after_restart(
        self, fleet: MeshFleet, born_ms: int | None = None
    ) -> None:
        target = await restart(fleet, born_ms)
        await asyncio.sleep(0.5)
        await target.beat(sequence=2)
        self.assertThat(target.is_offered, Is(False))
        runs = len(fleet.instances[NODE].script.run_times)
        with ExpectedException(RequestNotRun):
            await fleet.call(OTHER_NODE, '/write/1')
        self.assertThat(
            len(fleet.instances[NODE].script.run_times), Equals(runs)
        )


class ToldByOthersTest(TestCase):
    """Other nodes tell a restarted one of departures.

    Guards against a process that offers a target again while the log, which
    has the departure, cannot be read.
    """

    def test_log_unavailable_after_the_restart(self) -> None:
        run_virtual(self._without_log(born_ms=None))

    def test_log_unavailable_with_a_stated_start(self) -> None:
        run_virtual(self._without_log(born_ms=17))

    async def _without_log(self, born_ms: int | None) -> None:
        fleet = await silent_fleet(count=3)
        target = TargetBeside(fleet.instances[NODE], born_ms)
        await TargetBeside(fleet.instances[OTHER_NODE]).beat()
        await target.beat()
        await target.leave()
        await asyncio.sleep(0.5)
        fleet.log.is_down = True
        target = await restart(fleet, born_ms)
        await target.node.membership.join([OTHER_NODE, 'a-2:7000'])
        await target.beat(sequence=2)
        await asyncio.sleep(0.5)
        for number in range(20):
            response = await fleet.call(OTHER_NODE, f'/read/{number}')
            response.close()
        script = fleet.instances[NODE].script
        self.assertThat(len(script.run_times), Equals(0))

    # DRAIN: the departure that the log still had replaced the later one at the
    # other nodes, so nobody told the restarted node of it.
    def test_log_comes_back_with_an_older_departure(self) -> None:
        for born_ms in (None, 17):
            run_virtual(self._older_departure(born_ms))

    async def _older_departure(self, born_ms: int | None) -> None:
        fleet = await silent_fleet(count=3)
        beside = fleet.instances[NODE]
        older = TargetBeside(beside, born_ms, 'older')
        await older.beat()
        await older.leave()
        copy = fleet.log.snapshot()
        target = TargetBeside(beside, born_ms and born_ms + 1, 'later')
        await target.beat()
        self.assertThat(await target.leave(), Equals(ACKNOWLEDGED))
        await asyncio.sleep(0.5)
        killed = await fleet.kill(NODE)
        await fleet.drill(copy, away_s=0.7)
        restarted = silence(await fleet.restart(killed))
        await asyncio.sleep(1)
        target = TargetBeside(restarted, born_ms and born_ms + 1, 'later')
        await target.beat(sequence=2)
        self.assertThat(target.is_offered, Is(False))

    # Known red: the older departure is announced in place of the later one.
    def test_older_departure_is_read_after_a_later_one(self) -> None:
        run_virtual(self._read_late())

    async def _read_late(self) -> None:
        fleet = await silent_fleet(count=3)
        older = TargetBeside(fleet.instances[NODE], 17, 'older')
        await older.beat()
        await older.leave()
        copy = fleet.log.snapshot()
        killed = await fleet.kill(NODE)
        fleet.log.is_down = True
        restarted = silence(await fleet.restart(killed))
        await restarted.node.membership.join([OTHER_NODE, 'a-2:7000'])
        target = TargetBeside(restarted, 18, 'later')
        leaving = asyncio.ensure_future(target.leave())
        await asyncio.sleep(0.2)
        fleet.log.is_down = False
        self.assertThat(await leaving, Equals(ACKNOWLEDGED))
        await asyncio.sleep(0.5)
        killed = await fleet.kill(NODE)
        await fleet.drill(copy, away_s=0.7)
        restarted = silence(await fleet.restart(killed))
        await asyncio.sleep(1)
        target = TargetBeside(restarted, 18, 'later')
        await target.beat(sequence=2)
        self.assertThat(target.is_offered, Is(False))

    # Known red: the departure is lost with the log and all that heard of it.
    def test_log_and_all_nodes_lose_a_departure(self) -> None:
        run_virtual(self._lose_departure())

    async def _lose_departure(self) -> None:
        fleet = await silent_fleet(count=3)
        copy = fleet.log.snapshot()
        target = TargetBeside(fleet.instances[NODE])
        await target.beat()
        self.assertThat(await target.leave(), Equals(ACKNOWLEDGED))
        killed = [await fleet.kill(node) for node in list(fleet.instances)]
        await fleet.drill(copy, away_s=0.7)
        restarted = [silence(await fleet.restart(one)) for one in killed]
        await asyncio.sleep(1)
        target = TargetBeside(restarted[0])
        await target.beat(sequence=2)
        self.assertThat(target.is_offered, Is(False))

    def test_requests_of_its_own_callers(self) -> None:
        run_virtual(self._own_callers())

    async def _own_callers(self) -> None:
        fleet = await silent_fleet(count=3)
        target = TargetBeside(fleet.instances[NODE])
        await target.beat()
        await target.leave()
        await asyncio.sleep(0.5)
        fleet.log.is_down = True
        target = await restart(fleet)
        # The others still ping it.
        await asyncio.sleep(5)
        self.assertThat(target.node.has_config, Is(True))
        await target.beat(sequence=2)
        self.assertThat(target.is_offered, Is(False))

    def test_told_before_any_heartbeat(self) -> None:
        run_virtual(self._told_first())

    async def _told_first(self) -> None:
        fleet = await silent_fleet()
        target = TargetBeside(fleet.instances[NODE])
        target.node.lifecycle.record_notice(
            ttypes.TargetNotice(target.name, 0, None, is_leaving=True)
        )
        await target.beat()
        self.assertThat(target.is_offered, Is(False))


class AcknowledgementTest(TestCase):
    """A departure is acknowledged once it is kept."""

    def test_log_unavailable(self) -> None:
        run_virtual(self._unavailable())

    async def _unavailable(self) -> None:
        fleet = await silent_fleet()
        target = TargetBeside(fleet.instances[NODE])
        await target.beat()
        fleet.log.is_down = True
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        self.assertThat(await target.leave(), Equals(UNAVAILABLE))
        # A target waits for an acknowledgement for a second.
        self.assertThat(loop.time() - sent_at, LessThan(1))
        self.assertThat(target.is_offered, Is(False))
        fleet.log.is_down = False
        await asyncio.sleep(3)
        self.assertThat(await target.leave(), Equals(ACKNOWLEDGED))
        target = await restart(fleet)
        await asyncio.sleep(0.5)
        await target.beat(sequence=2)
        self.assertThat(target.is_offered, Is(False))

    def test_many_departures(self) -> None:
        run_virtual(self._many())

    async def _many(self) -> None:
        fleet = await silent_fleet()
        instance = fleet.instances[NODE]
        first = TargetBeside(instance)
        await first.beat()
        for number in range(MAX_DEPARTURES):
            statuses = {
                await TargetBeside(instance, name=f'i-{number}').leave()
                for _ in range(2)
            }
            self.assertThat(statuses, Equals({ACKNOWLEDGED}))
        # There is no room for another one, so it is not acknowledged.
        self.assertThat(await first.leave(), Equals(UNAVAILABLE))
        self.assertThat(first.is_offered, Is(False))
        late = TargetBeside(instance, name='i-0')
        await late.beat()
        self.assertThat(late.is_offered, Is(False))

    def test_next_instance_at_the_same_address(self) -> None:
        run_virtual(self._next_instance())

    async def _next_instance(self) -> None:
        fleet = await silent_fleet()
        instance = fleet.instances[NODE]
        departing = TargetBeside(instance)
        await departing.beat()
        following = TargetBeside(instance, name='i-next')
        await asyncio.gather(departing.leave(), following.beat())
        await departing.beat(sequence=2)
        self.assertThat(following.is_offered, Is(True))


class LeavingNodeTest(TestCase):
    """A node that leaves before it has heard of its target.

    Guards against a gate that opens when the first heartbeat comes after the
    order to close it.
    """

    def test_first_heartbeat_while_the_node_leaves(self) -> None:
        run_virtual(self._leave())

    async def _leave(self) -> None:
        fleet = await silent_fleet()
        target = TargetBeside(fleet.instances[NODE])
        loop = asyncio.get_running_loop()
        runs_end_at = loop.time() + 3
        target.node.lifecycle.close_gate(runs_end_at)
        await asyncio.sleep(1)
        await target.beat()
        current = target.node.lifecycle.current
        assert current is not None
        self.assertThat(current.gate.closes_at, LessThan(loop.time()))
        self.assertThat(current.gate.runs_end_at, Equals(runs_end_at))


class RecordTest(TestCase):
    """The records of departures on the log."""

    def test_deleted_in_time(self) -> None:
        run_virtual(self._expire())

    async def _expire(self) -> None:
        fleet = await silent_fleet()
        await TargetBeside(fleet.instances[NODE]).leave()
        self.assertThat(await self._count(fleet), Equals(1))
        await asyncio.sleep(KEPT_FOR_S / 2)
        self.assertThat(await self._count(fleet), Equals(1))
        await asyncio.sleep(KEPT_FOR_S)
        self.assertThat(await self._count(fleet), Equals(0))

    def test_deleted_with_the_node(self) -> None:
        run_virtual(self._absent())

    async def _absent(self) -> None:
        fleet = await silent_fleet(count=3)
        await TargetBeside(fleet.instances[NODE]).leave()
        await fleet.kill(NODE)
        await asyncio.sleep(REJOIN_INTERVAL_S * (MAX_MISSED_READS + 2) * 1.25)
        self.assertThat(await self._count(fleet), Equals(0))

    def test_written_again_after_a_loss(self) -> None:
        run_virtual(self._older_copy())

    async def _older_copy(self) -> None:
        fleet = await silent_fleet()
        copy = fleet.log.snapshot()
        await TargetBeside(fleet.instances[NODE]).leave()
        await fleet.drill(copy, away_s=1)
        await asyncio.sleep(10)
        self.assertThat(await self._count(fleet), Equals(1))

    async def _count(self, fleet: MeshFleet) -> int:
        return len((await fleet.log.newest(DEPARTURES_STREAM)).records)
