"""Statuses that promise a caller that its request has not run.

A caller sends a request again after one of them, also one that must not run
twice. A target that gives the promise marks its response, and its node makes
it a refusal; the status alone says nothing of whether the target ran it.
"""

from loguru import logger

from filbertdrift.errors import RequestUnknown

PROMISING_STATUSES = frozenset((408, 421, 429, 503))


def is_unfounded(status: int) -> bool:
    """Return whether a target's response promises what the target did not.

    Args:
        status: The status of a response that is no refusal.
    """
    return status in PROMISING_STATUSES


def build_unfounded_error(
    status: int, request_id: str, node: str
) -> RequestUnknown:
    """Return the outcome that takes the place of such a response, logged.

    Args:
        status: The status of the response.
        request_id: Id of the request.
        node: The node beside the target.
    """
    logger.bind(
        event='promise_not_given',
        request=request_id,
        node=node,
        status=status,
    ).info('status {} without a statement that it did not run', status)
    return RequestUnknown(
        f'the target responded with status {status}, which does not state '
        f'that the request has not run',
        step='await target',
        peer=node,
    )
