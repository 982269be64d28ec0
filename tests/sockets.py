"""A node with a scripted target on loopback sockets."""

import asyncio
import itertools
import os
import random
import socket
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from filbertdrift.http1 import LAST_CHUNK, READ_BYTES
from filbertdrift.identity import Identity
from filbertdrift.log import MemoryLog
from filbertdrift.network import TcpNetwork
from filbertdrift.node import Node
from filbertdrift.profile import PROFILES
from filbertdrift.registration import Announcement
from filbertdrift.target import HttpTarget
from tests.builders import config_record, service_files

ServeConnection = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


@dataclass
class RunningNode:
    """A running node with a target, and requests to it as a caller.

    Attributes:
        node: The node.
        caller_port: The port for callers.
        peer_port: The port for other nodes.
    """

    node: Node
    caller_port: int
    peer_port: int

    async def send(
        self, raw: bytes, *, close_after_send: bool = False
    ) -> bytes:
        """Send bytes as a caller and return the response.

        Args:
            raw: The bytes to send.
            close_after_send: Whether to close the connection without reading.

        Returns:
            All bytes until the connection is closed; b'reset' if it is
            reset, and nothing if close_after_send is set.
        """
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            self.caller_port,
        )
        writer.write(raw)
        if close_after_send:
            writer.close()
            return b''
        try:
            return await reader.read()
        except ConnectionResetError:
            return b'reset'
        finally:
            writer.close()

    async def get(self, path: str, *headers: str) -> bytes:
        """Send a GET request on a new connection."""
        lines = [f'GET {path} HTTP/1.1', 'host: x', 'connection: close']
        raw = '\r\n'.join([*lines, *headers, '', '']).encode()
        return await self.send(raw)


_PORTS = itertools.cycle(range(20_000 + os.getpid() % 8000, 30_000))


def free_port() -> int:
    """Return a port below the ephemeral range that is free for TCP and UDP."""
    for port in _PORTS:
        kinds = (socket.SOCK_DGRAM, socket.SOCK_STREAM)
        if all(_is_free(port, kind) for kind in kinds):
            return port
    raise AssertionError('ports never end')


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


@asynccontextmanager
async def running_node(serve_connection: ServeConnection):  # type: ignore[no-untyped-def]
    """Run a configured node whose target is a function.

    Args:
        serve_connection: Serves one connection to the target.

    Yields:
        The running node.
    """
    target = await asyncio.start_server(serve_connection, '127.0.0.1', 0)
    target_port = target.sockets[0].getsockname()[1]
    peer_port, caller_port = free_port(), free_port()
    address = f'127.0.0.1:{peer_port}'
    node = Node(
        identity=Identity(address, 'a', 'one', 1),
        network=TcpNetwork(address),
        log=MemoryLog(),
        profile=PROFILES['convergence'],
        seeds=(),
        open_target=HttpTarget,
        checkpoint_interval_s=600,
        claim_ttl_s=600,
        rng=random.Random(1),
    )
    await node.start()
    await node.callers.start('127.0.0.1', caller_port)
    await node.publisher.publish(config_record('r', service_files('desk')))
    node.announce(Announcement('desk', f'127.0.0.1:{target_port}', 20, 100))
    try:
        yield RunningNode(node, caller_port, peer_port)
    finally:
        await node.stop()
        target.close()


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Return the head of a request and its body, undecoded."""
    head = await reader.readuntil(b'\r\n\r\n')
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            head += await reader.readexactly(int(line.split(b':')[1]))
        if line == b'transfer-encoding: chunked':
            head += await _read_chunks(reader)
    return head


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a body in chunks, which may exceed the limit of readuntil."""
    body = b''
    while LAST_CHUNK not in body:
        raw = await reader.read(READ_BYTES)
        if not raw:
            raise asyncio.IncompleteReadError(body, None)
        body += raw
    return body
