"""Stand-in for the platform's log over HTTP."""

import asyncio
import base64
import copy
import time
from collections import deque

import uvicorn
from litestar import Litestar, Request, Response, get, post
from litestar.datastructures import State
from litestar.exceptions import HTTPException
from litestar.params import FromPath, FromQuery, JSONBody
from pydantic import BaseModel

from filbertdrift.keyedlog import NO_ERA
from filbertdrift.log import ERA_HEADER, LogRecord, MemoryStream, read_page

MS_PER_S = 1000
MAX_WAIT_S = 30.0

_TOO_MANY_REQUESTS = 429
_SERVER_ERROR = 500
_UNAVAILABLE = 503


class Faults(BaseModel):
    """Faults that the log injects.

    Args:
        down: Whether every call fails with status 503.
        slow_ms: Delay of every call.
        lost_answers: Number of further appends that succeed but report 500.
    """

    down: bool = False
    slow_ms: int = 0
    lost_answers: int = 0


class LogCounts(BaseModel):
    """Calls since the start.

    Args:
        reads: Number of reads.
        appends: Number of records appended.
        refused: Number of appends beyond the rate limit.
    """

    reads: int
    appends: int
    refused: int


class Appended(BaseModel):
    """The offset of an appended record."""

    offset: int


class RecordBody(BaseModel):
    """One record."""

    offset: int
    payload: str


class PageBody(BaseModel):
    """The result of one read."""

    records: list[RecordBody]
    first_offset: int
    next_offset: int


class StreamStore:
    """All streams, with retention by age and a rate limit on appends.

    Args:
        retention_s: How long a record is retained.
        appends_per_s: Rate limit on appends, over all streams.
    """

    def __init__(self, retention_s: float, appends_per_s: int) -> None:
        """Start empty and without faults."""
        self.faults = Faults()
        self.reads = 0
        self.appends = 0
        self.refused = 0
        self.era = NO_ERA
        self._retention_s = retention_s
        self._appends_per_s = appends_per_s
        self._streams: dict[str, MemoryStream] = {}
        self._append_times: dict[str, deque[float]] = {}
        self._recent_appends: deque[float] = deque()
        self._appended = asyncio.Event()
        self._copy = self._copy_streams()

    def take_copy(self) -> None:
        """Copy all streams, for come_back."""
        self._copy = self._copy_streams()

    def come_back(self) -> None:
        """Replace all streams by the last copy, and start the next era."""
        self._streams, self._append_times = self._copy
        self._copy = self._copy_streams()
        self.era += 1
        self._wake()

    async def append(self, name: str, payload: bytes) -> int:
        """Append one record and return its offset.

        Raises:
            HTTPException: The rate limit is exceeded, or a fault is injected.
        """
        await self.inject_faults()
        now = time.monotonic()
        while self._recent_appends and self._recent_appends[0] < now - 1:
            self._recent_appends.popleft()
        if len(self._recent_appends) >= self._appends_per_s:
            self.refused += 1
            raise HTTPException(
                'too many appends', status_code=_TOO_MANY_REQUESTS
            )
        self._recent_appends.append(now)
        self.appends += 1
        stream = self._stream(name)
        offset = stream.next_offset
        stream.records.append(LogRecord(offset, payload))
        stream.next_offset += 1
        self._append_times[name].append(now)
        self._wake()
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise HTTPException('answer lost', status_code=_SERVER_ERROR)
        return offset

    async def read(self, name: str, offset: int, wait_s: float) -> PageBody:
        """Return records from an offset on.

        Args:
            name: Name of the stream.
            offset: The first offset to read.
            wait_s: How long to wait for a record (long poll).

        Returns:
            One page of records.
        """
        await self.inject_faults()
        self.reads += 1
        try:
            async with asyncio.timeout(min(wait_s, MAX_WAIT_S)):
                while self._stream(name).next_offset == offset:
                    await self._appended.wait()
        except TimeoutError:
            self._expire(name)
        await self.inject_faults()
        page = read_page(self._stream(name), offset)
        return PageBody(
            records=[
                RecordBody(
                    offset=record.offset,
                    payload=base64.b64encode(record.payload).decode(),
                )
                for record in page.records
            ],
            first_offset=page.first_offset,
            next_offset=page.next_offset,
        )

    async def inject_faults(self) -> None:
        """Inject the delay and the outage that are set.

        Raises:
            HTTPException: The log is down.
        """
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / MS_PER_S)
        if self.faults.down:
            raise HTTPException('down', status_code=_UNAVAILABLE)

    def _wake(self) -> None:
        self._appended.set()
        self._appended = asyncio.Event()

    def _copy_streams(
        self,
    ) -> tuple[dict[str, MemoryStream], dict[str, deque[float]]]:
        return copy.deepcopy((self._streams, self._append_times))

    def _stream(self, name: str) -> MemoryStream:
        if name not in self._streams:
            self._streams[name] = MemoryStream()
            self._append_times[name] = deque()
        self._expire(name)
        return self._streams[name]

    def _expire(self, name: str) -> None:
        stream, append_times = self._streams[name], self._append_times[name]
        earliest = time.monotonic() - self._retention_s
        expired = 0
        while append_times and append_times[0] < earliest:
            append_times.popleft()
            expired += 1
        if expired:
            stream.records = stream.records[expired:]
            stream.first_offset += expired


@post('/streams/{name:str}', status_code=201)
async def append(
    name: FromPath[str], request: Request, state: State
) -> Response[Appended]:
    """Append the body as one record."""
    payload = await request.body()
    store: StreamStore = state['store']
    body = Appended(offset=await store.append(name, payload))
    return Response(body, headers={ERA_HEADER: str(store.era)})


@get('/streams/{name:str}')
async def read(
    name: FromPath[str],
    state: State,
    offset: FromQuery[int] = 0,
    wait_ms: FromQuery[int] = 0,
) -> Response[PageBody]:
    """Return records; waits up to `wait_ms` if there are none (long poll)."""
    store: StreamStore = state['store']
    body = await store.read(name, offset, wait_ms / MS_PER_S)
    return Response(body, headers={ERA_HEADER: str(store.era)})


@post('/faults', status_code=200)
async def set_faults(data: JSONBody[Faults], state: State) -> Faults:
    """Set the faults to inject."""
    state['store'].faults = data
    return data


@post('/copy', status_code=200)
async def take_copy(state: State) -> None:
    """Copy all streams, for `/come-back`."""
    state['store'].take_copy()


@post('/come-back', status_code=200)
async def come_back(state: State) -> None:
    """Replace all streams by the last copy, and start the next era."""
    state['store'].come_back()


@get('/counts')
async def counts(state: State) -> LogCounts:
    """Return the number of calls since the start."""
    store: StreamStore = state['store']
    return LogCounts(
        reads=store.reads,
        appends=store.appends,
        refused=store.refused,
    )


def serve_log(
    host: str = '127.0.0.1',
    port: int = 7800,
    retention_s: float = 3600,
    appends_per_s: int = 300,
) -> None:
    """Serve the stand-in log until the process is stopped.

    Args:
        host: IP address to listen on.
        port: Port to listen on.
        retention_s: How long a record is retained.
        appends_per_s: Rate limit on appends, over all streams.
    """
    app = Litestar(
        route_handlers=[
            append,
            read,
            set_faults,
            take_copy,
            come_back,
            counts,
        ],
        state=State({'store': StreamStore(retention_s, appends_per_s)}),
        openapi_config=None,
        logging_config=None,
    )
    uvicorn.run(
        app,
        host=host,
        port=port,
        log_level='warning',
        access_log=False,
        timeout_graceful_shutdown=1,
    )
