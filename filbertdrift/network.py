"""Transport between nodes: framed TCP connections and UDP datagrams.

Nodes use the abstract class Network. TcpNetwork implements it with sockets;
network_memory has an in-memory implementation for tests on virtual time.
"""

import asyncio
import contextlib
import time
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Iterable

from loguru import logger

from filbertdrift.address import MAX_PORT
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
    """The transport of one node: connections and datagrams to its peers.

    Args:
        address: This node's own address, IP number and port.

    Attributes:
        address: This node's own address.
        counters: The traffic counters of this node.
    """

    def __init__(self, address: str) -> None:
        """Set the address and create the counters."""
        self.address = address
        self.counters = NetworkCounters()

    def send(self, address: str, generation: int, body: object) -> None:
        """Send one datagram, which may be lost.

        Args:
            address: The address of the receiving node.
            generation: The sending node's generation.
            body: The message.
        """
        self.send_to_all((address,), generation, body)

    def send_to_all(
        self, addresses: Iterable[str], generation: int, body: object
    ) -> None:
        """Send the same datagram to some nodes; each copy may be lost.

        Args:
            addresses: The addresses of the receiving nodes.
            generation: The sending node's generation.
            body: The message.
        """
        payload = pack_datagram(self.address, generation, body)
        for address in addresses:
            self.counters.sent(body, len(payload), address)
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
            on_datagram: Called with the sender's address, its generation and
                the message of each valid datagram.
        """

    @abstractmethod
    async def connect(self, address: str) -> Connection:
        """Open a connection to a node.

        Raises:
            PeerUnavailable: The node refused the connection, or it was not
                established in time.
        """

    @abstractmethod
    async def close(self) -> None:
        """Stop listening and close all connections."""

    @abstractmethod
    def _send_datagram(self, address: str, payload: bytes) -> None:
        """Send one encoded datagram."""

    def _receive_datagram(
        self, payload: bytes, on_datagram: OnDatagram
    ) -> None:
        try:
            sender, generation, body = unpack_datagram(payload)
        except MalformedMessage:
            self.counters.malformed += 1
            return
        self.counters.received(body)
        on_datagram(sender, generation, body)


class TcpConnection(Connection):
    """A connection over TCP.

    Args:
        peer: The peer's address.
        counters: The traffic counters of this node.
        reader: The receiving half of the stream.
        writer: The sending half of the stream.
    """

    def __init__(
        self,
        peer: str,
        counters: NetworkCounters,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Wrap a connected stream."""
        super().__init__(peer, counters)
        self._reader = reader
        self._writer = writer
        self._receive_buffer = b''

    def clock_s(self) -> float:
        """Return the time since boot, which includes suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def close(self) -> None:
        """Abort the connection and drop buffered frames."""
        self._writer.transport.abort()

    def _write(self, frame: bytes) -> None:
        # uvloop raises on writes to a closed transport; the task that reads
        # the connection gets the reason for the close.
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
        frame = self._pop_frame()
        while frame is None:
            self._receive_buffer += await self._read_some()
            frame = self._pop_frame()
        return frame

    def _pop_frame(self) -> bytes | None:
        """Remove the first frame from the buffer; None if incomplete."""
        received = self._receive_buffer
        if len(received) < LENGTH_BYTES:
            return None
        end = LENGTH_BYTES + parse_frame_length(received[:LENGTH_BYTES])
        if len(received) < end:
            return None
        self._receive_buffer = received[end:]
        return received[LENGTH_BYTES:end]

    async def _read_some(self) -> bytes:
        try:
            chunk = await self._reader.read(READ_BUFFER_BYTES)
        except OSError as exc:
            raise self._build_receive_error(repr(exc)) from exc
        if not chunk:
            raise self._build_receive_error('the connection ended')
        return chunk

    def _build_receive_error(self, reason: str) -> PeerUnavailable:
        return PeerUnavailable(reason, step='receive', peer=self.peer)


class _DatagramReceiver(asyncio.DatagramProtocol):
    """Passes the payload of received datagrams to a callback."""

    def __init__(self, on_payload: Callable[[bytes], None]) -> None:
        """Set the callback."""
        self._on_payload = on_payload

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Pass on one datagram."""
        self._on_payload(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: a ping to an unreachable port gets no ack."""


class TcpNetwork(Network):
    """The transport over TCP and UDP sockets on the same port number."""

    def __init__(self, address: str) -> None:
        """Set the address, which is bound on start."""
        super().__init__(address)
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self._accepted: dict[asyncio.Task[None], Connection] = {}
        self._on_connection: OnConnection | None = None
        self._loopback_tasks: set[asyncio.Task[None]] = set()

    async def start(
        self,
        on_connection: OnConnection,
        on_datagram: OnDatagram,
    ) -> None:
        """Bind the TCP and the UDP port.

        Raises:
            OSError: A port cannot be bound.
        """
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
                lambda payload: self._receive_datagram(payload, on_datagram),
            ),
            local_addr=(host, port),
        )
        self._datagrams = endpoint[0]

    async def connect(self, address: str) -> Connection:
        """Open a TCP connection, or a loopback connection to this node.

        Raises:
            PeerUnavailable: The node refused the connection, or it was not
                established in time.
        """
        if address == self.address and self._on_connection:
            return self._connect_loopback(self._on_connection)
        try:
            host, port = split_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    host,
                    port,
                    limit=READ_BUFFER_BYTES,
                )
        except (OSError, TimeoutError, ValueError) as exc:
            raise PeerUnavailable(
                repr(exc),
                step='connect',
                peer=address,
            ) from exc
        return TcpConnection(address, self.counters, reader, writer)

    async def close(self) -> None:
        """Close the ports and all accepted connections."""
        if self._server:
            self._server.close()
        if self._datagrams:
            self._datagrams.close()
        for conn in list(self._accepted.values()):
            conn.close()
        await asyncio.sleep(0)

    def _send_datagram(self, address: str, payload: bytes) -> None:
        if not self._datagrams or self._datagrams.is_closing():
            return
        try:
            receiver = split_address(address)
        except ValueError as exc:
            logger.bind(event='address_invalid', peer=address).warning(
                'not sent: {}', exc
            )
            return
        self._datagrams.sendto(payload, receiver)

    def _connect_loopback(self, on_connection: OnConnection) -> Connection:
        client_end, server_end = create_loopback_pair(
            self.address, self.counters
        )
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._serve(server_end, on_connection))
        self._loopback_tasks.add(task)
        task.add_done_callback(self._loopback_tasks.discard)
        return client_end

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
    """Split an address such as 127.0.0.1:7000 into host and port.

    Raises:
        ValueError: The port is no number or out of range.
    """
    host, _, port_text = address.rpartition(':')
    port = int(port_text)
    if not 0 <= port <= MAX_PORT:
        raise ValueError(f'port {port_text} is out of range')
    return host, port


def format_peer(writer: asyncio.StreamWriter) -> str:
    """Return the peer's address of a stream as host:port.

    A stream that is already closed has none; 'closed' is returned.
    """
    name = writer.get_extra_info('peername')
    return ':'.join(str(part) for part in name[:2]) if name else 'closed'
