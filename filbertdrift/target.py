"""Connection pool of the local target and the exchanges on its connections."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from filbertdrift import http1
from filbertdrift.errors import MalformedMessage, PeerUnavailable
from filbertdrift.network import split_address
from filbertdrift.responsestream import ResponseProtocol
from filbertdrift.target_connection import TargetConnection, TargetStream

CONNECT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 1.0
NO_RESPONSE_TIMEOUT_S = 1.0
FIRST_ERROR_STATUS = 400
MAX_IDLE_REUSE_S = 4.0
# Share of the target's keep-alive timeout during which a connection is reused:
# later the target may close it while a request is in flight.
KEEP_ALIVE_REUSE_SHARE = 0.5

OnHead = Callable[[http1.ResponseHead], None]


def ignore_head(head: http1.ResponseHead) -> None:
    """Do nothing."""


@dataclass(slots=True)
class TargetRequest:
    """A request to the target.

    Args:
        method: Upper case.
        path: The request target, query included.
        headers: End-to-end headers.
        first_chunk: The beginning of the body.
        is_whole: True if the body ends with the first chunk.
        max_idle_s: Connections that were idle for longer are not reused.
    """

    method: str
    path: str
    headers: http1.Headers
    first_chunk: bytes
    is_whole: bool
    max_idle_s: float = float('inf')


class Exchange(ABC):
    """One request to the target and its response.

    Attributes:
        is_first: No other exchange preceded it on its connection.
        connected_at: When its connection was established, on the loop's clock.
    """

    is_first = True
    connected_at: float

    @abstractmethod
    async def send_head(self) -> None:
        """Send the head and the beginning of the body.

        Raises:
            PeerUnavailable: The connection broke; the target may have run the
                request.
        """

    @abstractmethod
    async def send_body(self, chunk: bytes, *, end: bool) -> None:
        """Send a further part of the body.

        Args:
            chunk: The bytes.
            end: True if the body ends with them.

        Raises:
            PeerUnavailable: The connection broke.
        """

    @abstractmethod
    async def head(self) -> http1.ResponseHead:
        """Return the response's head.

        Raises:
            PeerUnavailable: The connection broke.
            MalformedMessage: The target did not send HTTP.
        """

    @abstractmethod
    def buffered_part(self) -> http1.BodyPart:
        """Return what is buffered of the response's body, without waiting."""

    @abstractmethod
    async def part(self) -> http1.BodyPart:
        """Return the next part of the response's body.

        Raises:
            MessageTruncated: The response is truncated.
            MalformedMessage: The target did not send HTTP.
        """

    @abstractmethod
    def forbid_reuse(self) -> None:
        """Keep the connection from being reused."""

    @abstractmethod
    def close(self) -> None:
        """End the exchange, cancelling it if it is incomplete."""


class Target(ABC):
    """The local target."""

    address: str

    @abstractmethod
    async def open_exchange(self, request: TargetRequest) -> Exchange:
        """Return an exchange whose request is not yet sent.

        Raises:
            PeerUnavailable: There is no connection to the target.
        """

    @abstractmethod
    async def is_up(self) -> bool:
        """Return whether the target accepts a connection now."""

    @abstractmethod
    async def check_health(
        self, probe_path: str, on_head: OnHead = ignore_head
    ) -> bool:
        """Probe the target's health endpoint.

        Args:
            probe_path: Path of the endpoint; if empty, only a connection is
                required.
            on_head: Called with the head of the response. It may raise
                MalformedMessage, and the probe fails.

        Returns:
            True if it responds in time with a status below 400.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the idle connections."""


class HttpExchange(Exchange):
    """An exchange over HTTP/1.1.

    Args:
        pool: Pool to which the connection returns after a complete exchange.
        conn: The connection.
        request: The request.
    """

    def __init__(
        self,
        pool: 'HttpTarget',
        conn: TargetConnection,
        request: TargetRequest,
    ) -> None:
        """Create the exchange; nothing is sent yet."""
        conn.begin_exchange()
        self.is_first = conn.exchanges == 1
        self.connected_at = conn.connected_at
        self._pool = pool
        self._conn = conn
        self._request = request
        self._has_length = bool(
            http1.find_header(request.headers, b'content-length'),
        )
        self._is_chunked = not request.is_whole and not self._has_length
        self._is_sent = False
        self._sent_at = 0.0
        self._is_complete = False
        self._is_reuse_forbidden = False
        self._head: http1.ResponseHead | None = None

    async def send_head(self) -> None:
        """Send the head and the beginning of the body."""
        request = self._request
        headers = list(request.headers)
        if self._is_chunked:
            headers.append((b'transfer-encoding', b'chunked'))
        elif request.first_chunk and not self._has_length:
            # A chunked body that was received in full is sent with its length.
            length = b'%d' % len(request.first_chunk)
            headers.append((b'content-length', length))
        raw = http1.encode_request_head(request.method, request.path, headers)
        self._sent_at = asyncio.get_running_loop().time()
        await self._conn.write(raw + self._encode(request.first_chunk))
        if request.is_whole:
            self._is_sent = True

    async def send_body(self, chunk: bytes, *, end: bool) -> None:
        """Send a further part of the body."""
        raw = self._encode(chunk)
        if end and self._is_chunked:
            raw += http1.LAST_CHUNK
        if raw:
            await self._conn.write(raw)
        self._is_sent = end

    async def head(self) -> http1.ResponseHead:
        """Return the response's head."""
        self._head = await self._conn.messages.head()
        return self._head

    def buffered_part(self) -> http1.BodyPart:
        """Return what is buffered of the response's body, without waiting."""
        if self._request.method == 'HEAD':
            return http1.BodyPart(b'', end=True)
        return self._record_part(self._conn.messages.buffered_part())

    async def part(self) -> http1.BodyPart:
        """Return the next part of the response's body."""
        return self._record_part(await self._conn.messages.part())

    def forbid_reuse(self) -> None:
        """Keep the connection from being reused."""
        self._is_reuse_forbidden = True

    def close(self) -> None:
        """Return the connection to the pool if reusable, else close it."""
        if self._is_unresponsive():
            self._pool.close()
        if self._is_complete and self._is_sent and self._is_reusable():
            self._pool.keep(self._conn, _max_idle_s(self._head))
        else:
            self._conn.close()

    def _is_reusable(self) -> bool:
        """Return whether the connection can carry another exchange."""
        if self._is_reuse_forbidden or self._head is None:
            return False
        return self._head.keep_alive and self._conn.is_between_exchanges()

    def _is_unresponsive(self) -> bool:
        """Return whether no response head arrived for a long time.

        The network may have lost the state of this connection, and that of the
        pool's idle ones as well.
        """
        if self._head is not None or not self._sent_at:
            return False
        now = asyncio.get_running_loop().time()
        return now - self._sent_at >= NO_RESPONSE_TIMEOUT_S

    def _record_part(self, part: http1.BodyPart) -> http1.BodyPart:
        self._is_complete = part.end
        return part

    def _encode(self, chunk: bytes) -> bytes:
        if chunk and self._is_chunked:
            return http1.encode_chunk(chunk)
        return chunk


