"""Bytes without end from a target or a caller are bounded and broken off."""

import asyncio
import contextlib
import os
from collections.abc import Coroutine
from dataclasses import dataclass, field

from testtools import TestCase
from testtools.matchers import Equals, StartsWith
from testtools.testcase import ExpectedException

from filbertdrift import http1, listener, wire
from filbertdrift.contract import parse_timeout_s
from filbertdrift.errors import MalformedMessage
from filbertdrift.gen import ttypes
from filbertdrift.http1 import HeadTooLarge, MessageTruncated
from filbertdrift.incarnation import Heartbeat
from filbertdrift.target import HttpTarget, TargetRequest
from tests.socket_mesh import request as caller_request
from tests.socket_mesh import socket_mesh
from tests.sockets import free_port, read_request, running_node

HOST = '127.0.0.1'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
OK_HEAD = b'HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: s\r\n'
CHUNKED = OK_HEAD + b'transfer-encoding: chunked\r\n\r\n'
WHOLE = OK_HEAD + b'content-length: 2\r\n\r\nok'
CHUNKED_CALL = b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
STRAY = b'HTTP/1.1 200 OK\r\nattempt-id: other\r\n'
MAX_READ_BYTES = 1_048_576
MAX_READS_AT_END = 100
EDGE_BYTES = 200
CALLER_DEADLINE = 'deadline-ms: 400'


