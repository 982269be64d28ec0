"""Claims: at most one execution of all requests with one idempotency key.

Claims are records in a few streams of the log, selected by key. The first
claim of a key in its stream is granted, so the order of the stream alone
decides, whichever node appends to it and however late. To save appends, the
node that ranks first batches the claims of a stream; two such nodes at a time
are harmless. A claim is granted only after it was read back from the stream.

If the log comes back from an older copy, a writer reads the stream again from
its start, and appends the claims and responses that the log has lost before it
grants others.
"""

import asyncio
import hashlib
import time
import uuid
from collections.abc import Callable, Collection, Iterator, Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift.errors import (
    LogAnswerLost,
    LogUnavailable,
    MalformedMessage,
    PeerUnavailable,
)
from filbertdrift.gen import ttypes
from filbertdrift.keyedlog import NO_ERA
from filbertdrift.link import LinkPool
from filbertdrift.log import CLAIM_STREAM_PREFIX, Log, LogPage
from filbertdrift.membership import Membership
from filbertdrift.rendezvous import rank
from filbertdrift.wire import decode, encode

STREAMS = 8
BATCH_INTERVAL_S = 0.1
MAX_BATCH_ENTRIES = 500
SUBMIT_TIMEOUT_S = 1.5
MAX_BATCHERS = 2
READ_BACK_ATTEMPTS = 3
READ_BACK_INTERVAL_S = 0.1
STREAM_IDLE_TIMEOUT_S = 600.0
EXPIRED_RETENTION_MS = 300_000
MAX_STORED_BODY_BYTES = 4096
MS_PER_S = 1000
STREAM_DIGITS = 4
HEX_BASE = 16
_HASH_BYTES = 16


class ClaimUnavailable(PeerUnavailable):
    """The holder of a key cannot be determined; the request was not run."""


