"""Requests that crash their targets, known to all nodes.

A request is known by the fingerprint of its content. When a target breaks off
and cannot be reached, whatever ran there gets a mark. A fingerprint with two
marks from two crashes is refused everywhere for a time. One good run clears
a fingerprint, so that innocent requests which ran beside it go free.
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

CRASHES_TO_CONDEMN = 2
CONDEMNED_S = 600.0
RETRY_AFTER_SPREAD = 0.2
MARKS_KEPT = 4096
NOTICES_KEPT = 512
SEEN_KEPT = 8192
WELL_KEPT = 8192
NOTICE_FINGERPRINTS = 16
MS_PER_S = 1000
DIGEST_BYTES = 7
_HASH_BYTES = 12

OnNotice = Callable[[object], None]


@dataclass(slots=True)
class Marks:
    """The crashes during which a fingerprint ran."""

    expires_at: float
    crash_ids: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class MarkedFingerprint:
    """A fingerprint that ran while targets crashed.

    Args:
        name: The fingerprint.
        crashes: How many crashes it ran in.
        is_refused: Requests with it are refused.
        forgotten_in_s: When its marks are dropped, from now.
    """

    name: str
    crashes: int
    is_refused: bool
    forgotten_in_s: float


@dataclass(slots=True)
class CrashCounters:
    """What the ledger did."""

    marked: int = 0
    cleared: int = 0
    refused: int = 0


@dataclass(frozen=True, slots=True)
class _KeptNotice:
    """A notice and when it may be forgotten."""

    notice: ttypes.CrashNotice
    expires_at: float


class CrashLedger:
    """Which requests crash targets, in bounded memory.

    Args:
        node: This node, to name the crashes it sees.
        rng: Spreads the retry-after delays.
    """

    def __init__(self, node: str, rng: random.Random) -> None:
        """Start empty."""
        self.counters = CrashCounters()
        self.on_notice: OnNotice = _ignore_notice
        self._node = node
        self._rng = rng
        self._digest = 0
        self._numbers = itertools.count(1)
        self._marks: OrderedDict[str, Marks] = OrderedDict()
        self._notices: OrderedDict[str, _KeptNotice] = OrderedDict()
        self._seen: OrderedDict[str, None] = OrderedDict()
        self._ran_well: OrderedDict[str, None] = OrderedDict()

    def check(self, name: str) -> None:
        """Refuse a request that has crashed targets.

        Args:
            name: Its fingerprint.

        Raises:
            RequestNotRun: It crashed too many; this attempt was not run.
        """
        marks = self._marks.get(name)
        if marks is None or len(marks.crash_ids) < CRASHES_TO_CONDEMN:
            return
        now = asyncio.get_running_loop().time()
        if now >= marks.expires_at:
            self._marks.pop(name)
            return
        self.counters.refused += 1
        spread = 1 + RETRY_AFTER_SPREAD * self._rng.random()
        wait_s = (marks.expires_at - now) * spread
        raise RequestNotRun(
            f'this attempt was not run: earlier ones ended unknown and '
            f'crashed {len(marks.crash_ids)} targets',
            retry_after_ms=int(wait_s * MS_PER_S),
            step='check crashes',
        )

    def is_innocent(self, name: str) -> bool:
        """Tell whether a fingerprint has run well and has no marks."""
        return name in self._ran_well and name not in self._marks

    def ran_well(self, name: str) -> None:
        """Note a good run; it clears the fingerprint everywhere."""
        self._ran_well[name] = None
        self._ran_well.move_to_end(name)
        if len(self._ran_well) > WELL_KEPT:
            self._ran_well.popitem(last=False)
        if name in self._marks:
            self._clear([name])
            self._tell([name], cleared=True)

    def mark(self, names: Sequence[str]) -> None:
        """Mark what ran while the local target crashed.

        Args:
            names: The fingerprints that ran there.
        """
        self._tell(names, cleared=False)

    def on_peer_notice(self, notice: ttypes.CrashNotice) -> None:
        """Take over what another node saw, and pass it on once."""
        if notice.crash_id in self._seen:
            return
        self._take(notice)
        self.on_notice(notice)

    def digest(self) -> int:
        """Return a digest of the notices kept, zero if there are none."""
        return self._digest

    def known_ids(self) -> Sequence[str]:
        """Return the notices kept, the newest last."""
        return list(self._notices)

    def notices_beyond(
        self,
        known_ids: Collection[str],
    ) -> Sequence[ttypes.CrashNotice]:
        """Return the notices that another node does not know."""
        return [
            kept.notice
            for crash_id, kept in self._notices.items()
            if crash_id not in known_ids
        ]

    def forget_expired(self) -> None:
        """Drop marks whose time is over."""
        now = asyncio.get_running_loop().time()
        for name, marks in list(self._marks.items()):
            if now >= marks.expires_at:
                self._marks.pop(name)
        for crash_id, kept in list(self._notices.items()):
            if now >= kept.expires_at:
                self._forget_notice(crash_id)

    def marked(self) -> Sequence[MarkedFingerprint]:
        """Return the fingerprints that have marks."""
        now = asyncio.get_running_loop().time()
        return [
            MarkedFingerprint(
                name=name,
                crashes=len(marks.crash_ids),
                is_refused=len(marks.crash_ids) >= CRASHES_TO_CONDEMN,
                forgotten_in_s=max(marks.expires_at - now, 0),
            )
            for name, marks in self._marks.items()
        ]

    def _tell(self, names: Sequence[str], *, cleared: bool) -> None:
        known = [name for name in names if name]
        for start in range(0, len(known), NOTICE_FINGERPRINTS):
            notice = ttypes.CrashNotice(
                f'{self._node}/{next(self._numbers)}',
                known[start : start + NOTICE_FINGERPRINTS],
                cleared,
            )
            self._take(notice)
            self.on_notice(notice)

    def _take(self, notice: ttypes.CrashNotice) -> None:
        self._keep(notice)
        names = notice.fingerprints or ()
        if notice.cleared:
            self._clear(names)
        else:
            self._mark(notice.crash_id, names)

    def _keep(self, notice: ttypes.CrashNotice) -> None:
        now = asyncio.get_running_loop().time()
        self._seen[notice.crash_id] = None
        if len(self._seen) > SEEN_KEPT:
            self._seen.popitem(last=False)
        self._notices[notice.crash_id] = _KeptNotice(notice, now + CONDEMNED_S)
        self._digest ^= _hash_of(notice.crash_id)
        if len(self._notices) > NOTICES_KEPT:
            self._forget_notice(next(iter(self._notices)))

    def _forget_notice(self, crash_id: str) -> None:
        self._notices.pop(crash_id)
        self._digest ^= _hash_of(crash_id)

    def _mark(self, crash_id: str, names: Iterable[str]) -> None:
        now = asyncio.get_running_loop().time()
        for name in names:
            self.counters.marked += 1
            marks = self._marks.setdefault(name, Marks(now + CONDEMNED_S))
            marks.crash_ids.add(crash_id)
            if len(self._marks) > MARKS_KEPT:
                self._marks.popitem(last=False)

    def _clear(self, names: Iterable[str]) -> None:
        for name in names:
            if self._marks.pop(name, None):
                self.counters.cleared += 1


def fingerprint(method: str, path: str, first_chunk: bytes) -> str:
    """Return the fingerprint of a request's content.

    Args:
        method: Upper case.
        path: The request target, query included.
        first_chunk: The beginning of the body.
    """
    raw = f'{method} {path}\n'.encode() + first_chunk
    return hashlib.blake2b(raw, digest_size=_HASH_BYTES).hexdigest()


def _hash_of(crash_id: str) -> int:
    raw = hashlib.blake2b(crash_id.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(raw, 'big')


def _ignore_notice(notice: object) -> None:
    """Do nothing."""
