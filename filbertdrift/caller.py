"""HTTP/1.1 server for callers; each response states the request's outcome."""

import asyncio
import contextlib
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from filbertdrift import http1
from filbertdrift.accounts.authentication import (
    UnknownKey,
    identify,
    replace_key,
)
from filbertdrift.accounts.directory import ClientAccount
from filbertdrift.age.timedstream import TimedStream
from filbertdrift.callerport import CallerConnection, CallerListener
from filbertdrift.errors import (
    FilbertdriftError,
    MalformedMessage,
    RequestNotRun,
    RequestUnknown,
)
from filbertdrift.failures import build_failure
from filbertdrift.http1 import BodyPart, Headers, RequestHead
from filbertdrift.request import IngressRequest, Outcome, Response
from filbertdrift.serving import REQUEST_ID_HEADER, TIMEOUT_HEADER
from filbertdrift.snapshot import Route, Snapshot

MS_PER_S = 1000
FIRST_CHUNK_BYTES = 65_536
IDLE_TIMEOUT_S = 75.0
DRAIN_LINGER_S = 1.0
DRAIN_POLL_S = 0.02
FIRST_CHUNK_TIMEOUT_S = 10.0
NO_CONFIG_RETRY_AFTER_MS = 500

OUTCOME_HEADER = b'x-filbertdrift-outcome'
REASON_HEADER = b'x-filbertdrift-reason'
RETRY_AFTER_MS_HEADER = b'retry-after-ms'
DEPTH_HEADER = b'x-filbertdrift-depth'

# A caller's key, and the account of the key at the target.
API_KEY_HEADER = b'x-api-key'
ACCOUNT_HEADER = b'x-filbertdrift-account'
_NODE_HEADERS = frozenset((TIMEOUT_HEADER, DEPTH_HEADER, REQUEST_ID_HEADER))
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestHandler(Protocol):
    """What the caller-facing server requires of the node."""

    @property
    def snapshot(self) -> Snapshot | None:
        """Return the routing snapshot in force, None before the first."""

    async def forward(
        self,
        snapshot: Snapshot,
        route: Route,
        req: IngressRequest,
    ) -> Response:
        """Return the response to a request.

        Raises:
            RequestNotRun: No target ran it.
            RequestUnknown: A target may have run it.
        """


@dataclass(slots=True)
class CallerCounters:
    """Failures on callers' connections."""

    bad_requests: int = 0
    aborted_answers: int = 0


class CallerServer(CallerListener):
    """Serves callers over HTTP/1.1.

    Args:
        handler: Routes and forwards the requests.
    """

    def __init__(self, handler: RequestHandler) -> None:
        """Create the server without connections."""
        super().__init__()
        self.counters = CallerCounters()
        self.handler = handler

    async def drain(self) -> None:
        """Stop accepting and wait until all connections are closed.

        Connections may complete one more request within DRAIN_LINGER_S.
        Idle ones are closed after that.
        """
        self.is_closing = True
        self.stop_listening()
        await asyncio.sleep(DRAIN_LINGER_S)
        self.close_idle()
        while not self.is_empty:
            await asyncio.sleep(DRAIN_POLL_S)
            self.close_idle()

    def _new_connection(
        self,
        reader: TimedStream,
        writer: asyncio.StreamWriter,
    ) -> CallerConnection:
        return _CallerConnection(self, reader, writer)


