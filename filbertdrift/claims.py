"""Claims: at most one run for all requests with one idempotency key.

Claims are records of a few streams of the log, chosen by key. The first claim
of a key on its stream counts, so the stream alone decides, whoever writes to
it and however late. To save appends, one node by rank batches the claims of a
stream; two such nodes at a time are harmless. A claim is won only after it
was read back from the stream.
"""

import asyncio
import hashlib
import time
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from filbertdrift.errors import (
    LogAnswerLost,
    LogUnavailable,
    MalformedMessage,
    PeerUnavailable,
)
from filbertdrift.gen import ttypes
from filbertdrift.link import LinkPool
from filbertdrift.log import CLAIM_STREAM_PREFIX, Log
from filbertdrift.membership import Membership
from filbertdrift.rendezvous import rank
from filbertdrift.wire import decode, encode

STREAMS = 8
BATCH_INTERVAL_S = 0.1
BATCH_ENTRIES = 500
ASK_TIMEOUT_S = 1.5
HOLDERS_TRIED = 2
READ_BACK_TRIES = 3
READ_BACK_INTERVAL_S = 0.1
IDLE_STREAM_S = 600.0
FORGET_AFTER_MS = 300_000
KEPT_BODY_BYTES = 4096
MS_PER_S = 1000
STREAM_DIGITS = 4
HEX = 16
_HASH_BYTES = 16


class ClaimUnavailable(PeerUnavailable):
    """Nobody can tell now who holds a key; the request was not run."""


@dataclass(slots=True)
class ClaimCounters:
    """What this node did for claims."""

    asked: int = 0
    won: int = 0
    lost: int = 0
    unavailable: int = 0
    batches: int = 0
    entries: int = 0


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """What holds a key.

    Args:
        entry: The claim that counts, or its answer.
        is_granted: True if it is the claim that was just made.
    """

    entry: ttypes.ClaimEntry
    is_granted: bool


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """A key within its scope.

    Args:
        digest: Of client account, route and key.
        fingerprint: Of the request that the key came with.
    """

    digest: str
    fingerprint: str


def claim_key(
    client_account: str,
    route: str,
    key: str,
    request: bytes,
) -> ClaimKey:
    """Return an idempotency key scoped to its client account and route.

    Args:
        client_account: Whose key it is.
        route: The route's name.
        key: The key as the caller sent it.
        request: Method, path and beginning of the body.
    """
    scope = f'{client_account}\0{route}\0{key}'.encode()
    return ClaimKey(_digest(scope), _digest(request))


