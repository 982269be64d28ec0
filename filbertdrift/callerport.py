"""The port of callers: their connections, one task for each.

The work for a caller ends when the caller has gone.
"""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

READ_BUFFER_BYTES = 65_536
BACKLOG = 1024


class CallerProtocol(asyncio.StreamReaderProtocol):
    """Cancels the work for a caller that has gone."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        serve: Callable[
            [asyncio.StreamReader, asyncio.StreamWriter],
            Awaitable[None],
        ],
    ) -> None:
        """Keep the server's coroutine function."""
        super().__init__(reader, self._connected)
        self._serve = serve
        self._serving: asyncio.Task[None] | None = None

    def eof_received(self) -> bool:
        """Take a closed sending side as a caller that has gone."""
        super().eof_received()
        self._stop()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the connection's task."""
        super().connection_lost(exc)
        self._stop()

    async def _connected(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._serving = asyncio.current_task()
        with contextlib.suppress(asyncio.CancelledError):
            await self._serve(reader, writer)

    def _stop(self) -> None:
        if self._serving and not self._serving.done():
            self._serving.cancel()


class CallerConnection(ABC):
    """One caller's connection.

    Args:
        writer: Its writing side.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """Start between requests."""
        self._writer = writer
        self._is_idle = False
        self._task = asyncio.current_task()

    @abstractmethod
    async def run(self) -> None:
        """Serve requests until the caller or the node closes."""

    def close_if_idle(self) -> None:
        """End the connection now unless a request is in progress."""
        if self._is_idle and self._task:
            self._task.cancel()

    def abort(self) -> None:
        """End the connection at once."""
        self._writer.transport.abort()


class CallerListener(ABC):
    """Accepts callers' connections.

    Attributes:
        in_progress: Requests that are being served.
        is_closing: Each connection ends with its next answer.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self.in_progress = 0
        self.is_closing = False
        self._server: asyncio.Server | None = None
        self._connections: set[CallerConnection] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen for callers.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._protocol,
            host,
            port,
            backlog=BACKLOG,
        )

    @property
    def is_empty(self) -> bool:
        """Tell whether there are no connections."""
        return not self._connections

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self._server:
            self._server.close()

    def close_idle(self) -> None:
        """Stop listening and end the connections between requests."""
        self.is_closing = True
        self.stop_listening()
        for conn in list(self._connections):
            conn.close_if_idle()

    def close(self) -> None:
        """Abort all connections."""
        self.stop_listening()
        for conn in list(self._connections):
            conn.abort()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection until it ends."""
        conn = self._connection(reader, writer)
        self._connections.add(conn)
        try:
            await conn.run()
        finally:
            self._connections.discard(conn)

    @abstractmethod
    def _connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> CallerConnection:
        """Return the served side of an accepted connection."""

    def _protocol(self) -> asyncio.Protocol:
        reader = asyncio.StreamReader(limit=READ_BUFFER_BYTES)
        return CallerProtocol(reader, self.serve)
