"""The server for callers over real sockets: framing and invalid input."""

import asyncio
import contextlib
import struct

from testtools import TestCase
from testtools.matchers import Contains, Equals, HasLength, StartsWith

from tests.sockets import RunningNode, read_request, running_node

RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n'
CHUNKED_RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
UPLOAD_BYTES = 3_000_000


class ScriptedTarget:
    """A target that records requests and selects its response by path."""

    def __init__(self) -> None:
        self.requests: list[bytes] = []
        self.body_bytes = 0

    async def __call__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                await self._serve(await read_request(reader), writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _serve(
        self,
        request: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.requests.append(request)
        self.body_bytes = len(request.partition(b'\r\n\r\n')[2])
        path = request.split()[1]
        if path.endswith(b'/cut'):
            writer.write(RESPONSE_HEAD + b'he')
            writer.close()
        elif path.endswith(b'/cut-chunk'):
            writer.write(CHUNKED_RESPONSE_HEAD + b'3\r\nhel\r\n')
            writer.close()
        elif path.endswith(b'/chunked'):
            writer.write(CHUNKED_RESPONSE_HEAD + b'3\r\nhel\r\n')
            await asyncio.sleep(0.01)
            writer.write(b'2\r\nlo\r\n0\r\n\r\n')
        elif path.endswith(b'/garbage'):
            writer.write(b'what is this\r\n\r\n')
        else:
            writer.write(RESPONSE_HEAD)
            await writer.drain()
            await asyncio.sleep(0.01)
            writer.write(b'hello')


class CallerTest(TestCase):
    """Each test sends bytes to one node and checks the bytes it returns."""

    def run_case(self, case) -> ScriptedTarget:  # type: ignore[no-untyped-def]
        """Run a case against a node, which must serve requests afterwards."""
        target = ScriptedTarget()

        async def main() -> None:
            async with running_node(target) as running:
                await case(running)
                response = await running.get('/desk/after')
                self.assertThat(response, Contains(b'hello'))

        asyncio.run(main())
        return target

    def test_body_after_head(self) -> None:
        async def case(running: RunningNode) -> None:
            response = await running.get('/desk/slow')
            self.assertThat(response, StartsWith(b'HTTP/1.1 200 OK'))
            self.assertThat(
                response, Contains(b'filbertdrift-outcome: answered')
            )
            self.assertThat(response[-5:], Equals(b'hello'))

        self.run_case(case)

    def test_chunked_response(self) -> None:
        async def case(running: RunningNode) -> None:
            response = await running.get('/desk/chunked')
            self.assertThat(response, Contains(b'transfer-encoding: chunked'))
            self.assertThat(response[-5:], Equals(b'0\r\n\r\n'))

        self.run_case(case)

    def test_two_requests_on_one_connection(self) -> None:
        async def case(running: RunningNode) -> None:
            one = b'GET /desk/1 HTTP/1.1\r\nhost: x\r\n\r\n'
            two = b'GET /desk/2 HTTP/1.1\r\nconnection: close\r\n\r\n'
            response = await running.send(one + two)
            self.assertThat(response.count(b'hello'), Equals(2))

        self.run_case(case)

    def test_truncated_response_is_not_complete(self) -> None:
        async def case(running: RunningNode) -> None:
            for path in ('/desk/cut', '/desk/cut-chunk'):
                response = await running.get(path)
                whole = response.endswith((b'hello', b'0\r\n\r\n'))
                self.assertFalse(whole, response)

        self.run_case(case)

    def test_garbage_from_target_is_unknown(self) -> None:
        async def case(running: RunningNode) -> None:
            request = b'POST /desk/garbage HTTP/1.1\r\ncontent-length: 0\r\n'
            response = await running.send(
                request + b'connection: close\r\n\r\n'
            )
            self.assertThat(response, StartsWith(b'HTTP/1.1 502'))
            self.assertThat(response, Contains(b'outcome: unknown'))

        self.run_case(case)

    def test_body_truncated_by_caller(self) -> None:
        async def case(running: RunningNode) -> None:
            head = b'POST /desk/x HTTP/1.1\r\ncontent-length: 100\r\n\r\n'
            await running.send(head + b'short', close_after_send=True)

        target = self.run_case(case)
        self.assertThat(target.requests, HasLength(1))

    def test_head_too_large(self) -> None:
        async def case(running: RunningNode) -> None:
            response = await running.get('/desk/x', f'x-large: {"x" * 90_000}')
            self.assertThat(response, StartsWith(b'HTTP/1.1 431'))

        self.run_case(case)

    def test_not_http(self) -> None:
        async def case(running: RunningNode) -> None:
            response = await running.send(b'\x16\x03\x01 hello\r\n\r\n')
            self.assertThat(response, StartsWith(b'HTTP/1.1 400'))
            self.assertThat(response, Contains(b'outcome: not-run'))

        self.run_case(case)

    def test_malformed_frames(self) -> None:
        async def case(running: RunningNode) -> None:
            for raw in (
                struct.pack('>I', 2**31) + b'x',
                struct.pack('>I', 5) + b'\xff\xfe\xfd\xfc\xfb',
                struct.pack('>I', 1) + b'\x00',
            ):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1',
                    running.peer_port,
                )
                writer.write(raw)
                self.assertThat(await reader.read(), Equals(b''))
                writer.close()
            counters = running.node.network.counters
            self.assertThat(counters.malformed, Equals(3))

        self.run_case(case)

    def test_no_route(self) -> None:
        async def case(running: RunningNode) -> None:
            response = await running.get('/nowhere')
            self.assertThat(response, StartsWith(b'HTTP/1.1 404'))

        self.run_case(case)

    def test_large_upload(self) -> None:
        async def case(running: RunningNode) -> None:
            head = 'POST /desk/up HTTP/1.1\r\nconnection: close\r\n'
            head += f'content-length: {UPLOAD_BYTES}\r\n\r\n'
            response = await running.send(head.encode() + b'x' * UPLOAD_BYTES)
            self.assertThat(response, Contains(b'hello'))
            self.assertThat(target.body_bytes, Equals(UPLOAD_BYTES))

        target = ScriptedTarget()

        async def main() -> None:
            async with running_node(target) as running:
                await case(running)

        asyncio.run(main())

    def test_expect_continue_and_chunked_upload(self) -> None:
        async def case(running: RunningNode) -> None:
            head = b'POST /desk/up HTTP/1.1\r\nexpect: 100-continue\r\n'
            head += b'connection: close\r\ntransfer-encoding: chunked\r\n\r\n'
            response = await running.send(head + b'3\r\nabc\r\n0\r\n\r\n')
            self.assertThat(response, StartsWith(b'HTTP/1.1 100 Continue'))
            self.assertThat(response, Contains(b'hello'))

        self.run_case(case)

    def test_silent_target_connections_are_replaced(self) -> None:
        silent: set[asyncio.StreamWriter] = set()
        served: set[asyncio.StreamWriter] = set()

        async def on_target(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            served.add(writer)
            with contextlib.suppress(asyncio.IncompleteReadError):
                while await read_request(reader):
                    if writer not in silent:
                        writer.write(RESPONSE_HEAD + b'hello')
            writer.close()

        async def main() -> None:
            async with running_node(on_target) as running:
                both = [running.get('/desk/1'), running.get('/desk/2')]
                await asyncio.gather(*both)
                silent.update(served)
                lost = await running.get(
                    '/desk/3',
                    'x-filbertdrift-timeout-ms: 1500',
                )
                self.assertThat(lost, StartsWith(b'HTTP/1.1 504'))
                for _ in range(3):
                    found = await running.get('/desk/4')
                    self.assertThat(found, StartsWith(b'HTTP/1.1 200'))

        asyncio.run(main())

    def test_drain_completes_requests_in_progress(self) -> None:
        target = ScriptedTarget()

        async def main() -> None:
            async with running_node(target) as running:
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1',
                    running.caller_port,
                )
                request = b'GET /desk/slow HTTP/1.1\r\nhost: x\r\n\r\n'
                writer.write(request)
                await reader.readuntil(b'hello')
                writer.write(request)
                while len(target.requests) < 2:
                    await asyncio.sleep(0)
                draining = asyncio.create_task(running.node.drain())
                response = await reader.readuntil(b'hello')
                self.assertThat(response, Contains(b'200 OK'))
                writer.close()
                await draining

        asyncio.run(main())
        self.assertThat(target.requests, HasLength(2))

    def test_drain_completes_uploads(self) -> None:
        target = ScriptedTarget()
        part = b'x' * (UPLOAD_BYTES // 10)

        async def main() -> None:
            async with running_node(target) as running:
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1',
                    running.caller_port,
                )
                head = (
                    f'POST /desk/up HTTP/1.1\r\ncontent-length: {UPLOAD_BYTES}'
                )
                writer.write(head.encode() + b'\r\n\r\n' + part)
                while not running.node.server.in_progress:
                    await asyncio.sleep(0)
                draining = asyncio.create_task(running.node.drain())
                for _ in range(9):
                    await asyncio.sleep(0.3)
                    writer.write(part)
                response = await reader.readuntil(b'hello')
                self.assertThat(response, Contains(b'200 OK'))
                self.assertThat(response, Contains(b'connection: close'))
                await draining

        asyncio.run(main())
        self.assertThat(target.body_bytes, Equals(UPLOAD_BYTES))
