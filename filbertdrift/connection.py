"""A connection between two nodes that carries framed messages."""

from abc import ABC, abstractmethod
from collections import Counter

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
    """Bytes and messages sent by kind, and bad input received."""

    def __init__(self) -> None:
        """Start at zero."""
        self.sent_bytes: Counter[str] = Counter()
        self.sent_messages: Counter[str] = Counter()
        self.received_messages: Counter[str] = Counter()
        self.malformed = 0

    def sent(self, body: object, size_bytes: int) -> None:
        """Count one sent message."""
        kind = type(body).__name__
        self.sent_bytes[kind] += size_bytes
        self.sent_messages[kind] += 1

    def control_bytes(self) -> dict[str, int]:
        """Return the bytes sent for control by kind, requests left out."""
        return {
            kind: size_bytes
            for kind, size_bytes in self.sent_bytes.items()
            if kind not in REQUEST_KINDS
        }

    def received(self, body: object) -> None:
        """Count one received message."""
        self.received_messages[type(body).__name__] += 1


class Connection(ABC):
    """A framed connection to another node.

    Args:
        peer: The other side's address.
        counters: Where to count messages.
    """

    def __init__(self, peer: str, counters: NetworkCounters) -> None:
        """Keep the peer's address."""
        self.peer = peer
        self._counters = counters

    def send_nowait(self, call_id: int, body: object) -> None:
        """Put one message into the send buffer.

        Args:
            call_id: The call that the message belongs to.
            body: The message.
        """
        frame = pack_frame(call_id, body)
        self._counters.sent(body, len(frame))
        self._write(frame)

    async def send(self, call_id: int, body: object) -> None:
        """Send one message, waiting while the send buffer is full.

        Args:
            call_id: The call that the message belongs to.
            body: The message.

        Raises:
            PeerUnavailable: The connection is broken.
        """
        self.send_nowait(call_id, body)
        await self._drain()

    async def receive(self) -> tuple[int, object]:
        """Return the next call id and message.

        Raises:
            PeerUnavailable: The connection ended.
            MalformedMessage: The other side sent something else.
        """
        try:
            call_id, body = unpack_frame(await self._read())
        except MalformedMessage:
            self._counters.malformed += 1
            raise
        self._counters.received(body)
        return call_id, body

    @abstractmethod
    def close(self) -> None:
        """Close the connection at once."""

    @abstractmethod
    def _write(self, frame: bytes) -> None:
        """Buffer a frame."""

    @abstractmethod
    async def _drain(self) -> None:
        """Wait while the send buffer is full."""

    @abstractmethod
    async def _read(self) -> bytes:
        """Return the next frame without its length prefix."""
