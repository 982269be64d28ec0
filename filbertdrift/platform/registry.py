"""HTTP handlers for the local target and the platform's readiness check."""

import asyncio
from collections.abc import Callable

from loguru import logger

from filbertdrift.departures.history import Departure
from filbertdrift.departures.keeper import DepartureKeeper
from filbertdrift.errors import MalformedMessage
from filbertdrift.lifecycle import TargetLifecycle
from filbertdrift.listener import HttpResponse
from filbertdrift.platform.documents import parse_heartbeat, parse_leave

INSTANCES_PATH = '/instances/'
READY_PATH = '/ready'
# A target takes no reply for an acknowledgement after a second.
ACKNOWLEDGE_WITHIN_S = 0.8
MAX_LOGGED_CHARS = 255

OK = HttpResponse(200, b'{}')
UNAVAILABLE = HttpResponse(503, b'{}')
NOT_FOUND = HttpResponse(404, b'{}')
BAD_REQUEST = HttpResponse(400, b'{}')

# Returns whether a service is in use, as far as is known.
KnowsService = Callable[[str], bool]


class TargetCalls:
    """Handles heartbeats (PUT) and leave messages (DELETE) of the local target.

    A departure is acknowledged once the log holds it, so that the next process
    of this node knows of it.

    Args:
        lifecycle: Tracks the state of the target.
        keeper: Keeps its departures on the log.
        knows_service: Tells services that are in use from others.
    """

    def __init__(
        self,
        lifecycle: TargetLifecycle,
        keeper: DepartureKeeper,
        knows_service: KnowsService,
    ) -> None:
        """Store the parts that the calls are for."""
        self._lifecycle = lifecycle
        self._keeper = keeper
        self._knows_service = knows_service

    async def serve(self, method: str, path: str, body: bytes) -> HttpResponse:
        """Apply one call and return its reply."""
        instance = path.partition('?')[0].removeprefix(INSTANCES_PATH)
        if not path.startswith(INSTANCES_PATH) or not instance:
            return NOT_FOUND
        deadline = asyncio.get_running_loop().time() + ACKNOWLEDGE_WITHIN_S
        try:
            departure = self._apply(method, instance, body)
        except MalformedMessage as exc:
            logger.bind(
                event='target_call_refused',
                instance=instance[:MAX_LOGGED_CHARS],
            ).warning('{}', exc)
            return BAD_REQUEST
        if departure is None or await self._keeper.wait_until_kept(
            departure, deadline
        ):
            return OK
        logger.bind(event='departure_not_kept', instance=instance).warning(
            'departure of {} not acknowledged: the log did not confirm it',
            instance,
        )
        return UNAVAILABLE

    def _apply(
        self, method: str, instance: str, body: bytes
    ) -> Departure | None:
        """Apply one call; return the departure that it announces."""
        if method == 'DELETE':
            return self._lifecycle.leave(instance, parse_leave(instance, body))
        if method != 'PUT':
            raise MalformedMessage(f'{method} {instance}', step='serve target')
        heartbeat = parse_heartbeat(instance, body)
        if not self._knows_service(heartbeat.service):
            # It would take the place of the target that is here. One whose
            # service the configuration is yet to name sends another.
            raise MalformedMessage(
                f'no service is named {heartbeat.service}', step='serve target'
            )
        self._lifecycle.record_heartbeat(heartbeat)
        if not heartbeat.is_draining:
            return None
        return Departure(instance, heartbeat.born_ms)


class ReadyCheck:
    """Handles the platform's readiness check.

    Args:
        is_ready: Returns whether the node accepts new requests.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Store the readiness callback."""
        self._is_ready = is_ready

    async def serve(self, method: str, path: str, body: bytes) -> HttpResponse:
        """Return the reply to one check."""
        if path != READY_PATH:
            return NOT_FOUND
        return OK if self._is_ready() else UNAVAILABLE
