"""Nodes with prefix routes on an in-memory network, log and targets."""

import asyncio
import json
import random
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from filbertdrift import http1
from filbertdrift.accounts.authentication import add_account
from filbertdrift.errors import LogAnswerLost, LogUnavailable
from filbertdrift.identity import Identity
from filbertdrift.incarnation import Heartbeat
from filbertdrift.keyedlog import (
    KeyedLog,
    KeyedPage,
    KeyedRecord,
    LogCopy,
    MemoryKeyedLog,
)
from filbertdrift.mesh import MeshNode
from filbertdrift.mesh_settings import MeshSettings
from filbertdrift.network_memory import MemoryNetwork, NetworkSimulator
from filbertdrift.platform.documents import (
    CONFIG_KEY,
    OPERATOR_STREAM,
    ConfigDecoder,
)
from filbertdrift.platform.headers import HEADERS
from filbertdrift.profile import PROFILES
from filbertdrift.request import IngressRequest
from filbertdrift.retrybudget import RetryLimits
from filbertdrift.rollouts.control import RolloutSettings
from filbertdrift.routed import RoutedResponse
from standins.platform_store import restore_log
from standins.scripted_target import ScriptedTarget, TargetScript

DIRECTORY_STREAM = 'keyed.nodes'
DEPARTURES_STREAM = 'keyed.departures'
HOST = 'desk.example'
HEARTBEAT_INTERVAL_S = 1.5
READ_TIMEOUT_S = 1.0


class PartitionableLog(KeyedLog):
    """One node's client of a shared keyed log, which can be partitioned.

    Args:
        shared: The log that all nodes share.

    Attributes:
        is_partitioned: Whether every call of this node fails.
        is_silent: Whether calls that start now are never answered.
        loses_replies: Whether conditional appends succeed without a reply.
        timeout_s: How long a call waits for an answer, beyond the wait that it
            asked for.
    """

    def __init__(self, shared: MemoryKeyedLog) -> None:
        super().__init__()
        self.is_partitioned = False
        self.is_silent = False
        self.loses_replies = False
        self.timeout_s = READ_TIMEOUT_S
        self._shared = shared
        self._pending_reads: set[asyncio.Task[KeyedPage]] = set()

    def silence(self) -> None:
        """Let pending reads time out as on a connection gone silent."""
        for task in self._pending_reads:
            task.cancel()

    async def newest(self, stream: str) -> KeyedPage:
        """Return the newest record of each key."""
        await self._check_partition()
        return await self._shared.newest(stream)

    async def read(self, stream: str, offset: int, wait_s: float) -> KeyedPage:
        """Return the records from an offset on."""
        await self._check_partition(wait_s)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s + self.timeout_s
        task = loop.create_task(self._shared.read(stream, offset, wait_s))
        self._pending_reads.add(task)
        try:
            page = await task
        except asyncio.CancelledError as exc:
            if not task.cancelled() or _is_cancelling():
                raise
            await asyncio.sleep(deadline - loop.time())
            raise LogUnavailable(
                'no response', step='read log', peer='memory'
            ) from exc
        finally:
            self._pending_reads.discard(task)
        await self._check_partition()
        return page

    async def append(self, stream: str, record: KeyedRecord) -> None:
        """Append one record."""
        await self._check_partition()
        await self._shared.append(stream, record)

    async def append_at(
        self, stream: str, record: KeyedRecord, offset: int
    ) -> bool:
        """Append one record if the stream ends at an offset."""
        await self._check_partition()
        is_appended = await self._shared.append_at(stream, record, offset)
        if self.loses_replies:
            raise LogAnswerLost('no response', step='append', peer='memory')
        return is_appended

    async def _check_partition(self, wait_s: float = 0) -> None:
        self.counters.calls += 1
        if self.is_silent:
            await asyncio.sleep(wait_s + self.timeout_s)
            self.counters.failures += 1
            raise LogUnavailable('no response', step='call log', peer='memory')
        if self.is_partitioned:
            await asyncio.sleep(0.01)
            self.counters.failures += 1
            raise LogUnavailable('cut off', step='call log', peer='memory')


@dataclass
class MeshInstance:
    """One instance of a fleet: a node, its view of the log and its target.

    Args:
        identity: The node's identity.
        service: Service of the target.
        log: The node's client of the shared log.
        node: The node.
        script: The target's behaviour.
        heartbeat_task: Sends the target's heartbeats.
        instance: Instance id in the target's heartbeats.
        born_ms: Start time of the target in its heartbeats.
        sequence: Number of heartbeats sent.
        version: The version that the target states.
    """

    identity: Identity
    service: str
    log: PartitionableLog
    node: MeshNode
    script: TargetScript
    heartbeat_task: asyncio.Task[None] | None = None
    instance: str = ''
    born_ms: int = 0
    sequence: int = 0
    version: str = ''


