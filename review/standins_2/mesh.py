"""A small deployment on loopback: store, nodes, targets and clients.

The nodes run as processes of their own, with the command of the deploy file.
The store, the targets and the clients are stand-ins in this process.
"""

# flake8: noqa: WPS202, WPS226, WPS230, WPS432, WPS462, WPS221, WPS204
import asyncio
import contextlib
import os
import shlex
import shutil
import signal
import tempfile
import time
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from filbertdrift import http1
from filbertdrift.errors import FilbertdriftError
from standins.platform_store import PlatformStore
from standins.platform_target import PlatformTarget, RunLog

SERVICE = 'desk'
HOST = 'desk.example'
ZONES = ('zone-a', 'zone-b', 'zone-c')
PEER_PORT = 7380
READY_PORT = 7401
CONTROL_PORT = 7402
CALLER_PORT = 7403
TARGET_PORT = 7404
STORE_PORT = 7407
# Concurrent runs use separate loopback networks.
FIRST_NETWORK = 16
NETWORKS = 200
NETWORK = f'127.{FIRST_NETWORK + os.getpid() % NETWORKS}.7'
STORE_ADDRESS = f'{NETWORK}.250:{STORE_PORT}'
ROOT = Path(__file__).resolve().parents[2]
# How long a target serves after its departure was acknowledged.
DRAIN_S = 2.6
READY_POLL_S = 0.1


@dataclass(frozen=True)
class Request:
    """A request of a client, on a connection of its own.

    Args:
        request_id: Its id.
        path: Its path.
        key: The key of the client's account, empty for none.
        body: Its body, empty for a GET.
        deadline_s: When the client gives up.
    """

    request_id: str
    path: str
    key: str = ''
    body: bytes = b''
    deadline_s: float = 2.0

    def encode(self) -> bytes:
        """Return the request as HTTP/1.1."""
        headers = [
            (b'host', HOST.encode()),
            (b'attempt-id', self.request_id.encode()),
            (b'deadline-ms', b'%d' % int(self.deadline_s * 1000)),
            (b'connection', b'close'),
        ]
        if self.key:
            headers.append((b'api-key', self.key.encode()))
        if self.body:
            headers.append((b'content-length', b'%d' % len(self.body)))
        method = 'POST' if self.body else 'GET'
        head = http1.encode_request_head(method, self.path, headers)
        return head + self.body


@dataclass(frozen=True)
class Answer:
    """What a client got for a request.

    Args:
        request_id: The id of the request.
        node: The name of the node that was asked.
        sent_at: When it was sent, on the monotonic clock.
        ended_at: When it ended.
        status: The status of the answer, 0 for none.
    """

    request_id: str
    node: str
    sent_at: float
    ended_at: float
    status: int


@dataclass(eq=False)
class Machine:
    """One machine: a target and a node process beside it."""

    number: int
    ip: str
    zone: str
    target: PlatformTarget
    process: asyncio.subprocess.Process | None = None

    @property
    def name(self) -> str:
        """Return the name of the node."""
        return f'sidecar-{self.number}'


