"""Queries of death: requests that crash their targets are blocked everywhere.

A request is identified by the fingerprint of its content. When a target breaks
its connections and cannot be reached, a crash is recorded for the fingerprints
of all requests that were running there. A fingerprint with two crashes is
refused on all nodes for a time. One success clears a fingerprint, so that
harmless requests which ran at the same time as the cause are not blocked.
"""

import asyncio
import hashlib
import itertools
import random
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field

from filbertdrift.errors import RequestNotRun
from filbertdrift.gen import ttypes
from filbertdrift.identity import Identity

CRASHES_TO_BLOCK = 2
BLOCK_DURATION_S = 600.0
RETRY_AFTER_JITTER = 0.2
MAX_HISTORIES = 4096
MAX_NOTICES = 512
MAX_SEEN_IDS = 8192
MAX_SUCCEEDED = 8192
MAX_NOTICE_FINGERPRINTS = 16
MS_PER_S = 1000
DIGEST_BYTES = 7
_HASH_BYTES = 12

SendNotice = Callable[[object], None]


@dataclass(slots=True)
class CrashHistory:
    """Crashes during which requests with a fingerprint were running."""

    expires_at: float
    crash_ids: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class MarkedFingerprint:
    """A fingerprint whose requests were running while targets crashed.

    Args:
        name: The fingerprint.
        crashes: The number of these crashes.
        is_refused: Whether requests with it are refused.
        forgotten_in_s: Time until its crash history expires.
    """

    name: str
    crashes: int
    is_refused: bool
    forgotten_in_s: float


@dataclass(slots=True)
class CrashCounters:
    """Changes to crash histories, and refused requests."""

    marked: int = 0
    cleared: int = 0
    refused: int = 0


@dataclass(frozen=True, slots=True)
class _StoredNotice:
    """A notice and when it expires."""

    notice: ttypes.CrashNotice
    expires_at: float


