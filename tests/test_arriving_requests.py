"""Requests that arrive while their node closes connections without one."""

import asyncio
import fcntl
import socket
import struct
import termios
import time

from testtools import TestCase
from testtools.matchers import Contains, StartsWith

from standins.mesh_fleet import config_document
from tests.socket_mesh import HOST, SocketMesh, request, socket_mesh

WORK_S = 0.02
IDLE_TIMEOUT_S = 1
RAW = request(keep=True)
# The timeout of the route has not passed when the idle timeout has.
PATIENT = config_document(read={'timeout_s': 10.0})


async def open_idle(
    mesh: SocketMesh,
) -> tuple[socket.socket, asyncio.StreamWriter]:
    """Open a connection, and wait until the node waits for a request on it.

    Returns:
        The caller's socket, and the node's side.
    """
    accepted: list[asyncio.StreamWriter] = []
    serve = mesh.node.entry.serve

    async def serve_and_note(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        accepted.append(writer)
        await serve(reader, writer)  # type: ignore[arg-type]

    mesh.node.entry.serve = serve_and_note  # type: ignore[method-assign]
    sock = socket.create_connection((HOST, mesh.caller_port))
    while not accepted:
        await asyncio.sleep(0)
    return sock, accepted[0]


def send_to_kernel(sock: socket.socket) -> None:
    """Send a request while the loop does not run."""
    sock.sendall(RAW)
    while _unacknowledged_bytes(sock):
        time.sleep(0.001)


def _unacknowledged_bytes(sock: socket.socket) -> int:
    raw = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
    return int(struct.unpack('i', raw)[0])


async def read_response(sock: socket.socket) -> bytes:
    """Return the head of the response, or the error, and close."""
    sock.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=sock)
    try:
        return await reader.readuntil(b'\r\n\r\n')
    except (OSError, asyncio.IncompleteReadError) as exc:
        return repr(exc).encode()
    finally:
        writer.close()


class ClosingTest(TestCase):
    """A request that has arrived is served when idle connections close."""

    # LOST: a request that a stopping node had received was dropped, as the
    # task of its connection still waited for it.
    def test_request_that_was_received(self) -> None:
        self._check(asyncio.run(self._received()))

    async def _received(self) -> bytes:
        async with socket_mesh(work_s=WORK_S) as mesh:
            sock, writer = await open_idle(mesh)
            protocol = writer.transport.get_protocol()
            protocol.data_received(RAW)  # type: ignore[union-attr]
            mesh.node.entry.close_idle()
            return await read_response(sock)

    # The same while the bytes are in the socket and the loop is late.
    def test_request_in_the_socket(self) -> None:
        self._check(asyncio.run(self._in_socket()))

    async def _in_socket(self) -> bytes:
        async with socket_mesh(work_s=WORK_S) as mesh:
            sock, _ = await open_idle(mesh)
            send_to_kernel(sock)
            mesh.node.entry.close_idle()
            return await read_response(sock)

    # A request on a connection that the kernel had accepted was reset.
    def test_request_in_the_backlog(self) -> None:
        self._check(asyncio.run(self._in_backlog()))

    async def _in_backlog(self) -> bytes:
        async with socket_mesh(work_s=WORK_S) as mesh:
            sock = socket.create_connection((HOST, mesh.caller_port))
            send_to_kernel(sock)
            mesh.node.entry.close_idle()
            return await read_response(sock)

    def _check(self, response: bytes) -> None:
        self.assertThat(response, StartsWith(b'HTTP/1.1 200 '))
        self.assertThat(response, Contains(b'connection: close'))


class IdleTimeoutTest(TestCase):
    """The idle timeout does not end a request that has arrived."""

    # LOST: a request was received as the idle timeout ended, and dropped.
    def test_request_received_at_the_idle_timeout(self) -> None:
        response = asyncio.run(self._late())
        self.assertThat(response, StartsWith(b'HTTP/1.1 200 '))

    async def _late(self) -> bytes:
        async with socket_mesh(
            document=PATIENT, work_s=WORK_S, idle_timeout_s=IDLE_TIMEOUT_S
        ) as mesh:
            sock, _ = await open_idle(mesh)
            send_to_kernel(sock)
            # Both are due when the loop goes on.
            time.sleep(IDLE_TIMEOUT_S)  # noqa: ASYNC251
            return await read_response(sock)
