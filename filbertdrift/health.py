"""Health of the local target: outcomes of requests first, then probes.

A probe costs the target time, and a health endpoint may lag or mislead. Hence
only the target's own node probes it, and only if no recent request has shown
its health. Several failures in a row take a target out of the selection, the
first success brings it back.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from loguru import logger

UNHEALTHY_AFTER_FAILURES = 3
DEFAULT_INTERVAL_S = 2.0
UNHEALTHY_INTERVAL_S = 0.5


@dataclass(slots=True)
class HealthCounters:
    """Probes of the target and changes of its health."""

    probes: int = 0
    failed_probes: int = 0
    left: int = 0
    returned: int = 0


class TargetHealth:
    """Monitors the health of the local target.

    Attributes:
        probe: Probes the target and returns whether it is healthy, None if
            it was not probed.
        on_change: Called with the new health when it changes.
        interval_s: Time between two probes.
        probe_when_healthy: Also probe a healthy target that gets no requests.
    """

    def __init__(self) -> None:
        """Create the monitor of a healthy target."""
        self.probe: Callable[[], Awaitable[bool | None]] = _assume_healthy
        self.on_change: Callable[[bool], None] = _ignore_change
        self.counters = HealthCounters()
        self.is_healthy = True
        self.interval_s = DEFAULT_INTERVAL_S
        self.probe_when_healthy = True
        self._consecutive_failures = 0
        self._observed_at = 0.0

    def reset(self) -> None:
        """Reset to healthy, for a newly announced target."""
        self.is_healthy = True
        self._consecutive_failures = 0
        self._observed_at = 0

    def record_success(self) -> None:
        """Record a request or probe to which the target responded."""
        self._observed_at = asyncio.get_running_loop().time()
        self._consecutive_failures = 0
        if not self.is_healthy:
            self._set_health(is_healthy=True)

    def record_failure(self) -> None:
        """Record a request or probe that the target did not complete."""
        self._observed_at = asyncio.get_running_loop().time()
        self._consecutive_failures += 1
        if (
            self.is_healthy
            and self._consecutive_failures >= UNHEALTHY_AFTER_FAILURES
        ):
            self._set_health(is_healthy=False)

    async def run(self) -> None:
        """Probe until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            interval_s = self.interval_s
            if not self.is_healthy:
                interval_s = min(UNHEALTHY_INTERVAL_S, interval_s)
            await asyncio.sleep(interval_s)
            was_recently_observed = loop.time() - self._observed_at < interval_s
            is_due = self.probe_when_healthy and not was_recently_observed
            if is_due or not self.is_healthy:
                await self._probe_once()

    async def _probe_once(self) -> None:
        observed_at = self._observed_at
        is_healthy = await self.probe()
        if is_healthy is None:
            return
        self.counters.probes += 1
        if not is_healthy:
            self.counters.failed_probes += 1
        if self._observed_at != observed_at:
            return
        if is_healthy:
            self.record_success()
        else:
            self.record_failure()

    def _set_health(self, *, is_healthy: bool) -> None:
        self.is_healthy = is_healthy
        if is_healthy:
            self.counters.returned += 1
        else:
            self.counters.left += 1
        logger.info('target is {}', 'healthy' if is_healthy else 'unhealthy')
        self.on_change(is_healthy)


async def _assume_healthy() -> bool:
    return True


def _ignore_change(is_healthy: bool) -> None:
    """Ignore a change."""
