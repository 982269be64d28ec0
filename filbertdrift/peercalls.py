"""Dispatch of calls and datagrams from other nodes to their handlers."""

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
    """Counters that include refusals after a pause."""

    refused_after_pause: int


@dataclass(frozen=True, slots=True)
class PeerHandlers:
    """Handlers of the calls and datagrams that other nodes send.

    Args:
        membership: Handles membership datagrams and member syncs.
        crashes: Handles gossip about requests that crash targets.
        crash_sync: Serves the crash ledger to other nodes.
        pause: Detects that this process was paused.
        counters: Counts refusals after a pause.
        on_config_notice: Handles a configuration gossip message, given its
            sender.
        serve_request: Serves a forwarded request until it ends.
        serve_pull: Returns the reply to a configuration pull.
        on_rollout: Handles other datagrams, given their sender and its
            generation; None if this node takes no part in roll-outs.
        serve_claim: Returns the reply to a claim; None if this node stores no
            claims.
        on_quota: Handles a datagram about quotas, given its sender and the
            generation of that; returns False for all others.
        on_target_notice: Handles what another node knows of the local target;
            None if this node has no such target.
    """

    membership: Membership
    crashes: CrashLedger
    crash_sync: CrashSync
    pause: PauseDetector
    counters: PauseCounters
    on_config_notice: Callable[[str, ttypes.ConfigNotice], None]
    serve_request: Callable[[CallStream, ttypes.RequestOpen], Awaitable[None]]
    serve_pull: Callable[[ttypes.PullConfig], ttypes.ConfigDelta]
    on_rollout: Callable[[str, int, object], None] | None = None
    serve_claim: (
        Callable[[ttypes.ClaimAsk], Awaitable[ttypes.ClaimVerdict]] | None
    ) = None
    on_quota: Callable[[str, int, object], bool] | None = None
    on_target_notice: Callable[[ttypes.TargetNotice], None] | None = None


class PeerServer:
    """Serves connections and datagrams of other nodes.

    Args:
        handlers: Handlers of the calls and datagrams.
    """

    def __init__(self, handlers: PeerHandlers) -> None:
        """Set the handlers."""
        self._handlers = handlers

    async def on_connection(self, conn: Connection) -> None:
        """Serve one accepted connection until it ends."""
        await serve_connection(conn, self._on_call)

    def on_datagram(self, sender: str, generation: int, body: object) -> None:
        """Handle one datagram.

        Args:
            sender: The sending node.
            generation: Its generation.
            body: The message.
        """
        membership = self._handlers.membership
        if not membership.on_datagram(sender, generation, body):
            self._handle(body, sender, generation)

    @singledispatchmethod
    def _handle(self, body: object, sender: str, generation: int) -> None:
        handlers = self._handlers
        if handlers.on_quota and handlers.on_quota(sender, generation, body):
            return
        if handlers.on_rollout is not None:
            handlers.on_rollout(sender, generation, body)

    @_handle.register
    def _handle_config(
        self, body: ttypes.ConfigNotice, sender: str, generation: int
    ) -> None:
        self._handlers.on_config_notice(sender, body)

    @_handle.register
    def _handle_crash(
        self, body: ttypes.CrashNotice, sender: str, generation: int
    ) -> None:
        self._handlers.crashes.on_peer_notice(body)

    @_handle.register
    def _handle_target(
        self, body: ttypes.TargetNotice, sender: str, generation: int
    ) -> None:
        if self._handlers.on_target_notice is not None:
            self._handlers.on_target_notice(body)

    async def _on_call(self, call: CallStream, body: object) -> None:
        await self._serve_call(body, call)

    @singledispatchmethod
    async def _serve_call(self, body: object, call: CallStream) -> None:
        raise MalformedMessage(
            f'unexpected {type(body).__name__}',
            step='serve call',
            peer=call.peer,
        )

    @_serve_call.register
    async def _serve_request(
        self,
        body: ttypes.RequestOpen,
        call: CallStream,
    ) -> None:
        if self._handlers.pause.check():
            self._handlers.counters.refused_after_pause += 1
            await call.send(build_pause_refusal())
            return
        await self._handlers.serve_request(call, body)

    @_serve_call.register
    async def _serve_pull(
        self,
        body: ttypes.PullConfig,
        call: CallStream,
    ) -> None:
        await call.send(self._handlers.serve_pull(body))

    @_serve_call.register
    async def _serve_claim(
        self,
        body: ttypes.ClaimAsk,
        call: CallStream,
    ) -> None:
        if self._handlers.serve_claim is None:
            raise MalformedMessage(
                'no claims are kept here',
                step='serve call',
                peer=call.peer,
            )
        await call.send(await self._handlers.serve_claim(body))

    @_serve_call.register
    async def _serve_sync(
        self,
        body: ttypes.SyncMembers,
        call: CallStream,
    ) -> None:
        await call.send(self._handlers.membership.serve_sync(body))

    @_serve_call.register
    async def _serve_crashes(
        self,
        body: ttypes.SyncCrashes,
        call: CallStream,
    ) -> None:
        await call.send(self._handlers.crash_sync.serve(body))
