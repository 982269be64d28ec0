"""Deterministic replay of the configuration stream.

The configuration at an offset is a pure function of the records up to that
offset. Every node applies the same records, reaches the same state and rejects
the same changes for the same reason. The version of the validation rules is
part of the state and is raised by a record, so programs of different versions
either reach the same verdict on a record or do not apply it.
"""

import functools
import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import IntEnum

from filbertdrift import configfile
from filbertdrift.errors import (
    ConfigInvalid,
    LogGap,
    MalformedMessage,
    RulesUnknown,
)
from filbertdrift.gen import ttypes
from filbertdrift.wire import decode, encode

EMPTY_OFFSET = -1
DIGEST_BYTES = 8
MAX_VERDICTS = 256
MAX_REASON_CHARS = 500
MAX_REMOVED_FILES = 1024


class VerdictKind(IntEnum):
    """The outcome of applying a record.

    A record is OVERTAKEN if one of its files was changed or removed after the
    offset on which the record is based (optimistic concurrency control).
    """

    ACCEPTED = 1
    INVALID = 2
    OVERTAKEN = 3
    DUPLICATE = 4
    MALFORMED = 5


@dataclass(frozen=True, slots=True)
class Verdict:
    """The outcome of one record, the same on every node."""

    offset: int
    record_id: str
    kind: VerdictKind
    reason: str = ''
    overtaken_by: int = EMPTY_OFFSET


@dataclass(frozen=True, slots=True)
class FileState:
    """One file and the offset of the record that set or removed it.

    A removed file has no content. Its revision stays as a tombstone, so that
    a change based on an offset before the removal is detected as a conflict.
    """

    content: str | None
    revision: int


@dataclass(frozen=True)
class ConfigState:
    """The configuration at one offset of the stream."""

    offset: int
    rules: int
    files: Mapping[str, FileState]
    verdicts: tuple[Verdict, ...] = ()

    @functools.cached_property
    def digest(self) -> bytes:
        """Digest of the encoded checkpoint, DIGEST_BYTES long."""
        return hashlib.blake2b(
            encode_checkpoint(self),
            digest_size=DIGEST_BYTES,
        ).digest()

    @functools.cached_property
    def merged(self) -> configfile.MergedConfig:
        """The validated configuration."""
        return configfile.check(self.contents(), self.rules)

    def contents(self) -> dict[str, str]:
        """Return the contents of all files by name."""
        return {
            name: file.content
            for name, file in self.files.items()
            if file.content is not None
        }

    def find_verdict(self, record_id: str) -> Verdict | None:
        """Return the first retained verdict on a record, or None."""
        for verdict in self.verdicts:
            if verdict.record_id == record_id:
                return verdict
        return None


def empty_state() -> ConfigState:
    """Return the state before the first record."""
    return ConfigState(EMPTY_OFFSET, configfile.FIRST_RULES_VERSION, {})


def fold(
    state: ConfigState,
    offset: int,
    payload: bytes,
    supported_rules: int = configfile.MAX_RULES_VERSION,
) -> ConfigState:
    """Apply the next record to a state.

    Args:
        state: The state at the preceding offset.
        offset: The record's offset, one above the state's.
        payload: The record as stored in the log.
        supported_rules: The highest rules version this program supports.

    Returns:
        The state at the record's offset; its last verdict is the record's.

    Raises:
        LogGap: The record is not the next one.
        RulesUnknown: The record raises the rules beyond supported_rules.
    """
    if offset != state.offset + 1:
        reason = f'record {offset} does not follow {state.offset}'
        raise LogGap(reason, step='fold')
    try:
        record = decode(ttypes.ConfigRecord, payload)
    except MalformedMessage as exc:
        verdict = Verdict(offset, '', VerdictKind.MALFORMED, exc.reason)
        return _with_verdict(state, verdict)
    if (record.raise_rules or 0) > supported_rules:
        reason = f'rules {record.raise_rules} need a newer program'
        raise RulesUnknown(reason, step='fold')
    return _apply(state, offset, record)


def encode_checkpoint(state: ConfigState) -> bytes:
    """Encode a state as a record of the checkpoint stream."""
    return encode(
        ttypes.Checkpoint(
            offset=state.offset,
            rules=state.rules,
            files=[
                ttypes.StoredFile(name, file.content, file.revision)
                for name, file in sorted(state.files.items())
            ],
            verdicts=[
                ttypes.StoredVerdict(
                    verdict.offset,
                    verdict.record_id,
                    int(verdict.kind),
                    verdict.reason,
                    verdict.overtaken_by,
                )
                for verdict in state.verdicts
            ],
        ),
    )


