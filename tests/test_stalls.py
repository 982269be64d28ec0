"""Requests that waited while a node stood still."""

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import uvloop
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan, StartsWith

from filbertdrift.callstream import CallStream
from filbertdrift.errors import PeerUnavailable, RequestNotRun
from filbertdrift.gen import ttypes
from filbertdrift.link import KEEPALIVE_TIMEOUT_S, PeerLink
from filbertdrift.request import IngressRequest, Response
from filbertdrift.target import Exchange
from tests.socket_mesh import SocketMesh, request
from tests.sockets import RunningNode, running_node
from tests.stalled_mesh import (
    connect,
    leave,
    settle,
    stalling_mesh,
    stand_still,
)

# How long work may reach a target after its caller has left.
LEAVE_S = 0.5
STALL_S = 1.2
CALLERS = 5
MANY_CALLERS = 60
# How long the event loop of a busy node takes for a pass.
PASS_S = 0.02
MS_PER_S = 1000
# The timeout of the policy of its route.
LIBRARY_TIMEOUT_S = 3.0
EVENT_LOOPS: tuple[Callable[[Coroutine[Any, Any, None]], object], ...] = (
    asyncio.run,
    uvloop.run,
)


class IngressTest(TestCase):
    """An ingress that stood still counts the age of what it then reads."""

    # GONE: an ingress that had stood still sent on the requests in its sockets
    # whose callers had left, with deadlines that counted from then.
    def test_callers_that_left_on_new_connections(self) -> None:
        for run in EVENT_LOOPS:
            run(self._new_connections())

    async def _new_connections(self) -> None:
        async with stalling_mesh() as mesh:
            for _ in range(CALLERS):
                leave(connect(mesh))
            stand_still(STALL_S)
            await settle()
            self.assertThat(_sent_on(mesh), Equals(1))

    # GONE: as above, on connections that were open before.
    def test_callers_that_left_on_open_connections(self) -> None:
        for run in EVENT_LOOPS:
            run(self._open_connections())

    async def _open_connections(self) -> None:
        async with stalling_mesh() as mesh:
            callers = [connect(mesh) for _ in range(CALLERS)]
            await settle()
            for caller in callers:
                leave(caller)
            stand_still(STALL_S)
            await settle()
            self.assertThat(_sent_on(mesh), Equals(1))

    # GONE: as above with many callers: the event loop of a node accepted one
    # connection in a pass, and the others seemed new when it came to them.
    def test_many_callers_that_left_on_new_connections(self) -> None:
        for run in EVENT_LOOPS:
            run(self._many_connections())

    async def _many_connections(self) -> None:
        async with stalling_mesh() as mesh:
            for _ in range(MANY_CALLERS):
                leave(connect(mesh))
            stand_still(STALL_S)
            await settle()
            self.assertThat(_sent_on(mesh), Equals(1))

    # GONE: connections waited to be accepted by a busy node, one in each pass
    # of its event loop, and their requests seemed new when they were.
    def test_busy_node_accepts_all_that_wait(self) -> None:
        for run in EVENT_LOOPS:
            run(self._busy())

    async def _busy(self) -> None:
        async with stalling_mesh() as mesh:
            working = asyncio.ensure_future(_keep_busy())
            callers = [connect(mesh) for _ in range(MANY_CALLERS)]
            for caller in callers:
                caller.sendall(request())
            await asyncio.sleep(0.3)
            self.assertThat(
                mesh.node.entry.counters.requests, Equals(1 + MANY_CALLERS)
            )
            working.cancel()
            for caller in callers:
                caller.close()

    # GONE: the end of the stream lay behind the body of an upload.
    def test_callers_that_left_after_a_body(self) -> None:
        for run in EVENT_LOOPS:
            run(self._after_a_body())

    async def _after_a_body(self) -> None:
        async with stalling_mesh() as mesh:
            caller = connect(mesh)
            await settle()
            caller.sendall(request('/write/x', b'u' * 50_000))
            caller.close()
            stand_still(STALL_S)
            await settle()
            self.assertThat(_sent_on(mesh), Equals(1))

    # GONE: a target got more time for a request than its caller had left.
    def test_deadline_counts_the_stall(self) -> None:
        for run in EVENT_LOOPS:
            run(self._deadline())

    async def _deadline(self) -> None:
        async with stalling_mesh() as mesh:
            caller = connect(mesh)
            await settle()
            caller.sendall(request())
            stand_still(STALL_S)
            await settle()
            caller.close()
            left_ms = _deadline_ms(mesh.received[0])
            self.assertThat(left_ms, LessThan(2000 - STALL_S * MS_PER_S + 50))
            self.assertThat(left_ms, GreaterThan(0))

    # GONE: a request was run after the deadline of its caller.
    def test_deadline_that_passed_in_the_stall(self) -> None:
        for run in EVENT_LOOPS:
            run(self._passed())

    async def _passed(self) -> None:
        async with stalling_mesh() as mesh:
            caller = connect(mesh)
            await settle()
            raw = request().replace(b'deadline-ms: 2000', b'deadline-ms: 600')
            caller.sendall(raw)
            stand_still(STALL_S)
            await settle()
            response = _receive(caller)
            self.assertThat(response, StartsWith(b'HTTP/1.1 503 '))
            self.assertThat(mesh.received, Equals([]))

    # The age of a request does not include how long its connection was idle.
    def test_idle_connections_are_not_old(self) -> None:
        for run in EVENT_LOOPS:
            run(self._idle())

    async def _idle(self) -> None:
        async with stalling_mesh() as mesh:
            caller = connect(mesh)
            await asyncio.sleep(2)
            caller.sendall(request())
            await settle()
            response = _receive(caller)
            self.assertThat(response, StartsWith(b'HTTP/1.1 200 '))
            left_ms = _deadline_ms(mesh.received[0])
            self.assertThat(left_ms, GreaterThan(1600))

    # GONE: the deadline of a request counted from when the one before it on its
    # connection had ended.
    def test_deadline_counts_the_wait_behind_another_request(self) -> None:
        for run in EVENT_LOOPS:
            run(self._pipelined())

    async def _pipelined(self) -> None:
        async with stalling_mesh(work_s=STALL_S) as mesh:
            caller = connect(mesh)
            caller.sendall(2 * request(keep=True))
            await asyncio.sleep(STALL_S + 0.4)
            caller.close()
            first_ms, second_ms = map(_deadline_ms, mesh.received)
            self.assertThat(second_ms, LessThan(2000 - STALL_S * MS_PER_S + 50))
            self.assertThat(first_ms, GreaterThan(1600))