class MeshFleet:
    """A fleet of nodes with prefix routes on an in-memory network and log.

    Args:
        seed: Seed of all random choices.
        limits: Retry budget of each service, for all nodes together.

    Attributes:
        link_mbps: Link capacity in the settings of nodes started from now on.
        rollouts: Their settings of roll-outs.
        revoke_s: Limit of strict revocation in those settings, None if off.
        calls: Number of requests sent.
        balances_by_cost: Whether those nodes balance by cost.
    """

    def __init__(
        self, seed: int = 1, limits: RetryLimits | None = None
    ) -> None:
        self.link_mbps: float | None = None
        self.revoke_s: float | None = None
        self.balances_by_cost = False
        self.rng = random.Random(seed)
        self.simulator = NetworkSimulator(random.Random(seed + 1))
        self.log = MemoryKeyedLog()
        self.instances: dict[str, MeshInstance] = {}
        self.limits = limits or RetryLimits(ratio=0.2, extra=60)
        self.rollouts: RolloutSettings | None = None
        self._generation = 1_000
        self.calls = 0

    async def add(
        self,
        domain: str,
        service: str,
        script: TargetScript | None = None,
        version: str = '',
    ) -> MeshInstance:
        """Start a node and its target.

        Args:
            domain: Failure domain of the node.
            service: Service of the target.
            script: Behaviour of the target, or None for the default.
            version: The version that it states.

        Returns:
            The started instance.
        """
        number = sum(
            instance.identity.domain == domain
            for instance in self.instances.values()
        )
        self._generation += 10
        identity = Identity(
            f'{domain}-{number}:7000',
            domain,
            'one',
            self._generation,
        )
        return await self._start(
            identity, service, script or TargetScript(), version
        )

    async def kill(self, address: str) -> MeshInstance:
        """Stop a node without any announcement; its target keeps running."""
        instance = self.instances.pop(address)
        if instance.heartbeat_task:
            instance.heartbeat_task.cancel()
        await instance.node.stop()
        return instance

    async def restart(self, instance: MeshInstance) -> MeshInstance:
        """Restart a killed node at its address, with the same target."""
        self._generation += 10
        old = instance.identity
        identity = Identity(
            old.address,
            old.domain,
            old.region,
            self._generation,
        )
        started = await self._start(
            identity, instance.service, instance.script, instance.version
        )
        started.instance, started.born_ms = instance.instance, instance.born_ms
        started.sequence = instance.sequence
        return started

    async def publish(self, document: Mapping[str, Any]) -> None:
        """Append a configuration to the operator's stream."""
        raw = json.dumps(document).encode()
        await self.log.append(OPERATOR_STREAM, KeyedRecord(CONFIG_KEY, raw))

    async def drill(self, copy: LogCopy, away_s: float) -> None:
        """Take the log away, then bring it back from a copy.

        Args:
            copy: The copy to come back from.
            away_s: How long the log is away.
        """
        self.log.is_down = True
        await asyncio.sleep(away_s)
        self.log.is_down = False
        await restore_log(self.log, copy)

    async def wait_until_in_force(self, version: int, limit_s: float) -> float:
        """Wait until a version is in force on every node.

        Args:
            version: Version of the configuration.
            limit_s: Longest time to wait.

        Returns:
            The time it took in seconds.

        Raises:
            AssertionError: A node lags behind after the limit.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while min(self.versions().values()) < version:
            if loop.time() - started_at > limit_s:
                raise AssertionError(f'lagging: {self.versions()}')
            await asyncio.sleep(0.01)
        return loop.time() - started_at

    def versions(self) -> dict[str, int]:
        """Return the version in force on each node."""
        return {
            address: instance.node.holder.version
            for address, instance in self.instances.items()
        }

    async def call(
        self,
        address: str,
        path: str = '/read/1',
        timeout_s: float = 2.0,
        body: bytes = b'',
        key: str = '',
    ) -> RoutedResponse:
        """Send a request through a node, as its ingress does."""
        node = self.instances[address].node
        route = node.match(HOST, path)
        assert route is not None
        keys = [(HEADERS.api_key, key.encode())] if key else []
        permission = node.authenticate(keys, route)
        self.calls += 1
        now = asyncio.get_running_loop().time()
        request_id = f'request-{self.calls}'
        req = IngressRequest(
            request_id=request_id,
            method='POST' if body else 'GET',
            path=path,
            headers=[(HEADERS.request_id, request_id.encode())],
            first_chunk=body,
            is_whole=True,
            read_body=_no_body,
            deadline=now + min(timeout_s, route.timeout_s or timeout_s),
            arrived_at=now,
        )
        if permission is not None:
            add_account(req, permission, HEADERS.client_account)
        return await node.dispatch(node.route_request(req, route))

    def runs(self) -> Counter[str]:
        """Return the number of executions of each request, over all targets."""
        total: Counter[str] = Counter()
        for instance in self.instances.values():
            total.update(instance.script.runs)
        return total

    def send_heartbeat(
        self, instance: MeshInstance, *, is_draining: bool = False
    ) -> None:
        """Send one heartbeat of a target to its local node."""
        instance.sequence += 1
        instance.node.lifecycle.record_heartbeat(
            heartbeat(instance, is_draining=is_draining)
        )

    async def _start(
        self,
        identity: Identity,
        service: str,
        script: TargetScript,
        version: str = '',
    ) -> MeshInstance:
        log = PartitionableLog(self.log)
        rng = random.Random(self.rng.getrandbits(64))
        node = MeshNode(
            identity=identity,
            settings=MeshSettings(
                caller_address=None,
                caller_service=service,
                seeds=(),
                config_stream=OPERATOR_STREAM,
                config_key=CONFIG_KEY,
                directory_stream=DIRECTORY_STREAM,
                departures_stream=DEPARTURES_STREAM,
                retry_limits=self.limits,
                termination_grace_s=6,
                link_mbps=self.link_mbps,
                rollouts=self.rollouts,
                revoke_s=self.revoke_s,
                balances_by_cost=self.balances_by_cost,
            ),
            network=MemoryNetwork(self.simulator, identity.address),
            log=log,
            profile=PROFILES['convergence'],
            header_names=HEADERS,
            parse=ConfigDecoder().parse,
            open_target=lambda _, address: ScriptedTarget(address, script, rng),
            rng=rng,
        )
        instance = MeshInstance(identity, service, log, node, script)
        instance.instance = f'i-{identity.address}'
        instance.born_ms = identity.generation
        instance.version = version
        self.instances[identity.address] = instance
        await node.start()
        loop = asyncio.get_running_loop()
        instance.heartbeat_task = loop.create_task(
            self._send_heartbeats(instance)
        )
        return instance

    async def _send_heartbeats(self, instance: MeshInstance) -> None:
        while True:
            if instance.script.is_up:
                self.send_heartbeat(instance)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


def _is_cancelling() -> bool:
    task = asyncio.current_task()
    return task is not None and bool(task.cancelling())


def heartbeat(
    instance: MeshInstance, *, is_draining: bool = False
) -> Heartbeat:
    """Build a heartbeat of an instance's target from its current state."""
    return Heartbeat(
        instance=instance.instance,
        born_ms=instance.born_ms,
        sequence=instance.sequence,
        service=instance.service,
        address=f'{instance.identity.address}-target',
        slots=instance.script.slots,
        is_draining=is_draining,
        cold_s=0,
        version=instance.version,
    )


