"""Attempts at a target's node: requests offered before they are sent."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, IsInstance, LessThan
from testtools.testcase import ExpectedException

from filbertdrift.errors import RequestNotRun
from filbertdrift.gen import ttypes
from standins.mesh_fleet import MeshFleet, config_document, target_scripts
from tests.builders import run_virtual

INGRESS = 'a-0:7000'
NEAR = 'a-1:7000'
FAR = 'b-0:7000'
BODY = b'x' * 60_000


async def ingress_and_targets(seed: int) -> MeshFleet:
    """Return a fleet: an ingress node, a nearby target and a remote one."""
    fleet = MeshFleet(seed)
    await fleet.publish(config_document())
    await fleet.add('a', 'other')
    await fleet.add('a', 'desk')
    await fleet.add('b', 'desk')
    await fleet.wait_until_in_force(1, 5)
    await asyncio.sleep(3)
    return fleet


async def write(fleet: MeshFleet, body: bytes = b'') -> int:
    """Send a write through the ingress node and return its status."""
    response = await fleet.call(INGRESS, '/write/1', body=body)
    response.close()
    return response.status


class OfferTest(TestCase):
    """Only a request's head is sent until the gate accepts it."""

    def test_write_leaves_a_silent_connection(self) -> None:
        run_virtual(self._silent())

    async def _silent(self) -> None:
        fleet = await ingress_and_targets(seed=41)
        await write(fleet)
        await asyncio.sleep(1)
        fleet.simulator.cut([INGRESS], [NEAR])
        statuses = await asyncio.gather(*(write(fleet) for _ in range(5)))
        self.assertThat(statuses, Equals([200] * 5))
        self.assertThat(set(fleet.runs().values()), Equals({1}))

    def test_reads_behind_a_waiting_one_cost_no_retries(self) -> None:
        run_virtual(self._reads())

    async def _reads(self) -> None:
        fleet = await ingress_and_targets(seed=47)
        await write(fleet)
        await asyncio.sleep(1)
        fleet.simulator.cut([INGRESS], [NEAR])
        answers = await asyncio.gather(
            *(fleet.call(INGRESS, timeout_s=4) for _ in range(6)),
        )
        for answer in answers:
            answer.close()
        self.assertThat({answer.status for answer in answers}, Equals({200}))
        spent = fleet.instances[INGRESS].node.budget.spent
        self.assertThat(spent, LessThan(2))

    def test_write_offered_to_a_frozen_node_runs_once(self) -> None:
        run_virtual(self._frozen())

    async def _frozen(self) -> None:
        fleet = await ingress_and_targets(seed=42)
        await write(fleet)
        await asyncio.sleep(1)
        fleet.simulator.freeze(NEAR)
        self.assertThat(await write(fleet), Equals(200))
        fleet.simulator.thaw(NEAR)
        await asyncio.sleep(3)
        self.assertThat(set(fleet.runs().values()), Equals({1}))

    def test_refused_upload_keeps_its_body(self) -> None:
        run_virtual(self._refused_upload())

    async def _refused_upload(self) -> None:
        fleet = await ingress_and_targets(seed=43)
        near = fleet.instances[NEAR].node.lifecycle
        near.close_gate()
        await asyncio.sleep(0.5)
        sent = fleet.instances[INGRESS].node.network.counters.sent_bytes
        sent.clear()
        self.assertThat(await write(fleet, BODY), Equals(200))
        self.assertThat(sent.total(), LessThan(1.2 * len(BODY)))
        self.assertThat(target_scripts(fleet, 'desk')[0].arrivals, Equals(0))

    def test_held_back_body_that_never_arrives(self) -> None:
        run_virtual(self._never_sent())

    async def _never_sent(self) -> None:
        fleet = await ingress_and_targets(seed=44)
        instance = fleet.instances[NEAR]
        entry = fleet.instances[INGRESS].node
        link = await entry.links.connect(NEAR)
        call = link.begin()
        await call.send(_offer(instance.identity.generation))
        refusal = await call.receive()
        self.assertThat(refusal, IsInstance(ttypes.Refusal))
        self.assertThat(
            refusal.kind,
            Equals(ttypes.RefusalKind.NOT_RUN),
        )
        self.assertThat(instance.script.arrivals, Equals(0))
        current = instance.node.lifecycle.current
        assert current is not None
        self.assertThat(current.gate.running, Equals(0))
        self.assertThat(current.gate.incoming, Equals(0))

    def test_rest_on_its_way_holds_no_slot(self) -> None:
        run_virtual(self._slow_rest())

    async def _slow_rest(self) -> None:
        fleet = await ingress_and_targets(seed=46)
        instance = fleet.instances[NEAR]
        current = instance.node.lifecycle.current
        assert current is not None
        link = await fleet.instances[INGRESS].node.links.connect(NEAR)
        calls = [link.begin() for _ in range(current.gate.slots)]
        for call in calls:
            await call.send(_offer(instance.identity.generation))
        await asyncio.sleep(0.1)
        self.assertThat(current.gate.running, Equals(0))
        self.assertThat(current.gate.incoming, Equals(len(calls)))
        response = await fleet.call(NEAR)
        response.close()
        self.assertThat(response.status, Equals(200))

    def test_all_connections_silent(self) -> None:
        run_virtual(self._all_silent())

    async def _all_silent(self) -> None:
        fleet = await ingress_and_targets(seed=45)
        await write(fleet)
        await asyncio.sleep(1)
        fleet.simulator.cut([INGRESS], [NEAR, FAR])
        for _ in range(3):
            with ExpectedException(RequestNotRun):
                await write(fleet)


def _offer(generation: int) -> ttypes.RequestOpen:
    return ttypes.RequestOpen(
        method='POST',
        path='/write/1',
        headers=[],
        remaining_ms=5000,
        service_name='desk',
        importance=1,
        body=b'',
        end=False,
        request_id='held-back',
        fingerprint='',
        generation=generation,
        objective_ms=400,
        route_name='write',
        is_idempotent=False,
        is_offer=True,
    )
