"""Queries of death: requests that crash their targets."""

import asyncio
import contextlib
from random import Random

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from filbertdrift.crashes import CRASHES_TO_BLOCK, CrashLedger
from filbertdrift.crashwatch import CrashWatch
from filbertdrift.errors import FilbertdriftError
from filbertdrift.identity import Identity
from filbertdrift.target import TargetRequest
from standins.mesh_fleet import MeshFleet, config_document
from standins.scripted_target import ScriptedTarget, TargetScript
from tests import variants
from tests.builders import call_status, run_virtual, small_fleet
from tests.cases import TraceTest


class CrashTest(TraceTest):
    """A query of death is refused on all nodes after two crashes."""

    def test_refused_after_two_crashes(self) -> None:
        self.holds('poison')

    def test_detects_unrecorded_crashes(self) -> None:
        self.notices('poison', variants.forgets_crashes)

    def test_detects_blocked_bystanders(self) -> None:
        self.notices('poison', variants.condemns_bystanders)


class CrashSyncTest(TestCase):
    """Lost crash notices are fetched after a heartbeat shows a difference."""

    def test_lost_notices_are_fetched(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=81)
            fleet.simulator.loss = 1.0
            for address in ('a-0:7000', 'b-0:7000'):
                fleet.instances[address].node.crashes.record_crash(['poison'])
            await asyncio.sleep(0.1)
            fleet.simulator.loss = 0
            await asyncio.sleep(8)
            for node in fleet.nodes:
                marked = node.crashes.marked()
                self.assertThat(marked, HasLength(1))
                self.assertTrue(marked[0].is_refused)
            await asyncio.sleep(700)
            for node in fleet.nodes:
                self.assertThat(node.crashes.digest(), Equals(0))

        run_virtual(case())


class RestartTest(TestCase):
    """Notices of a node that has started again."""

    # Peers took the first notices of a restarted node for those of its earlier
    # process, and sent it requests that had crashed its target.
    def test_notices_after_a_restart_are_new(self) -> None:
        run_virtual(self._restarted())

    async def _restarted(self) -> None:
        fleet = MeshFleet(seed=81)
        await fleet.publish(config_document())
        for domain in ('a', 'b', 'c'):
            await fleet.add(domain, 'desk')
        await fleet.wait_until_in_force(1, 5)
        await asyncio.sleep(3)
        for name in ('earlier', 'poison'):
            for address in list(fleet.instances):
                crashes = fleet.instances[address].node.crashes
                crashes.record_crash([name])
                await asyncio.sleep(1)
                await fleet.restart(await fleet.kill(address))
                await asyncio.sleep(5)
        for instance in fleet.instances.values():
            marked = instance.node.crashes.marked()
            counts = {each.name: each.crashes for each in marked}
            self.expectThat(counts, Equals({'earlier': 3, 'poison': 3}))


class QuietTargetTest(TestCase):
    """Crashes of a target with no response between them."""

    # A second crash was not recorded before the target had responded: a
    # request crashed the target of a quiet service each time that it came.
    def test_second_crash_without_a_response_counts(self) -> None:
        run_virtual(self._quiet())

    async def _quiet(self) -> None:
        fleet = MeshFleet(seed=82)
        await fleet.publish(config_document())
        instance = await fleet.add('a', 'desk')
        await fleet.wait_until_in_force(1, 5)
        await asyncio.sleep(3)
        instance.script.crashes_on = 'poison'
        for path in ('/write/poison-1', *['/write/poison'] * 4):
            await call_status(fleet, 'a-0:7000', path, 1)
            await asyncio.sleep(4.5)
            instance.script.is_up = True
            await asyncio.sleep(1)
        counters = instance.node.handover.counters
        self.assertThat(counters.crashes, Equals(1 + CRASHES_TO_BLOCK))
        marked = instance.node.crashes.marked()
        counts = [each.crashes for each in marked]
        self.assertThat(counts, Equals([1, CRASHES_TO_BLOCK]))

    # The same of a target that its own process announces.
    def test_second_crash_of_an_announced_target_counts(self) -> None:
        run_virtual(self._announced())

    async def _announced(self) -> None:
        fleet = await small_fleet(seed=83, per_domain=1)
        instance = next(
            each
            for each in fleet.instances.values()
            if each.service == 'ledger'
        )
        instance.behaviour.crashes_on = 'poison'
        for path in ('/ledger/poison-1', *['/ledger/poison'] * 4):
            with contextlib.suppress(FilbertdriftError):
                await fleet.call('a-0:7000', path, 'POST', timeout_s=1)
            await asyncio.sleep(4.5)
            instance.behaviour.is_up = True
            await asyncio.sleep(1)
        counters = instance.node.server.counters
        self.assertThat(counters.crashes, Equals(1 + CRASHES_TO_BLOCK))

    # Connections that one crash breaks, some of them later, count as one crash.
    def test_connections_of_one_crash_count_once(self) -> None:
        run_virtual(self._once())

    async def _once(self) -> None:
        ledger = CrashLedger(Identity('a-0:7000', 'a', 'one', 1), Random(1))
        watch = CrashWatch(ledger)
        script = TargetScript()
        target = ScriptedTarget('t', script, Random(1))
        request = TargetRequest('GET', '/', [], b'', is_whole=True)
        for name in ('one', 'two'):
            watch.began(name, name, await target.open_exchange(request))
        script.is_up = False
        names = watch.suspect('one')
        self.assertThat(watch.suspect('two'), HasLength(0))
        self.assertThat(await watch.confirm(names, target), Equals(True))
        self.assertThat(watch.suspect('two'), HasLength(0))
        counts = {each.name: each.crashes for each in ledger.marked()}
        self.assertThat(counts, Equals({'one': 1, 'two': 1}))
