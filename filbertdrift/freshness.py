"""Evidence that the configuration in force is the newest one.

A read up to the end of the log confirms a version: nothing newer was there.
Readers pass this evidence on to the other nodes. A node that gets none for a
while may have missed a change, whatever the reason.
"""

import asyncio
import math
from collections.abc import Callable, Collection
from dataclasses import dataclass

from filbertdrift.age.transit import RecentTransitEstimator
from filbertdrift.config_holder import ConfigHolder
from filbertdrift.gen import ttypes
from filbertdrift.keyedlog import NO_ERA
from filbertdrift.routing import NO_VERSION

MS_PER_S = 1000
# Evidence that is newer by less is not passed on.
MIN_GAIN_S = 0.5
# After a pause of this node, evidence that had waited in its buffers arrives.
PAUSE_RECOVERY_S = 1.0
# Added to the age of evidence that is sent while no ping is answered. This is
# no bound: a full link may hold a message for longer.
UNKNOWN_DELAY_S = 1.5
# In a new era, evidence counts only after this time: the log may still lack
# versions that it had acknowledged and that are written again.
ERA_SETTLE_S = 3.0
LONG_AGO = float('-inf')
# The newest document in the log is refused here, so its version is unknown.
REFUSED_VERSION = 1_000_000_000_000_000