class HttpTarget(Target):
    """Pool of HTTP/1.1 connections to one target.

    Args:
        address: Address of the target.
        limit: Number of connections that the target accepts.
    """

    def __init__(self, address: str, limit: int) -> None:
        """Create the pool without connections."""
        self.address = address
        self._limit = limit
        self._idle: deque[TargetConnection] = deque()

    async def open_exchange(self, request: TargetRequest) -> Exchange:
        """Return an exchange on an idle or a new connection."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            if not conn.is_usable(now):
                conn.close()
            elif now - conn.idle_since > request.max_idle_s:
                # The remaining ones have been idle for longer.
                self._idle.append(conn)
                break
            else:
                return HttpExchange(self, conn, request)
        return HttpExchange(self, await self._connect(), request)

    async def is_up(self) -> bool:
        """Return whether the target accepts a connection now."""
        try:
            self.keep(await self._connect())
        except PeerUnavailable:
            return False
        return True

    async def check_health(
        self, probe_path: str, on_head: OnHead = ignore_head
    ) -> bool:
        """Probe the target's health endpoint."""
        if not probe_path:
            return await self.is_up()
        host = (b'host', self.address.encode())
        request = TargetRequest('GET', probe_path, [host], b'', is_whole=True)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                return await self._probe(request, on_head)
        except (PeerUnavailable, MalformedMessage, TimeoutError):
            return False

    async def _probe(self, request: TargetRequest, on_head: OnHead) -> bool:
        exchange = await self.open_exchange(request)
        try:
            await exchange.send_head()
            head = await exchange.head()
            on_head(head)
            if head.status >= FIRST_ERROR_STATUS:
                # A copy of a refusal may be taken for the next response.
                exchange.forbid_reuse()
            end = False
            while not end:
                part = await exchange.part()
                end = part.end
        finally:
            exchange.close()
        return head.status < FIRST_ERROR_STATUS

    def keep(
        self,
        conn: TargetConnection,
        idle_s: float = MAX_IDLE_REUSE_S,
    ) -> None:
        """Add a connection to the idle ones.

        Args:
            conn: A connection without an exchange.
            idle_s: How long it may be idle and still be reused.
        """
        now = asyncio.get_running_loop().time()
        conn.idle_since = now
        conn.reuse_until = now + idle_s
        conn.end_exchange()
        self._idle.append(conn)
        if len(self._idle) > self._limit:
            self._idle.popleft().close()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _connect(self) -> TargetConnection:
        try:
            host, port = split_address(self.address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await self._open_connection(host, port)
        except (OSError, TimeoutError, ValueError) as exc:
            raise PeerUnavailable(
                repr(exc),
                step='connect to target',
                peer=self.address,
            ) from exc

    async def _open_connection(self, host: str, port: int) -> TargetConnection:
        loop = asyncio.get_running_loop()
        reader = TargetStream()
        transport, protocol = await loop.create_connection(
            lambda: ResponseProtocol(reader),
            host,
            port,
        )
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        return TargetConnection(reader, writer, self.address)


def _max_idle_s(head: http1.ResponseHead | None) -> float:
    """Return how long a connection may be idle, by its last response."""
    keep_alive = http1.find_header(head.headers, b'keep-alive') if head else ''
    for parameter in keep_alive.split(','):
        name, _, number = parameter.strip().partition('=')
        timeout_s = http1.parse_count(number)
        if name.lower() == 'timeout' and timeout_s is not None:
            return min(timeout_s * KEEP_ALIVE_REUSE_SHARE, MAX_IDLE_REUSE_S)
    return MAX_IDLE_REUSE_S
