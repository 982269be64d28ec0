"""Time that messages spent in transit, by the clocks of their senders.

The clocks of two nodes differ by an unknown offset, which stays the same for
the lifetime of a connection. The smallest difference between the receiver's
and the sender's clock is the offset plus the shortest transit seen; what
exceeds it is time in queues: of the sender, of the links and of the receiver.
"""

MS_PER_S = 1000


class TransitEstimator:
    """Estimates the time in transit of the messages of one connection."""

    def __init__(self) -> None:
        """Start without samples."""
        self._least_offset_ms = float('inf')

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