class ScriptedStream(asyncio.StreamReader):
    """A stream that yields bytes and then others without end.

    Args:
        first: The bytes at the beginning.
        unit: Repeated without end; if empty, the stream ends.
    """

    def __init__(self, first: bytes, unit: bytes = b'') -> None:
        super().__init__()
        self.read_bytes = 0
        self.reads_at_end = 0
        self._first = first
        self._unit = unit

    async def read(self, n: int = -1) -> bytes:
        raw = self._first[:n] or self._unit * (n // max(len(self._unit), 1))
        self._first = self._first[n:]
        self.read_bytes += len(raw)
        self.reads_at_end += not raw
        if self.read_bytes > MAX_READ_BYTES:
            raise AssertionError('read without end')
        if self.reads_at_end > MAX_READS_AT_END:
            raise AssertionError('the end was read without end')
        return raw


async def read_response(first: bytes, unit: bytes = b'') -> bytes:
    """Read one response from a scripted stream and return its body."""
    stream = ScriptedStream(first, unit)
    responses = http1.ResponseReader(stream, 'target')
    await responses.head()
    chunks = []
    end = False
    while not end:
        part = await responses.part()
        chunks.append(part.chunk)
        end = part.end
    return b''.join(chunks)


class ReaderTest(TestCase):
    """A reader of responses bounds what it reads beside a body."""

    # A target that closed after an interim head stopped the node's event loop.
    def test_end_after_interim_head(self) -> None:
        for first in (INTERIM, INTERIM + b'HTTP/1.1 200 OK\r\n'):
            with ExpectedException(MessageTruncated):
                asyncio.run(read_response(first))

    # The end of a close-delimited body was also taken for the next response.
    def test_end_after_close_delimited_body(self) -> None:
        asyncio.run(self._next_response())

    async def _next_response(self) -> None:
        stream = ScriptedStream(OK_HEAD + b'\r\nbody')
        responses = http1.ResponseReader(stream, 'target')
        await responses.head()
        self.assertThat((await responses.part()).chunk, Equals(b'body'))
        self.assertThat((await responses.part()).end, Equals(True))
        with ExpectedException(MessageTruncated):
            await responses.head()

    # Interim heads were skipped without a bound.
    def test_endless_interim_heads(self) -> None:
        with ExpectedException(HeadTooLarge):
            asyncio.run(read_response(INTERIM, INTERIM))

    # Line ends before the second response of a connection had no bound.
    def test_endless_lines_before_a_head(self) -> None:
        asyncio.run(self._lines())

    async def _lines(self) -> None:
        responses = http1.ResponseReader(
            ScriptedStream(WHOLE, b'\r\n'), 'target'
        )
        await responses.head()
        self.assertThat((await responses.part()).end, Equals(True))
        with ExpectedException(HeadTooLarge):
            await responses.head()

    def test_endless_head(self) -> None:
        for first, unit in (
            (b'HTTP/1.1 200 ', b'a'),
            (OK_HEAD, b'a'),
            (OK_HEAD + b'a: ', b'a'),
            (OK_HEAD, b'a: b\r\n'),
            (INTERIM + OK_HEAD, b'a: b\r\n'),
            (b'\r\n', b'\r\n'),
        ):
            with ExpectedException(HeadTooLarge):
                asyncio.run(read_response(first, unit))

    def test_endless_garbage(self) -> None:
        for unit in (b'x', b'\0', b'HTTP/9.9 abc\r\n'):
            with ExpectedException(MalformedMessage):
                asyncio.run(read_response(b'', unit))

    # Chunk extensions and the content of a trailer had no bound; the latter
    # was held in memory.
    def test_endless_framing(self) -> None:
        for unit_after in (b'2;', b'2\r\nok\r\n2;', b'0\r\na: '):
            with ExpectedException(MalformedMessage):
                asyncio.run(read_response(CHUNKED + unit_after, b'a'))

    def test_endless_trailers(self) -> None:
        first = CHUNKED + b'2\r\nok\r\n0\r\n'
        with ExpectedException(MalformedMessage):
            asyncio.run(read_response(first, b'a: b\r\n'))

    # Framing counts only since the last part of the body.
    def test_long_body_of_small_chunks(self) -> None:
        count = 100_000
        raw = CHUNKED + b'1\r\na\r\n' * count + http1.LAST_CHUNK
        body = asyncio.run(read_response(raw))
        self.assertThat(len(body), Equals(count))

    # Trailers became headers, among them those that mark a success as genuine.
    def test_trailers_are_not_headers(self) -> None:
        asyncio.run(self._trailers())

    async def _trailers(self) -> None:
        raw = (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
            b'2\r\nok\r\n0\r\nserver-seal: s\r\n\r\n'
        )
        responses = http1.ResponseReader(ScriptedStream(raw), 'target')
        head = await responses.head()
        self.assertThat(
            http1.find_header(head.headers, b'server-seal'), Equals('')
        )
        self.assertThat((await responses.part()).end, Equals(True))


class CallerReaderTest(TestCase):
    """A reader of requests bounds what it reads beside a body."""

    def test_endless_head(self) -> None:
        for first, unit in (
            (b'GET /', b'a'),
            (b'GET / HTTP/1.1\r\n', b'a'),
            (b'GET / HTTP/1.1\r\n', b'a: b\r\n'),
            (b'\r\n', b'\r\n'),
        ):
            with ExpectedException(HeadTooLarge):
                asyncio.run(self._read_requests(first, unit, 1))

    # Line ends before the second request of a connection had no bound.
    def test_endless_lines_before_a_second_head(self) -> None:
        first = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
        with ExpectedException(HeadTooLarge):
            asyncio.run(self._read_requests(first, b'\r\n', 2))

    async def _read_requests(
        self, first: bytes, unit: bytes, count: int
    ) -> None:
        requests = http1.RequestReader(ScriptedStream(first, unit), 'caller')
        for _ in range(count):
            await requests.head()
            await requests.part()


@dataclass
class EndlessTarget:
    """A target that responds with bytes without end.

    Args:
        first: Bytes in response to a request.
        unit: Sent again and again after them; if empty, nothing more is sent.
        pause_s: Pause after each unit.

    Attributes:
        received: The heads of the requests.
        is_closed: Set when the node has closed the connection.
    """

    first: bytes
    unit: bytes = b''
    pause_s: float = 0
    received: list[bytes] = field(default_factory=list)
    is_closed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> str:
        """Listen and return the address."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        return f'{HOST}:{port}'

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""
        self.received.append(await read_request(reader))
        end = asyncio.ensure_future(reader.read())
        writer.write(self.first)
        with contextlib.suppress(OSError):
            while self.unit and not end.done():
                writer.write(self.unit)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        # A reset, too, shows that the node closed the connection.
        await asyncio.wait((end,))
        end.exception()
        self.is_closed.set()
        writer.transport.abort()


@dataclass
class CallerView:
    """What a caller saw of the response.

    Args:
        raw: The bytes, without those in the middle of a long response.
        is_running: The gate still held the slot after the response.
    """

    raw: bytes
    is_running: bool


async def call_endless(
    target: EndlessTarget, path: str = '/write/x'
) -> CallerView:
    """Send a request to an endless target through a node."""
    async with socket_mesh() as mesh:
        address = await target.start()
        mesh.node.lifecycle.record_heartbeat(
            Heartbeat('i-2', 2, 1, 'desk', address, 4, False, 0),
        )
        await asyncio.sleep(0.1)
        reader, writer = await asyncio.open_connection(HOST, mesh.caller_port)
        raw_request = caller_request(path).replace(
            b'deadline-ms: 2000', CALLER_DEADLINE.encode()
        )
        writer.write(raw_request)
        raw = b''
        try:
            async with asyncio.timeout(5):
                while chunk := await reader.read(1_000_000):
                    raw += chunk
                    if len(raw) > 2 * EDGE_BYTES:
                        raw = raw[:EDGE_BYTES] + raw[-EDGE_BYTES:]
        except ConnectionResetError:
            raw += b'reset'
        finally:
            writer.close()
        async with asyncio.timeout(5):
            await target.is_closed.wait()
        current = mesh.node.lifecycle.current
        return CallerView(raw, bool(current and current.gate.running))


class EndlessResponseTest(TestCase):
    """A caller gets an honest end and the target's connection is closed."""

    def check(
        self, target: EndlessTarget, status: bytes, path: str = '/write/x'
    ) -> CallerView:
        """Call a target and check what must always hold."""

        async def main() -> CallerView:
            return await call_endless(target, path)

        view = asyncio.run(main())
        self.assertThat(view.raw, StartsWith(b'HTTP/1.1 ' + status))
        self.assertThat(view.is_running, Equals(False))
        self.assertThat(len(target.received), Equals(1))
        return view

    def test_fast_bytes_that_are_no_answer(self) -> None:
        for first, unit in (
            (b'', b'no HTTP at all ' * 1000),
            (OK_HEAD, b'a' * 10_000),
            (OK_HEAD, b'a: b\r\n' * 1000),
            (CHUNKED + b'2\r\nok\r\n0\r\n', b'a: b\r\n' * 1000),
        ):
            self.check(EndlessTarget(first, unit), b'502 ')

    # The caller got its end only at its deadline.
    def test_fast_interim_heads(self) -> None:
        self.check(EndlessTarget(INTERIM, INTERIM * 100), b'502 ')

    # The caller got its end only at its deadline.
    def test_fast_chunk_extension(self) -> None:
        self.check(EndlessTarget(CHUNKED + b'2;', b'a' * 10_000), b'502 ')

    # The caller got its end only at its deadline.
    def test_fast_trailer(self) -> None:
        first = CHUNKED + b'2\r\nok\r\n0\r\na: '
        self.check(EndlessTarget(first, b'a' * 10_000), b'502 ')

    def test_slow_bytes_that_are_no_answer(self) -> None:
        for first, unit in (
            (OK_HEAD, b'a'),
            (OK_HEAD + b'a: ', b'a'),
            (INTERIM, INTERIM),
            (CHUNKED + b'2;', b'a'),
            (CHUNKED + b'2\r\nok\r\n0\r\na: ', b'a'),
        ):
            self.check(EndlessTarget(first, unit, 0.01), b'504 ')

    def test_slow_body(self) -> None:
        for first, unit in (
            (OK_HEAD + b'\r\n', b'a'),
            (CHUNKED, b'1\r\na\r\n'),
            (OK_HEAD + b'content-length: 1000000\r\n\r\n', b'a'),
        ):
            self.check(EndlessTarget(first, unit, 0.01), b'504 ')

    def test_fast_body_is_broken_off_at_the_deadline(self) -> None:
        for first, unit in (
            (OK_HEAD + b'\r\n', b'a' * 10_000),
            (CHUNKED, b'2710\r\n' + b'a' * 10_000 + b'\r\n'),
        ):
            view = self.check(EndlessTarget(first, unit), b'200 ')
            self.assertThat(view.raw.endswith(http1.LAST_CHUNK), Equals(False))

    def test_bytes_after_a_whole_response(self) -> None:
        target = EndlessTarget(WHOLE, b'more' * 1000)
        view = self.check(target, b'200 ')
        self.assertThat(view.raw.endswith(b'\r\n\r\nok'), Equals(True))

    # The body of another request's response was skipped until the deadline.
    def test_endless_body_of_another_response(self) -> None:
        target = EndlessTarget(STRAY + b'\r\n', b'a' * 10_000)
        self.check(target, b'502 ')

    # A target that closed after such a response stopped the event loop.
    def test_end_after_another_response(self) -> None:
        asyncio.run(self._end_after_stray())

    async def _end_after_stray(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            writer.write(STRAY + b'\r\nbody')
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with socket_mesh() as mesh:
            mesh.node.lifecycle.record_heartbeat(
                Heartbeat('i-2', 2, 1, 'desk', f'{HOST}:{port}', 4, False, 0),
            )
            await asyncio.sleep(0.1)
            response = await mesh.send(caller_request('/write/x'))
        self.assertThat(response, StartsWith(b'HTTP/1.1 502 '))

    # The refusal was lost when its body came slowly: the caller got a 504.
    def test_slow_body_of_a_refusal(self) -> None:
        first = (
            b'HTTP/1.1 503 Busy\r\nattempt-id: r1\r\nnot-executed: 1\r\n'
            b'content-length: 1000000\r\n\r\n'
        )
        self.check(EndlessTarget(first, b'a', 0.01), b'503 ')


class OwnConfigurationTest(TestCase):
    """The same holds at nodes with their own configuration files."""

    def check(self, target: EndlessTarget, status: bytes) -> bytes:
        """Send a write to a target and check the status."""

        async def main() -> bytes:
            async with running_node(target.serve) as node:
                raw = await asyncio.wait_for(
                    node.send(
                        b'POST /desk/x HTTP/1.1\r\nhost: x\r\n'
                        b'connection: close\r\ncontent-length: 0\r\n'
                        b'x-filbertdrift-timeout-ms: 400\r\n\r\n'
                    ),
                    5,
                )
                await asyncio.wait_for(target.is_closed.wait(), 5)
                announced = node.node.server.announced
                assert announced is not None
                self.assertThat(announced.gate.running, Equals(0))
                return raw

        raw = asyncio.run(main())
        self.assertThat(raw, StartsWith(b'HTTP/1.1 ' + status))
        self.assertThat(len(target.received), Equals(1))
        return raw

    def test_fast_bytes_that_are_no_answer(self) -> None:
        for first, unit in (
            (b'', b'no HTTP at all ' * 1000),
            (OK_HEAD, b'a' * 10_000),
            (INTERIM, INTERIM * 100),
        ):
            self.check(EndlessTarget(first, unit), b'502 ')

    def test_slow_head(self) -> None:
        for first, unit in ((OK_HEAD, b'a'), (INTERIM, INTERIM)):
            self.check(EndlessTarget(first, unit, 0.01), b'504 ')

    def test_bytes_beside_a_body(self) -> None:
        for first, unit in (
            (CHUNKED + b'2;', b'a' * 10_000),
            (CHUNKED + b'2\r\nok\r\n0\r\na: ', b'a' * 10_000),
        ):
            raw = self.check(EndlessTarget(first, unit), b'200 ')
            self.assertThat(raw.endswith(http1.LAST_CHUNK), Equals(False))

    # The refusal was lost when its body did not come: the caller got a 504.
    def test_refusal_without_its_body(self) -> None:
        first = b'HTTP/1.1 503 Busy\r\ncontent-length: 1000000\r\n\r\n'
        for unit in (b'', b'a'):
            self.check(EndlessTarget(first, unit, 0.01), b'503 ')


class EndlessUploadTest(TestCase):
    """A caller's body without end ends with the request's deadline."""

    # The connection stayed in use as long as the caller sent a byte now and
    # then, or none, after an early response.
    def test_after_an_early_response(self) -> None:
        for pause_s in (0.01, 60):
            asyncio.run(asyncio.wait_for(self._early(pause_s), 5))

    async def _early(self, pause_s: float) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(WHOLE)
            while await reader.read(100_000):
                """Read until the node closes the connection."""

        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with socket_mesh() as mesh:
            mesh.node.lifecycle.record_heartbeat(
                Heartbeat('i-2', 2, 1, 'desk', f'{HOST}:{port}', 4, False, 0),
            )
            await asyncio.sleep(0.1)
            reader, writer = await asyncio.open_connection(
                HOST, mesh.caller_port
            )
            raw = caller_request('/write/x', keep=True)
            raw = raw.replace(b'deadline-ms: 2000', CALLER_DEADLINE.encode())
            raw = raw.replace(b'length: 0', b'length: 200000')
            writer.write(raw + b'a' * 70_000)
            trickle = asyncio.ensure_future(_trickle(writer, pause_s))
            response = await reader.readuntil(b'\r\n\r\nok')
            self.assertThat(response, StartsWith(b'HTTP/1.1 200 '))
            self.assertThat(mesh.node.entry.in_progress, Equals(1))
            with contextlib.suppress(ConnectionResetError):
                self.assertThat(await reader.read(), Equals(b''))
            self.assertThat(mesh.node.entry.in_progress, Equals(0))
            trickle.cancel()
            writer.close()


async def _trickle(
    writer: asyncio.StreamWriter, pause_s: float, unit: bytes = b'a'
) -> None:
    """Send bytes after each pause until the connection is closed."""
    with contextlib.suppress(OSError):
        while True:
            await asyncio.sleep(pause_s)
            writer.write(unit)
            await writer.drain()


class ListenerTest(TestCase):
    """The server for heartbeats and scrapers ends requests without end."""

    # A head that came slowly held its connection for a minute.
    def test_slow_requests(self) -> None:
        self.patch(listener, 'HEAD_TIMEOUT_S', 0.2)
        self.patch(listener, 'BODY_TIMEOUT_S', 0.2)
        for first, unit in (
            (b'GET / HTTP/1.1\r\na: ', b'a'),
            (CHUNKED_CALL, b'1\r\na\r\n'),
            (CHUNKED_CALL + b'2;', b'a'),
        ):
            response = asyncio.run(self._call(first, unit, 0.01))
            self.assertThat(response, Equals(b''))

    def test_fast_requests(self) -> None:
        for first, unit in (
            (b'', b'garbage'),
            (b'GET / HTTP/1.1\r\na: ', b'a' * 1000),
            (b'', b'\r\n' * 1000),
            (CHUNKED_CALL, b'1\r\na\r\n' * 1000),
            (CHUNKED_CALL + b'2;', b'a' * 1000),
        ):
            response = asyncio.run(self._call(first, unit, 0))
            # The reset of a connection with unread bytes may drop the 400.
            self.assertIn(response[:12], (b'HTTP/1.1 400', b''))

    async def _call(self, first: bytes, unit: bytes, pause_s: float) -> bytes:
        async def not_called(
            method: str, path: str, body: bytes
        ) -> listener.HttpResponse:
            raise AssertionError('no request is complete')

        port = free_port()
        server = listener.HttpListener(f'{HOST}:{port}', not_called)
        await server.start()
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(first)
        trickle = asyncio.ensure_future(_trickle(writer, pause_s, unit))
        try:
            async with asyncio.timeout(3):
                return await reader.read()
        except ConnectionResetError:
            return b''
        finally:
            trickle.cancel()
            writer.close()
            server.close()


def target_request() -> TargetRequest:
    """Return a request without a body."""
    return TargetRequest('GET', '/x', [(b'host', b'x')], b'', is_whole=True)


async def exchange_status(target: HttpTarget) -> int:
    """Make one exchange and return the status."""
    exchange = await target.open_exchange(target_request())
    try:
        await exchange.send_head()
        head = await exchange.head()
        while not (await exchange.part()).end:
            """Read the body."""
    finally:
        exchange.close()
    return head.status


class IdleConnectionTest(TestCase):
    """Bytes that arrive between two exchanges are no response."""

    def run_case(self, case: Coroutine[None, None, None]) -> None:
        """Run a case with a limit on its time."""
        asyncio.run(asyncio.wait_for(case, 5))

    # Bytes that came on an idle connection were the next request's response.
    def test_late_bytes_are_not_the_next_response(self) -> None:
        for late in (b'HTTP/1.1 421 Not run\r\n\r\n', b'garbage'):
            self.run_case(self._late(late, has_arrived=True))

    # As above; the bytes are received, but not yet read by the event loop.
    def test_unread_bytes_are_not_the_next_response(self) -> None:
        late = b'HTTP/1.1 421 Not run\r\n\r\n'
        self.run_case(self._late(late, has_arrived=False))

    async def _late(self, late: bytes, *, has_arrived: bool) -> None:
        writers: list[asyncio.StreamWriter] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            await read_request(reader)
            writer.write(WHOLE)
            await reader.read(1)

        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        target = HttpTarget(f'{HOST}:{port}', 4)
        self.assertThat(await exchange_status(target), Equals(200))
        # Sent at once, whichever event loop runs.
        os.write(writers[0].get_extra_info('socket').fileno(), late)
        if has_arrived:
            await asyncio.sleep(0.05)
        self.assertThat(await exchange_status(target), Equals(200))
        self.assertThat(len(writers), Equals(2))
        target.close()

    # Such a connection stayed open, with bytes in memory, until its next use.
    def test_connection_with_late_bytes_is_closed(self) -> None:
        self.run_case(self._closed())

    async def _closed(self) -> None:
        is_closed = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            writer.write(WHOLE)
            await asyncio.sleep(0.05)
            try:
                while True:
                    writer.write(b'a' * 10_000)
                    await writer.drain()
            except OSError:
                is_closed.set()

        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        target = HttpTarget(f'{HOST}:{port}', 4)
        self.assertThat(await exchange_status(target), Equals(200))
        await is_closed.wait()
        target.close()


class NumberTest(TestCase):
    """Headers whose content is no number are read as if absent."""

    # The connection to such a target was neither closed nor used again.
    def test_keep_alive_of_a_target(self) -> None:
        for number in (b'\xb2', b'9' * 5000):
            asyncio.run(self._keep_alive(number))

    async def _keep_alive(self, number: bytes) -> None:
        header = b'keep-alive: timeout=' + number + b'\r\n'
        endless = EndlessTarget(OK_HEAD + header + WHOLE[len(OK_HEAD) :])
        target = HttpTarget(await endless.start(), 4)
        self.assertThat(await exchange_status(target), Equals(200))
        target.close()
        await asyncio.wait_for(endless.is_closed.wait(), 5)

    # The caller's connection was closed without a response.
    def test_headers_of_a_caller(self) -> None:
        asyncio.run(self._headers())

    async def _headers(self) -> None:
        names = ('x-filbertdrift-timeout-ms', 'x-filbertdrift-depth')
        lines = [
            f'{name}: {number}'.encode('latin-1')
            for name in names
            for number in ('\xb2', '9' * 5000)
        ]
        async with running_node(answer_once) as node:
            for line in lines:
                response = await node.send(
                    b'GET /desk/x HTTP/1.1\r\nhost: x\r\n'
                    b'connection: close\r\n' + line + b'\r\n\r\n'
                )
                self.assertThat(response, StartsWith(b'HTTP/1.1 200 '))

    # The caller got no response, or a 502 instead of a 503.
    def test_retry_after_of_a_refusal(self) -> None:
        for number in (b'\xb2', b'9' * 9, b'9' * 5000):
            response = asyncio.run(self._refused(number))
            self.assertThat(response, StartsWith(b'HTTP/1.1 503 '))

    async def _refused(self, number: bytes) -> bytes:
        async def refuse(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            writer.write(
                b'HTTP/1.1 503 Busy\r\nretry-after: '
                + number
                + b'\r\ncontent-length: 0\r\n\r\n'
            )
            await reader.read(1)

        async with running_node(refuse) as node:
            return await asyncio.wait_for(node.get('/desk/x'), 5)


async def answer_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Respond to one request."""
    await read_request(reader)
    writer.write(OK_HEAD + b'connection: close\r\n' + WHOLE[len(OK_HEAD) :])
    await reader.read(1)


class ProbeTest(TestCase):
    """A probe of a target that sends bytes without end fails and ends."""

    def probe(self, target: EndlessTarget) -> bool:
        """Return whether a target is found healthy."""
        return asyncio.run(asyncio.wait_for(self._probe(target), 10))

    async def _probe(self, target: EndlessTarget) -> bool:
        http_target = HttpTarget(await target.start(), 4)
        is_healthy = await http_target.check_health('/health')
        await target.is_closed.wait()
        http_target.close()
        return is_healthy

    def test_no_health_in_endless_bytes(self) -> None:
        for first, unit in (
            (b'', b'no HTTP at all ' * 1000),
            (OK_HEAD, b'a' * 10_000),
            (INTERIM, INTERIM * 100),
            (CHUNKED + b'2;', b'a' * 10_000),
            (OK_HEAD + b'\r\n', b'a' * 10_000),
        ):
            self.assertThat(
                self.probe(EndlessTarget(first, unit)), Equals(False)
            )


class LongDeadlineTest(TestCase):
    """A stated deadline of any length fits the message between nodes."""

    # Encoding the request raised, and the caller got no response.
    def test_deadline_of_years(self) -> None:
        for number in (b'99999999999', b'9' * 300):
            timeout_s = parse_timeout_s(
                [(b'deadline-ms', number)], b'deadline-ms'
            )
            assert timeout_s is not None
            opening = ttypes.RequestOpen(
                method='GET',
                path='/',
                remaining_ms=int(timeout_s * 1000),
                service_name='desk',
                importance=1,
            )
            decoded = wire.decode(ttypes.RequestOpen, wire.encode(opening))
            self.assertThat(decoded.remaining_ms, Equals(opening.remaining_ms))
