"""Exchanges with a target over real sockets."""

import asyncio

from testtools import TestCase
from testtools.matchers import Contains, Equals, Not

from filbertdrift.errors import MalformedMessage
from filbertdrift.target import HttpTarget, TargetRequest

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


class ScriptedServer:
    """Answers each request with the next bytes of a script.

    Args:
        answers: Bytes for one request after the other.
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
    """Return a request that came whole, with a body of no stated length."""
    return TargetRequest('POST', '/x', [(b'host', b'x')], body, is_whole=True)


async def exchange(target: HttpTarget, req: TargetRequest) -> bytes:
    """Make one exchange and return the body."""
    found = await target.exchange(req)
    try:
        await found.send_head()
        await found.head()
        chunks = []
        end = False
        while not end:
            part = await found.part()
            chunks.append(part.chunk)
            end = part.end
        return b''.join(chunks)
    finally:
        found.close()


class FramingTest(TestCase):
    """No body runs into the next request, no answer into the next answer."""

    def test_whole_chunked_body_gets_a_length(self) -> None:
        asyncio.run(self._length())

    async def _length(self) -> None:
        server = ScriptedServer(ANSWER)
        target = HttpTarget(await server.start(), 4)
        await exchange(target, request(b'GET /smuggled HTTP/1.1\r\n\r\n'))
        self.assertThat(server.received[0], Contains(b'content-length: 26'))
        target.close()

    def test_bytes_behind_an_answer_cost_the_connection_only(self) -> None:
        asyncio.run(self._behind())

    async def _behind(self) -> None:
        for extra in (b'garbage\r\n\r\n', ANSWER, b'HTTP/1.1 200 OK\r\n'):
            server = ScriptedServer(ANSWER + extra, ANSWER)
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

    def test_unframed_answer_is_no_answer(self) -> None:
        asyncio.run(self._unframed())

    async def _unframed(self) -> None:
        server = ScriptedServer(b'hello, this is not HTTP\r\n\r\n')
        target = HttpTarget(await server.start(), 4)
        try:
            await exchange(target, request())
        except MalformedMessage as exc:
            self.assertThat(str(exc), Not(Equals('')))
            return
        finally:
            target.close()
        self.fail('bytes that are no answer were taken')
