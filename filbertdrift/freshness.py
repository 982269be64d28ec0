"""Evidence that the configuration in force is the newest one.

A read up to the end of the log confirms a version: nothing newer was there.
Readers pass this evidence on to the other nodes. A node that gets none for a
while may have missed a change, whatever the reason.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from filbertdrift.config_holder import ConfigHolder
from filbertdrift.gen import ttypes
from filbertdrift.keyedlog import NO_ERA
from filbertdrift.transit import TransitEstimator

MS_PER_S = 1000
# Evidence that is newer by less is not passed on.
MIN_GAIN_S = 0.5
# A sender's clock may jump, so its offset is estimated anew at this interval.
CLOCK_WINDOW_S = 10.0
LONG_AGO = float('-inf')


@dataclass(frozen=True, slots=True)
class LogPosition:
    """A place in the log.

    Args:
        era: The era of the log; offsets of different eras are unrelated.
        next_offset: The first offset that was not read.
    """

    era: int
    next_offset: int


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Evidence that the log held nothing newer than a version.

    Args:
        version: The version.
        position: Where a reader continues.
        as_of: When the log held nothing newer, on this node's clock.
        reader: The node that read the log.
    """

    version: int
    position: LogPosition
    as_of: float
    reader: str


class Freshness:
    """The newest evidence about the configuration in force.

    Args:
        node: This node's address.
        holder: Holds the configuration in force.

    Attributes:
        latest: The newest evidence, None before the first.
        era: The newest era of the log that this node has heard of.
        on_era: Called with each newer era.
        peers_as_of: The time of the newest evidence of another reader.
    """

    def __init__(self, node: str, holder: ConfigHolder) -> None:
        """Start without evidence."""
        self.latest: Confirmation | None = None
        self.era = NO_ERA
        self.on_era: Callable[[int], None] = _ignore_era
        self.peers_as_of = LONG_AGO
        self._node = node
        self._holder = holder
        self._confirmed_as_of = LONG_AGO
        self._clocks = SenderClocks()

    def record(self, confirmation: Confirmation) -> bool:
        """Keep evidence if it is newer.

        Returns:
            True if it is newer by MIN_GAIN_S, so that peers should get it.
        """
        era = confirmation.position.era
        if era > self.era:
            self.era = era
            self.on_era(era)
        known_as_of = self.latest.as_of if self.latest else LONG_AGO
        if confirmation.as_of <= known_as_of:
            return False
        self._apply_latest()
        self.latest = confirmation
        return confirmation.as_of - known_as_of >= MIN_GAIN_S

    def record_from_peer(
        self, sender: str, message: ttypes.LogConfirmation
    ) -> bool:
        """Keep evidence that a peer sent, if it is newer.

        Args:
            sender: The peer.
            message: Its message.

        Returns:
            True if it is newer by MIN_GAIN_S, so that peers should get it.
        """
        now = asyncio.get_running_loop().time()
        transit_s = self._clocks.estimate_transit_s(
            sender, message.sent_at_ms or 0, now
        )
        as_of = now - transit_s - (message.age_ms or 0) / MS_PER_S
        position = LogPosition(message.era or 0, message.next_offset or 0)
        reader = message.reader or sender
        if reader != self._node:
            self.peers_as_of = max(self.peers_as_of, as_of)
        return self.record(
            Confirmation(message.version or 0, position, as_of, reader)
        )

    def to_message(self) -> ttypes.LogConfirmation | None:
        """Return the newest evidence as a message, None if there is none."""
        if self.latest is None:
            return None
        now = asyncio.get_running_loop().time()
        return ttypes.LogConfirmation(
            self.latest.version,
            self.latest.position.era,
            self.latest.position.next_offset,
            int((now - self.latest.as_of) * MS_PER_S),
            int(now * MS_PER_S),
            self.latest.reader,
        )

    def age_s(self) -> float:
        """Return the age of the evidence for the version in force.

        Returns:
            Infinity if there is none.
        """
        self._apply_latest()
        return asyncio.get_running_loop().time() - self._confirmed_as_of

    def position(self) -> LogPosition | None:
        """Return where to read on, None if something before it is missing."""
        if self.latest and self.latest.version <= self._holder.version:
            return self.latest.position
        return None

    def forget(self) -> None:
        """Drop all evidence, as the clock may have stood still."""
        self.latest = None
        self.peers_as_of = LONG_AGO
        self._confirmed_as_of = LONG_AGO

    def prune_senders(self, known: set[str]) -> None:
        """Drop the clocks of nodes that are no longer members."""
        self._clocks.prune(known)

    def _apply_latest(self) -> None:
        latest = self.latest
        if latest and latest.version <= self._holder.version:
            self._confirmed_as_of = max(self._confirmed_as_of, latest.as_of)


@dataclass(slots=True)
class _SenderClock:
    """Estimators of one sender: of this window and of the one before."""

    current: TransitEstimator
    previous: TransitEstimator
    ends_at: float


class SenderClocks:
    """Estimates how long datagrams of each sender were in transit."""

    def __init__(self) -> None:
        """Start without senders."""
        self._clocks: dict[str, _SenderClock] = {}

    def estimate_transit_s(
        self, sender: str, sent_at_ms: int, now: float
    ) -> float:
        """Return how long a datagram was delayed, in seconds.

        Args:
            sender: The sending node.
            sent_at_ms: When it was sent, on the sender's clock.
            now: When it was received, on this node's clock.
        """
        clock = self._clocks.get(sender)
        if clock is None or now >= clock.ends_at:
            fresh = TransitEstimator()
            previous = clock.current if clock else fresh
            clock = _SenderClock(fresh, previous, now + CLOCK_WINDOW_S)
            self._clocks[sender] = clock
        return max(
            clock.current.estimate_s(sent_at_ms, now),
            clock.previous.estimate_s(sent_at_ms, now),
        )

    def prune(self, known: set[str]) -> None:
        """Drop the senders that are not known."""
        for sender in list(self._clocks):
            if sender not in known:
                self._clocks.pop(sender)


def _ignore_era(era: int) -> None:
    """Do nothing."""