class CrashLedger:
    """Tracks which requests crash targets, in bounded memory.

    Args:
        identity: This node and its start, the prefix of the ids of its notices:
            other nodes keep those of its earlier processes.
        rng: Adds jitter to the retry-after delays.
    """

    def __init__(self, identity: Identity, rng: random.Random) -> None:
        """Start empty."""
        self.counters = CrashCounters()
        self.send_notice: SendNotice = _drop_notice
        self._prefix = f'{identity.address}/{identity.generation}'
        self._rng = rng
        self._digest = 0
        self._sequence = itertools.count(1)
        self._histories: OrderedDict[str, CrashHistory] = OrderedDict()
        self._notices: OrderedDict[str, _StoredNotice] = OrderedDict()
        self._seen_ids: OrderedDict[str, None] = OrderedDict()
        self._succeeded: OrderedDict[str, None] = OrderedDict()

    def check(self, name: str) -> None:
        """Refuse a request that has crashed targets.

        Args:
            name: Its fingerprint.

        Raises:
            RequestNotRun: Its fingerprint is blocked; it was not run.
        """
        history = self._histories.get(name)
        if history is None or len(history.crash_ids) < CRASHES_TO_BLOCK:
            return
        now = asyncio.get_running_loop().time()
        if now >= history.expires_at:
            self._histories.pop(name)
            return
        self.counters.refused += 1
        jitter = 1 + RETRY_AFTER_JITTER * self._rng.random()
        wait_s = (history.expires_at - now) * jitter
        raise RequestNotRun(
            f'this attempt was not run: earlier ones ended unknown and '
            f'crashed {len(history.crash_ids)} targets',
            retry_after_ms=int(wait_s * MS_PER_S),
            step='check crashes',
        )

    def is_known_safe(self, name: str) -> bool:
        """Return whether a fingerprint has succeeded and has no crashes."""
        return name in self._succeeded and name not in self._histories

    def record_success(self, name: str) -> None:
        """Record a success, which clears the fingerprint on all nodes."""
        self._succeeded[name] = None
        self._succeeded.move_to_end(name)
        if len(self._succeeded) > MAX_SUCCEEDED:
            self._succeeded.popitem(last=False)
        if name in self._histories:
            self._clear([name])
            self._announce([name], cleared=True)

    def record_crash(self, names: Sequence[str]) -> None:
        """Record a crash of the local target.

        Args:
            names: The fingerprints of the requests that were running there.
        """
        self._announce(names, cleared=False)

    def on_peer_notice(self, notice: ttypes.CrashNotice) -> None:
        """Apply a notice of another node, and gossip it on once."""
        if notice.crash_id in self._seen_ids:
            return
        self._apply(notice)
        self.send_notice(notice)

    def digest(self) -> int:
        """Return a digest of the stored notices, zero if there are none."""
        return self._digest

    def known_ids(self) -> Sequence[str]:
        """Return the ids of the stored notices, the newest last."""
        return list(self._notices)

    def list_notices_except(
        self,
        known_ids: Collection[str],
    ) -> Sequence[ttypes.CrashNotice]:
        """Return the stored notices whose ids are not given."""
        return [
            stored.notice
            for crash_id, stored in self._notices.items()
            if crash_id not in known_ids
        ]

    def remove_expired(self) -> None:
        """Remove expired crash histories and notices."""
        now = asyncio.get_running_loop().time()
        for name, history in list(self._histories.items()):
            if now >= history.expires_at:
                self._histories.pop(name)
        for crash_id, stored in list(self._notices.items()):
            if now >= stored.expires_at:
                self._remove_notice(crash_id)

    def marked(self) -> Sequence[MarkedFingerprint]:
        """Return the fingerprints with a crash history."""
        now = asyncio.get_running_loop().time()
        return [
            MarkedFingerprint(
                name=name,
                crashes=len(history.crash_ids),
                is_refused=len(history.crash_ids) >= CRASHES_TO_BLOCK,
                forgotten_in_s=max(history.expires_at - now, 0),
            )
            for name, history in self._histories.items()
        ]

    def _announce(self, names: Sequence[str], *, cleared: bool) -> None:
        non_empty = [name for name in names if name]
        for start in range(0, len(non_empty), MAX_NOTICE_FINGERPRINTS):
            notice = ttypes.CrashNotice(
                f'{self._prefix}/{next(self._sequence)}',
                non_empty[start : start + MAX_NOTICE_FINGERPRINTS],
                cleared,
            )
            self._apply(notice)
            self.send_notice(notice)

    def _apply(self, notice: ttypes.CrashNotice) -> None:
        self._store(notice)
        names = notice.fingerprints or ()
        if notice.cleared:
            self._clear(names)
        else:
            self._add_crash(notice.crash_id, names)

    def _store(self, notice: ttypes.CrashNotice) -> None:
        now = asyncio.get_running_loop().time()
        self._seen_ids[notice.crash_id] = None
        if len(self._seen_ids) > MAX_SEEN_IDS:
            self._seen_ids.popitem(last=False)
        self._notices[notice.crash_id] = _StoredNotice(
            notice, now + BLOCK_DURATION_S
        )
        self._digest ^= _hash_id(notice.crash_id)
        if len(self._notices) > MAX_NOTICES:
            self._remove_notice(next(iter(self._notices)))

    def _remove_notice(self, crash_id: str) -> None:
        self._notices.pop(crash_id)
        self._digest ^= _hash_id(crash_id)

    def _add_crash(self, crash_id: str, names: Iterable[str]) -> None:
        now = asyncio.get_running_loop().time()
        for name in names:
            self.counters.marked += 1
            history = self._histories.setdefault(
                name, CrashHistory(now + BLOCK_DURATION_S)
            )
            history.crash_ids.add(crash_id)
            if len(self._histories) > MAX_HISTORIES:
                self._histories.popitem(last=False)

    def _clear(self, names: Iterable[str]) -> None:
        for name in names:
            if self._histories.pop(name, None):
                self.counters.cleared += 1


def fingerprint(method: str, path: str, first_chunk: bytes) -> str:
    """Return the fingerprint of a request's content.

    Args:
        method: Upper case.
        path: The request target, query included.
        first_chunk: The first chunk of the body.
    """
    raw = f'{method} {path}\n'.encode() + first_chunk
    return hashlib.blake2b(raw, digest_size=_HASH_BYTES).hexdigest()


def _hash_id(crash_id: str) -> int:
    raw = hashlib.blake2b(crash_id.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(raw, 'big')


def _drop_notice(notice: object) -> None:
    """Do nothing."""
