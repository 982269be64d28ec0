"""The calls of the local target, and the platform's readiness check."""

from collections.abc import Callable

from loguru import logger

from filbertdrift.errors import MalformedMessage
from filbertdrift.lifecycle import TargetLifecycle
from filbertdrift.listener import HttpResponse
from filbertdrift.platform.documents import parse_heartbeat, parse_leaving

INSTANCES_PATH = '/instances/'
READY_PATH = '/ready'

OK = HttpResponse(200, b'{}')
UNAVAILABLE = HttpResponse(503, b'{}')
NOT_FOUND = HttpResponse(404, b'{}')
BAD_REQUEST = HttpResponse(400, b'{}')


class TargetCalls:
    """Takes the heartbeats and leavings of targets.

    Args:
        lifecycle: Follows the target.
    """

    def __init__(self, lifecycle: TargetLifecycle) -> None:
        """Keep the lifecycle."""
        self._lifecycle = lifecycle

    async def serve(self, method: str, path: str, body: bytes) -> HttpResponse:
        """Return the acknowledgement of one call."""
        instance = path.partition('?')[0].removeprefix(INSTANCES_PATH)
        if not path.startswith(INSTANCES_PATH) or not instance:
            return NOT_FOUND
        try:
            self._take(method, instance, body)
        except MalformedMessage as exc:
            logger.bind(
                event='target_call_refused',
                instance=instance,
            ).warning('{}', exc)
            return BAD_REQUEST
        return OK

    def _take(self, method: str, instance: str, body: bytes) -> None:
        if method == 'PUT':
            self._lifecycle.record_heartbeat(parse_heartbeat(instance, body))
        elif method == 'DELETE':
            self._lifecycle.leave(instance, parse_leaving(body))
        else:
            raise MalformedMessage(f'{method} {instance}', step='serve target')


class ReadyCheck:
    """Tells the platform whether callers may bring new work.

    Args:
        is_ready: Returns whether they may.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Keep the source."""
        self._is_ready = is_ready

    async def serve(self, method: str, path: str, body: bytes) -> HttpResponse:
        """Return the answer to one check."""
        if path != READY_PATH:
            return NOT_FOUND
        return OK if self._is_ready() else UNAVAILABLE
