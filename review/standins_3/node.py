"""A machine: the node process of the deploy file and its settings."""

import asyncio
import os
import signal
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from review.standins_3.http import read_message

ROOT = Path(__file__).resolve().parents[2]
PEER_PORT = 7380
LAST_PEER_PORT = 7395
READY_PORT = 8141
CONTROL_PORT = 8144
APP_PORT = 8145
INBOUND_PORT = 8146
OUTBOUND_PORT = 8147
READY_POLL_S = 0.1
READY_TIMEOUT_S = 1.0
OK = 200
ZONES = ('nordkyst-a', 'nordkyst-b', 'nordkyst-c')

SETTINGS = """
node_name = "{name}"
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{zone}"
region = "nordkyst"
internal_port_range = [{peer_port},{last_peer_port}]
seeds = []
bootstrap = true
heartbeat_s = 1.5
contracts = [{contracts}]
bounds = [{bounds}]
app_addr = "{ip}:{app_port}"
service = "{service}"
[zones]
nordkyst-a = "nordkyst"
nordkyst-b = "nordkyst"
nordkyst-c = "nordkyst"
[listen]
inbound = "{ip}:{inbound_port}"
outbound = "{ip}:{outbound_port}"
ready = "{ip}:{ready_port}"
control = "{ip}:{control_port}"
[limits]
cpu_share = 0.86
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 100.0
[platform]
address = "{store}"
form = "log"
"""
CONTRACTS = ('base', 'drain', 'config', 'cost', 'retry', 'recover', 'platform')


@dataclass(frozen=True, slots=True)
class Deployment:
    """What all machines of a deployment have in common.

    Args:
        network: The first three numbers of its loopback addresses.
        store: The address of the store.
        folder: Folder for settings and logs.
        bounds: The figures of the rules.
        contracts: The parts of the rules in force beside CONTRACTS.
    """

    network: str
    store: str
    folder: Path
    bounds: Sequence[str]
    contracts: Sequence[str] = ()


class Machine:
    """A sidecar machine, whose address is a loopback address.

    Args:
        deployment: The deployment.
        number: Its number, from 1 on, the last part of its address.
        service: The service of its server.
    """

    def __init__(
        self, deployment: Deployment, number: int, service: str
    ) -> None:
        """Write the settings; no process runs."""
        self.ip = f'{deployment.network}.{number}'
        self.service = service
        self.process: asyncio.subprocess.Process | None = None
        self._path = deployment.folder / f'{self.ip}.toml'
        self._log_path = deployment.folder / f'{self.ip}.log'
        settings = SETTINGS.format(
            name=f'sidecar-{number}',
            ip=self.ip,
            zone=ZONES[number % len(ZONES)],
            peer_port=PEER_PORT,
            last_peer_port=LAST_PEER_PORT,
            contracts=_quote([*CONTRACTS, *deployment.contracts]),
            bounds=_quote(deployment.bounds),
            app_port=APP_PORT,
            service=service,
            inbound_port=INBOUND_PORT,
            outbound_port=OUTBOUND_PORT,
            ready_port=READY_PORT,
            control_port=CONTROL_PORT,
            store=deployment.store,
        )
        self._path.write_text(settings, 'utf-8')

    async def start(self) -> None:
        """Start the process with the run line of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text('utf-8'))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['FILBERTDRIFT_NODE_FILE'] = str(self._path)
        with self._log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy['roles']['node']['run'].split(' '),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=environment,
            )

    async def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the node responds to the readiness check with 200."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                return await self._check_ready() == OK
        except (OSError, EOFError, TimeoutError):
            return False

    async def _check_ready(self) -> int:
        reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
        try:
            writer.write(b'GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n')
            return (await read_message(reader)).status
        finally:
            writer.close()


async def wait_until_ready(machines: Sequence[Machine], limit_s: float) -> bool:
    """Return whether all nodes are ready within a time."""
    loop = asyncio.get_running_loop()
    until = loop.time() + limit_s
    while loop.time() < until:
        states = await asyncio.gather(
            *(machine.is_ready() for machine in machines)
        )
        if all(states):
            return True
        await asyncio.sleep(READY_POLL_S)
    return False


def _quote(texts: Sequence[str]) -> str:
    return ','.join(f'"{text}"' for text in texts)
