"""Clients of the platform's keyed streams, which are compacted topics.

A stream retains the newest record of each key; older records expire.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping, Sequence
from copy import deepcopy
from dataclasses import dataclass, field, replace

from filbertdrift.errors import LogGap, LogUnavailable

# Bounds the records of one read. A reader that is further behind reads the
# newest record of each key instead.
MAX_READ_BYTES = 65_536
# The era of a log that does not state one.
NO_ERA = 0
# The offset of a record that was not read.
NO_OFFSET = -1


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record; an empty payload deletes its key (a tombstone).

    Args:
        key: The key.
        payload: The payload.
        offset: Where it was read, NO_OFFSET if it was not.
    """

    key: str
    payload: bytes
    offset: int = field(default=NO_OFFSET, compare=False)


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """The result of one read.

    Args:
        records: Records from the requested offset on, in order.
        next_offset: The offset to read from next.
        has_more: Whether there are records at next_offset or later.
        era: Rises each time the log comes back from an older copy; offsets of
            different eras are not comparable.
    """

    records: Sequence[KeyedRecord]
    next_offset: int
    has_more: bool = False
    era: int = NO_ERA


@dataclass(slots=True)
class KeyedLogCounters:
    """Calls to the log by this process, their failures and payload bytes."""

    calls: int = 0
    failures: int = 0
    bytes_read: int = 0
    bytes_written: int = 0


def _ignore_era(era: int) -> None:
    """Ignore the era of a reply."""


class KeyedLog(ABC):
    """A client of the platform's keyed streams.

    Attributes:
        counters: The calls of this process.
        on_era: Called with the era of each reply that states one, failures
            included.
    """

    def __init__(self) -> None:
        """Start with zero counters."""
        self.counters = KeyedLogCounters()
        self.on_era: Callable[[int], None] = _ignore_era

    @abstractmethod
    async def newest(self, stream: str) -> KeyedPage:
        """Return the newest record of each key.

        Raises:
            LogUnavailable: The log cannot be reached.
        """

    @abstractmethod
    async def read(
        self,
        stream: str,
        offset: int,
        wait_s: float,
    ) -> KeyedPage:
        """Read records from an offset on.

        At most MAX_READ_BYTES are returned, or one record if it is larger.

        Args:
            stream: The stream's name.
            offset: The first offset to read.
            wait_s: How long the log may wait for a record (long poll).

        Raises:
            LogUnavailable: The log cannot be reached.
            LogGap: Records from the offset on have expired.
        """

    @abstractmethod
    async def append(self, stream: str, record: KeyedRecord) -> None:
        """Append one record.

        Raises:
            LogUnavailable: The record was not appended.
            LogAnswerLost: The record may have been appended.
        """

    async def append_at(
        self, stream: str, record: KeyedRecord, offset: int
    ) -> bool:
        """Append one record if the stream ends at an offset.

        Args:
            stream: The stream's name.
            record: The record.
            offset: Where it has to end, which becomes the record's offset.

        Returns:
            False if it ends elsewhere, so that nothing was appended.

        Raises:
            LogUnavailable: The record was not appended.
            LogAnswerLost: The record may have been appended.
        """
        raise LogUnavailable('not supported', step=f'append to {stream}')

    async def close(self) -> None:  # noqa: B027
        """Release the resources of the client."""


