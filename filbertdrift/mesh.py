"""A mesh node: the sidecar process beside each target instance.

Requests are routed by host and path prefix. All durable state is in the
platform's log; a node's own state is lost when its process ends.
"""

import asyncio
import contextlib
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift import config_holder, http1, lifecycle, peercalls
from filbertdrift.accounts import admission, authentication
from filbertdrift.accounts.quota import build_limiter
from filbertdrift.accounts.usage import AccountUsage
from filbertdrift.balance.callwatch import CallWatch
from filbertdrift.balance.completion import CompletionChooser
from filbertdrift.balance.features import track_request
from filbertdrift.balance.gatereport import GateReporter
from filbertdrift.balance.traffic import DomainTraffic
from filbertdrift.callerwait import CallerWaitEstimator
from filbertdrift.config_exchange import ConfigExchange
from filbertdrift.configwatch import NEVER, ConfigWatch, age_ms
from filbertdrift.contract import HeaderNames
from filbertdrift.crash_sync import CrashSync
from filbertdrift.crashes import CrashLedger
from filbertdrift.departures.keeper import DepartureKeeper
from filbertdrift.directory import Directory
from filbertdrift.dispatch import Dispatcher
from filbertdrift.durations import DurationHistogram
from filbertdrift.entry import IngressServer
from filbertdrift.freshness import Freshness
from filbertdrift.handover import HandoverServer
from filbertdrift.health import TargetHealth
from filbertdrift.identity import Identity
from filbertdrift.keyedlog import KeyedLog
from filbertdrift.link import LinkPool
from filbertdrift.linkpacer import LinkPacer
from filbertdrift.members import Member
from filbertdrift.membership import Membership
from filbertdrift.mesh_settings import MeshSettings
from filbertdrift.network import Network
from filbertdrift.pause import PauseDetector
from filbertdrift.profile import Profile
from filbertdrift.request import IngressRequest
from filbertdrift.retrybudget import SharedRetryBudget
from filbertdrift.rollouts.control import RolloutControl
from filbertdrift.routed import RoutedRequest, RoutedResponse
from filbertdrift.routing import CallerLimits, PrefixRoute, RoutingConfig
from filbertdrift.stopping import steps
from filbertdrift.stopping.drain import RequestDrain
from filbertdrift.stopping.plan import StopPlan, plan_stop
from filbertdrift.supervise import Supervisor
from filbertdrift.target_probe import TargetProbe

BOOT_PEERS = 3
# If the log does not respond for longer, the configuration may come first.
BOOT_JOIN_TIMEOUT_S = 0.5
EXPIRY_INTERVAL_S = 5.0
# Time for stop if the caller sets no deadline.
STOP_TIMEOUT_S = 5.0
MS_PER_S = 1000
# Nodes that tell a restarted one of a departure, on average.
DEPARTURE_TELLERS = 8


@dataclass(slots=True)
class MeshCounters:
    """Requests of peers that this node refused."""

    refused_after_pause: int = 0