class ClaimStream:
    """The fold of one stream of claims.

    Args:
        log: The platform's log.
        name: The stream's name.
    """

    def __init__(self, log: Log, name: str) -> None:
        """Start before the first record."""
        self.name = name
        self.used_at = asyncio.get_running_loop().time()
        self._log = log
        self._next_offset = 0
        self._holders: dict[str, ttypes.ClaimEntry] = {}
        self._batches: set[str] = set()
        self._waiting: list[tuple[ttypes.ClaimEntry, _Answer]] = []
        self._worker: asyncio.Task[None] | None = None

    def submit(self, entry: ttypes.ClaimEntry) -> '_Answer':
        """Write an entry with the next batch.

        Args:
            entry: The entry.

        Returns:
            A future of what holds the key after the entry.
        """
        loop = asyncio.get_running_loop()
        self.used_at = loop.time()
        answer: _Answer = loop.create_future()
        self._waiting.append((entry, answer))
        if self._worker is None or self._worker.done():
            self._worker = loop.create_task(self._work())
        return answer

    def fold(self, batch: ttypes.ClaimBatch) -> None:
        """Apply one record of the stream."""
        for entry in batch.entries or ():
            holder = self._holders.get(entry.key)
            if holder and holder.expires_ms <= entry.written_ms:
                self._holders.pop(entry.key)
            if entry.kind == ttypes.ClaimKind.CLAIM:
                self._holders.setdefault(entry.key, entry)
            else:
                self._settle(entry)

    def holder(self, key: str) -> ttypes.ClaimEntry | None:
        """Return what holds a key, None if it is free."""
        return self._holders.get(key)

    def close(self) -> None:
        """Stop writing."""
        if self._worker:
            self._worker.cancel()

    def _settle(self, entry: ttypes.ClaimEntry) -> None:
        holder = self._holders.get(entry.key)
        if holder is None or holder.claim_id != entry.claim_id:
            return
        if entry.kind == ttypes.ClaimKind.DONE:
            self._holders[entry.key] = entry
        else:
            self._holders.pop(entry.key)

    async def _work(self) -> None:
        while self._waiting:
            taken = self._waiting[:BATCH_ENTRIES]
            self._waiting = self._waiting[BATCH_ENTRIES:]
            try:
                await self._write([entry for entry, _ in taken])
            except (LogUnavailable, MalformedMessage) as exc:
                self._fail(taken, str(exc))
            else:
                self._answer(taken)
            await asyncio.sleep(BATCH_INTERVAL_S)

    def _answer(
        self,
        taken: Sequence[tuple[ttypes.ClaimEntry, '_Answer']],
    ) -> None:
        for entry, answer in taken:
            if not answer.done():
                holder = self._holders.get(entry.key)
                answer.set_result(ttypes.ClaimVerdict(holder, ''))

    def _fail(
        self,
        taken: Sequence[tuple[ttypes.ClaimEntry, '_Answer']],
        reason: str,
    ) -> None:
        for _, answer in taken:
            if not answer.done():
                answer.set_result(ttypes.ClaimVerdict(None, reason))

    async def _write(self, entries: Sequence[ttypes.ClaimEntry]) -> None:
        batch_id = uuid.uuid4().hex
        payload = encode(ttypes.ClaimBatch(batch_id, list(entries)))
        try:
            await self._log.append(self.name, payload)
        except LogAnswerLost:
            if await self._is_written(batch_id):
                return
            await self._log.append(self.name, payload)
        for _ in range(READ_BACK_TRIES):
            if await self._is_written(batch_id):
                return
            await asyncio.sleep(READ_BACK_INTERVAL_S)
        raise LogAnswerLost('not read back', step=f'claim {self.name}')

    async def _is_written(self, batch_id: str) -> bool:
        self._batches.clear()
        while True:
            page = await self._log.read(self.name, self._next_offset)
            for record in page.records:
                batch = decode(ttypes.ClaimBatch, record.payload)
                self.fold(batch)
                self._batches.add(batch.batch_id)
                self._next_offset = record.offset + 1
            self._next_offset = max(self._next_offset, page.first_offset)
            if self._next_offset >= page.next_offset:
                return batch_id in self._batches

    def remove_expired(self, now_ms: int) -> None:
        """Drop holders that expired so long ago that no claim can meet them.

        Until then the fold compares times of records alone, so that every
        node reaches the same holder.

        Args:
            now_ms: Milliseconds since the epoch.
        """
        for key, holder in list(self._holders.items()):
            if holder.expires_ms + FORGET_AFTER_MS <= now_ms:
                self._holders.pop(key)


