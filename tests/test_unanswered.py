"""Each request that a node has read gets a whole response."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from loguru import logger
from testtools import TestCase
from testtools.matchers import (
    Contains,
    EndsWith,
    Equals,
    HasLength,
    LessThan,
    StartsWith,
)

from filbertdrift import callerport
from filbertdrift.accounts.authentication import OutdatedEvidence, UnknownKey
from filbertdrift.errors import STATUS_UNAVAILABLE, RequestNotRun
from filbertdrift.routed import RoutedRequest, RoutedResponse
from filbertdrift.stopping.plan import plan_stop
from standins.mesh_fleet import config_document
from tests.socket_mesh import HOST, SocketMesh, request, socket_mesh
from tests.sockets import RunningNode, running_node

PARTS = 20
PART_BYTES = 0x1000
PAUSE_S = 0.01
BOUND_S = 0.5
# A busy machine runs a task that is due this much later.
SLACK_S = 0.5
GRACE_S = 3.0
# The kernel's buffers of a connection, both together and at their largest.
SOCKET_BYTES = 40_000_000
# The parts of a body arrive in time on a busy machine as well.
UNHURRIED = config_document(write={'timeout_s': 10.0})
SHORT_DEADLINE = 'deadline-ms: 50'
CHUNKED = 'transfer-encoding: chunked'
LENGTH = f'content-length: {PARTS * PART_BYTES}'
CHUNK = b'%x\r\n%s\r\n' % (PART_BYTES, b'u' * PART_BYTES)
IN_CHUNKS = (*([CHUNK] * PARTS), b'0\r\n\r\n')
WITH_LENGTH = (b'u' * PART_BYTES,) * PARTS


async def upload(
    mesh: SocketMesh | RunningNode,
    path: str = '/write/x',
    headers: tuple[str, ...] = (CHUNKED,),
    parts: tuple[bytes, ...] = IN_CHUNKS,
) -> bytes:
    """Send an upload in parts, to its end, and return the response."""
    return await exchange(mesh, (encode_head(path, headers), *parts))


async def exchange(
    mesh: SocketMesh | RunningNode, parts: tuple[bytes, ...]
) -> bytes:
    """Send parts to the last and return the first response, or the error."""
    reader, writer = await asyncio.open_connection(HOST, mesh.caller_port)
    try:
        await send_paced(writer, parts)
        return await read_response(reader)
    except (OSError, asyncio.IncompleteReadError) as exc:
        return repr(exc).encode()
    finally:
        writer.close()


async def send_paced(
    writer: asyncio.StreamWriter, parts: tuple[bytes, ...]
) -> None:
    """Send parts with a pause after each."""
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(PAUSE_S)


def encode_head(path: str, headers: tuple[str, ...]) -> bytes:
    """Return the head of an upload; the given headers go first."""
    lines = [
        f'POST {path} HTTP/1.1',
        'host: desk.example',
        'attempt-id: r1',
        *headers,
    ]
    if not any(line.startswith('deadline-ms') for line in headers):
        lines.append('deadline-ms: 10000')
    return '\r\n'.join([*lines, '', '']).encode()


async def read_response(reader: asyncio.StreamReader) -> bytes:
    """Return one response whose length is stated."""
    head = await reader.readuntil(b'\r\n\r\n')
    for line in head.split(b'\r\n'):
        name, _, text = line.partition(b': ')
        if name == b'content-length':
            return head + await reader.readexactly(int(text))
    return head


def logged(test: TestCase) -> list[Mapping[str, Any]]:
    """Return the list that receives the fields of each log line of a test."""
    lines: list[Mapping[str, Any]] = []
    sink = logger.add(lambda message: lines.append(message.record['extra']))
    test.addCleanup(logger.remove, sink)
    return lines


class UploadTest(TestCase):
    """A response that is final before the body was read arrives whole."""

    # LOST: a node closed the connection of an upload with bytes unread, which
    # reset it and took the response along.
    def test_upload_without_a_route(self) -> None:
        response = asyncio.run(self._without_route())
        self.assertThat(response, StartsWith(b'HTTP/1.1 404 '))

    async def _without_route(self) -> bytes:
        async with socket_mesh() as mesh:
            return await upload(mesh, '/other/x')

    def test_upload_without_room(self) -> None:
        response = asyncio.run(self._without_room())
        self.assertThat(response, StartsWith(b'HTTP/1.1 503 '))

    async def _without_room(self) -> bytes:
        async with socket_mesh(document=UNHURRIED) as mesh:

            async def refuse(routed: RoutedRequest) -> RoutedResponse:
                raise RequestNotRun('no room', retry_after_ms=1)

            mesh.node.dispatcher.dispatch = refuse  # type: ignore[method-assign]
            return await upload(mesh)


@dataclass(frozen=True)
class Ending:
    """A response that is final before the body has been read.

    Args:
        name: Names the case.
        status: Its status.
        path: The path of the upload.
        headers: Further headers of the upload.
        parts: The body in chunks, as it is sent.
        prepare: Makes the node respond so.
        limits: The limits of the configuration.
        is_configured: Whether there is a configuration.
        has_length: Whether it is also sent to uploads of stated length.
    """

    name: str
    status: int
    path: str = '/write/x'
    headers: tuple[str, ...] = ()
    parts: tuple[bytes, ...] = IN_CHUNKS
    prepare: Callable[[SocketMesh], None] = lambda mesh: None
    limits: Mapping[str, Any] = field(default_factory=dict)
    is_configured: bool = True
    has_length: bool = True


def raise_at(
    method: str, exc: Exception, *, is_async: bool = False
) -> Callable[[SocketMesh], None]:
    """Return what lets a method of the handler raise."""

    def fail(*args: object) -> None:
        raise exc

    async def fail_later(*args: object) -> None:
        raise exc

    def prepare(mesh: SocketMesh) -> None:
        setattr(
            mesh.node.entry.handler, method, fail_later if is_async else fail
        )

    return prepare


def end_stop(mesh: SocketMesh) -> None:
    """Let the node be too late in its stop for a request."""
    mesh.node.entry.stop_plan = plan_stop(
        asyncio.get_running_loop().time() - 10, 1
    )


def interrupt_soon(mesh: SocketMesh) -> None:
    """Let the node end the requests that wait, as late in its stop."""
    loop = asyncio.get_running_loop()
    loop.call_later(PARTS * PAUSE_S / 2, mesh.node.entry.interrupt)


def no_room(status: int = STATUS_UNAVAILABLE) -> RequestNotRun:
    """Return the refusal of a request."""
    return RequestNotRun('no room', retry_after_ms=1, status=status)


ENDINGS = (
    Ending('no route', 404, path='/other/x'),
    Ending('body too large', 413, limits={'max_body_bytes': 9000}),
    Ending(
        'body too large for its target',
        413,
        limits={'max_body_bytes': 70_000},
        has_length=False,
    ),
    Ending(
        'unknown key', 401, prepare=raise_at('authenticate', UnknownKey('k'))
    ),
    Ending(
        'account limit',
        429,
        prepare=raise_at('dispatch', no_room(429), is_async=True),
    ),
    Ending(
        'no room', 503, prepare=raise_at('dispatch', no_room(), is_async=True)
    ),
    Ending(
        'outdated accounts',
        503,
        prepare=raise_at(
            'authenticate', OutdatedEvidence('old', retry_after_ms=1)
        ),
    ),
    Ending('no configuration', 503, is_configured=False),
    Ending('late in a stop', 503, prepare=end_stop),
    Ending('stop while the body arrives', 503, prepare=interrupt_soon),
    Ending('slow body', 408, headers=(SHORT_DEADLINE,)),
    Ending(
        'large head',
        431,
        headers=('x: ' + 'a' * 2000,),
        limits={'max_header_bytes': 1000},
    ),
    Ending('very large head', 431, headers=('x: ' + 'a' * 300_000,)),
    Ending(
        'malformed chunk',
        400,
        parts=(*IN_CHUNKS[:5], b'no size\r\n', *IN_CHUNKS[5:]),
        has_length=False,
    ),
    Ending('malformed head', 400, headers=('no colon',)),
)


async def leave(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Close a connection to a target at once."""
    writer.close()


