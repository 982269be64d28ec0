"""What other nodes send to this one, handed to the parts that answer it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Protocol

from filbertdrift.callserver import serve_connection
from filbertdrift.callstream import CallStream
from filbertdrift.connection import Connection
from filbertdrift.crash_sync import CrashSync
from filbertdrift.crashes import CrashLedger
from filbertdrift.errors import MalformedMessage
from filbertdrift.gen import ttypes
from filbertdrift.membership import Membership
from filbertdrift.pause import PauseDetector, build_pause_refusal


class PauseCounters(Protocol):
    """Where refusals after a pause are counted."""

    refused_after_pause: int


@dataclass(frozen=True, slots=True)
class PeerParts:
    """The parts of a node that answer the others.

    Args:
        membership: Takes its datagrams and serves members.
        crashes: Takes notices of requests that crash targets.
        crash_sync: Serves what is known of such requests.
        pause: Knows whether this process was paused just now.
        counters: Where refusals after a pause are counted.
        on_config_notice: Takes a sender and its notice.
        serve_request: Serves a forwarded request to its end.
        serve_pull: Returns the answer to a question for configuration.
        serve_claim: Returns the answer to a claim; None if this node keeps no
            claims.
    """

    membership: Membership
    crashes: CrashLedger
    crash_sync: CrashSync
    pause: PauseDetector
    counters: PauseCounters
    on_config_notice: Callable[[str, ttypes.ConfigNotice], None]
    serve_request: Callable[[CallStream, ttypes.RequestOpen], Awaitable[None]]
    serve_pull: Callable[[ttypes.PullConfig], ttypes.ConfigDelta]
    serve_claim: (
        Callable[[ttypes.ClaimAsk], Awaitable[ttypes.ClaimVerdict]] | None
    ) = None


class PeerCalls:
    """Serves the connections and takes the datagrams of other nodes.

    Args:
        parts: What answers them.
    """

    def __init__(self, parts: PeerParts) -> None:
        """Keep the parts."""
        self._parts = parts

    async def on_connection(self, conn: Connection) -> None:
        """Serve one connection until it ends."""
        await serve_connection(conn, self._on_call)

    def on_datagram(self, sender: str, generation: int, body: object) -> None:
        """Take one datagram.

        Args:
            sender: The sending node.
            generation: Its generation.
            body: The message.
        """
        parts = self._parts
        if parts.membership.on_datagram(sender, generation, body):
            return
        if isinstance(body, ttypes.ConfigNotice):
            parts.on_config_notice(sender, body)
        elif isinstance(body, ttypes.CrashNotice):
            parts.crashes.on_peer_notice(body)

    async def _on_call(self, call: CallStream, body: object) -> None:
        await self._answer(body, call)

    @singledispatchmethod
    async def _answer(self, body: object, call: CallStream) -> None:
        raise MalformedMessage(
            f'unexpected {type(body).__name__}',
            step='serve call',
            peer=call.peer,
        )

    @_answer.register
    async def _answer_request(
        self,
        body: ttypes.RequestOpen,
        call: CallStream,
    ) -> None:
        if self._parts.pause.check():
            self._parts.counters.refused_after_pause += 1
            await call.send(build_pause_refusal())
            return
        await self._parts.serve_request(call, body)

    @_answer.register
    async def _answer_pull(
        self,
        body: ttypes.PullConfig,
        call: CallStream,
    ) -> None:
        await call.send(self._parts.serve_pull(body))

    @_answer.register
    async def _answer_claim(
        self,
        body: ttypes.ClaimAsk,
        call: CallStream,
    ) -> None:
        if self._parts.serve_claim is None:
            raise MalformedMessage(
                'no claims are kept here',
                step='serve call',
                peer=call.peer,
            )
        await call.send(await self._parts.serve_claim(body))

    @_answer.register
    async def _answer_sync(
        self,
        body: ttypes.SyncMembers,
        call: CallStream,
    ) -> None:
        await call.send(self._parts.membership.serve_sync(body))

    @_answer.register
    async def _answer_crashes(
        self,
        body: ttypes.SyncCrashes,
        call: CallStream,
    ) -> None:
        await call.send(self._parts.crash_sync.serve(body))
