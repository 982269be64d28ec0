"""Bytes without end from a target or a caller are bounded and broken off."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, StartsWith
from testtools.testcase import ExpectedException

from filbertdrift import http1
from filbertdrift.http1 import MessageTruncated
from filbertdrift.lifecycle import Heartbeat
from tests.sockets import read_request
from tests.test_entry import request as caller_request
from tests.test_entry import socket_mesh

HOST = '127.0.0.1'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
OK_HEAD = b'HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: s\r\n'
STRAY = b'HTTP/1.1 200 OK\r\nattempt-id: other\r\n'
MAX_READ_BYTES = 1_048_576
MAX_READS_AT_END = 100


class ScriptedStream(asyncio.StreamReader):
    """A stream that yields bytes and then others without end.

    Args:
        first: The bytes at the beginning.
        unit: Repeated without end; if empty, the stream ends.
    """

    def __init__(self, first: bytes, unit: bytes = b'') -> None:
        super().__init__()
        self.read_bytes = 0
        self.reads_at_end = 0
        self._first = first
        self._unit = unit

    async def read(self, n: int = -1) -> bytes:
        raw = self._first[:n] or self._unit * (n // max(len(self._unit), 1))
        self._first = self._first[n:]
        self.read_bytes += len(raw)
        self.reads_at_end += not raw
        if self.read_bytes > MAX_READ_BYTES:
            raise AssertionError('read without end')
        if self.reads_at_end > MAX_READS_AT_END:
            raise AssertionError('the end was read without end')
        return raw


async def read_response(first: bytes, unit: bytes = b'') -> bytes:
    """Read one response from a scripted stream and return its body."""
    stream = ScriptedStream(first, unit)
    responses = http1.ResponseReader(stream, 'target')
    await responses.head()
    chunks = []
    end = False
    while not end:
        part = await responses.part()
        chunks.append(part.chunk)
        end = part.end
    return b''.join(chunks)


class ReaderTest(TestCase):
    """A reader of responses bounds what it reads beside a body."""

    # A target that closed after an interim head stopped the node's event loop.
    def test_end_after_interim_head(self) -> None:
        for first in (INTERIM, INTERIM + b'HTTP/1.1 200 OK\r\n'):
            with ExpectedException(MessageTruncated):
                asyncio.run(read_response(first))

    # The end of a close-delimited body was also taken for the next response.
    def test_end_after_close_delimited_body(self) -> None:
        asyncio.run(self._next_response())

    async def _next_response(self) -> None:
        stream = ScriptedStream(OK_HEAD + b'\r\nbody')
        responses = http1.ResponseReader(
            stream, 'target', was_reset=lambda: False
        )
        await responses.head()
        self.assertThat((await responses.part()).chunk, Equals(b'body'))
        self.assertThat((await responses.part()).end, Equals(True))
        with ExpectedException(MessageTruncated):
            await responses.head()


class EndlessResponseTest(TestCase):
    """A caller gets an honest end and the target's connection is closed."""

    # A target that closed after such a response stopped the event loop.
    def test_end_after_another_response(self) -> None:
        asyncio.run(self._end_after_stray())

    async def _end_after_stray(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            writer.write(STRAY + b'\r\nbody')
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with socket_mesh() as mesh:
            mesh.node.lifecycle.record_heartbeat(
                Heartbeat('i-2', 2, 1, 'desk', f'{HOST}:{port}', 4, False, 0),
            )
            await asyncio.sleep(0.1)
            response = await mesh.send(caller_request('/write/x'))
        self.assertThat(response, StartsWith(b'HTTP/1.1 502 '))
