"""Exceptions that come once a response has begun."""

import asyncio
import contextlib

from testtools import TestCase
from testtools.matchers import Equals, StartsWith

from tests.socket_mesh import HOST, request, socket_mesh

CHUNK = b'%x\r\n%s\r\n' % (0x4000, b'u' * 0x4000)
CHUNKED = 'transfer-encoding: chunked'
LIMIT_BYTES = 0x18000
READ_BYTES = 0x10000
TIMEOUT_S = 5


class LateLimitTest(TestCase):
    """An upload exceeds its limit while the response to it arrives."""

    # MIXED: a 413 of the node followed the first bytes of a target's response.
    def test_no_second_response(self) -> None:
        raw = asyncio.run(self._upload())
        self.assertThat(raw, StartsWith(b'HTTP/1.1 200 '))
        self.assertThat(raw.count(b'HTTP/1.1 '), Equals(1))

    async def _upload(self) -> bytes:
        async with socket_mesh(
            work_s=0.5, pieces=2, max_body_bytes=LIMIT_BYTES
        ) as mesh:
            reader, writer = await asyncio.open_connection(
                HOST, mesh.caller_port
            )
            writer.write(request('/write/x', headers=(CHUNKED,)))
            writer.write(CHUNK * 5)
            raw = await reader.read(1)
            writer.write(CHUNK * 5)
            async with asyncio.timeout(TIMEOUT_S):
                with contextlib.suppress(ConnectionError):
                    while chunk := await reader.read(READ_BYTES):
                        raw += chunk
            writer.close()
            return raw
