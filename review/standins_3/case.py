"""What the scripts of all cases share: the start, the record and the end."""

import asyncio
import contextlib
import os
import shutil
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins_3.node import (
    APP_PORT,
    OUTBOUND_PORT,
    Deployment,
    Machine,
)
from review.standins_3.store import Store

HELD = 0
BROKEN = 1
NOT_RUN = 2
STORE_PORT = 8142
STORE_NUMBER = 250
LIMIT_S = 110


class NotRun(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to record.txt.

    Args:
        path: The file.
    """

    def __init__(self, path: Path) -> None:
        """Create the file."""
        self._began_at = time.monotonic()
        self._file = path.open('w', encoding='utf-8')

    def add(self, text: str, at: float | None = None) -> None:
        """Write one line with the time since the start in seconds."""
        moment = time.monotonic() if at is None else at
        self._file.write(f'{moment - self._began_at:8.3f}  {text}\n')

    def say(self, text: str) -> None:
        """Write one line, also to standard output."""
        self.add(text)
        sys.stdout.write(f'{text}\n')
        sys.stdout.flush()

    def close(self) -> None:
        """Write the rest."""
        self._file.close()


class Case:
    """One run of a case.

    Args:
        folder: The folder of the case, for its record.
        networks: The first three numbers of the loopback addresses to use, of
            which the first free ones are taken.
        bounds: The figures of the rules.
        contracts: The parts of the rules in force beside the usual ones.

    Attributes:
        has_trouble: Whether the disruption is played.
    """

    def __init__(
        self,
        folder: Path,
        networks: tuple[str, ...],
        bounds: tuple[str, ...],
        contracts: tuple[str, ...] = (),
    ) -> None:
        """Open the record; nothing is started."""
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record = Record(folder / 'record.txt')
        self.machines: list[Machine] = []
        network = _find_free(networks)
        self.store = Store(f'{network}.{STORE_NUMBER}', STORE_PORT)
        self.deployment = Deployment(
            network,
            self.store.address,
            Path(tempfile.mkdtemp(prefix='case-')),
            bounds,
            contracts,
        )

    def add_machine(self, service: str) -> Machine:
        """Return another machine; its process is not started."""
        machine = Machine(self.deployment, len(self.machines) + 1, service)
        self.machines.append(machine)
        return machine

    async def kill_all(self) -> None:
        """Kill all processes at once."""
        await asyncio.gather(*(machine.kill() for machine in self.machines))

    async def start_all(self) -> None:
        """Start all processes at once."""
        await asyncio.gather(*(machine.start() for machine in self.machines))

    async def end(self) -> None:
        """Kill all processes that were started, and remove their files."""
        await self.kill_all()
        shutil.rmtree(self.deployment.folder, ignore_errors=True)


def run_case(build: Callable[[], Case], play: 'Play') -> int:
    """Run a case, and return its exit code.

    Args:
        build: Returns the case.
        play: Plays it, and returns whether the rule held.
    """
    try:
        case = build()
    except NotRun as exc:
        sys.stderr.write(f'not run: {exc}\n')
        return NOT_RUN
    with contextlib.closing(case.record):
        return asyncio.run(_run(case, play))


async def _run(case: Case, play: 'Play') -> int:
    try:
        async with asyncio.timeout(LIMIT_S):
            await case.store.start()
            is_kept = await play(case)
    except (NotRun, OSError, TimeoutError) as exc:
        case.record.say(f'not run: {exc!r}')
        return NOT_RUN
    finally:
        await case.end()
    case.record.say('the rule held' if is_kept else 'the rule was broken')
    return HELD if is_kept else BROKEN


def _find_free(networks: tuple[str, ...]) -> str:
    """Return the first network whose addresses are free.

    Raises:
        NotRun: None is.
    """
    for network in networks:
        addresses = (
            (f'{network}.{STORE_NUMBER}', STORE_PORT),
            (f'{network}.1', APP_PORT),
            (f'{network}.1', OUTBOUND_PORT),
        )
        if all(_is_free(*address) for address in addresses):
            return network
    raise NotRun('no free loopback addresses')


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


Play = Callable[[Case], Awaitable[bool]]
