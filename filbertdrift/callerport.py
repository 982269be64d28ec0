"""The listener for callers' connections, each served by its own task.

The task is cancelled when the caller disconnects.
"""

import asyncio
import contextlib
import os
import socket
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from loguru import logger

from filbertdrift import http1
from filbertdrift.age.arrivals import ArrivalClock
from filbertdrift.age.timedstream import TimedStream
from filbertdrift.bytestream import has_unread_in_socket
from filbertdrift.errors import FilbertdriftError
from filbertdrift.stopping.plan import StopPlan

READ_BUFFER_BYTES = 65_536
BACKLOG = 1024
# Bounds of what is read and dropped after a last response: a caller that never
# stops sending holds nothing for longer.
LINGER_S = 10.0
LINGER_SILENCE_S = 2.0
LINGER_BYTES = 16_777_216
MAX_LINGERING = 256
# What is left of an answered request's body at the deadline has this long.
DROP_S = 1.0


class CallerProtocol(asyncio.StreamReaderProtocol):
    """Cancels a connection's task when the caller disconnects.

    Args:
        reader: Receive buffer of the connection.
        serve: Serves the connection until it ends.
    """

    def __init__(
        self,
        reader: TimedStream,
        serve: Callable[[TimedStream, asyncio.StreamWriter], Awaitable[None]],
    ) -> None:
        """Create the protocol without a task."""
        super().__init__(reader, self._serve_connection)
        self._reader = reader
        self._serve = serve
        self._serving_task: asyncio.Task[None] | None = None

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a disconnect."""
        super().eof_received()
        self._cancel()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the connection's task."""
        super().connection_lost(exc)
        self._cancel()

    async def _serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._serving_task = asyncio.current_task()
        with contextlib.suppress(asyncio.CancelledError):
            await self._serve(self._reader, writer)

    def _cancel(self) -> None:
        if self._serving_task and not self._serving_task.done():
            self._serving_task.cancel()


