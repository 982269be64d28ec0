"""Server side of node connections: runs the calls that peers make."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from filbertdrift.age.transit import (
    MS_PER_S,
    TransitEstimator,
    measure_transit_s,
)
from filbertdrift.callstream import WINDOW_BYTES, CallStream
from filbertdrift.connection import Connection
from filbertdrift.errors import MalformedMessage, PeerUnavailable
from filbertdrift.final_messages import tell_dropped, tell_failed
from filbertdrift.gen import ttypes
from filbertdrift.link import IDLE_TIMEOUT_S, KEEPALIVE_TIMEOUT_S, TICK_S

OnCall = Callable[[CallStream, object], Awaitable[None]]


async def serve_connection(conn: Connection, on_call: OnCall) -> None:
    """Serve the calls that a peer makes over a connection until it ends.

    Each call runs in its own task, which is cancelled when the peer cancels the
    call or the connection ends.

    Args:
        conn: The accepted connection.
        on_call: Serves one call, given its first message.
    """
    served = _ServedConnection(conn, on_call)
    try:
        await served.run()
    finally:
        served.close()


class _ServedConnection:
    """Server side of a connection."""

    def __init__(self, conn: Connection, on_call: OnCall) -> None:
        """Start without calls."""
        conn.is_served = True
        self._conn = conn
        self._on_call = on_call
        self._calls: dict[int, CallStream] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        # Calls whose tasks have not taken their first step.
        self._unstarted: set[int] = set()
        self._last_call_id = 0
        self._transit = TransitEstimator()
        self._loop = asyncio.get_running_loop()
        self._last_received_at = self._loop.time()
        self._silence_timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Receive messages until the connection ends."""
        self._check_silence()
        while True:
            call_id, body = await self._conn.receive()
            self._last_received_at = self._loop.time()
            self._dispatch(call_id, body)

    def _check_silence(self) -> None:
        """Close the connection if the client should have closed it by now.

        The client closes idle connections and sends keepalives on the others,
        so a longer silence means that it is gone.
        """
        expires_at = (
            self._last_received_at + IDLE_TIMEOUT_S + KEEPALIVE_TIMEOUT_S
        )
        left_s = expires_at - self._loop.time()
        if left_s < TICK_S:
            self._conn.close()
        else:
            self._silence_timer = self._loop.call_later(
                left_s, self._check_silence
            )

    def close(self) -> None:
        """Cancel the calls in progress."""
        if self._silence_timer:
            self._silence_timer.cancel()
        exc = PeerUnavailable('ended', step='serve', peer=self._conn.peer)
        for call in self._calls.values():
            call.fail(exc)
        for task in list(self._tasks.values()):
            task.cancel()

    def _dispatch(self, call_id: int, body: object) -> None:
        if isinstance(body, ttypes.KeepAlive):
            self._conn.send_nowait(
                0, ttypes.KeepAlive(reply=True, clock_ms=self._clock_ms())
            )
            return
        call = self._calls.get(call_id)
        if isinstance(body, ttypes.Cancel):
            self._cancel(call_id)
        elif call is not None:
            call.deliver(body)
        elif call_id > self._last_call_id:
            # Ids increase: a lower one is a duplicate or of an ended call.
            self._last_call_id = call_id
            self._open(call_id, body)

    def _open(self, call_id: int, body: object) -> None:
        call = CallStream(self._conn, call_id, WINDOW_BYTES)
        if isinstance(body, ttypes.RequestOpen):
            self._record_transit(call, body)
        self._calls[call_id] = call
        self._unstarted.add(call_id)
        task = self._loop.create_task(self._serve(call, body))
        self._tasks[call_id] = task

    def _record_transit(
        self, call: CallStream, req: ttypes.RequestOpen
    ) -> None:
        now = self._conn.clock_s()
        call.is_transit_known = self._transit.has_history
        call.transit_s = self._transit.estimate_s(req.sent_at_ms, now)
        if req.receiver_clock_ms is not None:
            call.is_transit_known = True
            call.transit_s = measure_transit_s(req.receiver_clock_ms, now)
        call.sent_at = self._loop.time() - call.transit_s

    def _clock_ms(self) -> int:
        return int(self._conn.clock_s() * MS_PER_S)

    async def _serve(self, call: CallStream, body: object) -> None:
        self._unstarted.discard(call.call_id)
        try:
            await self._on_call(call, body)
        except PeerUnavailable:
            self._conn.close()
        except MalformedMessage as exc:
            # The other calls of the connection go on.
            logger.bind(event='malformed_call').warning('{}', exc)
            tell_failed(call)
        except Exception as exc:
            request_id = getattr(body, 'request_id', '')
            logger.bind(event='call_failed', request=request_id).opt(
                exception=exc
            ).error('a {} has failed', type(body).__name__)
            tell_failed(call)
        finally:
            self._calls.pop(call.call_id, None)
            self._tasks.pop(call.call_id, None)

    def _cancel(self, call_id: int) -> None:
        task = self._tasks.get(call_id)
        if task:
            task.cancel()
        if call_id in self._unstarted:
            # A task that is cancelled before its first step never runs.
            self._unstarted.discard(call_id)
            self._tasks.pop(call_id)
            tell_dropped(self._calls.pop(call_id))
