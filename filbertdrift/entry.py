"""The ingress: HTTP/1.1 server for the callers of a node with prefix routes."""

import asyncio
import contextlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from filbertdrift import http1
from filbertdrift.accounts.authentication import (
    OutdatedEvidence,
    Permission,
    UnknownKey,
    add_account,
)
from filbertdrift.age.timedstream import TimedStream
from filbertdrift.callerport import CallerConnection, CallerListener
from filbertdrift.contract import HeaderNames, parse_timeout_s
from filbertdrift.errors import (
    STATUS_UNAVAILABLE,
    FilbertdriftError,
    MalformedMessage,
    RequestNotRun,
    RequestUnknown,
)
from filbertdrift.failures import build_failure
from filbertdrift.http1 import BodyPart, Headers, RequestHead
from filbertdrift.ingress_errors import (
    StopsBefore,
    build_cut_error,
    build_no_config_error,
    build_outdated_error,
)
from filbertdrift.request import IngressRequest
from filbertdrift.responsewriter import ResponseWriter
from filbertdrift.routed import RoutedRequest, RoutedResponse
from filbertdrift.routing import CallerLimits, PrefixRoute, normalize_host
from filbertdrift.stopping.plan import StopPlan

if TYPE_CHECKING:
    from loguru import Logger

MS_PER_S = 1000
FIRST_CHUNK_BYTES = 65_536
# Timeout if the caller states no deadline; a route's timeout only shortens it.
DEFAULT_TIMEOUT_S = 30.0
MAX_LOGGED_PATH_CHARS = 200

STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_REQUEST_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_TOO_MANY_REQUESTS = 429
STATUS_HEAD_TOO_LARGE = 431
STATUS_BAD_GATEWAY = 502
STATUS_GATEWAY_TIMEOUT = 504

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_HEAD_TIMEOUT_RESPONSE = http1.encode_response_head(
    STATUS_REQUEST_TIMEOUT,
    [(b'content-length', b'0'), (b'connection', b'close')],
)


class RoutingHandler(Protocol):
    """What the ingress requires of the node."""

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""

    @property
    def has_config(self) -> bool:
        """Return whether a configuration is in force."""

    @property
    def may_be_outdated(self) -> bool:
        """Return whether a change may be in force that this node lacks."""

    def config_evidence(self) -> Mapping[str, int]:
        """Return log fields that tell how current the configuration is."""

    def match(self, host: str, path: str) -> PrefixRoute | None:
        """Return the route of a request, None if no route matches."""

    def authenticate(
        self, headers: Headers, route: PrefixRoute
    ) -> Permission | None:
        """Return whose request it is, None if there are no accounts.

        Raises:
            UnknownKey: No account has its key.
            OutdatedEvidence: A change may be in force that this node lacks.
        """

    def route_request(
        self, req: IngressRequest, route: PrefixRoute
    ) -> RoutedRequest:
        """Choose the service for a request."""

    async def dispatch(self, routed: RoutedRequest) -> RoutedResponse:
        """Return the response to a request.

        Raises:
            RequestNotRun: No target ran it.
            RequestUnknown: A target may have run it.
        """


class BodyTooLarge(FilbertdriftError):
    """A request body exceeds the limit."""


@dataclass(slots=True)
class IngressCounters:
    """Events on callers' connections."""

    connections: int = 0
    requests: int = 0
    unmatched: int = 0
    unconfirmed: int = 0
    rejected: int = 0
    aborted_answers: int = 0
    left: int = 0
    failed: int = 0
    unanswered: int = 0
    closed_unread: int = 0


