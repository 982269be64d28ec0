"""Clients of the platform's log: named append-only streams with offsets."""

import asyncio
import base64
import copy
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

import httpx

from filbertdrift.errors import LogAnswerLost, LogUnavailable
from filbertdrift.keyedlog import NO_ERA
from filbertdrift.wholeresponse import NO_ENCODING, PARSE_ERRORS, fetch

CONFIG_STREAM = 'config'
CHECKPOINT_STREAM = 'checkpoints'
INTRODUCTION_STREAM = 'introductions'
CLAIM_STREAM_PREFIX = 'claims-'

LAST_RECORD = -1
READ_LIMIT_RECORDS = 500
HTTP_TIMEOUT_S = 3.0
LONG_POLL_S = 5.0
# Limits of a whole response: its time, beyond the requested wait, and its size.
TRANSFER_TIMEOUT_S = 10.0
MAX_RESPONSE_BYTES = 67_108_864
ERA_HEADER = 'store-era'

_Parsed = TypeVar('_Parsed')
_STATUS_CREATED = 201
_STATUS_OK = 200
_STATUS_GONE = 410
_STATUS_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """The result of one read.

    Args:
        records: Records from the requested offset on, in order.
        first_offset: The earliest retained offset.
        next_offset: The offset of the next append; below the requested offset
            if the log came back from an older copy, 0 if it does not say.
        era: Rises each time the log comes back from an older copy; offsets of
            two eras cannot be compared.
    """

    records: Sequence[LogRecord]
    first_offset: int
    next_offset: int
    era: int = NO_ERA


@dataclass(slots=True)
class LogCounters:
    """Calls to the log by this process, their failures and payload bytes."""

    reads: int = 0
    appends: int = 0
    failures: int = 0
    bytes_read: int = 0
    bytes_appended: int = 0


class Log(ABC):
    """A client of the platform's log.

    Attributes:
        era: The highest era in the answers so far.
    """

    def __init__(self) -> None:
        """Start with zero counters."""
        self.counters = LogCounters()
        self.era = NO_ERA

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record.

        Args:
            stream: The stream's name.
            payload: The encoded record.

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
            offset: The first offset to read, or LAST_RECORD.
            wait_s: How long the log may wait for a record (long poll).

        Returns:
            The records and the bounds of the stream.

        Raises:
            LogUnavailable: The log cannot be reached.
        """
        self.counters.reads += 1
        try:
            page = await self._read(stream, offset, wait_s)
        except LogUnavailable:
            self.counters.failures += 1
            raise
        self.era = max(self.era, page.era)
        self.counters.bytes_read += sum(
            len(record.payload) for record in page.records
        )
        return page

    async def close(self) -> None:  # noqa: B027
        """Release the resources of the client."""

    @abstractmethod
    async def _append(self, stream: str, payload: bytes) -> int:
        """Append one record."""

    @abstractmethod
    async def _read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        """Read records."""


class HttpLog(Log):
    """Client of the log over HTTP.

    Args:
        url: The base URL of the log.
    """

    def __init__(self, url: str) -> None:
        """Create a client; connections are opened on demand."""
        super().__init__()
        self._url = url
        self._client = httpx.AsyncClient(
            base_url=url,
            timeout=httpx.Timeout(HTTP_TIMEOUT_S),
            trust_env=False,
            headers=NO_ENCODING,
        )

    async def close(self) -> None:
        """Close the client."""
        await self._client.aclose()

    async def _append(self, stream: str, payload: bytes) -> int:
        step = f'append {stream}'
        try:
            resp = await self._call('POST', stream, content=payload)
        except httpx.ConnectError as exc:
            raise LogUnavailable(repr(exc), step=step, peer=self._url) from exc
        except httpx.HTTPError as exc:
            raise LogAnswerLost(repr(exc), step=step, peer=self._url) from exc
        if resp.status_code != _STATUS_CREATED:
            raise self._to_error(resp, step)
        offset, era = self._decode(resp, _parse_offset, step)
        self.era = max(self.era, era)
        return offset

    async def _read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        step = f'read {stream}'
        try:
            query = {'offset': offset, 'wait_ms': int(wait_s * 1000)}
            resp = await self._call('GET', stream, wait_s, params=query)
        except httpx.HTTPError as exc:
            raise LogUnavailable(repr(exc), step=step, peer=self._url) from exc
        if resp.status_code not in {_STATUS_OK, _STATUS_GONE}:
            raise self._to_error(resp, step)
        return self._decode(resp, _parse_page, step)

    async def _call(
        self, method: str, stream: str, wait_s: float = 0, **options: Any
    ) -> httpx.Response:
        """Return the response to a request, read whole within the limits.

        Raises:
            httpx.HTTPError: There is none.
        """
        url, timeout_s = f'/streams/{stream}', HTTP_TIMEOUT_S + wait_s
        req = self._client.build_request(
            method, url, timeout=timeout_s, **options
        )
        return await fetch(
            self._client,
            req,
            TRANSFER_TIMEOUT_S + wait_s,
            MAX_RESPONSE_BYTES,
        )

    def _decode(
        self,
        resp: httpx.Response,
        parse: Callable[[httpx.Response], _Parsed],
        step: str,
    ) -> _Parsed:
        """Return what a response says.

        Raises:
            LogAnswerLost: It says nothing.
        """
        try:
            return parse(resp)
        except PARSE_ERRORS as exc:
            reason = f'malformed response: {exc!r}'
            raise LogAnswerLost(reason, step=step, peer=self._url) from exc

    def _to_error(self, resp: httpx.Response, step: str) -> LogUnavailable:
        reason = f'status {resp.status_code}'
        if resp.status_code == _STATUS_SERVER_ERROR:
            return LogAnswerLost(reason, step=step, peer=self._url)
        return LogUnavailable(reason, step=step, peer=self._url)


@dataclass(slots=True)
class MemoryStream:
    """A stream in memory."""

    records: list[LogRecord] = field(default_factory=list)
    first_offset: int = 0
    next_offset: int = 0


class MemoryLog(Log):
    """In-memory implementation of the log with fault injection.

    Args:
        delay_s: Latency of each call.

    Attributes:
        is_down: Every call fails without effect.
        lost_answers: How many of the next appends take effect and then fail.
        delay_s: Latency of each call.
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
        stored = self._stream(stream)
        stored.records = [
            record
            for record in stored.records
            if record.offset >= before_offset
        ]
        stored.first_offset = max(stored.first_offset, before_offset)

    def copy_streams(self) -> Mapping[str, MemoryStream]:
        """Return a copy of all streams, for come_back."""
        return copy.deepcopy(self._streams)

    def come_back(self, older: Mapping[str, MemoryStream]) -> None:
        """Replace all streams by an older copy, and start the next era."""
        self._streams = copy.deepcopy(dict(older))
        self.era += 1
        self._wake()

    def records(self, stream: str) -> Sequence[LogRecord]:
        """Return the retained records of a stream."""
        return tuple(self._stream(stream).records)

    async def _append(self, stream: str, payload: bytes) -> int:
        await self._inject_faults()
        stored = self._stream(stream)
        offset = stored.next_offset
        stored.records.append(LogRecord(offset, payload))
        stored.next_offset += 1
        self._wake()
        if self.lost_answers:
            self.lost_answers -= 1
            raise LogAnswerLost('answer lost', step=f'append {stream}')
        return offset

    async def _read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        await self._inject_faults()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while self._stream(stream).next_offset == offset:
            if loop.time() >= deadline:
                break
            try:
                async with asyncio.timeout_at(deadline):
                    await self._appended.wait()
            except TimeoutError:
                break
        await self._inject_faults()
        return read_page(self._stream(stream), offset, self.era)

    def _wake(self) -> None:
        self._appended.set()
        self._appended = asyncio.Event()

    async def _inject_faults(self) -> None:
        await asyncio.sleep(self.delay_s)
        if self.is_down:
            raise LogUnavailable('down', step='call log', peer='memory')

    def _stream(self, name: str) -> MemoryStream:
        return self._streams.setdefault(name, MemoryStream())


