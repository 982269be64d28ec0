"""Callers of a node whose process stands still."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from standins.mesh_fleet import config_document
from tests.socket_mesh import HOST, SocketMesh, request, socket_mesh
from tests.sockets import RunningNode

TIMEOUT_S = 10.0


@asynccontextmanager
async def stalling_mesh(work_s: float = 0.01) -> AsyncIterator[SocketMesh]:
    """Start two nodes of one process; the target is beside the other one.

    The connection between the nodes is open.
    """
    document = config_document(
        read={'timeout_s': TIMEOUT_S}, write={'timeout_s': TIMEOUT_S}
    )
    async with socket_mesh(
        document=document, work_s=work_s, target_elsewhere=True
    ) as mesh:
        await mesh.send(request())
        mesh.received.clear()
        yield mesh


def connect(mesh: SocketMesh | RunningNode) -> socket.socket:
    """Open a caller's connection, also while the event loop stands still."""
    return socket.create_connection((HOST, mesh.caller_port))


def leave(caller: socket.socket, *headers: str) -> None:
    """Send a request and close the connection."""
    caller.sendall(request(headers=headers))
    caller.close()


def stand_still(seconds: float) -> None:
    """Keep the event loop from running."""
    time.sleep(seconds)


async def settle(seconds: float = 0.7) -> None:
    """Let the node act on what it finds."""
    await asyncio.sleep(seconds)
