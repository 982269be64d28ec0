"""The local target: kept connections and one exchange at a time."""

import asyncio
import os
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass

from filbertdrift import http1
from filbertdrift.errors import MalformedMessage, PeerUnavailable
from filbertdrift.network import split_address

CONNECT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 1.0
SILENT_S = 1.0
STATUS_ERROR = 400
IDLE_REUSE_S = 4.0
# Part of the idle time that a target states after which a connection is not
# used again: the target may close it while a request is on its way.
IDLE_REUSE_SHARE = 0.5


@dataclass(slots=True)
class TargetRequest:
    """A request as the target gets it.

    Args:
        method: Upper case.
        path: The request target, query included.
        headers: End-to-end headers.
        first_chunk: The beginning of the body.
        is_whole: True if the body ends with the first chunk.
        max_idle_s: It goes on no connection that was idle for longer.
    """

    method: str
    path: str
    headers: http1.Headers
    first_chunk: bytes
    is_whole: bool
    max_idle_s: float = float('inf')


class Exchange(ABC):
    """One request to the target and its response."""

    @abstractmethod
    async def send_head(self) -> None:
        """Send the head and the beginning of the body.

        Raises:
            PeerUnavailable: The connection broke; the target may have run it.
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
        """Return what has already arrived of the response's body."""

    @abstractmethod
    async def part(self) -> http1.BodyPart:
        """Return the next part of the response's body.

        Raises:
            MessageTruncated: The response is cut short.
            MalformedMessage: The target did not send HTTP.
        """

    @abstractmethod
    def forbid_reuse(self) -> None:
        """Mark the connection as not to be used again."""

    @abstractmethod
    def close(self) -> None:
        """End the exchange; before its end this cancels it."""


class Target(ABC):
    """The local target."""

    address: str

    @abstractmethod
    async def open_exchange(self, request: TargetRequest) -> Exchange:
        """Return an exchange whose request is not yet handed over.

        Raises:
            PeerUnavailable: There is no connection to the target.
        """

    @abstractmethod
    async def is_up(self) -> bool:
        """Tell whether the target accepts a connection now."""

    @abstractmethod
    async def check_health(self, probe_path: str) -> bool:
        """Ask the target's health endpoint.

        Args:
            probe_path: Its path; without one a connection is enough.

        Returns:
            True if it answered in time with a status below 400.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the kept connections."""


class TargetConnection:
    """One connection to the target."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: str,
    ) -> None:
        """Wrap a stream."""
        self.messages = http1.ResponseReader(reader, peer, self._was_reset)
        self.idle_since = 0.0
        self.reuse_until = 0.0
        self._reader = reader
        self._writer = writer

    def is_usable(self, now: float) -> bool:
        """Tell whether a kept connection may carry another exchange."""
        return (
            now < self.reuse_until
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    async def write(self, raw: bytes) -> None:
        """Write bytes, waiting while the buffer is full.

        Raises:
            PeerUnavailable: The connection broke.
        """
        try:
            self._writer.write(raw)
            await self._writer.drain()
        except OSError as exc:
            raise PeerUnavailable(
                repr(exc),
                step='send to target',
                peer=self.messages.peer,
            ) from exc

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()

    def _was_reset(self) -> bool:
        """Tell a reset from a close at the end of the stream.

        libuv reports both as the end if it sees them together with the last
        bytes; another read from the socket tells.
        """
        sock = self._writer.get_extra_info('socket')
        if sock is None or sock.fileno() < 0:
            return True
        try:
            return bool(os.read(sock.fileno(), 1))
        except OSError:
            return True


class HttpExchange(Exchange):
    """An exchange over HTTP/1.1.

    Args:
        pool: Where the connection goes back after a whole exchange.
        conn: The connection.
        request: The request.
    """

    def __init__(
        self,
        pool: 'HttpTarget',
        conn: TargetConnection,
        request: TargetRequest,
    ) -> None:
        """Start before the first byte is sent."""
        self._pool = pool
        self._conn = conn
        self._request = request
        self._has_length = bool(
            http1.find_header(request.headers, b'content-length'),
        )
        self._is_chunked = not request.is_whole and not self._has_length
        self._is_sent = False
        self._sent_at = 0.0
        self._is_whole = False
        self._is_reuse_forbidden = False
        self._head: http1.ResponseHead | None = None

    async def send_head(self) -> None:
        """Send the head and the beginning of the body."""
        request = self._request
        headers = list(request.headers)
        if self._is_chunked:
            headers.append((b'transfer-encoding', b'chunked'))
        elif request.first_chunk and not self._has_length:
            # A chunked body that came whole is sent with its length.
            length = b'%d' % len(request.first_chunk)
            headers.append((b'content-length', length))
        raw = http1.encode_request_head(request.method, request.path, headers)
        self._sent_at = asyncio.get_running_loop().time()
        await self._conn.write(raw + self._coded(request.first_chunk))
        if request.is_whole:
            self._is_sent = True

    async def send_body(self, chunk: bytes, *, end: bool) -> None:
        """Send a further part of the body."""
        raw = self._coded(chunk)
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
        """Return what has already arrived of the response's body."""
        if self._request.method == 'HEAD':
            return http1.BodyPart(b'', end=True)
        return self._noted(self._conn.messages.buffered_part())

    async def part(self) -> http1.BodyPart:
        """Return the next part of the response's body."""
        return self._noted(await self._conn.messages.part())

    def forbid_reuse(self) -> None:
        """Mark the connection as not to be used again."""
        self._is_reuse_forbidden = True

    def close(self) -> None:
        """Keep the connection after a whole exchange, else close it."""
        if self._is_silent():
            self._pool.close()
        if self._is_whole and self._is_sent and self._is_reusable():
            self._pool.keep(self._conn, _idle_limit_s(self._head))
        else:
            self._conn.close()

    def _is_reusable(self) -> bool:
        """Tell whether nothing but the next answer can come."""
        if self._is_reuse_forbidden or self._head is None:
            return False
        return (
            self._head.keep_alive and self._conn.messages.is_between_messages()
        )

    def _is_silent(self) -> bool:
        """Tell whether the connection gave no sign for long.

        Its kept siblings may have lost their state between the ends as well.
        """
        if self._head is not None or not self._sent_at:
            return False
        now = asyncio.get_running_loop().time()
        return now - self._sent_at >= SILENT_S

    def _noted(self, part: http1.BodyPart) -> http1.BodyPart:
        self._is_whole = part.end
        return part

    def _coded(self, chunk: bytes) -> bytes:
        if chunk and self._is_chunked:
            return http1.encode_chunk(chunk)
        return chunk


