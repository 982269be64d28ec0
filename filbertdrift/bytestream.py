"""A receive buffer that tells how much of it is unread."""

import asyncio
import select
from collections.abc import Iterable
from typing import SupportsIndex


class ByteStream(asyncio.StreamReader):
    """The bytes that the other end of a connection sends.

    Args:
        limit: Half the size in bytes above which reading is paused.

    Attributes:
        unread_bytes: Number of bytes received and not yet read.
    """

    def __init__(self, limit: int = 65_536) -> None:
        """Create the empty stream."""
        super().__init__(limit)
        self.unread_bytes = 0

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Receive bytes."""
        raw = bytes(data)
        self.unread_bytes += len(raw)
        super().feed_data(raw)

    async def read(self, limit_bytes: int = -1) -> bytes:
        """Return bytes up to a limit, none at the end of the stream."""
        raw = await super().read(limit_bytes)
        self.unread_bytes -= len(raw)
        return raw


def has_unread_in_socket(writer: asyncio.StreamWriter) -> bool:
    """Return whether a socket has bytes, or an end, that were not read.

    A closed one counts as well.

    Args:
        writer: The sending side of the connection.
    """
    sock = writer.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
