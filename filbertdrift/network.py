"""Links between nodes: framed TCP connections and UDP datagrams.

A node meets the network through one abstract class. The real one uses
sockets; its twin in memory, in network_memory, runs on virtual time.
"""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from filbertdrift.connection import Connection, NetworkCounters
from filbertdrift.errors import MalformedMessage, PeerUnavailable
from filbertdrift.network_inner import create_loopback_pair
from filbertdrift.wire import (
    LENGTH_BYTES,
    pack_datagram,
    parse_frame_length,
    unpack_datagram,
)

CONNECT_TIMEOUT_S = 1.0
DRAIN_ABOVE_BYTES = 65_536
READ_BUFFER_BYTES = 262_144

OnConnection = Callable[['Connection'], Awaitable[None]]
OnDatagram = Callable[[str, int, object], None]


class Network(ABC):
    """How one node reaches the others.

    Args:
        address: This node's own address, IP number and port.
    """

    def __init__(self, address: str) -> None:
        """Keep the address."""
        self.address = address
        self.counters = NetworkCounters()

    def send(self, address: str, generation: int, body: object) -> None:
        """Send one datagram; it may be lost.

        Args:
            address: The receiving node.
            generation: The sending node's generation.
            body: The message.
        """
        payload = pack_datagram(self.address, generation, body)
        self.counters.sent(body, len(payload))
        self._send_datagram(address, payload)

    @abstractmethod
    async def start(
        self,
        on_connection: OnConnection,
        on_datagram: OnDatagram,
    ) -> None:
        """Listen for connections and datagrams.

        Args:
            on_connection: Serves one accepted connection until it ends.
            on_datagram: Takes sender, its generation and the message.
        """

    @abstractmethod
    async def connect(self, address: str) -> Connection:
        """Open a connection to another node.

        Raises:
            PeerUnavailable: The node did not answer in time.
        """

    @abstractmethod
    async def close(self) -> None:
        """Stop listening and close all connections."""

    @abstractmethod
    def _send_datagram(self, address: str, payload: bytes) -> None:
        """Send the bytes of one datagram."""

    def _deliver(self, payload: bytes, on_datagram: OnDatagram) -> None:
        try:
            sender, generation, body = unpack_datagram(payload)
        except MalformedMessage:
            self.counters.malformed += 1
            return
        self.counters.received(body)
        on_datagram(sender, generation, body)


class TcpConnection(Connection):
    """A framed connection over TCP."""

    def __init__(
        self,
        peer: str,
        counters: NetworkCounters,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Wrap the two halves of a stream."""
        super().__init__(peer, counters)
        self._reader = reader
        self._writer = writer
        self._received = b''

    def close(self) -> None:
        """Abort the connection; buffered frames are dropped."""
        self._writer.transport.abort()

    def _write(self, frame: bytes) -> None:
        # uvloop raises on writes to a closed transport; the task that reads
        # the connection finds out why it ended.
        if not self._writer.transport.is_closing():
            self._writer.write(frame)

    async def _drain(self) -> None:
        transport = self._writer.transport
        if transport.get_write_buffer_size() < DRAIN_ABOVE_BYTES:
            if transport.is_closing():
                raise PeerUnavailable('closed', step='send', peer=self.peer)
            return
        try:
            await self._writer.drain()
        except OSError as exc:
            raise PeerUnavailable(
                repr(exc),
                step='send',
                peer=self.peer,
            ) from exc

    async def _read(self) -> bytes:
        frame = self._take_frame()
        while frame is None:
            self._received += await self._read_some()
            frame = self._take_frame()
        return frame

    def _take_frame(self) -> bytes | None:
        """Return the next frame if it has arrived whole."""
        received = self._received
        if len(received) < LENGTH_BYTES:
            return None
        end = LENGTH_BYTES + parse_frame_length(received[:LENGTH_BYTES])
        if len(received) < end:
            return None
        self._received = received[end:]
        return received[LENGTH_BYTES:end]

    async def _read_some(self) -> bytes:
        try:
            chunk = await self._reader.read(READ_BUFFER_BYTES)
        except OSError as exc:
            raise self._lost(repr(exc)) from exc
        if not chunk:
            raise self._lost('the connection ended')
        return chunk

    def _lost(self, reason: str) -> PeerUnavailable:
        return PeerUnavailable(reason, step='receive', peer=self.peer)


class _DatagramReceiver(asyncio.DatagramProtocol):
    """Hands datagrams to a network."""

    def __init__(self, on_payload: Callable[[bytes], None]) -> None:
        """Keep the receiver."""
        self._on_payload = on_payload

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Pass one datagram on."""
        self._on_payload(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore: an unreachable port shows as a missing answer."""


class TcpNetwork(Network):
    """The network over TCP and UDP sockets on one port number."""

    def __init__(self, address: str) -> None:
        """Keep the address; start binds it."""
        super().__init__(address)
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self._accepted: dict[asyncio.Task[None], Connection] = {}
        self._on_connection: OnConnection | None = None
        self._inner: set[asyncio.Task[None]] = set()

    async def start(
        self,
        on_connection: OnConnection,
        on_datagram: OnDatagram,
    ) -> None:
        """Bind the TCP and the UDP port."""
        loop = asyncio.get_running_loop()
        host, port = split_address(self.address)
        self._on_connection = on_connection

        async def accept(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            peer = format_peer(writer)
            conn = TcpConnection(peer, self.counters, reader, writer)
            await self._serve(conn, on_connection)

        self._server = await asyncio.start_server(
            accept,
            host,
            port,
            limit=READ_BUFFER_BYTES,
        )
        endpoint = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(
                lambda payload: self._deliver(payload, on_datagram),
            ),
            local_addr=(host, port),
        )
        self._datagrams = endpoint[0]

    async def connect(self, address: str) -> Connection:
        """Open a TCP connection, or one within the process to itself."""
        if address == self.address and self._on_connection:
            return self._connect_self(self._on_connection)
        host, port = split_address(address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    host,
                    port,
                    limit=READ_BUFFER_BYTES,
                )
        except (OSError, TimeoutError) as exc:
            raise PeerUnavailable(
                repr(exc),
                step='connect',
                peer=address,
            ) from exc
        return TcpConnection(address, self.counters, reader, writer)

    async def close(self) -> None:
        """Close the ports and the accepted connections."""
        if self._server:
            self._server.close()
        if self._datagrams:
            self._datagrams.close()
        for conn in list(self._accepted.values()):
            conn.close()
        await asyncio.sleep(0)

    def _send_datagram(self, address: str, payload: bytes) -> None:
        if self._datagrams and not self._datagrams.is_closing():
            self._datagrams.sendto(payload, split_address(address))

    def _connect_self(self, on_connection: OnConnection) -> Connection:
        near, far = create_loopback_pair(self.address, self.counters)
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._serve(far, on_connection))
        self._inner.add(task)
        task.add_done_callback(self._inner.discard)
        return near

    async def _serve(
        self,
        conn: Connection,
        on_connection: OnConnection,
    ) -> None:
        task = asyncio.current_task()
        if task is None:
            return
        self._accepted[task] = conn
        try:
            with contextlib.suppress(PeerUnavailable, MalformedMessage):
                await on_connection(conn)
        finally:
            conn.close()
            self._accepted.pop(task)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address such as 127.0.0.1:7000."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def format_peer(writer: asyncio.StreamWriter) -> str:
    """Return the other side of a connection as host and port."""
    name = writer.get_extra_info('peername')
    return ':'.join(str(part) for part in name[:2]) if name else 'closed'
