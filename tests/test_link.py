"""Connections between nodes and the calls they carry."""

from testtools import TestCase
from testtools.matchers import Equals, IsInstance

from filbertdrift.gen import ttypes
from filbertdrift.link import LinkPool
from filbertdrift.network_memory import MemoryNetwork
from tests import variants
from tests.builders import run_virtual, small_fleet
from tests.cases import TraceTest


class SilentLinkTest(TraceTest):
    """A silent connection is detected and replaced."""

    def test_replaced(self) -> None:
        self.holds('silent')

    def test_notices_kept_silent_links(self) -> None:
        self.notices('silent', variants.keeps_silent_links)


class DuplicateTest(TestCase):
    """Duplicate frames and requests from before a pause are not run."""

    def test_duplicate_frame_runs_once(self) -> None:
        run_virtual(self._send_twice())

    async def _send_twice(self) -> None:
        fleet = await small_fleet(seed=51)
        gate = fleet.instances['a-0:7000']
        network = MemoryNetwork(fleet.simulator, 'stranger:7000')
        conn = await network.connect('a-0:7000')
        open_message = request_open(gate.identity.generation)
        for _ in range(3):
            await conn.send(7, open_message)
        call_id, response = await conn.receive()
        self.assertThat(call_id, Equals(7))
        self.assertThat(response, IsInstance(ttypes.AnswerOpen))
        await conn.send(7, open_message)
        await conn.send(6, open_message)
        await conn.receive()
        await conn.send(8, ttypes.KeepAlive(reply=False))
        await conn.receive()
        self.assertThat(gate.behaviour.executions['doubled'], Equals(1))

    def test_node_refuses_requests_queued_during_a_pause(self) -> None:
        run_virtual(self._resume())

    async def _resume(self) -> None:
        fleet = await small_fleet(seed=52)
        gate = fleet.instances['a-0:7000']
        network = MemoryNetwork(fleet.simulator, 'stranger:7000')
        links = LinkPool(network)
        gate.node.pause._ticked_at -= 10
        generation = gate.identity.generation
        reply = await links.ask('a-0:7000', request_open(generation), 1e9)
        self.assertThat(reply, IsInstance(ttypes.Refusal))
        self.assertThat(reply.kind, Equals(ttypes.RefusalKind.NOT_RUN))
        self.assertThat(gate.behaviour.executions['doubled'], Equals(0))

    def test_old_generation_is_refused(self) -> None:
        run_virtual(self._old_generation())

    async def _old_generation(self) -> None:
        fleet = await small_fleet(seed=53)
        links = LinkPool(MemoryNetwork(fleet.simulator, 'stranger:7000'))
        reply = await links.ask('a-0:7000', request_open(1), 1e9)
        self.assertThat(reply.kind, Equals(ttypes.RefusalKind.NOT_RUN))


def request_open(generation: int) -> ttypes.RequestOpen:
    """Return the opening message of a request to the service `desk`."""
    return ttypes.RequestOpen(
        method='POST',
        path='/desk/x',
        headers=[ttypes.Header(b'x-request-id', b'doubled')],
        remaining_ms=1000,
        service_name='desk',
        importance=0,
        customer='anna',
        body=b'',
        end=True,
        request_id='doubled',
        refusal_statuses=[],
        generation=generation,
    )
