"""Client side of node connections, each multiplexing many calls."""

import asyncio
import contextlib
import itertools

from loguru import logger

from filbertdrift.age.arrivals import Settle, settle_at_once
from filbertdrift.age.peerclock import PeerClock
from filbertdrift.callstream import CallStream
from filbertdrift.connection import Connection
from filbertdrift.errors import MalformedMessage, PeerUnavailable
from filbertdrift.gen import ttypes
from filbertdrift.network import Network
from filbertdrift.network_inner import LoopbackConnection

# Time without received messages after which a keepalive is sent, without and
# with calls in progress. Most connections of a fleet are idle, hence the longer
# interval for them.
KEEPALIVE_INTERVAL_S = 4.0
BUSY_KEEPALIVE_INTERVAL_S = 0.25
# A connection that received something within this time counts as alive. A
# round trip within a region takes a few milliseconds.
RECENT_ACTIVITY_S = 0.1
# A connection whose keepalive is unanswered for this long is suspect and gets
# no new calls.
SUSPECT_AFTER_S = 0.5
# A connection whose keepalive is unanswered for this long is closed.
KEEPALIVE_TIMEOUT_S = 2.5
IDLE_TIMEOUT_S = 15.0
TICK_S = 0.25


class PeerLink:
    """Client side of a connection to another node.

    Args:
        conn: The open connection.
    """

    def __init__(self, conn: Connection) -> None:
        """Start the task that reads from the connection."""
        loop = asyncio.get_running_loop()
        self.peer = conn.peer
        self.is_open = True
        self.last_received_at = loop.time()
        self.last_used_at = loop.time()
        self._opened_at = loop.time()
        self._clock = PeerClock()
        self._greeted = asyncio.Event()
        # When the first unanswered keepalive and the last one were sent.
        self._unanswered_since: float | None = None
        self._last_keepalive_at = float('-inf')
        self._conn = conn
        self._calls: dict[int, CallStream] = {}
        self._ids = itertools.count(1)
        self._task = loop.create_task(self._read())
        self._send_keepalive(loop.time())

    @property
    def is_in_process(self) -> bool:
        """Return whether both ends are in this process."""
        return isinstance(self._conn, LoopbackConnection)

    def begin(self) -> CallStream:
        """Start a call, to be finished with end().

        Raises:
            PeerUnavailable: The connection is closed.
        """
        if not self.is_open:
            raise PeerUnavailable('closed', step='call', peer=self.peer)
        self.last_used_at = asyncio.get_running_loop().time()
        call = CallStream(self._conn, next(self._ids), 0)
        call.peer_clock_ms = self.peer_clock_ms
        self._calls[call.call_id] = call
        return call

    async def wait_until_greeted(self) -> None:
        """Wait for the reply to the first keepalive, which states a clock.

        Raises:
            PeerUnavailable: None has come within SUSPECT_AFTER_S.
        """
        if self._greeted.is_set():
            return
        try:
            async with asyncio.timeout_at(self._opened_at + SUSPECT_AFTER_S):
                await self._greeted.wait()
        except TimeoutError as exc:
            raise PeerUnavailable(
                'no reply', step='greet', peer=self.peer
            ) from exc

    def peer_clock_ms(self) -> int | None:
        """Return the least that the clock at the other end shows now.

        Returns:
            Milliseconds; None if the other end states no clock.
        """
        return self._clock.least_ms(self._conn.clock_s())

    def end(self, call: CallStream, *, cancel: bool = False) -> None:
        """Finish a call.

        Args:
            call: The call.
            cancel: Also cancel it at the peer.
        """
        known = self._calls.pop(call.call_id, None)
        if known and cancel and self.is_open:
            self._conn.send_nowait(call.call_id, ttypes.Cancel())

    def cancel(self, call: CallStream) -> None:
        """Cancel a call at the peer; its last message may still arrive."""
        call.keepalive_timeout_s = float('inf')
        if self.is_open:
            self._conn.send_nowait(call.call_id, ttypes.Cancel())

    def keep_alive(self, now: float, *, keeps_silent: bool = False) -> None:
        """Send a due keepalive; close a silent or idle connection.

        Calls whose own keepalive timeout has expired fail, or are told.

        Args:
            now: The time on the event loop's clock.
            keeps_silent: Whether a silent connection with calls stays open.
        """
        is_silent = self._unanswered_s(now) > KEEPALIVE_TIMEOUT_S
        if is_silent and not (keeps_silent and self._calls):
            self.close('silent connection')
        elif not self._calls and now - self.last_used_at > IDLE_TIMEOUT_S:
            self.close('idle')
        elif self._is_keepalive_due(now):
            self._send_keepalive(now)
        self._report_silence(self._unanswered_s(now))

    def is_suspect(self, now: float) -> bool:
        """Return whether a keepalive has been unanswered for SUSPECT_AFTER_S.

        Args:
            now: The time on the event loop's clock.
        """
        return self._unanswered_s(now) >= SUSPECT_AFTER_S

    def is_recently_active(self, now: float) -> bool:
        """Return whether data was received within RECENT_ACTIVITY_S.

        Args:
            now: The time on the event loop's clock.
        """
        return now - self.last_received_at <= RECENT_ACTIVITY_S

    def has_concurrent_calls(self) -> bool:
        """Return whether more than one call is in progress."""
        return len(self._calls) > 1

    def expect_reply(self, now: float) -> None:
        """Count a sent message as a keepalive.

        The peer must reply to it at once, as it does to a keepalive.

        Args:
            now: The time on the event loop's clock.
        """
        if self._unanswered_since is None:
            self._unanswered_since = now

    def _unanswered_s(self, now: float) -> float:
        """Return the age of the oldest unanswered keepalive, or zero."""
        since = self._unanswered_since
        return 0 if since is None else now - since

    def close(self, reason: str) -> None:
        """Close the connection and fail its calls."""
        if not self.is_open:
            return
        self.is_open = False
        self._conn.close()
        exc = PeerUnavailable(reason, step='call', peer=self.peer)
        for call in list(self._calls.values()):
            call.fail(exc)
        # A call on it fails at once.
        self._greeted.set()

    def _send_keepalive(self, now: float) -> None:
        """Send a keepalive, unless one was sent within the interval."""
        if now - self._last_keepalive_at < self._keepalive_interval_s():
            return
        self._last_keepalive_at = now
        if self._unanswered_since is None:
            self._unanswered_since = now
        self._clock.asked(self._conn.clock_s())
        self._conn.send_nowait(0, ttypes.KeepAlive(reply=False))

    def _is_keepalive_due(self, now: float) -> bool:
        if now - self.last_received_at >= self._keepalive_interval_s():
            return True
        return bool(self._calls) and self._clock.may_improve(
            self._conn.clock_s()
        )

    def _on_keepalive_reply(self, reply: ttypes.KeepAlive) -> None:
        self._clock.record(reply.clock_ms, self._conn.clock_s())
        self._greeted.set()

    def _keepalive_interval_s(self) -> float:
        return (
            BUSY_KEEPALIVE_INTERVAL_S if self._calls else KEEPALIVE_INTERVAL_S
        )

    def _report_silence(self, unanswered_s: float) -> None:
        if not unanswered_s:
            return
        exc = PeerUnavailable('suspect', step='call', peer=self.peer)
        for call in list(self._calls.values()):
            if unanswered_s >= call.keepalive_timeout_s:
                call.report_silence(exc)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        reason = 'connection ended'
        try:
            while self.is_open:
                call_id, body = await self._conn.receive()
                self.last_received_at = loop.time()
                self._unanswered_since = None
                call = self._calls.get(call_id)
                if call is not None:
                    call.deliver(body)
                elif isinstance(body, ttypes.KeepAlive):
                    self._on_keepalive_reply(body)
        except (PeerUnavailable, MalformedMessage) as exc:
            reason = exc.reason
        except Exception as exc:
            # A connection that nobody reads must not count as open.
            logger.bind(event='link_failed', peer=self.peer).opt(
                exception=exc
            ).error('a connection has failed')
            reason = repr(exc)
        self.close(reason)


