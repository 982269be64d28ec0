"""The ingress of a node with prefix routes, over real sockets."""

import asyncio
import socket

from loguru import logger
from testtools import TestCase
from testtools.matchers import Contains, Equals, LessThan, StartsWith

from filbertdrift.configwatch import LONG_POLL_S
from filbertdrift.errors import RequestNotRun
from filbertdrift.routed import RoutedRequest, RoutedResponse
from filbertdrift.stopping.plan import plan_stop
from tests.socket_mesh import HOST, TARGET_WORK_S, request, socket_mesh

# How long a change may take to be in force.
CONFIG_APPLY_S = 2.0
# With half of it left, a node cannot wait for all that a route may last.
GRACE_S = 1.0


class InputTest(TestCase):
    """Invalid requests get an error status, valid ones reach the target."""

    def test_statuses(self) -> None:
        asyncio.run(self._statuses())

    async def _statuses(self) -> None:
        limits = {'max_body_bytes': 100, 'max_header_bytes': 1000}
        async with socket_mesh(**limits) as mesh:
            wanted = {
                request(): 200,
                request('/other/x'): 404,
                request(host='other.example'): 404,
                request(body=b'x' * 101): 413,
                request(headers=('x-long: ' + 'x' * 1000,)): 431,
                b'nonsense\r\n\r\n': 400,
            }
            for raw, status in wanted.items():
                response = await mesh.send(raw)
                self.assertThat(response, StartsWith(b'HTTP/1.1 %d ' % status))

    def test_without_configuration(self) -> None:
        asyncio.run(self._unconfigured())

    async def _unconfigured(self) -> None:
        async with socket_mesh(configured=False) as mesh:
            response = await mesh.send(request())
            self.assertThat(response, StartsWith(b'HTTP/1.1 503 '))
            self.assertThat(response, Contains(b'retry-after: 0.'))

    # DENIED: a node without evidence that its configuration is the newest
    # refused requests with 404 and 413, after which callers do not come back.
    def test_outdated_node_refuses_nothing_for_good(self) -> None:
        asyncio.run(self._outdated())

    async def _outdated(self) -> None:
        async with socket_mesh(max_body_bytes=100) as mesh:
            mesh.log.is_down = True
            await asyncio.sleep(CONFIG_APPLY_S + LONG_POLL_S)
            for raw in (request('/other/x'), request(body=b'x' * 101)):
                response = await mesh.send(raw)
                self.assertThat(response, StartsWith(b'HTTP/1.1 503 '))
                self.assertThat(response, Contains(b'retry-after: 0.'))
            # What the configuration allows is served.
            self.assertThat(
                await mesh.send(request()), StartsWith(b'HTTP/1.1 200 ')
            )
            mesh.log.is_down = False
            await asyncio.sleep(CONFIG_APPLY_S)
            response = await mesh.send(request('/other/x'))
            self.assertThat(response, StartsWith(b'HTTP/1.1 404 '))

    # DENIED: refusals left no line, so nothing told which version decided.
    def test_refusals_are_logged_with_the_version(self) -> None:
        asyncio.run(self._refusal_lines())

    async def _refusal_lines(self) -> None:
        lines: list[dict[str, object]] = []
        sink = logger.add(lambda message: lines.append(message.record['extra']))
        self.addCleanup(logger.remove, sink)
        async with socket_mesh(max_body_bytes=100) as mesh:
            await mesh.send(request('/other/x'))
            await mesh.send(request(body=b'x' * 101))
        found = [line for line in lines if line.get('event') == 'rejected']
        self.assertThat([line['status'] for line in found], Equals([404, 413]))
        for line in found:
            self.assertThat(line['request'], Equals('r1'))
            self.assertThat(line['version'], Equals(1))
            self.assertThat(line['heard_ms'], Equals(-1))

    def test_headers_set_by_nodes(self) -> None:
        asyncio.run(self._headers())

    async def _headers(self) -> None:
        async with socket_mesh() as mesh:
            await mesh.send(
                request(headers=('caller-service: forged', 'x-own: 1')),
            )
            sent = mesh.received[0].lower()
            self.assertThat(sent, Contains(b'caller-service: desk\r\n'))
            self.assertThat(sent, Contains(b'expect-instance: i-1\r\n'))
            self.assertThat(sent, Contains(b'x-own: 1\r\n'))
            self.assertThat(sent.count(b'caller-service'), Equals(1))

    def test_chunked_body(self) -> None:
        asyncio.run(self._chunked())

    async def _chunked(self) -> None:
        async with socket_mesh() as mesh:
            body = b'5\r\nhello\r\n0\r\n\r\n'
            raw = request('/write/x', body, ('transfer-encoding: chunked',))
            response = await mesh.send(raw)
            self.assertThat(response, StartsWith(b'HTTP/1.1 200 '))
            self.assertThat(mesh.received[0], Contains(b'\r\n\r\nhello'))