class Claims:
    """Asks for claims, and batches those that other nodes ask for.

    Args:
        log: The platform's log.
        membership: The other nodes.
        links: Connections to them.
        ttl_s: How long a claim holds, below the retention of the log.
        wall_clock: Returns seconds since the epoch.
    """

    def __init__(
        self,
        log: Log,
        membership: Membership,
        links: LinkPool,
        ttl_s: float,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Start without streams."""
        self.counters = ClaimCounters()
        self._log = log
        self._membership = membership
        self._links = links
        self._ttl_ms = int(ttl_s * MS_PER_S)
        self._wall_clock = wall_clock
        self._streams: dict[str, ClaimStream] = {}

    async def claim(self, key: ClaimKey, deadline: float) -> ClaimResult:
        """Claim a key.

        Args:
            key: The key.
            deadline: When to give up, on the loop's clock.

        Returns:
            What holds the key now.

        Raises:
            ClaimUnavailable: Nobody can tell; the key may or may not be held
                by this claim, which is released as soon as possible.
        """
        self.counters.asked += 1
        now_ms = int(self._wall_clock() * MS_PER_S)
        entry = ttypes.ClaimEntry(
            key=key.digest,
            claim_id=uuid.uuid4().hex,
            kind=ttypes.ClaimKind.CLAIM,
            fingerprint=key.fingerprint,
            written_ms=now_ms,
            expires_ms=now_ms + self._ttl_ms,
        )
        try:
            verdict = await self._submit(entry, deadline)
        except ClaimUnavailable:
            self.counters.unavailable += 1
            self.release(entry)
            raise
        holder = verdict.holder
        is_granted = bool(holder and holder.claim_id == entry.claim_id)
        if is_granted:
            self.counters.won += 1
        else:
            self.counters.lost += 1
        return ClaimResult(holder or entry, is_granted)

    def release(self, entry: ttypes.ClaimEntry) -> asyncio.Task[None]:
        """Free a key whose request was certainly not run.

        Args:
            entry: The claim that was won.

        Returns:
            The task that writes the release.
        """
        return self._settle(entry, ttypes.ClaimKind.RELEASE, 0, None, '')

    def complete(
        self,
        entry: ttypes.ClaimEntry,
        status: int,
        body: bytes | None,
        content_type: str,
    ) -> asyncio.Task[None]:
        """Keep the answer of a claimed request for repeats.

        Args:
            entry: The claim that was won.
            status: The answer's status.
            body: Its body, None if it is too large to keep.
            content_type: Its content type.

        Returns:
            The task that writes the answer.
        """
        kind = ttypes.ClaimKind.DONE
        return self._settle(entry, kind, status, body, content_type)

    async def serve(self, ask: ttypes.ClaimAsk) -> ttypes.ClaimVerdict:
        """Write an entry for another node and say what holds the key."""
        self.counters.entries += 1
        return await self._stream(_stream_of(ask.entry.key)).submit(ask.entry)

    def remove_expired(self) -> None:
        """Drop expired claims and streams that nobody asked for lately."""
        now = asyncio.get_running_loop().time()
        for name, stream in list(self._streams.items()):
            stream.remove_expired(int(self._wall_clock() * MS_PER_S))
            if now - stream.used_at > IDLE_STREAM_S:
                stream.close()
                self._streams.pop(name)

    def close(self) -> None:
        """Stop writing."""
        for stream in self._streams.values():
            stream.close()

    def _settle(
        self,
        entry: ttypes.ClaimEntry,
        kind: int,
        status: int,
        body: bytes | None,
        content_type: str,
    ) -> asyncio.Task[None]:
        settled = ttypes.ClaimEntry(
            key=entry.key,
            claim_id=entry.claim_id,
            kind=kind,
            fingerprint=entry.fingerprint,
            written_ms=int(self._wall_clock() * MS_PER_S),
            expires_ms=entry.expires_ms,
            status=status,
            body=body,
            content_type=content_type,
        )
        loop = asyncio.get_running_loop()
        return loop.create_task(self._submit_quietly(settled))

    async def _submit_quietly(self, entry: ttypes.ClaimEntry) -> None:
        deadline = asyncio.get_running_loop().time() + ASK_TIMEOUT_S
        try:
            await self._submit(entry, deadline)
        except ClaimUnavailable:
            self.counters.unavailable += 1

    async def _submit(
        self,
        entry: ttypes.ClaimEntry,
        deadline: float,
    ) -> ttypes.ClaimVerdict:
        failure = 'no node to ask'
        for node in self._batchers(_stream_of(entry.key)):
            try:
                verdict = await self._ask(node, entry, deadline)
            except PeerUnavailable as exc:
                failure = str(exc)
                continue
            if not verdict.failure:
                return verdict
            failure = verdict.failure
        raise ClaimUnavailable(failure, step='claim')

    async def _ask(
        self,
        node: str,
        entry: ttypes.ClaimEntry,
        deadline: float,
    ) -> ttypes.ClaimVerdict:
        ask = ttypes.ClaimAsk(entry)
        limit = asyncio.get_running_loop().time() + ASK_TIMEOUT_S
        if node != self._membership.me.node:
            reply = await self._links.ask(node, ask, min(deadline, limit))
            if isinstance(reply, ttypes.ClaimVerdict):
                return reply
            raise PeerUnavailable('no verdict', step='claim', peer=node)
        try:
            async with asyncio.timeout_at(min(deadline, limit)):
                return await self.serve(ask)
        except TimeoutError as exc:
            raise PeerUnavailable('timeout', step='claim', peer=node) from exc

    def _batchers(self, stream: str) -> Sequence[str]:
        unreachable = self._membership.unreachable_domains
        nodes = [
            member.node
            for member in self._membership.table.alive()
            if member.domain not in unreachable
            and member.status <= ttypes.MemberStatus.SERVING
        ]
        ranked = list(rank(stream, nodes))[:HOLDERS_TRIED]
        own = self._membership.me.node
        return ranked if own in ranked else [*ranked, own]

    def _stream(self, name: str) -> ClaimStream:
        if name not in self._streams:
            self._streams[name] = ClaimStream(self._log, name)
        return self._streams[name]


_Answer = asyncio.Future[ttypes.ClaimVerdict]


def _stream_of(key: str) -> str:
    return f'{CLAIM_STREAM_PREFIX}{int(key[:STREAM_DIGITS], HEX) % STREAMS}'


def _digest(raw: bytes) -> str:
    return hashlib.blake2b(raw, digest_size=_HASH_BYTES).hexdigest()