class IngressServer(CallerListener):
    """Serves callers over HTTP/1.1 and routes their requests.

    Args:
        handler: Routes and dispatches the requests.
        header_names: Names of the platform's headers.
        caller_service: Service of the local target, stated to targets as
            the caller.
    """

    def __init__(
        self,
        handler: RoutingHandler,
        header_names: HeaderNames,
        caller_service: str,
    ) -> None:
        """Create the server without connections."""
        super().__init__()
        self.counters = IngressCounters()
        self.handler = handler
        self.header_names = header_names
        self.caller_service = caller_service.encode()

    def interrupt(self) -> None:
        """End the requests that wait for a response with a final one."""
        for conn in list(self._connections):
            if isinstance(conn, _IngressConnection):
                conn.interrupt()

    def _new_connection(
        self,
        reader: TimedStream,
        writer: asyncio.StreamWriter,
    ) -> CallerConnection:
        self.counters.connections += 1
        return _IngressConnection(self, reader, writer)


class _IngressConnection(CallerConnection):
    """One caller's connection to the ingress."""

    def __init__(
        self,
        server: IngressServer,
        reader: TimedStream,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Create the connection without a request in progress."""
        super().__init__(server, reader, writer)
        self._server = server
        self._handler = server.handler
        self._responses = ResponseWriter(server, writer)
        self._has_read_body = True
        self._has_timed_out = False
        self._body_bytes = 0
        self._body_limit_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        # The rest of the request, or a response to it, is awaited.
        self._is_waiting = False
        # The request was handed over, so a target may run it.
        self._is_dispatched = False
        self._req: IngressRequest | None = None
        self._is_interrupted = False
        # The request whose response is not complete, None between requests.
        self._unanswered: RequestHead | None = None

    def interrupt(self) -> None:
        """Respond at once to a request that waits for its rest or a target."""
        if self._is_waiting and self._task:
            self._is_interrupted = True
            self._task.cancel()
        elif self._timer and not self._is_idle:
            self._on_timeout()

    async def run(self) -> None:
        """Serve requests until the caller or the node closes."""
        try:
            await self._serve_until_end()
            if self._responses.may_be_sent_more or not self._has_read_body:
                await self._linger()
        finally:
            self._writer.close()

    async def _serve_until_end(self) -> None:
        try:
            await self._serve_requests()
        except http1.HeadTooLarge as exc:
            await self._reject_malformed(STATUS_HEAD_TOO_LARGE, exc)
        except MalformedMessage as exc:
            await self._reject_malformed(STATUS_BAD_REQUEST, exc)
        except asyncio.CancelledError:
            self._end_cancelled()
        except Exception as exc:
            self._record_unanswered(exc)
            self._writer.transport.abort()

    def _end_cancelled(self) -> None:
        """End a request whose caller left or did not finish its head."""
        if not self._has_timed_out or self._task is None:
            self._server.counters.left += not self._is_idle
            raise asyncio.CancelledError
        self._task.uncancel()
        self._has_read_body = False
        self._server.counters.rejected += 1
        self._writer.write(_HEAD_TIMEOUT_RESPONSE)

    def _record_unanswered(self, exc: Exception) -> None:
        """Record that this connection ends without a whole response."""
        head = self._unanswered
        if head is None:
            return
        self._server.counters.unanswered += 1
        self._log(head, 'unanswered').opt(exception=exc).warning('{!r}', exc)

    async def _serve_requests(self) -> None:
        while not self._responses.must_close:
            head = await self._read_head()
            if head is None:
                return
            self._server.in_progress += 1
            self._unanswered = head
            try:
                await self._serve(head)
            finally:
                self._server.in_progress -= 1
            self._unanswered = None

    async def _read_head(self) -> RequestHead | None:
        limits = self._handler.limits
        self._is_idle = True
        self._start_timer(limits.idle_timeout_s)
        try:
            if not await self._request_reader.wait_for_data():
                return None
            self._is_idle = False
            head = self._request_reader.buffered_head()
            if head is None:
                self._start_timer(limits.header_timeout_s)
                head = await self._request_reader.head()
            return head
        finally:
            self._is_idle = False
            self._stop_timer()

    def _start_timer(self, timeout_s: float) -> None:
        """Close the connection unless the head arrives in time."""
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_s, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if not self._is_idle:
            # The caller began a head and did not finish it in time.
            self._has_timed_out = True
        elif self._has_unread():
            return
        if self._task:
            self._task.cancel()

    async def _serve(self, head: RequestHead) -> None:
        self._server.counters.requests += 1
        self._has_read_body = False
        self._body_bytes = 0
        # A configuration that lowers the limit does not end a run.
        self._body_limit_bytes = self._handler.limits.body_bytes
        self._is_dispatched = False
        self._responses.has_begun = False
        self._responses.is_whole = False
        self._req = None
        try:
            await self._route(head)
        except Exception as exc:
            is_cut = self._responses.has_begun and not self._responses.is_whole
            if is_cut or not self._is_failure(exc):
                raise
            await self._respond_to_failure(head, exc)

    def _is_failure(self, exc: Exception) -> bool:
        """Return whether an exception is no end that a caller can cause."""
        usual = (FilbertdriftError, OSError, TimeoutError)
        return self._is_dispatched or not isinstance(exc, usual)

    async def _respond_to_failure(
        self, head: RequestHead, exc: Exception
    ) -> None:
        """Respond to a request that an unexpected exception has ended."""
        self._server.counters.failed += 1
        self._log(head, 'request_failed').opt(exception=exc).error(
            'a request has failed'
        )
        if self._responses.is_whole:
            self._responses.must_close |= not self._has_read_body
            return
        may_have_run = self._req is not None and self._req.may_have_run
        await self._send_error(head, build_failure(may_have_run=may_have_run))

    async def _route(self, head: RequestHead) -> None:
        handler = self._handler
        if not handler.has_config:
            await self._send_error(head, build_no_config_error())
            return
        if _head_size_bytes(head) > handler.limits.header_bytes:
            reason = f'head over {handler.limits.header_bytes} bytes'
            await self._reject(head, STATUS_HEAD_TOO_LARGE, reason)
            return
        host = http1.find_header(head.headers, b'host')
        route = handler.match(host, head.path)
        if route is None:
            self._server.counters.unmatched += 1
            reason = f'no route for {normalize_host(host)} {head.path}'
            await self._reject(head, STATUS_NOT_FOUND, reason)
            return
        try:
            await self._proxy_request(head, route)
        except BodyTooLarge as exc:
            await self._reject(head, STATUS_TOO_LARGE, str(exc))
        except UnknownKey as exc:
            await self._refuse_key(head, exc)
        except (OutdatedEvidence, StopsBefore) as exc:
            self._log_rejection(head, exc.status, str(exc))
            await self._send_error(head, exc)

    async def _proxy_request(
        self, head: RequestHead, route: PrefixRoute
    ) -> None:
        started_at = asyncio.get_running_loop().time()
        permission = self._handler.authenticate(head.headers, route)
        length = http1.find_header(head.headers, b'content-length')
        if length.isdigit():
            self._check_body_size(int(length))
        stated_timeout_s = parse_timeout_s(
            head.headers,
            self._server.header_names.deadline_ms,
        )
        timeout_s = _effective_timeout_s(stated_timeout_s, route)
        deadline = head.arrived_at + timeout_s
        try:
            first = await self._read_first_part(head, deadline)
        except TimeoutError:
            self._responses.must_close = True
            reason = 'the body did not come in time'
            self._log_rejection(head, STATUS_REQUEST_TIMEOUT, reason)
            await self._send_text(head, STATUS_REQUEST_TIMEOUT, reason)
            return
        # The caller may have left, which is read after its request.
        await self._server.arrivals.settle()
        if asyncio.get_running_loop().time() > started_at:
            # The key may have been withdrawn while the body arrived.
            permission = self._handler.authenticate(head.headers, route)
        req = self._build_request(head, first, deadline, permission)
        req.caller_timeout_s = stated_timeout_s
        self._req = req
        routed = self._handler.route_request(req, route)
        self._is_dispatched = True
        with req.cleanup:
            await self._exchange(head, routed)

    async def _exchange(self, head: RequestHead, routed: RoutedRequest) -> None:
        try:
            with self._interruptible(routed.req):
                response = await self._handler.dispatch(routed)
        except (RequestNotRun, RequestUnknown) as exc:
            if _is_over_limit(exc):
                account = routed.req.client_account
                self._log_rejection(
                    head, STATUS_TOO_MANY_REQUESTS, str(exc), account
                )
            await self._send_error(head, exc)
            return
        try:
            await self._responses.send_response(head, response)
            await response.finish_upload()
        except RequestUnknown:
            self._server.counters.aborted_answers += 1
            raise
        finally:
            response.close()
        if not (self._has_read_body or self._responses.must_close):
            self._has_read_body = await self._drop_body(routed.req.deadline)
        self._responses.must_close |= not self._has_read_body

    @contextlib.contextmanager
    def _interruptible(self, req: IngressRequest | None) -> Iterator[None]:
        """Wait for the rest of a request or a response, until the node stops.

        Args:
            req: The request, None before it is handed over.
        """
        self._is_waiting = True
        try:
            yield
        except asyncio.CancelledError as exc:
            task = asyncio.current_task()
            if task is None or not self._is_interrupted:
                raise
            task.uncancel()
            raise build_cut_error(req) from exc
        finally:
            self._is_waiting = False

    def _build_request(
        self,
        head: RequestHead,
        first: BodyPart,
        deadline: float,
        permission: Permission | None,
    ) -> IngressRequest:
        header_names = self._server.header_names
        reserved_headers = header_names.reserved_headers()
        if permission is not None:
            reserved_headers |= header_names.account_headers()
        headers = [
            header
            for header in http1.end_to_end_headers(head.headers)
            if header[0] not in reserved_headers
        ]
        headers.append(
            (header_names.caller_service, self._server.caller_service)
        )
        req = IngressRequest(
            request_id=http1.find_header(head.headers, header_names.request_id),
            method=head.method,
            path=head.path,
            headers=headers,
            first_chunk=first.chunk,
            is_whole=first.end,
            read_body=self._read_body,
            deadline=deadline,
            arrived_at=head.arrived_at,
        )
        if permission is not None:
            add_account(req, permission, header_names.client_account)
        return req

    async def _read_body(self) -> BodyPart:
        part = await self._request_reader.part()
        self._count_body(part)
        return part

    def _count_body(self, part: BodyPart) -> None:
        self._body_bytes += len(part.chunk)
        self._check_body_size(self._body_bytes)
        self._has_read_body = part.end

    def _check_body_size(self, size_bytes: int) -> None:
        limit_bytes = self._body_limit_bytes
        if size_bytes > limit_bytes:
            raise BodyTooLarge(
                f'body over {limit_bytes} bytes',
                step='read body',
            )

    async def _read_first_part(
        self, head: RequestHead, deadline: float
    ) -> BodyPart:
        _check_stop(self._server.stop_plan, deadline)
        if http1.find_header(head.headers, b'expect'):
            self._writer.write(_CONTINUE)
        part = self._request_reader.buffered_part()
        if part.end:
            self._count_body(part)
            return part
        with self._interruptible(None):
            async with asyncio.timeout_at(deadline):
                self._count_body(part)
                chunks = [part.chunk]
                while not part.end and self._body_bytes < FIRST_CHUNK_BYTES:
                    part = await self._read_body()
                    chunks.append(part.chunk)
        # The stop may have begun while the body arrived.
        _check_stop(self._server.stop_plan, deadline)
        return BodyPart(b''.join(chunks), part.end)

    async def _send_error(
        self,
        head: RequestHead,
        exc: RequestNotRun | RequestUnknown,
    ) -> None:
        if isinstance(exc, RequestNotRun):
            retry_after = b'%.3f' % (exc.retry_after_ms / MS_PER_S)
            extra = [(b'retry-after', retry_after)]
            await self._send_text(head, exc.status, str(exc), extra)
            return
        is_deadline_passed = 'deadline' in exc.reason
        status = (
            STATUS_GATEWAY_TIMEOUT if is_deadline_passed else STATUS_BAD_GATEWAY
        )
        await self._send_text(head, status, str(exc))

    async def _send_text(
        self,
        head: RequestHead,
        status: int,
        reason: str,
        extra: Headers | None = None,
    ) -> None:
        if not self._has_read_body:
            self._has_read_body = self._request_reader.buffered_part().end
        if not self._has_read_body:
            self._responses.must_close = True
            self._server.counters.closed_unread += 1
            self._log(head, 'closed_unread').info('status {}', status)
        await self._responses.send_text(head, status, reason, extra or [])

    async def _reject(
        self, head: RequestHead, status: int, reason: str
    ) -> None:
        """Refuse a request that the configuration does not allow.

        A caller does not come back after such a refusal, so a node that may
        have missed a change tells it to try again instead.
        """
        if self._is_dispatched or not self._handler.may_be_outdated:
            self._log_rejection(head, status, reason)
            await self._send_text(head, status, reason)
            return
        self._server.counters.unconfirmed += 1
        self._log_rejection(head, STATUS_UNAVAILABLE, reason)
        await self._send_error(head, build_outdated_error(reason))

    async def _refuse_key(self, head: RequestHead, exc: UnknownKey) -> None:
        reason = str(exc)
        self._log_rejection(head, STATUS_UNAUTHORIZED, reason)
        challenge = (b'www-authenticate', self._server.header_names.api_key)
        await self._send_text(head, STATUS_UNAUTHORIZED, reason, [challenge])

    def _log_rejection(
        self, head: RequestHead, status: int, reason: str, account: str = ''
    ) -> None:
        request_id = self._server.header_names.request_id
        logger.bind(
            event='rejected',
            status=status,
            account=account,
            request=http1.find_header(head.headers, request_id),
            host=http1.find_header(head.headers, b'host'),
            path=head.path[:MAX_LOGGED_PATH_CHARS],
            **self._handler.config_evidence(),
        ).info('{}', reason[:MAX_LOGGED_PATH_CHARS])

    def _log(self, head: RequestHead, event: str) -> 'Logger':
        """Return a logger with what was done of a request."""
        request_id = self._server.header_names.request_id
        return logger.bind(
            event=event,
            request=http1.find_header(head.headers, request_id),
            path=head.path[:MAX_LOGGED_PATH_CHARS],
            body_bytes=self._body_bytes,
            has_read_body=self._has_read_body,
            is_dispatched=self._is_dispatched,
            version=self._handler.config_evidence()['version'],
        )

    async def _reject_malformed(
        self, status: int, exc: FilbertdriftError
    ) -> None:
        self._server.counters.rejected += 1
        logger.bind(event='rejected', status=status).info('{}', exc)
        self._responses.must_close = True
        head = RequestHead('GET', '', [], keep_alive=False)
        with contextlib.suppress(OSError, TimeoutError):
            await self._send_text(head, status, str(exc))
        self._has_read_body = False


def _check_stop(plan: StopPlan | None, deadline: float) -> None:
    """Check that a request can end before the node does.

    Raises:
        StopsBefore: It might not.
    """
    now = asyncio.get_running_loop().time()
    if plan is not None and not plan.can_serve(now, deadline):
        raise StopsBefore()


def _is_over_limit(exc: RequestNotRun | RequestUnknown) -> bool:
    """Return whether the limit of its account refused a request."""
    return (
        isinstance(exc, RequestNotRun)
        and exc.status == STATUS_TOO_MANY_REQUESTS
    )


def _effective_timeout_s(
    stated_timeout_s: float | None, route: PrefixRoute
) -> float:
    """Return the shorter of the caller's and the route's timeout."""
    timeout_s = (
        DEFAULT_TIMEOUT_S if stated_timeout_s is None else stated_timeout_s
    )
    return min(timeout_s, route.timeout_s or timeout_s)


def _head_size_bytes(head: RequestHead) -> int:
    return len(head.path) + sum(
        len(name) + len(text) for name, text in head.headers
    )
