"""A connection to a target, and what it received beside the responses."""

import asyncio
from collections.abc import Callable, Iterable
from typing import SupportsIndex

from loguru import logger

from filbertdrift import http1
from filbertdrift.bytestream import has_unread_in_socket
from filbertdrift.errors import PeerUnavailable
from filbertdrift.responsestream import ResponseStream


class TargetStream(ResponseStream):
    """The bytes that a target sends on a connection.

    Attributes:
        on_stray_bytes: Called when bytes arrive; set between two exchanges.
    """

    def __init__(self) -> None:
        """Create the empty stream of a connection that is in use."""
        super().__init__()
        self.on_stray_bytes: Callable[[], None] | None = None

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Receive bytes."""
        super().feed_data(data)
        if self.on_stray_bytes:
            self.on_stray_bytes()


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
        self.messages = http1.ResponseReader(reader, peer)
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
