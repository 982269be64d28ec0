"""A connection to a target, and what it received beside the responses."""

import asyncio
import os
import select
from collections.abc import Callable, Iterable
from typing import SupportsIndex

from loguru import logger

from filbertdrift import http1
from filbertdrift.errors import PeerUnavailable


class TargetStream(asyncio.StreamReader):
    """The bytes that a target sends on a connection.

    Attributes:
        unread_bytes: Number of bytes received and not yet read.
        on_stray_bytes: Called when bytes arrive; set between two exchanges.
    """

    def __init__(self) -> None:
        """Create the empty stream of a connection that is in use."""
        super().__init__()
        self.unread_bytes = 0
        self.on_stray_bytes: Callable[[], None] | None = None

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Receive bytes."""
        raw = bytes(data)
        self.unread_bytes += len(raw)
        super().feed_data(raw)
        if self.on_stray_bytes:
            self.on_stray_bytes()

    async def read(self, limit_bytes: int = -1) -> bytes:
        """Return bytes up to a limit, none at the end of the stream."""
        raw = await super().read(limit_bytes)
        self.unread_bytes -= len(raw)
        return raw


class TargetConnection:
    """A connection to the target.

    Attributes:
        messages: Reads the responses.
        idle_since: When the last exchange ended, on the loop's clock.
        reuse_until: Until when another exchange may start.
        exchanges: How many exchanges have begun.
        connected_at: When it was established, on the loop's clock.
    """

    def __init__(
        self,
        reader: TargetStream,
        writer: asyncio.StreamWriter,
        peer: str,
    ) -> None:
        """Wrap a stream pair."""
        self.messages = http1.ResponseReader(reader, peer, self._was_reset)
        self.idle_since = 0.0
        self.reuse_until = 0.0
        self.exchanges = 0
        self.connected_at = asyncio.get_running_loop().time()
        self._reader = reader
        self._writer = writer

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection may carry another exchange."""
        return (
            now < self.reuse_until
            and not self._reader.at_eof()
            and not self._writer.is_closing()
            and not self._has_unread_in_socket()
        )

    def is_between_exchanges(self) -> bool:
        """Return whether no bytes follow the last response."""
        return (
            self.messages.is_between_messages()
            and not self._reader.unread_bytes
        )

    def begin_exchange(self) -> None:
        """Take the bytes from now on for a response."""
        self.exchanges += 1
        self._reader.on_stray_bytes = None

    def end_exchange(self) -> None:
        """Close the connection if bytes arrive before the next exchange."""
        self._reader.on_stray_bytes = self._reject_stray_bytes

    async def write(self, raw: bytes) -> None:
        """Write bytes, waiting while the send buffer is full.

        Raises:
            PeerUnavailable: The connection broke.
        """
        try:
            self._writer.write(raw)
            await self._writer.drain()
        except OSError as exc:
            raise PeerUnavailable(
                repr(exc),
                step='send to target',
                peer=self.messages.peer,
            ) from exc

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()

    def _reject_stray_bytes(self) -> None:
        logger.bind(event='stray_bytes', peer=self.messages.peer).info(
            'the target sent bytes that are no response',
        )
        self.close()

    def _has_unread_in_socket(self) -> bool:
        """Return whether the socket has bytes that the loop did not read."""
        sock = self._writer.get_extra_info('socket')
        if sock is None or sock.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _was_reset(self) -> bool:
        """Return whether the stream ended with a reset, not with a close.

        libuv reports both as the end of the stream if they arrive together
        with the last bytes; another read from the socket distinguishes them.
        """
        sock = self._writer.get_extra_info('socket')
        if sock is None or sock.fileno() < 0:
            return True
        try:
            return bool(os.read(sock.fileno(), 1))
        except OSError:
            return True
