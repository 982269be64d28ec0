"""A node: the sidecar process beside each target instance."""

import asyncio
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift.balance.chooser import TargetChooser
from filbertdrift.caller import CallerServer
from filbertdrift.claims import Claims
from filbertdrift.crash_sync import CrashSync
from filbertdrift.crashes import CrashLedger
from filbertdrift.distribution import Distributor
from filbertdrift.durations import DurationHistogram
from filbertdrift.errors import (
    RequestNotRun,
    RequestUnknown,
)
from filbertdrift.fold import ConfigState
from filbertdrift.forward import Forwarder
from filbertdrift.health import TargetHealth
from filbertdrift.identity import Identity
from filbertdrift.introduction import SeedDiscovery
from filbertdrift.keeper import ConfigReplica
from filbertdrift.keyed import KeyedForwarder
from filbertdrift.link import LinkPool
from filbertdrift.log import Log
from filbertdrift.logreader import LogReader
from filbertdrift.members import Member
from filbertdrift.membership import Membership
from filbertdrift.network import Network
from filbertdrift.pause import PauseDetector
from filbertdrift.peercalls import PeerHandlers, PeerServer
from filbertdrift.profile import Profile
from filbertdrift.publisher import Publisher
from filbertdrift.registration import (
    Announcement,
    OpenTarget,
    TargetRegistration,
)
from filbertdrift.request import IngressRequest, Outcome, Response
from filbertdrift.requesthistory import RequestHistory, RequestReport
from filbertdrift.serving import TargetServer
from filbertdrift.snapshot import (
    Route,
    Snapshot,
    TargetSet,
    build_snapshot,
    with_endpoints,
)
from filbertdrift.supervise import Supervisor
from filbertdrift.tracing import Tracer

BOOT_PEERS = 3
BOOT_BACKOFF_S = 0.5
MAX_BOOT_BACKOFF_S = 5.0
LEAVE_PROPAGATION_S = 2.0
DRAIN_POLL_S = 0.05
EXPIRY_INTERVAL_S = 5.0


@dataclass(slots=True)
class NodeCounters:
    """Snapshot swaps and refusals of this node."""

    swaps: int = 0
    dangling_routes: int = 0
    refused_after_pause: int = 0


