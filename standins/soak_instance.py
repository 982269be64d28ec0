"""One instance of a soak test: a node process, its target and proxies."""

import asyncio
import contextlib
import os
import random
import signal
import sys
from pathlib import Path

from standins.cutting_proxy import Fault, FaultProxy
from standins.narrow_daemon import LINK_PORT_OFFSET
from standins.platform_target import PlatformTarget, RunLog
from standins.soak_client import SoakClient

SERVICE = 'desk'
PEER_PORT = 7380
READY_PORT = 7401
CONTROL_PORT = 7402
CALLER_PORT = 7403
TARGET_PORT = 7404
TARGET_PROXY_PORT = 7405
STORE_PROXY_PORT = 7406
GRACE_S = 6.0
# Narrow enough for nodes to pace the bodies of uploads.
LINK_MBPS = 6
# Bytes per second of a megabit per second.
BYTES_PER_S = 125_000
LIMITS_PER_S = (0.5, 2, 6, 20)
LIMIT_DURATION_S = (4, 8)

# Concurrent soak tests use separate loopback networks, from 127.10.0 up.
FIRST_NETWORK = 10
NETWORKS = 200
NETWORK = f'127.{FIRST_NETWORK + os.getpid() % NETWORKS}.0'


class SoakInstance:
    """One instance: a node process, its target and three fault proxies.

    The node reaches its target and the store through the proxies.

    Args:
        number: Number of the instance, which determines its address.
        folder: Folder of its settings and its log.
        store: Host and port of the store.
        log: Record of what targets run.
        daemon: Arguments to Python that run the node.
    """

    def __init__(
        self,
        number: int,
        folder: Path,
        store: tuple[str, int],
        log: RunLog,
        daemon: list[str],
    ) -> None:
        self.ip = f'{NETWORK}.{number + 1}'
        self.name = f'node-{number}'
        self.zone = f'zone-{number % 3}'
        self.process: asyncio.subprocess.Process | None = None
        self.target_proxy = FaultProxy(
            (self.ip, TARGET_PROXY_PORT),
            (self.ip, TARGET_PORT),
        )
        self.store_proxy = FaultProxy((self.ip, STORE_PROXY_PORT), store)
        # The link from the other nodes, if their daemon uses it.
        self.link_proxy = FaultProxy(
            (self.ip, PEER_PORT + LINK_PORT_OFFSET),
            (self.ip, PEER_PORT),
            LINK_MBPS * BYTES_PER_S,
        )
        self.target = PlatformTarget(
            (self.ip, TARGET_PORT),
            f'{self.ip}:{TARGET_PROXY_PORT}',
            (self.ip, CONTROL_PORT),
            SERVICE,
            log,
            self.name,
        )
        self._start_lock = asyncio.Lock()
        self.client = SoakClient((self.ip, CALLER_PORT))
        self._daemon = daemon
        self._settings = folder / f'{self.name}.toml'
        self._log_path = folder / f'{self.name}.log'

    async def start(self) -> None:
        """Start proxies, target and node."""
        self._settings.write_text(self._settings_text(), 'utf-8')
        await self.target_proxy.start()
        await self.store_proxy.start()
        await self.link_proxy.start()
        await self.target.start()
        await self.start_node()

    async def restart_node(
        self, ended: asyncio.subprocess.Process | None
    ) -> None:
        """Start the node process after one that has ended, once."""
        async with self._start_lock:
            if self.process is ended:
                await self.start_node()

    async def start_node(self) -> None:
        """Start the node process."""
        environment = {
            **os.environ,
            'FILBERTDRIFT_NODE_FILE': str(self._settings),
        }
        with self._log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._daemon,
                stdout=log,
                stderr=log,
                env=environment,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the node process if it runs."""
        with contextlib.suppress(ProcessLookupError):
            if self.process and self.process.returncode is None:
                self.process.send_signal(number)

    async def wait(self, limit_s: float) -> bool:
        """Wait for the node process to exit.

        Args:
            limit_s: Longest time to wait.

        Returns:
            Whether it exited within the limit.
        """
        if self.process is None:
            return True
        try:
            async with asyncio.timeout(limit_s):
                await self.process.wait()
        except TimeoutError:
            return False
        return True

    async def state_limits(self, rng: random.Random) -> None:
        """Let the target state a limit, which falls and then ends."""
        if self.target.limit_per_s is not None:
            return
        limit_per_s = rng.choice(LIMITS_PER_S)
        for stated_per_s in (limit_per_s, limit_per_s / 2):
            self.target.state_limit(stated_per_s)
            await asyncio.sleep(rng.uniform(*LIMIT_DURATION_S))
            if self.target.limit_per_s is None:
                return
        self.target.state_limit(None)

    def clear_faults(self) -> None:
        """End the faults of target, proxies and process."""
        self.target.state_limit(None)
        self.target_proxy.play(Fault.NONE)
        self.store_proxy.play(Fault.NONE)
        self.signal(signal.SIGCONT)

    async def close(self) -> None:
        """Kill the node process and stop target and proxies."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.wait(5)
        self.client.close()
        self.target.crash()
        self.target_proxy.close()
        self.store_proxy.close()
        self.link_proxy.close()

    def _settings_text(self) -> str:
        return f"""
node_name = "{self.name}"
ip = "{self.ip}"
zone = "{self.zone}"
region = "one"
internal_port_range = [{PEER_PORT},{PEER_PORT + 8}]
bounds = ["grace_s={GRACE_S}","retry_budget_ratio=0.2","retry_budget_extra=60"]
app_addr = "{self.ip}:{TARGET_PROXY_PORT}"
service = "{SERVICE}"
[listen]
outbound = "{self.ip}:{CALLER_PORT}"
ready = "{self.ip}:{READY_PORT}"
control = "{self.ip}:{CONTROL_PORT}"
[limits]
link_mbps = {LINK_MBPS}
[platform]
address = "{self.ip}:{STORE_PROXY_PORT}"
"""
