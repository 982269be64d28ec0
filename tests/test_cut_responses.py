"""Responses of a target that break off at any byte."""

import asyncio
import itertools
import random
import socket
import struct
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from testtools import TestCase
from testtools.matchers import Equals

from filbertdrift import http1
from filbertdrift.errors import FilbertdriftError
from filbertdrift.identity import Identity
from filbertdrift.incarnation import Heartbeat
from filbertdrift.mesh import MeshNode
from filbertdrift.mesh_settings import MeshSettings
from filbertdrift.network import TcpNetwork
from filbertdrift.platform.documents import parse_config
from filbertdrift.platform.headers import HEADERS
from filbertdrift.profile import PROFILES
from filbertdrift.responsestream import ResponseStream
from filbertdrift.retrybudget import RetryLimits
from filbertdrift.target import HttpTarget
from tests.socket_mesh import SocketMesh, socket_mesh
from tests.sockets import free_port, running_node

HOST = '127.0.0.1'
HEAD = b'HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: s\r\n'
BODY = b'0123 56789'
WITH_LENGTH = HEAD + b'content-length: 10\r\n\r\n' + BODY
CHUNKED = HEAD + b'transfer-encoding: chunked\r\n\r\n'
# Without a length, so the end of the connection ends it.
CLOSED = HEAD + b'\r\n' + BODY
RESPONSES = {
    'length': WITH_LENGTH,
    'no body': HEAD + b'content-length: 0\r\n\r\n',
    'chunks': CHUNKED + b'4\r\n0123\r\n6;x=1\r\n 56789\r\n0\r\n\r\n',
    'trailers': CHUNKED + b'a\r\n0123 56789\r\n0\r\nx: 1\r\ny: 2\r\n\r\n',
    '204': HEAD.replace(b'200', b'204') + b'\r\n',
    '304': HEAD.replace(b'200', b'304') + b'content-length: 10\r\n\r\n',
    'interim': (
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nlink: x\r\n\r\n'
        + WITH_LENGTH
    ),
    'closed': CLOSED,
    'closed, stated': CLOSED.replace(b'\r\n', b'\r\nconnection: close\r\n', 1),
}
HEAD_ONLY = WITH_LENGTH[: -len(BODY)]
CUT_STEP_BYTES = 13
# The bytes before a reset have arrived by then.
RESET_DELAY_S = 0.005
CALL_TIMEOUT_S = 3
LARGE_BODY = bytes(1_500_000)
Read = tuple[int, bytes]


async def read_response(raw: bytes, *, is_reset: bool = True) -> Read | None:
    """Return the status and body of a response, None if it is not whole.

    Args:
        raw: All bytes of its connection.
        is_reset: The connection ended with a reset.
    """
    stream = ResponseStream()
    stream.feed_data(raw)
    if is_reset:
        stream.set_exception(ConnectionResetError())
    else:
        stream.feed_eof()
    responses = http1.ResponseReader(stream, 'peer')
    body = b''
    try:
        head = await responses.head()
        end = False
        while not end:
            part = await responses.part()
            body += part.chunk
            end = part.end
    except FilbertdriftError:
        return None
    return head.status, body


def find_open_end(raw: bytes) -> int:
    """Return from which size on a response may end with its connection.

    HTTP does not tell such an end from that of the whole response.
    """
    is_closed = raw.endswith(b'\r\n\r\n' + BODY) and b'length' not in raw
    return raw.index(BODY) if is_closed else len(raw)


class ReaderTest(TestCase):
    """No part of a response is read as a whole one."""

    # Held before: a target that closes within a head or a body.
    def test_every_byte(self) -> None:
        asyncio.run(self._every_byte())

    async def _every_byte(self) -> None:
        for name, raw in RESPONSES.items():
            for is_reset in (False, True):
                await self._check(name, raw, is_reset=is_reset)

    async def _check(self, name: str, raw: bytes, *, is_reset: bool) -> None:
        open_end = find_open_end(raw)
        for size_bytes, _ in enumerate(raw):
            read = await read_response(raw[:size_bytes], is_reset=is_reset)
            wanted = None
            if size_bytes >= open_end and not is_reset:
                wanted = (200, raw[open_end:size_bytes])
            case = f'{name} cut at {size_bytes}'
            self.assertThat(read, Equals(wanted), case)
        whole = await read_response(raw, is_reset=is_reset)
        self.assertThat(whole is None, Equals(is_reset and open_end < len(raw)))

    # Held before: lines that end without CR.
    def test_bare_line_feeds(self) -> None:
        asyncio.run(self._line_feeds())

    async def _line_feeds(self) -> None:
        for raw in RESPONSES.values():
            bare = raw.replace(b'\r\n', b'\n')
            for size_bytes in range(len(bare) + 1):
                read = await read_response(bare[:size_bytes], is_reset=False)
                self.assertThat(read, Equals(None))


