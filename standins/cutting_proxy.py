"""A loopback proxy that delays, resets, cuts or silences connections."""

import asyncio
import contextlib
from dataclasses import dataclass
from enum import Enum

CHUNK_BYTES = 65_536


class Fault(Enum):
    """What happens to the bytes of a connection."""

    NONE = 'none'
    DELAY = 'delay'
    RESET = 'reset'
    # Bytes towards the server are dropped, answers pass.
    ONE_WAY = 'one_way'
    # Connections that are open now go silent for good; new ones work.
    SILENCE = 'silence'
    # New connections are refused and open ones reset.
    DOWN = 'down'


@dataclass(eq=False)
class _Pair:
    """Both writers of one proxied connection."""

    client: asyncio.StreamWriter
    server: asyncio.StreamWriter
    is_silent: bool = False


class FaultProxy:
    """Passes connections on to one address, with faults.

    Args:
        listen: Host and port to listen on.
        target: Host and port to connect to.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        target: tuple[str, int],
    ) -> None:
        self.delay_s = 0.2
        self._fault = Fault.NONE
        self._listen = listen
        self._target = target
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self._listen)

    def play(self, fault: Fault) -> None:
        """Change what happens from now on."""
        self._fault = fault
        if fault is Fault.SILENCE:
            for pair in self._pairs:
                pair.is_silent = True
        if fault in {Fault.RESET, Fault.DOWN}:
            self._abort_all()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server:
            self._server.close()
        self._abort_all()

    def _abort_all(self) -> None:
        for pair in list(self._pairs):
            pair.client.transport.abort()
            pair.server.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._fault is Fault.DOWN:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target,
            )
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair(writer, far_writer)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, pair, to_server=True),
                self._pump(far_reader, writer, pair, to_server=False),
            )
        finally:
            self._pairs.discard(pair)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: _Pair,
        *,
        to_server: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self._fault is Fault.DELAY:
                    await asyncio.sleep(self.delay_s)
                is_cut = to_server and self._fault is Fault.ONE_WAY
                if not is_cut and not pair.is_silent:
                    writer.write(chunk)
                    await writer.drain()
            if not pair.is_silent:
                writer.close()
            return
        writer.transport.abort()
