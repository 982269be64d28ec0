"""A target that writes a response once more, or responses of no request."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from testtools import TestCase
from testtools.matchers import Contains, Equals, Not, StartsWith

from filbertdrift.incarnation import Heartbeat
from filbertdrift.target import HttpTarget
from standins.mesh_fleet import config_document
from tests.socket_mesh import SocketMesh, socket_mesh
from tests.sockets import running_node

HOST = '127.0.0.1'
NOT_RUN = 'not-executed: 1\r\n'
# What callers take for "not run, try again".
PROMISES = frozenset((408, 421, 429, 503))


def response(
    status: int, request_id: str = '', body: str = '', more: str = ''
) -> bytes:
    """Return a response; without a request id, it has no header for it."""
    echo = f'attempt-id: {request_id}\r\n' if request_id else ''
    return (
        f'HTTP/1.1 {status} Status\r\nserver-seal: s\r\n{echo}{more}'
        f'content-length: {len(body)}\r\n\r\n{body}'
    ).encode()


def refusal(request_id: str = '', body: str = 'full', more: str = '') -> bytes:
    """Return the response to a request that was not run."""
    return response(503, request_id, body, NOT_RUN + more)


CHUNKED_REFUSAL = (
    b'HTTP/1.1 503 Full\r\nnot-executed: 1\r\n'
    b'transfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n'
)


@dataclass
class RepeatingTarget:
    """A target that writes more than the responses to its requests.

    Args:
        stray: Written before the response to a request that runs all the same;
            not if its path has "/first", nor if it has "/again" and is the
            first on its connection.
        pause_s: Pause between the bytes before the response and the response.
        parts: In how many parts the bytes before the response are written.
        is_closing: The connection is closed after them.

    Attributes:
        runs: Number of runs by request id.
        heads: The heads of the requests on each connection.
    """

    stray: bytes = b''
    pause_s: float = 0
    parts: int = 1
    is_closing: bool = False
    runs: Counter[str] = field(default_factory=Counter)
    heads: list[list[bytes]] = field(default_factory=list)

    async def start(self) -> str:
        """Listen and return the address."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        return f'{HOST}:{port}'

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        heads: list[bytes] = []
        self.heads.append(heads)
        try:
            while True:
                heads.append(await reader.readuntil(b'\r\n\r\n'))
                await self._respond(heads, writer)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def _respond(
        self, heads: list[bytes], writer: asyncio.StreamWriter
    ) -> None:
        head = heads[-1]
        path, request_id = head.split()[1], find_id(head)
        if b'/full' in path:
            writer.write(refusal(request_id))
            return
        if b'/twice' in path:
            writer.write(refusal(request_id) * 2)
            return
        if b'/first' not in path and (b'/again' not in path or heads[1:]):
            await self._write_stray(writer)
        self.runs[request_id] += 1
        if writer.is_closing():
            return
        body = f'ran {request_id}'
        raw = response(200, request_id, body)
        writer.write(raw[: -len(body)] if head[:4] == b'HEAD' else raw)

    async def _write_stray(self, writer: asyncio.StreamWriter) -> None:
        step = -(-len(self.stray) // self.parts) or 1
        for start in range(0, len(self.stray), step):
            writer.write(self.stray[start : start + step])
            if self.pause_s:
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        if self.is_closing:
            writer.close()


def find_id(head: bytes) -> str:
    """Return the id of a request, empty if it has none."""
    for line in head.decode().split('\r\n'):
        if line.startswith('attempt-id: '):
            return line.split()[1]
    return ''


@dataclass
class Caller:
    """A caller that keeps its connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def call(
        self,
        request_id: str,
        path: str = '/write/x',
        method: str = 'GET',
    ) -> tuple[int, bytes]:
        """Send a request and return the status and body of its response."""
        echo = f'attempt-id: {request_id}\r\n' if request_id else ''
        self.writer.write(
            f'{method} {path} HTTP/1.1\r\nhost: desk.example\r\n{echo}'
            'deadline-ms: 600\r\n\r\n'.encode()
        )
        raw = await self.reader.readuntil(b'\r\n\r\n')
        status = int(raw.split()[1])
        if method == 'HEAD':
            return status, b''
        for line in raw.decode().split('\r\n'):
            if line.startswith('content-length: '):
                size_bytes = int(line.split()[1])
        return status, await self.reader.readexactly(size_bytes)


@asynccontextmanager
async def repeating_mesh(
    target: RepeatingTarget,
    probe_path: str = '',
) -> AsyncIterator[tuple[SocketMesh, Caller]]:
    """Run a node beside a target, and a caller with a connection to it."""
    document = config_document()
    document['services']['desk']['health_check_path'] = probe_path
    async with asyncio.timeout(10), socket_mesh(document=document) as mesh:
        address = await target.start()
        mesh.node.lifecycle.record_heartbeat(
            Heartbeat('i-2', 2, 1, 'desk', address, 4, False, 0),
        )
        await asyncio.sleep(0.1)
        reader, writer = await asyncio.open_connection(HOST, mesh.caller_port)
        try:
            yield mesh, Caller(reader, writer)
        finally:
            writer.close()


class KeptConnectionTest(TestCase):
    """Another response precedes the right one on a kept connection."""

    # REFUSED, TWICE: a refusal without an id counted as that of the request,
    # which ran.
    def test_refusal_without_id(self) -> None:
        strays = (
            refusal(),
            refusal(body=''),
            CHUNKED_REFUSAL,
            response(429, more=NOT_RUN),
            response(421, body='other'),
            response(400, more=NOT_RUN),
            b'HTTP/1.1 100 Continue\r\n\r\n' + refusal(),
        )
        asyncio.run(self._skipped(*strays))

    # MIXED, REFUSED: other responses without an id went to the caller.
    def test_other_response_without_id(self) -> None:
        strays = (
            response(500, body='failed'),
            response(503, body='busy'),
            response(408),
            response(404, body='none'),
        )
        asyncio.run(self._skipped(*strays))

    # As above; the bytes come in pieces, before the right response.
    def test_refusal_in_pieces(self) -> None:
        for parts in (1, 2, 7):
            asyncio.run(self._skipped(refusal(), pause_s=0.03, parts=parts))

    # Held before: the id of another request tells its response.
    def test_refusal_with_the_id_of_an_earlier_request(self) -> None:
        strays = (
            refusal('first'),
            refusal('first', body=''),
            refusal('first') + refusal('other'),
            CHUNKED_REFUSAL.replace(b'\r\n', b'\r\nattempt-id: first\r\n', 1),
            b'HTTP/1.1 102 Processing\r\n\r\n' + refusal('first'),
            response(200, 'first', 'ran first'),
        )
        asyncio.run(self._skipped(*strays))
        asyncio.run(self._skipped(*strays, pause_s=0.03))

    async def _skipped(
        self, *strays: bytes, pause_s: float = 0, parts: int = 1
    ) -> None:
        """The caller gets the right response; the connection is not kept."""
        target = RepeatingTarget(pause_s=pause_s, parts=parts)
        async with repeating_mesh(target) as (_, caller):
            for stray in strays:
                target.stray = stray
                await self._call_after_another(target, caller)
                status, body = await caller.call('second')
                self.assertThat((status, body), Equals((200, b'ran second')))
                self.assertThat(target.runs['second'], Equals(1))
        requests = [len(heads) for heads in target.heads]
        self.assertThat(requests, Equals([2] * len(strays)))

    async def _call_after_another(
        self, target: RepeatingTarget, caller: Caller
    ) -> None:
        """Make the request after which the connection is kept."""
        target.runs.clear()
        first = await caller.call('first', '/write/first')
        self.assertThat(first, Equals((200, b'ran first')))

    # REFUSED: as above, and the connection ends before the right response.
    def test_end_after_a_refusal_is_unknown(self) -> None:
        asyncio.run(self._unknown())

    async def _unknown(self) -> None:
        target = RepeatingTarget(is_closing=True)
        async with repeating_mesh(target) as (_, caller):
            for stray in (
                refusal(),
                refusal('first'),
                refusal(more='connection: close\r\n'),
                refusal()[:-2],
                refusal('first')[:-2],
                b'HTTP/1.1 503 Full\r\nnot-executed: 1\r\n\r\nfull',
            ):
                target.stray = stray
                await self._call_after_another(target, caller)
                status, _ = await caller.call('second')
                self.assertThat(status, Equals(502))
                self.assertThat(target.runs['second'], Equals(1))

    # REFUSED: as above, with a request whose responses have no body.
    def test_head_request(self) -> None:
        asyncio.run(self._head())

    async def _head(self) -> None:
        target = RepeatingTarget()
        async with repeating_mesh(target) as (_, caller):
            for stray in (
                refusal(),
                refusal('first'),
                refusal('first')[:-4],
            ):
                target.stray = stray
                await self._call_after_another(target, caller)
                status, _ = await caller.call('second', method='HEAD')
                self.assertThat(PROMISES, Not(Contains(status)))
                self.assertThat(target.runs['second'], Equals(1))

    # Held before: the copy stays on a connection that is closed.
    def test_second_copy_behind_a_refusal(self) -> None:
        asyncio.run(self._copy())

    async def _copy(self) -> None:
        target = RepeatingTarget()
        async with repeating_mesh(target) as (_, caller):
            status, _ = await caller.call('r1', '/write/twice')
            self.assertThat(status, Equals(503))
            second = await caller.call('r2')
            self.assertThat(second, Equals((200, b'ran r2')))
        self.assertThat(len(target.heads), Equals(2))


class BelievedRefusalTest(TestCase):
    """A refusal that can only be that of the request is passed on."""

    # Held before: without an id, on a connection that carried nothing else.
    def test_first_response_of_a_connection(self) -> None:
        for stray in (refusal(), response(421)):
            asyncio.run(self._first(stray))

    async def _first(self, stray: bytes) -> None:
        target = RepeatingTarget(stray)
        async with repeating_mesh(target) as (_, caller):
            status, _ = await caller.call('r1')
            self.assertThat(status, Equals(503))

    # Held before: with its id, on a kept connection, which stays in use.
    def test_refusal_with_the_id_of_the_request(self) -> None:
        asyncio.run(self._with_id())

    async def _with_id(self) -> None:
        target = RepeatingTarget()
        async with repeating_mesh(target) as (_, caller):
            for request_id in ('r1', 'r2'):
                status, _ = await caller.call(request_id, '/write/full')
                self.assertThat(status, Equals(503))
            third = await caller.call('r3')
            self.assertThat(third, Equals((200, b'ran r3')))
        self.assertThat(len(target.heads), Equals(1))

    # A request without an id would wait for a response that shows its id.
    def test_request_without_id(self) -> None:
        asyncio.run(self._without_id())

    async def _without_id(self) -> None:
        target = RepeatingTarget()
        async with repeating_mesh(target) as (_, caller):
            await caller.call('r1', '/write/first')
            for _ in range(2):
                status, _ = await caller.call('', '/write/full')
                self.assertThat(status, Equals(503))
        self.assertThat(len(target.heads), Equals(3))


class ProbeTest(TestCase):
    """Probes share connections with requests."""

    # REFUSED: the refusal of a probe counted as that of the next request.
    def test_repeated_refusal_of_a_probe(self) -> None:
        asyncio.run(self._repeated())

    async def _repeated(self) -> None:
        target = RepeatingTarget(refusal())
        async with repeating_mesh(target, '/full') as (mesh, caller):
            self.assertThat(await mesh.node.health.probe(), Equals(False))
            status, _ = await caller.call('first', '/write/first')
            self.assertThat(status, Equals(200))
            status, _ = await caller.call('second')
            self.assertThat(status, Equals(200))

    # The response to a request counted as that to a probe, and a target that
    # fails as healthy.
    def test_response_to_a_request_is_no_health(self) -> None:
        asyncio.run(self._no_health())

    async def _no_health(self) -> None:
        target = RepeatingTarget(response(200, 'first', 'ran first'))
        async with repeating_mesh(target, '/health') as (mesh, caller):
            await caller.call('first', '/write/first')
            self.assertThat(await mesh.node.health.probe(), Equals(False))
            status, _ = await caller.call('second', '/write/first')
            self.assertThat(status, Equals(200))
        requests = [len(heads) for heads in target.heads]
        self.assertThat(requests, Equals([2, 1]))


class WithoutIdsTest(TestCase):
    """Targets that do not echo the id of a request, with INI files."""

    # A refusal that came once more counted as that of the next request, which
    # ran.
    def test_refused_request(self) -> None:
        asyncio.run(self._request())

    async def _request(self) -> None:
        target = RepeatingTarget(refusal())
        async with running_node(target.serve) as node:
            refused = await node.get('/desk/full')
            self.assertThat(refused, StartsWith(b'HTTP/1.1 503 '))
            again = await node.get('/desk/again')
            self.assertThat(again, StartsWith(b'HTTP/1.1 200 '))

    # As above, with the refusal of a probe.
    def test_refused_probe(self) -> None:
        asyncio.run(self._probe())

    async def _probe(self) -> None:
        target = RepeatingTarget()
        http_target = HttpTarget(await target.start(), 4)
        for path, is_healthy in (
            ('/full', False),
            ('/first', True),
            ('/first', True),
        ):
            health = await http_target.check_health(path)
            self.assertThat(health, Equals(is_healthy))
        http_target.close()
        requests = [len(heads) for heads in target.heads]
        self.assertThat(requests, Equals([1, 2]))