class MeshNode:
    """A sidecar proxy: assembles its parts and handles routed requests.

    Implements the RoutingHandler of the ingress.

    Args:
        identity: Address, failure domain, region and generation.
        settings: Settings, fixed at start.
        network: Transport to the other nodes.
        log: The platform's log.
        profile: Rate and fan-out of control traffic.
        header_names: Names of the platform's headers.
        parse: Decodes a configuration document.
        open_target: Opens the connection pool of the local target.
        rng: Source of all random choices.
    """

    def __init__(
        self,
        identity: Identity,
        settings: MeshSettings,
        network: Network,
        log: KeyedLog,
        profile: Profile,
        header_names: HeaderNames,
        parse: config_holder.ParseDocument,
        open_target: lifecycle.OpenTarget,
        rng: random.Random,
    ) -> None:
        """Assemble the parts without starting any of them."""
        self.identity = identity
        self.settings = settings
        self.counters = MeshCounters()
        self.network = network
        self.log = log
        self.is_leaving = False
        self.links = LinkPool(network)
        self._rng = rng
        local_member = Member(
            identity.address,
            identity.domain,
            identity.region,
            generation=identity.generation,
            link_mbps=int(settings.link_mbps or 0),
        )
        self.membership = Membership(
            local_member, network, self.links, profile, rng
        )
        self.membership.on_change = self._on_members_changed
        self.holder = config_holder.ConfigHolder(parse)
        self.freshness = Freshness(
            identity.address,
            self.holder,
            self.membership.prober.recent_delay_s,
        )
        self.authenticator = authentication.Authenticator(
            self.holder,
            self.freshness,
            header_names.api_key,
            settings.config_apply_s,
            settings.revoke_s,
        )
        self.account_usage = AccountUsage()
        self.exchange = ConfigExchange(
            self.holder,
            self.freshness,
            self.membership,
            self.links,
        )
        self.watch = ConfigWatch(
            log,
            settings.config_stream,
            settings.config_key,
            self.holder,
            self.freshness,
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
        self.freshness.on_era = self._on_era
        log.on_era = self._on_era
        self.crashes = CrashLedger(identity, rng)
        self.crashes.send_notice = self.membership.broadcast
        self.crash_sync = CrashSync(self.crashes, self.links)
        self.membership.crashes_digest = self.crashes.digest
        self.membership.on_crashes_digest = self.crash_sync.compare
        self.chooser = CompletionChooser(
            identity.domain,
            identity.region,
            rng,
            local_node=identity.address,
        )
        self.chooser.is_suspect = self.links.is_suspect
        self.budget = SharedRetryBudget(
            settings.retry_limits, self.directory.count_nodes
        )
        self.dispatcher = Dispatcher(
            self.links,
            self.chooser,
            self.membership.table.of_service,
            self.crashes,
            self.budget,
            rng,
            lambda: len(self.membership.table),
        )
        self.rollouts: RolloutControl | None = None
        if settings.rollouts is not None:
            self.rollouts = RolloutControl(
                settings.rollouts, self.membership, log, rng
            )
            self.dispatcher.rollouts = self.rollouts
            self.watch.on_page = self.rollouts.on_page
        self.quota = build_limiter(
            self.membership,
            network,
            settings.quota_bounds,
            self.directory.size.find_least,
            rng,
        )
        self.limiter: admission.AccountLimiter = self.quota
        self.holder.on_adopt = self._on_config_adopted
        self.wait_estimator = CallerWaitEstimator()
        self.health = TargetHealth()
        self.health.probe_when_healthy = False
        self.lifecycle = lifecycle.TargetLifecycle(
            self.membership, open_target, rng
        )
        self.health.probe = TargetProbe(
            self.lifecycle, self.holder, header_names
        ).probe
        self.departure_keeper = DepartureKeeper(
            log,
            settings.departures_stream,
            identity.address,
            self.lifecycle.adopt_departure,
            rng,
        )
        self.lifecycle.on_departure = self.departure_keeper.add
        self.directory.on_absent = self.departure_keeper.remove_nodes
        self.call_watch = CallWatch(
            self.lifecycle.call_room, self.lifecycle.find_running_kinds
        )
        self.health.on_change = self._on_health_changed
        self.gate_reporter = GateReporter(
            self.lifecycle, self.chooser.models, header_names.caller_service
        )
        if settings.balances_by_cost:
            self.lifecycle.on_load = self.gate_reporter.record_load
        self.domain_traffic = DomainTraffic(
            identity.domain, self.membership.table.alive
        )
        network.counters.on_sent = self.domain_traffic.record
        self.chooser.read_local = self.gate_reporter.snapshot
        self.handover = HandoverServer(
            self.lifecycle,
            header_names,
            lambda: self.membership.local_member.generation,
            self.crashes,
            self.health,
            LinkPacer(settings.link_mbps),
            self.gate_reporter,
        )
        self.handover.account_weight = self._find_account_weight
        self.entry = IngressServer(self, header_names, settings.caller_service)
        self.handover.settle = self.entry.arrivals.settle
        self.links.settle = self.entry.arrivals.settle
        self.request_durations = DurationHistogram(
            'request',
            'Time from the head of a request to the head of its answer.',
        )
        self.supervisor = Supervisor()
        self.pause = PauseDetector()
        self.pause.on_pause = self._on_pause
        self.freshness.check_pause = self.pause.check
        self.peer_server = peercalls.PeerServer(
            peercalls.PeerHandlers(
                membership=self.membership,
                crashes=self.crashes,
                crash_sync=self.crash_sync,
                pause=self.pause,
                counters=self.counters,
                on_config_notice=self.exchange.on_notice,
                serve_request=self.handover.serve,
                serve_pull=self.exchange.serve,
                on_rollout=(
                    self.rollouts.on_datagram if self.rollouts else None
                ),
                on_quota=self.quota.on_datagram,
                on_target_notice=self.lifecycle.record_notice,
            ),
        )
        self._tasks: list[asyncio.Task[None]] = []

    # Start and shutdown

    async def start(self) -> None:
        """Listen; join and load the configuration in the background.

        Raises:
            OSError: An address cannot be bound.
        """
        await self.network.start(
            self.peer_server.on_connection,
            self.peer_server.on_datagram,
        )
        if self.settings.caller_address is not None:
            await self.entry.start(*self.settings.caller_address)
        loop = asyncio.get_running_loop()
        keep_running = self.supervisor.keep_running
        for name, run in (
            ('links', self.links.run),
            ('pause detector', self.pause.run),
            ('arrivals', self.entry.arrivals.run),
            ('membership', self.membership.run),
            ('directory', self.directory.run),
            ('departures', self.departure_keeper.run),
            ('boot', self._boot),
            ('health', self.health.run),
            ('quota', self.quota.run),
            ('housekeeping', self._remove_expired),
        ):
            self._tasks.append(
                loop.create_task(keep_running(name, run), name=name)
            )
        if self.rollouts is not None:
            self._tasks.append(
                loop.create_task(
                    keep_running('roll-outs', self.rollouts.run),
                    name='roll-outs',
                )
            )

    @property
    def is_ready(self) -> bool:
        """Return whether this node accepts new requests from callers."""
        return self.has_config and not self.is_leaving

    async def drain(self, plan: StopPlan | None = None) -> None:
        """Announce departure, refuse new work, await requests in progress.

        Args:
            plan: The times of the stop; those of one that is ordered now if
                None.
        """
        if plan is None:
            now = asyncio.get_running_loop().time()
            plan = plan_stop(now, self.settings.termination_grace_s)
        self.is_leaving = True
        self.dispatcher.is_stopping = True
        self.links.keeps_silent = True
        self.lifecycle.is_node_leaving = True
        self.lifecycle.announce_status()
        self.lifecycle.close_gate(plan.drained_by)
        await RequestDrain(self.entry, self.handover, plan).run()

    async def stop(self, deadline: float | None = None) -> None:
        """Cancel all tasks and close all connections.

        Args:
            deadline: When to go on without what has not ended, on the loop's
                clock; STOP_TIMEOUT_S from now if None.
        """
        if deadline is None:
            deadline = asyncio.get_running_loop().time() + STOP_TIMEOUT_S
        await steps.run_step(
            'tasks', steps.cancel_tasks(self._tasks, deadline), deadline
        )
        self.entry.close()
        self.links.close()
        if self.lifecycle.current is not None:
            self.lifecycle.current.target.close()
        await steps.run_step('network', self.network.close(), deadline)
        await steps.run_step('log', self.log.close(), deadline)

    async def _boot(self) -> None:
        """Load the configuration from a peer, then follow the log.

        If no peer has one, as when all nodes start, the readers of each domain
        load it from the log and the others get it from them.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(BOOT_JOIN_TIMEOUT_S):
                await self.directory.has_tried.wait()
        if not self.has_config:
            await self._fetch_from_peers()
        await self.watch.run()

    async def _fetch_from_peers(self) -> None:
        peers = [
            member.node
            for member in self.membership.table.alive()
            if member.node != self.identity.address
        ]
        sampled_peers = self._rng.sample(peers, min(BOOT_PEERS, len(peers)))
        if not await self.exchange.fetch(sampled_peers):
            logger.bind(event='boot_waits', peers=len(sampled_peers)).info(
                'no configuration from peers'
            )

    # RoutingHandler, called by the ingress

    @property
    def limits(self) -> CallerLimits:
        """Return the caller limits; defaults until a configuration loads."""
        config = self.holder.config
        return config.limits if config else CallerLimits()

    @property
    def has_config(self) -> bool:
        """Return whether a configuration is in force."""
        return self.holder.config is not None

    @property
    def may_be_outdated(self) -> bool:
        """Return whether a change may be in force that this node lacks."""
        return self.freshness.age_s() > self.settings.config_apply_s

    def config_evidence(self) -> Mapping[str, int]:
        """Return log fields that tell how current the configuration is.

        Returns:
            The version in force, the newest version that this node has heard
            of, the age of the evidence that the former is the newest, and the
            time since a peer was heard; in milliseconds, NEVER for none.
        """
        now = asyncio.get_running_loop().time()
        contacts = self.membership.last_contacts.values()
        heard_at = max((contact.at for contact in contacts), default=None)
        return {
            'version': self.holder.version,
            'announced': self.holder.announced_version,
            'confirmed_ms': age_ms(self.freshness),
            'heard_ms': (
                NEVER if heard_at is None else int((now - heard_at) * MS_PER_S)
            ),
        }

    def knows_service(self, service: str) -> bool:
        """Return whether the settings or the configuration name a service."""
        if service == self.settings.caller_service:
            return True
        config = self.holder.config
        return config is not None and service in config.services

    def match(self, host: str, path: str) -> PrefixRoute | None:
        """Return the route of a request, None if none matches."""
        return self.holder.table.match(host, path)

    def authenticate(
        self, headers: http1.Headers, route: PrefixRoute
    ) -> authentication.Permission | None:
        """Return whose request it is, None if there are no accounts.

        Raises:
            UnknownKey: No account has its key.
            OutdatedEvidence: A change may be in force that this node lacks.
        """
        return self.authenticator.permit(headers, route)

    def route_request(
        self, req: IngressRequest, route: PrefixRoute
    ) -> RoutedRequest:
        """Choose the service for a request, by the weights of its route.

        The latency objective counts from the caller's first attempt, as far as
        it can be estimated.

        Args:
            req: The request.
            route: The route that matches it.
        """
        elapsed_s = self.wait_estimator.estimate_elapsed_s(
            route.name, req.caller_timeout_s
        )
        return RoutedRequest(
            req=req,
            route=route,
            service=route.pick_service(self._rng),
            objective_at=req.arrived_at + route.objective_s - elapsed_s,
            version=self.holder.version,
        )

    async def dispatch(self, routed: RoutedRequest) -> RoutedResponse:
        """Return the response to a request that entered at this node.

        Args:
            routed: The request.

        Returns:
            The opened response; close must be called.

        Raises:
            RequestNotRun: No target ran the request.
            RequestUnknown: A target may have run the request.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        track_request(
            self.chooser, routed, self.settings.caller_service, started_at
        )
        try:
            return await admission.dispatch_within_limit(
                self.limiter,
                self.account_usage,
                routed,
                self._dispatch_watched,
            )
        finally:
            self.request_durations.record(loop.time() - started_at)

    async def _dispatch_watched(self, routed: RoutedRequest) -> RoutedResponse:
        return await self.call_watch.observe(routed, self.dispatcher.dispatch)

    # The local target

    def _on_health_changed(self, is_healthy: bool) -> None:
        self.lifecycle.set_health(is_healthy=is_healthy)

    def _on_config_adopted(self, config: RoutingConfig) -> None:
        accounts = config.accounts
        self.quota.configure(accounts.accounts.values() if accounts else ())
        if self.settings.balances_by_cost:
            has_accounts = accounts is not None
            self.chooser.has_accounts = has_accounts
            self.gate_reporter.has_accounts = has_accounts
            self.lifecycle.by_cost |= has_accounts

    def _find_account_weight(self, name: str) -> float:
        """Return the rate of an account, 1 for none or one without a limit."""
        config = self.holder.config
        if not name or config is None or config.accounts is None:
            return 1
        account = config.accounts.accounts.get(name)
        return account.rate_per_s or 1 if account else 1

    def _on_era(self, era: int) -> None:
        self.directory.on_era(era)
        self.departure_keeper.on_era(era)

    def _on_pause(self) -> None:
        self.membership.suspicions.clear()
        self.freshness.forget()

    # Members and expiry

    def _on_members_changed(self, changed: Sequence[Member]) -> None:
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
            self.chooser.announced(member)
            self._tell_departure(member)

    def _tell_departure(self, member: Member) -> None:
        """Tell a node that has restarted of the departure of its target.

        Some nodes do, however large the fleet is.
        """
        notice = self.dispatcher.known_targets.record_member(member)
        if notice is None:
            return
        members = len(self.membership.table)
        if self._rng.random() * members < DEPARTURE_TELLERS:
            self.membership.gossip(notice, [member.node])

    async def _remove_expired(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.lifecycle.log_slot_time()
            self._remove_expired_records()
            alive_nodes = {
                member.node for member in self.membership.table.alive()
            }
            for table in (
                self.chooser,
                self.freshness,
                self.quota.keeper,
                self.dispatcher.known_targets,
            ):
                table.remove_missing(alive_nodes)
            if self.rollouts is not None:
                self.rollouts.filter.remove_missing(alive_nodes)
            self.membership.prune_last_contacts(alive_nodes)
            config = self.holder.config
            if config is not None:
                route_names = {route.name for route in config.routes}
                self.wait_estimator.retain_routes(route_names)

    def _remove_expired_records(self) -> None:
        self.crashes.remove_expired()
        now = asyncio.get_running_loop().time()
        self.departure_keeper.remove(
            self.lifecycle.departures.remove_expired(now)
        )
