"""Responses of a target that come before it has read the body."""

import asyncio
import contextlib
import socket
import struct
import threading
import time
from dataclasses import dataclass

import uvloop
from testtools import TestCase
from testtools.matchers import StartsWith

from filbertdrift.incarnation import Heartbeat
from filbertdrift.target import HttpExchange
from tests.socket_mesh import HOST, SocketMesh, socket_mesh
from tests.test_cut_responses import RESET_DELAY_S
from tests.test_unanswered import read_response

HEAD = b'HTTP/1.1 %d X\r\nattempt-id: r1\r\nserver-seal: s\r\n%s'
EARLY = HEAD % (200, b'content-length: 5\r\n\r\nearly')
LAST = EARLY.replace(b'\r\n', b'\r\nconnection: close\r\n', 1)
WHOLE = HEAD % (200, b'content-length: 2\r\n\r\nok')
DEADLINE_S = 1.0
# The next request is answered well before the deadline of the first.
PROMPT_S = 0.5
# So small that the body waits for the target to read.
BUFFER_BYTES = 16_384
# The reset has arrived by the end of it.
BUSY_S = RESET_DELAY_S * 4
MAX_CONNECTIONS = 10
PART_BYTES = 100_000
PARTS = 80
BODY = b''.join(b'%08d' % (at * 8) for at in range(PARTS * PART_BYTES // 8))


async def add_target(mesh: SocketMesh, server: socket.socket) -> None:
    """Replace the target of a node by one with a socket of its own."""
    port = server.getsockname()[1]
    mesh.node.lifecycle.record_heartbeat(
        Heartbeat('i-2', 2, 1, 'desk', f'{HOST}:{port}', 4, False, 0),
    )
    await asyncio.sleep(0.1)


async def upload_and_go_on(port: int) -> tuple[list[bytes], float]:
    """Send an upload and the next request on one connection.

    Returns:
        Both responses, or the errors, and how long after the last byte the
        second came.
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    head = (
        'POST /write/x HTTP/1.1\r\nhost: desk.example\r\nattempt-id: r1\r\n'
        f'deadline-ms: {int(DEADLINE_S * 1000)}\r\n'
        f'content-length: {len(BODY)}\r\n\r\n'
    )
    responses = []
    try:
        writer.write(head.encode())
        for at in range(0, len(BODY), PART_BYTES):
            writer.write(BODY[at : at + PART_BYTES])
            await asyncio.sleep(0.001)
        following = head.replace('/write/', '/read/').partition(
            'content-length'
        )[0]
        writer.write(f'{following}content-length: 0\r\n\r\n'.encode())
        sent_at = time.monotonic()
        responses.append(await read_response(reader))
        responses.append(await read_response(reader))
    except (OSError, asyncio.IncompleteReadError) as exc:
        responses.append(repr(exc).encode())
    finally:
        writer.close()
    return responses, time.monotonic() - sent_at


@dataclass(frozen=True)
class BrokenOff:
    """A response whose connection is reset while the body is being sent.

    Args:
        raw: What the target sends.
        status: What the caller gets.
    """

    raw: bytes
    status: int


BROKEN_OFF = (
    BrokenOff(HEAD % (500, b'content-length: 5\r\n\r\nearly'), 500),
    BrokenOff(LAST, 200),
    BrokenOff(
        HEAD % (503, b'not-executed: 1\r\ncontent-length: 4\r\n\r\nbusy'), 503
    ),
    BrokenOff(HEAD % (200, b'\r\nno length'), 502),
    BrokenOff(HEAD % (200, b'content-length: 9\r\n\r\nshort'), 502),
    BrokenOff(
        HEAD % (200, b'transfer-encoding: chunked\r\n\r\n5\r\nshort\r\n'), 502
    ),
)


def serve_and_reset(server: socket.socket, raw: bytes) -> None:
    """Send each connection a response to its head, then reset it."""
    linger = struct.pack('ii', 1, 0)
    with contextlib.suppress(OSError):
        for _ in range(MAX_CONNECTIONS):
            conn, _ = server.accept()
            received = b''
            while b'\r\n\r\n' not in received:
                received += conn.recv(BUFFER_BYTES) or b'\r\n\r\n'
            conn.sendall(raw)
            time.sleep(RESET_DELAY_S)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            conn.close()


def stay_busy() -> None:
    """Keep the event loop from running."""
    time.sleep(BUSY_S)


class ResetTest(TestCase):
    """A response that has arrived counts, whatever happens to the body."""

    def setUp(self) -> None:
        """Let the node be too busy to read the response before it writes."""
        super().setUp()
        send_body = HttpExchange.send_body

        async def send_late(
            exchange: HttpExchange, chunk: bytes, *, end: bool
        ) -> None:
            stay_busy()
            await send_body(exchange, chunk, end=end)

        self.patch(HttpExchange, 'send_body', send_late)

    # LOST: the failed write of the body dropped the response, and the caller
    # got a 502 for it, also for a refusal that is marked as not run.
    def test_reset_while_the_body_is_sent(self) -> None:
        for case in BROKEN_OFF:
            asyncio.run(self._check(case))

    # As above, with the event loop of the node's process.
    def test_with_the_event_loop_of_the_process(self) -> None:
        for case in BROKEN_OFF:
            uvloop.run(self._check(case))

    async def _check(self, case: BrokenOff) -> None:
        server = socket.create_server((HOST, 0))
        thread = threading.Thread(
            target=serve_and_reset, args=(server, case.raw), daemon=True
        )
        thread.start()
        async with socket_mesh() as mesh:
            await add_target(mesh, server)
            responses, _ = await upload_and_go_on(mesh.caller_port)
        server.close()
        status = f'HTTP/1.1 {case.status} '.encode()
        self.assertThat(responses[0], StartsWith(status), repr(case.raw))