def decode_checkpoint(
    payload: bytes,
    supported_rules: int = configfile.MAX_RULES_VERSION,
) -> ConfigState:
    """Decode a record of the checkpoint stream.

    Args:
        payload: The record.
        supported_rules: The highest rules version this program supports.

    Returns:
        The state.

    Raises:
        MalformedMessage: The payload is not a complete, valid checkpoint.
        RulesUnknown: The checkpoint needs rules beyond supported_rules.
    """
    stored = decode(ttypes.Checkpoint, payload)
    if (stored.rules or 0) > supported_rules:
        reason = f'rules {stored.rules} need a newer program'
        raise RulesUnknown(reason, step='read checkpoint')
    try:
        state = _from_stored(stored)
        state.merged  # noqa: B018
    except (ConfigInvalid, ValueError, TypeError) as exc:
        reason = f'bad checkpoint: {exc}'
        raise MalformedMessage(reason, step='read checkpoint') from exc
    return state


def _from_stored(stored: ttypes.Checkpoint) -> ConfigState:
    return ConfigState(
        offset=stored.offset,
        rules=stored.rules,
        files={
            file.name: FileState(file.content, file.revision)
            for file in stored.files
        },
        verdicts=tuple(
            Verdict(
                verdict.offset,
                verdict.record_id,
                VerdictKind(verdict.kind),
                verdict.reason,
                verdict.overtaken_by,
            )
            for verdict in stored.verdicts
        ),
    )


def _apply(
    state: ConfigState,
    offset: int,
    record: ttypes.ConfigRecord,
) -> ConfigState:
    record_id = record.record_id or ''
    first = state.find_verdict(record_id) if record_id else None
    if first is not None:
        reason = f'the same change as offset {first.offset}'
        verdict = Verdict(offset, record_id, VerdictKind.DUPLICATE, reason)
        return _with_verdict(state, verdict)
    conflict = _find_conflict(state, record)
    if conflict is not None:
        return _with_verdict(
            state,
            _overtaken_verdict(offset, record, *conflict),
        )
    changed = replace(
        state,
        files=_apply_changes(state.files, offset, record.files or ()),
        rules=max(state.rules, record.raise_rules or 0),
    )
    try:
        changed.merged  # noqa: B018
    except ConfigInvalid as exc:
        verdict = Verdict(offset, record_id, VerdictKind.INVALID, exc.reason)
        return _with_verdict(state, verdict)
    verdict = Verdict(offset, record_id, VerdictKind.ACCEPTED)
    return _with_verdict(changed, verdict)


def _overtaken_verdict(
    offset: int,
    record: ttypes.ConfigRecord,
    name: str,
    revision: int,
) -> Verdict:
    reason = (
        f'{name}: changed at offset {revision}, after this change was '
        f'prepared at {record.base_offset}; read it and publish again'
    )
    return Verdict(
        offset,
        record.record_id or '',
        VerdictKind.OVERTAKEN,
        reason,
        revision,
    )


def _find_conflict(
    state: ConfigState,
    record: ttypes.ConfigRecord,
) -> tuple[str, int] | None:
    """Return the name and revision of a file changed since the base offset."""
    base = EMPTY_OFFSET if record.base_offset is None else record.base_offset
    for file in record.files or ():
        current = state.files.get(file.name)
        if current is not None and current.revision > base:
            return file.name, current.revision
    return None


def _apply_changes(
    files: Mapping[str, FileState],
    offset: int,
    changes: Iterable[ttypes.ConfigFile],
) -> dict[str, FileState]:
    changed = dict(files)
    for change in changes:
        changed[change.name] = FileState(change.content, offset)
    removed = sorted(
        (file.revision, name)
        for name, file in changed.items()
        if file.content is None
    )
    for _, name in removed[:-MAX_REMOVED_FILES]:
        changed.pop(name)
    return changed


def _with_verdict(state: ConfigState, verdict: Verdict) -> ConfigState:
    verdict = replace(verdict, reason=verdict.reason[:MAX_REASON_CHARS])
    kept = state.verdicts[-(MAX_VERDICTS - 1) :]
    advanced = replace(state, offset=verdict.offset, verdicts=(*kept, verdict))
    # Files and rules are the same, so the validated configuration is reused.
    advanced.__dict__['merged'] = state.merged
    return advanced
