"""What is known of the clock at the other end of a connection.

The other end states its clock in replies to keepalives. When a reply arrives,
that clock shows at least what was stated; the delay of the reply is what this
is short by, and no more than its round trip. So a message can be stamped
with a time of the receiver's clock that is not later than its sending, without
earlier messages and without comparing clocks.
"""

from collections import deque

MS_PER_S = 1000
# Clocks of two machines drift by up to 0.1 ms in a second.
STATEMENT_LIFETIME_S = 30.0
RENEWAL_S = 10.0
# A round trip within a region takes a few milliseconds. After a longer one, the
# next may tell more.
GOOD_ROUND_TRIP_S = 0.05
# A connection without replies is closed long before it has sent as many.
MAX_ASKED = 64


class PeerClock:
    """The clock at the other end, as far as this end knows it.

    All times of this end are of the connection's own clock, in seconds.
    """

    def __init__(self) -> None:
        """Start without statements."""
        self._asked_at: deque[float] = deque(maxlen=MAX_ASKED)
        self._offset_ms = 0.0
        self._round_trip_s = 0.0
        self._stated_at: float | None = None

    def asked(self, now: float) -> None:
        """Note that the other end was sent a keepalive."""
        self._asked_at.append(now)

    def record(self, clock_ms: int | None, now: float) -> None:
        """Record the reply to the oldest keepalive without one.

        Args:
            clock_ms: The clock that it states; None from an older node.
            now: The time at this end.
        """
        if not self._asked_at:
            return
        round_trip_s = now - self._asked_at.popleft()
        if clock_ms is None:
            return
        offset_ms = clock_ms - now * MS_PER_S
        is_outdated = (
            self._stated_at is None
            or now - self._stated_at > STATEMENT_LIFETIME_S
        )
        if is_outdated or offset_ms >= self._offset_ms:
            self._offset_ms = offset_ms
            self._round_trip_s = round_trip_s
            self._stated_at = now

    def may_improve(self, now: float) -> bool:
        """Return whether another keepalive should be sent for its reply."""
        if self._stated_at is None or self._asked_at:
            return False
        return (
            self._round_trip_s > GOOD_ROUND_TRIP_S
            or now - self._stated_at > RENEWAL_S
        )

    def least_ms(self, now: float) -> int | None:
        """Return the least that the clock at the other end shows now.

        Returns:
            Milliseconds; None if nothing is known of it.
        """
        if self._stated_at is None:
            return None
        return int(now * MS_PER_S + self._offset_ms)
