"""A node with prefix routes: the one process beside a target instance.

What must last lies on the platform's log. The node itself keeps nothing
beyond the life of its process.
"""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift.callerwait import CallerWaitEstimator
from filbertdrift.chooser import TargetChooser
from filbertdrift.config_exchange import ConfigExchange
from filbertdrift.config_holder import ConfigHolder, ParseDocument
from filbertdrift.configwatch import ConfigWatch
from filbertdrift.contract import HeaderNames
from filbertdrift.crash_sync import CrashSync
from filbertdrift.crashes import CrashLedger
from filbertdrift.directory import Directory
from filbertdrift.dispatch import Dispatcher
from filbertdrift.entry import IngressServer
from filbertdrift.errors import LogUnavailable
from filbertdrift.handover import HandoverServer
from filbertdrift.health import TargetHealth
from filbertdrift.identity import Identity
from filbertdrift.keyedlog import KeyedLog
from filbertdrift.lifecycle import OpenTarget, TargetLifecycle
from filbertdrift.link import LinkPool
from filbertdrift.members import Member
from filbertdrift.membership import Membership
from filbertdrift.metrics import DurationHistogram
from filbertdrift.network import Network
from filbertdrift.pause import PauseDetector
from filbertdrift.peercalls import PeerCalls, PeerParts
from filbertdrift.profile import Profile
from filbertdrift.request import IngressRequest
from filbertdrift.retrybudget import RetryLimits, SharedRetryBudget
from filbertdrift.routing import CallerLimits, PrefixRoute
from filbertdrift.supervise import Supervisor
from filbertdrift.target_attempt import RoutedRequest, RoutedResponse

BOOT_PEERS = 3
BOOT_BACKOFF_S = 0.2
MAX_BOOT_BACKOFF_S = 1.0
FORGET_S = 5.0
DRAIN_POLL_S = 0.05
# Callers and peers need this time to notice that a node is leaving.
LEAVING_NOTICE_S = 2.2
# What is kept of the time to end for closing down itself.
END_RESERVE_S = 0.6


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """What a node of the mesh is told when it starts.

    Args:
        caller_address: Where callers and the local target send requests, None
            to listen for none.
        caller_service: The service of the local target.
        seeds: Nodes to ask first, perhaps stale.
        config_stream: The stream with the operator's records.
        config_key: The key of the configuration in it.
        directory_stream: The stream with the addresses of nodes.
        retry_limits: The retry budget of all nodes together.
        end_grace_s: Time from the order to end to the kill.
    """

    caller_address: tuple[str, int] | None
    caller_service: str
    seeds: Sequence[str]
    config_stream: str
    config_key: str
    directory_stream: str
    retry_limits: RetryLimits
    end_grace_s: float


@dataclass(slots=True)
class MeshCounters:
    """What happened to this node."""

    refused_after_pause: int = 0


