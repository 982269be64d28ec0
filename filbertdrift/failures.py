"""The outcome of a request that an unexpected exception has ended."""

import contextlib
from collections.abc import Callable, Iterator

from loguru import logger

from filbertdrift.errors import (
    MalformedMessage,
    PeerUnavailable,
    RequestNotRun,
    RequestUnknown,
)

RETRY_AFTER_MS = 300
_REASON = 'a node failed to serve the request'


def build_failure(*, may_have_run: bool) -> RequestNotRun | RequestUnknown:
    """Return the outcome of a request that cannot be served to its end.

    Args:
        may_have_run: Whether a target may have got the request.
    """
    if may_have_run:
        return RequestUnknown(_REASON, step='serve')
    return RequestNotRun(_REASON, retry_after_ms=RETRY_AFTER_MS, step='serve')


@contextlib.contextmanager
def failure_as_outcome(
    request_id: str, may_have_run: Callable[[], bool]
) -> Iterator[None]:
    """Serve a request, which ends with an outcome whatever is raised.

    Args:
        request_id: The request's id, for the log.
        may_have_run: Returns whether a target may have got the request.

    Raises:
        PeerUnavailable: The connection that brought the request is broken.
        RequestNotRun: No target has run it.
        RequestUnknown: A target may have run it.
    """
    try:
        yield
    except (PeerUnavailable, RequestNotRun, RequestUnknown):
        raise
    except MalformedMessage as exc:
        # Only this call is at fault, not its connection.
        logger.bind(event='malformed_call', request=request_id).warning(
            '{}', exc
        )
        raise build_failure(may_have_run=may_have_run()) from exc
    except Exception as exc:
        logger.bind(event='request_failed', request=request_id).opt(
            exception=exc
        ).error('a request has failed')
        raise build_failure(may_have_run=may_have_run()) from exc
