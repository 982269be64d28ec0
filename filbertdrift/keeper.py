"""The newest configuration a node has, and the records behind it."""

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

KEPT_RECORDS = 256
KEPT_BYTES = 1_048_576

OnAdopt = Callable[[ConfigState], None]


@dataclass(slots=True)
class ReplicaCounters:
    """What happened to this node's configuration."""

    adopted: int = 0
    wholes_adopted: int = 0
    older_ignored: int = 0
    rules_unknown: int = 0
    corrected: int = 0


class ConfigReplica:
    """The newest configuration this node has; it only moves forward.

    Args:
        supported_rules: The highest level of rules this program knows.
    """

    def __init__(
        self,
        supported_rules: int = configfile.RULES_SUPPORTED,
    ) -> None:
        """Start before the first record."""
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
        """Fold records that follow the configuration; skip older ones.

        Args:
            records: Records in order.

        Returns:
            True if the configuration moved forward.

        Raises:
            LogGap: Records between are missing.
            RulesUnknown: Only a newer program can judge from here on.
        """
        try:
            state, added = self._fold(records)
        except RulesUnknown as exc:
            self._block(exc)
            raise
        if not added:
            return False
        self._remember(added)
        self._adopt(state)
        return True

    def replace(self, payload: bytes) -> bool:
        """Take over a checkpoint if it is newer.

        Args:
            payload: The checkpoint as the log or a peer sent it.

        Returns:
            True if the configuration moved forward.

        Raises:
            MalformedMessage: The bytes are no valid checkpoint.
            RulesUnknown: Only a newer program can use it.
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
        self._forget_records()
        self._adopt(state)
        return True

    def correct(self, fresh: 'ConfigReplica') -> None:
        """Take over a fold of the log that disagrees at the same offset.

        Args:
            fresh: A replica that folded the log anew.
        """
        is_same_offset = fresh.state.offset == self.state.offset
        if is_same_offset and fresh.state.digest != self.state.digest:
            self.counters.corrected += 1
            self._forget_records()
            self._adopt(fresh.state)

    def records_after(self, offset: int) -> Sequence[LogRecord] | None:
        """Return the records behind an offset, None if some are gone."""
        if offset >= self.state.offset:
            return ()
        found = [record for record in self._recent if record.offset > offset]
        if not found or found[0].offset != offset + 1:
            return None
        return found

    def _fold(
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

    def _forget_records(self) -> None:
        self._recent.clear()
        self._recent_bytes = 0

    def _remember(self, records: Sequence[LogRecord]) -> None:
        self._recent.extend(records)
        self._recent_bytes += sum(len(found.payload) for found in records)
        while (
            len(self._recent) > KEPT_RECORDS or self._recent_bytes > KEPT_BYTES
        ):
            dropped = self._recent.popleft()
            self._recent_bytes -= len(dropped.payload)


def _ignore_adopt(state: ConfigState) -> None:
    """Do nothing."""
