"""One end of a call multiplexed over a node connection, with flow control."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from filbertdrift.connection import Connection
from filbertdrift.errors import MalformedMessage, PeerUnavailable
from filbertdrift.gen import ttypes

CHUNK_BYTES = 65_536
WINDOW_BYTES = 262_144


@dataclass(frozen=True, slots=True)
class ConnectionSilent:
    """A keepalive has been unanswered for a call's timeout.

    Args:
        exc: The error of a call that does not go on.
    """

    exc: PeerUnavailable


class CallStream:
    """One end of a call: messages, and bodies with credit-based flow control.

    The first chunk of a body may be sent with the opening message. Further
    chunks consume credit, which the receiver grants as it reads.

    Args:
        conn: The connection that carries the call.
        call_id: The call's number on that connection.
        window_bytes: Bytes that this end may send before it is granted credit.

    Attributes:
        keepalive_timeout_s: The call fails once a keepalive on its connection
            has been unanswered for this long.
        outlasts_silence: It receives ConnectionSilent then, and goes on until
            the connection is closed.
        transit_s: How long the opening message was delayed in transit, known
            at the end that serves the call.
        sent_at: When the opening message may have been sent, on the loop's
            clock, known there as well.
        peer_clock_ms: Returns the least that the clock at the other end shows
            now, in milliseconds; None if it is unknown.
        is_transit_known: Whether that was measured; it counts as none if not.
    """

    def __init__(
        self,
        conn: Connection,
        call_id: int,
        window_bytes: int,
    ) -> None:
        """Open this end of the call."""
        self.peer = conn.peer
        self.call_id = call_id
        self.keepalive_timeout_s = float('inf')
        self.outlasts_silence = False
        self.transit_s = 0.0
        self.sent_at = 0.0
        self.is_transit_known = True
        self.peer_clock_ms: Callable[[], int | None] = _unknown_clock
        self._conn = conn
        self._window_bytes = window_bytes
        self._credit_granted = asyncio.Event()
        self._received: asyncio.Queue[object] = asyncio.Queue()
        self._failure: Exception | None = None

    def clock_s(self) -> float:
        """Return the time on the clock of the connection."""
        return self._conn.clock_s()

    async def send(self, body: object) -> None:
        """Send one message that consumes no credit.

        Raises:
            PeerUnavailable: The connection is broken.
        """
        self._raise_if_failed()
        await self._conn.send(self.call_id, body)

    def send_last_nowait(self, body: object) -> None:
        """Send a last message without waiting, unless the call has failed."""
        if self._failure is None:
            self._conn.send_nowait(self.call_id, body)

    async def send_chunk(self, chunk: bytes, *, end: bool) -> None:
        """Send a part of a body, waiting for credit as needed.

        Args:
            chunk: The bytes, of any length.
            end: True if the body ends with this chunk.

        Raises:
            PeerUnavailable: The connection is broken.
        """
        remaining = memoryview(chunk)
        while True:
            part = remaining[:CHUNK_BYTES]
            remaining = remaining[CHUNK_BYTES:]
            if part:
                await self.wait_for_credit()
            self._window_bytes -= len(part)
            is_last = end and not remaining
            await self.send(ttypes.BodyChunk(bytes(part), is_last))
            if not remaining:
                return

    async def receive(self) -> object:
        """Return the next message of this call.

        Raises:
            PeerUnavailable: The connection broke before the call ended.
        """
        body = await self._received.get()
        if isinstance(body, Exception):
            raise body
        return body

    async def receive_chunk(self) -> ttypes.BodyChunk:
        """Return the next chunk of a body.

        Raises:
            MalformedMessage: The next message is not a body chunk.
            PeerUnavailable: The connection broke before the call ended.
        """
        body = await self.receive()
        if isinstance(body, ttypes.BodyChunk):
            return body
        raise MalformedMessage(
            f'unexpected {type(body).__name__}',
            step='read body',
            peer=self.peer,
        )

    async def grant_credit(self, amount_bytes: int) -> None:
        """Allow the other end to send this many more bytes."""
        if amount_bytes > 0:
            await self.send(ttypes.Credit(amount_bytes))

    def deliver(self, body: object) -> None:
        """Handle a message that arrived for this call."""
        if isinstance(body, ttypes.Credit):
            self._window_bytes += max(body.amount_bytes or 0, 0)
            self._credit_granted.set()
        else:
            self._received.put_nowait(body)

    def fail(self, exc: Exception) -> None:
        """Fail this end of the call with an error."""
        self._failure = exc
        self._credit_granted.set()
        self._received.put_nowait(exc)

    def report_silence(self, exc: PeerUnavailable) -> None:
        """Fail this end, or let it receive that its connection is silent."""
        if not self.outlasts_silence:
            self.fail(exc)
            return
        self.keepalive_timeout_s = float('inf')
        self._received.put_nowait(ConnectionSilent(exc))

    async def wait_for_credit(self) -> None:
        """Wait until this end has credit to send.

        Raises:
            PeerUnavailable: The connection is broken.
        """
        while self._window_bytes <= 0:
            self._credit_granted.clear()
            await self._credit_granted.wait()
            self._raise_if_failed()

    def _raise_if_failed(self) -> None:
        if self._failure is not None:
            raise self._failure


def _unknown_clock() -> None:
    """Return that nothing is known of a clock."""
