"""Planned stops in a soak test: their load, and what they must not break.

A node that stops completes what its targets are at work on. What it can't
complete before its grace ends it must not take.
"""

import asyncio
import random
import time
from asyncio.subprocess import Process
from collections.abc import Callable, Coroutine, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

from standins.platform_target import PlatformTarget, RunLog, Work
from standins.soak_client import ClientRequest, ClientResult, Ending, SoakClient
from standins.soak_history import SoakHistory
from standins.soak_instance import GRACE_S, SoakInstance

STOP_INTERVAL_S = (1, 2)
# Callers of each node that stops; they use it until its process is gone.
LATE_CALLERS = 10
LATE_PAUSE_S = 4.5
LEAD_S = 0.3
SLOW_WORK_S = (0.6, 4.5)
SLOW_DURATION_S = (1, 4)
# Share of the slow targets whose responses are lost instead.
LOST_SHARE = 0.2
# Time between two slow targets, times the number of targets.
SLOW_INTERVAL_S = 4.0
REQUESTS_PER_S = 4
BURST_SHARE = 0.03
BURST = 15
DEADLINE_S = (1.5, 8)
WAIT_SLACK_S = 1.0
# Timeouts of the slow routes and of the others.
SLOW_TIMEOUT_S = 9.0
TIMEOUT_S = 1.0
# The path of uploads in parts, and timeouts of their route.
UPLOAD_PATH = '/upload/'
UPLOAD_TIMEOUTS_S = (2.0, 5.0)
# Routes for slow requests.
SLOW_ROUTES = {
    f'slow_{kind}': {
        'path_prefix': f'/slow/{kind}/',
        'kind': route_kind,
        'timeout_s': SLOW_TIMEOUT_S,
        'target_latency_s': 3.0,
    }
    for kind, route_kind in (
        ('read', 'idempotent'),
        ('write', 'non_idempotent'),
    )
}
# A connection that ends later than this after a request has read it.
LOSS_SLACK_S = 0.2
# Requests sent up to this long after SIGTERM may be broken off in the last
# sixth of the grace.
EARLY_S = 3.0
LAST_PART_S = GRACE_S / 6


@dataclass(slots=True)
class Stop:
    """A planned stop.

    Args:
        ingress: Name of the instance.
        since: Monotonic time of SIGTERM.
        until: When the process was gone.
    """

    ingress: str
    since: float
    until: float = float('inf')


@dataclass(frozen=True, slots=True)
class FailedRequest:
    """A request that was sent whole and got no response of a target.

    Args:
        request_id: Its id.
        ingress: Name of the instance that it was sent to.
        sent_at: When it was sent, in monotonic time.
        at: When it ended.
        deadline: The earlier of its deadline and its route's timeout.
        status: Status of the response, 0 if the connection ended without one.
    """

    request_id: str
    ingress: str
    sent_at: float
    at: float
    deadline: float
    status: int


@dataclass
class StopHistory:
    """Planned stops and failed requests.

    Args:
        faults: Faults of the instances.
        stops: The stops by process.
        failed: The requests.
    """

    faults: SoakHistory
    stops: dict[Process, Stop] = field(default_factory=dict)
    failed: list[FailedRequest] = field(default_factory=list)

    def record(
        self, ingress: str, request: ClientRequest, result: ClientResult
    ) -> None:
        """Record the end of a request if it failed."""
        is_ended = result.ending in {Ending.ANSWERED, Ending.CUT}
        if result.status == 200 or not (is_ended and result.sent_at):
            return
        timeout_s = _find_timeout_s(request.path)
        self.failed.append(
            FailedRequest(
                request.request_id,
                ingress,
                result.sent_at,
                time.monotonic(),
                result.began_at + min(request.deadline_s, timeout_s),
                result.status,
            )
        )

    def violations(self, log: RunLog) -> Iterator[str]:
        """Yield requests that a planned stop broke off.

        Args:
            log: What the targets received and ran.
        """
        for stop in self.stops.values():
            for failed in self.failed:
                works = log.work[failed.request_id]
                is_within = failed.sent_at < stop.until and (
                    failed.ingress == stop.ingress and failed.at >= stop.since
                )
                if is_within and not self._is_excused(failed, works):
                    yield from _find_lost(stop, failed, works)

    def _is_excused(self, failed: FailedRequest, works: Sequence[Work]) -> bool:
        return failed.at >= failed.deadline - LOSS_SLACK_S or any(
            self.faults.is_disturbed(
                name, failed.sent_at, failed.at, harmful_only=True
            )
            for name in (failed.ingress, *(work.owner for work in works))
        )


def _find_timeout_s(path: str) -> float:
    """Return the shortest timeout of the route of a path."""
    if path.startswith(UPLOAD_PATH):
        return min(UPLOAD_TIMEOUTS_S)
    return SLOW_TIMEOUT_S if path.startswith('/slow/') else TIMEOUT_S