class EndingTest(TestCase):
    """A response arrives whole wherever it ends the connection of an upload."""

    # LOST: as in UploadTest, at every place where the ingress ends an upload.
    def test_uploads_in_chunks(self) -> None:
        for ending in ENDINGS:
            headers = (CHUNKED, *ending.headers)
            asyncio.run(self._check(ending, headers, ending.parts))

    def test_uploads_with_a_length(self) -> None:
        for ending in ENDINGS:
            if ending.has_length:
                headers = (LENGTH, *ending.headers)
                asyncio.run(self._check(ending, headers, WITH_LENGTH))

    async def _check(
        self,
        ending: Ending,
        headers: tuple[str, ...],
        parts: tuple[bytes, ...],
    ) -> None:
        async with socket_mesh(
            configured=ending.is_configured,
            document=UNHURRIED,
            **ending.limits,
        ) as mesh:
            ending.prepare(mesh)
            response = await upload(mesh, ending.path, headers, parts)
        status = f'HTTP/1.1 {ending.status} '.encode()
        self.assertThat(response, StartsWith(status), ending.name)


class LastResponseTest(TestCase):
    """A response that says so is the last, also if more requests were sent."""

    # LOST: a node that closed a connection after a response reset it when the
    # caller had sent its next request, and the response was lost.
    def test_next_request_is_sent_already(self) -> None:
        response = asyncio.run(self._pipelined())
        self.assertThat(response, StartsWith(b'HTTP/1.1 200 '))
        self.assertThat(response, Contains(b'connection: close'))
        self.assertThat(response, EndsWith(b'ok'))

    async def _pipelined(self) -> bytes:
        async with socket_mesh(work_s=0) as mesh:
            mesh.node.entry.is_closing = True
            following = (encode_head('/write/x', (CHUNKED,)), *IN_CHUNKS)
            return await exchange(mesh, (request(keep=True), *following))

    # LOST: as above, on the library's own port.
    def test_next_request_on_the_library_port(self) -> None:
        response = asyncio.run(self._library())
        self.assertThat(response, StartsWith(b'HTTP/1.1 404 '))
        self.assertThat(response, Contains(b'connection: close'))

    async def _library(self) -> bytes:
        async with running_node(leave) as node:
            node.node.callers.is_closing = True
            following = (encode_head('/none/x', (CHUNKED,)), *IN_CHUNKS)
            first = request('/none/x', keep=True)
            return await exchange(node, (first, *following))

    # LOST: as in EndingTest, on the library's own port.
    def test_upload_to_the_library_port(self) -> None:
        response = asyncio.run(self._library_upload())
        self.assertThat(response, StartsWith(b'HTTP/1.1 404 '))

    async def _library_upload(self) -> bytes:
        async with running_node(leave) as node:
            return await upload(node, '/none/x')

    # LOST: as above, where the head of a request is sent too slowly.
    def test_slow_head(self) -> None:
        response = asyncio.run(self._slow_head())
        self.assertThat(response, StartsWith(b'HTTP/1.1 408 '))

    async def _slow_head(self) -> bytes:
        async with socket_mesh(header_timeout_s=PAUSE_S * 5) as mesh:
            begun = encode_head('/write/x', (LENGTH,))[:-2]
            lines = [b'x-%d: 1\r\n' % line for line in range(PARTS)]
            return await exchange(mesh, (begun, *lines, b'\r\n'))


