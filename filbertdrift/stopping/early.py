"""Signals that arrive before the node handles them: it serves nothing yet."""

import os
import signal
from types import FrameType

from filbertdrift.errors import EXIT_OK


def handle_early_signals() -> None:
    """Ignore SIGHUP, and exit at once on SIGTERM or SIGINT."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _exit)


def _exit(number: int, frame: FrameType | None) -> None:
    # An exception might be handled by whatever is being imported.
    os._exit(EXIT_OK)
