"""The node's own outcomes of ingress requests: why it did not serve them."""

from filbertdrift.errors import RequestNotRun, RequestUnknown
from filbertdrift.request import IngressRequest

NO_CONFIG_RETRY_AFTER_MS = 300
# A node without evidence for its configuration reads the log meanwhile.
OUTDATED_RETRY_AFTER_MS = 300
# Other nodes are there for the caller at once.
STOP_RETRY_AFTER_MS = 100


class StopsBefore(RequestNotRun):
    """The node stops before the request is sure to have ended."""

    def __init__(self) -> None:
        """State when the caller may come back."""
        super().__init__(
            'this node stops',
            retry_after_ms=STOP_RETRY_AFTER_MS,
            step='dispatch',
        )


def build_no_config_error() -> RequestNotRun:
    """Return the outcome at a node that has no configuration yet."""
    return RequestNotRun(
        'this node has no configuration yet',
        retry_after_ms=NO_CONFIG_RETRY_AFTER_MS,
        step='route',
    )


def build_outdated_error(reason: str) -> RequestNotRun:
    """Return the outcome at a node that may have missed a change.

    Args:
        reason: Why its configuration does not allow the request.
    """
    return RequestNotRun(
        f'{reason}, but the configuration here may be outdated',
        retry_after_ms=OUTDATED_RETRY_AFTER_MS,
        step='route',
    )


def build_cut_error(
    req: IngressRequest | None,
) -> RequestNotRun | RequestUnknown:
    """Return the outcome of a request that the node's stop has ended.

    Args:
        req: The request, None before it was handed over.
    """
    if req is None or not req.may_have_run:
        return StopsBefore()
    return RequestUnknown('this node stops', step='dispatch')
