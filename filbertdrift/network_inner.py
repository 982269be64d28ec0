"""The loopback connection of a node: messages are passed without encoding."""

import asyncio

from filbertdrift.connection import Connection, NetworkCounters
from filbertdrift.errors import PeerUnavailable


class LoopbackConnection(Connection):
    """One end of a connection of a node to itself, within the process.

    Attributes:
        other_end: The end that receives what is sent here.
    """

    def __init__(self, peer: str, counters: NetworkCounters) -> None:
        """Create an open end; its other end is set afterwards."""
        super().__init__(peer, counters)
        self.other_end: LoopbackConnection | None = None
        self._is_closed = False
        self._messages: asyncio.Queue[tuple[int, object] | None]
        self._messages = asyncio.Queue()

    def send_nowait(self, call_id: int, body: object) -> None:
        """Queue one message at the other end; drop it if closed."""
        if self.other_end is not None and not self._is_closed:
            self.other_end.enqueue((call_id, body))

    async def send(self, call_id: int, body: object) -> None:
        """Queue one message at the other end.

        Raises:
            PeerUnavailable: The connection is closed.
        """
        if self._is_closed:
            raise self._build_closed_error('send')
        self.send_nowait(call_id, body)

    async def receive(self) -> tuple[int, object]:
        """Wait for the next call id and message.

        Raises:
            PeerUnavailable: The connection is closed.
        """
        message = None if self._is_closed else await self._messages.get()
        if message is None:
            raise self._build_closed_error('receive')
        return message

    def enqueue(self, message: tuple[int, object] | None) -> None:
        """Queue a message from the other end, None when it closed."""
        self._messages.put_nowait(message)

    def close(self) -> None:
        """Close both ends."""
        if self._is_closed:
            return
        self._is_closed = True
        self.enqueue(None)
        if self.other_end is not None:
            self.other_end.close()

    def _write(self, frame: bytes) -> None:
        raise NotImplementedError('messages are not encoded')

    async def _drain(self) -> None:
        """Return at once: there is no send buffer."""

    async def _read(self) -> bytes:
        raise NotImplementedError('messages are not encoded')

    def _build_closed_error(self, step: str) -> PeerUnavailable:
        return PeerUnavailable('closed', step=step, peer=self.peer)


def create_loopback_pair(
    address: str,
    counters: NetworkCounters,
) -> tuple[LoopbackConnection, LoopbackConnection]:
    """Create a connection of a node to itself.

    Args:
        address: The node's address.
        counters: The node's traffic counters; loopback messages are not
            counted.

    Returns:
        The end of the caller and the end that the node serves.
    """
    client_end = LoopbackConnection(address, counters)
    server_end = LoopbackConnection(address, counters)
    client_end.other_end = server_end
    server_end.other_end = client_end
    return client_end, server_end
