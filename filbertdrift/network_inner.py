"""A node's connection to itself: messages pass as they are, unencoded."""

import asyncio

from filbertdrift.connection import Connection, NetworkCounters
from filbertdrift.errors import PeerUnavailable


class LoopbackConnection(Connection):
    """One end of a connection within a process."""

    def __init__(self, peer: str, counters: NetworkCounters) -> None:
        """Start open, without its twin."""
        super().__init__(peer, counters)
        self.twin: LoopbackConnection | None = None
        self._is_closed = False
        self._messages: asyncio.Queue[tuple[int, object] | None]
        self._messages = asyncio.Queue()

    def send_nowait(self, call_id: int, body: object) -> None:
        """Hand one message to the other end."""
        if self.twin is not None and not self._is_closed:
            self.twin.put((call_id, body))

    async def send(self, call_id: int, body: object) -> None:
        """Hand one message to the other end."""
        if self._is_closed:
            raise self._closed('send')
        self.send_nowait(call_id, body)

    async def receive(self) -> tuple[int, object]:
        """Return the next call id and message."""
        message = None if self._is_closed else await self._messages.get()
        if message is None:
            raise self._closed('receive')
        return message

    def put(self, message: tuple[int, object] | None) -> None:
        """Take a message from the other end, None for its closing."""
        self._messages.put_nowait(message)

    def close(self) -> None:
        """Close both ends."""
        if self._is_closed:
            return
        self._is_closed = True
        self.put(None)
        if self.twin is not None:
            self.twin.close()

    def _write(self, frame: bytes) -> None:
        raise NotImplementedError('messages are not encoded')

    async def _drain(self) -> None:
        """Do nothing: there is no buffer."""

    async def _read(self) -> bytes:
        raise NotImplementedError('messages are not encoded')

    def _closed(self, step: str) -> PeerUnavailable:
        return PeerUnavailable('closed', step=step, peer=self.peer)


def create_loopback_pair(
    address: str,
    counters: NetworkCounters,
) -> tuple[LoopbackConnection, LoopbackConnection]:
    """Return both ends of a connection of a node to itself.

    Args:
        address: The node's address.
        counters: Where malformed messages would be counted.
    """
    near = LoopbackConnection(address, counters)
    far = LoopbackConnection(address, counters)
    near.twin = far
    far.twin = near
    return near, far
