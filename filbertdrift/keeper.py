"""A node's replica of the configuration and of its most recent records."""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift import configfile
from filbertdrift.errors import LogGap, RulesUnknown
from filbertdrift.fold import (
    EMPTY_OFFSET,
    ConfigState,
    decode_checkpoint,
    empty_state,
    fold,
)
from filbertdrift.keyedlog import NO_ERA
from filbertdrift.log import LogRecord

MAX_RETAINED_RECORDS = 256
MAX_RETAINED_BYTES = 1_048_576
OFFSETS_PER_ERA = 1_000_000_000_000

OnAdopt = Callable[[ConfigState], None]


@dataclass(slots=True)
class ReplicaCounters:
    """Configurations that were adopted, ignored, blocked or corrected.

    Args:
        eras_entered: Changes to a later era of the log.
    """

    adopted: int = 0
    wholes_adopted: int = 0
    older_ignored: int = 0
    rules_unknown: int = 0
    corrected: int = 0
    eras_entered: int = 0


class ConfigReplica:
    """The newest configuration of this node, derived from the log's records.

    Its position, which is the era of the log and the offset in it, only
    advances. The offset falls if the log comes back from an older copy.
    Recent records are retained to serve deltas to
    peers that are behind.

    Args:
        supported_rules: The highest rules version this program supports.

    Attributes:
        state: The configuration at the current offset.
        era: The era of the log that the offset belongs to.
        on_adopt: Called with each new state.
        blocked_by: The error if a record or checkpoint needs a newer program,
            otherwise empty.
    """

    def __init__(
        self,
        supported_rules: int = configfile.MAX_RULES_VERSION,
    ) -> None:
        """Start with the state before the first record."""
        self.state = empty_state()
        self.era = NO_ERA
        self.counters = ReplicaCounters()
        self.on_adopt: OnAdopt = _ignore_adopt
        self.blocked_by = ''
        self.supported_rules = supported_rules
        self._recent: deque[LogRecord] = deque()
        self._recent_bytes = 0

    @property
    def position(self) -> int:
        """Return era and offset as one number, comparable across eras."""
        return to_position(self.era, self.state.offset)

    def digest(self) -> tuple[int, bytes]:
        """Return the position and the digest of the configuration."""
        return self.position, self.state.digest

    def add(self, records: Sequence[LogRecord], era: int = NO_ERA) -> bool:
        """Apply records to the state; skip those already applied.

        Args:
            records: Records in order of their offsets.
            era: The era of their offsets.

        Returns:
            True if the offset advanced.

        Raises:
            LogGap: Records in between are missing, or are of a later era.
            RulesUnknown: A record needs a newer program.
        """
        if era < self.era:
            self.counters.older_ignored += 1
            return False
        if era > self.era and self.state.offset > EMPTY_OFFSET:
            reason = f'records of era {era} do not follow era {self.era}'
            raise LogGap(reason, step='add records')
        try:
            state, added = self._apply(records)
        except RulesUnknown as exc:
            self._block(exc)
            raise
        if not added:
            return False
        self._retain(added)
        self._adopt(state, era)
        return True

    def replace(self, payload: bytes, era: int = NO_ERA) -> bool:
        """Adopt the state in a checkpoint if it is newer.

        Args:
            payload: The encoded checkpoint from the log or a peer.
            era: The era of the log that it was read in.

        Returns:
            True if the position advanced.

        Raises:
            MalformedMessage: The payload is not a valid checkpoint.
            RulesUnknown: The checkpoint needs a newer program.
        """
        try:
            state = decode_checkpoint(payload, self.supported_rules)
        except RulesUnknown as exc:
            self._block(exc)
            raise
        if to_position(era, state.offset) <= self.position:
            self.counters.older_ignored += 1
            return False
        self.counters.wholes_adopted += 1
        self._discard_records()
        self._adopt(state, era)
        return True

    def enter_era(self, fresh: 'ConfigReplica') -> bool:
        """Adopt the state of another replica if it is of a later era.

        Args:
            fresh: A replica rebuilt from the log.

        Returns:
            True if it was adopted.
        """
        if fresh.era <= self.era:
            return False
        self._discard_records()
        self._adopt(fresh.state, fresh.era)
        return True

    def correct(self, fresh: 'ConfigReplica') -> None:
        """Adopt the state of another replica if it differs at this offset.

        Args:
            fresh: A replica rebuilt from the log.
        """
        is_same_position = fresh.position == self.position
        if is_same_position and fresh.state.digest != self.state.digest:
            self.counters.corrected += 1
            self._discard_records()
            self._adopt(fresh.state, fresh.era)

    def records_after(self, offset: int) -> Sequence[LogRecord] | None:
        """Return the records after an offset, None if some were discarded."""
        if offset >= self.state.offset:
            return ()
        found = [record for record in self._recent if record.offset > offset]
        if not found or found[0].offset != offset + 1:
            return None
        return found

    def _apply(
        self,
        records: Sequence[LogRecord],
    ) -> tuple[ConfigState, Sequence[LogRecord]]:
        state = self.state
        added = []
        for record in records:
            if record.offset <= state.offset:
                continue
            state = fold(
                state,
                record.offset,
                record.payload,
                self.supported_rules,
            )
            added.append(record)
        return state, added

    def _block(self, exc: RulesUnknown) -> None:
        self.counters.rules_unknown += 1
        self.blocked_by = str(exc)

    def _adopt(self, state: ConfigState, era: int) -> None:
        if era > self.era:
            self.counters.eras_entered += 1
            logger.warning(
                'the log is in era {}: from offset {} to {}',
                era,
                self.state.offset,
                state.offset,
            )
        self.state = state
        self.era = era
        self.blocked_by = ''
        self.counters.adopted += 1
        self.on_adopt(state)

    def _discard_records(self) -> None:
        self._recent.clear()
        self._recent_bytes = 0

    def _retain(self, records: Sequence[LogRecord]) -> None:
        self._recent.extend(records)
        self._recent_bytes += sum(len(record.payload) for record in records)
        while (
            len(self._recent) > MAX_RETAINED_RECORDS
            or self._recent_bytes > MAX_RETAINED_BYTES
        ):
            dropped = self._recent.popleft()
            self._recent_bytes -= len(dropped.payload)


def to_position(era: int, offset: int) -> int:
    """Return an era and an offset in it as one comparable number.

    Args:
        era: The era of the log.
        offset: The offset in that era, or EMPTY_OFFSET.
    """
    return era * OFFSETS_PER_ERA + offset


def from_position(position: int) -> tuple[int, int]:
    """Return the era and the offset of a position.

    Args:
        position: A result of to_position.
    """
    era, following = divmod(position - EMPTY_OFFSET, OFFSETS_PER_ERA)
    return era, following + EMPTY_OFFSET


def _ignore_adopt(state: ConfigState) -> None:
    """Do nothing."""
