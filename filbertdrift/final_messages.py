"""Last messages about requests that a node does not serve to their end."""

from filbertdrift.callstream import CallStream
from filbertdrift.gen import ttypes

RETRY_AFTER_MS = 100


def tell_dropped(call: CallStream) -> None:
    """Tell the ingress that a request has not run, and never will.

    Args:
        call: The cancelled call.
    """
    call.send_last_nowait(
        ttypes.Refusal(
            ttypes.RefusalKind.NOT_RUN,
            'cancelled before it ran',
            RETRY_AFTER_MS,
        )
    )


def tell_outlasted(call: CallStream) -> None:
    """Tell the ingress that a run would outlast this node, which ends it.

    Args:
        call: The cancelled call.
    """
    call.send_last_nowait(
        ttypes.Refusal(
            ttypes.RefusalKind.UNKNOWN,
            'its node stops',
            0,
            reached_target=False,
        )
    )


def tell_failed(call: CallStream) -> None:
    """Tell the peer that a call has failed, and may have had an effect.

    Args:
        call: The call.
    """
    call.send_last_nowait(
        ttypes.Refusal(
            ttypes.RefusalKind.UNKNOWN,
            'its node failed to serve it',
            0,
            reached_target=False,
        )
    )
