"""Requests in a soak test that are old when they go on, and what must not.

Callers leave while their ingress stands still, and while the links to targets
are full on connections that have just been opened. Little of their work may
reach a target later than LEAVE_S after they have left, whatever stood still.
"""

import asyncio
import random
import signal
import time
from collections.abc import Callable, Coroutine, Iterator, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from typing import Any

from standins.cutting_proxy import Fault
from standins.platform_target import RunLog
from standins.soak_client import ClientRequest, SoakClient
from standins.soak_history import LEAVE_S, MAX_LATE_ARRIVALS, SoakHistory
from standins.soak_instance import CALLER_PORT, SoakInstance

STALL_S = (1.0, 3.0)
# How long messages wait at a full link, and for how long it stays full.
LINK_WAIT_S = (0.3, 1.5)
FULL_S = (1.0, 2.0)
FILL_INTERVAL_S = 0.02
PAUSE_S = (0.3, 1.0)
CALLERS_PER_S = 60
STAY_S = (0.05, 0.6)
DEADLINE_S = 4.0
PREFIX = 'read-old'


@dataclass
class AgeHistory:
    """What reached targets of callers that left.

    Args:
        faults: How requests ended for their callers.
    """

    faults: SoakHistory

    def violations(self, log: RunLog) -> Iterator[str]:
        """Yield a violation if too much arrived too late.

        Args:
            log: What the targets received.
        """
        late = [
            (arrival.at - left.at, arrival.request_id, arrival.owner)
            for arrival in log.arrivals
            if arrival.request_id.startswith(PREFIX)
            and (left := self.faults.departures.get(arrival.request_id))
            and arrival.at > left.at + LEAVE_S
        ]
        if len(late) > MAX_LATE_ARRIVALS:
            late_s, request_id, owner = max(late)
            yield (
                f'{len(late)} requests went on to targets after their callers '
                f'had left, {request_id} to {owner} {late_s:.2f} s after'
            )


@dataclass
class AgeLoad:
    """Stands nodes still and fills links, beside callers that leave.

    Args:
        rng: Selects the nodes, times and callers.
        instances: The instances.
        send: Sends a request and checks its end.
        disturb: Records that instances are disturbed meanwhile.
        history: Takes the standstills.
    """

    rng: random.Random
    instances: Sequence[SoakInstance]
    send: Callable[
        [SoakInstance, SoakClient, ClientRequest], Coroutine[Any, Any, None]
    ]
    disturb: Callable[..., AbstractContextManager[None]]
    history: SoakHistory
    _sending: set[asyncio.Task[None]] = field(default_factory=set)
    _requests: int = 0

    async def run(self, seconds: float) -> None:
        """Stand nodes still and fill links in turn for some seconds."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            instance = self.rng.choice(self.instances)
            callers = asyncio.ensure_future(self._send_callers(instance))
            await self.rng.choice((self._stand_still, self._fill_links))(
                instance
            )
            callers.cancel()
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        await asyncio.gather(*self._sending, return_exceptions=True)

    async def _stand_still(self, instance: SoakInstance) -> None:
        since = time.monotonic()
        with self.disturb(instance):
            instance.signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(*STALL_S))
            instance.signal(signal.SIGCONT)
        self.history.interrupt(instance.name, since)

    async def _fill_links(self, instance: SoakInstance) -> None:
        """Fill the links to the others, and reset their connections.

        The target beside the node is away, so its callers need the others.
        """
        others = [each for each in self.instances if each is not instance]
        wait_s = self.rng.uniform(*LINK_WAIT_S)
        full_until = time.monotonic() + self.rng.uniform(*FULL_S)
        instance.target_proxy.play(Fault.DOWN)
        with self.disturb(*self.instances):
            for each in others:
                each.link_proxy.reset()
            while time.monotonic() < full_until:
                for each in others:
                    each.link_proxy.fill(wait_s)
                await asyncio.sleep(FILL_INTERVAL_S)
            await asyncio.sleep(wait_s)
        instance.target_proxy.play(Fault.NONE)

    async def _send_callers(self, instance: SoakInstance) -> None:
        while True:
            task = asyncio.ensure_future(self._send_and_leave(instance))
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)
            await asyncio.sleep(self.rng.expovariate(CALLERS_PER_S))

    async def _send_and_leave(self, instance: SoakInstance) -> None:
        self._requests += 1
        request = ClientRequest(
            request_id=f'{PREFIX}-{self._requests}',
            path='/slow/read/x',
            body=b'',
            deadline_s=DEADLINE_S,
            wait_s=DEADLINE_S,
            leaves_after_s=self.rng.uniform(*STAY_S),
        )
        # Each caller has a connection of its own.
        client = SoakClient((instance.ip, CALLER_PORT))
        await self.send(instance, client, request)
        client.close()
