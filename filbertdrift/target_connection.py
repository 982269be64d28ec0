"""A connection to a target, and what it received beside the responses."""

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable, Iterable
from typing import SupportsIndex

from loguru import logger

from filbertdrift import http1
from filbertdrift.bytestream import ByteStream, has_unread_in_socket
from filbertdrift.errors import PeerUnavailable

# Unread bytes that an ended connection may have.
MAX_SALVAGED_BYTES = 65_536


class TargetStream(ByteStream):
    """The bytes that a target sends on a connection.

    Attributes:
        on_stray_bytes: Called when bytes arrive; set between two exchanges.
        has_ended: The target has sent the end of the stream.
    """

    def __init__(self) -> None:
        """Create the empty stream of a connection that is in use."""
        super().__init__()
        self.on_stray_bytes: Callable[[], None] | None = None
        self.has_ended = False
        self._end: Exception | None = None

    def feed_eof(self) -> None:
        """End the stream, after the bytes that have arrived."""
        self.has_ended = True
        super().feed_eof()

    def set_exception(self, exc: Exception) -> None:
        """End the stream with an error, after the bytes that have arrived."""
        if self.unread_bytes:
            self._end = exc
        else:
            super().set_exception(exc)

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Receive bytes."""
        super().feed_data(data)
        if self.on_stray_bytes:
            self.on_stray_bytes()

    async def read(self, limit_bytes: int = -1) -> bytes:
        """Return bytes up to a limit, none at the end of the stream."""
        raw = await super().read(limit_bytes)
        if self._end and not self.unread_bytes:
            self.set_exception(self._end)
        return raw


class TargetProtocol(asyncio.StreamReaderProtocol):
    """Takes what has arrived when a connection to a target breaks.

    Args:
        stream: Receives the bytes.
    """

    def __init__(self, stream: TargetStream) -> None:
        """Create the protocol of a connection."""
        super().__init__(stream)
        self._stream = stream
        self._connection: asyncio.BaseTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection, whose socket is read when it breaks."""
        super().connection_made(transport)
        self._connection = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """End the stream, after what the socket still has.

        A write that fails closes the connection before its last bytes, such as
        an early response, have been read.
        """
        if exc is not None and not self._stream.has_ended and self._connection:
            self._salvage(self._connection.get_extra_info('socket'))
        super().connection_lost(exc)

    def _salvage(self, sock: socket.socket | None) -> None:
        left_bytes = MAX_SALVAGED_BYTES - self._stream.unread_bytes
        if sock is None or sock.fileno() < 0 or left_bytes <= 0:
            return
        with contextlib.suppress(OSError):
            raw = os.read(sock.fileno(), left_bytes)
            if raw:
                self._stream.feed_data(raw)


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
            and not has_unread_in_socket(self._writer)
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
        if self._writer.is_closing():
            # uvloop raises RuntimeError on writes to a closed transport.
            raise PeerUnavailable(
                'closed', step='send to target', peer=self.messages.peer
            )
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
