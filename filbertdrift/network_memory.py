"""The network's twin in memory, with delay, loss, cuts and silent links."""

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

MIN_DELAY_S = 0.0005
ORDER_S = 1e-6


class NetworkSimulator:
    """The links between all memory networks of a test.

    Args:
        rng: Decides which datagrams are lost.

    Attributes:
        loss: Share of datagrams lost, from 0 to 1.
        delay_s: One-way delay between two addresses.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start with healthy links."""
        self.loss = 0.0
        self.delay_s: Callable[[str, str], float] = _constant_delay
        self.networks: dict[str, MemoryNetwork] = {}
        self._cuts: set[frozenset[str]] = set()
        self._rng = rng
        self._held: dict[str, list[Callable[[], None]]] = {}
        self._last_arrival: dict[tuple[str, str], float] = {}

    def cut(self, left: Sequence[str], right: Sequence[str]) -> None:
        """Drop everything between two groups of addresses."""
        self._cuts.update(
            frozenset((one, other)) for one in left for other in right
        )

    def heal(self) -> None:
        """Mend all cuts; connections that went silent stay silent."""
        self._cuts.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether a cut lies between two addresses."""
        return frozenset((one, other)) in self._cuts

    def silence(self, address: str) -> None:
        """Make all open connections of an address silent for good."""
        network = self.networks[address]
        for conn in network.open_connections:
            conn.is_silent = True
            if conn.twin:
                conn.twin.is_silent = True

    def freeze(self, address: str) -> None:
        """Pause a node's sending and receiving; messages wait."""
        self._held.setdefault(address, [])

    def thaw(self, address: str) -> None:
        """Let what waited for or from a paused node through, in order."""
        for hand in self._held.pop(address, []):
            hand()

    def is_lost(self) -> bool:
        """Decide whether to lose a datagram."""
        return self.loss > 0 and self._rng.random() < self.loss

    def deliver(
        self, sender: str, address: str, hand: Callable[[], None]
    ) -> None:
        """Call back after the delay of a link.

        Args:
            sender: The sending address.
            address: The receiving address.
            hand: Hands the message over.
        """

        def arrive() -> None:
            held = self._held.get(sender, self._held.get(address))
            if held is None:
                hand()
            else:
                held.append(arrive)

        loop = asyncio.get_running_loop()
        link = (sender, address)
        earliest = self._last_arrival.get(link, 0) + ORDER_S
        when = max(loop.time() + self.delay_s(sender, address), earliest)
        self._last_arrival[link] = when
        loop.call_at(when, arrive)


class MemoryConnection(Connection):
    """One end of a connection in memory."""

    def __init__(
        self,
        simulator: NetworkSimulator,
        owner: str,
        peer: str,
        counters: NetworkCounters,
    ) -> None:
        """Start open, without its twin."""
        super().__init__(peer, counters)
        self.twin: MemoryConnection | None = None
        self.is_silent = False
        self.is_closed = False
        self._simulator = simulator
        self._owner = owner
        self._frames: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._order: list[bytes] = []

    def close(self) -> None:
        """Close both ends."""
        if self.is_closed:
            return
        self.is_closed = True
        self._frames.put_nowait(None)
        network = self._simulator.networks.get(self._owner)
        if network:
            network.forget(self)
        if self.twin and not self._is_blocked():
            twin = self.twin
            self._simulator.deliver(self._owner, self.peer, twin.close)

    def _write(self, frame: bytes) -> None:
        if self.is_closed or self.twin is None or self._is_blocked():
            return
        twin = self.twin
        twin._order.append(frame[LENGTH_BYTES:])  # noqa: SLF001
        self._simulator.deliver(self._owner, self.peer, twin._arrive)  # noqa: SLF001

    async def _drain(self) -> None:
        if self.is_closed:
            raise PeerUnavailable('closed', step='send', peer=self.peer)
        await asyncio.sleep(0)

    async def _read(self) -> bytes:
        frame = None if self.is_closed else await self._frames.get()
        if frame is None:
            raise PeerUnavailable('closed', step='receive', peer=self.peer)
        return frame

    def _arrive(self) -> None:
        self._frames.put_nowait(self._order.pop(0))

    def _is_blocked(self) -> bool:
        if self._simulator.is_cut(self._owner, self.peer):
            self.is_silent = True
        return self.is_silent


class MemoryNetwork(Network):
    """The network of one node in memory.

    Args:
        simulator: The links to the other nodes.
        address: This node's own address.
    """

    def __init__(self, simulator: NetworkSimulator, address: str) -> None:
        """Keep the simulator."""
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
        """Join the simulator."""
        self._on_connection = on_connection
        self._on_datagram = on_datagram
        self._simulator.networks[self.address] = self

    async def connect(self, address: str) -> Connection:
        """Open a connection in memory."""
        await asyncio.sleep(2 * self._simulator.delay_s(self.address, address))
        if self._simulator.is_cut(self.address, address):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise PeerUnavailable('no answer', step='connect', peer=address)
        other = self._simulator.networks.get(address)
        if other is None:
            raise PeerUnavailable('refused', step='connect', peer=address)
        return self._open_pair(other)

    async def close(self) -> None:
        """Leave the simulator and close all connections."""
        if self._simulator.networks.get(self.address) is self:
            self._simulator.networks.pop(self.address)
        for conn in list(self.open_connections):
            conn.close()
        for task in list(self._tasks):
            task.cancel()

    def forget(self, conn: MemoryConnection) -> None:
        """Drop a closed connection."""
        if conn in self.open_connections:
            self.open_connections.remove(conn)

    def accept(self, conn: MemoryConnection) -> None:
        """Serve a connection that another network opened."""
        self.open_connections.append(conn)
        task = asyncio.get_running_loop().create_task(self._serve(conn))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def receive(self, payload: bytes) -> None:
        """Take the bytes of one datagram."""
        if self._on_datagram:
            self._receive_datagram(payload, self._on_datagram)

    def _open_pair(self, other: 'MemoryNetwork') -> MemoryConnection:
        near = MemoryConnection(
            self._simulator,
            self.address,
            other.address,
            self.counters,
        )
        far = MemoryConnection(
            self._simulator,
            other.address,
            self.address,
            other.counters,
        )
        near.twin = far
        far.twin = near
        self.open_connections.append(near)
        other.accept(far)
        return near

    async def _serve(self, conn: MemoryConnection) -> None:
        try:
            with contextlib.suppress(PeerUnavailable, MalformedMessage):
                if self._on_connection:
                    await self._on_connection(conn)
        finally:
            conn.close()

    def _send_datagram(self, address: str, payload: bytes) -> None:
        if (
            self._simulator.is_cut(self.address, address)
            or self._simulator.is_lost()
        ):
            return

        def hand() -> None:
            receiver = self._simulator.networks.get(address)
            if receiver:
                receiver.receive(payload)

        self._simulator.deliver(self.address, address, hand)


def _constant_delay(sender: str, address: str) -> float:
    return MIN_DELAY_S
