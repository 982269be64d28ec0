"""Calls to a node's own endpoints that fail."""

import asyncio

from testtools import TestCase
from testtools.matchers import StartsWith

from filbertdrift.listener import HttpListener, HttpResponse
from tests.socket_mesh import HOST
from tests.sockets import free_port

CALL = b'PUT /x HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n'
PARTS = 100
PART = b'b' * 10_000
PAUSE_S = 0.002


async def fail(method: str, path: str, body: bytes) -> HttpResponse:
    """Fail to serve a call."""
    raise OverflowError('int out of range')


class FailingCallTest(TestCase):
    """A call that fails gets a response."""

    # An unexpected exception closed the connection without a response, so a
    # target did not learn whether its heartbeat had arrived.
    def test_exception(self) -> None:
        response = asyncio.run(self._call())
        self.assertThat(response, StartsWith(b'HTTP/1.1 500 '))

    async def _call(self) -> bytes:
        port = free_port()
        listener = HttpListener(f'{HOST}:{port}', fail)
        await listener.start()
        try:
            return await _send(port)
        finally:
            listener.close()


async def _send(port: int) -> bytes:
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(CALL)
        return await reader.readuntil(b'\r\n\r\n')
    except (OSError, asyncio.IncompleteReadError) as exc:
        return repr(exc).encode()
    finally:
        writer.close()


class RejectedCallTest(TestCase):
    """A call whose body is too large."""

    # The connection was reset, with the 400, while its body arrived.
    def test_response_arrives(self) -> None:
        response = asyncio.run(self._call())
        self.assertThat(response, StartsWith(b'HTTP/1.1 400 '))

    async def _call(self) -> bytes:
        port = free_port()

        listener = HttpListener(f'{HOST}:{port}', fail)
        await listener.start()
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(b'PUT /x HTTP/1.1\r\ncontent-length: 1000000\r\n\r\n')
            for _ in range(PARTS):
                writer.write(PART)
                await writer.drain()
                await asyncio.sleep(PAUSE_S)
            return await reader.read()
        except OSError as exc:
            return repr(exc).encode()
        finally:
            writer.close()
            listener.close()
