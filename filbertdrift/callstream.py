"""One side of a call between two nodes, with flow control for its body."""

import asyncio

from filbertdrift.connection import Connection
from filbertdrift.errors import FilbertdriftError, MalformedMessage
from filbertdrift.gen import ttypes

CHUNK_BYTES = 65_536
WINDOW_BYTES = 262_144


class CallStream:
    """One side of one call: messages in both directions with flow control.

    The first chunk of a body may travel with the opening message. Further
    chunks need credit, which the receiver grants as it consumes.

    Args:
        conn: The connection that carries the call.
        call_id: The call's number on that connection.
        window_bytes: How much this side may send before it gets credit.

    Attributes:
        keepalive_timeout_s: It is given up once its connection owes a sign of life for
            so long.
    """

    def __init__(
        self,
        conn: Connection,
        call_id: int,
        window_bytes: int,
    ) -> None:
        """Start open."""
        self.peer = conn.peer
        self.call_id = call_id
        self.keepalive_timeout_s = float('inf')
        self._conn = conn
        self._window_bytes = window_bytes
        self._credited = asyncio.Event()
        self._received: asyncio.Queue[object] = asyncio.Queue()
        self._failure: FilbertdriftError | None = None

    async def send(self, body: object) -> None:
        """Send one message that needs no credit.

        Raises:
            PeerUnavailable: The connection is broken.
        """
        self._check()
        await self._conn.send(self.call_id, body)

    async def send_chunk(self, chunk: bytes, *, end: bool) -> None:
        """Send a part of a body as credit allows.

        Args:
            chunk: The bytes, of any length.
            end: True if the body ends with them.

        Raises:
            PeerUnavailable: The connection is broken.
        """
        rest = memoryview(chunk)
        while True:
            part = rest[:CHUNK_BYTES]
            rest = rest[CHUNK_BYTES:]
            if part:
                await self.wait_for_credit()
            self._window_bytes -= len(part)
            last = end and not rest
            await self.send(ttypes.BodyChunk(bytes(part), last))
            if not rest:
                return

    async def receive(self) -> object:
        """Return the next message of this call.

        Raises:
            PeerUnavailable: The connection broke before the call ended.
        """
        body = await self._received.get()
        if isinstance(body, FilbertdriftError):
            raise body
        return body

    async def receive_chunk(self) -> ttypes.BodyChunk:
        """Return the next part of a body.

        Raises:
            MalformedMessage: Another message came.
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
        """Allow the other side to send more."""
        if amount_bytes > 0:
            await self.send(ttypes.Credit(amount_bytes))

    def deliver(self, body: object) -> None:
        """Take a message that arrived for this call."""
        if isinstance(body, ttypes.Credit):
            self._window_bytes += max(body.amount_bytes or 0, 0)
            self._credited.set()
        else:
            self._received.put_nowait(body)

    def fail(self, exc: FilbertdriftError) -> None:
        """End the call because its connection broke."""
        self._failure = exc
        self._credited.set()
        self._received.put_nowait(exc)

    async def wait_for_credit(self) -> None:
        """Wait until the other side allows this one to send more.

        Raises:
            PeerUnavailable: The connection is broken.
        """
        while self._window_bytes <= 0:
            self._credited.clear()
            await self._credited.wait()
            self._check()

    def _check(self) -> None:
        if self._failure is not None:
            raise self._failure