class LinkPool:
    """Connections of this node to other nodes, one for each peer.

    Args:
        network: Opens connections to the other nodes.

    Attributes:
        silent_links: Number of connections that were closed for silence.
        keeps_silent: This node stops: no connection with calls is closed for
            silence, as their responses may still come.
        settle: Waits until all that arrived in a stall has been read.
    """

    def __init__(self, network: Network) -> None:
        """Start without connections."""
        self.silent_links = 0
        self.keeps_silent = False
        self.settle: Settle = settle_at_once
        self._network = network
        self._links: dict[str, PeerLink] = {}
        self._opening: dict[str, asyncio.Task[PeerLink]] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._links)

    def ready(self, peer: str) -> PeerLink | None:
        """Return the open connection to a peer, or None."""
        link = self._links.get(peer)
        return link if link and link.is_open else None

    async def connect(self, peer: str) -> PeerLink:
        """Return the connection to a peer, opening it if necessary.

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
            opening.add_done_callback(lambda task: self._on_opened(peer, task))
        return await asyncio.shield(opening)

    async def connect_for_requests(self, peer: str) -> PeerLink:
        """Return the connection to a peer, once its clock is known.

        Raises:
            PeerUnavailable: The peer cannot be reached, or does not reply.
        """
        # Callers may have left while this process stood still.
        await self.settle()
        link = await self.connect(peer)
        await link.wait_until_greeted()
        return link

    def is_suspect(self, peer: str) -> bool:
        """Return whether the connection to a peer is open but suspect."""
        link = self.ready(peer)
        if link is None:
            return False
        return link.is_suspect(asyncio.get_running_loop().time())

    async def ask(
        self,
        peer: str,
        body: object,
        deadline: float,
        keepalive_timeout_s: float = SUSPECT_AFTER_S,
    ) -> object:
        """Make a unary call.

        Args:
            peer: The node to call.
            body: The request.
            deadline: When the call fails, on the event loop's clock.
            keepalive_timeout_s: How long a keepalive on the connection may be
                unanswered.

        Returns:
            The reply.

        Raises:
            PeerUnavailable: No reply was received in time.
        """
        try:
            async with asyncio.timeout_at(deadline):
                return await self._ask(peer, body, keepalive_timeout_s)
        except TimeoutError as exc:
            raise PeerUnavailable('timeout', step='ask', peer=peer) from exc

    async def run(self) -> None:
        """Send keepalives and drop dead connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_S)
            # Replies may lie unread if this process stood still.
            await self.settle()
            for peer, link in list(self._links.items()):
                with contextlib.suppress(PeerUnavailable):
                    link.keep_alive(loop.time(), keeps_silent=self.keeps_silent)
                if not link.is_open:
                    self._remove(peer, link)

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

    def _on_opened(self, peer: str, task: asyncio.Task[PeerLink]) -> None:
        self._opening.pop(peer, None)
        if not task.cancelled():
            # Retrieves the exception, so that asyncio does not log it when
            # every waiter was cancelled. Waiters receive it themselves.
            task.exception()

    async def _ask(
        self,
        peer: str,
        body: object,
        keepalive_timeout_s: float,
    ) -> object:
        link = await self.connect(peer)
        call = link.begin()
        # A unary call fails early, since another peer can be asked instead.
        call.keepalive_timeout_s = keepalive_timeout_s
        try:
            await call.send(body)
            return await call.receive()
        finally:
            link.end(call)

    def _remove(self, peer: str, link: PeerLink) -> None:
        if self._links.get(peer) is link:
            self._links.pop(peer)
        if (
            asyncio.get_running_loop().time() - link.last_received_at
            > KEEPALIVE_TIMEOUT_S
        ):
            self.silent_links += 1
