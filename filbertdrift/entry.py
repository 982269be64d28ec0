"""The callers' port of a node with prefix routes."""

import asyncio
import contextlib
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from filbertdrift import http1
from filbertdrift.callerport import CallerConnection, CallerPort
from filbertdrift.contract import HeaderNames, parse_timeout_s
from filbertdrift.errors import (
    FilbertdriftError,
    MalformedMessage,
    RequestNotRun,
    RequestUnknown,
)
from filbertdrift.http1 import BodyPart, Headers, RequestHead
from filbertdrift.request import IngressRequest
from filbertdrift.routing import CallerLimits, PrefixRoute, normalize_host
from filbertdrift.target_attempt import RoutedRequest, RoutedResponse

MS_PER_S = 1000
FIRST_CHUNK_BYTES = 65_536
# Used when a caller gives no deadline and its route has no limit.
DEFAULT_DEADLINE_S = 30.0
# A caller that takes no bytes of its answer for so long is given up.
WRITE_STALL_S = 10.0
NO_CONFIG_RETRY_AFTER_MS = 300

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_REQUEST_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_HEAD_TOO_LARGE = 431
STATUS_BAD_GATEWAY = 502
STATUS_GATEWAY_TIMEOUT = 504

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_HEAD_TIMEOUT = http1.response_bytes(
    STATUS_REQUEST_TIMEOUT,
    [(b'content-length', b'0'), (b'connection', b'close')],
)
_BODILESS_STATUSES = frozenset((204, 304))


class RoutingHandler(Protocol):
    """What the callers' port needs from the node."""

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""

    @property
    def has_config(self) -> bool:
        """Tell whether a configuration is in force."""

    def match(self, host: str, path: str) -> PrefixRoute | None:
        """Return the route of a request."""

    def route_request(
        self, req: IngressRequest, route: PrefixRoute
    ) -> RoutedRequest:
        """Choose the service for a request."""

    async def dispatch(self, routed: RoutedRequest) -> RoutedResponse:
        """Return the answer to a request."""


class BodyTooLarge(FilbertdriftError):
    """A request's body is over the limit."""


@dataclass(slots=True)
class IngressCounters:
    """What happened on callers' connections."""

    connections: int = 0
    requests: int = 0
    unmatched: int = 0
    rejected: int = 0
    aborted_answers: int = 0
    left: int = 0


class IngressServer(CallerPort):
    """Accepts callers' connections.

    Args:
        handler: Answers the requests.
        header_names: Names of the platform's headers.
        caller_service: The service beside this node.
    """

    def __init__(
        self,
        handler: RoutingHandler,
        header_names: HeaderNames,
        caller_service: str,
    ) -> None:
        """Start without connections."""
        super().__init__()
        self.counters = IngressCounters()
        self.handler = handler
        self.header_names = header_names
        self.caller_service = caller_service.encode()

    def _connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> CallerConnection:
        self.counters.connections += 1
        return _IngressConnection(self, reader, writer)


