"""Nodes on an in-memory network, log and targets, for tests on virtual time."""

import asyncio
import random
from collections import Counter
from collections.abc import Coroutine, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import async_solipsism

from filbertdrift import http1
from filbertdrift.errors import PeerUnavailable
from filbertdrift.gen import ttypes
from filbertdrift.identity import Identity
from filbertdrift.log import MemoryLog, SharedLog
from filbertdrift.network_memory import MemoryNetwork, NetworkSimulator
from filbertdrift.node import Node
from filbertdrift.profile import PROFILES, Profile
from filbertdrift.publisher import PublishResult
from filbertdrift.registration import Announcement
from filbertdrift.request import IngressRequest, Response
from filbertdrift.target import Exchange, Target, TargetRequest

ANNOUNCE_INTERVAL_S = 2.0
HEALTH_CHECK_S = 0.006
CLAIM_TTL_S = 600.0
CHECKPOINT_INTERVAL_S = 600.0


def run_virtual(coro: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on virtual time and return its result."""
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(coro)
    finally:
        loop.run_until_complete(_cancel_others())
        loop.close()


async def _cancel_others() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


def config_record(
    record_id: str,
    files: Mapping[str, str | None],
    base_offset: int = -1,
    raise_rules: int = 0,
) -> ttypes.ConfigRecord:
    """Build a record of the configuration stream.

    Args:
        record_id: Id that identifies the change.
        files: Contents by file name, None to delete a file.
        base_offset: Offset of the configuration that the change is based on.
        raise_rules: Version of the validation rules that applies from this
            change on; 0 leaves it unchanged.
    """
    return ttypes.ConfigRecord(
        record_id=record_id,
        base_offset=base_offset,
        files=[
            ttypes.ConfigFile(name, content) for name, content in files.items()
        ],
        author='test',
        raise_rules=raise_rules,
    )


@dataclass
class TargetBehaviour:
    """Behaviour of an in-memory target, and what it counts.

    Targets may share one, which then counts for all of them.

    Args:
        work_s: Time that a request takes.
        slots: Number of requests that run at once without slowing down.
        is_up: Whether connections are accepted.
        is_silent: Whether requests hang and health checks fail.
        sheds: Whether all requests are shed with status 503.
        limits_slots: Whether more requests than slots slow the work down.
        truncates: Whether response bodies end early.
        crashes_on: Part of the path of requests that crash the target.
        running: Number of requests that run now.
        cancelled: Number of requests whose caller gave up.
        probes: Number of health checks received.
        reports_healthy: Health to report, or None to report the real one.
        executions: Number of executions by request id and idempotency key.
    """

    work_s: float = 0.005
    slots: int = 20
    is_up: bool = True
    is_silent: bool = False
    sheds: bool = False
    limits_slots: bool = False
    truncates: bool = False
    crashes_on: str = ''
    running: int = 0
    cancelled: int = 0
    probes: int = 0
    reports_healthy: bool | None = None
    executions: Counter[str] = field(default_factory=Counter)


class MemoryTarget(Target):
    """An in-memory target.

    Args:
        address: Its address.
        behaviour: Its behaviour.
    """

    def __init__(self, address: str, behaviour: TargetBehaviour) -> None:
        self.address = address
        self.behaviour = behaviour

    async def open_exchange(self, request: TargetRequest) -> Exchange:
        """Open an exchange.

        Raises:
            PeerUnavailable: The target is down.
        """
        await asyncio.sleep(0.0002)
        if not self.behaviour.is_up:
            raise PeerUnavailable('refused', step='connect to target')
        return MemoryExchange(self, request)

    async def is_up(self) -> bool:
        """Return whether the target is up."""
        return self.behaviour.is_up

    async def check_health(self, probe_path: str) -> bool:
        """Return the health that the target reports."""
        self.behaviour.probes += 1
        await asyncio.sleep(HEALTH_CHECK_S)
        if self.behaviour.reports_healthy is not None:
            return self.behaviour.reports_healthy
        return self.behaviour.is_up and not self.behaviour.is_silent

    def close(self) -> None:
        """Do nothing."""


class MemoryExchange(Exchange):
    """One request to an in-memory target and its response."""

    def __init__(self, target: MemoryTarget, request: TargetRequest) -> None:
        self.connected_at = asyncio.get_running_loop().time()
        self._target = target
        self._request = request
        self._body = request.first_chunk
        self._sent = asyncio.Event()
        self._answered = False

    async def send_head(self) -> None:
        """Count the execution, unless the target sheds."""
        behaviour = self._target.behaviour
        if behaviour.sheds:
            return
        request_id = http1.find_header(self._request.headers, b'x-request-id')
        behaviour.executions[request_id] += 1
        key = http1.find_header(self._request.headers, b'idempotency-key')
        if key:
            behaviour.executions[f'key {key}'] += 1
        if self._request.is_whole:
            self._sent.set()

    async def send_body(self, chunk: bytes, *, end: bool) -> None:
        """Collect the body."""
        self._body += chunk
        if end:
            self._sent.set()

    async def head(self) -> http1.ResponseHead:
        """Run the request and return the head of its response.

        Raises:
            PeerUnavailable: The target crashed.
        """
        behaviour = self._target.behaviour
        if behaviour.sheds:
            return http1.ResponseHead(503, [], keep_alive=True)
        await self._sent.wait()
        behaviour.running += 1
        try:
            await self._work(behaviour)
        except asyncio.CancelledError:
            behaviour.cancelled += 1
            raise
        finally:
            behaviour.running -= 1
        client_account = http1.find_header(self._request.headers, b'x-customer')
        self._text = f'{client_account} {self._request.path}'.encode()
        length = b'%d' % len(self._text)
        return http1.ResponseHead(
            200,
            [(b'content-length', length)],
            keep_alive=True,
        )

    def forbid_reuse(self) -> None:
        """Do nothing: there is no connection."""

    def buffered_part(self) -> http1.BodyPart:
        """Return an empty part: the body is read with `part`."""
        return http1.BodyPart(b'', end=False)

    async def part(self) -> http1.BodyPart:
        """Return the whole body.

        Raises:
            MessageTruncated: The target truncates response bodies.
        """
        if self._target.behaviour.sheds:
            return http1.BodyPart(b'', end=True)
        if self._target.behaviour.truncates:
            raise http1.MessageTruncated('cut short', step='read body')
        return http1.BodyPart(self._text, end=True)

    def close(self) -> None:
        """Do nothing."""

    def _slowdown(self, behaviour: TargetBehaviour) -> float:
        """Return the slowdown of work by requests in excess of the slots."""
        if not behaviour.limits_slots:
            return 1
        return max(behaviour.running / behaviour.slots, 1)

    async def _work(self, behaviour: TargetBehaviour) -> None:
        if behaviour.is_silent:
            await asyncio.sleep(3600)
        if behaviour.crashes_on and behaviour.crashes_on in self._request.path:
            behaviour.is_up = False
            raise PeerUnavailable('reset', step='await target')
        await asyncio.sleep(behaviour.work_s * self._slowdown(behaviour))
        if not behaviour.is_up:
            raise PeerUnavailable('reset', step='await target')


@dataclass
class FleetInstance:
    """One instance of a fleet: a node, its view of the log and its target."""

    identity: Identity
    service: str
    log: SharedLog
    node: Node
    behaviour: TargetBehaviour
    announce_task: asyncio.Task[None] | None = None


class Fleet:
    """A fleet of nodes on an in-memory network, with log and targets.

    Args:
        seed: Seed of all random choices.
        profile: Control-plane profile of the nodes.

    Attributes:
        fixed_seeds: Seed addresses of nodes started from now on, or None to
            sample up to three running nodes.
    """

    def __init__(
        self,
        seed: int = 1,
        profile: str | Profile = 'convergence',
    ) -> None:
        self.rng = random.Random(seed)
        self.simulator = NetworkSimulator(random.Random(seed + 1))
        self.log = MemoryLog()
        self.instances: dict[str, FleetInstance] = {}
        self.checkpoint_interval_s = CHECKPOINT_INTERVAL_S
        self._profile = (
            PROFILES[profile] if isinstance(profile, str) else profile
        )
        self.fixed_seeds: Sequence[str] | None = None
        self._generation = 1_000

    @property
    def nodes(self) -> list[Node]:
        """Return the running nodes in the order in which they started."""
        return [instance.node for instance in self.instances.values()]

    def address(self, domain: str, number: int) -> str:
        """Return the address of an instance."""
        return f'{domain}-{number}:7000'

    async def add(
        self,
        domain: str,
        service: str = '',
        count: int = 1,
        region: str = 'one',
    ) -> list[Node]:
        """Start nodes in a failure domain, and announce targets of a service.

        Args:
            domain: Failure domain of the nodes.
            service: Service of the targets; empty announces none.
            count: Number of nodes.
            region: Region of the nodes.

        Returns:
            The started nodes.
        """
        added = []
        for _ in range(count):
            number = sum(
                instance.identity.domain == domain
                for instance in self.instances.values()
            )
            self._generation += 10
            identity = Identity(
                self.address(domain, number),
                domain,
                region,
                self._generation,
            )
            added.append(await self._start(identity, service))
        return added

    async def kill(self, address: str) -> FleetInstance:
        """Stop a node and its target without any announcement."""
        instance = self.instances.pop(address)
        instance.behaviour.is_up = False
        if instance.announce_task:
            instance.announce_task.cancel()
        await instance.node.stop()
        return instance

    async def restart(self, instance: FleetInstance) -> Node:
        """Restart a killed node at its address, with a new target."""
        self._generation += 10
        old = instance.identity
        identity = Identity(
            old.address,
            old.domain,
            old.region,
            self._generation,
        )
        return await self._start(identity, instance.service)

    def domain(self, name: str) -> list[str]:
        """Return the addresses of the nodes in a failure domain."""
        return [
            address
            for address, instance in self.instances.items()
            if instance.identity.domain == name
        ]

    def cut(self, *domains: str, log: bool = False) -> None:
        """Partition failure domains from all others.

        Args:
            domains: Failure domains on one side of the partition.
            log: Whether they are partitioned from the log, too.
        """
        inside = [address for name in domains for address in self.domain(name)]
        outside = [
            address for address in self.instances if address not in inside
        ]
        self.simulator.cut(inside, outside)
        for address in inside if log else ():
            self.instances[address].log.is_partitioned = True

    def heal(self) -> None:
        """End all partitions."""
        self.simulator.heal()
        for instance in self.instances.values():
            instance.log.is_partitioned = False

    async def publish(
        self,
        files: Mapping[str, str | None],
        record_id: str = '',
        base_offset: int | None = None,
        by: str = '',
    ) -> PublishResult:
        """Publish a configuration change through a node.

        Args:
            files: Contents by file name, None to delete a file.
            record_id: Id of the change, random if empty.
            base_offset: Offset that the change is based on, or None for the
                offset in force on the node.
            by: Address of the node, empty for the first.

        Returns:
            The result of the publication.
        """
        node = self.instances[by].node if by else self.nodes[0]
        base = node.replica.state.offset if base_offset is None else base_offset
        name = record_id or f'record-{self.rng.getrandbits(64):x}'
        return await node.publisher.publish(config_record(name, files, base))

    def offsets(self) -> dict[str, int]:
        """Return the offset in force on each node."""
        return {
            address: instance.node.replica.state.offset
            for address, instance in self.instances.items()
        }

    async def wait_until_in_force(self, offset: int, limit_s: float) -> float:
        """Wait until an offset is in force on every node.

        Args:
            offset: Offset of the configuration.
            limit_s: Longest time to wait.

        Returns:
            The time it took in seconds.

        Raises:
            AssertionError: A node lags behind after the limit.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while min(self.offsets().values()) < offset:
            if loop.time() - started_at > limit_s:
                raise AssertionError(f'lagging: {self.offsets()}')
            await asyncio.sleep(0.01)
        return loop.time() - started_at

    def executions(self) -> Counter[str]:
        """Return the number of executions of each request, over all targets."""
        total: Counter[str] = Counter()
        for instance in self.instances.values():
            total.update(instance.behaviour.executions)
        return total

    async def call(
        self,
        address: str,
        path: str,
        method: str = 'GET',
        request_id: str = '',
        **more: Any,
    ) -> Response:
        """Send a request through a node, as its caller port does."""
        node = self.instances[address].node
        snapshot = node.snapshot
        assert snapshot is not None
        route = snapshot.match(method, path)
        assert route is not None
        req = ingress_request(path, method, request_id, **more)
        return await node.forward(snapshot, route, req)

    async def _start(self, identity: Identity, service: str) -> Node:
        log = SharedLog(self.log)
        behaviour = TargetBehaviour()
        node = Node(
            identity=identity,
            network=MemoryNetwork(self.simulator, identity.address),
            log=log,
            profile=self._profile,
            seeds=self._seeds(),
            open_target=lambda address, limit: MemoryTarget(
                address,
                behaviour,
            ),
            checkpoint_interval_s=self.checkpoint_interval_s,
            claim_ttl_s=CLAIM_TTL_S,
            rng=random.Random(self.rng.getrandbits(64)),
        )
        instance = FleetInstance(identity, service, log, node, behaviour)
        self.instances[identity.address] = instance
        await node.start()
        if service:
            loop = asyncio.get_running_loop()
            instance.announce_task = loop.create_task(_announce(instance))
        return node

    def _seeds(self) -> Sequence[str]:
        if self.fixed_seeds is not None:
            return self.fixed_seeds
        addresses = list(self.instances)
        return self.rng.sample(addresses, min(3, len(addresses)))


async def _announce(instance: FleetInstance) -> None:
    announcement = Announcement(
        instance.service,
        f'{instance.identity.address}-target',
        instance.behaviour.slots,
        100,
    )
    while True:
        if instance.behaviour.is_up:
            instance.node.announce(announcement)
        await asyncio.sleep(ANNOUNCE_INTERVAL_S)


def ingress_request(
    path: str,
    method: str = 'GET',
    request_id: str = '',
    timeout_s: float = 3.0,
    customer: str = '',
    headers: http1.Headers | None = None,
    **more: Any,
) -> IngressRequest:
    """Build a request with a whole body, as a node's ingress receives it."""
    now = asyncio.get_running_loop().time()
    name = request_id or f'request-{now}'
    return IngressRequest(
        request_id=name,
        method=method,
        path=path,
        headers=[
            (b'x-request-id', name.encode()),
            (b'x-customer', customer.encode()),
            *(headers or []),
        ],
        first_chunk=more.pop('body', b''),
        is_whole=True,
        read_body=_no_body,
        deadline=now + timeout_s,
        client_account=customer,
        **more,
    )


async def _no_body() -> http1.BodyPart:
    return http1.BodyPart(b'', end=True)