class MeshNode:
    """One node, from its start to its end.

    Args:
        identity: Where it is.
        settings: What it is told.
        network: How it reaches the other nodes.
        log: The platform's log.
        profile: What it spends for control.
        header_names: Names of the platform's headers.
        parse: Decodes a configuration document.
        open_target: Makes the connections to the target.
        rng: All its random choices.
    """

    def __init__(
        self,
        identity: Identity,
        settings: MeshSettings,
        network: Network,
        log: KeyedLog,
        profile: Profile,
        header_names: HeaderNames,
        parse: ParseDocument,
        open_target: OpenTarget,
        rng: random.Random,
    ) -> None:
        """Assemble the parts; start sets them to work."""
        self.identity = identity
        self.settings = settings
        self.counters = MeshCounters()
        self.network = network
        self.log = log
        self.is_leaving = False
        self.links = LinkPool(network)
        self._rng = rng
        me = Member(
            identity.address,
            identity.domain,
            identity.region,
            generation=identity.generation,
        )
        self.membership = Membership(me, network, self.links, profile, rng)
        self.membership.on_change = self._on_members
        self.holder = ConfigHolder(parse)
        self.exchange = ConfigExchange(
            self.holder,
            self.membership,
            self.links,
        )
        self.watch = ConfigWatch(
            log,
            settings.config_stream,
            settings.config_key,
            self.holder,
            self.exchange,
            self.membership,
            rng,
        )
        self.directory = Directory(
            log,
            settings.directory_stream,
            self.membership,
            settings.seeds,
            rng,
        )
        self.crashes = CrashLedger(identity.address, rng)
        self.crashes.send_notice = self.membership.send_to_drawn
        self.crash_sync = CrashSync(self.crashes, self.links)
        self.membership.crashes_digest = self.crashes.digest
        self.membership.on_crashes_digest = self.crash_sync.compare
        self.chooser = TargetChooser(
            identity.domain,
            identity.region,
            rng,
            local_node=identity.address,
        )
        self.chooser.is_suspect = self.links.is_suspect
        self.budget = SharedRetryBudget(
            settings.retry_limits,
            lambda: len(self.membership.table),
        )
        self.dispatcher = Dispatcher(
            self.links,
            self.chooser,
            self.membership.table.of_service,
            self.crashes,
            self.budget,
            rng,
        )
        self.wait_estimator = CallerWaitEstimator()
        self.health = TargetHealth()
        self.health.probe_when_healthy = False
        self.lifecycle = TargetLifecycle(self.membership, open_target, rng)
        self.health.probe = self._probe_target
        self.health.on_change = self._on_health
        self.handover = HandoverServer(
            self.lifecycle,
            header_names,
            lambda: self.membership.me.generation,
            self.crashes,
            self.health,
        )
        self.entry = IngressServer(self, header_names, settings.caller_service)
        self.request_durations = DurationHistogram(
            'request',
            'Time from the head of a request to the head of its answer.',
        )
        self.supervisor = Supervisor()
        self.pause = PauseDetector()
        self.pause.on_pause = self.membership.suspicions.drop_all
        self.peer_calls = PeerCalls(
            PeerParts(
                membership=self.membership,
                crashes=self.crashes,
                crash_sync=self.crash_sync,
                pause=self.pause,
                counters=self.counters,
                on_config_notice=self.exchange.on_notice,
                serve_request=self.handover.serve,
                serve_pull=self.exchange.serve,
            ),
        )
        self._is_booted = False
        self._tasks: list[asyncio.Task[None]] = []

    # Start and end

    async def start(self) -> None:
        """Listen, join the others and fetch the configuration.

        Raises:
            OSError: An address cannot be bound.
        """
        await self.network.start(
            self.peer_calls.on_connection,
            self.peer_calls.on_datagram,
        )
        if self.settings.caller_address is not None:
            await self.entry.start(*self.settings.caller_address)
        loop = asyncio.get_running_loop()
        keep = self.supervisor.keep
        for name, work in (
            ('links', self.links.run),
            ('pause guard', self.pause.run),
            ('membership', self.membership.run),
            ('directory', self.directory.run),
            ('boot', self._boot),
            ('health', self.health.run),
            ('housekeeping', self._forget_expired),
        ):
            self._tasks.append(loop.create_task(keep(name, work)))

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may bring new work."""
        return self.has_config and not self.is_leaving

    async def drain(self) -> None:
        """Leave gracefully: no new work, then wait for what is in progress."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        deadline = began + self.settings.end_grace_s - END_RESERVE_S
        self.is_leaving = True
        self.lifecycle.is_node_leaving = True
        self.lifecycle.announce_status()
        self.lifecycle.close_gate()
        self.entry.is_closing = True
        await asyncio.sleep(LEAVING_NOTICE_S)
        self.entry.close_idle()
        while loop.time() < deadline and self._has_work():
            await asyncio.sleep(DRAIN_POLL_S)
        logger.bind(
            event='drained',
            unfinished=self.entry.in_progress + self.handover.in_progress,
        ).info('drained')

    async def stop(self) -> None:
        """Stop at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.entry.close()
        self.links.close()
        if self.lifecycle.current is not None:
            self.lifecycle.current.target.close()
        await self.network.close()
        await self.log.close()

    def _has_work(self) -> bool:
        return bool(self.entry.in_progress or self.handover.in_progress)

    async def _boot(self) -> None:
        """Fetch the configuration from whoever has it first, then follow."""
        backoff_s = BOOT_BACKOFF_S
        while not self.has_config and not await self._try_boot():
            await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
            backoff_s = min(backoff_s * 2, MAX_BOOT_BACKOFF_S)
        await self.watch.run()

    async def _try_boot(self) -> bool:
        peers = [
            member.node
            for member in self.membership.table.alive()
            if member.node != self.identity.address
        ]
        chosen = self._rng.sample(peers, min(BOOT_PEERS, len(peers)))
        if await self.exchange.fetch(chosen):
            return True
        try:
            return await self.watch.load_newest()
        except LogUnavailable as exc:
            logger.bind(event='boot_waits').info('{}', exc)
            return False

    # What the callers' port asks

    @property
    def limits(self) -> CallerLimits:
        """Return the limits for callers in force."""
        config = self.holder.config
        return config.limits if config else CallerLimits()

    @property
    def has_config(self) -> bool:
        """Tell whether a configuration is in force."""
        return self.holder.config is not None

    def match(self, host: str, path: str) -> PrefixRoute | None:
        """Return the route of a request."""
        return self.holder.table.match(host, path)

    def route_request(
        self, req: IngressRequest, route: PrefixRoute
    ) -> RoutedRequest:
        """Choose the service for a request, by the weights of its route."""
        now = asyncio.get_running_loop().time()
        elapsed_s = self.wait_estimator.estimate_elapsed_s(
            route.name, req.caller_timeout_s
        )
        return RoutedRequest(
            req=req,
            route=route,
            service=route.pick_service(self._rng),
            objective_at=now + route.objective_s - elapsed_s,
            version=self.holder.version,
        )

    async def dispatch(self, routed: RoutedRequest) -> RoutedResponse:
        """Return the answer to a request that entered here."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            return await self.dispatcher.dispatch(routed)
        finally:
            self.request_durations.record(loop.time() - began)

    # The local target

    async def _probe_target(self) -> bool:
        current = self.lifecycle.current
        if current is None:
            return True
        config = self.holder.config
        service_config = None
        if config is not None:
            service_config = config.services.get(current.heartbeat.service)
        path = service_config.probe_path if service_config else ''
        return await current.target.check_health(path)

    def _on_health(self, is_healthy: bool) -> None:
        self.lifecycle.set_health(is_healthy=is_healthy)

    # Housekeeping

    def _on_members(self, changed: Sequence[Member]) -> None:
        self.chooser.unreachable_domains = self.membership.unreachable_domains
        for member in changed:
            logger.bind(
                event='member',
                member=member.node,
                generation=member.generation,
                version=member.version,
                service=member.service,
                status=member.status.name,
            ).info('member {} is {}', member.node, member.status.name)

    async def _forget_expired(self) -> None:
        while True:
            await asyncio.sleep(FORGET_S)
            self.crashes.remove_expired()
            known = {found.node for found in self.membership.table.alive()}
            self.chooser.remove_missing(known)
            self.membership.forget_unheard(known)
            config = self.holder.config
            if config is not None:
                names = {route.name for route in config.routes}
                self.wait_estimator.retain_routes(names)
