"""Benchmark of the control plane at growing numbers of nodes.

Real nodes run on virtual time, so convergence, bytes and calls of the log are
exact and repeatable; processor time and memory are measured on this machine.
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
SERVICES_AT_SIZE = 89
NODES_AT_SIZE = 970
SETTLE_S = 20.0
CONFIG_KINDS = ('ConfigNotice', 'PullConfig', 'ConfigDelta')
MEMBER_KINDS = ('MemberNotice', 'SyncMembers', 'MembersDelta')
IDLE_S = 30.0
CHANGES = 20
CHANGE_INTERVAL_S = 5.0
RESTARTS = 6
EVENTS_PER_RESTART = 2
DATAGRAM_HEAD_BYTES = 28
NEAR_DELAY_S = 0.0005
FAR_DELAY_S = 0.02
DATAGRAMS = (
    'Ping',
    'Ack',
    'PingRequest',
    'ConfigNotice',
    'MemberNotice',
    'CrashNotice',
)
CONTROL = (
    *DATAGRAMS,
    'PullConfig',
    'ConfigDelta',
    'SyncMembers',
    'MembersDelta',
    'KeepAlive',
)


@dataclass(slots=True)
class ControlReport:
    """What the control plane cost and how fast it was."""

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
        nodes: Numbers of nodes, spread over six domains in two regions.
        profile: The settings profile.
        seed: Decides everything that is random.

    Returns:
        A report for each number.
    """
    logger.remove()
    return [run_virtual(_Bench(count, profile, seed).run()) for count in nodes]


def bench_profiles(
    nodes: int = 150,
    seed: int = 1,
) -> list[ControlReport]:
    """Measure both profiles and steps between them at one size."""
    logger.remove()
    fast, lean = PROFILES['convergence'], PROFILES['bytes']
    steps = {
        'convergence': fast,
        'fanout 3': _step(1.0, 1.0, 3, pushes=True),
        'fanout 2': _step(1.0, 2.0, 2, pushes=True),
        'no push': _step(1.0, 2.0, 3, pushes=False),
        'slow heartbeat': _step(2.0, 4.0, 3, pushes=True),
        'bytes': lean,
    }
    return [
        run_virtual(_Bench(nodes, name, seed, step).run())
        for name, step in steps.items()
    ]


def _step(
    heartbeat_s: float,
    domain_ping_s: float,
    fanout: int,
    *,
    pushes: bool,
) -> Profile:
    return Profile(heartbeat_s, domain_ping_s, fanout, 1, pushes)


