"""The serving side of a connection between two nodes."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from filbertdrift.callstream import WINDOW_BYTES, CallStream
from filbertdrift.connection import Connection
from filbertdrift.errors import MalformedMessage, PeerUnavailable
from filbertdrift.gen import ttypes
from filbertdrift.link import IDLE_TIMEOUT_S, KEEPALIVE_TIMEOUT_S, TICK_S

OnCall = Callable[[CallStream, object], Awaitable[None]]


async def serve_connection(conn: Connection, on_call: OnCall) -> None:
    """Serve the calls that another node makes over a connection.

    Each call runs in a task of its own and is cancelled when the caller says
    so or when the connection ends.

    Args:
        conn: The accepted connection.
        on_call: Serves one call, given the message that opened it.
    """
    served = _ServedConnection(conn, on_call)
    try:
        await served.run()
    finally:
        served.close()


class _ServedConnection:
    """The serving side of a connection."""

    def __init__(self, conn: Connection, on_call: OnCall) -> None:
        """Start without calls."""
        self._conn = conn
        self._on_call = on_call
        self._calls: dict[int, CallStream] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._last_opened = 0
        self._loop = asyncio.get_running_loop()
        self._heard_at = self._loop.time()
        self._watching: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Read until the connection ends."""
        self._watch()
        while True:
            call_id, body = await self._conn.receive()
            self._heard_at = self._loop.time()
            self._take(call_id, body)

    def _watch(self) -> None:
        """Close the connection once nothing was heard of it for long."""
        silent_at = self._heard_at + IDLE_TIMEOUT_S + KEEPALIVE_TIMEOUT_S
        left_s = silent_at - self._loop.time()
        if left_s < TICK_S:
            self._conn.close()
        else:
            self._watching = self._loop.call_later(left_s, self._watch)

    def close(self) -> None:
        """Cancel the calls in progress."""
        if self._watching:
            self._watching.cancel()
        exc = PeerUnavailable('ended', step='serve', peer=self._conn.peer)
        for call in self._calls.values():
            call.fail(exc)
        for task in list(self._tasks.values()):
            task.cancel()

    def _take(self, call_id: int, body: object) -> None:
        if isinstance(body, ttypes.KeepAlive):
            self._conn.send_nowait(0, ttypes.KeepAlive(reply=True))
            return
        call = self._calls.get(call_id)
        if isinstance(body, ttypes.Cancel):
            self._cancel(call_id)
        elif call is not None:
            call.deliver(body)
        elif call_id > self._last_opened:
            self._last_opened = call_id
            self._open(call_id, body)

    def _open(self, call_id: int, body: object) -> None:
        call = CallStream(self._conn, call_id, WINDOW_BYTES)
        self._calls[call_id] = call
        task = self._loop.create_task(self._serve(call, body))
        self._tasks[call_id] = task

    async def _serve(self, call: CallStream, body: object) -> None:
        try:
            await self._on_call(call, body)
        except PeerUnavailable:
            self._conn.close()
        except MalformedMessage as exc:
            logger.warning('{}', exc)
            self._conn.close()
        finally:
            self._calls.pop(call.call_id, None)
            self._tasks.pop(call.call_id, None)

    def _cancel(self, call_id: int) -> None:
        task = self._tasks.get(call_id)
        if task:
            task.cancel()