class HttpTarget(Target):
    """Kept connections to one target over HTTP/1.1.

    Args:
        address: The target's address.
        limit: How many connections the target accepts.
    """

    def __init__(self, address: str, limit: int) -> None:
        """Start without connections."""
        self.address = address
        self._limit = limit
        self._idle: deque[TargetConnection] = deque()

    async def open_exchange(self, request: TargetRequest) -> Exchange:
        """Return an exchange on a kept or a new connection."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            if not conn.is_usable(now):
                conn.close()
            elif now - conn.idle_since > request.max_idle_s:
                # The others have been idle for longer.
                self._idle.append(conn)
                break
            else:
                return HttpExchange(self, conn, request)
        return HttpExchange(self, await self._connect(), request)

    async def is_up(self) -> bool:
        """Tell whether the target accepts a connection now."""
        try:
            self.keep(await self._connect())
        except PeerUnavailable:
            return False
        return True

    async def check_health(self, probe_path: str) -> bool:
        """Ask the target's health endpoint."""
        if not probe_path:
            return await self.is_up()
        host = (b'host', self.address.encode())
        request = TargetRequest('GET', probe_path, [host], b'', is_whole=True)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                return await self._probe(request)
        except (PeerUnavailable, MalformedMessage, TimeoutError):
            return False

    async def _probe(self, request: TargetRequest) -> bool:
        exchange = await self.open_exchange(request)
        try:
            await exchange.send_head()
            head = await exchange.head()
            end = False
            while not end:
                part = await exchange.part()
                end = part.end
        finally:
            exchange.close()
        return head.status < STATUS_ERROR

    def keep(
        self,
        conn: TargetConnection,
        idle_s: float = IDLE_REUSE_S,
    ) -> None:
        """Keep a connection for the next exchange.

        Args:
            conn: A connection between two exchanges.
            idle_s: How long it may stay idle before it is used again.
        """
        now = asyncio.get_running_loop().time()
        conn.idle_since = now
        conn.reuse_until = now + idle_s
        self._idle.append(conn)
        if len(self._idle) > self._limit:
            self._idle.popleft().close()

    def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            self._idle.pop().close()

    async def _connect(self) -> TargetConnection:
        host, port = split_address(self.address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError) as exc:
            raise PeerUnavailable(
                repr(exc),
                step='connect to target',
                peer=self.address,
            ) from exc
        return TargetConnection(reader, writer, self.address)


def _idle_limit_s(head: http1.ResponseHead | None) -> float:
    """Return how long a connection may stay idle, by the last response."""
    stated = http1.find_header(head.headers, b'keep-alive') if head else ''
    for word in stated.split(','):
        name, _, number = word.strip().partition('=')
        if name.lower() == 'timeout' and number.isdigit():
            return min(int(number) * IDLE_REUSE_SHARE, IDLE_REUSE_S)
    return IDLE_REUSE_S
