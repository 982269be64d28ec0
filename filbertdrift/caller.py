"""The callers' port: HTTP/1.1 in, the outcome of each request out."""

import asyncio
import contextlib
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from filbertdrift import http1
from filbertdrift.callerport import CallerConnection, CallerPort
from filbertdrift.errors import (
    FilbertdriftError,
    MalformedMessage,
    RequestNotRun,
    RequestUnknown,
)
from filbertdrift.http1 import BodyPart, Headers, RequestHead
from filbertdrift.request import IngressRequest, Outcome, Response
from filbertdrift.serving import REQUEST_ID_HEADER, TIMEOUT_HEADER
from filbertdrift.snapshot import Route, Snapshot

MS_PER_S = 1000
FIRST_CHUNK_BYTES = 65_536
IDLE_TIMEOUT_S = 75.0
LINGER_S = 1.0
DRAIN_POLL_S = 0.02
FIRST_CHUNK_TIMEOUT_S = 10.0
NO_CONFIG_RETRY_AFTER_MS = 500

OUTCOME_HEADER = b'x-filbertdrift-outcome'
REASON_HEADER = b'x-filbertdrift-reason'
RETRY_AFTER_MS_HEADER = b'retry-after-ms'
DEPTH_HEADER = b'x-filbertdrift-depth'

_OWN_HEADERS = frozenset((TIMEOUT_HEADER, DEPTH_HEADER, REQUEST_ID_HEADER))
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestHandler(Protocol):
    """What the callers' port needs from the node."""

    @property
    def snapshot(self) -> Snapshot | None:
        """Return what requests are routed by, None before the first."""

    async def forward(
        self,
        snapshot: Snapshot,
        route: Route,
        req: IngressRequest,
    ) -> Response:
        """Return the answer to a request."""


@dataclass(slots=True)
class CallerCounters:
    """What went wrong on callers' connections."""

    bad_requests: int = 0
    aborted_answers: int = 0


class CallerServer(CallerPort):
    """Accepts callers' connections.

    Args:
        handler: Answers the requests.
    """

    def __init__(self, handler: RequestHandler) -> None:
        """Start without connections."""
        super().__init__()
        self.counters = CallerCounters()
        self.handler = handler

    async def drain(self) -> None:
        """Stop accepting and end every connection between requests."""
        self.is_closing = True
        self.stop_listening()
        await asyncio.sleep(LINGER_S)
        self.close_idle()
        while not self.is_empty:
            await asyncio.sleep(DRAIN_POLL_S)

    def _connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> CallerConnection:
        return _CallerConnection(self, reader, writer)


