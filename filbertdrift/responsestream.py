"""The stream of responses on a connection, which tells a close from a break.

A response without a length ends with its connection, so a connection that broke
must not look like one that the other side closed. What a read, a write and the
event loop learn of the end meets here, and the first of them decides.
"""

import asyncio
import contextlib
import os
import socket

from filbertdrift.bytestream import ByteStream

# Unread bytes that a connection that broke may have.
MAX_SALVAGED_BYTES = 65_536


class ResponseStream(ByteStream):
    """The bytes that the other side of a connection sends.

    Reads return all bytes before the end. At the end they return none if the
    other side closed the connection, and raise an OSError if it broke.

    Args:
        limit: Half the size in bytes above which reading is paused.

    Attributes:
        has_ended: The end is known, although bytes may be unread.
    """

    def __init__(self, limit: int = 65_536) -> None:
        """Create the empty stream."""
        super().__init__(limit)
        self.has_ended = False
        self._error: Exception | None = None

    def feed_eof(self) -> None:
        """End the stream with a close, unless its end is known."""
        if not self.has_ended:
            self.has_ended = True
            super().feed_eof()

    def set_exception(self, exc: Exception) -> None:
        """End the stream with an error, unless its end is known."""
        if self.has_ended:
            return
        self.has_ended = True
        self._error = exc
        self._raise_at_end()

    async def read(self, limit_bytes: int = -1) -> bytes:
        """Return bytes up to a limit, none after a close.

        Raises:
            OSError: The connection broke.
        """
        raw = await super().read(limit_bytes)
        self._raise_at_end()
        return raw

    def _raise_at_end(self) -> None:
        """Let reads raise the error once all bytes before it were read."""
        if self._error and not self.unread_bytes:
            asyncio.StreamReader.set_exception(self, self._error)


class ResponseProtocol(asyncio.StreamReaderProtocol):
    """Finds out how a connection ended.

    Args:
        stream: Receives the bytes and the end.
    """

    def __init__(self, stream: ResponseStream) -> None:
        """Create the protocol of a connection."""
        super().__init__(stream)
        self._stream = stream
        self._connection: asyncio.BaseTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection, whose socket tells how it ended."""
        super().connection_made(transport)
        self._connection = transport

    def eof_received(self) -> bool:
        """End the stream; return whether the connection is to stay open.

        libuv reports a reset as a close if it comes with the last bytes. The
        socket gives the error to the next read or write, and only once, so it
        is read here, before anything is written.
        """
        error = _find_error(self._find_socket())
        if error is not None:
            self._stream.set_exception(error)
            return False
        super().eof_received()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """End the stream, after what the socket still has.

        A write that fails closes the connection before its last bytes, such as
        an early response, have been read.
        """
        if exc is None:
            # Closed by this side, unless its end is known.
            self._stream.set_exception(ConnectionAbortedError('closed'))
        elif not self._stream.has_ended:
            self._salvage(self._find_socket())
        super().connection_lost(exc)

    def _find_socket(self) -> socket.socket | None:
        """Return the socket, None if it is closed."""
        conn = self._connection
        sock = conn.get_extra_info('socket') if conn else None
        return sock if sock and sock.fileno() >= 0 else None

    def _salvage(self, sock: socket.socket | None) -> None:
        left_bytes = MAX_SALVAGED_BYTES - self._stream.unread_bytes
        if sock is None or left_bytes <= 0:
            return
        with contextlib.suppress(OSError):
            raw = os.read(sock.fileno(), left_bytes)
            if raw:
                self._stream.feed_data(raw)


def _find_error(sock: socket.socket | None) -> OSError | None:
    """Return the error of a socket at its end, None if it was closed."""
    if sock is None:
        return ConnectionAbortedError('closed')
    try:
        is_broken = bool(os.read(sock.fileno(), 1))
    except OSError as exc:
        return exc
    return ConnectionResetError('bytes after the end') if is_broken else None
