"""Uploads beside quick versions in a soak test, and responses they must get.

A request that a node has begun to read gets a complete response, also one that
is refused while its body arrives: a connection that is reset or closed without
one breaks the guarantee. Planned stops, SIGHUP and new versions are no excuse;
kills, pauses and broken links of the node are. While a planned stop goes on, a
node may close an idle connection in the moment in which a request is sent.
"""

import asyncio
import random
import time
from asyncio.subprocess import Process
from collections.abc import (
    Awaitable,
    Callable,
    Coroutine,
    Iterator,
    Mapping,
    Sequence,
)
from dataclasses import dataclass, field
from typing import Any

from standins.mesh_fleet import config_document
from standins.platform_target import RunLog
from standins.soak_client import ClientRequest, ClientResult, Ending, SoakClient
from standins.soak_history import SoakHistory
from standins.soak_instance import SERVICE, SoakInstance
from standins.soak_stops import (
    LOSS_SLACK_S,
    SLOW_ROUTES,
    UPLOAD_PATH,
    UPLOAD_TIMEOUTS_S,
    Stop,
)

# Uploads per second and instance.
UPLOADS_PER_S = 3
UPLOAD_BYTES = (8_000, 116_000)
PART_BYTES = (2_000, 24_000)
PAUSE_S = (0.005, 0.08)
DEADLINE_S = (1.5, 4)
WAIT_SLACK_S = 1.0
VERSION_PAUSE_S = (0.05, 1.0)
LOW_BODY_BYTES = 40_000
LOW_LIMIT_SHARE = 0.25
# A service without targets.
SPARE_SERVICE = 'spare'
_SPLIT = (
    {'service': SERVICE, 'weight': 3},
    {'service': SPARE_SERVICE, 'weight': 1},
)
# What versions change in the route of uploads; None removes it.
_CHANGES: tuple[Mapping[str, Any] | None, ...] = (
    None,
    {'service': SPARE_SERVICE},
    {'traffic_split': _SPLIT},
    {},
)


@dataclass(frozen=True, slots=True)
class CutRequest:
    """A request whose connection ended without a complete response.

    Args:
        request_id: Its id.
        ingress: Name of the instance that it was sent to.
        began_at: Monotonic time at which its head was sent.
        sent_at: When its last byte was sent, 0 if it was not.
        at: When the connection ended.
    """

    request_id: str
    ingress: str
    began_at: float
    sent_at: float
    at: float


@dataclass
class CutHistory:
    """Requests without a complete response, and which nodes must explain.

    Args:
        faults: Faults of the instances.
        stops: Planned stops by process.
        cut: The requests.
    """

    faults: SoakHistory
    stops: Mapping[Process, Stop]
    cut: list[CutRequest] = field(default_factory=list)

    def record(
        self, ingress: str, request: ClientRequest, result: ClientResult
    ) -> None:
        """Record the end of a request if its connection was cut."""
        if result.ending is Ending.CUT and result.began_at:
            self.cut.append(
                CutRequest(
                    request.request_id,
                    ingress,
                    result.began_at,
                    result.sent_at,
                    time.monotonic(),
                )
            )

    def violations(self, log: RunLog) -> Iterator[str]:
        """Yield requests that got no complete response.

        Args:
            log: What the targets received and ran.
        """
        for cut in self.cut:
            works = log.work[cut.request_id]
            is_disturbed = self.faults.is_disturbed(
                cut.ingress, cut.began_at, cut.at, harmful_only=True
            )
            if is_disturbed or (not works and self._may_cross_close(cut)):
                continue
            state = 'sent whole' if cut.sent_at else 'being sent'
            yield (
                f'{cut.request_id} got no complete response from {cut.ingress}:'
                f' cut {cut.at - cut.began_at:.3f} s after its head, {state}, '
                f'run {len(works)} times'
            )

    def _may_cross_close(self, cut: CutRequest) -> bool:
        return cut.at <= cut.began_at + LOSS_SLACK_S and any(
            stop.ingress == cut.ingress
            and stop.since <= cut.at
            and cut.began_at <= stop.until
            for stop in self.stops.values()
        )


def draw_document(
    rng: random.Random, version: int, **routes: Mapping[str, Any]
) -> dict[str, Any]:
    """Build a version that changes the route and the limit of uploads.

    Args:
        rng: Chooses the changes.
        version: Number of the version.
        routes: Further routes by name.
    """
    change = rng.choice(_CHANGES)
    if change is not None:
        routes['upload'] = {
            'path_prefix': UPLOAD_PATH,
            'kind': 'non_idempotent',
            'timeout_s': rng.choice(UPLOAD_TIMEOUTS_S),
            **change,
        }
    document = config_document(version, **SLOW_ROUTES, **routes)
    document['services'][SPARE_SERVICE] = {}
    if rng.random() < LOW_LIMIT_SHARE:
        document['limits'] = {'max_body_bytes': LOW_BODY_BYTES}
    return document


class UploadLoad:
    """Sends uploads in parts, and publishes versions that change their route.

    Args:
        rng: Source of chance.
        instances: The instances.
        send: Sends a request with a client of an instance.
        publish: Publishes the next version.
    """

    def __init__(
        self,
        rng: random.Random,
        instances: Sequence[SoakInstance],
        send: Callable[
            [SoakInstance, SoakClient, ClientRequest],
            Coroutine[Any, Any, None],
        ],
        publish: Callable[[], Awaitable[int]],
    ) -> None:
        self._rng = rng
        self._instances = instances
        self._send = send
        self._publish = publish
        self._requests = 0

    async def send(self, seconds: float) -> None:
        """Send uploads for some time, and wait for their ends."""
        ends_at = time.monotonic() + seconds
        per_s = UPLOADS_PER_S * len(self._instances)
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < ends_at:
                instance = self._rng.choice(self._instances)
                tasks.create_task(
                    self._send(instance, instance.client, self._new_request())
                )
                await asyncio.sleep(self._rng.expovariate(per_s))

    async def publish(self, seconds: float) -> None:
        """Publish versions in a quick series for some time."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            await self._publish()
            await asyncio.sleep(self._rng.uniform(*VERSION_PAUSE_S))

    def _new_request(self) -> ClientRequest:
        self._requests += 1
        deadline_s = self._rng.uniform(*DEADLINE_S)
        return ClientRequest(
            request_id=f'upload-part-{self._requests}',
            path=f'{UPLOAD_PATH}x',
            body=self._rng.randbytes(self._rng.randint(*UPLOAD_BYTES)),
            deadline_s=deadline_s,
            wait_s=deadline_s + WAIT_SLACK_S,
            pause_s=self._rng.uniform(*PAUSE_S),
            part_bytes=self._rng.randint(*PART_BYTES),
            is_chunked=self._rng.choice((False, True)),
            reads_last=self._rng.choice((False, True)),
        )
