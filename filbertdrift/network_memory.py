"""In-memory transport for tests, with simulated delay, loss and partitions."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence

from filbertdrift.connection import Connection, NetworkCounters
from filbertdrift.errors import MalformedMessage, PeerUnavailable
from filbertdrift.network import (
    CONNECT_TIMEOUT_S,
    Network,
    OnConnection,
    OnDatagram,
)
from filbertdrift.wire import LENGTH_BYTES

DEFAULT_DELAY_S = 0.0005
MIN_ARRIVAL_GAP_S = 1e-6


class NetworkSimulator:
    """Simulates the network between the nodes of a test, and its faults.

    Args:
        rng: Selects the datagrams that are lost.

    Attributes:
        loss: The share of datagrams that are lost, from 0 to 1.
        delay_s: Returns the one-way delay between two addresses.
        bytes_per_s: The capacity of the links to some addresses; the others
            have no limit.
        sent_bytes_per_s: The capacity of the links from some addresses.
        networks: The transports of running nodes by address.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create a network without faults."""
        self.loss = 0.0
        self.bytes_per_s: dict[str, float] = {}
        self.sent_bytes_per_s: dict[str, float] = {}
        self.delay_s: Callable[[str, str], float] = _get_default_delay_s
        self.networks: dict[str, MemoryNetwork] = {}
        self._partitions: set[frozenset[str]] = set()
        self._rng = rng
        self._paused_deliveries: dict[str, list[Callable[[], None]]] = {}
        self._last_arrival: dict[tuple[str, str], float] = {}
        # When the link to an address has transmitted what is queued for it.
        self._link_free_at: dict[str, float] = {}
        # The same for the link from an address.
        self._sent_free_at: dict[str, float] = {}

    def occupy_link(self, address: str, size_bytes: int) -> float:
        """Queue bytes on the link to an address.

        Args:
            address: The receiving address.
            size_bytes: How much is queued.

        Returns:
            How long it takes until the last byte is transmitted, in seconds.
        """
        bytes_per_s = self.bytes_per_s.get(address)
        if bytes_per_s is None:
            return 0
        wait_s = self.link_wait_s(address) + size_bytes / bytes_per_s
        now = asyncio.get_running_loop().time()
        self._link_free_at[address] = now + wait_s
        return wait_s

    def link_wait_s(self, address: str) -> float:
        """Return how long a message waits on the link to an address."""
        now = asyncio.get_running_loop().time()
        return max(self._link_free_at.get(address, 0) - now, 0)

    def occupy_sent_link(self, address: str, size_bytes: int) -> float:
        """Queue bytes on the link from an address.

        Args:
            address: The sending address.
            size_bytes: How much is queued.

        Returns:
            How long it takes until the last byte is transmitted, in seconds.
        """
        bytes_per_s = self.sent_bytes_per_s.get(address)
        if bytes_per_s is None:
            return 0
        wait_s = self.sent_link_wait_s(address) + size_bytes / bytes_per_s
        now = asyncio.get_running_loop().time()
        self._sent_free_at[address] = now + wait_s
        return wait_s

    def sent_link_wait_s(self, address: str) -> float:
        """Return how long a message waits on the link from an address."""
        now = asyncio.get_running_loop().time()
        return max(self._sent_free_at.get(address, 0) - now, 0)

    def cut(self, left: Sequence[str], right: Sequence[str]) -> None:
        """Partition two groups of addresses from each other.

        Datagrams and frames between the groups are dropped, and connections
        between them cannot be opened.
        """
        self._partitions.update(
            frozenset((one, other)) for one in left for other in right
        )

    def heal(self) -> None:
        """Remove all partitions.

        Connections that dropped frames during a partition remain silent.
        """
        self._partitions.clear()

    def is_partitioned(self, one: str, other: str) -> bool:
        """Return whether a partition separates two addresses."""
        return frozenset((one, other)) in self._partitions

    def silence(self, address: str) -> None:
        """Drop all further frames on the open connections of an address.

        Neither end gets an error. New connections work.
        """
        network = self.networks[address]
        for conn in network.open_connections:
            conn.is_silent = True
            if conn.other_end:
                conn.other_end.is_silent = True

    def freeze(self, address: str) -> None:
        """Hold back messages from and to a node, as if it were suspended."""
        self._paused_deliveries.setdefault(address, [])

    def thaw(self, address: str) -> None:
        """Deliver the messages held back by freeze, in order."""
        for callback in self._paused_deliveries.pop(address, []):
            callback()

    def should_drop_datagram(self) -> bool:
        """Decide at random whether a datagram is lost."""
        return self.loss > 0 and self._rng.random() < self.loss

    def schedule_delivery(
        self,
        sender: str,
        address: str,
        callback: Callable[[], None],
        size_bytes: int = 0,
    ) -> None:
        """Deliver a message after the delay between two addresses.

        Messages from one address to another arrive in the order of sending.

        Args:
            sender: The sending address.
            address: The receiving address.
            callback: Delivers the message to the receiver.
            size_bytes: The size of the message.
        """

        def arrive() -> None:
            held = self._paused_deliveries.get(
                sender, self._paused_deliveries.get(address)
            )
            if held is None:
                callback()
            else:
                held.append(arrive)

        loop = asyncio.get_running_loop()
        path = (sender, address)
        earliest = self._last_arrival.get(path, 0) + MIN_ARRIVAL_GAP_S
        link_s = self.occupy_sent_link(sender, size_bytes)
        link_s += self.occupy_link(address, size_bytes)
        delay_s = self.delay_s(sender, address) + link_s
        when = max(loop.time() + delay_s, earliest)
        self._last_arrival[path] = when
        loop.call_at(when, arrive)


class MemoryConnection(Connection):
    """One end of an in-memory connection between two nodes.

    Args:
        simulator: The simulated network between the nodes.
        local_address: The address of the node at this end.
        peer: The address of the node at the other end.
        counters: The traffic counters of the node at this end.

    Attributes:
        other_end: The end that receives what is sent here.
        is_silent: Whether frames sent here are dropped without an error.
        is_closed: Whether this end is closed.
    """

    def __init__(
        self,
        simulator: NetworkSimulator,
        local_address: str,
        peer: str,
        counters: NetworkCounters,
    ) -> None:
        """Create an open end; its other end is set afterwards."""
        super().__init__(peer, counters)
        self.other_end: MemoryConnection | None = None
        self.is_silent = False
        self.is_closed = False
        self._simulator = simulator
        self._local_address = local_address
        self._frames: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._frames_in_flight: list[bytes] = []

    def close(self) -> None:
        """Close this end, and the other end after the network delay."""
        if self.is_closed:
            return
        self.is_closed = True
        self._frames.put_nowait(None)
        network = self._simulator.networks.get(self._local_address)
        if network:
            network.remove_connection(self)
        if self.other_end and not self._drops_frames():
            other_end = self.other_end
            self._simulator.schedule_delivery(
                self._local_address, self.peer, other_end.close
            )

    def _write(self, frame: bytes) -> None:
        if self.is_closed or self.other_end is None or self._drops_frames():
            return
        other_end = self.other_end
        other_end._frames_in_flight.append(frame[LENGTH_BYTES:])  # noqa: SLF001
        self._simulator.schedule_delivery(
            self._local_address,
            self.peer,
            other_end._receive_frame,  # noqa: SLF001
            len(frame),
        )

    async def _drain(self) -> None:
        if self.is_closed:
            raise PeerUnavailable('closed', step='send', peer=self.peer)
        await asyncio.sleep(0)

    async def _read(self) -> bytes:
        frame = None if self.is_closed else await self._frames.get()
        if frame is None:
            raise PeerUnavailable('closed', step='receive', peer=self.peer)
        return frame

    def _receive_frame(self) -> None:
        self._frames.put_nowait(self._frames_in_flight.pop(0))

    def _drops_frames(self) -> bool:
        """Return whether frames are dropped; a partition makes it permanent."""
        if self._simulator.is_partitioned(self._local_address, self.peer):
            self.is_silent = True
        return self.is_silent


class MemoryNetwork(Network):
    """The in-memory transport of one node.

    Args:
        simulator: The simulated network that connects the nodes.
        address: This node's own address.

    Attributes:
        open_connections: This node's ends of its open connections.
    """

    def __init__(self, simulator: NetworkSimulator, address: str) -> None:
        """Set the address and the simulated network."""
        super().__init__(address)
        self.open_connections: list[MemoryConnection] = []
        self._simulator = simulator
        self._on_connection: OnConnection | None = None
        self._on_datagram: OnDatagram | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(
        self,
        on_connection: OnConnection,
        on_datagram: OnDatagram,
    ) -> None:
        """Register this transport in the simulated network."""
        self._on_connection = on_connection
        self._on_datagram = on_datagram
        self._simulator.networks[self.address] = self

    async def connect(self, address: str) -> Connection:
        """Open an in-memory connection to a node.

        Raises:
            PeerUnavailable: The node is partitioned away or not running.
        """
        await self._shake_hands(address)
        if self._simulator.is_partitioned(self.address, address):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise PeerUnavailable('no answer', step='connect', peer=address)
        peer_network = self._simulator.networks.get(address)
        if peer_network is None:
            raise PeerUnavailable('refused', step='connect', peer=address)
        return self._open_connection(peer_network)

    async def _shake_hands(self, address: str) -> None:
        link_s = self._simulator.link_wait_s(address)
        link_s += self._simulator.link_wait_s(self.address)
        if link_s > CONNECT_TIMEOUT_S:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise PeerUnavailable('no answer', step='connect', peer=address)
        delay_s = self._simulator.delay_s(self.address, address)
        await asyncio.sleep(2 * delay_s + link_s)

    async def close(self) -> None:
        """Leave the simulated network and close all connections."""
        if self._simulator.networks.get(self.address) is self:
            self._simulator.networks.pop(self.address)
        for conn in list(self.open_connections):
            conn.close()
        for task in list(self._tasks):
            task.cancel()

    def remove_connection(self, conn: MemoryConnection) -> None:
        """Remove a closed connection from open_connections."""
        if conn in self.open_connections:
            self.open_connections.remove(conn)

    def accept(self, conn: MemoryConnection) -> None:
        """Serve a connection that another node opened."""
        self.open_connections.append(conn)
        task = asyncio.get_running_loop().create_task(self._serve(conn))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def receive(self, payload: bytes) -> None:
        """Pass one datagram to the node, if it has started."""
        if self._on_datagram:
            self._receive_datagram(payload, self._on_datagram)

    def _open_connection(
        self, peer_network: 'MemoryNetwork'
    ) -> MemoryConnection:
        client_end = MemoryConnection(
            self._simulator,
            self.address,
            peer_network.address,
            self.counters,
        )
        server_end = MemoryConnection(
            self._simulator,
            peer_network.address,
            self.address,
            peer_network.counters,
        )
        client_end.other_end = server_end
        server_end.other_end = client_end
        self.open_connections.append(client_end)
        peer_network.accept(server_end)
        return client_end

    async def _serve(self, conn: MemoryConnection) -> None:
        try:
            with contextlib.suppress(PeerUnavailable, MalformedMessage):
                if self._on_connection:
                    await self._on_connection(conn)
        finally:
            conn.close()

    def _send_datagram(self, address: str, payload: bytes) -> None:
        if (
            self._simulator.is_partitioned(self.address, address)
            or self._simulator.should_drop_datagram()
        ):
            return

        def deliver() -> None:
            receiver = self._simulator.networks.get(address)
            if receiver:
                receiver.receive(payload)

        self._simulator.schedule_delivery(
            self.address, address, deliver, len(payload)
        )


def _get_default_delay_s(sender: str, address: str) -> float:
    return DEFAULT_DELAY_S