class LingerTest(TestCase):
    """A caller that goes on sending holds nothing beyond the bounds."""

    # Guards against a caller that keeps its connection by never stopping.
    def test_caller_that_never_stops(self) -> None:
        self.patch(callerport, 'LINGER_S', BOUND_S)
        for pause_s in (0, PAUSE_S):
            asyncio.run(self._endless(pause_s))

    async def _endless(self, pause_s: float) -> None:
        async with socket_mesh() as mesh:
            sender = asyncio.ensure_future(send_endlessly(mesh, pause_s))
            while not mesh.node.entry.lingering:
                await asyncio.sleep(PAUSE_S)
            started_at = time.monotonic()
            while not mesh.node.entry.is_empty:
                await asyncio.sleep(PAUSE_S)
            elapsed_s = time.monotonic() - started_at
            self.assertThat(elapsed_s, LessThan(BOUND_S + SLACK_S))
            self.assertThat(mesh.node.entry.lingering, Equals(0))
            await sender

    # Guards against bytes without end at full speed.
    def test_bytes_are_bounded(self) -> None:
        self.patch(callerport, 'LINGER_BYTES', 1_000_000)
        sent_bytes = asyncio.run(self._flood())
        self.assertThat(sent_bytes, LessThan(1_000_000 + SOCKET_BYTES))

    async def _flood(self) -> int:
        async with socket_mesh() as mesh:
            return await send_endlessly(mesh, 0)

    # Guards against a caller that is silent and never closes.
    def test_silent_caller(self) -> None:
        self.patch(callerport, 'LINGER_SILENCE_S', BOUND_S)
        asyncio.run(self._silent())

    async def _silent(self) -> None:
        async with socket_mesh() as mesh:
            reader, writer = await asyncio.open_connection(
                HOST, mesh.caller_port
            )
            writer.write(encode_head('/other/x', (LENGTH,)))
            await read_response(reader)
            await asyncio.sleep(BOUND_S + SLACK_S)
            self.assertThat(mesh.node.entry.is_empty, Equals(True))
            writer.close()

    # Guards against any number of such connections.
    def test_number_is_bounded(self) -> None:
        self.patch(callerport, 'MAX_LINGERING', 2)
        asyncio.run(self._many())

    async def _many(self) -> None:
        async with socket_mesh() as mesh:
            writers = []
            for _ in range(5):
                reader, writer = await asyncio.open_connection(
                    HOST, mesh.caller_port
                )
                writer.write(encode_head('/other/x', (LENGTH,)))
                response = await read_response(reader)
                self.assertThat(response, StartsWith(b'HTTP/1.1 404 '))
                self.assertThat(mesh.node.entry.lingering, LessThan(3))
                writers.append(writer)
            self.assertThat(mesh.node.entry.lingering, Equals(2))
            for writer in writers:
                writer.close()

    # Guards against a stop that waits for such a caller longer than its grace.
    def test_stop_meanwhile(self) -> None:
        response, elapsed_s = asyncio.run(self._stop())
        self.assertThat(response, StartsWith(b'HTTP/1.1 404 '))
        self.assertThat(elapsed_s, LessThan(GRACE_S))

    async def _stop(self) -> tuple[bytes, float]:
        async with socket_mesh(grace_s=GRACE_S) as mesh:
            reader, writer = await asyncio.open_connection(
                HOST, mesh.caller_port
            )
            sender = asyncio.ensure_future(
                send_paced(
                    writer,
                    (encode_head('/other/x', (CHUNKED,)), *([CHUNK] * 1000)),
                )
            )
            await asyncio.sleep(PAUSE_S * 3)
            started_at = time.monotonic()
            stopping = asyncio.ensure_future(mesh.node.drain())
            response = await read_response(reader)
            await stopping
            await mesh.node.stop()
            elapsed_s = time.monotonic() - started_at
            with contextlib.suppress(OSError):
                await sender
            writer.close()
            return response, elapsed_s