@dataclass(frozen=True, slots=True)
class LogPosition:
    """A place in the log.

    Args:
        era: The era of the log; offsets of different eras are unrelated.
        next_offset: The first offset that was not read.
        version: The newest version before it in the log.
    """

    era: int
    next_offset: int
    version: int


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Evidence that the log ended at a position.

    Args:
        position: The position, where a reader continues.
        as_of: When the log ended there, on this node's clock.
        read_at: When the read ended. A read that waited for a record says
            nothing about the time between.
        reader: The node that read the log.
        is_takeover: It is not one of the usual readers.
    """

    position: LogPosition
    as_of: float
    read_at: float
    reader: str
    is_takeover: bool = False


class Freshness:
    """The newest evidence about the configuration in force.

    What a message takes between two nodes counts as the time that the quickest
    recent ping took there and back, once at each end, and the time by which it
    took longer than others of the same sender lately, such as in the buffers
    of a busy node. So evidence that circulates only gets older.

    Args:
        node: This node's address.
        holder: Holds the configuration in force.
        link_delay_s: Returns the time that a ping of this node has taken
            lately, infinity if none was answered. Then evidence is sent with
            UNKNOWN_DELAY_S added, and what arrives does not count.

    Attributes:
        latest: The newest evidence, None before the first. It may be for a
            version that is not in force here.
        era: The newest era of the log that this node has heard of.
        on_era: Called with each newer era.
        check_pause: Called before evidence is used; detects pauses.
        peers_read_at: When another reader last read the log.
        senior_read_at: When one did that is a usual reader, or whose address
            is lower than that of this node.
    """

    def __init__(
        self,
        node: str,
        holder: ConfigHolder,
        link_delay_s: Callable[[], float],
    ) -> None:
        """Start without evidence."""
        self.latest: Confirmation | None = None
        self.era = NO_ERA
        self.on_era: Callable[[int], None] = _ignore_era
        self.check_pause: Callable[[], object] = _do_nothing
        self.peers_read_at = LONG_AGO
        self.senior_read_at = LONG_AGO
        self._node = node
        self._holder = holder
        self._link_delay_s = link_delay_s
        self._transits: dict[str, RecentTransitEstimator] = {}
        self._confirmed_as_of = LONG_AGO
        # The same in former eras of the log.
        self._former_as_of = LONG_AGO
        self._sent_as_of = LONG_AGO
        # Evidence of earlier times, or for lower versions, does not count.
        self._trusted_from = LONG_AGO
        self._lowest_version = NO_VERSION

    def record(self, confirmation: Confirmation) -> bool:
        """Keep evidence if it is newer.

        Returns:
            True if it is newer by MIN_GAIN_S than what was passed on, so that
            peers should get it.
        """
        self.check_pause()
        now = asyncio.get_running_loop().time()
        era = confirmation.position.era
        if era > self.era:
            self._enter_era(era, now)
        is_newer = self.latest is None or (
            confirmation.as_of > self.latest.as_of
        )
        if era < self.era or confirmation.as_of > now or not is_newer:
            return False
        self._count_latest()
        self.latest = confirmation
        if confirmation.as_of - self._sent_as_of < MIN_GAIN_S:
            return False
        self._sent_as_of = confirmation.as_of
        return True

    def record_from_peer(
        self, sender: str, message: ttypes.LogConfirmation
    ) -> bool:
        """Keep evidence that a peer sent, if it is newer.

        Args:
            sender: The peer.
            message: Its message.

        Returns:
            True if peers should get it.
        """
        self.check_pause()
        ages_ms = (message.age_ms, message.read_age_ms)
        if None in ages_ms or min(ages_ms) < 0:
            return False
        delay_s = self._link_delay_s()
        has_answers = delay_s < float('inf')
        sent_at = asyncio.get_running_loop().time()
        sent_at -= self._transit_s(sender, message, sent_at)
        if has_answers:
            sent_at -= delay_s
        confirmation = Confirmation(
            position=LogPosition(
                message.era or 0, message.next_offset or 0, message.version or 0
            ),
            as_of=sent_at - message.age_ms / MS_PER_S,
            read_at=sent_at - message.read_age_ms / MS_PER_S,
            reader=message.reader or sender,
            is_takeover=bool(message.is_takeover),
        )
        self._note_reader(confirmation)
        # Without answers to pings, this may have been in transit for long.
        return has_answers and self.record(confirmation)

    def to_message(self) -> ttypes.LogConfirmation | None:
        """Return the newest evidence as a message, None if there is none."""
        latest = self.latest
        if latest is None:
            return None
        now = asyncio.get_running_loop().time()
        delay_s = min(self._link_delay_s(), UNKNOWN_DELAY_S)
        return ttypes.LogConfirmation(
            version=latest.position.version,
            era=latest.position.era,
            next_offset=latest.position.next_offset,
            age_ms=math.ceil((now - latest.as_of + delay_s) * MS_PER_S),
            reader=latest.reader,
            read_age_ms=math.ceil((now - latest.read_at) * MS_PER_S),
            is_takeover=latest.is_takeover,
            sent_at_ms=int(now * MS_PER_S),
        )

    def age_s(self) -> float:
        """Return the age of the evidence for the version in force.

        Returns:
            Infinity if there is none.
        """
        self.check_pause()
        self._count_latest()
        return asyncio.get_running_loop().time() - self._confirmed_as_of

    def revocation_age_s(self) -> float:
        """Return the age of the evidence, that of former eras included.

        A log that comes back without its newest records takes nothing from
        what was certain before: all that it has acknowledged since is newer.

        Returns:
            Infinity if there is none.
        """
        age_s = self.age_s()
        now = asyncio.get_running_loop().time()
        return min(age_s, now - self._former_as_of)

    def position(self) -> LogPosition | None:
        """Return where to read on, None if something before it is missing."""
        position = self.latest.position if self.latest else None
        if position and position.version <= self._holder.version:
            return position
        return None

    def forget(self) -> None:
        """Drop all evidence after a pause of this node."""
        now = asyncio.get_running_loop().time()
        self.latest = None
        # This node's clock may have stopped.
        self._transits.clear()
        self.peers_read_at = LONG_AGO
        self.senior_read_at = LONG_AGO
        self._confirmed_as_of = LONG_AGO
        self._former_as_of = LONG_AGO
        self._sent_as_of = LONG_AGO
        self._trusted_from = max(self._trusted_from, now + PAUSE_RECOVERY_S)

    def remove_missing(self, nodes: Collection[str]) -> None:
        """Remove what is known of the clocks of members that are gone."""
        for sender in set(self._transits).difference(nodes):
            self._transits.pop(sender)

    def _transit_s(
        self, sender: str, message: ttypes.LogConfirmation, now: float
    ) -> float:
        transit = self._transits.get(sender)
        if transit is None:
            transit = RecentTransitEstimator()
            self._transits[sender] = transit
        return transit.estimate_s(message.sent_at_ms, now)

    def _note_reader(self, confirmation: Confirmation) -> None:
        reader, read_at = confirmation.reader, confirmation.read_at
        if reader == self._node or confirmation.position.era < self.era:
            return
        self.peers_read_at = max(self.peers_read_at, read_at)
        if not confirmation.is_takeover or reader < self._node:
            self.senior_read_at = max(self.senior_read_at, read_at)

    def _enter_era(self, era: int, now: float) -> None:
        if self.era != NO_ERA or self.latest:
            self._count_latest()
            self._trusted_from = now + ERA_SETTLE_S
            self._lowest_version = self._newest_known_version()
            self._former_as_of = max(self._former_as_of, self._confirmed_as_of)
            self._confirmed_as_of = LONG_AGO
        self.latest = None
        self.era = era
        self.on_era(era)

    def _count_latest(self) -> None:
        """Count the newest evidence if it is for the version in force."""
        latest = self.latest
        if latest is None or latest.as_of < self._trusted_from:
            return
        version = latest.position.version
        is_held = version <= self._holder.version
        is_known_newest = self._holder.version >= self._holder.announced_version
        if self._lowest_version <= version and is_held and is_known_newest:
            self._confirmed_as_of = max(self._confirmed_as_of, latest.as_of)

    def _newest_known_version(self) -> int:
        return max(self._holder.version, self._holder.announced_version)


def _do_nothing() -> None:
    """Do nothing."""


def _ignore_era(era: int) -> None:
    """Do nothing."""