class _IngressConnection(CallerConnection):
    """One caller's connection to an entry."""

    def __init__(
        self,
        server: IngressServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Start between requests."""
        super().__init__(writer)
        self._server = server
        self._handler = server.handler
        self._messages = http1.RequestReader(reader, 'caller')
        self._ends = False
        self._has_read_body = True
        self._body_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Serve requests until the caller or the node closes."""
        try:
            await self._serve_requests()
        except http1.HeadTooLarge as exc:
            await self._reject(STATUS_HEAD_TOO_LARGE, exc)
        except MalformedMessage as exc:
            await self._reject(STATUS_BAD_REQUEST, exc)
        except (FilbertdriftError, OSError, TimeoutError):
            self._writer.transport.abort()
        except asyncio.CancelledError:
            self._server.counters.left += not self._is_idle
            raise
        finally:
            self._writer.close()

    async def _serve_requests(self) -> None:
        while not self._ends:
            head = await self._next_head()
            if head is None:
                return
            self._server.in_progress += 1
            try:
                await self._serve(head)
            finally:
                self._server.in_progress -= 1

    async def _next_head(self) -> RequestHead | None:
        limits = self._handler.limits
        self._is_idle = True
        self._arm(limits.idle_timeout_s)
        try:
            if not await self._messages.has_begun():
                return None
            self._is_idle = False
            head = self._messages.parsed_head()
            if head is None:
                self._arm(limits.header_timeout_s)
                head = await self._messages.head()
            return head
        finally:
            self._is_idle = False
            self._disarm()

    def _arm(self, limit_s: float) -> None:
        """End the connection unless the head comes in time."""
        self._disarm()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(limit_s, self._expire)

    def _disarm(self) -> None:
        if self._timer:
            self._timer.cancel()

    def _expire(self) -> None:
        if not self._is_idle:
            # A head that began but does not end: the caller hears of it.
            self._server.counters.rejected += 1
            self._writer.write(_HEAD_TIMEOUT)
        if self._task:
            self._task.cancel()

    async def _serve(self, head: RequestHead) -> None:
        self._server.counters.requests += 1
        self._has_read_body = False
        self._body_bytes = 0
        handler = self._handler
        if not handler.has_config:
            await self._refuse(head, _no_config())
            return
        if _head_bytes(head) > handler.limits.header_bytes:
            await self._plain(head, STATUS_HEAD_TOO_LARGE, 'head too large')
            return
        host = http1.find_header(head.headers, b'host')
        route = handler.match(host, head.path)
        if route is None:
            self._server.counters.unmatched += 1
            reason = f'no route for {normalize_host(host)} {head.path}'
            await self._plain(head, STATUS_NOT_FOUND, reason)
            return
        try:
            await self._answer(head, route)
        except BodyTooLarge as exc:
            await self._plain(head, STATUS_TOO_LARGE, str(exc))

    async def _answer(self, head: RequestHead, route: PrefixRoute) -> None:
        began = asyncio.get_running_loop().time()
        length = http1.find_header(head.headers, b'content-length')
        if length.isdigit():
            self._check_body(int(length))
        if http1.find_header(head.headers, b'expect'):
            self._writer.write(_CONTINUE)
        stated_s = parse_timeout_s(
            head.headers,
            self._server.header_names.deadline_ms,
        )
        deadline = began + _time_limit_s(stated_s, route)
        try:
            first = await self._first_part(deadline)
        except TimeoutError:
            self._ends = True
            reason = 'the body did not come in time'
            await self._plain(head, STATUS_REQUEST_TIMEOUT, reason)
            return
        req = self._ingress_request(head, first, deadline)
        req.caller_timeout_s = stated_s
        routed = self._handler.route_request(req, route)
        try:
            answer = await self._handler.dispatch(routed)
        except (RequestNotRun, RequestUnknown) as exc:
            await self._refuse(head, exc)
            return
        try:
            await self._pass_on(head, answer)
            await answer.finish_upload()
        finally:
            answer.close()
        self._ends = self._ends or not self._has_read_body

    def _ingress_request(
        self,
        head: RequestHead,
        first: BodyPart,
        deadline: float,
    ) -> IngressRequest:
        header_names = self._server.header_names
        own = header_names.reserved_headers()
        headers = [
            header
            for header in http1.end_to_end(head.headers)
            if header[0] not in own
        ]
        headers.append(
            (header_names.caller_service, self._server.caller_service)
        )
        return IngressRequest(
            request_id=http1.find_header(head.headers, header_names.request_id),
            method=head.method,
            path=head.path,
            headers=headers,
            first_chunk=first.chunk,
            is_whole=first.end,
            read_body=self._read_body,
            deadline=deadline,
        )

    async def _read_body(self) -> BodyPart:
        part = await self._messages.part()
        self._note_body(part)
        return part

    def _note_body(self, part: BodyPart) -> None:
        self._body_bytes += len(part.chunk)
        self._check_body(self._body_bytes)
        self._has_read_body = part.end

    def _check_body(self, size_bytes: int) -> None:
        limit_bytes = self._handler.limits.body_bytes
        if size_bytes > limit_bytes:
            raise BodyTooLarge(
                f'body over {limit_bytes} bytes',
                step='read body',
            )

    async def _first_part(self, deadline: float) -> BodyPart:
        part = self._messages.parsed()
        if part.end:
            self._note_body(part)
            return part
        async with asyncio.timeout_at(deadline):
            self._note_body(part)
            chunks = [part.chunk]
            while not part.end and self._body_bytes < FIRST_CHUNK_BYTES:
                part = await self._read_body()
                chunks.append(part.chunk)
        return BodyPart(b''.join(chunks), part.end)

    async def _pass_on(self, head: RequestHead, answer: RoutedResponse) -> None:
        part = answer.first_part
        headers = list(answer.headers)
        is_bodiless = head.method == 'HEAD'
        is_bodiless = is_bodiless or answer.status in _BODILESS_STATUSES
        is_chunked = False
        if not is_bodiless and not http1.find_header(
            headers,
            b'content-length',
        ):
            is_chunked = not part.end
            headers.append(
                (b'transfer-encoding', b'chunked')
                if is_chunked
                else (b'content-length', b'%d' % len(part.chunk)),
            )
        self._end_headers(head, headers)
        raw = http1.response_bytes(answer.status, headers)
        self._writer.write(raw + http1.coded_part(part, is_chunked=is_chunked))
        while not part.end:
            try:
                part = await answer.part(WRITE_STALL_S)
            except RequestUnknown:
                self._server.counters.aborted_answers += 1
                self._writer.transport.abort()
                raise
            self._writer.write(http1.coded_part(part, is_chunked=is_chunked))
            await self._drain()
        await self._drain()

    async def _drain(self) -> None:
        if not self._writer.transport.get_write_buffer_size():
            return
        async with asyncio.timeout(WRITE_STALL_S):
            await self._writer.drain()

    def _end_headers(self, head: RequestHead, headers: Headers) -> None:
        if self._server.is_closing or not head.keep_alive or self._ends:
            self._ends = True
            headers.append((b'connection', b'close'))

    async def _refuse(
        self,
        head: RequestHead,
        exc: RequestNotRun | RequestUnknown,
    ) -> None:
        if isinstance(exc, RequestNotRun):
            retry_after = b'%.3f' % (exc.retry_after_ms / MS_PER_S)
            extra = [(b'retry-after', retry_after)]
            await self._plain(head, exc.status, str(exc), extra)
            return
        is_late = 'deadline' in exc.reason
        status = STATUS_GATEWAY_TIMEOUT if is_late else STATUS_BAD_GATEWAY
        await self._plain(head, status, str(exc))

    async def _plain(
        self,
        head: RequestHead,
        status: int,
        reason: str,
        extra: Headers | None = None,
    ) -> None:
        text = f'{reason}\n'.encode()
        headers: Headers = [
            (b'content-type', b'text/plain; charset=utf-8'),
            (b'content-length', b'%d' % len(text)),
            *(extra or ()),
        ]
        if not self._has_read_body and not self._messages.parsed().end:
            self._ends = True
        self._end_headers(head, headers)
        body = b'' if head.method == 'HEAD' else text
        self._writer.write(http1.response_bytes(status, headers) + body)
        await self._drain()

    async def _reject(self, status: int, exc: FilbertdriftError) -> None:
        self._server.counters.rejected += 1
        logger.bind(event='rejected', status=status).info('{}', exc)
        self._ends = True
        head = RequestHead('GET', '', [], keep_alive=False)
        with contextlib.suppress(OSError, TimeoutError):
            await self._plain(head, status, str(exc))


def _time_limit_s(stated_s: float | None, route: PrefixRoute) -> float:
    """Return how long the caller and the route's time-out allow."""
    limit_s = DEFAULT_DEADLINE_S if stated_s is None else stated_s
    return min(limit_s, route.timeout_s or limit_s)


def _no_config() -> RequestNotRun:
    return RequestNotRun(
        'this node has no configuration yet',
        retry_after_ms=NO_CONFIG_RETRY_AFTER_MS,
        step='route',
    )


def _head_bytes(head: RequestHead) -> int:
    return len(head.path) + sum(
        len(name) + len(text) for name, text in head.headers
    )
