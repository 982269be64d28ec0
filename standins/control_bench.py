"""Benchmark of the control plane by number of nodes.

The nodes run on a simulated network and on virtual time: convergence times,
bytes and log reads are exact and repeatable. CPU time and memory are those of
the machine that runs the benchmark.
"""

import asyncio
import gc
import resource
import statistics
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from loguru import logger

from filbertdrift.log import CONFIG_STREAM, MemoryLog
from filbertdrift.profile import PROFILES, Profile
from filbertdrift.wire import encode
from standins.fleet import Fleet, config_record, run_virtual

DOMAINS = ('r1-a', 'r1-b', 'r1-c', 'r2-a', 'r2-b', 'r2-c')
# The ratio of services to nodes is that of the mesh at full size.
FULL_SIZE_SERVICES = 89
FULL_SIZE_NODES = 970
SETTLE_S = 20.0
CONFIG_KINDS = ('ConfigNotice', 'PullConfig', 'ConfigDelta')
MEMBER_KINDS = ('MemberNotice', 'SyncMembers', 'MembersDelta')
IDLE_S = 30.0
CHANGES = 20
CHANGE_INTERVAL_S = 5.0
RESTARTS = 6
# A withdrawal and the next announcement.
EVENTS_PER_RESTART = 2
DATAGRAM_HEADER_BYTES = 28  # IPv4 and UDP
SAME_REGION_DELAY_S = 0.0005
CROSS_REGION_DELAY_S = 0.02
DATAGRAM_KINDS = (
    'Ping',
    'Ack',
    'PingRequest',
    'ConfigNotice',
    'MemberNotice',
    'CrashNotice',
)
CONTROL_KINDS = (
    *DATAGRAM_KINDS,
    'PullConfig',
    'ConfigDelta',
    'SyncMembers',
    'MembersDelta',
    'KeepAlive',
)


@dataclass(slots=True)
class ControlReport:
    """Cost and convergence time of the control plane.

    The fields `polling_...` are the baseline: each node polls the log once a
    second.
    """

    nodes: int
    profile: str
    seed: int
    convergence_median_s: float = 0.0
    convergence_tail_s: float = 0.0
    convergence_worst_s: float = 0.0
    idle_bytes_per_node_s: float = 0.0
    idle_messages_per_node_s: float = 0.0
    idle_cpu_percent_of_core: float = 0.0
    change_bytes_per_node: float = 0.0
    endpoint_event_bytes_per_node: float = 0.0
    log_reads_per_s: float = 0.0
    log_reads_per_change: float = 0.0
    log_appends_per_s: float = 0.0
    memory_kib_per_node: float = 0.0
    polling_log_reads_per_s: float = 0.0
    polling_convergence_tail_s: float = 0.0
    idle_bytes_by_kind: dict[str, int] = field(default_factory=dict)


def bench_control(
    nodes: Sequence[int] = (10, 50, 150),
    profile: str = 'convergence',
    seed: int = 1,
) -> list[ControlReport]:
    """Measure the control plane at several numbers of nodes.

    Args:
        nodes: Numbers of nodes, in six failure domains of two regions.
        profile: The control traffic profile.
        seed: Seed of all random numbers.

    Returns:
        A report for each number of nodes.
    """
    logger.remove()
    return [run_virtual(_Bench(count, profile, seed).run()) for count in nodes]


def bench_profiles(
    nodes: int = 150,
    seed: int = 1,
) -> list[ControlReport]:
    """Measure both profiles and intermediate ones.

    Args:
        nodes: Number of nodes.
        seed: Seed of all random numbers.

    Returns:
        A report for each profile.
    """
    logger.remove()
    fastest, cheapest = PROFILES['convergence'], PROFILES['bytes']
    profiles = {
        'convergence': fastest,
        'fanout 3': _intermediate_profile(1.0, 1.0, 3, pushes=True),
        'fanout 2': _intermediate_profile(1.0, 2.0, 2, pushes=True),
        'no push': _intermediate_profile(1.0, 2.0, 3, pushes=False),
        'slow heartbeat': _intermediate_profile(2.0, 4.0, 3, pushes=True),
        'bytes': cheapest,
    }
    return [
        run_virtual(_Bench(nodes, name, seed, each).run())
        for name, each in profiles.items()
    ]


