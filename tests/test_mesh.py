"""Nodes with prefix routes: requests, leaving, configuration, recovery."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan
from testtools.testcase import ExpectedException

from filbertdrift.configwatch import LONG_POLL_S
from filbertdrift.errors import RequestNotRun, RequestUnknown
from filbertdrift.link import PeerLink
from filbertdrift.network_memory import MemoryNetwork
from standins.mesh_fleet import MeshFleet, config_document, target_scripts
from standins.scripted_target import TargetScript
from tests.builders import run_virtual


async def settled_fleet(
    seed: int = 1,
    domains: str = 'aabbcc',
    **routes: dict[str, object],
) -> MeshFleet:
    """Return a fleet with a desk target in each domain named, configured."""
    fleet = MeshFleet(seed)
    await fleet.publish(config_document(**routes))
    for domain in domains:
        await fleet.add(domain, 'desk')
    await fleet.wait_until_in_force(1, 5)
    await asyncio.sleep(3)
    return fleet


async def _ignore(*_: object) -> None:
    """Serve a connection that never answers."""
    await asyncio.sleep(3600)


class RequestTest(TestCase):
    """What becomes of one request."""

    def test_answered_whole(self) -> None:
        run_virtual(self._answered())

    async def _answered(self) -> None:
        fleet = await settled_fleet()
        answer = await fleet.call('a-0:7000')
        self.assertThat(answer.status, Equals(200))
        self.assertThat(answer.first_part.chunk, Equals(b'whole'))
        answer.close()
        self.assertThat(sum(fleet.runs().values()), Equals(1))

    def test_refused_by_target_goes_elsewhere(self) -> None:
        run_virtual(self._refused())

    async def _refused(self) -> None:
        fleet = await settled_fleet(seed=2)
        for instance in list(fleet.instances.values())[:1]:
            instance.script.refuses = True
        for _ in range(20):
            answer = await fleet.call('a-0:7000', '/write/1')
            answer.close()
            self.assertThat(answer.status, Equals(200))

    def test_lost_answer_of_a_write_is_not_repeated(self) -> None:
        run_virtual(self._lost_write())

    async def _lost_write(self) -> None:
        fleet = await settled_fleet(seed=3)
        for script in target_scripts(fleet, 'desk'):
            script.truncates = True
        for _ in range(5):
            try:
                await fleet.call('a-0:7000', '/write/1')
            except RequestUnknown:
                continue
            self.fail('a truncated answer was passed on')
        self.assertThat(max(fleet.runs().values()), Equals(1))

    def test_lost_answer_of_a_read_is_repeated_once(self) -> None:
        run_virtual(self._lost_read())

    async def _lost_read(self) -> None:
        fleet = await settled_fleet(seed=4)
        for script in target_scripts(fleet, 'desk'):
            script.truncates = True
        try:
            await fleet.call('a-0:7000', '/read/1')
        except RequestUnknown:
            self.assertThat(max(fleet.runs().values()), Equals(2))
            return
        self.fail('a truncated answer was passed on')

    def test_refused_after_a_lost_answer_is_unknown(self) -> None:
        run_virtual(self._lost_then_refused())

    async def _lost_then_refused(self) -> None:
        fleet = await settled_fleet(seed=20, domains='ab')
        first, second = target_scripts(fleet, 'desk')
        first.truncates = True
        second.refuses = True
        with ExpectedException(RequestUnknown):
            await fleet.call('a-0:7000', '/read/1')
        self.assertThat(len(first.run_times), Equals(1))

    def test_stray_answer_is_skipped(self) -> None:
        run_virtual(self._stray())

    async def _stray(self) -> None:
        fleet = await settled_fleet(seed=5)
        for script in target_scripts(fleet, 'desk'):
            script.stray_responses = 1
        answer = await fleet.call('a-0:7000', '/write/1')
        answer.close()
        self.assertThat(answer.status, Equals(200))
        self.assertThat(max(fleet.runs().values()), Equals(1))

    def test_success_without_seal_is_no_answer(self) -> None:
        run_virtual(self._spoiled(TargetScript(has_signature=False)))

    def test_encoded_success_is_no_answer(self) -> None:
        run_virtual(self._spoiled(TargetScript(encoding='gzip')))

    async def _spoiled(self, script: TargetScript) -> None:
        fleet = MeshFleet(6)
        await fleet.publish(config_document())
        await fleet.add('a', 'desk', script)
        await asyncio.sleep(3)
        try:
            await fleet.call('a-0:7000', '/write/1')
        except RequestUnknown:
            return
        self.fail('a spoiled answer was passed on')

    def test_deadline_shrinks_on_the_way(self) -> None:
        run_virtual(self._deadline())

    async def _deadline(self) -> None:
        fleet = await settled_fleet(seed=7)
        answer = await fleet.call('a-0:7000', timeout_s=0.5)
        answer.close()
        told = [
            left_ms
            for script in target_scripts(fleet, 'desk')
            for left_ms in script.deadlines_ms
        ]
        self.assertThat(max(told), LessThan(501))
        self.assertThat(min(told), GreaterThan(450))


class PoisonTest(TestCase):
    """Requests that crash the targets that run them."""

    def test_stopped_on_all_nodes_after_two_crashes(self) -> None:
        run_virtual(self._poison())

    async def _poison(self) -> None:
        fleet = await settled_fleet(seed=19)
        for script in target_scripts(fleet, 'desk'):
            script.crashes_on = 'poison'
        loop = asyncio.get_running_loop()
        for _ in range(2):
            began = loop.time()
            with ExpectedException(RequestUnknown):
                await fleet.call('a-0:7000', '/write/poison')
            # Its caller does not wait until the crash is certain.
            self.assertThat(loop.time() - began, LessThan(0.5))
            await asyncio.sleep(1.5)
        for address in fleet.instances:
            with ExpectedException(RequestNotRun):
                await fleet.call(address, '/write/poison')
        down = [
            script
            for script in target_scripts(fleet, 'desk')
            if not script.is_up
        ]
        self.assertThat(len(down), Equals(2))


class LeavingTest(TestCase):
    """A target that leaves gets no new work, whoever lags."""

    def test_no_work_after_acknowledgement(self) -> None:
        run_virtual(self._leave())

    async def _leave(self) -> None:
        fleet = await settled_fleet(seed=8)
        leaving = fleet.instances['a-1:7000']
        calls = asyncio.ensure_future(self._keep_calling(fleet))
        await asyncio.sleep(1)
        # The other nodes hear nothing of it.
        fleet.fabric.loss = 1.0
        fleet.send_heartbeat(leaving, is_draining=True)
        acknowledged_at = asyncio.get_running_loop().time()
        await asyncio.sleep(4)
        answered, refused = await calls
        last_run_at = max(leaving.script.run_times)
        self.assertThat(last_run_at - acknowledged_at, LessThan(1.0))
        self.assertThat(refused, Equals(0))
        self.assertThat(answered, GreaterThan(200))

    async def _keep_calling(self, fleet: MeshFleet) -> tuple[int, int]:
        answered = 0
        refused = 0
        for number in range(300):
            address = list(fleet.instances)[number % 6]
            try:
                answer = await fleet.call(address, f'/write/{number}')
            except RequestNotRun:
                refused += 1
            else:
                answer.close()
                answered += 1
            await asyncio.sleep(0.01)
        return answered, refused

    def test_leaving_holds_for_a_restarted_node(self) -> None:
        run_virtual(self._restarted())

    async def _restarted(self) -> None:
        fleet = await settled_fleet(seed=18, domains='a')
        fleet.send_heartbeat(fleet.instances['a-0:7000'], is_draining=True)
        instance = await fleet.kill('a-0:7000')
        found = await fleet.restart(instance)
        assert found.heartbeat_task is not None
        found.heartbeat_task.cancel()
        await asyncio.sleep(2)
        fleet.send_heartbeat(found, is_draining=True)
        runs = len(found.script.run_times)
        with ExpectedException(RequestNotRun):
            await fleet.call('a-0:7000', '/write/1')
        self.assertThat(len(found.script.run_times), Equals(runs))

    def test_late_heartbeat_brings_nothing_back(self) -> None:
        run_virtual(self._late_beat())

    async def _late_beat(self) -> None:
        fleet = await settled_fleet(seed=9, domains='ab')
        instance = fleet.instances['a-0:7000']
        lifecycle = instance.node.lifecycle
        fleet.send_heartbeat(instance, is_draining=True)
        fleet.send_heartbeat(instance)
        assert lifecycle.current is not None
        self.assertThat(lifecycle.current.is_leaving, Equals(True))
        instance.born_ms += 5
        fleet.send_heartbeat(instance)
        self.assertThat(lifecycle.current.is_leaving, Equals(False))
        instance.born_ms -= 5
        fleet.send_heartbeat(instance)
        self.assertThat(
            lifecycle.current.heartbeat.born_ms,
            Equals(instance.born_ms + 5),
        )


class ConfigTest(TestCase):
    """A configuration reaches every node, whoever can read the log."""

    def test_reaches_nodes_that_the_log_turns_away(self) -> None:
        run_virtual(self._turned_away())

    async def _turned_away(self) -> None:
        fleet = await settled_fleet(seed=10)
        for address in ('a-0:7000', 'a-1:7000', 'b-0:7000', 'b-1:7000'):
            fleet.instances[address].log.is_partitioned = True
        await fleet.publish(config_document(version=5))
        self.assertThat(await fleet.wait_until_in_force(5, 5), LessThan(2))

    def test_never_goes_back(self) -> None:
        run_virtual(self._back())

    async def _back(self) -> None:
        fleet = await settled_fleet(seed=11)
        await fleet.publish(config_document(version=9))
        await fleet.wait_until_in_force(9, 2)
        await fleet.publish(config_document(version=7))
        await asyncio.sleep(2)
        self.assertThat(set(fleet.versions().values()), Equals({9}))

    def test_route_to_an_unknown_service_is_refused(self) -> None:
        run_virtual(self._dangling())

    async def _dangling(self) -> None:
        fleet = await settled_fleet(seed=14)
        dangling = config_document(version=6, read={'service': 'nowhere'})
        await fleet.publish(config_document(version=5))
        await fleet.publish(dangling)
        await fleet.wait_until_in_force(5, 3)
        await asyncio.sleep(2)
        self.assertThat(set(fleet.versions().values()), Equals({5}))
        (await fleet.call('a-0:7000')).close()

    def test_history_dropped(self) -> None:
        run_virtual(self._dropped())

    async def _dropped(self) -> None:
        fleet = await settled_fleet(seed=12)
        fleet.log.is_down = True
        await asyncio.sleep(1)
        fleet.log.is_down = False
        await fleet.publish(config_document(version=3))
        fleet.log.expire('keyed.op')
        self.assertThat(await fleet.wait_until_in_force(3, 5), LessThan(3))

    def test_slow_peer_does_not_hold_up_the_fetch(self) -> None:
        run_virtual(self._slow_peer())

    async def _slow_peer(self) -> None:
        """Pattern: the way to the first peer that is asked is choked."""
        fleet = await settled_fleet(seed=23, domains='ab')
        node = fleet.instances['a-0:7000'].node
        fleet.instances['a-0:7000'].log.is_partitioned = True
        fleet.fabric.freeze('stuck:7000')
        await MemoryNetwork(fleet.fabric, 'stuck:7000').start(_ignore, _ignore)
        node.exchange.compare('stuck:7000', 7, b'')
        await asyncio.sleep(0.1)
        await fleet.publish(config_document(version=7))
        loop = asyncio.get_running_loop()
        began = loop.time()
        while node.holder.version < 7:
            await asyncio.sleep(0.05)
            node.exchange.compare('b-0:7000', 7, b'')
        self.assertThat(loop.time() - began, LessThan(0.6))

    def test_watchers_that_leave_are_replaced(self) -> None:
        run_virtual(self._leaving_watchers())

    async def _leaving_watchers(self) -> None:
        fleet = await settled_fleet(seed=21, domains='aaaa')
        # Nodes that watched until they knew the others end their last poll.
        await asyncio.sleep(LONG_POLL_S + 1)
        for instance in fleet.instances.values():
            if instance.node.watch.is_watcher():
                instance.node.lifecycle.is_node_leaving = True
                instance.node.lifecycle.announce_status()
                instance.log.is_partitioned = True
        await asyncio.sleep(0.1)
        await fleet.publish(config_document(version=6))
        self.assertThat(await fleet.wait_until_in_force(6, 5), LessThan(2))

    def test_storm_is_read_by_its_newest(self) -> None:
        run_virtual(self._storm())

    async def _storm(self) -> None:
        """Pattern: large documents in quick succession on narrow links."""
        fleet = await settled_fleet(seed=22, domains='ab')
        before = fleet.log.counters.bytes_read
        filler = {'path_prefix': '/filler/' + 'x' * 60_000 + '/'}
        for version in range(10, 40):
            await fleet.publish(config_document(version, filler=filler))
            await asyncio.sleep(0.02)
        await fleet.wait_until_in_force(39, 3)
        read = fleet.log.counters.bytes_read - before
        # Two watchers, 0.6 s of storm: of 30 documents each reads some four
        # times the first one it sees and the newest.
        self.assertThat(read, LessThan(2 * 10 * 61_000))


class SilentTest(TestCase):
    """Connections that went silent, and nodes that are gone."""

    def test_reads_leave_a_silent_connection_soon(self) -> None:
        run_virtual(self._silent())

    async def _silent(self) -> None:
        fleet = await settled_fleet(seed=15, domains='aaa')
        for _ in range(10):
            answer = await fleet.call('a-0:7000')
            answer.close()
        fleet.fabric.silence('a-1:7000')
        loop = asyncio.get_running_loop()
        for _ in range(10):
            began = loop.time()
            answer = await fleet.call('a-0:7000', timeout_s=5)
            answer.close()
            self.assertThat(loop.time() - began, LessThan(1.0))

    def test_idle_connection_is_not_suspect(self) -> None:
        run_virtual(self._idle())

    async def _idle(self) -> None:
        """Work comes to a connection that was quiet and is well."""
        fleet = await settled_fleet(seed=17, domains='aa')
        for script in target_scripts(fleet, 'desk'):
            script.work_s = 0.6
        links = fleet.instances['a-0:7000'].node.links
        link = await links.link('a-1:7000')
        for _ in range(30):
            await asyncio.sleep(0.93)
            call = link.begin()
            for _ in range(30):
                now = asyncio.get_running_loop().time()
                self.assertThat(link.is_suspect(now), Equals(False))
                await asyncio.sleep(0.02)
            link.end(call)

    def test_connection_that_ends_as_it_opens(self) -> None:
        run_virtual(self._ends_at_once())

    async def _ends_at_once(self) -> None:
        fleet = await settled_fleet(seed=24, domains='aa')
        links = fleet.instances['a-0:7000'].node.links
        opened = links.link

        async def ending(peer: str) -> PeerLink:
            link = await opened(peer)
            link.close('ended')
            return link

        for peer in fleet.instances:
            (await opened(peer)).close('ended')
        links.link = ending  # type: ignore[method-assign]
        with ExpectedException(RequestNotRun):
            await fleet.call('a-0:7000', '/write/1')

    def test_dead_instance_costs_one_connect(self) -> None:
        run_virtual(self._dead())

    async def _dead(self) -> None:
        fleet = await settled_fleet(seed=16, domains='aaa')
        fleet.fabric.cut(['a-1:7000'], ['a-0:7000', 'a-2:7000'])
        loop = asyncio.get_running_loop()
        began = loop.time()
        calls = [fleet.call('a-0:7000', timeout_s=5) for _ in range(30)]
        for answer in await asyncio.gather(*calls):
            answer.close()
        self.assertThat(loop.time() - began, LessThan(1.5))


class RecoveryTest(TestCase):
    """Nodes that come back serve soon."""

    def test_everything_killed(self) -> None:
        run_virtual(self._herd())

    async def _herd(self) -> None:
        fleet = await settled_fleet(seed=13)
        killed = [
            await fleet.kill(address) for address in list(fleet.instances)
        ]
        await asyncio.sleep(1)
        for instance in killed:
            await fleet.restart(instance)
        await asyncio.sleep(4)
        answer = await fleet.call('b-0:7000')
        answer.close()
        self.assertThat(answer.status, Equals(200))

    def test_restarts_while_the_log_is_down(self) -> None:
        run_virtual(self._log_down())

    async def _log_down(self) -> None:
        fleet = await settled_fleet(seed=14)
        instance = await fleet.kill('a-0:7000')
        fleet.log.is_down = True
        await asyncio.sleep(1)
        await fleet.restart(instance)
        await asyncio.sleep(8)
        answer = await fleet.call('a-0:7000')
        answer.close()
        self.assertThat(answer.status, Equals(200))