class LibraryPortTest(TestCase):
    """The port of a node with its own configuration files does so as well."""

    # GONE: the same fault as of the ingress.
    def test_callers_that_left(self) -> None:
        for run in EVENT_LOOPS:
            run(self._left())

    async def _left(self) -> None:
        async with running_node(_serve_nothing) as node:
            forwarded = _record_forwarded(node)
            raw = b'GET /desk/lookup/1 HTTP/1.1\r\nhost: x\r\n\r\n'
            callers = [connect(node) for _ in range(CALLERS)]
            await settle()
            for caller in callers:
                caller.sendall(raw)
                caller.close()
            stand_still(STALL_S)
            await settle()
            self.assertThat(forwarded, Equals([]))

    # GONE: the deadline counted from when the request was read.
    def test_deadline_counts_the_stall(self) -> None:
        for run in EVENT_LOOPS:
            run(self._deadline())

    async def _deadline(self) -> None:
        async with running_node(_serve_nothing) as node:
            forwarded = _record_forwarded(node)
            caller = connect(node)
            await settle()
            caller.sendall(b'GET /desk/lookup/1 HTTP/1.1\r\nhost: x\r\n\r\n')
            stand_still(STALL_S)
            await settle()
            caller.close()
            self.assertThat(forwarded[0], LessThan(LIBRARY_TIMEOUT_S - STALL_S))
            self.assertThat(forwarded[0], GreaterThan(1))


