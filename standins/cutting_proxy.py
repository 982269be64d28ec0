"""A loopback proxy that injects network faults."""

import asyncio
import contextlib
import time
from dataclasses import dataclass
from enum import Enum

CHUNK_BYTES = 65_536


class Fault(Enum):
    """A fault of the proxied connections."""

    NONE = 'none'
    DELAY = 'delay'
    RESET = 'reset'
    # Bytes to the server are dropped, bytes to the client pass.
    ONE_WAY = 'one_way'
    # Open connections drop all bytes from now on; new connections work.
    SILENCE = 'silence'
    # New and open connections are reset.
    DOWN = 'down'


@dataclass(eq=False)
class _ProxiedConnection:
    """One proxied connection: its writers to the client and to the server."""

    client: asyncio.StreamWriter
    server: asyncio.StreamWriter
    is_silent: bool = False


class FaultProxy:
    """Forwards connections to one address and injects faults.

    Args:
        listen: Host and port to listen on.
        target: Host and port to forward to.
        bytes_per_s: Capacity of the link to it, which all connections share;
            None for no limit.

    Attributes:
        delay_s: Delay of each chunk under `Fault.DELAY`.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        target: tuple[str, int],
        bytes_per_s: float | None = None,
    ) -> None:
        self.delay_s = 0.2
        self._bytes_per_s = bytes_per_s
        # When the link has transmitted all that waits for it.
        self._free_at = 0.0
        self._fault = Fault.NONE
        self._listen = listen
        self._target = target
        self._conns: set[_ProxiedConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, *self._listen)

    def play(self, fault: Fault) -> None:
        """Inject a fault from now on; `Fault.NONE` ends it.

        Connections silenced by `Fault.SILENCE` stay silent.
        """
        self._fault = fault
        if fault is Fault.SILENCE:
            for conn in self._conns:
                conn.is_silent = True
        if fault in {Fault.RESET, Fault.DOWN}:
            self._reset_all()

    def reset(self) -> None:
        """Reset the open connections; new ones work."""
        self._reset_all()

    def fill(self, wait_s: float) -> None:
        """Let what is sent to the server now wait for at least this long."""
        self._free_at = max(self._free_at, time.monotonic() + wait_s)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server:
            self._server.close()
        self._reset_all()

    def _reset_all(self) -> None:
        for conn in list(self._conns):
            conn.client.transport.abort()
            conn.server.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._fault is Fault.DOWN:
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(
                *self._target,
            )
        except OSError:
            writer.transport.abort()
            return
        conn = _ProxiedConnection(writer, server_writer)
        self._conns.add(conn)
        try:
            await asyncio.gather(
                self._pump(reader, server_writer, conn, to_server=True),
                self._pump(server_reader, writer, conn, to_server=False),
            )
        finally:
            self._conns.discard(conn)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        conn: _ProxiedConnection,
        *,
        to_server: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self._fault is Fault.DELAY:
                    await asyncio.sleep(self.delay_s)
                if to_server:
                    await self._wait_for_link(len(chunk))
                is_dropped = to_server and self._fault is Fault.ONE_WAY
                if not is_dropped and not conn.is_silent:
                    writer.write(chunk)
                    await writer.drain()
            if not conn.is_silent:
                writer.close()
            return
        writer.transport.abort()

    async def _wait_for_link(self, size_bytes: int) -> None:
        """Wait until the link has transmitted a chunk."""
        if self._bytes_per_s is None:
            return
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + size_bytes / self._bytes_per_s
        await asyncio.sleep(self._free_at - now)
