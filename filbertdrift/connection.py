"""The interface of a connection between two nodes, and traffic counters."""

import asyncio
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable

from filbertdrift.errors import MalformedMessage
from filbertdrift.wire import pack_frame, unpack_frame

REQUEST_KINDS = frozenset(
    (
        'RequestOpen',
        'BodyChunk',
        'Credit',
        'AnswerOpen',
        'Refusal',
        'Cancel',
        'ClaimAsk',
        'ClaimVerdict',
    )
)


class NetworkCounters:
    """Counts a node's peer traffic by message type, and malformed input.

    Attributes:
        sent_bytes: Bytes sent, with length prefixes.
        sent_messages: Messages sent.
        received_messages: Messages received and decoded.
        malformed: Frames and datagrams that could not be decoded.
        on_sent: Called with each sent message, its size, the peer, and whether
            the peer opened the connection.
    """

    def __init__(self) -> None:
        """Create the counters at zero."""
        self.sent_bytes: Counter[str] = Counter()
        self.sent_messages: Counter[str] = Counter()
        self.received_messages: Counter[str] = Counter()
        self.malformed = 0
        self.on_sent: Callable[[object, int, str, bool], None] | None = None

    def sent(
        self,
        body: object,
        size_bytes: int,
        peer: str,
        *,
        is_served: bool = False,
    ) -> None:
        """Count one sent message.

        Args:
            body: The message.
            size_bytes: The size of its frame or datagram.
            peer: The address it is sent to.
            is_served: Whether the peer opened the connection.
        """
        if self.on_sent is not None:
            self.on_sent(body, size_bytes, peer, is_served)
        kind = type(body).__name__
        self.sent_bytes[kind] += size_bytes
        self.sent_messages[kind] += 1

    def control_bytes(self) -> dict[str, int]:
        """Return the control plane's sent bytes by message type.

        Messages that carry requests and claims are left out.
        """
        return {
            kind: size_bytes
            for kind, size_bytes in self.sent_bytes.items()
            if kind not in REQUEST_KINDS
        }

    def received(self, body: object) -> None:
        """Count one received message."""
        self.received_messages[type(body).__name__] += 1


class Connection(ABC):
    """A connection to a peer that carries messages in frames.

    Args:
        peer: The peer's address.
        counters: The traffic counters of this node.

    Attributes:
        is_served: Whether the peer opened it.
    """

    def __init__(self, peer: str, counters: NetworkCounters) -> None:
        """Set the peer and the counters."""
        self.peer = peer
        self.is_served = False
        self._counters = counters

    def send_nowait(self, call_id: int, body: object) -> None:
        """Append one message to the send buffer without waiting.

        Args:
            call_id: The call that the message belongs to, zero for none.
            body: The message.
        """
        frame = pack_frame(call_id, body)
        self._counters.sent(
            body, len(frame), self.peer, is_served=self.is_served
        )
        self._write(frame)

    async def send(self, call_id: int, body: object) -> None:
        """Send one message and wait while the send buffer is full.

        Args:
            call_id: The call that the message belongs to, zero for none.
            body: The message.

        Raises:
            PeerUnavailable: The connection is closed or failed.
        """
        self.send_nowait(call_id, body)
        await self._drain()

    async def receive(self) -> tuple[int, object]:
        """Wait for the next message.

        Returns:
            The call id and the message.

        Raises:
            PeerUnavailable: The connection is closed or failed.
            MalformedMessage: The peer sent an invalid frame.
        """
        try:
            call_id, body = unpack_frame(await self._read())
        except MalformedMessage:
            self._counters.malformed += 1
            raise
        self._counters.received(body)
        return call_id, body

    def clock_s(self) -> float:
        """Return the time on a clock that never stops or steps."""
        return asyncio.get_running_loop().time()

    @abstractmethod
    def close(self) -> None:
        """Close the connection at once, without flushing the send buffer."""

    @abstractmethod
    def _write(self, frame: bytes) -> None:
        """Append a frame to the send buffer."""

    @abstractmethod
    async def _drain(self) -> None:
        """Wait while the send buffer is full.

        Raises:
            PeerUnavailable: The connection is closed or failed.
        """

    @abstractmethod
    async def _read(self) -> bytes:
        """Wait for the next frame and return it without its length prefix.

        Raises:
            PeerUnavailable: The connection is closed or failed.
            MalformedMessage: The length prefix exceeds the limit.
        """