class _CallerConnection(CallerConnection):
    """One caller's connection to a node."""

    def __init__(
        self,
        server: CallerServer,
        reader: TimedStream,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Create the connection without a request in progress."""
        super().__init__(server, reader, writer)
        self._server = server
        self._handler = server.handler
        self._must_close = False
        # It closes although the caller asked to keep it.
        self._may_be_sent_more = False
        self._has_read_body = False
        # Bytes of a response to the present request have been written.
        self._has_begun = False
        self._is_whole = False
        # The present request, None before it is handed over.
        self._req: IngressRequest | None = None
        self._request_id = ''
        self._is_serving = False

    async def run(self) -> None:
        """Serve requests until the caller or the node closes."""
        try:
            await self._serve_until_end()
            if self._must_close and (
                self._may_be_sent_more or not self._has_read_body
            ):
                await self._linger()
        finally:
            self._writer.close()

    async def _serve_until_end(self) -> None:
        try:
            await self._serve_requests()
        except http1.HeadTooLarge as exc:
            await self._reject_malformed(431, exc)
        except MalformedMessage as exc:
            await self._reject_malformed(400, exc)
        except Exception as exc:
            if self._is_serving:
                logger.bind(event='unanswered', request=self._request_id).opt(
                    exception=exc
                ).warning('a request got no whole response')
            self._writer.transport.abort()

    async def _serve_requests(self) -> None:
        while not self._must_close:
            head = await self._read_head()
            if head is None:
                return
            self._is_serving = True
            await self._serve(head)
            self._is_serving = False

    async def _read_head(self) -> RequestHead | None:
        self._is_idle = True
        self._has_read_body = False
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                return await self._request_reader.head()
        finally:
            self._is_idle = False

    async def _serve(self, head: RequestHead) -> None:
        self._server.in_progress += 1
        self._has_begun = False
        self._is_whole = False
        self._req = None
        self._request_id = http1.find_header(head.headers, REQUEST_ID_HEADER)
        try:
            await self._proxy_request(head)
        except Exception as exc:
            is_cut = self._has_begun and not self._is_whole
            if is_cut or not self._is_failure(exc):
                raise
            await self._respond_to_failure(head, exc)
        finally:
            self._server.in_progress -= 1

    def _is_failure(self, exc: Exception) -> bool:
        """Return whether an exception is no end that a caller can cause."""
        usual = (FilbertdriftError, OSError, TimeoutError)
        return self._req is not None or not isinstance(exc, usual)

    async def _respond_to_failure(
        self, head: RequestHead, exc: Exception
    ) -> None:
        """Respond to a request that an unexpected exception has ended."""
        logger.bind(event='request_failed', request=self._request_id).opt(
            exception=exc
        ).error('a request has failed')
        if self._is_whole:
            self._must_close |= not self._has_read_body
            return
        may_have_run = self._req is not None and self._req.may_have_run
        await self._send_error(head, build_failure(may_have_run=may_have_run))

    async def _proxy_request(self, head: RequestHead) -> None:
        snapshot = self._handler.snapshot
        if snapshot is None:
            await self._send_error(
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
            await self._send_text(
                head, 404, 'no route matches', Outcome.NOT_RUN
            )
            return
        with contextlib.ExitStack() as cleanup:
            try:
                response = await self._forward(snapshot, route, head, cleanup)
            except (RequestNotRun, RequestUnknown, UnknownKey) as exc:
                await self._send_error(head, exc)
                return
            with contextlib.closing(response):
                await self._send_response(head, route, response)

    async def _forward(
        self,
        snapshot: Snapshot,
        route: Route,
        head: RequestHead,
        cleanup: contextlib.ExitStack,
    ) -> Response:
        account = _find_account(snapshot, route, head.headers)
        if http1.find_header(head.headers, b'expect'):
            self._writer.write(_CONTINUE)
        async with asyncio.timeout(FIRST_CHUNK_TIMEOUT_S):
            first = await self._read_first_part()
        self._has_read_body = first.end
        # The caller may have left, which is read after its request.
        await self._server.arrivals.settle()
        req = ingress_request(route, head, first, self._read_body)
        if snapshot.accounts is not None:
            replace_key(req, account, API_KEY_HEADER, ACCOUNT_HEADER)
        cleanup.callback(req.cleanup.close)
        self._req = req
        self._request_id = req.request_id
        return await self._handler.forward(snapshot, route, req)

    async def _read_body(self) -> BodyPart:
        part = await self._request_reader.part()
        self._has_read_body = part.end
        return part

    async def _read_first_part(self) -> BodyPart:
        part = await self._request_reader.part()
        chunks = [part.chunk]
        size_bytes = len(part.chunk)
        while not part.end and size_bytes < FIRST_CHUNK_BYTES:
            part = await self._request_reader.part()
            chunks.append(part.chunk)
            size_bytes += len(part.chunk)
        return BodyPart(b''.join(chunks), part.end)

    async def _send_response(
        self,
        head: RequestHead,
        route: Route,
        response: Response,
    ) -> None:
        part = response.first_part
        headers = list(response.headers)
        headers.append((OUTCOME_HEADER, Outcome.ANSWERED.value.encode()))
        is_bodiless = head.method == 'HEAD' or response.status in {204, 304}
        is_chunked = self._add_framing_header(
            headers, part, is_bodiless=is_bodiless
        )
        # The rest of the body is not sent on once the response has come.
        self._must_close |= not self._has_read_body
        self._add_connection_header(head, headers)
        raw = http1.encode_response_head(response.status, headers)
        self._has_begun = True
        self._writer.write(raw + http1.encode_part(part, is_chunked=is_chunked))
        while not part.end:
            try:
                part = await response.part(route.policy.stall_s)
            except RequestUnknown:
                self._server.counters.aborted_answers += 1
                self._writer.transport.abort()
                raise
            self._writer.write(http1.encode_part(part, is_chunked=is_chunked))
            await self._drain(route.policy.stall_s)
        await self._drain(route.policy.stall_s)
        self._is_whole = True

    def _add_framing_header(
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

    def _add_connection_header(
        self, head: RequestHead, headers: Headers
    ) -> None:
        if self._must_close or self._server.is_closing or not head.keep_alive:
            self._must_close = True
            self._may_be_sent_more = head.keep_alive
            headers.append((b'connection', b'close'))

    async def _send_error(
        self,
        head: RequestHead,
        exc: RequestNotRun | RequestUnknown | UnknownKey,
    ) -> None:
        if isinstance(exc, UnknownKey):
            logger.bind(event='rejected', status=401).info('{}', exc)
            challenge = (b'www-authenticate', API_KEY_HEADER)
            await self._send_text(
                head, 401, str(exc), Outcome.NOT_RUN, [challenge]
            )
            return
        if isinstance(exc, RequestNotRun):
            seconds = -(-exc.retry_after_ms // MS_PER_S)
            retry_after: Headers = [
                (b'retry-after', b'%d' % seconds),
                (RETRY_AFTER_MS_HEADER, b'%d' % exc.retry_after_ms),
            ]
            reason, outcome = str(exc), Outcome.NOT_RUN
            await self._send_text(
                head, exc.status, reason, outcome, retry_after
            )
            return
        status = 504 if 'deadline' in exc.reason else 502
        await self._send_text(head, status, str(exc), Outcome.UNKNOWN)

    async def _send_text(
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
            (REASON_HEADER, _encode_header_text(reason)),
            *(extra or ()),
        ]
        if not self._has_read_body:
            self._has_read_body = self._request_reader.buffered_part().end
        if not self._has_read_body:
            self._must_close = True
        self._add_connection_header(head, headers)
        body = b'' if head.method == 'HEAD' else text
        self._has_begun = True
        self._writer.write(http1.encode_response_head(status, headers) + body)
        await self._writer.drain()
        self._is_whole = True

    async def _reject_malformed(
        self, status: int, exc: FilbertdriftError
    ) -> None:
        self._server.counters.bad_requests += 1
        self._must_close = True
        head = RequestHead('GET', '', [], keep_alive=False)
        with contextlib.suppress(OSError):
            await self._send_text(head, status, str(exc), Outcome.NOT_RUN)
        self._has_read_body = False


def _find_account(
    snapshot: Snapshot, route: Route, headers: Headers
) -> ClientAccount | None:
    """Return the account of a request, None without a key.

    Raises:
        UnknownKey: No account has its key.
    """
    if snapshot.accounts is None or route.policy.is_auth_exempt:
        return None
    return identify(snapshot.accounts, headers, API_KEY_HEADER)


def ingress_request(
    route: Route,
    head: RequestHead,
    first: BodyPart,
    read_body: Callable[[], Awaitable[BodyPart]],
) -> IngressRequest:
    """Return a caller's request with its deadline and the node's headers.

    Args:
        route: The request's route.
        head: The request's head.
        first: The beginning of the body.
        read_body: Returns the next part of the body.
    """
    timeout_s = route.policy.timeout_s
    stated_timeout_ms = http1.parse_count(
        http1.find_header(head.headers, TIMEOUT_HEADER),
    )
    if stated_timeout_ms is not None:
        timeout_s = min(timeout_s, stated_timeout_ms / MS_PER_S)
    request_id = http1.find_header(head.headers, REQUEST_ID_HEADER)
    request_id = request_id or uuid.uuid4().hex
    depth = http1.find_header(head.headers, DEPTH_HEADER)
    depth_count = http1.parse_count(depth) or 0
    headers = [
        header
        for header in http1.end_to_end_headers(head.headers)
        if header[0] not in _NODE_HEADERS
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
        deadline=head.arrived_at + timeout_s,
        client_account=http1.find_header(
            head.headers, route.policy.customer_header
        ),
        is_nested=depth_count > 0,
        arrived_at=head.arrived_at,
    )


def _encode_header_text(text: str) -> bytes:
    line = ' '.join(text.split())
    return line.encode('ascii', 'replace')
