"""Requests around a planned stop of a node, over real sockets."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from loguru import logger
from testtools import TestCase
from testtools.matchers import (
    Contains,
    EndsWith,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    StartsWith,
)

from standins.mesh_fleet import config_document
from tests.socket_mesh import (
    HOST,
    PIECE_BYTES,
    SocketMesh,
    request,
    socket_mesh,
)

GRACE_S = 3.0
# Callers know of the stop by then.
LATE_S = 1.7
# Only in the last sixth of the grace may a request be cut.
LAST_SIXTH_S = GRACE_S * 5 / 6
# A response of the node itself, or of a target that works for 0.1 s.
RESPONSE_S = 0.3
# A node ends all requests at 2.5 s and cuts responses at 2.69 s.
LAST_PARTS_S = (2.58, 2.59, 2.6, 2.61)
LONG_TIMES = {'timeout_s': 30.0}
LONG = 'deadline-ms: 20000'


def long_request(body: bytes = b'') -> bytes:
    """Return a request whose deadline comes after the end of the node."""
    raw = request('/write/x', body, keep=True)
    return raw.replace(b'deadline-ms: 2000', LONG.encode())


@asynccontextmanager
async def stopping_mesh(
    work_s: float = 0.1, pieces: int = 0
) -> AsyncIterator[SocketMesh]:
    """Start a node that can be stopped, with routes of a long timeout.

    The target is beside another node, which goes on.
    """
    document = config_document(read=LONG_TIMES, write=LONG_TIMES)
    async with socket_mesh(
        document=document,
        grace_s=GRACE_S,
        work_s=work_s,
        pieces=pieces,
        target_elsewhere=True,
    ) as mesh:
        yield mesh


async def stop(mesh: SocketMesh) -> None:
    """Stop the node as the process does after SIGTERM."""
    await mesh.node.drain()
    await mesh.node.stop()


async def send_late(
    mesh: SocketMesh, raw: bytes, early_bytes: int = 4
) -> bytes:
    """Send the end of a request late in a stop; return its response.

    Args:
        mesh: The node, which is stopped meanwhile.
        raw: The request.
        early_bytes: How much of it is sent before the stop. New connections
            are not accepted any more when callers can know of the stop.
    """
    reader, writer = await asyncio.open_connection(HOST, mesh.caller_port)
    writer.write(raw[:early_bytes])
    await asyncio.sleep(0.1)
    stopping = asyncio.ensure_future(stop(mesh))
    await asyncio.sleep(LATE_S)
    writer.write(raw[early_bytes:])
    try:
        return await asyncio.wait_for(reader.read(), RESPONSE_S)
    finally:
        await stopping
        writer.close()


class LateRequestTest(TestCase):
    """Requests that come when callers can know that the node stops."""

    # LOST: they were passed on with a shorter deadline and cut at the end of
    # the grace, among them some that may run once only.
    def test_one_that_may_outlast_the_node_is_refused_at_once(self) -> None:
        asyncio.run(self._refused())

    async def _refused(self) -> None:
        lines: list[dict[str, object]] = []
        sink = logger.add(lambda message: lines.append(message.record['extra']))
        self.addCleanup(logger.remove, sink)
        async with stopping_mesh(work_s=60) as mesh:
            response = await send_late(mesh, long_request())
            self.assertThat(response, StartsWith(b'HTTP/1.1 503 '))
            self.assertThat(response, Contains(b'retry-after: 0.1'))
            self.assertThat(response, Contains(b'connection: close'))
            self.assertThat(mesh.received, HasLength(0))
        statuses = [
            line['status'] for line in lines if line.get('event') == 'rejected'
        ]
        self.assertThat(statuses, Equals([503]))

    # Guards against refusals of requests that end in time in any case.
    def test_one_that_ends_before_the_node_is_served(self) -> None:
        asyncio.run(self._served())

    async def _served(self) -> None:
        async with stopping_mesh() as mesh:
            raw = request().replace(b'deadline-ms: 2000', b'deadline-ms: 500')
            response = await send_late(mesh, raw)
            self.assertThat(response, StartsWith(b'HTTP/1.1 200 '))
            self.assertThat(_deadline_ms(mesh), GreaterThan(450))

    # LOST: a body that came late made a request reach its target late.
    def test_one_whose_body_comes_late_is_refused(self) -> None:
        asyncio.run(self._late_body())

    async def _late_body(self) -> None:
        async with stopping_mesh(work_s=60) as mesh:
            raw = long_request(b'body')
            response = await send_late(mesh, raw, early_bytes=len(raw) - 2)
            self.assertThat(response, StartsWith(b'HTTP/1.1 503 '))
            self.assertThat(mesh.received, HasLength(0))


class EarlyRequestTest(TestCase):
    """Requests that came before callers could know that the node stops."""

    # LOST: the node shortened their deadline, at which targets give up.
    def test_deadline_is_not_shortened(self) -> None:
        asyncio.run(self._unshortened())

    async def _unshortened(self) -> None:
        async with stopping_mesh() as mesh:
            stopping = asyncio.ensure_future(stop(mesh))
            await asyncio.sleep(0.1)
            response = await mesh.send(long_request())
            self.assertThat(response, StartsWith(b'HTTP/1.1 200 '))
            self.assertThat(_deadline_ms(mesh), GreaterThan(19_000))
            await stopping

    # LOST: with a short grace, they were cut before its last sixth.
    def test_response_until_the_last_sixth_is_delivered(self) -> None:
        asyncio.run(self._last_sixth())

    async def _last_sixth(self) -> None:
        async with stopping_mesh(work_s=LAST_SIXTH_S - 0.1) as mesh:
            sending = asyncio.ensure_future(mesh.send(long_request()))
            await asyncio.sleep(0)
            await stop(mesh)
            self.assertThat(await sending, StartsWith(b'HTTP/1.1 200 '))

    # LOST: a response on its way was cut 0.6 s before the end of the grace.
    def test_response_on_its_way_may_use_the_last_sixth(self) -> None:
        asyncio.run(self._on_its_way())

    async def _on_its_way(self) -> None:
        async with stopping_mesh(work_s=LAST_SIXTH_S / 4, pieces=4) as mesh:
            sending = asyncio.ensure_future(mesh.send(long_request()))
            await asyncio.sleep(0)
            await stop(mesh)
            response = await sending
            self.assertThat(response, EndsWith(b'p'))
            self.assertThat(len(response), GreaterThan(4 * PIECE_BYTES))

    # Guards against an early end: it is the one case in which a node may put
    # its own response in the place of one of a target at work.
    def test_run_that_outlasts_the_node_gets_a_response(self) -> None:
        asyncio.run(self._outlasting())

    async def _outlasting(self) -> None:
        async with stopping_mesh(work_s=60) as mesh:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            sending = asyncio.ensure_future(mesh.send(long_request()))
            stopping = asyncio.ensure_future(stop(mesh))
            response = await sending
            self.assertThat(response, StartsWith(b'HTTP/1.1 502 '))
            took_s = loop.time() - started_at
            self.assertThat(took_s, GreaterThan(LAST_SIXTH_S))
            self.assertThat(took_s, LessThan(GRACE_S))
            await stopping


class UnreadRequestTest(TestCase):
    """Requests that are not whole when the node ends all requests."""

    # A connection ended without a response, so its caller could not know that
    # the request had not run.
    def test_unfinished_body_gets_a_response(self) -> None:
        raw = long_request(b'body')[:-2]
        response = asyncio.run(self._unread(raw))
        self.assertThat(response, StartsWith(b'HTTP/1.1 503 '))
        self.assertThat(response, Contains(b'connection: close'))

    def test_unfinished_head_gets_a_response(self) -> None:
        response = asyncio.run(self._unread(long_request()[:-4]))
        self.assertThat(response, StartsWith(b'HTTP/1.1 408 '))
        self.assertThat(response, Contains(b'connection: close'))

    # LOST: the connection of an upload was reset, with the response that had
    # just been written, while its caller went on sending.
    def test_body_that_still_comes_gets_a_response(self) -> None:
        response = asyncio.run(self._still_coming())
        self.assertThat(response, StartsWith(b'HTTP/1.1 503 '))

    async def _still_coming(self) -> bytes:
        async with stopping_mesh() as mesh:
            reader, writer = await asyncio.open_connection(
                HOST, mesh.caller_port
            )
            loop = asyncio.get_running_loop()
            writer.write(long_request(b'long body')[:-6])
            started_at = loop.time()
            stopping = asyncio.ensure_future(stop(mesh))
            for part_s in LAST_PARTS_S:
                await asyncio.sleep(started_at + part_s - loop.time())
                writer.write(b'x')
            await stopping
            # The caller reads when it has sent all.
            try:
                return await reader.read()
            except OSError as exc:
                return repr(exc).encode()

    async def _unread(self, raw: bytes) -> bytes:
        async with stopping_mesh() as mesh:
            sending = asyncio.ensure_future(mesh.send(raw))
            await asyncio.sleep(0.1)
            await stop(mesh)
            self.assertThat(mesh.received, HasLength(0))
            return await sending


def _deadline_ms(mesh: SocketMesh) -> int:
    """Return the deadline that the target was told last."""
    for line in mesh.received[-1].lower().split(b'\r\n'):
        if line.startswith(b'deadline-ms:'):
            return int(line.split(b':')[1])
    raise AssertionError('no deadline')
