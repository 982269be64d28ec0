"""Stand-in for the platform's log over HTTP."""

import asyncio
import base64
import time
from collections import deque

import uvicorn
from litestar import Litestar, Request, get, post
from litestar.datastructures import State
from litestar.exceptions import HTTPException
from litestar.params import FromPath, FromQuery, JSONBody
from pydantic import BaseModel

from filbertdrift.log import LogRecord, MemoryStream, read_page

MS_PER_S = 1000
MAX_WAIT_S = 30.0

_TOO_MANY = 429
_SERVER_ERROR = 500
_UNAVAILABLE = 503


class Faults(BaseModel):
    """Switches for the log's faults."""

    down: bool = False
    slow_ms: int = 0
    lost_answers: int = 0


class LogCounts(BaseModel):
    """How often the log was called."""

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
    """What one read returns."""

    records: list[RecordBody]
    first_offset: int
    next_offset: int


class StreamStore:
    """All streams, with retention by age and a limit on appends a second.

    Args:
        retention_s: How long a record is kept.
        appends_per_s: How many appends a second are taken.
    """

    def __init__(self, retention_s: float, appends_per_s: int) -> None:
        """Start empty and healthy."""
        self.faults = Faults()
        self.reads = 0
        self.appends = 0
        self.refused = 0
        self._retention_s = retention_s
        self._appends_per_s = appends_per_s
        self._streams: dict[str, MemoryStream] = {}
        self._ages: dict[str, deque[float]] = {}
        self._recent: deque[float] = deque()
        self._appended = asyncio.Event()

    async def append(self, name: str, payload: bytes) -> int:
        """Append one record and return its offset."""
        await self.pass_faults()
        now = time.monotonic()
        while self._recent and self._recent[0] < now - 1:
            self._recent.popleft()
        if len(self._recent) >= self._appends_per_s:
            self.refused += 1
            raise HTTPException('too many appends', status_code=_TOO_MANY)
        self._recent.append(now)
        self.appends += 1
        stream = self._stream(name)
        offset = stream.next_offset
        stream.records.append(LogRecord(offset, payload))
        stream.next_offset += 1
        self._ages[name].append(now)
        self._appended.set()
        self._appended = asyncio.Event()
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise HTTPException('answer lost', status_code=_SERVER_ERROR)
        return offset

    async def read(self, name: str, offset: int, wait_s: float) -> PageBody:
        """Return records from an offset on."""
        await self.pass_faults()
        self.reads += 1
        stream = self._stream(name)
        try:
            async with asyncio.timeout(min(wait_s, MAX_WAIT_S)):
                while stream.next_offset <= offset:
                    await self._appended.wait()
        except TimeoutError:
            self._expire(name)
        await self.pass_faults()
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

    async def pass_faults(self) -> None:
        """Be slow or fail as the switches say."""
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / MS_PER_S)
        if self.faults.down:
            raise HTTPException('down', status_code=_UNAVAILABLE)

    def _stream(self, name: str) -> MemoryStream:
        if name not in self._streams:
            self._streams[name] = MemoryStream()
            self._ages[name] = deque()
        self._expire(name)
        return self._streams[name]

    def _expire(self, name: str) -> None:
        stream, ages = self._streams[name], self._ages[name]
        limit = time.monotonic() - self._retention_s
        expired = 0
        while ages and ages[0] < limit:
            ages.popleft()
            expired += 1
        if expired:
            stream.records = stream.records[expired:]
            stream.first_offset += expired


@post('/streams/{name:str}', status_code=201)
async def append(
    name: FromPath[str], request: Request, state: State
) -> Appended:
    """Append the body as one record."""
    payload = await request.body()
    return Appended(offset=await state['store'].append(name, payload))


@get('/streams/{name:str}')
async def read(
    name: FromPath[str],
    state: State,
    offset: FromQuery[int] = 0,
    wait_ms: FromQuery[int] = 0,
) -> PageBody:
    """Return records, waiting for the next one if asked to."""
    store: StreamStore = state['store']
    return await store.read(name, offset, wait_ms / MS_PER_S)


@post('/faults', status_code=200)
async def set_faults(data: JSONBody[Faults], state: State) -> Faults:
    """Set the switches for faults."""
    state['store'].faults = data
    return data


@get('/counts')
async def counts(state: State) -> LogCounts:
    """Return how often the log was called."""
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
    """Run the stand-in until it is told to end.

    Args:
        host: IP number to listen on.
        port: Port to listen on.
        retention_s: How long a record is kept.
        appends_per_s: How many appends a second are taken.
    """
    app = Litestar(
        route_handlers=[append, read, set_faults, counts],
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
