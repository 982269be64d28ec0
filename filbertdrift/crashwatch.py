"""Detects the crashes of the local target, each of them once."""

import asyncio
from collections.abc import Hashable, Sequence
from dataclasses import dataclass

from filbertdrift.crashes import CrashLedger
from filbertdrift.target import Exchange, Target

LONG_AGO = float('-inf')


@dataclass(frozen=True, slots=True)
class _Run:
    """A request that runs, and when its connection was established."""

    fingerprint: str
    connected_at: float


class CrashWatch:
    """Knows the requests that run, and records those that a crash ends.

    A crash breaks the connections of all of them. One that was established
    after the crash shows that the target was back, so if that breaks as well,
    it is a sign of another crash.

    Args:
        ledger: Records the crashes.
    """

    def __init__(self, ledger: CrashLedger) -> None:
        """Start without requests."""
        self._ledger = ledger
        self._runs: dict[Hashable, _Run] = {}
        self._crashed_at = LONG_AGO
        self._is_checking = False

    def began(self, key: Hashable, name: str, exchange: Exchange) -> None:
        """Record that a request begins to run.

        Args:
            key: Names the request here.
            name: Its fingerprint.
            exchange: Its exchange with the target.
        """
        self._runs[key] = _Run(name, exchange.connected_at)

    def ended(self, key: Hashable) -> None:
        """Record that a request runs no more, if it did."""
        self._runs.pop(key, None)

    def is_running(self, key: Hashable) -> bool:
        """Return whether a request runs."""
        return key in self._runs

    def answered(self) -> None:
        """Record that the target has responded."""
        self._crashed_at = LONG_AGO

    def suspect(self, key: Hashable) -> Sequence[str]:
        """Return the requests that a crash has ended, if there may be one.

        A call of `confirm` has to follow if there are any.

        Args:
            key: Names a request whose connection broke.

        Returns:
            The fingerprints of all that run; none while a check goes on, and
            for a connection that a crash which is known has broken.
        """
        run = self._runs.get(key)
        if run is None or self._is_checking:
            return ()
        if run.connected_at <= self._crashed_at:
            return ()
        self._is_checking = True
        return [each.fingerprint for each in self._runs.values()]

    async def confirm(self, names: Sequence[str], target: Target) -> bool:
        """Record a crash if the target is unreachable.

        Args:
            names: The fingerprints that `suspect` returned.
            target: The target.

        Returns:
            Whether there was a crash.
        """
        try:
            is_up = await target.is_up()
        finally:
            self._is_checking = False
        if not is_up:
            self._crashed_at = asyncio.get_running_loop().time()
            self._ledger.record_crash(names)
        return not is_up
