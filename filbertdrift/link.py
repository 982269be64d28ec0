"""The calling side of connections between nodes: many calls over one."""

import asyncio
import contextlib
import itertools

from filbertdrift.callstream import CallStream
from filbertdrift.connection import Connection
from filbertdrift.errors import MalformedMessage, PeerUnavailable
from filbertdrift.gen import ttypes
from filbertdrift.network import Network
from filbertdrift.network_inner import LoopbackConnection

# A connection without calls asks for a sign of life that often, one with
# calls that nothing was heard of sooner. A fleet's idle connections are many.
KEEP_ALIVE_S = 4.0
BUSY_KEEP_ALIVE_S = 0.25
# A connection that was heard of within so long is taken for alive. A round
# trip within a region takes a few milliseconds.
LIVELY_S = 0.1
# A connection that owes a sign of life for so long gets no new calls.
SUSPECT_S = 0.5
# A connection that owes a sign of life for so long is closed.
SILENT_S = 2.5
IDLE_CLOSE_S = 15.0
TICK_S = 0.25


class PeerLink:
    """The calling side of a connection to another node.

    Args:
        conn: The open connection.
    """

    def __init__(self, conn: Connection) -> None:
        """Start the task that reads the connection."""
        loop = asyncio.get_running_loop()
        self.peer = conn.peer
        self.is_open = True
        self.heard_at = loop.time()
        self.used_at = loop.time()
        # The first question that is not answered, and the last one.
        self._asked_at = 0.0
        self._last_ask_at = 0.0
        self._conn = conn
        self._calls: dict[int, CallStream] = {}
        self._ids = itertools.count(1)
        self._task = loop.create_task(self._read())

    @property
    def is_within_process(self) -> bool:
        """Tell whether both ends are in this process."""
        return isinstance(self._conn, LoopbackConnection)

    def begin(self) -> CallStream:
        """Start a call; end must be called for it.

        Raises:
            PeerUnavailable: The connection is closed.
        """
        if not self.is_open:
            raise PeerUnavailable('closed', step='call', peer=self.peer)
        self.used_at = asyncio.get_running_loop().time()
        call = CallStream(self._conn, next(self._ids), 0)
        self._calls[call.call_id] = call
        return call

    def end(self, call: CallStream, *, cancel: bool = False) -> None:
        """Forget a call.

        Args:
            call: The call.
            cancel: Tell the other side to stop working on it.
        """
        known = self._calls.pop(call.call_id, None)
        if known and cancel and self.is_open:
            self._conn.send_nowait(call.call_id, ttypes.Cancel())

    def keep_alive(self, now: float) -> None:
        """Ask for a sign of life, or close a connection that gives none.

        Args:
            now: The time on the event loop's clock.
        """
        if self._owed_s(now) > SILENT_S:
            self.close('silent connection')
        elif not self._calls and now - self.used_at > IDLE_CLOSE_S:
            self.close('idle')
        elif now - self.heard_at >= self._quiet_s():
            self._ask(now)
        self._give_up_calls(self._owed_s(now))

    def is_suspect(self, now: float) -> bool:
        """Tell whether nothing was heard though a sign of life was due.

        Args:
            now: The time on the event loop's clock.
        """
        return self._owed_s(now) >= SUSPECT_S

    def is_lively(self, now: float) -> bool:
        """Tell whether the other side was heard of just now.

        Args:
            now: The time on the event loop's clock.
        """
        return now - self.heard_at <= LIVELY_S

    def has_more_calls(self) -> bool:
        """Tell whether more calls than one wait for their answers."""
        return len(self._calls) > 1

    def expect_answer(self, now: float) -> None:
        """Take a message that is answered at once for a question of life.

        Args:
            now: The time on the event loop's clock.
        """
        if self._asked_at <= self.heard_at:
            self._asked_at = now

    def _owed_s(self, now: float) -> float:
        """Return how long a sign of life has been owed, zero if it is not."""
        is_owed = self._asked_at > self.heard_at
        return now - self._asked_at if is_owed else 0

    def close(self, reason: str) -> None:
        """Close the connection and fail its calls."""
        if not self.is_open:
            return
        self.is_open = False
        self._conn.close()
        exc = PeerUnavailable(reason, step='call', peer=self.peer)
        for call in list(self._calls.values()):
            call.fail(exc)

    def _ask(self, now: float) -> None:
        """Ask for a sign of life, unless one was asked for just now."""
        if now - self._last_ask_at < self._quiet_s():
            return
        self._last_ask_at = now
        if self._asked_at <= self.heard_at:
            self._asked_at = now
        self._conn.send_nowait(0, ttypes.KeepAlive(reply=False))

    def _quiet_s(self) -> float:
        return BUSY_KEEP_ALIVE_S if self._calls else KEEP_ALIVE_S

    def _give_up_calls(self, owed_s: float) -> None:
        if not owed_s:
            return
        exc = PeerUnavailable('suspect', step='call', peer=self.peer)
        for call in list(self._calls.values()):
            if owed_s >= call.give_up_s:
                call.fail(exc)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        reason = 'connection ended'
        try:
            while self.is_open:
                call_id, body = await self._conn.receive()
                self.heard_at = loop.time()
                call = self._calls.get(call_id)
                if call is not None:
                    call.deliver(body)
        except (PeerUnavailable, MalformedMessage) as exc:
            reason = exc.reason
        self.close(reason)