class Node:
    """A sidecar proxy: assembles its parts and routes by path and method.

    The routing snapshot is built from the replicated configuration and the
    member table, and replaced whenever one of them changes.

    Args:
        identity: Address, failure domain, region and generation.
        network: Transport to the other nodes.
        log: The platform's log.
        profile: Rate and fan-out of control traffic.
        seeds: Addresses of the nodes to contact first.
        open_target: Opens the connection pool of an announced target.
        checkpoint_interval_s: Time between checkpoints of the configuration.
        claim_ttl_s: How long the claim of an idempotency key is valid.
        rng: Source of all random choices.
        tracer: Creates spans; without one, none are created.
    """

    def __init__(
        self,
        identity: Identity,
        network: Network,
        log: Log,
        profile: Profile,
        seeds: Sequence[str],
        open_target: OpenTarget,
        checkpoint_interval_s: float,
        claim_ttl_s: float,
        rng: random.Random,
        tracer: Tracer | None = None,
    ) -> None:
        """Assemble the parts without starting any of them."""
        self.identity = identity
        self.network = network
        self.log = log
        self.counters = NodeCounters()
        self.request_history = RequestHistory()
        self.request_durations = DurationHistogram(
            'request',
            'Time from the head of a request to the head of its answer.',
        )
        self.snapshot: Snapshot | None = None
        self.boot_sources: Sequence[str] = ()
        self.links = LinkPool(network)
        local_member = Member(
            identity.address,
            identity.domain,
            identity.region,
            generation=identity.generation,
        )
        self.membership = Membership(
            local_member, network, self.links, profile, rng
        )
        self.replica = ConfigReplica()
        self.reader = LogReader(
            self.replica,
            self.membership,
            log,
            checkpoint_interval_s,
            rng,
        )
        self.distributor = Distributor(
            self.replica,
            self.reader,
            self.membership,
            self.links,
            pushes_records=profile.pushes_records,
            rng=rng,
        )
        self.publisher = Publisher(log, self.reader, self.replica)
        self.introducer = SeedDiscovery(log, self.membership, seeds, rng)
        self.chooser = TargetChooser(identity.domain, identity.region, rng)
        self.crashes = CrashLedger(identity, rng)
        self.crashes.send_notice = self.membership.broadcast
        self.crash_sync = CrashSync(self.crashes, self.links)
        self.membership.crashes_digest = self.crashes.digest
        self.membership.on_crashes_digest = self.crash_sync.compare
        self.forwarder = Forwarder(
            self.links,
            self.chooser,
            self.crashes,
            rng,
        )
        self.claims = Claims(log, self.membership, self.links, claim_ttl_s)
        self.keyed_forwarder = KeyedForwarder(self.forwarder, self.claims)
        self.tracer = tracer or Tracer()
        self.health = TargetHealth()
        self.server = TargetServer(
            self._get_generation,
            self.tracer,
            self.crashes,
            self.health,
        )
        self.registration = TargetRegistration(
            self.membership,
            self.server,
            self.health,
            self._list_target_sets,
            open_target,
            rng,
        )
        self.callers = CallerServer(self)
        self.server.settle = self.callers.arrivals.settle
        self.links.settle = self.callers.arrivals.settle
        self.supervisor = Supervisor()
        self._rng = rng
        self._tasks: list[asyncio.Task[None]] = []
        self.pause = PauseDetector()
        self.pause.on_pause = self.membership.suspicions.clear
        self.peer_server = PeerServer(
            PeerHandlers(
                membership=self.membership,
                crashes=self.crashes,
                crash_sync=self.crash_sync,
                pause=self.pause,
                counters=self.counters,
                on_config_notice=self.distributor.on_notice,
                serve_request=self.server.serve,
                serve_pull=self.distributor.serve_pull,
                serve_claim=self.claims.serve,
            ),
        )
        self.replica.on_adopt = self._on_config_adopted
        self.membership.on_change = self._on_members_changed

    # Start and shutdown

    async def start(self) -> None:
        """Listen for peers; join and load the configuration in the background.

        Raises:
            OSError: An address cannot be bound.
        """
        await self.network.start(
            self.peer_server.on_connection,
            self.peer_server.on_datagram,
        )
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self.links.run()))
        self._tasks.append(loop.create_task(self.pause.run()))
        self._tasks.append(loop.create_task(self.callers.arrivals.run()))
        self._tasks.append(loop.create_task(self._boot()))

    async def drain(self) -> None:
        """Announce departure, refuse new work, await requests in progress."""
        self.registration.leave()
        await asyncio.sleep(LEAVE_PROPAGATION_S)
        if self.server.announced:
            self.server.announced.gate.drain()
        await self.callers.drain()
        while self.server.in_progress:
            await asyncio.sleep(DRAIN_POLL_S)
        logger.info('drained')

    async def stop(self) -> None:
        """Cancel all tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.callers.close()
        self.claims.close()
        self.links.close()
        await self.network.close()
        await self.log.close()
        self.tracer.close()

    async def _boot(self) -> None:
        backoff_s = BOOT_BACKOFF_S
        while not await self._attempt_boot():
            await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
            backoff_s = min(backoff_s * 2, MAX_BOOT_BACKOFF_S)
        logger.info(
            'in force at offset {} from {}',
            self.replica.state.offset,
            ', '.join(self.boot_sources),
        )
        keep_running = self.supervisor.keep_running
        await asyncio.gather(
            keep_running('membership', self.membership.run),
            keep_running('log reader', self.reader.run),
            keep_running('introducer', self.introducer.run),
            keep_running('registration', self.registration.run),
            keep_running('health', self.health.run),
            keep_running('housekeeping', self._remove_expired),
        )

    async def _attempt_boot(self) -> bool:
        await self.introducer.join()
        peers = [
            member.node
            for member in self.membership.table.alive()
            if member.node != self.identity.address
        ]
        sampled_peers = self._rng.sample(peers, min(BOOT_PEERS, len(peers)))
        self.boot_sources = await self.distributor.boot(sampled_peers)
        return bool(self.boot_sources)

    # Targets and requests

    @property
    def is_leaving(self) -> bool:
        """Return whether this node is leaving and takes no new work."""
        return self.registration.is_leaving

    def announce(self, announcement: Announcement) -> None:
        """Register the local target or renew its lease."""
        self.registration.announce(announcement)

    def withdraw(self) -> None:
        """Deregister the local target: it gets no new work."""
        self.registration.withdraw()

    async def forward(
        self,
        snapshot: Snapshot,
        route: Route,
        req: IngressRequest,
    ) -> Response:
        """Return the response to a request that entered at this node.

        Args:
            snapshot: The snapshot that the route belongs to.
            route: The route that matches the request.
            req: The request.

        Raises:
            RequestNotRun: No target ran the request.
            RequestUnknown: A target may have run the request.
        """
        counters = self.forwarder.counters
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        outcome, reason = Outcome.UNKNOWN, 'this node failed to serve it'
        try:
            with self.tracer.span(
                'entry',
                req.headers,
                request=req.request_id,
                route=route.name,
            ) as headers:
                req.headers = headers
                response = await self.keyed_forwarder.forward(
                    snapshot, route, req
                )
            outcome = Outcome.ANSWERED
            reason = ''
        except RequestNotRun as exc:
            outcome, reason = Outcome.NOT_RUN, str(exc)
            counters.not_run += 1
            raise
        except RequestUnknown as exc:
            outcome, reason = Outcome.UNKNOWN, str(exc)
            counters.unknown += 1
            raise
        except asyncio.CancelledError:
            outcome, reason = Outcome.UNKNOWN, 'the caller went away'
            raise
        finally:
            self.request_durations.record(loop.time() - started_at)
            self._record_outcome(route, req, outcome, reason)
        counters.answered += 1
        return response

    def _record_outcome(
        self,
        route: Route,
        req: IngressRequest,
        outcome: Outcome,
        reason: str,
    ) -> None:
        self.request_history.add(
            RequestReport.model_construct(
                request_id=req.request_id,
                outcome=outcome.value,
                reason=reason,
                route=route.name,
                tried=list(req.tried),
            ),
        )

    def _get_generation(self) -> int:
        return self.membership.local_member.generation

    def _list_target_sets(self) -> Iterable[TargetSet]:
        return self.snapshot.target_sets.values() if self.snapshot else ()

    async def _remove_expired(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.claims.remove_expired()
            self.crashes.remove_expired()
            alive_nodes = {
                member.node for member in self.membership.table.alive()
            }
            self.chooser.remove_missing(alive_nodes)
            self.membership.prune_last_contacts(alive_nodes)

    # Snapshot swaps

    def _on_config_adopted(self, state: ConfigState) -> None:
        services = {model.service for model in state.merged.targets.values()}
        endpoints = {
            service: self.membership.table.of_service(service)
            for service in services
        }
        self._swap_snapshot(build_snapshot(state, endpoints))

    def _on_members_changed(self, changed: Sequence[Member]) -> None:
        self.chooser.unreachable_domains = self.membership.unreachable_domains
        if self.snapshot is None or not changed:
            return
        table = self.membership.table
        endpoints = {
            service: table.of_service(service)
            for service in self.snapshot.endpoints
        }
        self._swap_snapshot(with_endpoints(self.snapshot, endpoints))

    def _swap_snapshot(self, snapshot: Snapshot) -> None:
        dangling = snapshot.find_dangling_routes()
        if dangling:
            self.counters.dangling_routes += len(dangling)
            logger.error('routes without targets: {}', ', '.join(dangling))
        self.counters.swaps += 1
        self.snapshot = snapshot