class CallerConnection(ABC):
    """One caller's connection.

    Args:
        listener: The listener that accepted it.
        reader: Receiving side of the connection.
        writer: Sending side of the connection.
    """

    def __init__(
        self,
        listener: 'CallerListener',
        reader: TimedStream,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Create the connection without a request in progress."""
        self._listener = listener
        self._reader = reader
        self._writer = writer
        self._is_idle = False
        self._task = asyncio.current_task()
        self._request_reader = http1.RequestReader(
            reader, 'caller', lambda: reader.arrived_at
        )

    @abstractmethod
    async def run(self) -> None:
        """Serve requests until the caller or the node closes."""

    def close_if_idle(self) -> None:
        """Cancel the connection's task unless a request has arrived."""
        if self._is_idle and self._task and not self._has_unread():
            self._task.cancel()

    def abort(self) -> None:
        """Close the connection at once, dropping unsent bytes."""
        self._writer.transport.abort()

    def _has_unread(self) -> bool:
        """Return whether bytes have arrived that the task did not read yet."""
        if self._reader.unread_bytes:
            return True
        return has_unread_in_socket(self._writer)

    async def _linger(self) -> None:
        """Send the end of the stream and read on until the caller closes.

        A connection that is closed while bytes arrive is reset, and the reset
        may overtake the last response. What the caller still sends is dropped.
        """
        listener = self._listener
        if self._writer.is_closing() or listener.lingering >= MAX_LINGERING:
            return
        listener.lingering += 1
        try:
            await read_to_end(self._reader, self._writer)
        finally:
            listener.lingering -= 1

    async def _drop_body(self, deadline: float) -> bool:
        """Drop the rest of a body that its target did not take.

        The next request on the connection follows it.

        Args:
            deadline: The deadline of its request, on the loop's clock.

        Returns:
            Whether the body has ended.
        """
        now = asyncio.get_running_loop().time()
        left_bytes = LINGER_BYTES
        part = http1.BodyPart(b'', end=False)
        try:
            async with asyncio.timeout_at(max(deadline, now + DROP_S)):
                while left_bytes > 0 and not part.end:
                    part = await self._request_reader.part()
                    left_bytes -= len(part.chunk)
        except (TimeoutError, FilbertdriftError) as exc:
            logger.bind(event='body_not_dropped').info('{!r}', exc)
        return part.end


class CallerListener(ABC):
    """Accepts callers' connections and keeps track of them.

    Attributes:
        arrivals: Tells when the bytes of callers arrived.
        in_progress: Number of requests in progress.
        is_closing: Connections close after their next response.
        stop_plan: The times of the node's stop, None before it.
        lingering: Number of connections that got their last response while
            their callers still sent.
    """

    def __init__(self) -> None:
        """Create the listener without connections."""
        self.arrivals = ArrivalClock()
        self.in_progress = 0
        self.is_closing = False
        self.stop_plan: StopPlan | None = None
        self.lingering = 0
        self._server: asyncio.Server | None = None
        self._connections: set[CallerConnection] = set()
        self._accepting: set[asyncio.Task[None]] = set()
        # The backlog is looked at in the next pass of the event loop.
        self._will_accept = False

    async def start(self, host: str, port: int) -> None:
        """Listen for callers.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._new_protocol,
            host,
            port,
            backlog=BACKLOG,
        )

    @property
    def is_empty(self) -> bool:
        """Return whether there are no connections."""
        return not (self._connections or self._accepting)

    def stop_listening(self) -> None:
        """Stop accepting connections, after those that wait for it."""
        server = self._server
        if server is None:
            return
        self._server = None
        # Closing the socket would reset the connections in its backlog.
        waiting = [
            sock for each in server.sockets for sock in _accept_waiting(each)
        ]
        server.close()
        for sock in waiting:
            self._serve_accepted(sock)

    def close_idle(self) -> None:
        """Stop listening and close the connections between requests."""
        self.is_closing = True
        self.stop_listening()
        for conn in list(self._connections):
            conn.close_if_idle()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self.stop_listening()
        for conn in list(self._connections):
            conn.abort()

    async def serve(
        self,
        reader: TimedStream,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection until it ends."""
        conn = self._new_connection(reader, writer)
        self._connections.add(conn)
        try:
            await conn.run()
        finally:
            self._connections.discard(conn)

    def _serve_accepted(self, sock: socket.socket) -> None:
        """Serve a connection that was taken from the backlog."""
        task = asyncio.ensure_future(self._connect_accepted(sock))
        self._accepting.add(task)
        task.add_done_callback(self._accepting.discard)

    def _accept_backlog(self) -> None:
        """Accept all that waits; uvloop accepts one connection in a pass."""
        self._will_accept = False
        if self._server is None:
            return
        for listening in self._server.sockets:
            for sock in _accept_waiting(listening):
                self._serve_accepted(sock)

    async def _connect_accepted(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._new_protocol, sock)
        except OSError as exc:
            logger.bind(event='accept_failed').warning('{!r}', exc)

    @abstractmethod
    def _new_connection(
        self,
        reader: TimedStream,
        writer: asyncio.StreamWriter,
    ) -> CallerConnection:
        """Return the object that serves an accepted connection."""

    def _new_protocol(self) -> asyncio.Protocol:
        if not self._will_accept:
            self._will_accept = True
            asyncio.get_running_loop().call_soon(self._accept_backlog)
        reader = TimedStream(self.arrivals, READ_BUFFER_BYTES)
        return CallerProtocol(reader, self.serve)


async def read_to_end(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send the end of the stream, and drop what arrives until the other one.

    Args:
        reader: Receiving side of the connection.
        writer: Its sending side, with the last response.
    """
    left_bytes = LINGER_BYTES
    try:
        async with asyncio.timeout(LINGER_S):
            writer.write_eof()
            # A task that read the body may have been cancelled just now.
            await asyncio.sleep(0)
            while left_bytes > 0:
                async with asyncio.timeout(LINGER_SILENCE_S):
                    raw = await reader.read(READ_BUFFER_BYTES)
                if not raw:
                    return
                left_bytes -= len(raw)
    except (TimeoutError, OSError) as exc:
        logger.bind(event='linger_ended').debug('{!r}', exc)


def _accept_waiting(listening: socket.socket) -> list[socket.socket]:
    """Accept the connections in the backlog of a listening socket."""
    accepted: list[socket.socket] = []
    with socket.socket(fileno=os.dup(listening.fileno())) as sock:
        sock.setblocking(False)
        try:
            while len(accepted) < BACKLOG:
                accepted.append(sock.accept()[0])
        except BlockingIOError:
            return accepted
        except OSError as exc:
            logger.bind(event='accept_failed').warning('{!r}', exc)
    return accepted
