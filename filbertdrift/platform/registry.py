"""HTTP handlers for the local target and the platform's readiness check."""

from collections.abc import Callable

from loguru import logger

from filbertdrift.errors import MalformedMessage
from filbertdrift.lifecycle import TargetLifecycle
from filbertdrift.listener import HttpResponse
from filbertdrift.platform.documents import parse_heartbeat, parse_leave

INSTANCES_PATH = '/instances/'
READY_PATH = '/ready'

OK = HttpResponse(200, b'{}')
UNAVAILABLE = HttpResponse(503, b'{}')
NOT_FOUND = HttpResponse(404, b'{}')
BAD_REQUEST = HttpResponse(400, b'{}')


class TargetCalls:
    """Handles heartbeats (PUT) and leave messages (DELETE) of the local target.

    Args:
        lifecycle: Tracks the state of the target.
    """

    def __init__(self, lifecycle: TargetLifecycle) -> None:
        """Store the lifecycle."""
        self._lifecycle = lifecycle

    async def serve(self, method: str, path: str, body: bytes) -> HttpResponse:
        """Apply one call and return its reply."""
        instance = path.partition('?')[0].removeprefix(INSTANCES_PATH)
        if not path.startswith(INSTANCES_PATH) or not instance:
            return NOT_FOUND
        try:
            self._apply(method, instance, body)
        except MalformedMessage as exc:
            logger.bind(
                event='target_call_refused',
                instance=instance,
            ).warning('{}', exc)
            return BAD_REQUEST
        return OK

    def _apply(self, method: str, instance: str, body: bytes) -> None:
        if method == 'PUT':
            self._lifecycle.record_heartbeat(parse_heartbeat(instance, body))
        elif method == 'DELETE':
            self._lifecycle.leave(instance, parse_leave(body))
        else:
            raise MalformedMessage(f'{method} {instance}', step='serve target')


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