class LinkPool:
    """The kept connections of one node to the others, one for each peer.

    Args:
        network: How to reach the other nodes.
    """

    def __init__(self, network: Network) -> None:
        """Start without connections."""
        self.silent_links = 0
        self._network = network
        self._links: dict[str, PeerLink] = {}
        self._opening: dict[str, asyncio.Task[PeerLink]] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._links)

    def ready(self, peer: str) -> PeerLink | None:
        """Return the open connection to a peer if there is one."""
        link = self._links.get(peer)
        return link if link and link.is_open else None

    async def link(self, peer: str) -> PeerLink:
        """Return the connection to a peer, opening it if need be.

        Raises:
            PeerUnavailable: The peer cannot be reached.
        """
        found = self.ready(peer)
        if found:
            return found
        opening = self._opening.get(peer)
        if opening is None:
            loop = asyncio.get_running_loop()
            opening = loop.create_task(self._open(peer))
            self._opening[peer] = opening
            opening.add_done_callback(lambda task: self._opened(peer, task))
        return await asyncio.shield(opening)

    def is_suspect(self, peer: str) -> bool:
        """Tell whether the open connection to a peer may have gone silent."""
        link = self.ready(peer)
        if link is None:
            return False
        return link.is_suspect(asyncio.get_running_loop().time())

    async def ask(
        self,
        peer: str,
        body: object,
        deadline: float,
        give_up_s: float = SUSPECT_S,
    ) -> object:
        """Make one call with a single answer.

        Args:
            peer: The node to ask.
            body: The question.
            deadline: When to give up, on the event loop's clock.
            give_up_s: How long the connection may owe a sign of life.

        Returns:
            The answer.

        Raises:
            PeerUnavailable: No answer came.
        """
        try:
            async with asyncio.timeout_at(deadline):
                return await self._ask(peer, body, give_up_s)
        except TimeoutError as exc:
            raise PeerUnavailable('timeout', step='ask', peer=peer) from exc

    async def run(self) -> None:
        """Find silent and idle connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_S)
            for peer, link in list(self._links.items()):
                with contextlib.suppress(PeerUnavailable):
                    link.keep_alive(loop.time())
                if not link.is_open:
                    self._forget(peer, link)

    def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.close('shutdown')
        self._links.clear()
        for opening in list(self._opening.values()):
            opening.cancel()

    async def _open(self, peer: str) -> PeerLink:
        link = PeerLink(await self._network.connect(peer))
        self._links[peer] = link
        return link

    def _opened(self, peer: str, task: asyncio.Task[PeerLink]) -> None:
        self._opening.pop(peer, None)
        if not task.cancelled():
            # Whoever waited has the error; nobody may be left to take it.
            task.exception()

    async def _ask(
        self,
        peer: str,
        body: object,
        give_up_s: float,
    ) -> object:
        link = await self.link(peer)
        call = link.begin()
        # What is asked of one peer can be asked of another.
        call.give_up_s = give_up_s
        try:
            await call.send(body)
            return await call.receive()
        finally:
            link.end(call)

    def _forget(self, peer: str, link: PeerLink) -> None:
        if self._links.get(peer) is link:
            self._links.pop(peer)
        if asyncio.get_running_loop().time() - link.heard_at > SILENT_S:
            self.silent_links += 1
