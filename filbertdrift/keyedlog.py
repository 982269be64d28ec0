"""Streams that keep the newest record of each key, on the platform's log."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from filbertdrift.errors import LogGap, LogUnavailable

# What one read brings at most, if it brings more than one record: whoever is
# far behind does better with the newest records.
MAX_READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record; no payload means that its key was dropped."""

    key: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """What one read returned.

    Args:
        records: Records from the asked offset on, in order.
        next_offset: The offset to read from next.
        has_more: There are further records from there on.
    """

    records: Sequence[KeyedRecord]
    next_offset: int
    has_more: bool = False


@dataclass(slots=True)
class KeyedLogCounters:
    """How often this process called the log, and the bytes that moved."""

    calls: int = 0
    failures: int = 0
    bytes_read: int = 0
    bytes_written: int = 0


class KeyedLog(ABC):
    """A client of the platform's keyed streams."""

    def __init__(self) -> None:
        """Start with zero counters."""
        self.counters = KeyedLogCounters()

    @abstractmethod
    async def newest(self, stream: str) -> KeyedPage:
        """Return the newest record of each key.

        Raises:
            LogUnavailable: The log did not answer.
        """

    @abstractmethod
    async def read(
        self,
        stream: str,
        offset: int,
        wait_s: float,
    ) -> KeyedPage:
        """Return records from an offset on: MAX_READ_BYTES, or one if larger.

        Args:
            stream: The stream's name.
            offset: The first offset wanted.
            wait_s: How long the log may wait for a record to arrive.

        Raises:
            LogUnavailable: The log did not answer.
            LogGap: Records from the offset on have expired.
        """

    @abstractmethod
    async def append(self, stream: str, record: KeyedRecord) -> None:
        """Append one record.

        Raises:
            LogUnavailable: The record was not appended.
            LogAnswerLost: The record may have been appended.
        """

    async def close(self) -> None:  # noqa: B027
        """Release connections, if there are any to release."""


@dataclass(slots=True)
class _MemoryStream:
    """A keyed stream in memory."""

    records: list[KeyedRecord] = field(default_factory=list)
    first_offset: int = 0

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record."""
        return self.first_offset + len(self.records)


class MemoryKeyedLog(KeyedLog):
    """The twin in memory, with a switch for outages.

    Attributes:
        is_down: Every call fails without effect.
    """

    def __init__(self) -> None:
        """Start empty and healthy."""
        super().__init__()
        self.is_down = False
        self._streams: dict[str, _MemoryStream] = {}
        self._newest: dict[str, dict[str, bytes]] = {}
        self._appended = asyncio.Event()

    def expire(self, stream: str) -> None:
        """Drop the history of a stream; the newest records stay."""
        kept = self._stream(stream)
        kept.first_offset = kept.next_offset
        kept.records.clear()

    async def newest(self, stream: str) -> KeyedPage:
        """Return the newest record of each key."""
        await self._enter()
        known: Mapping[str, bytes] = self._newest.get(stream, {})
        records = [KeyedRecord(*pair) for pair in known.items()]
        self.counters.bytes_read += sum(map(len, known.values()))
        return KeyedPage(records, self._stream(stream).next_offset)

    async def read(
        self,
        stream: str,
        offset: int,
        wait_s: float,
    ) -> KeyedPage:
        """Return the records from an offset on."""
        await self._enter()
        kept = self._stream(stream)
        if offset < kept.first_offset:
            raise LogGap('records have expired', step=f'read {stream}')
        if offset >= kept.next_offset:
            try:
                async with asyncio.timeout(wait_s):
                    await self._appended.wait()
            except TimeoutError:
                return KeyedPage((), kept.next_offset)
            await self._enter()
        start = max(offset - kept.first_offset, 0)
        found: list[KeyedRecord] = []
        size_bytes = 0
        for record in kept.records[start:]:
            if found and size_bytes + len(record.payload) > MAX_READ_BYTES:
                break
            found.append(record)
            size_bytes += len(record.payload)
        self.counters.bytes_read += size_bytes
        next_offset = kept.first_offset + start + len(found)
        return KeyedPage(found, next_offset, next_offset < kept.next_offset)

    async def append(self, stream: str, record: KeyedRecord) -> None:
        """Append one record."""
        await self._enter()
        self._stream(stream).records.append(record)
        newest = self._newest.setdefault(stream, {})
        if record.payload:
            newest[record.key] = record.payload
        else:
            newest.pop(record.key, None)
        self._appended.set()
        self._appended = asyncio.Event()

    async def _enter(self) -> None:
        self.counters.calls += 1
        await asyncio.sleep(0)
        if self.is_down:
            self.counters.failures += 1
            raise LogUnavailable('down', step='call log', peer='memory')

    def _stream(self, name: str) -> _MemoryStream:
        return self._streams.setdefault(name, _MemoryStream())