async def send_endlessly(mesh: SocketMesh, pause_s: float) -> int:
    """Send an upload without a route until the node closes its connection.

    Returns:
        How many bytes of its body were sent.
    """
    _, writer = await asyncio.open_connection(HOST, mesh.caller_port)
    writer.write(encode_head('/other/x', (CHUNKED,)))
    sent_bytes = 0
    with contextlib.suppress(OSError):
        while True:
            writer.write(CHUNK)
            await writer.drain()
            sent_bytes += len(CHUNK)
            await asyncio.sleep(pause_s)
    writer.close()
    return sent_bytes


class ExceptionTest(TestCase):
    """An unexpected exception ends a request with a true response."""

    # LOST: an exception in the bookkeeping of targets closed the connection of
    # a request without a response and without a line with its id.
    def test_exception_before_a_target_had_it(self) -> None:
        response = asyncio.run(self._failing(may_have_run=False))
        self.assertThat(response, StartsWith(b'HTTP/1.1 503 '))
        self.assertThat(response, Contains(b'retry-after: '))

    def test_exception_while_a_target_may_run_it(self) -> None:
        response = asyncio.run(self._failing(may_have_run=True))
        self.assertThat(response, StartsWith(b'HTTP/1.1 502 '))

    async def _failing(self, *, may_have_run: bool) -> bytes:
        lines = logged(self)
        async with socket_mesh() as mesh:

            async def fail(routed: RoutedRequest) -> RoutedResponse:
                routed.req.may_have_run = may_have_run
                raise OverflowError('int too large to convert to float')

            mesh.node.dispatcher.dispatch = fail  # type: ignore[method-assign]
            response = await mesh.send(request())
        named = [line for line in lines if line.get('request') == 'r1']
        self.assertThat(named, HasLength(1))
        self.assertThat(named[0]['event'], Equals('request_failed'))
        return response
