"""Connections of callers, whose work ends when the caller has gone."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable


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