def _find_lost(
    stop: Stop, failed: FailedRequest, works: Sequence[Work]
) -> Iterator[str]:
    is_at_work = any(work.since <= failed.at < work.until for work in works)
    is_early = failed.sent_at <= stop.since + EARLY_S
    is_last_part = failed.at >= stop.since + GRACE_S - LAST_PART_S
    if is_at_work and is_early and is_last_part:
        return
    is_cut = failed.status == 0
    is_read = failed.at > failed.sent_at + LOSS_SLACK_S
    # When the last byte of an upload has left is not known.
    is_read = is_read and not failed.request_id.startswith('upload')
    if is_at_work or (is_cut and (works or is_read)):
        runs = ', '.join(
            f'{work.owner} from {work.since - stop.since:.3f} '
            f'to {work.until - stop.since:.3f} s'
            for work in works
        )
        yield (
            f'{failed.request_id} was broken off by the stop of {stop.ingress} '
            f'with status {failed.status}: from SIGTERM on, sent at '
            f'{failed.sent_at - stop.since:.3f} s, ended at '
            f'{failed.at - stop.since:.3f} s, run by {runs or "none"}'
        )


class StopLoad:
    """Stops nodes one after the other, beside slow targets and late callers.

    Args:
        rng: Source of chance.
        instances: The instances.
        send: Sends a request with a client of an instance.
        terminate: Stops an instance and starts it again.
    """

    def __init__(
        self,
        rng: random.Random,
        instances: Sequence[SoakInstance],
        send: Callable[
            [SoakInstance, SoakClient, ClientRequest],
            Coroutine[Any, Any, None],
        ],
        terminate: Callable[[SoakInstance], Coroutine[Any, Any, None]],
    ) -> None:
        self._rng = rng
        self._instances = instances
        self._send = send
        self._terminate = terminate
        self._requests = 0
        self._ends_at = 0.0

    async def run(self, seconds: float) -> None:
        """Stop nodes for some time, and wait until they are back."""
        self._ends_at = time.monotonic() + seconds
        count = len(self._instances)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._send_slow(tasks))
            tasks.create_task(self._slow_down(tasks))
            number = 0
            while time.monotonic() < self._ends_at:
                tasks.create_task(self._stop(self._instances[number % count]))
                number += 1
                await asyncio.sleep(self._rng.uniform(*STOP_INTERVAL_S))

    async def _stop(self, instance: SoakInstance) -> None:
        async with asyncio.TaskGroup() as callers:
            for _ in range(LATE_CALLERS):
                callers.create_task(self._call_until_gone(instance))
            await asyncio.sleep(LEAD_S)
            await self._terminate(instance)

    async def _call_until_gone(self, instance: SoakInstance) -> None:
        client = SoakClient(instance.client.address)
        process = instance.process
        while process and process.returncode is None:
            pause_s = self._rng.choice((0, self._rng.uniform(0, LATE_PAUSE_S)))
            await self._send(instance, client, self._new_request(pause_s))
            await asyncio.sleep(self._rng.uniform(0, LEAD_S))
        client.close()

    async def _send_slow(self, tasks: asyncio.TaskGroup) -> None:
        per_s = REQUESTS_PER_S * len(self._instances)
        while time.monotonic() < self._ends_at:
            instance = self._rng.choice(self._instances)
            count = BURST if self._rng.random() < BURST_SHARE else 1
            for _ in range(count):
                request = self._new_request()
                tasks.create_task(
                    self._send(instance, instance.client, request)
                )
            await asyncio.sleep(self._rng.expovariate(per_s))

    async def _slow_down(self, tasks: asyncio.TaskGroup) -> None:
        interval_s = SLOW_INTERVAL_S / len(self._instances)
        while time.monotonic() < self._ends_at:
            target = self._rng.choice(self._instances).target
            tasks.create_task(self._slow_down_one(target))
            await asyncio.sleep(interval_s)

    async def _slow_down_one(self, target: PlatformTarget) -> None:
        usual_s = target.work_s
        duration_s = self._rng.uniform(*SLOW_DURATION_S)
        if self._rng.random() < LOST_SHARE:
            target.loses_responses = True
            await asyncio.sleep(duration_s)
            target.loses_responses = False
        elif usual_s < SLOW_WORK_S[0]:
            target.work_s = self._rng.uniform(*SLOW_WORK_S)
            await asyncio.sleep(duration_s)
            target.work_s = usual_s

    def _new_request(self, pause_s: float = 0) -> ClientRequest:
        self._requests += 1
        kind = self._rng.choice(('read', 'write'))
        deadline_s = self._rng.uniform(*DEADLINE_S)
        return ClientRequest(
            request_id=f'{kind}-slow-{self._requests}',
            path=f'/slow/{kind}/x',
            body=b'',
            deadline_s=deadline_s,
            wait_s=deadline_s + WAIT_SLACK_S,
            pause_s=pause_s,
        )
