"""Time that messages spent in transit.

A sender that knows its receiver's clock stamps messages with it. Of others only
their own clock is known: the clocks of two nodes differ by an unknown offset,
which stays the same for the lifetime of a connection. The smallest difference
is the offset plus the shortest transit seen; what exceeds it is time in queues:
of the sender, of the links and of the receiver.
"""

from filbertdrift.errors import RequestNotRun

MS_PER_S = 1000
RETRY_AFTER_MS = 100
# A request that was delayed for longer is refused: its caller may have left,
# and the cancellation is late as well.
MAX_TRANSIT_S = 0.4
# How long a sample of another node's clock counts at least. A node that is
# suspended stops its clock, and one that restarts may set it anew.
CLOCK_WINDOW_S = 8.0


class TransitEstimator:
    """Estimates the time in transit of the messages of one connection."""

    def __init__(self) -> None:
        """Start without samples."""
        self._least_offset_ms = float('inf')

    @property
    def has_history(self) -> bool:
        """Return whether a delay can be told from earlier messages."""
        return self._least_offset_ms < float('inf')

    def estimate_s(self, sent_at_ms: int | None, received_at_s: float) -> float:
        """Return how long a message was delayed, in seconds.

        Args:
            sent_at_ms: When it was sent, on the sender's clock; None if the
                sender does not state it.
            received_at_s: When it was received, on this node's clock.
        """
        if sent_at_ms is None:
            return 0
        offset_ms = received_at_s * MS_PER_S - sent_at_ms
        self._least_offset_ms = min(self._least_offset_ms, offset_ms)
        return (offset_ms - self._least_offset_ms) / MS_PER_S


class RecentTransitEstimator:
    """Estimates the time in transit of the messages of one node.

    Unlike a connection, a node may restart or be suspended, so only the
    samples of the last CLOCK_WINDOW_S to twice that count.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._older = TransitEstimator()
        self._newer = TransitEstimator()
        self._renew_at = 0.0

    def estimate_s(self, sent_at_ms: int | None, received_at_s: float) -> float:
        """Return how long a message was delayed, in seconds.

        Args:
            sent_at_ms: When it was sent, on the sender's clock; None if the
                sender does not state it.
            received_at_s: When it was received, on this node's clock.
        """
        if received_at_s >= self._renew_at:
            is_idle = received_at_s >= self._renew_at + CLOCK_WINDOW_S
            self._older = TransitEstimator() if is_idle else self._newer
            self._newer = TransitEstimator()
            self._renew_at = received_at_s + CLOCK_WINDOW_S
        return max(
            self._older.estimate_s(sent_at_ms, received_at_s),
            self._newer.estimate_s(sent_at_ms, received_at_s),
        )


def measure_transit_s(receiver_clock_ms: int, received_at_s: float) -> float:
    """Return how long a message was in transit at most, in seconds.

    Args:
        receiver_clock_ms: What this node's clock showed at least when it was
            sent, as its sender states.
        received_at_s: When it was received, on the same clock.
    """
    return max(received_at_s - receiver_clock_ms / MS_PER_S, 0)


def check_transit(transit_s: float, peer: str) -> None:
    """Check that a request was not late between the nodes.

    Args:
        transit_s: How long it was delayed.
        peer: The node that sent it.

    Raises:
        RequestNotRun: It was late, and its caller may have left.
    """
    if transit_s > MAX_TRANSIT_S:
        raise RequestNotRun(
            'it was late between the nodes',
            retry_after_ms=RETRY_AFTER_MS,
            step='receive request',
            peer=peer,
        )
