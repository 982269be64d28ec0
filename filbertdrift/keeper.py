"""A node's replica of the configuration and of its most recent records."""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from filbertdrift import configfile
from filbertdrift.errors import RulesUnknown
from filbertdrift.fold import (
    ConfigState,
    decode_checkpoint,
    empty_state,
    fold,
)
from filbertdrift.log import LogRecord

MAX_RETAINED_RECORDS = 256
MAX_RETAINED_BYTES = 1_048_576

OnAdopt = Callable[[ConfigState], None]


@dataclass(slots=True)
class ReplicaCounters:
    """Configurations that were adopted, ignored, blocked or corrected."""

    adopted: int = 0
    wholes_adopted: int = 0
    older_ignored: int = 0
    rules_unknown: int = 0
    corrected: int = 0


class ConfigReplica:
    """The newest configuration of this node, derived from the log's records.

    Its offset only advances. Recent records are retained to serve deltas to
    peers that are behind.

    Args:
        supported_rules: The highest rules version this program supports.

    Attributes:
        state: The configuration at the current offset.
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
        self.counters = ReplicaCounters()
        self.on_adopt: OnAdopt = _ignore_adopt
        self.blocked_by = ''
        self.supported_rules = supported_rules
        self._recent: deque[LogRecord] = deque()
        self._recent_bytes = 0

    def digest(self) -> tuple[int, bytes]:
        """Return the offset and the digest of the configuration."""
        return self.state.offset, self.state.digest

    def add(self, records: Sequence[LogRecord]) -> bool:
        """Apply records to the state; skip those already applied.

        Args:
            records: Records in order of their offsets.

        Returns:
            True if the offset advanced.

        Raises:
            LogGap: Records in between are missing.
            RulesUnknown: A record needs a newer program.
        """
        try:
            state, added = self._apply(records)
        except RulesUnknown as exc:
            self._block(exc)
            raise
        if not added:
            return False
        self._retain(added)
        self._adopt(state)
        return True

    def replace(self, payload: bytes) -> bool:
        """Adopt the state in a checkpoint if it is newer.

        Args:
            payload: The encoded checkpoint from the log or a peer.

        Returns:
            True if the offset advanced.

        Raises:
            MalformedMessage: The payload is not a valid checkpoint.
            RulesUnknown: The checkpoint needs a newer program.
        """
        try:
            state = decode_checkpoint(payload, self.supported_rules)
        except RulesUnknown as exc:
            self._block(exc)
            raise
        if state.offset <= self.state.offset:
            self.counters.older_ignored += 1
            return False
        self.counters.wholes_adopted += 1
        self._discard_records()
        self._adopt(state)
        return True

    def correct(self, fresh: 'ConfigReplica') -> None:
        """Adopt the state of another replica if it differs at this offset.

        Args:
            fresh: A replica rebuilt from the log.
        """
        is_same_offset = fresh.state.offset == self.state.offset
        if is_same_offset and fresh.state.digest != self.state.digest:
            self.counters.corrected += 1
            self._discard_records()
            self._adopt(fresh.state)

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

    def _adopt(self, state: ConfigState) -> None:
        self.state = state
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


def _ignore_adopt(state: ConfigState) -> None:
    """Do nothing."""
