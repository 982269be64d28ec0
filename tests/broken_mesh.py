"""Nodes beside a target whose responses are broken, and calls to them."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import uvloop

from filbertdrift.errors import LogUnavailable
from filbertdrift.incarnation import Heartbeat
from filbertdrift.registration import Announcement
from standins.broken_target import BrokenTarget
from standins.mesh_fleet import config_document
from tests.socket_mesh import HOST, socket_mesh
from tests.sockets import running_node
from tests.test_cut_responses import other_node

Place = Callable[[BrokenTarget], AbstractAsyncContextManager[int]]
Run = Callable[[Coroutine[Any, Any, None]], None]
RUNNERS: tuple[Run, ...] = (asyncio.run, uvloop.run)
UPLOAD = bytes(8_000_000)
PART_BYTES = 100_000
DEADLINE_S = 10.0
# No route ends a request before its deadline.
UNHURRIED = config_document(write={'timeout_s': DEADLINE_S})
# By then an upload fills the buffers up to the target.
FILLED_S = 0.05
SETTLE_S = 0.1


@dataclass(frozen=True)
class Answer:
    """A complete response.

    Args:
        status: Its status.
        body: Its body, decoded.
        head: Its head, as received.
    """

    status: int
    body: bytes
    head: bytes = field(default=b'', compare=False)


async def call(
    port: int, path: str = '/write/x', upload: bytes = UPLOAD
) -> Answer | None:
    """Send a request to its end.

    Args:
        port: The port of a node for callers.
        path: The path of the request.
        upload: Its body.

    Returns:
        The response, None if it breaks off.
    """
    async with unread_call(port, path, upload) as reader:
        try:
            async with asyncio.timeout(DEADLINE_S * 2):
                return await _read_answer(reader)
        except (OSError, asyncio.IncompleteReadError):
            return None


@asynccontextmanager
async def unread_call(
    port: int, path: str, upload: bytes
) -> AsyncIterator[asyncio.StreamReader]:
    """Send a request; yield its connection and close it at the end."""
    reader, writer = await asyncio.open_connection(HOST, port)
    head = (
        f'POST {path} HTTP/1.1\r\nhost: desk.example\r\nattempt-id: r1\r\n'
        f'deadline-ms: {int(DEADLINE_S * 1000)}\r\n'
        f'content-length: {len(upload)}\r\n\r\n'
    )
    sending = asyncio.create_task(_send(writer, head.encode(), upload))
    try:
        yield reader
    finally:
        sending.cancel()
        writer.transport.abort()


async def let_arrive(target: BrokenTarget) -> None:
    """Let the rest of a script arrive while the event loop stands still."""
    while not target.is_held.is_set():
        await asyncio.sleep(0.001)
    await asyncio.sleep(FILLED_S)
    target.may_go_on.set()
    target.has_ended.wait(1)


@asynccontextmanager
async def node_beside(target: BrokenTarget) -> AsyncIterator[int]:
    """Run a node beside a target; yield its port for callers."""
    address = target.start()
    try:
        async with socket_mesh(document=UNHURRIED) as mesh:
            mesh.node.lifecycle.record_heartbeat(
                Heartbeat('i-2', 2, 1, 'desk', address, 4, False, 0),
            )
            await asyncio.sleep(SETTLE_S)
            yield mesh.caller_port
    finally:
        target.close()


@asynccontextmanager
async def node_elsewhere(target: BrokenTarget) -> AsyncIterator[int]:
    """Run a node beside a target and another; yield the port of the latter."""
    address = target.start()
    try:
        async with (
            socket_mesh(document=UNHURRIED) as mesh,
            other_node(mesh) as port,
        ):
            mesh.node.lifecycle.record_heartbeat(
                Heartbeat('i-2', 2, 1, 'desk', address, 4, False, 0),
            )
            while await call(port, '/write/whole', b'') != Answer(200, b'ok'):
                await asyncio.sleep(SETTLE_S)
            yield port
    finally:
        target.close()


@asynccontextmanager
async def library_port(target: BrokenTarget) -> AsyncIterator[int]:
    """Run a node with INI files; yield the library's port for callers."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.close()

    address = target.start()
    try:
        async with running_node(serve) as node:
            node.node.announce(Announcement('desk', address, 20, 100))
            await asyncio.sleep(SETTLE_S)
            yield node.caller_port
    finally:
        target.close()


async def _send(
    writer: asyncio.StreamWriter, head: bytes, upload: bytes
) -> None:
    with contextlib.suppress(OSError):
        writer.write(head)
        for at in range(0, len(upload), PART_BYTES):
            writer.write(upload[at : at + PART_BYTES])
            await writer.drain()


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    head = await reader.readuntil(b'\r\n\r\n')
    status = int(head.split()[1])
    length = head.lower().partition(b'content-length: ')[2].split()
    if length:
        return Answer(status, await reader.readexactly(int(length[0])), head)
    body = b''
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return Answer(status, body, head)
        body += chunk[:-2]


async def find_error(call_to_log: Awaitable[object]) -> Exception | None:
    """Return the error with which a call to the log ends."""
    try:
        await call_to_log
    except LogUnavailable as exc:
        return exc
    return None
