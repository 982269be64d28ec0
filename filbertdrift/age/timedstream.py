"""A receive buffer that tells when its bytes arrived."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import SupportsIndex

from filbertdrift.age.arrivals import ArrivalClock
from filbertdrift.bytestream import ByteStream

# Bytes that arrived within this time count as one arrival.
ARRIVAL_S = 0.02


@dataclass(slots=True)
class _Arrival:
    """Bytes that arrived together.

    Args:
        at: When they may have arrived, on the loop's clock.
        unread_bytes: Number of those that were not read yet.
    """

    at: float
    unread_bytes: int


class TimedStream(ByteStream):
    """The bytes that the other end of a connection sends, with their times.

    Args:
        clock: Tells when bytes arrived.
        limit: Half the size in bytes above which reading is paused.

    Attributes:
        arrived_at: When the bytes that were read last may have arrived, on the
            loop's clock.
    """

    def __init__(self, clock: ArrivalClock, limit: int) -> None:
        """Create the empty stream."""
        super().__init__(limit)
        self.arrived_at = 0.0
        self._clock = clock
        self._arrivals: deque[_Arrival] = deque()

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Receive bytes."""
        raw = bytes(data)
        if raw:
            self._record(len(raw))
        super().feed_data(raw)

    async def read(self, limit_bytes: int = -1) -> bytes:
        """Return bytes that arrived together, up to a limit.

        Returns:
            The bytes, none at the end of the stream.
        """
        if limit_bytes > 0 and self._arrivals:
            limit_bytes = min(limit_bytes, self._arrivals[0].unread_bytes)
        raw = await super().read(limit_bytes)
        self._take(len(raw))
        return raw

    def _record(self, size_bytes: int) -> None:
        at = self._clock.stamp()
        if self._arrivals and at < self._arrivals[-1].at + ARRIVAL_S:
            self._arrivals[-1].unread_bytes += size_bytes
        else:
            self._arrivals.append(_Arrival(at, size_bytes))

    def _take(self, size_bytes: int) -> None:
        if size_bytes:
            self.arrived_at = self._arrivals[0].at
        while size_bytes:
            first = self._arrivals[0]
            taken_bytes = min(size_bytes, first.unread_bytes)
            first.unread_bytes -= taken_bytes
            size_bytes -= taken_bytes
            if not first.unread_bytes:
                self._arrivals.popleft()
