"""Requests that crash targets in a soak test, beside nodes that restart.

Two crashes by the same request block it at all nodes. Later than STABILITY_S
after the second one it crashes no target whose node was neither started nor
disturbed meanwhile.
"""

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Callable, Coroutine, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from standins.platform_target import CRASHING_BODY, Crash, RunLog
from standins.soak_client import ClientRequest, SoakClient
from standins.soak_history import STABILITY_S, SoakHistory
from standins.soak_instance import SoakInstance

# How often each request is sent, and the time between while nodes restart.
SENDS = 3
PAUSE_S = 0.4
# Requests after the restarts, sent so that the last time comes STABILITY_S
# later than the second crash.
LAST_BODIES = 6
LAST_PAUSE_S = STABILITY_S + 0.2
CRASHES_TO_BLOCK = 2
DEADLINE_S = 2.0
WAIT_SLACK_S = 1.0


@dataclass
class CrashHistory:
    """Crashes of targets by requests, and which of them nodes had to prevent.

    Args:
        faults: Faults of the instances.
    """

    faults: SoakHistory

    def violations(self, log: RunLog) -> Iterator[str]:
        """Yield crashes by requests that had to be blocked.

        Args:
            log: What the targets received and ran.
        """
        by_body: defaultdict[bytes, list[Crash]] = defaultdict(list)
        for crash in log.crashes:
            by_body[crash.body].append(crash)
        for body, crashes in by_body.items():
            second_at = crashes[:CRASHES_TO_BLOCK][-1].at
            for crash in crashes[CRASHES_TO_BLOCK:]:
                is_late = crash.at > second_at + STABILITY_S
                if is_late and not self.faults.is_disturbed(
                    crash.owner, second_at, crash.at
                ):
                    yield (
                        f'{body.decode()} crashed the target of {crash.owner} '
                        f'{crash.at - second_at:.3f} s after its second crash'
                    )


class CrashLoad:
    """Sends requests that crash targets, to one node after the other.

    Args:
        rng: Source of chance.
        instances: The instances.
        send: Sends a request with a client of an instance.
    """

    def __init__(
        self,
        rng: random.Random,
        instances: Sequence[SoakInstance],
        send: Callable[
            [SoakInstance, SoakClient, ClientRequest],
            Coroutine[Any, Any, None],
        ],
    ) -> None:
        self._rng = rng
        self._instances = instances
        self._send = send
        self._requests = 0
        self._bodies = 0

    async def run(self, seconds: float) -> None:
        """Send one crashing request after the other for some time."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            await self._send_repeatedly(PAUSE_S)

    async def run_last(self) -> None:
        """Send requests that the nodes have not seen."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(LAST_BODIES):
                tasks.create_task(self._send_repeatedly(LAST_PAUSE_S))
                await asyncio.sleep(PAUSE_S)

    async def _send_repeatedly(self, pause_s: float) -> None:
        self._bodies += 1
        body = CRASHING_BODY + b'-%d' % self._bodies
        first = self._rng.randrange(len(self._instances))
        for number in range(first, first + SENDS):
            instance = self._instances[number % len(self._instances)]
            request = self._new_request(body)
            await self._send(instance, instance.client, request)
            await asyncio.sleep(pause_s)

    def _new_request(self, body: bytes) -> ClientRequest:
        self._requests += 1
        return ClientRequest(
            request_id=f'crash-{self._requests}',
            path='/write/crash',
            body=body,
            deadline_s=DEADLINE_S,
            wait_s=DEADLINE_S + WAIT_SLACK_S,
        )
