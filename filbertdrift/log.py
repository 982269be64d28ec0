"""The platform's log: named append-only streams with offsets."""

import asyncio
import base64
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field

import httpx

from filbertdrift.errors import LogAnswerLost, LogUnavailable

CONFIG_STREAM = 'config'
CHECKPOINT_STREAM = 'checkpoints'
INTRODUCTION_STREAM = 'introductions'
CLAIM_STREAM_PREFIX = 'claims-'

LAST_RECORD = -1
READ_LIMIT_RECORDS = 500
HTTP_TIMEOUT_S = 3.0
LONG_POLL_S = 5.0

_STATUS_CREATED = 201
_STATUS_OK = 200
_STATUS_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """What one read returned.

    Args:
        records: Records from the asked offset on, in order.
        first_offset: The earliest offset still kept.
        next_offset: The offset that the next append will get.
    """

    records: Sequence[LogRecord]
    first_offset: int
    next_offset: int


@dataclass(slots=True)
class LogCounters:
    """How often this process called the log."""

    reads: int = 0
    appends: int = 0
    failures: int = 0
    bytes_read: int = 0
    bytes_appended: int = 0


class Log(ABC):
    """A connection to the platform's log."""

    def __init__(self) -> None:
        """Start with zero counters."""
        self.counters = LogCounters()

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record.

        Args:
            stream: The stream's name.
            payload: The record.

        Returns:
            The record's offset.

        Raises:
            LogUnavailable: The record was not appended.
            LogAnswerLost: The record may have been appended.
        """
        self.counters.appends += 1
        self.counters.bytes_appended += len(payload)
        try:
            return await self._append(stream, payload)
        except LogUnavailable:
            self.counters.failures += 1
            raise

    async def read(
        self,
        stream: str,
        offset: int,
        wait_s: float = 0,
    ) -> LogPage:
        """Read records from an offset on.

        Args:
            stream: The stream's name.
            offset: The first offset wanted, or LAST_RECORD.
            wait_s: How long the log may wait for a record to arrive.

        Returns:
            The records and the bounds of the stream.

        Raises:
            LogUnavailable: The log did not answer.
        """
        self.counters.reads += 1
        try:
            page = await self._read(stream, offset, wait_s)
        except LogUnavailable:
            self.counters.failures += 1
            raise
        self.counters.bytes_read += sum(
            len(record.payload) for record in page.records
        )
        return page

    async def close(self) -> None:  # noqa: B027
        """Release the connection, if there is one to release."""

    @abstractmethod
    async def _append(self, stream: str, payload: bytes) -> int:
        """Append one record."""

    @abstractmethod
    async def _read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        """Read records."""


class HttpLog(Log):
    """The log over HTTP.

    Args:
        url: The log's base address.
    """

    def __init__(self, url: str) -> None:
        """Open a client; connections are made on use."""
        super().__init__()
        self._url = url
        self._client = httpx.AsyncClient(
            base_url=url,
            timeout=httpx.Timeout(HTTP_TIMEOUT_S),
            trust_env=False,
        )

    async def close(self) -> None:
        """Close the client."""
        await self._client.aclose()

    async def _append(self, stream: str, payload: bytes) -> int:
        step = f'append {stream}'
        try:
            resp = await self._client.post(
                f'/streams/{stream}', content=payload
            )
        except httpx.ConnectError as exc:
            raise LogUnavailable(repr(exc), step=step, peer=self._url) from exc
        except httpx.HTTPError as exc:
            raise LogAnswerLost(repr(exc), step=step, peer=self._url) from exc
        if resp.status_code != _STATUS_CREATED:
            raise self._failure(resp, step)
        return int(resp.json()['offset'])

    async def _read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        step = f'read {stream}'
        try:
            resp = await self._client.get(
                f'/streams/{stream}',
                params={'offset': offset, 'wait_ms': int(wait_s * 1000)},
                timeout=HTTP_TIMEOUT_S + wait_s,
            )
        except httpx.HTTPError as exc:
            raise LogUnavailable(repr(exc), step=step, peer=self._url) from exc
        if resp.status_code != _STATUS_OK:
            raise self._failure(resp, step)
        return _page_from_json(resp.json())

    def _failure(self, resp: httpx.Response, step: str) -> LogUnavailable:
        reason = f'status {resp.status_code}'
        if resp.status_code == _STATUS_SERVER_ERROR:
            return LogAnswerLost(reason, step=step, peer=self._url)
        return LogUnavailable(reason, step=step, peer=self._url)


@dataclass(slots=True)
class MemoryStream:
    """A stream held in memory."""

    records: list[LogRecord] = field(default_factory=list)
    first_offset: int = 0
    next_offset: int = 0


class MemoryLog(Log):
    """The log's twin in memory, with switches for its faults.

    Args:
        delay_s: Time each call takes.

    Attributes:
        is_down: Every call fails without effect.
        lost_answers: How many of the next appends take effect and then fail.
        delay_s: Time each call takes.
    """

    def __init__(self, delay_s: float = 0.002) -> None:
        """Start empty and healthy."""
        super().__init__()
        self.is_down = False
        self.lost_answers = 0
        self.delay_s = delay_s
        self._streams: dict[str, MemoryStream] = {}
        self._appended = asyncio.Event()

    def expire(self, stream: str, before_offset: int) -> None:
        """Drop the records below an offset, as retention does."""
        kept = self._stream(stream)
        kept.records = [
            record for record in kept.records if record.offset >= before_offset
        ]
        kept.first_offset = max(kept.first_offset, before_offset)

    def records(self, stream: str) -> Sequence[LogRecord]:
        """Return the records a stream keeps."""
        return tuple(self._stream(stream).records)

    async def _append(self, stream: str, payload: bytes) -> int:
        await self._pass_faults()
        kept = self._stream(stream)
        offset = kept.next_offset
        kept.records.append(LogRecord(offset, payload))
        kept.next_offset += 1
        self._appended.set()
        self._appended = asyncio.Event()
        if self.lost_answers:
            self.lost_answers -= 1
            raise LogAnswerLost('answer lost', step=f'append {stream}')
        return offset

    async def _read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        await self._pass_faults()
        kept = self._stream(stream)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while kept.next_offset <= offset and loop.time() < deadline:
            try:
                async with asyncio.timeout_at(deadline):
                    await self._appended.wait()
            except TimeoutError:
                break
        await self._pass_faults()
        return read_page(kept, offset)

    async def _pass_faults(self) -> None:
        await asyncio.sleep(self.delay_s)
        if self.is_down:
            raise LogUnavailable('down', step='call log', peer='memory')

    def _stream(self, name: str) -> MemoryStream:
        return self._streams.setdefault(name, MemoryStream())


class SharedLog(Log):
    """One process's own view of a shared memory log, with a cut of its own.

    Args:
        shared: The log that several processes share.
    """

    def __init__(self, shared: MemoryLog) -> None:
        """Start connected."""
        super().__init__()
        self.is_partitioned = False
        self._shared = shared

    async def _append(self, stream: str, payload: bytes) -> int:
        self._check_cut()
        return await self._shared.append(stream, payload)

    async def _read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        self._check_cut()
        page = await self._shared.read(stream, offset, wait_s)
        self._check_cut()
        return page

    def _check_cut(self) -> None:
        if self.is_partitioned:
            raise LogUnavailable('cut off', step='call log', peer='memory')


def read_page(stream: MemoryStream, offset: int) -> LogPage:
    """Return one page of a stream held in memory.

    Args:
        stream: The stream.
        offset: The first offset wanted, or LAST_RECORD.

    Returns:
        At most READ_LIMIT_RECORDS records.
    """
    if offset == LAST_RECORD:
        found = stream.records[-1:]
    else:
        start = max(offset - stream.first_offset, 0)
        found = stream.records[start : start + READ_LIMIT_RECORDS]
    return LogPage(tuple(found), stream.first_offset, stream.next_offset)


def open_log(url: str) -> Log:
    """Return the log that a process's settings name.

    Args:
        url: An address that starts with http.
    """
    return HttpLog(url)


def _page_from_json(body: dict[str, object]) -> LogPage:
    records = body['records']
    return LogPage(
        records=tuple(
            LogRecord(item['offset'], base64.b64decode(item['payload']))
            for item in records  # type: ignore[attr-defined]
        ),
        first_offset=int(body['first_offset']),  # type: ignore[call-overload]
        next_offset=int(body['next_offset']),  # type: ignore[call-overload]
    )
