"""A node and its target on loopback sockets."""

import asyncio
import json
import random
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Any

from filbertdrift.identity import Identity
from filbertdrift.incarnation import Heartbeat
from filbertdrift.keyedlog import KeyedLog, KeyedRecord, MemoryKeyedLog
from filbertdrift.mesh import MeshNode
from filbertdrift.mesh_settings import MeshSettings
from filbertdrift.network import TcpNetwork
from filbertdrift.platform.documents import parse_config
from filbertdrift.platform.headers import HEADERS
from filbertdrift.profile import PROFILES
from filbertdrift.retrybudget import RetryLimits
from filbertdrift.target import HttpTarget
from standins.mesh_fleet import PartitionableLog, config_document
from tests.sockets import free_port

HOST = '127.0.0.1'
TARGET_WORK_S = 0.3
# More than a node reads of a response before it forwards any of it.
PIECE_BYTES = 1_200_000


@dataclass
class SocketMesh:
    """A node and its target on loopback sockets.

    Attributes:
        node: The node of the callers.
        serving: The node of the target.
        received: First bytes of each connection to the target.
        closed: When the node closed a connection before the response.
    """

    node: MeshNode
    serving: MeshNode
    log: MemoryKeyedLog
    caller_port: int
    received: list[bytes]
    closed: list[float]

    async def send(self, raw: bytes) -> bytes:
        """Send bytes as a caller and return all bytes of the response."""
        reader, writer = await asyncio.open_connection(HOST, self.caller_port)
        writer.write(raw)
        try:
            return await reader.read()
        finally:
            writer.close()


def request(
    path: str = '/read/x',
    body: bytes = b'',
    headers: tuple[str, ...] = (),
    host: str = 'desk.example',
    *,
    keep: bool = False,
) -> bytes:
    """Return the bytes of a caller's request."""
    lines = [
        f'POST {path} HTTP/1.1',
        f'host: {host}',
        'attempt-id: r1',
        'deadline-ms: 2000',
        *headers,
    ]
    if not keep:
        lines.append('connection: close')
    if not any('transfer-encoding' in line for line in headers):
        lines.append(f'content-length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


@asynccontextmanager
async def socket_mesh(
    *,
    configured: bool = True,
    document: Mapping[str, Any] | None = None,
    revoke_s: float | None = None,
    grace_s: float = 6,
    work_s: float = TARGET_WORK_S,
    pieces: int = 0,
    target_elsewhere: bool = False,
    **limits: int,
) -> AsyncIterator[SocketMesh]:
    """Start a node with a target that responds after work_s.

    The response is a short one, or has that many pieces, one every work_s.
    It is beside this node, or beside another one.
    """
    received: list[bytes] = []
    closed: list[float] = []

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        raw = await reader.read(1_000_000)
        received.append(raw)
        head, _, body = raw.partition(b'\r\n\r\n')
        wanted = _content_length(head)
        while len(body) < wanted and not reader.at_eof():
            body += await reader.read(1_000_000)
        end = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait((end,), timeout=work_s)
        if done:
            closed.append(asyncio.get_running_loop().time())
            return
        await _respond(writer, pieces, work_s)
        await end
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    log = MemoryKeyedLog()
    if configured:
        stated = {**(document or config_document()), 'limits': limits}
        record = KeyedRecord('config', json.dumps(stated).encode())
        await log.append('keyed.op', record)
    caller_port = free_port()
    settings = MeshSettings(
        caller_address=(HOST, caller_port),
        caller_service='desk',
        seeds=(),
        config_stream='keyed.op',
        config_key='config',
        directory_stream='keyed.nodes',
        departures_stream='keyed.departures',
        retry_limits=RetryLimits(),
        termination_grace_s=grace_s,
        revoke_s=revoke_s,
    )
    nodes = [_build_node(settings, log)]
    if target_elsewhere:
        # The log tells one node of a new era.
        shared = PartitionableLog(log)
        nodes.append(
            _build_node(replace(settings, caller_address=None), shared)
        )
    for node in nodes:
        await node.start()
    nodes[-1].lifecycle.record_heartbeat(
        Heartbeat('i-1', 1, 1, 'desk', f'{HOST}:{port}', 4, False, 0),
    )
    await _wait_for_target(nodes[0])
    try:
        yield SocketMesh(
            nodes[0], nodes[-1], log, caller_port, received, closed
        )
    finally:
        for node in nodes:
            await node.stop()
        server.close()


def _build_node(settings: MeshSettings, log: KeyedLog) -> MeshNode:
    address = f'{HOST}:{free_port()}'
    return MeshNode(
        identity=Identity(address, 'a', 'one', 1),
        settings=settings,
        network=TcpNetwork(address),
        log=log,
        profile=PROFILES['convergence'],
        header_names=HEADERS,
        parse=parse_config,
        open_target=lambda _, target_address: HttpTarget(target_address, 8),
        rng=random.Random(1),
    )


async def _wait_for_target(node: MeshNode) -> None:
    await asyncio.sleep(0.3)
    async with asyncio.timeout(5):
        while not node.membership.table.of_service('desk'):
            await asyncio.sleep(0.05)


async def _respond(
    writer: asyncio.StreamWriter, pieces: int, gap_s: float
) -> None:
    head = b'HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: s\r\n'
    if not pieces:
        ending = b'connection: close\r\ncontent-length: 2\r\n\r\nok'
        writer.write(head + ending)
        return
    size = pieces * PIECE_BYTES
    writer.write(head + b'content-length: %d\r\n\r\n' % size)
    for _ in range(pieces):
        writer.write(b'p' * PIECE_BYTES)
        await asyncio.sleep(gap_s)


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return int(line.split(b':')[1])
    return 0