class DisconnectTest(TestCase):
    """The exchange with the target ends when the caller disconnects."""

    def test_closes_target_connection_at_once(self) -> None:
        asyncio.run(self._disconnect())

    async def _disconnect(self) -> None:
        async with socket_mesh() as mesh:
            _, writer = await asyncio.open_connection(HOST, mesh.caller_port)
            writer.write(request())
            await asyncio.sleep(0.1)
            disconnected_at = asyncio.get_running_loop().time()
            writer.close()
            await asyncio.sleep(0.15)
            self.assertThat(len(mesh.closed), Equals(1))
            self.assertThat(mesh.closed[0] - disconnected_at, LessThan(0.1))


class DrainTest(TestCase):
    """Draining completes the requests in progress."""

    def test_requests_in_progress_complete(self) -> None:
        asyncio.run(self._drain())

    async def _drain(self) -> None:
        async with socket_mesh() as mesh:
            upload = b'u' * 500_000
            asked = asyncio.ensure_future(
                mesh.send(request('/write/x', upload)),
            )
            keep_alive_task = asyncio.ensure_future(
                mesh.send(request(keep=True))
            )
            await asyncio.sleep(0.05)
            draining = asyncio.ensure_future(mesh.node.drain())
            await asyncio.sleep(0.05)
            self.assertThat(mesh.node.is_ready, Equals(False))
            for response in await asyncio.gather(asked, keep_alive_task):
                self.assertThat(response, StartsWith(b'HTTP/1.1 200 '))
                self.assertThat(response, Contains(b'connection: close'))
            await draining

    # LOST: a connection that was accepted while the node closed the others was
    # served until the node ended, and then cut.
    def test_connection_accepted_at_the_last_moment(self) -> None:
        asyncio.run(self._last_moment())

    async def _last_moment(self) -> None:
        async with socket_mesh() as mesh:
            entry = mesh.node.entry
            close_idle = entry.close_idle
            ours, theirs = socket.socketpair()
            accepted: list[asyncio.Task[None]] = []

            async def accept() -> None:
                await entry._connect_accepted(theirs)

            def close_and_accept() -> None:
                close_idle()
                if not accepted:
                    accepted.append(asyncio.ensure_future(accept()))

            async def dispatch(routed: RoutedRequest) -> RoutedResponse:
                await asyncio.sleep(TARGET_WORK_S)
                raise RequestNotRun('no room', retry_after_ms=1)

            entry.close_idle = close_and_accept  # type: ignore[method-assign]
            mesh.node.dispatcher.dispatch = dispatch  # type: ignore[method-assign]
            reader, writer = await asyncio.open_connection(sock=ours)
            writer.write(request(keep=True))
            await mesh.node.drain()
            await mesh.node.stop()
            async with asyncio.timeout(1):
                response = await reader.read()
            self.assertThat(response, StartsWith(b'HTTP/1.1 503 '))
            writer.close()


class StoppingTest(TestCase):
    """Responses to the requests that are in progress when a node stops."""

    # LOST: a node that stopped closed the connections of requests that waited.
    def test_waiting_request_is_refused(self) -> None:
        response = asyncio.run(self._interrupted(may_have_run=False))
        self.assertThat(response, StartsWith(b'HTTP/1.1 503 '))
        self.assertThat(response, Contains(b'retry-after: 0.1'))

    def test_request_that_may_have_run_is_not_refused(self) -> None:
        response = asyncio.run(self._interrupted(may_have_run=True))
        self.assertThat(response, StartsWith(b'HTTP/1.1 502 '))

    async def _interrupted(self, *, may_have_run: bool) -> bytes:
        async with socket_mesh() as mesh:

            async def wait(routed: RoutedRequest) -> RoutedResponse:
                routed.req.may_have_run = may_have_run
                return await asyncio.get_running_loop().create_future()

            mesh.node.dispatcher.dispatch = wait  # type: ignore[method-assign]
            sending = asyncio.ensure_future(mesh.send(request()))
            await asyncio.sleep(0.1)
            mesh.node.entry.interrupt()
            return await asyncio.wait_for(sending, 1)

    def test_request_that_runs_may_have_run(self) -> None:
        response = asyncio.run(self._running())
        self.assertThat(response, StartsWith(b'HTTP/1.1 502 '))

    async def _running(self) -> bytes:
        async with socket_mesh() as mesh:
            sending = asyncio.ensure_future(mesh.send(request()))
            await asyncio.sleep(TARGET_WORK_S / 2)
            mesh.node.entry.interrupt()
            return await asyncio.wait_for(sending, 1)

    # LOST: a new request whose target might need longer was passed on and cut.
    # Its promise must hold: it does not reach the target later either.
    def test_new_request_that_may_outlast_the_node_is_not_passed_on(
        self,
    ) -> None:
        asyncio.run(self._refused())

    async def _refused(self) -> None:
        async with socket_mesh() as mesh:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            # The route's timeout is 1 s, more than what is left.
            ordered_at = started_at - GRACE_S
            mesh.node.entry.stop_plan = plan_stop(ordered_at, 1.5 * GRACE_S)
            response = await mesh.send(request())
            self.assertThat(response, StartsWith(b'HTTP/1.1 503 '))
            self.assertThat(response, Contains(b'retry-after: 0.1'))
            self.assertThat(loop.time() - started_at, LessThan(TARGET_WORK_S))
            await asyncio.sleep(TARGET_WORK_S)
            self.assertThat(mesh.received, Equals([]))