class GateTest(TestCase):
    """A node beside a target that stood still reads before it acts."""

    # GONE: after a standstill, a request that had waited went on to the target
    # before its cancellation was read.
    def test_cancelled_while_it_waited(self) -> None:
        for run in EVENT_LOOPS:
            run(self._cancelled())

    async def _cancelled(self) -> None:
        async with stalling_mesh() as mesh:
            current = mesh.serving.lifecycle.current
            assert current is not None
            link = await mesh.node.links.connect(mesh.serving.network.address)
            call = link.begin()
            opened = _cancel_when_admitted(link, call, current)
            generation = mesh.serving.membership.local_member.generation
            await call.send(_opening(generation))
            await settle()
            self.assertThat(opened, Equals([]))

    # GONE: the same in the nodes with their own configuration files.
    def test_cancelled_while_it_waited_beside_announced_targets(self) -> None:
        for run in EVENT_LOOPS:
            run(self._cancelled_beside_announced())

    async def _cancelled_beside_announced(self) -> None:
        async with running_node(_serve_nothing) as running:
            node = running.node
            announced = node.server.announced
            assert announced is not None
            await settle()
            link = await node.links.connect(node.network.address)
            call = link.begin()
            opened = _cancel_when_admitted(link, call, announced)
            generation = node.membership.local_member.generation
            await call.send(_opening(generation))
            await settle()
            self.assertThat(opened, Equals([]))


class LinkTest(TestCase):
    """A node that stood still reads before it gives up connections."""

    # LOST: the connections on which a keepalive was under way were closed for
    # silence after a standstill, with the requests on them.
    def test_answered_connections_stay(self) -> None:
        for run in EVENT_LOOPS:
            run(self._answered())

    async def _answered(self) -> None:
        async with stalling_mesh() as mesh:
            link = await mesh.node.links.connect(mesh.serving.network.address)
            # A keepalive that is due now.
            link.keep_alive(asyncio.get_running_loop().time() + 5)
            stand_still(2 * KEEPALIVE_TIMEOUT_S + 5)
            await settle()
            self.assertThat(link.is_open, Equals(True))


class _TargetWithGate(Protocol):
    """A target and its gate."""

    gate: Any
    target: Any


def _cancel_when_admitted(
    link: PeerLink, call: CallStream, beside: _TargetWithGate
) -> list[object]:
    """Cancel a call when it is admitted, and stand still before it goes on.

    Returns:
        The list of what is sent to the target.
    """
    opened: list[object] = []
    admit_to_slot = beside.gate.admit

    async def admit(*waiting: object) -> None:
        await admit_to_slot(*waiting)
        link.cancel(call)
        stand_still(STALL_S)

    async def open_exchange(req: object) -> Exchange:
        opened.append(req)
        raise PeerUnavailable('refused', step='connect')

    beside.gate.admit = admit
    beside.target.open_exchange = open_exchange
    return opened


async def _serve_nothing(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.close()


def _record_forwarded(node: RunningNode) -> list[float]:
    """Return the list of the time left of each request that is forwarded."""
    left_s: list[float] = []

    async def forward(
        snapshot: object, route: object, req: IngressRequest
    ) -> Response:
        left_s.append(req.deadline - asyncio.get_running_loop().time())
        raise RequestNotRun('no room', retry_after_ms=1)

    node.node.forward = forward
    return left_s


async def _keep_busy() -> None:
    while True:
        stand_still(PASS_S)
        await asyncio.sleep(0)


def _sent_on(mesh: SocketMesh) -> int:
    """Return how many requests the ingress sent to the other node.

    The first one opened the connection.
    """
    return mesh.node.network.counters.sent_messages['RequestOpen']


def _opening(generation: int) -> ttypes.RequestOpen:
    return ttypes.RequestOpen(
        method='GET',
        path='/read/x',
        headers=[],
        remaining_ms=20_000,
        objective_ms=20_000,
        service_name='desk',
        body=b'',
        end=True,
        request_id='r1',
        route_name='read',
        generation=generation,
        importance=0,
    )


def _deadline_ms(raw: bytes) -> int:
    for line in raw.lower().split(b'\r\n'):
        if line.startswith(b'deadline-ms:'):
            return int(line.split(b':')[1])
    raise AssertionError('no deadline')


def _receive(caller: socket.socket) -> bytes:
    with caller:
        caller.settimeout(1)
        return caller.recv(65_536)
