"""Clients of a soak test, which keep their connections open and may leave."""

import asyncio
import time
from dataclasses import dataclass, replace
from enum import Enum

from filbertdrift import http1
from filbertdrift.errors import FilbertdriftError
from filbertdrift.platform.headers import HEADERS

HOST = 'desk.example'
CONNECT_TIMEOUT_S = 1.0
# How much of a head is sent before a pause.
HEAD_START_BYTES = 16


class Ending(Enum):
    """How a request ended for its client."""

    ANSWERED = 'answered'
    # The client closed the connection before the response.
    LEFT = 'left'
    NO_CONNECTION = 'no connection'
    # The connection ended without a complete response.
    CUT = 'cut'
    # There was no response by the client's deadline.
    NO_ANSWER = 'no answer'


@dataclass(frozen=True, slots=True)
class ClientResult:
    """The end of one request.

    Args:
        ending: How it ended.
        status: Status of the response, 0 if there is none.
        body: Body of the response.
        began_at: Monotonic time at which the head had been sent, 0 if it was
            not.
        sent_at: Monotonic time at which the last part was sent, 0 if it was
            not.
    """

    ending: Ending
    status: int = 0
    body: bytes = b''
    began_at: float = 0
    sent_at: float = 0


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request to send.

    Args:
        request_id: Its id.
        path: Its path.
        body: Its body, empty for a GET.
        deadline_s: Its deadline, from when it is sent.
        wait_s: How long the client waits for the response.
        leaves_after_s: When the client closes the connection, None to wait.
        pause_s: Time between two parts.
        part_bytes: Size of the parts in which the body follows its head, 0 to
            send the first bytes of the head and then the rest.
        is_chunked: The body has chunked transfer coding.
        reads_last: Whether the client sends the last part before it reads.
    """

    request_id: str
    path: str
    body: bytes
    deadline_s: float
    wait_s: float
    leaves_after_s: float | None = None
    pause_s: float = 0
    part_bytes: int = 0
    is_chunked: bool = False
    reads_last: bool = False

    def encode(self) -> list[bytes]:
        """Return the request as HTTP/1.1, in the parts in which it is sent."""
        head = self._encode_head()
        if not self.part_bytes:
            first = HEAD_START_BYTES if self.pause_s else 0
            return [head[:first], head[first:] + self.body]
        parts = [
            http1.BodyPart(
                self.body[start : start + self.part_bytes],
                end=start + self.part_bytes >= len(self.body),
            )
            for start in range(0, len(self.body), self.part_bytes)
        ]
        encoded = [
            http1.encode_part(part, is_chunked=self.is_chunked)
            for part in parts
        ]
        return [head, *encoded]

    def _encode_head(self) -> bytes:
        framing = (b'content-length', b'%d' % len(self.body))
        if self.is_chunked:
            framing = (b'transfer-encoding', b'chunked')
        headers = [
            (b'host', HOST.encode()),
            (HEADERS.request_id, self.request_id.encode()),
            (HEADERS.deadline_ms, b'%d' % (self.deadline_s * 1000)),
            framing,
        ]
        method = 'POST' if self.body else 'GET'
        return http1.encode_request_head(method, self.path, headers)


class _Connection:
    """A connection of a client that carries one request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.is_reusable = True
        self.began_at = 0.0
        self.sent_at = 0.0
        self._reader = reader
        self._writer = writer
        self._responses = http1.ResponseReader(reader, 'node')

    @property
    def is_usable(self) -> bool:
        """Return whether another request can be sent."""
        is_open = not self._reader.at_eof() and not self._writer.is_closing()
        return self.is_reusable and is_open

    async def exchange(self, request: ClientRequest) -> ClientResult:
        """Send a request and read its response."""
        self.began_at = 0
        self.sent_at = 0
        sending = asyncio.ensure_future(self._send(request))
        try:
            if request.reads_last or not request.part_bytes:
                await sending
            return await self._receive(sending)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    async def _send(self, request: ClientRequest) -> None:
        first, *parts = request.encode()
        self._writer.write(first)
        if request.part_bytes:
            self.began_at = time.monotonic()
        for part in parts:
            await asyncio.sleep(request.pause_s)
            self._writer.write(part)
            if request.part_bytes:
                await self._writer.drain()
            elif part:
                self.began_at = time.monotonic()
        self.sent_at = time.monotonic()

    async def _receive(self, sending: asyncio.Future[None]) -> ClientResult:
        head = await self._responses.head()
        chunks = []
        end = False
        while not end:
            part = await self._responses.part()
            chunks.append(part.chunk)
            end = part.end
        self.is_reusable = head.keep_alive
        if head.keep_alive:
            await sending
        return ClientResult(Ending.ANSWERED, head.status, b''.join(chunks))

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class SoakClient:
    """The clients of one instance; they share its open connections.

    Args:
        address: Host and port of the node.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._idle: list[_Connection] = []

    async def send(self, request: ClientRequest) -> ClientResult:
        """Send a request on an open connection, or on a new one."""
        conn = self._pop_usable()
        if conn is None:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    streams = await asyncio.open_connection(*self.address)
            except (OSError, TimeoutError):
                return ClientResult(Ending.NO_CONNECTION)
            conn = _Connection(*streams)
        result = await self._exchange(conn, request)
        if result.ending is Ending.ANSWERED and conn.is_usable:
            self._idle.append(conn)
        else:
            conn.close()
        return replace(result, began_at=conn.began_at, sent_at=conn.sent_at)

    def close(self) -> None:
        """Close the open connections."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    async def _exchange(
        self, conn: _Connection, request: ClientRequest
    ) -> ClientResult:
        leaves = request.leaves_after_s
        limit_s = request.wait_s if leaves is None else leaves
        limit_s += request.pause_s * (len(request.encode()) - 1)
        try:
            async with asyncio.timeout(limit_s):
                return await conn.exchange(request)
        except TimeoutError:
            ending = Ending.NO_ANSWER if leaves is None else Ending.LEFT
            return ClientResult(ending)
        except (OSError, FilbertdriftError):
            return ClientResult(Ending.CUT)

    def _pop_usable(self) -> _Connection | None:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_usable:
                return conn
            conn.close()
        return None
