"""Exchanges with a target over real sockets."""

import asyncio
import socket
import struct
import threading
import time

import uvloop
from testtools import TestCase
from testtools.matchers import Contains, Equals, Not
from testtools.testcase import ExpectedException

from filbertdrift.errors import MalformedMessage
from filbertdrift.http1 import MessageTruncated
from filbertdrift.target import Exchange, HttpTarget, TargetRequest

RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


class ScriptedServer:
    """Replies to each request with the next bytes of a script.

    Args:
        answers: Responses, one for each request in turn.
    """

    def __init__(self, *answers: bytes) -> None:
        self.answers = list(answers)
        self.received: list[bytes] = []
        self.connections = 0

    async def start(self) -> str:
        """Listen and return the address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        while self.answers:
            raw = await reader.read(65_536)
            if not raw:
                break
            self.received.append(raw)
            writer.write(self.answers.pop(0))
        await reader.read(1)


def request(body: bytes = b'') -> TargetRequest:
    """Return a request received in full, with a body of no stated length."""
    return TargetRequest('POST', '/x', [(b'host', b'x')], body, is_whole=True)


async def exchange(target: HttpTarget, req: TargetRequest) -> bytes:
    """Make one exchange and return the body."""
    http_exchange = await target.open_exchange(req)
    try:
        await http_exchange.send_head()
        return await read_whole_body(http_exchange)
    finally:
        http_exchange.close()


async def read_whole_body(http_exchange: Exchange) -> bytes:
    """Read the head and the whole body of a response."""
    await http_exchange.head()
    chunks = []
    end = False
    while not end:
        part = await http_exchange.part()
        chunks.append(part.chunk)
        end = part.end
    return b''.join(chunks)


class FramingTest(TestCase):
    """Bodies and responses do not run into those of the next exchange."""

    def test_whole_chunked_body_gets_a_length(self) -> None:
        asyncio.run(self._length())

    async def _length(self) -> None:
        server = ScriptedServer(RESPONSE)
        target = HttpTarget(await server.start(), 4)
        await exchange(target, request(b'GET /smuggled HTTP/1.1\r\n\r\n'))
        self.assertThat(server.received[0], Contains(b'content-length: 26'))
        target.close()

    def test_bytes_after_a_response_prevent_reuse(self) -> None:
        asyncio.run(self._trailing())

    async def _trailing(self) -> None:
        for extra in (b'garbage\r\n\r\n', RESPONSE, b'HTTP/1.1 200 OK\r\n'):
            server = ScriptedServer(RESPONSE + extra, RESPONSE)
            target = HttpTarget(await server.start(), 4)
            self.assertThat(
                await exchange(target, request()),
                Equals(b'ok'),
            )
            self.assertThat(
                await exchange(target, request()),
                Equals(b'ok'),
            )
            self.assertThat(server.connections, Equals(2))
            target.close()

    def test_malformed_response(self) -> None:
        asyncio.run(self._malformed())

    async def _malformed(self) -> None:
        server = ScriptedServer(b'hello, this is not HTTP\r\n\r\n')
        target = HttpTarget(await server.start(), 4)
        try:
            await exchange(target, request())
        except MalformedMessage as exc:
            self.assertThat(str(exc), Not(Equals('')))
            return
        finally:
            target.close()
        self.fail('bytes that are not HTTP were accepted')


class CloseDelimitedTest(TestCase):
    """A response without a length ends when its connection is closed.

    The event loop gets the response and the end of the connection at once, so
    a reset may look like a close and a truncated body like a whole one.
    """

    def test_reset_truncates_the_body(self) -> None:
        for runner in (asyncio.run, uvloop.run):
            with ExpectedException(MessageTruncated):
                runner(self._cut(with_reset=True))

    def test_close_ends_the_body(self) -> None:
        for runner in (asyncio.run, uvloop.run):
            body = runner(self._cut(with_reset=False))
            self.assertThat(body, Equals(b'part'))

    async def _cut(self, *, with_reset: bool) -> bytes:
        listener = socket.create_server(('127.0.0.1', 0))
        done = threading.Event()

        def serve() -> None:
            conn, _ = listener.accept()
            conn.recv(65_536)
            time.sleep(0.05)
            conn.sendall(b'HTTP/1.1 200 OK\r\n\r\npart')
            if with_reset:
                linger = struct.pack('ii', 1, 0)
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            conn.close()
            listener.close()
            done.set()

        thread = threading.Thread(target=serve)
        thread.start()
        port = listener.getsockname()[1]
        target = HttpTarget(f'127.0.0.1:{port}', 4)
        try:
            http_exchange = await target.open_exchange(request())
            await http_exchange.send_head()
            await asyncio.sleep(0.01)
            done.wait()
            return await read_whole_body(http_exchange)
        finally:
            target.close()
            thread.join()


class IdleTest(TestCase):
    """Idle connections may be dead, so some requests need a fresh one."""

    def test_request_with_idle_limit(self) -> None:
        asyncio.run(self._fresh())

    async def _fresh(self) -> None:
        server = ScriptedServer(RESPONSE, RESPONSE, RESPONSE)
        target = HttpTarget(await server.start(), 4)
        await exchange(target, request())
        await asyncio.sleep(0.05)
        fresh_only = request()
        fresh_only.max_idle_s = 0.01
        await exchange(target, fresh_only)
        self.assertThat(server.connections, Equals(2))
        await exchange(target, request())
        self.assertThat(server.connections, Equals(2))
        target.close()
