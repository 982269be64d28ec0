"""Health of the target beside a node: observed outcomes first, then probes.

A probe costs the target time and its health endpoint may lag or mislead. So
only the node beside a target probes it, and only while no request has shown
lately how it is. A target that fails several times in a row is taken out of
the choice; it comes back with the first sign of health.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from loguru import logger

FAILURES_TO_LEAVE = 3
DEFAULT_INTERVAL_S = 2.0
UNHEALTHY_INTERVAL_S = 0.5


@dataclass(slots=True)
class HealthCounters:
    """Probes and changes of the target's health."""

    probes: int = 0
    failed_probes: int = 0
    left: int = 0
    returned: int = 0


class TargetHealth:
    """Watches the target beside this node.

    Attributes:
        probe: Probes the target; tells whether it is well.
        on_change: Called with the new health when it changes.
        interval_s: Time between two probes.
        probe_when_healthy: Probe also a healthy target without requests.
    """

    def __init__(self) -> None:
        """Start healthy."""
        self.probe: Callable[[], Awaitable[bool]] = _always_well
        self.on_change: Callable[[bool], None] = _ignore_change
        self.counters = HealthCounters()
        self.is_healthy = True
        self.interval_s = DEFAULT_INTERVAL_S
        self.probe_when_healthy = True
        self._failures = 0
        self._observed_at = 0.0

    def reset(self) -> None:
        """Start over with a newly announced target."""
        self.is_healthy = True
        self._failures = 0
        self._observed_at = 0

    def record_success(self) -> None:
        """Note a request that the target answered."""
        self._observed_at = asyncio.get_running_loop().time()
        self._failures = 0
        if not self.is_healthy:
            self._change(is_healthy=True)

    def record_failure(self) -> None:
        """Note a request that the target broke off or did not take."""
        self._observed_at = asyncio.get_running_loop().time()
        self._failures += 1
        if self.is_healthy and self._failures >= FAILURES_TO_LEAVE:
            self._change(is_healthy=False)

    async def run(self) -> None:
        """Probe until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            interval_s = self.interval_s
            if not self.is_healthy:
                interval_s = min(UNHEALTHY_INTERVAL_S, interval_s)
            await asyncio.sleep(interval_s)
            was_observed = loop.time() - self._observed_at < interval_s
            is_due = self.probe_when_healthy and not was_observed
            if is_due or not self.is_healthy:
                await self._probe_once()

    async def _probe_once(self) -> None:
        observed_at = self._observed_at
        self.counters.probes += 1
        is_healthy = await self.probe()
        if not is_healthy:
            self.counters.failed_probes += 1
        if self._observed_at != observed_at:
            return
        if is_healthy:
            self.record_success()
        else:
            self.record_failure()

    def _change(self, *, is_healthy: bool) -> None:
        self.is_healthy = is_healthy
        if is_healthy:
            self.counters.returned += 1
        else:
            self.counters.left += 1
        logger.info('target is {}', 'healthy' if is_healthy else 'unhealthy')
        self.on_change(is_healthy)


async def _always_well() -> bool:
    return True


def _ignore_change(is_healthy: bool) -> None:
    """Do nothing."""
