"""One node process with a store that does not listen."""

import itertools
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from filbertdrift.platform.settings import SETTINGS_VARIABLE

EVENT_TIMEOUT_S = 30
SETTINGS = """
node_name = "n-1"
ip = "{ip}"
zone = "a"
internal_port_range = [7000, 7009]
bounds = ["grace_s={grace_s}"]
app_addr = "{ip}:8080"
service = "desk"
platform = {{ address = "{ip}:1" }}
[listen]
outbound = "{ip}:7100"
ready = "{ip}:7101"
control = "{ip}:7102"
"""
# Each process has an address of its own: the port for metrics is fixed.
_HOSTS = itertools.count(1)


@dataclass(frozen=True)
class NodeProcess:
    """A node process and its log.

    Args:
        process: The process.
        log_path: The file that it logs to.
    """

    process: subprocess.Popen[bytes]
    log_path: Path

    def lines(self) -> Sequence[dict[str, Any]]:
        """Return the lines of the log."""
        text = self.log_path.read_text()
        return [json.loads(line) for line in text.splitlines()]

    def wait_for_event(self, event: str) -> None:
        """Wait until an event is in the log.

        Raises:
            AssertionError: The process ended before, or takes too long.
        """
        until = time.monotonic() + EVENT_TIMEOUT_S
        wanted = f'"event":"{event}"'
        while wanted not in self.log_path.read_text():
            if self.process.poll() is not None or time.monotonic() > until:
                code = self.process.returncode
                raise AssertionError(f'not {event}, exit code {code}')
            time.sleep(0.05)


@contextmanager
def node_process(
    command: Sequence[str], grace_s: float
) -> Iterator[NodeProcess]:
    """Start a node process, and kill it at the end if it still runs.

    Args:
        command: The module that Python runs, and its arguments.
        grace_s: The grace in its settings.
    """
    pid = os.getpid()
    ip = f'127.{20 + pid % 200}.{pid // 200 % 250}.{next(_HOSTS)}'
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.toml'
        path.write_text(SETTINGS.format(ip=ip, grace_s=grace_s))
        log_path = Path(folder) / 'log'
        with log_path.open('wb') as log:
            process = subprocess.Popen(  # noqa: S603
                (sys.executable, '-m', *command),
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                stdout=log,
            )
        try:
            yield NodeProcess(process, log_path)
        finally:
            process.kill()
            process.wait()