class _CallerConnection(CallerConnection):
    """One caller's connection to a node."""

    def __init__(
        self,
        server: CallerServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Start between requests."""
        super().__init__(writer)
        self._server = server
        self._handler = server.handler
        self._messages = http1.RequestReader(reader, 'caller')
        self._ends = False
        self._has_read_body = False

    async def run(self) -> None:
        """Serve requests until the caller or the node closes."""
        try:
            while True:
                head = await self._next_head()
                if head is None:
                    break
                await self._serve(head)
                if self._ends:
                    break
        except http1.HeadTooLarge as exc:
            await self._reject(431, exc)
        except MalformedMessage as exc:
            await self._reject(400, exc)
        except (FilbertdriftError, OSError, TimeoutError):
            self._writer.transport.abort()
        finally:
            self._writer.close()

    async def _next_head(self) -> RequestHead | None:
        self._is_idle = True
        self._has_read_body = False
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                return await self._messages.head()
        finally:
            self._is_idle = False

    async def _serve(self, head: RequestHead) -> None:
        self._server.in_progress += 1
        try:
            await self._answer(head)
        finally:
            self._server.in_progress -= 1

    async def _answer(self, head: RequestHead) -> None:
        snapshot = self._handler.snapshot
        if snapshot is None:
            await self._refuse(
                head,
                RequestNotRun(
                    'this node has no configuration yet',
                    retry_after_ms=NO_CONFIG_RETRY_AFTER_MS,
                    step='route',
                ),
            )
            return
        route = snapshot.match(head.method, head.path)
        if route is None:
            await self._plain(head, 404, 'no route matches', Outcome.NOT_RUN)
            return
        try:
            answer = await self._forward(snapshot, route, head)
        except (RequestNotRun, RequestUnknown) as exc:
            await self._refuse(head, exc)
            return
        try:
            await self._pass_on(head, route, answer)
        finally:
            answer.close()

    async def _forward(
        self,
        snapshot: Snapshot,
        route: Route,
        head: RequestHead,
    ) -> Response:
        if http1.find_header(head.headers, b'expect'):
            self._writer.write(_CONTINUE)
        async with asyncio.timeout(FIRST_CHUNK_TIMEOUT_S):
            first = await self._first_part()
        self._has_read_body = first.end
        req = ingress_request(route, head, first, self._read_body)
        return await self._handler.forward(snapshot, route, req)

    async def _read_body(self) -> BodyPart:
        part = await self._messages.part()
        self._has_read_body = part.end
        return part

    async def _first_part(self) -> BodyPart:
        part = await self._messages.part()
        chunks = [part.chunk]
        size_bytes = len(part.chunk)
        while not part.end and size_bytes < FIRST_CHUNK_BYTES:
            part = await self._messages.part()
            chunks.append(part.chunk)
            size_bytes += len(part.chunk)
        return BodyPart(b''.join(chunks), part.end)

    async def _pass_on(
        self,
        head: RequestHead,
        route: Route,
        answer: Response,
    ) -> None:
        part = answer.first_part
        headers = list(answer.headers)
        headers.append((OUTCOME_HEADER, Outcome.ANSWERED.value.encode()))
        is_bodiless = head.method == 'HEAD' or answer.status in {204, 304}
        is_chunked = self._frame(headers, part, is_bodiless=is_bodiless)
        self._end_headers(head, headers)
        raw = http1.response_bytes(answer.status, headers)
        self._writer.write(raw + http1.coded_part(part, is_chunked=is_chunked))
        while not part.end:
            try:
                part = await answer.part(route.policy.stall_s)
            except RequestUnknown:
                self._server.counters.aborted_answers += 1
                self._writer.transport.abort()
                raise
            self._writer.write(http1.coded_part(part, is_chunked=is_chunked))
            await self._drain(route.policy.stall_s)
        await self._drain(route.policy.stall_s)

    def _frame(
        self,
        headers: Headers,
        part: BodyPart,
        *,
        is_bodiless: bool,
    ) -> bool:
        if is_bodiless or http1.find_header(headers, b'content-length'):
            return False
        if part.end:
            headers.append((b'content-length', b'%d' % len(part.chunk)))
            return False
        headers.append((b'transfer-encoding', b'chunked'))
        return True

    async def _drain(self, stall_s: float) -> None:
        async with asyncio.timeout(stall_s):
            await self._writer.drain()

    def _end_headers(self, head: RequestHead, headers: Headers) -> None:
        if self._ends or self._server.is_closing or not head.keep_alive:
            self._ends = True
            headers.append((b'connection', b'close'))

    async def _refuse(
        self,
        head: RequestHead,
        exc: RequestNotRun | RequestUnknown,
    ) -> None:
        if isinstance(exc, RequestNotRun):
            seconds = -(-exc.retry_after_ms // MS_PER_S)
            retry_after: Headers = [
                (b'retry-after', b'%d' % seconds),
                (RETRY_AFTER_MS_HEADER, b'%d' % exc.retry_after_ms),
            ]
            reason, outcome = str(exc), Outcome.NOT_RUN
            await self._plain(head, exc.status, reason, outcome, retry_after)
            return
        status = 504 if 'deadline' in exc.reason else 502
        await self._plain(head, status, str(exc), Outcome.UNKNOWN)

    async def _plain(
        self,
        head: RequestHead,
        status: int,
        reason: str,
        outcome: Outcome,
        extra: Headers | None = None,
    ) -> None:
        text = f'{reason}\n'.encode()
        headers: Headers = [
            (b'content-type', b'text/plain; charset=utf-8'),
            (b'content-length', b'%d' % len(text)),
            (OUTCOME_HEADER, outcome.value.encode()),
            (REASON_HEADER, _header_safe(reason)),
            *(extra or ()),
        ]
        if not self._has_read_body and not self._messages.parsed().end:
            self._ends = True
        self._end_headers(head, headers)
        body = b'' if head.method == 'HEAD' else text
        self._writer.write(http1.response_bytes(status, headers) + body)
        await self._writer.drain()

    async def _reject(self, status: int, exc: FilbertdriftError) -> None:
        self._server.counters.bad_requests += 1
        self._ends = True
        head = RequestHead('GET', '', [], keep_alive=False)
        with contextlib.suppress(OSError):
            await self._plain(head, status, str(exc), Outcome.NOT_RUN)


def ingress_request(
    route: Route,
    head: RequestHead,
    first: BodyPart,
    read_body: Callable[[], Awaitable[BodyPart]],
) -> IngressRequest:
    """Return a caller's request with its deadline.

    Args:
        route: The request's route.
        head: Its head.
        first: The beginning of its body.
        read_body: Returns the next part of its body.
    """
    now = asyncio.get_running_loop().time()
    timeout_s = route.policy.timeout_s
    asked_ms = http1.find_header(head.headers, TIMEOUT_HEADER)
    if asked_ms.isdigit():
        timeout_s = min(timeout_s, int(asked_ms) / MS_PER_S)
    request_id = http1.find_header(head.headers, REQUEST_ID_HEADER)
    request_id = request_id or uuid.uuid4().hex
    depth = http1.find_header(head.headers, DEPTH_HEADER)
    depth_count = int(depth) if depth.isdigit() else 0
    headers = [
        header
        for header in http1.end_to_end(head.headers)
        if header[0] not in _OWN_HEADERS
    ]
    headers.append((REQUEST_ID_HEADER, request_id.encode('latin-1')))
    headers.append((DEPTH_HEADER, b'%d' % (depth_count + 1)))
    return IngressRequest(
        request_id=request_id,
        method=head.method,
        path=head.path,
        headers=headers,
        first_chunk=first.chunk,
        is_whole=first.end,
        read_body=read_body,
        deadline=now + timeout_s,
        client_account=http1.find_header(
            head.headers, route.policy.customer_header
        ),
        is_nested=depth_count > 0,
    )


def _header_safe(text: str) -> bytes:
    line = ' '.join(text.split())
    return line.encode('ascii', 'replace')
