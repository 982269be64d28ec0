"""A stand-in for a target on the platform: HTTP server and heartbeats."""

import asyncio
import contextlib
import hashlib
import json
import time
from collections import Counter
from dataclasses import dataclass, field

from filbertdrift import http1
from filbertdrift.errors import FilbertdriftError
from filbertdrift.platform.headers import HEADERS

HEARTBEAT_S = 1.0
CALL_TIMEOUT_S = 1.0
QUEUE = 16


@dataclass
class RunLog:
    """What all targets of a fleet ran, by request id."""

    runs: Counter[str] = field(default_factory=Counter)
    # Instance and time on the monotonic clock of each arrival.
    arrivals: list[tuple[str, float]] = field(default_factory=list)
    # Time at which an instance's leaving was acknowledged.
    acknowledged: dict[str, float] = field(default_factory=dict)


def response_body(request_id: str, body: bytes) -> bytes:
    """Return the only right answer to a request."""
    digest = hashlib.blake2b(body, digest_size=8).hexdigest()
    return f'{request_id} {digest}\n'.encode() * 20


class PlatformTarget:
    """One target, of which one incarnation lives at a time.

    Args:
        address: Host and port to listen on.
        said_address: The address that heartbeats state.
        node_calls: Host and port of the node's calls of targets.
        service: Its service.
        log: Where runs are noted.
    """

    def __init__(
        self,
        address: tuple[str, int],
        advertised_address: str,
        node_calls: tuple[str, int],
        service: str,
        log: RunLog,
    ) -> None:
        self.work_s = 0.02
        self.slots = 8
        self.instance = ''
        self._address = address
        self._said_address = advertised_address
        self._node_calls = node_calls
        self._service = service
        self._log = log
        self._born_ms = 0
        self._sequence = 0
        self._state = 'ready'
        self._running = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin a new incarnation."""
        self._born_ms = int(time.time() * 1000)
        self.instance = f'i-{self._address[0]}-{self._born_ms}'
        self._sequence = 0
        self._state = 'ready'
        self._server = await asyncio.start_server(self._serve, *self._address)
        loop = asyncio.get_running_loop()
        self._beats = loop.create_task(self._send_beats())

    def crash(self) -> None:
        """End at once, without a word."""
        if self._beats:
            self._beats.cancel()
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def leave(self) -> None:
        """Report draining until it is acknowledged, then note when.

        If a new incarnation begins meanwhile, the one that left is gone and
        nothing was acknowledged for it.
        """
        leaving = self.instance
        self._state = 'draining'
        is_acknowledged = await self._beat()
        while not is_acknowledged and self.instance == leaving:
            await asyncio.sleep(0.2)
            is_acknowledged = await self._beat()
        if self.instance == leaving:
            self._log.acknowledged[leaving] = time.monotonic()

    async def _send_beats(self) -> None:
        while True:
            await self._beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _beat(self) -> bool:
        self._sequence += 1
        body = json.dumps(
            {
                'service': self._service,
                'address': self._said_address,
                'zone': 'a',
                'version': 'v1',
                'slots': self.slots,
                'state': self._state,
                'cold_remaining_s': 0,
                'seq': self._sequence,
                'born': self._born_ms,
            },
        ).encode()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._call(f'/instances/{self.instance}', body)
        except (OSError, TimeoutError, FilbertdriftError):
            return False

    async def _call(self, path: str, body: bytes) -> bool:
        reader, writer = await asyncio.open_connection(*self._node_calls)
        try:
            length = (b'content-length', b'%d' % len(body))
            head = http1.encode_request_head('PUT', path, [length])
            writer.write(head + body)
            found = await http1.ResponseReader(reader, 'node').head()
        finally:
            writer.close()
        return found.status == 200

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        messages = http1.RequestReader(reader, 'node')
        try:
            with contextlib.suppress(FilbertdriftError, OSError):
                while head := await messages.head():
                    await self._answer(messages, writer, head)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        messages: http1.RequestReader,
        writer: asyncio.StreamWriter,
        head: http1.RequestHead,
    ) -> None:
        chunks = []
        end = False
        while not end:
            part = await messages.part()
            chunks.append(part.chunk)
            end = part.end
        request_id = http1.find_header(head.headers, HEADERS.request_id)
        wanted = http1.find_header(head.headers, HEADERS.expected_instance)
        echoed = (HEADERS.request_id, request_id.encode())
        if wanted and wanted != self.instance:
            _write(writer, 421, [echoed], b'')
            return
        if not head.path.startswith('/health'):
            self._log.arrivals.append((self.instance, time.monotonic()))
        if self._running >= self.slots + QUEUE:
            _write(writer, 503, [echoed, (HEADERS.not_run, b'1')], b'')
            return
        if not head.path.startswith('/health'):
            self._log.runs[request_id] += 1
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        body = response_body(request_id, b''.join(chunks))
        _write(writer, 200, [echoed, (HEADERS.seal, b'seal')], body)
        await writer.drain()


def _write(
    writer: asyncio.StreamWriter,
    status: int,
    headers: http1.Headers,
    body: bytes,
) -> None:
    length = (b'content-length', b'%d' % len(body))
    writer.write(http1.encode_response_head(status, [*headers, length]) + body)