class _Bench:
    """One measurement at one number of nodes."""

    def __init__(
        self,
        nodes: int,
        name: str,
        seed: int,
        profile: Profile | None = None,
    ) -> None:
        self._nodes = nodes
        self._fleet = Fleet(seed, profile or name)
        self._fleet.fabric.delay_s = _delay
        self._report = ControlReport(nodes, name, seed)
        services = max(SERVICES_AT_SIZE * nodes // NODES_AT_SIZE, 2)
        self._services = [f'service-{number}' for number in range(services)]

    async def run(self) -> ControlReport:
        """Start the fleet and measure."""
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
        before = self._sent()
        messages = self._messages()
        reads, appends = log.counters.reads, log.counters.appends
        started = time.process_time()
        await asyncio.sleep(IDLE_S)
        cpu_s = time.process_time() - started
        share = self._nodes * IDLE_S
        sent = self._sent() - before
        count = self._messages() - messages
        report.idle_bytes_by_kind = dict(sent)
        report.idle_bytes_per_node_s = _on_wire(sent, count) / share
        report.idle_messages_per_node_s = sum(count.values()) / share
        report.idle_cpu_percent_of_core = 100 * cpu_s / share
        report.log_reads_per_s = (log.counters.reads - reads) / IDLE_S
        report.log_appends_per_s = (log.counters.appends - appends) / IDLE_S

    async def _measure_changes(self) -> None:
        report, fleet = self._report, self._fleet
        times: list[float] = []
        before, messages = self._sent(), self._messages()
        reads = fleet.log.counters.reads
        for number in range(CHANGES):
            times.extend(await self._change(number))
        span_s = CHANGES * CHANGE_INTERVAL_S
        sent = _on_wire(
            self._sent() - before,
            self._messages() - messages,
            CONFIG_KINDS,
        )
        report.change_bytes_per_node = sent / self._nodes / CHANGES
        idle_reads = report.log_reads_per_s * span_s
        report.log_reads_per_change = (
            fleet.log.counters.reads - reads - idle_reads
        ) / CHANGES
        times.sort()
        report.convergence_median_s = statistics.median(times)
        report.convergence_tail_s = times[int(len(times) * 0.99)]
        report.convergence_worst_s = times[-1]

    async def _change(self, number: int) -> list[float]:
        fleet, loop = self._fleet, asyncio.get_running_loop()
        service = self._services[number % len(self._services)]
        began = loop.time()
        times: list[float] = []
        wanted = fleet.nodes[0].replica.state.offset + 1
        adopts = {}
        for node in fleet.nodes:
            adopts[node] = node.replica.on_adopt
            node.replica.on_adopt = _timed(adopts[node], times, began, wanted)
        text = _service_file(service, 1001 + number)
        record = config_record(
            f'change-{number}',
            {f'10-{service}.ini': text},
            wanted,
        )
        await fleet.log.append(CONFIG_STREAM, encode(record))
        await asyncio.sleep(began + CHANGE_INTERVAL_S - loop.time())
        for node, adopt in adopts.items():
            node.replica.on_adopt = adopt
        missing = self._nodes - len(times)
        return times + [CHANGE_INTERVAL_S] * missing

    async def _measure_endpoint_events(self) -> None:
        fleet = self._fleet
        before, messages = self._sent(), self._messages()
        for number in range(RESTARTS):
            address = list(fleet.instances)[-1 - number]
            instance = fleet.instances[address]
            instance.node.withdraw()
            await asyncio.sleep(CHANGE_INTERVAL_S)
        sent = _on_wire(
            self._sent() - before,
            self._messages() - messages,
            MEMBER_KINDS,
        )
        events = RESTARTS * EVENTS_PER_RESTART
        self._report.endpoint_event_bytes_per_node = sent / self._nodes / events

    def _sent(self) -> Counter[str]:
        total: Counter[str] = Counter()
        for node in self._fleet.nodes:
            total.update(node.network.counters.sent_bytes)
        return total

    def _messages(self) -> Counter[str]:
        total: Counter[str] = Counter()
        for node in self._fleet.nodes:
            total.update(node.network.counters.sent_messages)
        return total


def _on_wire(
    sent: Counter[str],
    messages: Counter[str],
    kinds: Sequence[str] = CONTROL,
) -> int:
    heads = sum(messages[kind] for kind in kinds) * DATAGRAM_HEAD_BYTES
    return sum(sent[kind] for kind in kinds) + heads


def _timed(adopt, times, began, wanted):  # type: ignore[no-untyped-def]
    def note(state):  # type: ignore[no-untyped-def]
        if state.offset >= wanted:
            times.append(asyncio.get_running_loop().time() - began)
        adopt(state)

    return note


async def _polling_tail_s(nodes: int) -> float:
    """Return the 99th percentile if every node polled the log each second."""
    log, rng = MemoryLog(), Fleet(1).rng
    times = sorted(
        rng.random() + 2 * log.delay_s for _ in range(max(nodes, 100))
    )
    return times[int(len(times) * 0.99)]


def _delay(sender: str, address: str) -> float:
    is_near = sender.split('-')[0] == address.split('-')[0]
    return NEAR_DELAY_S if is_near else FAR_DELAY_S


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