class SharedLog(Log):
    """One process's client of a shared in-memory log.

    Args:
        shared: The log that several processes share.

    Attributes:
        is_partitioned: Every call of this process fails.
    """

    def __init__(self, shared: MemoryLog) -> None:
        """Create a connected client."""
        super().__init__()
        self.is_partitioned = False
        self._shared = shared

    async def _append(self, stream: str, payload: bytes) -> int:
        self._check_partition()
        offset = await self._shared.append(stream, payload)
        self.era = max(self.era, self._shared.era)
        return offset

    async def _read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        self._check_partition()
        page = await self._shared.read(stream, offset, wait_s)
        self._check_partition()
        return page

    def _check_partition(self) -> None:
        if self.is_partitioned:
            raise LogUnavailable('cut off', step='call log', peer='memory')


def read_page(
    stream: MemoryStream,
    offset: int,
    era: int = NO_ERA,
) -> LogPage:
    """Read one page of an in-memory stream.

    Args:
        stream: The stream.
        offset: The first offset to read, or LAST_RECORD.
        era: The era of the log.

    Returns:
        At most READ_LIMIT_RECORDS records.
    """
    if offset == LAST_RECORD:
        found = stream.records[-1:]
    else:
        start = max(offset - stream.first_offset, 0)
        found = stream.records[start : start + READ_LIMIT_RECORDS]
    return LogPage(tuple(found), stream.first_offset, stream.next_offset, era)


def open_log(url: str) -> Log:
    """Return a client of the log at a URL.

    Args:
        url: The base URL of the log, http or https.
    """
    return HttpLog(url)


def _era_of(resp: httpx.Response) -> int:
    return int(resp.headers.get(ERA_HEADER, NO_ERA))


def _parse_offset(resp: httpx.Response) -> tuple[int, int]:
    """Decode the offset of a record and the era; may raise PARSE_ERRORS."""
    return int(resp.json()['offset']), _era_of(resp)


def _parse_page(resp: httpx.Response) -> LogPage:
    """Decode a page of records; may raise any of PARSE_ERRORS."""
    era = _era_of(resp)
    if resp.status_code == _STATUS_GONE:
        return LogPage((), 0, 0, era)
    body = resp.json()
    records = body['records']
    return LogPage(
        records=tuple(
            LogRecord(item['offset'], base64.b64decode(item['payload']))
            for item in records
        ),
        first_offset=int(body['first_offset']),
        next_offset=int(body['next_offset']),
        era=era,
    )