def config_document(
    version: int = 1,
    service: str = 'desk',
    **routes: Mapping[str, Any],
) -> dict[str, Any]:
    """Build a configuration document with a read and a write route.

    Args:
        version: Version of the configuration.
        service: Service of all routes.
        routes: Further routes by name, or changes to 'read' and 'write'.
    """
    base = {
        'host': HOST,
        'timeout_s': 1.0,
        'target_latency_s': 0.3,
        'max_attempts': 2,
        'service': service,
    }
    merged: dict[str, dict[str, Any]] = {
        'read': {
            **base,
            'path_prefix': '/read/',
            'kind': 'idempotent',
            'priority': 2,
        },
        'write': {
            **base,
            'path_prefix': '/write/',
            'kind': 'non_idempotent',
            'priority': 1,
        },
    }
    for name, changes in routes.items():
        merged[name] = {**merged.get(name, base), **changes}
    return {
        'version': f'r{version}',
        'routes': merged,
        'services': {service: {'max_connections': 100}},
        'limits': {},
    }


def target_scripts(fleet: MeshFleet, service: str) -> Sequence[TargetScript]:
    """Return the scripts of a service's targets in order of their start."""
    return [
        instance.script
        for instance in fleet.instances.values()
        if instance.service == service
    ]


async def _no_body() -> http1.BodyPart:
    return http1.BodyPart(b'', end=True)