@dataclass
class CuttingTarget:
    """A target whose responses break off.

    A request whose path has "/whole" gets a whole response, and its connection
    is kept.

    Args:
        raw: What other requests get before the connection ends.
        is_reset: The connection ends with a reset.
        keeps: Connections are kept after whole responses.
    """

    raw: bytes = b''
    is_reset: bool = False
    keeps: bool = True

    async def start(self) -> str:
        """Listen and return the address."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        return f'{HOST}:{port}'

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while b'/whole' in await reader.readuntil(b'\r\n\r\n'):
                keep = b'keep-alive' if self.keeps else b'close'
                writer.write(
                    WITH_LENGTH.replace(
                        b'\r\n', b'\r\nconnection: ' + keep + b'\r\n', 1
                    )
                )
            writer.write(self.raw)
            await writer.drain()
            if self.is_reset:
                await asyncio.sleep(RESET_DELAY_S)
                sock = writer.get_extra_info('socket')
                linger = struct.pack('ii', 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except (asyncio.IncompleteReadError, OSError):
            """The node has closed the connection."""
        finally:
            writer.close()


@dataclass(frozen=True)
class Cut:
    """How a response breaks off.

    Args:
        name: Names the case.
        raw: What the target sends of it.
        is_reset: The connection ends with a reset.
        keeps: The connection has carried another request before.
    """

    name: str
    raw: bytes
    is_reset: bool
    keeps: bool

    def set_up(self, target: CuttingTarget) -> None:
        """Let a target respond so."""
        target.raw = self.raw
        target.is_reset = self.is_reset
        target.keeps = self.keeps


def all_cuts() -> Iterator[Cut]:
    """Yield cuts of all responses."""
    for name, raw in RESPONSES.items():
        open_end = find_open_end(raw)
        sizes = {*range(0, len(raw), CUT_STEP_BYTES), len(raw) - 1}
        for size_bytes in sorted(sizes):
            # Only a reset tells that a response ended early there.
            resets = (False, True) if size_bytes < open_end else (True,)
            for is_reset, keeps in itertools.product(resets, (False, True)):
                case = f'{name} cut at {size_bytes}, {is_reset=}, {keeps=}'
                yield Cut(case, raw[:size_bytes], is_reset, keeps)


@asynccontextmanager
async def cutting_mesh(target: CuttingTarget) -> AsyncIterator[SocketMesh]:
    """Run a node beside a target."""
    async with asyncio.timeout(60), socket_mesh() as mesh:
        address = await target.start()
        mesh.node.lifecycle.record_heartbeat(
            Heartbeat('i-2', 2, 1, 'desk', address, 4, False, 0),
        )
        await asyncio.sleep(0.1)
        yield mesh


@asynccontextmanager
async def other_node(mesh: SocketMesh) -> AsyncIterator[int]:
    """Run a node without a target; yield its port for callers."""
    caller_port = free_port()
    address = f'{HOST}:{free_port()}'
    node = MeshNode(
        identity=Identity(address, 'a', 'two', 1),
        settings=MeshSettings(
            caller_address=(HOST, caller_port),
            caller_service='desk',
            seeds=(mesh.node.identity.address,),
            config_stream='keyed.op',
            config_key='config',
            directory_stream='keyed.nodes',
            departures_stream='keyed.departures',
            retry_limits=RetryLimits(),
            termination_grace_s=6,
        ),
        network=TcpNetwork(address),
        log=mesh.log,
        profile=PROFILES['convergence'],
        header_names=HEADERS,
        parse=parse_config,
        open_target=lambda _, target_address: HttpTarget(target_address, 8),
        rng=random.Random(2),
    )
    await node.start()
    try:
        yield caller_port
    finally:
        await node.stop()


@dataclass
class Caller:
    """A caller that keeps its connection for as long as it can.

    Args:
        port: The node's port.
    """

    port: int
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None

    async def call(self, path: str, method: str = 'GET') -> Read | None:
        """Return the status and body of a response, None if it is not whole."""
        if self.reader is None or self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                HOST, self.port
            )
        self.writer.write(
            f'{method} {path} HTTP/1.1\r\nhost: desk.example\r\n'
            'attempt-id: r1\r\ndeadline-ms: 2000\r\n\r\n'.encode()
        )
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._read(self.reader, is_head=method == 'HEAD')
        except (asyncio.IncompleteReadError, OSError):
            self.close()
            return None

    async def _read(
        self, reader: asyncio.StreamReader, *, is_head: bool
    ) -> Read:
        head = await reader.readuntil(b'\r\n\r\n')
        status = int(head.split()[1])
        if is_head or status in {204, 304}:
            return status, b''
        length = head.partition(b'content-length: ')[2].split()
        if length:
            return status, await reader.readexactly(int(length[0]))
        body = b''
        while size_line := await reader.readuntil(b'\r\n'):
            chunk = await reader.readexactly(int(size_line, 16) + 2)
            body += chunk[:-2]
            if len(chunk) == 2:
                break
        return status, body

    def close(self) -> None:
        """Close the connection."""
        if self.writer:
            self.writer.close()
        self.reader = None
        self.writer = None


class CallerTest(TestCase):
    """A caller gets an error and then the response to its next request."""

    # Held before: a whole 200 with an empty or short body.
    def test_through_a_node(self) -> None:
        asyncio.run(self._through_a_node())

    async def _through_a_node(self) -> None:
        target = CuttingTarget()
        async with cutting_mesh(target) as mesh:
            await self._check_all(target, Caller(mesh.caller_port))

    # Held before: as above, from the node of another target.
    def test_through_two_nodes(self) -> None:
        asyncio.run(self._through_two_nodes())

    async def _through_two_nodes(self) -> None:
        target = CuttingTarget()
        async with cutting_mesh(target) as mesh, other_node(mesh) as port:
            caller = Caller(port)
            while await caller.call('/write/whole') != (200, BODY):
                await asyncio.sleep(0.1)
            await self._check_all(target, caller)

    async def _check_all(self, target: CuttingTarget, caller: Caller) -> None:
        for cut in all_cuts():
            cut.set_up(target)
            whole = await caller.call('/write/whole')
            self.assertThat(whole, Equals((200, BODY)), cut.name)
            status, _ = await caller.call('/write/x') or (0, b'')
            self.assertThat(status, Equals(502), cut.name)
        caller.close()

    # Held before: as above, to a request whose response has no body.
    def test_head_request(self) -> None:
        asyncio.run(self._head())

    async def _head(self) -> None:
        target = CuttingTarget()
        async with cutting_mesh(target) as mesh:
            caller = Caller(mesh.caller_port)
            for size_bytes in range(0, len(HEAD_ONLY), 5):
                target.raw = HEAD_ONLY[:size_bytes]
                await caller.call('/write/whole')
                read = await caller.call('/write/x', 'HEAD')
                self.assertThat(read, Equals((502, b'')))
            caller.close()

    # Held before: a part of a long body has already gone to the caller.
    def test_large_body(self) -> None:
        asyncio.run(self._large())

    async def _large(self) -> None:
        length = b'content-length: %d\r\n\r\n' % len(LARGE_BODY)
        target = CuttingTarget(is_reset=True)
        async with cutting_mesh(target) as mesh:
            caller = Caller(mesh.caller_port)
            for head in (
                HEAD + length,
                CHUNKED + b'%x\r\n' % len(LARGE_BODY),
                HEAD + b'\r\n',
            ):
                target.raw = head + LARGE_BODY[:-100_000]
                self.assertThat(await caller.call('/write/x'), Equals(None))
                whole = await caller.call('/write/whole')
                self.assertThat(whole, Equals((200, BODY)))
            caller.close()

    # Held before: as above, on a node with INI files, which forwards a body
    # as it comes.
    def test_ini_node(self) -> None:
        asyncio.run(self._ini_node())

    async def _ini_node(self) -> None:
        target = CuttingTarget()
        async with running_node(target.serve) as node:
            caller = Caller(node.caller_port)
            for cut in all_cuts():
                cut.set_up(target)
                whole = await caller.call('/desk/whole')
                self.assertThat(whole, Equals((200, BODY)), cut.name)
                status, _ = await caller.call('/desk/x') or (502, b'')
                self.assertThat(status, Equals(502), cut.name)
            caller.close()