def _intermediate_profile(
    heartbeat_s: float,
    domain_ping_s: float,
    fanout: int,
    *,
    pushes: bool,
) -> Profile:
    return Profile(heartbeat_s, domain_ping_s, fanout, 1, pushes)


class _Bench:
    """Measurement of one fleet with one profile."""

    def __init__(
        self,
        nodes: int,
        name: str,
        seed: int,
        profile: Profile | None = None,
    ) -> None:
        self._nodes = nodes
        self._fleet = Fleet(seed, profile or name)
        self._fleet.simulator.delay_s = _delay
        self._report = ControlReport(nodes, name, seed)
        services = max(FULL_SIZE_SERVICES * nodes // FULL_SIZE_NODES, 2)
        self._services = [f'service-{number}' for number in range(services)]

    async def run(self) -> ControlReport:
        """Start the fleet and measure it."""
        before_kib = _memory_kib()
        await self._start()
        report = self._report
        report.memory_kib_per_node = (_memory_kib() - before_kib) / self._nodes
        await self._measure_idle()
        await self._measure_changes()
        await self._measure_endpoint_events()
        report.polling_log_reads_per_s = float(self._nodes)
        report.polling_convergence_tail_s = await _polling_tail_s(self._nodes)
        return report

    async def _start(self) -> None:
        for number in range(self._nodes):
            domain = DOMAINS[number % len(DOMAINS)]
            service = self._services[number % len(self._services)]
            await self._fleet.add(domain, service, region=domain[:2])
        await asyncio.sleep(SETTLE_S)
        files = {'00-policies.ini': '[policy usual]\n'}
        for service in self._services:
            files[f'10-{service}.ini'] = _service_file(service, 1000)
        await self._fleet.publish(files)
        await asyncio.sleep(SETTLE_S)

    async def _measure_idle(self) -> None:
        report, log = self._report, self._fleet.log
        before = self._sent_bytes()
        messages_before = self._sent_messages()
        reads, appends = log.counters.reads, log.counters.appends
        started = time.process_time()
        await asyncio.sleep(IDLE_S)
        cpu_s = time.process_time() - started
        share = self._nodes * IDLE_S
        sent = self._sent_bytes() - before
        count = self._sent_messages() - messages_before
        report.idle_bytes_by_kind = dict(sent)
        report.idle_bytes_per_node_s = _wire_bytes(sent, count) / share
        report.idle_messages_per_node_s = sum(count.values()) / share
        report.idle_cpu_percent_of_core = 100 * cpu_s / share
        report.log_reads_per_s = (log.counters.reads - reads) / IDLE_S
        report.log_appends_per_s = (log.counters.appends - appends) / IDLE_S

    async def _measure_changes(self) -> None:
        report, fleet = self._report, self._fleet
        times: list[float] = []
        before, messages_before = self._sent_bytes(), self._sent_messages()
        reads = fleet.log.counters.reads
        for number in range(CHANGES):
            times.extend(await self._publish_change(number))
        duration_s = CHANGES * CHANGE_INTERVAL_S
        sent = _wire_bytes(
            self._sent_bytes() - before,
            self._sent_messages() - messages_before,
            CONFIG_KINDS,
        )
        report.change_bytes_per_node = sent / self._nodes / CHANGES
        idle_reads = report.log_reads_per_s * duration_s
        report.log_reads_per_change = (
            fleet.log.counters.reads - reads - idle_reads
        ) / CHANGES
        times.sort()
        report.convergence_median_s = statistics.median(times)
        report.convergence_tail_s = times[int(len(times) * 0.99)]
        report.convergence_worst_s = times[-1]

    async def _publish_change(self, number: int) -> list[float]:
        """Publish a change; return how long each node took to adopt it.

        A node that does not adopt it before the next change counts with
        CHANGE_INTERVAL_S.
        """
        fleet, loop = self._fleet, asyncio.get_running_loop()
        service = self._services[number % len(self._services)]
        started_at = loop.time()
        times: list[float] = []
        wanted = fleet.nodes[0].replica.state.offset + 1
        callbacks = {}
        for node in fleet.nodes:
            callbacks[node] = node.replica.on_adopt
            node.replica.on_adopt = _wrap_callback(
                callbacks[node], times, started_at, wanted
            )
        text = _service_file(service, 1001 + number)
        record = config_record(
            f'change-{number}',
            {f'10-{service}.ini': text},
            wanted,
        )
        await fleet.log.append(CONFIG_STREAM, encode(record))
        await asyncio.sleep(started_at + CHANGE_INTERVAL_S - loop.time())
        for node, callback in callbacks.items():
            node.replica.on_adopt = callback
        missing = self._nodes - len(times)
        return times + [CHANGE_INTERVAL_S] * missing

    async def _measure_endpoint_events(self) -> None:
        fleet = self._fleet
        before, messages_before = self._sent_bytes(), self._sent_messages()
        for number in range(RESTARTS):
            address = list(fleet.instances)[-1 - number]
            instance = fleet.instances[address]
            instance.node.withdraw()
            await asyncio.sleep(CHANGE_INTERVAL_S)
        sent = _wire_bytes(
            self._sent_bytes() - before,
            self._sent_messages() - messages_before,
            MEMBER_KINDS,
        )
        events = RESTARTS * EVENTS_PER_RESTART
        self._report.endpoint_event_bytes_per_node = sent / self._nodes / events

    def _sent_bytes(self) -> Counter[str]:
        total: Counter[str] = Counter()
        for node in self._fleet.nodes:
            total.update(node.network.counters.sent_bytes)
        return total

    def _sent_messages(self) -> Counter[str]:
        total: Counter[str] = Counter()
        for node in self._fleet.nodes:
            total.update(node.network.counters.sent_messages)
        return total


def _wire_bytes(
    sent: Counter[str],
    messages: Counter[str],
    kinds: Sequence[str] = CONTROL_KINDS,
) -> int:
    """Return the bytes of some kinds of messages with packet headers."""
    header_bytes = sum(messages[kind] for kind in kinds) * DATAGRAM_HEADER_BYTES
    return sum(sent[kind] for kind in kinds) + header_bytes


def _wrap_callback(callback, times, started_at, wanted):  # type: ignore[no-untyped-def]
    """Return a callback that also records when an offset is adopted."""

    def on_adopt(state):  # type: ignore[no-untyped-def]
        if state.offset >= wanted:
            times.append(asyncio.get_running_loop().time() - started_at)
        callback(state)

    return on_adopt


async def _polling_tail_s(nodes: int) -> float:
    """Return the 99th percentile of convergence with a poll each second."""
    log, rng = MemoryLog(), Fleet(1).rng
    times = sorted(
        rng.random() + 2 * log.delay_s for _ in range(max(nodes, 100))
    )
    return times[int(len(times) * 0.99)]


def _delay(sender: str, address: str) -> float:
    """Return the one-way delay between two nodes, by their regions."""
    is_same_region = sender.split('-')[0] == address.split('-')[0]
    return SAME_REGION_DELAY_S if is_same_region else CROSS_REGION_DELAY_S


def _service_file(service: str, timeout_ms: int) -> str:
    return (
        f'[targets {service}]\nservice = {service}\n'
        f'[policy {service}]\ntimeout_ms = {timeout_ms}\n'
        f'[route {service}-read]\npath = /{service}/*\nmethods = GET\n'
        f'targets = {service}\npolicy = usual\n'
        f'[route {service}-write]\npath = /{service}/*\nmethods = POST\n'
        f'targets = {service}\npolicy = {service}\n'
    )


def _memory_kib() -> int:
    gc.collect()
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
