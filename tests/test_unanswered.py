"""Each request that a node has read gets a whole response."""

import asyncio
from collections.abc import Mapping
from typing import Any

from loguru import logger
from testtools import TestCase
from testtools.matchers import Contains, Equals, HasLength, StartsWith

from filbertdrift.errors import RequestNotRun
from filbertdrift.routed import RoutedRequest, RoutedResponse
from tests.socket_mesh import HOST, SocketMesh, request, socket_mesh

PARTS = 20
PART = b'1000\r\n' + b'u' * 0x1000 + b'\r\n'
PAUSE_S = 0.01


async def upload(mesh: SocketMesh, path: str = '/write/x') -> bytes:
    """Send a chunked upload in parts, to its end, and return the response."""
    reader, writer = await asyncio.open_connection(HOST, mesh.caller_port)
    head = request(path, headers=('transfer-encoding: chunked',), keep=True)
    try:
        writer.write(head)
        for _ in range(PARTS):
            writer.write(PART)
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        writer.write(b'0\r\n\r\n')
        response = await reader.readuntil(b'\r\n\r\n')
        return response + await _read_body(reader, response)
    except (OSError, asyncio.IncompleteReadError) as exc:
        return repr(exc).encode()
    finally:
        writer.close()


async def _read_body(reader: asyncio.StreamReader, head: bytes) -> bytes:
    for line in head.split(b'\r\n'):
        name, _, text = line.partition(b': ')
        if name == b'content-length':
            return await reader.readexactly(int(text))
    return b''


def logged(test: TestCase) -> list[Mapping[str, Any]]:
    """Return the list that receives the fields of each log line of a test."""
    lines: list[Mapping[str, Any]] = []
    sink = logger.add(lambda message: lines.append(message.record['extra']))
    test.addCleanup(logger.remove, sink)
    return lines


class UploadTest(TestCase):
    """A response that is final before the body was read arrives whole."""

    # LOST: a node closed the connection of an upload with bytes unread, which
    # reset it and took the response along.
    def test_upload_without_a_route(self) -> None:
        response = asyncio.run(self._without_route())
        self.assertThat(response, StartsWith(b'HTTP/1.1 404 '))

    async def _without_route(self) -> bytes:
        async with socket_mesh() as mesh:
            return await upload(mesh, '/other/x')

    def test_upload_without_room(self) -> None:
        response = asyncio.run(self._without_room())
        self.assertThat(response, StartsWith(b'HTTP/1.1 503 '))

    async def _without_room(self) -> bytes:
        async with socket_mesh() as mesh:

            async def refuse(routed: RoutedRequest) -> RoutedResponse:
                raise RequestNotRun('no room', retry_after_ms=1)

            mesh.node.dispatcher.dispatch = refuse  # type: ignore[method-assign]
            return await upload(mesh)


class ExceptionTest(TestCase):
    """An unexpected exception ends a request with a true response."""

    # LOST: an exception in the bookkeeping of targets closed the connection of
    # a request without a response and without a line with its id.
    def test_exception_before_a_target_had_it(self) -> None:
        response = asyncio.run(self._failing(may_have_run=False))
        self.assertThat(response, StartsWith(b'HTTP/1.1 503 '))
        self.assertThat(response, Contains(b'retry-after: '))

    def test_exception_while_a_target_may_run_it(self) -> None:
        response = asyncio.run(self._failing(may_have_run=True))
        self.assertThat(response, StartsWith(b'HTTP/1.1 502 '))

    async def _failing(self, *, may_have_run: bool) -> bytes:
        lines = logged(self)
        async with socket_mesh() as mesh:

            async def fail(routed: RoutedRequest) -> RoutedResponse:
                routed.req.may_have_run = may_have_run
                raise OverflowError('int too large to convert to float')

            mesh.node.dispatcher.dispatch = fail  # type: ignore[method-assign]
            response = await mesh.send(request())
        named = [line for line in lines if line.get('request') == 'r1']
        self.assertThat(named, HasLength(1))
        self.assertThat(named[0]['event'], Equals('request_failed'))
        return response