@dataclass(slots=True)
class ClaimCounters:
    """Claims that this node requested, and those that it batched."""

    asked: int = 0
    won: int = 0
    lost: int = 0
    unavailable: int = 0
    batches: int = 0
    entries: int = 0


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The result of a claim.

    Args:
        entry: The holder of the key: the first claim, or its response.
        is_granted: Whether the holder is the claim that was just made.
    """

    entry: ttypes.ClaimEntry
    is_granted: bool


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """An idempotency key within its scope.

    Args:
        digest: Hash of client account, route and key.
        fingerprint: Hash of the request that carried the key.
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
        client_account: The client account of the caller.
        route: The route's name.
        key: The key that the caller sent.
        request: Method, path and the first chunk of the body.
    """
    scope = f'{client_account}\0{route}\0{key}'.encode()
    return ClaimKey(_digest(scope), _digest(request))


class ClaimStream:
    """Holders of the keys of one stream, and a batching writer to it.

    The holders are rebuilt by replaying the stream's records in order.

    Args:
        log: The platform's log.
        name: The stream's name.
    """

    def __init__(self, log: Log, name: str) -> None:
        """Start at the beginning of the stream."""
        self.name = name
        self.last_used_at = asyncio.get_running_loop().time()
        self._log = log
        self._next_offset = 0
        self._era = NO_ERA
        self._replays = 0
        self._holders: dict[str, ttypes.ClaimEntry] = {}
        self._lost: dict[str, ttypes.ClaimEntry] = {}
        self._pending: list[tuple[ttypes.ClaimEntry, _VerdictFuture]] = []
        self._writer: asyncio.Task[None] | None = None

    def submit(self, entry: ttypes.ClaimEntry) -> '_VerdictFuture':
        """Append an entry with the next batch.

        Args:
            entry: The entry.

        Returns:
            A future of the verdict: the holder of the key after the entry.
        """
        loop = asyncio.get_running_loop()
        self.last_used_at = loop.time()
        fut: _VerdictFuture = loop.create_future()
        self._pending.append((entry, fut))
        if self._writer is None or self._writer.done():
            self._writer = loop.create_task(self._write_batches())
        return fut

    def fold(self, batch: ttypes.ClaimBatch) -> None:
        """Apply one record of the stream."""
        for entry in batch.entries or ():
            holder = self._holders.get(entry.key)
            if holder and holder.expires_ms <= entry.written_ms:
                self._holders.pop(entry.key)
            if entry.kind == ttypes.ClaimKind.CLAIM:
                self._holders.setdefault(entry.key, entry)
            else:
                self._apply_settlement(entry)

    def holder(self, key: str) -> ttypes.ClaimEntry | None:
        """Return the holder of a key, None if it is free."""
        return self._holders.get(key)

    def close(self) -> None:
        """Stop writing."""
        if self._writer:
            self._writer.cancel()

    def _apply_settlement(self, entry: ttypes.ClaimEntry) -> None:
        holder = self._holders.get(entry.key)
        if holder is None or holder.claim_id != entry.claim_id:
            return
        if entry.kind == ttypes.ClaimKind.DONE:
            self._holders[entry.key] = entry
        else:
            self._holders.pop(entry.key)

    async def _write_batches(self) -> None:
        while self._pending:
            pending = self._pending[:MAX_BATCH_ENTRIES]
            self._pending = self._pending[MAX_BATCH_ENTRIES:]
            try:
                await self._write([entry for entry, _ in pending])
            except (LogUnavailable, MalformedMessage) as exc:
                self._fail(pending, str(exc))
            else:
                self._resolve(pending)
            await asyncio.sleep(BATCH_INTERVAL_S)

    def _resolve(
        self,
        pending: Sequence[tuple[ttypes.ClaimEntry, '_VerdictFuture']],
    ) -> None:
        for entry, fut in pending:
            if not fut.done():
                holder = self._holders.get(entry.key)
                fut.set_result(ttypes.ClaimVerdict(holder, ''))

    def _fail(
        self,
        pending: Sequence[tuple[ttypes.ClaimEntry, '_VerdictFuture']],
        reason: str,
    ) -> None:
        for _, fut in pending:
            if not fut.done():
                fut.set_result(ttypes.ClaimVerdict(None, reason))

    async def _write(self, entries: Sequence[ttypes.ClaimEntry]) -> None:
        await self._read_to_end()
        await self._restore_lost(())
        replays = self._replays
        await self._append(entries)
        if self._replays != replays:
            await self._restore_lost({entry.claim_id for entry in entries})
            raise self._older_copy_error()

    async def _append(self, entries: Sequence[ttypes.ClaimEntry]) -> None:
        """Append a batch and read it back."""
        batch_id = uuid.uuid4().hex
        payload = encode(ttypes.ClaimBatch(batch_id, list(entries)))
        try:
            await self._log.append(self.name, payload)
        except LogAnswerLost:
            if batch_id in await self._read_to_end():
                return
            await self._log.append(self.name, payload)
        for _ in range(READ_BACK_ATTEMPTS):
            if batch_id in await self._read_to_end():
                return
            await asyncio.sleep(READ_BACK_INTERVAL_S)
        raise LogAnswerLost('not read back', step=f'claim {self.name}')

    async def _read_to_end(self) -> Collection[str]:
        """Apply the next records; return the ids of their batches."""
        batch_ids: set[str] = set()
        while True:
            page = await self._log.read(self.name, self._next_offset)
            if page.era < self._era:
                raise self._older_copy_error()
            if page.era > self._era or page.next_offset < self._next_offset:
                self._start_over(page.era)
                continue
            batch_ids.update(self._apply_page(page))
            if self._next_offset >= page.next_offset:
                return batch_ids

    def _apply_page(self, page: LogPage) -> Iterator[str]:
        for record in page.records:
            batch = decode(ttypes.ClaimBatch, record.payload)
            self.fold(batch)
            self._next_offset = record.offset + 1
            yield batch.batch_id
        self._next_offset = max(self._next_offset, page.first_offset)

    def _start_over(self, era: int) -> None:
        """Read the stream again; keep the holders that it may have lost."""
        self._lost = {**self._holders, **self._lost}
        self._holders = {}
        self._next_offset = 0
        self._era = era
        self._replays += 1

    async def _restore_lost(self, claim_ids: Collection[str]) -> None:
        """Append the holders that the log has lost.

        Args:
            claim_ids: Claims that were appended without knowledge of the lost
                ones and must not hold their keys.
        """
        if not self._lost:
            return
        replays = self._replays
        entries = list(self._list_restored(claim_ids))
        logger.warning(
            '{} came back from an older copy: {} entries restored',
            self.name,
            len(entries),
        )
        for start in range(0, len(entries), MAX_BATCH_ENTRIES):
            await self._append(entries[start : start + MAX_BATCH_ENTRIES])
        if self._replays != replays:
            raise self._older_copy_error()
        self._lost.clear()

    def _list_restored(
        self,
        claim_ids: Collection[str],
    ) -> Iterator[ttypes.ClaimEntry]:
        for key, lost in self._lost.items():
            holder = self._holders.get(key)
            if holder and holder.claim_id in claim_ids:
                yield _with_kind(holder, ttypes.ClaimKind.RELEASE)
                holder = None
            if holder is None:
                yield _with_kind(lost, ttypes.ClaimKind.CLAIM)
            is_same = holder is None or holder.claim_id == lost.claim_id
            if is_same and lost.kind == ttypes.ClaimKind.DONE:
                yield lost

    def _older_copy_error(self) -> LogAnswerLost:
        reason = 'the log came back from an older copy'
        return LogAnswerLost(reason, step=f'claim {self.name}')

    def remove_expired(self, now_ms: int) -> None:
        """Remove holders that expired EXPIRED_RETENTION_MS ago or earlier.

        No claim is that late. Until then, expiry is decided by the times in the
        records alone, so that every node determines the same holder.

        Args:
            now_ms: Milliseconds since the epoch.
        """
        for key, holder in list(self._holders.items()):
            if holder.expires_ms + EXPIRED_RETENTION_MS <= now_ms:
                self._holders.pop(key)


class Claims:
    """Claims keys for this node's requests and batches claims of all nodes.

    Args:
        log: The platform's log.
        membership: The other nodes.
        links: Connections to the other nodes.
        ttl_s: How long a claim is valid; shorter than the log's retention.
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
            The holder of the key.

        Raises:
            ClaimUnavailable: The holder cannot be determined. It may be this
                claim, which is released as soon as possible.
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
        """Release a key whose request was certainly not run.

        Args:
            entry: The claim that was granted.

        Returns:
            The task that appends the release.
        """
        return self._settle(entry, ttypes.ClaimKind.RELEASE, 0, None, '')

    def complete(
        self,
        entry: ttypes.ClaimEntry,
        status: int,
        body: bytes | None,
        content_type: str,
    ) -> asyncio.Task[None]:
        """Store the response of a claimed request for retries.

        Args:
            entry: The claim that was granted.
            status: The response's status.
            body: Its body, None if it is incomplete or too large to store.
            content_type: Its content type.

        Returns:
            The task that appends the response.
        """
        kind = ttypes.ClaimKind.DONE
        return self._settle(entry, kind, status, body, content_type)

    async def serve(self, ask: ttypes.ClaimAsk) -> ttypes.ClaimVerdict:
        """Append an entry and return the holder of its key."""
        self.counters.entries += 1
        return await self._stream(_stream_of(ask.entry.key)).submit(ask.entry)

    def remove_expired(self) -> None:
        """Remove expired claims, and streams that were not used recently."""
        now = asyncio.get_running_loop().time()
        for name, stream in list(self._streams.items()):
            stream.remove_expired(int(self._wall_clock() * MS_PER_S))
            if now - stream.last_used_at > STREAM_IDLE_TIMEOUT_S:
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
        return loop.create_task(self._submit_best_effort(settled))

    async def _submit_best_effort(self, entry: ttypes.ClaimEntry) -> None:
        deadline = asyncio.get_running_loop().time() + SUBMIT_TIMEOUT_S
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
                verdict = await self._submit_to(node, entry, deadline)
            except PeerUnavailable as exc:
                failure = str(exc)
                continue
            if not verdict.failure:
                return verdict
            failure = verdict.failure
        raise ClaimUnavailable(failure, step='claim')

    async def _submit_to(
        self,
        node: str,
        entry: ttypes.ClaimEntry,
        deadline: float,
    ) -> ttypes.ClaimVerdict:
        ask = ttypes.ClaimAsk(entry)
        attempt_deadline = asyncio.get_running_loop().time() + SUBMIT_TIMEOUT_S
        if node != self._membership.local_member.node:
            reply = await self._links.ask(
                node, ask, min(deadline, attempt_deadline)
            )
            if isinstance(reply, ttypes.ClaimVerdict):
                return reply
            raise PeerUnavailable('no verdict', step='claim', peer=node)
        try:
            async with asyncio.timeout_at(min(deadline, attempt_deadline)):
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
        ranked = list(rank(stream, nodes))[:MAX_BATCHERS]
        own = self._membership.local_member.node
        return ranked if own in ranked else [*ranked, own]

    def _stream(self, name: str) -> ClaimStream:
        if name not in self._streams:
            self._streams[name] = ClaimStream(self._log, name)
        return self._streams[name]


_VerdictFuture = asyncio.Future[ttypes.ClaimVerdict]


def _stream_of(key: str) -> str:
    return (
        f'{CLAIM_STREAM_PREFIX}{int(key[:STREAM_DIGITS], HEX_BASE) % STREAMS}'
    )


def _with_kind(entry: ttypes.ClaimEntry, kind: int) -> ttypes.ClaimEntry:
    """Return a claim or a release of the claim that an entry belongs to."""
    return ttypes.ClaimEntry(
        key=entry.key,
        claim_id=entry.claim_id,
        kind=kind,
        fingerprint=entry.fingerprint,
        written_ms=entry.written_ms,
        expires_ms=entry.expires_ms,
    )


def _digest(raw: bytes) -> str:
    return hashlib.blake2b(raw, digest_size=_HASH_BYTES).hexdigest()