@dataclass
class Mesh:
    """All machines, their store, and what was observed of them.

    Args:
        bounds: The bounds in the settings.
    """

    bounds: Sequence[str]
    log: RunLog = field(default_factory=RunLog)
    answers: list[Answer] = field(default_factory=list)
    events: list[str] = field(default_factory=list)
    machines: list[Machine] = field(default_factory=list)
    added: int = 0

    def __post_init__(self) -> None:
        """Create the store; nothing runs yet."""
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.started_at = time.monotonic()
        self.store = PlatformStore(STORE_ADDRESS)
        self._started: list[Machine] = []
        self._calls: set[asyncio.Task[None]] = set()
        deploy = (ROOT / 'deploy/system.toml').read_text('utf-8')
        command = tomllib.loads(deploy)['roles']['node']['run']
        self._command = shlex.split(command)

    def note(self, event: str) -> None:
        """Record an event, with the time since the start."""
        self.events.append(self._stamp(time.monotonic(), event))

    async def start(self, document: dict[str, Any], count: int) -> None:
        """Start the store with a configuration, then some machines."""
        await self.store.start()
        await self.store.publish(document)
        await self.add_machines(count)

    async def add_machines(self, count: int) -> None:
        """Add machines at new addresses."""
        numbers = range(self.added, self.added + count)
        machines = [self._build_machine(number) for number in numbers]
        self.added += count
        self._started += machines
        for machine in machines:
            await machine.target.start()
        await asyncio.gather(*map(self.start_node, machines))
        self.machines += machines

    async def remove_machine(self, machine: Machine) -> None:
        """Remove a machine as planned: its target ends, then its node."""
        await machine.target.leave()
        await asyncio.sleep(DRAIN_S)
        await machine.target.leave_unannounced()
        machine.target.crash()
        if machine.process is not None:
            machine.process.terminate()
            await machine.process.wait()

    async def start_node(self, machine: Machine) -> None:
        """Start the node process of a machine."""
        path = self.folder / f'{machine.number}.toml'
        path.write_text(self._settings(machine), 'utf-8')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['FILBERTDRIFT_NODE_FILE'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with (self.folder / f'{machine.number}.log').open('ab') as log:
            machine.process = await asyncio.create_subprocess_exec(
                *self._command,
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )

    async def kill_nodes(self) -> None:
        """Kill all node processes at the same moment."""
        for machine in self.machines:
            _signal(machine, signal.SIGKILL)
        await asyncio.gather(*map(_wait, self.machines))

    async def start_nodes(self) -> None:
        """Start the node processes of all machines."""
        await asyncio.gather(*map(self.start_node, self.machines))

    async def wait_until_ready(self, limit_s: float) -> None:
        """Wait until all nodes say that they are ready.

        Raises:
            TimeoutError: One does not.
        """
        async with asyncio.timeout(limit_s):
            while True:
                ready = await asyncio.gather(*map(is_ready, self.machines))
                if all(ready):
                    return
                await asyncio.sleep(READY_POLL_S)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for call in list(self._calls):
            call.cancel()
        for machine in self._started:
            _signal(machine, signal.SIGCONT)
            _signal(machine, signal.SIGKILL)
            machine.target.crash()
        await asyncio.gather(*map(_wait, self._started))
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def send(self, machine: Machine, request: Request) -> None:
        """Send a request to a node, as a client on its machine."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._send(machine, request))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def record(self) -> list[str]:
        """Return what was sent, answered and run, in this order."""
        lines = list(self.events)
        for answer in self.answers:
            name = answer.request_id
            sent = f'{name} sent to {answer.node}'
            ended = f'{name} answered with {answer.status or "nothing"}'
            lines.append(self._stamp(answer.sent_at, sent))
            lines.append(self._stamp(answer.ended_at, ended))
        for request_id, works in self.log.work.items():
            for work in works:
                run = f'{request_id} run by {work.owner} {work.instance}'
                lines.append(self._stamp(work.since, run))
        return sorted(lines)

    def _stamp(self, at: float, event: str) -> str:
        return f'{at - self.started_at:9.4f} {event}'

    async def _send(self, machine: Machine, request: Request) -> None:
        sent_at = time.monotonic()
        status = 0
        with contextlib.suppress(OSError, TimeoutError, FilbertdriftError):
            async with asyncio.timeout(request.deadline_s):
                status = await exchange((machine.ip, CALLER_PORT), request)
        self.answers.append(
            Answer(
                request.request_id,
                machine.name,
                sent_at,
                time.monotonic(),
                status,
            )
        )

    def _build_machine(self, number: int) -> Machine:
        ip = f'{NETWORK}.{number + 1}'
        target = PlatformTarget(
            (ip, TARGET_PORT),
            f'{ip}:{TARGET_PORT}',
            (ip, CONTROL_PORT),
            SERVICE,
            self.log,
            f'target-{number}',
        )
        return Machine(number, ip, ZONES[number % len(ZONES)], target)

    def _settings(self, machine: Machine) -> str:
        ip = machine.ip
        bounds = ','.join(f'"{bound}"' for bound in self.bounds)
        return f"""
node_name = "{machine.name}"
ip = "{ip}"
zone = "{machine.zone}"
region = "one"
internal_port_range = [{PEER_PORT},{PEER_PORT + 15}]
seeds = []
heartbeat_s = 1.5
bounds = [{bounds}]
app_addr = "{ip}:{TARGET_PORT}"
service = "{SERVICE}"
[listen]
outbound = "{ip}:{CALLER_PORT}"
ready = "{ip}:{READY_PORT}"
control = "{ip}:{CONTROL_PORT}"
[limits]
link_mbps = 1000.0
[platform]
address = "{STORE_ADDRESS}"
"""


async def exchange(address: tuple[str, int], request: Request) -> int:
    """Send a request on a new connection; return the status of its answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request.encode())
        responses = http1.ResponseReader(reader, 'node')
        head = await responses.head()
        end = False
        while not end:
            part = await responses.part()
            end = part.end
    finally:
        writer.close()
    return head.status


async def is_ready(machine: Machine) -> bool:
    """Ask a node whether it is ready, as the platform does."""
    request = Request('ready', '/ready')
    try:
        async with asyncio.timeout(1):
            status = await exchange((machine.ip, READY_PORT), request)
    except (OSError, TimeoutError, FilbertdriftError):
        return False
    return status == 200


def _signal(machine: Machine, number: int) -> None:
    process = machine.process
    if process is not None and process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)


async def _wait(machine: Machine) -> None:
    if machine.process is not None:
        await machine.process.wait()