@dataclass(slots=True)
class _MemoryStream:
    """A keyed stream in memory, with the newest payload of each key."""

    records: list[KeyedRecord] = field(default_factory=list)
    first_offset: int = 0
    newest: dict[str, bytes] = field(default_factory=dict)
    # Offset of the newest record of each key.
    offsets: dict[str, int] = field(default_factory=dict)

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record."""
        return self.first_offset + len(self.records)

    def append(self, record: KeyedRecord) -> None:
        """Append one record."""
        self.offsets[record.key] = self.next_offset
        self.records.append(record)
        if record.payload:
            self.newest[record.key] = record.payload
        else:
            self.newest.pop(record.key, None)


@dataclass(frozen=True, slots=True)
class LogCopy:
    """All streams of a MemoryKeyedLog at one time."""

    streams: Mapping[str, _MemoryStream]


class MemoryKeyedLog(KeyedLog):
    """In-memory implementation of keyed streams with fault injection.

    Attributes:
        is_down: Every call fails without effect.
        era: Era of the offsets, stated in all pages.
    """

    def __init__(self) -> None:
        """Start empty and healthy."""
        super().__init__()
        self.is_down = False
        self.era = NO_ERA + 1
        self._streams: dict[str, _MemoryStream] = {}
        self._appended = asyncio.Event()

    def expire(self, stream: str) -> None:
        """Drop the history of a stream; the newest record per key stays."""
        stored = self._stream(stream)
        stored.first_offset = stored.next_offset
        stored.records.clear()

    def snapshot(self) -> LogCopy:
        """Return a copy of all streams."""
        return LogCopy(deepcopy(self._streams))

    def restore(self, copy: LogCopy) -> None:
        """Come back from a copy, in a new era.

        Records appended since are gone, and their offsets are given out again.
        Pending reads fail.
        """
        self._streams = dict(deepcopy(copy.streams))
        self.era += 1
        self._wake_reads()

    def bounds(self, stream: str) -> tuple[int, int]:
        """Return the first retained offset of a stream, and its end."""
        stored = self._stream(stream)
        return stored.first_offset, stored.next_offset

    def newest_offset(self, stream: str, key: str) -> int:
        """Return the offset of the newest record of a key.

        Raises:
            KeyError: The stream never had a record of the key.
        """
        return self._stream(stream).offsets[key]

    async def newest(self, stream: str) -> KeyedPage:
        """Return the newest record of each key."""
        await self._begin_call()
        stored = self._stream(stream)
        records = [
            KeyedRecord(key, payload, stored.offsets[key])
            for key, payload in stored.newest.items()
        ]
        self.counters.bytes_read += sum(map(len, stored.newest.values()))
        return KeyedPage(records, stored.next_offset, era=self.era)

    async def read(
        self,
        stream: str,
        offset: int,
        wait_s: float,
    ) -> KeyedPage:
        """Read records from an offset on.

        Raises:
            LogUnavailable: The log is down, or was restored meanwhile.
            LogGap: The log does not have the offset.
        """
        await self._begin_call()
        stored = self._stream(stream)
        if not stored.first_offset <= offset <= stored.next_offset:
            raise LogGap('no such offset', step=f'read {stream}')
        if offset == stored.next_offset:
            era = self.era
            try:
                async with asyncio.timeout(wait_s):
                    await self._appended.wait()
            except TimeoutError:
                return KeyedPage((), stored.next_offset, era=era)
            await self._begin_call()
            if self.era != era:
                self.counters.failures += 1
                raise LogUnavailable('restored', step=f'read {stream}')
        return self._page(stored, offset)

    async def append(self, stream: str, record: KeyedRecord) -> None:
        """Append one record."""
        await self._begin_call()
        self._stream(stream).append(record)
        self._wake_reads()

    async def append_at(
        self, stream: str, record: KeyedRecord, offset: int
    ) -> bool:
        """Append one record if the stream ends at an offset."""
        await self._begin_call()
        if self._stream(stream).next_offset != offset:
            return False
        self._stream(stream).append(record)
        self._wake_reads()
        return True

    def _page(self, stored: _MemoryStream, offset: int) -> KeyedPage:
        start = max(offset - stored.first_offset, 0)
        found: list[KeyedRecord] = []
        size_bytes = 0
        for record in stored.records[start:]:
            if found and size_bytes + len(record.payload) > MAX_READ_BYTES:
                break
            offset_read = stored.first_offset + start + len(found)
            found.append(replace(record, offset=offset_read))
            size_bytes += len(record.payload)
        self.counters.bytes_read += size_bytes
        next_offset = stored.first_offset + start + len(found)
        has_more = next_offset < stored.next_offset
        return KeyedPage(found, next_offset, has_more, self.era)

    def _wake_reads(self) -> None:
        self._appended.set()
        self._appended = asyncio.Event()

    async def _begin_call(self) -> None:
        self.counters.calls += 1
        await asyncio.sleep(0)
        if self.is_down:
            self.counters.failures += 1
            raise LogUnavailable('down', step='call log', peer='memory')

    def _stream(self, name: str) -> _MemoryStream:
        return self._streams.setdefault(name, _MemoryStream())
