"""Runs a case and turns its verdict into an exit code."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins.fleet import CannotRun, temporary_folder
from review.standins.record import Record, has_trouble

HELD = 0
BROKEN = 1
CANNOT_RUN = 2
LIMIT_S = 115.0

# Plays a case; returns what broke the rule, empty if it held.
Play = Callable[[Record, Path], Awaitable[str]]


def run_case(folder: str, play: Play) -> None:
    """Play a case and exit with its verdict.

    Args:
        folder: Folder of the case, which receives record.txt.
        play: Plays it.
    """
    with Record(Path(folder) / 'record.txt') as record:
        record.add('case', f'trouble: {has_trouble()}')
        try:
            verdict = asyncio.run(_play_in_time(play, record))
        except (
            CannotRun,
            OSError,
            TimeoutError,
            asyncio.CancelledError,
        ) as exc:
            record.add('verdict', f'cannot run: {exc!r}')
            sys.stdout.write(f'cannot run: {exc!r}\n')
            sys.exit(CANNOT_RUN)
        record.add('verdict', verdict or 'held')
    sys.stdout.write(f'{verdict or "held"}\n')
    sys.exit(BROKEN if verdict else HELD)


async def _play_in_time(play: Play, record: Record) -> str:
    task = asyncio.current_task()
    if task is not None:
        # What the case has started is ended first.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    with temporary_folder() as work_folder:
        async with asyncio.timeout(LIMIT_S):
            return await play(record, work_folder)
