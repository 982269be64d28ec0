"""Serves forwarded requests with the announced target.

A NOT_RUN refusal is sent only if no byte of the request went to the target, or
if the target's contract states that its refusal precedes any work. Every other
request without a response is UNKNOWN.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from filbertdrift import http1
from filbertdrift.age.arrivals import Settle, settle_at_once
from filbertdrift.age.transit import check_transit
from filbertdrift.callstream import WINDOW_BYTES, CallStream
from filbertdrift.crashes import CrashLedger
from filbertdrift.crashwatch import CrashWatch
from filbertdrift.errors import (
    FilbertdriftError,
    MalformedMessage,
    PeerUnavailable,
    RequestNotRun,
    RequestUnknown,
)
from filbertdrift.failures import failure_as_outcome
from filbertdrift.gate import Gate
from filbertdrift.gen import ttypes
from filbertdrift.health import TargetHealth
from filbertdrift.target import Exchange, Target, TargetRequest
from filbertdrift.tracing import Tracer

MS_PER_S = 1000
RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_S = 3600
TIMEOUT_HEADER = b'x-filbertdrift-timeout-ms'
REQUEST_ID_HEADER = b'x-request-id'


@dataclass(slots=True)
class AnnouncedTarget:
    """The local target, as announced.

    Args:
        service: Service that the target belongs to.
        target: Connections to the target.
        gate: Admission control of the target.
    """

    service: str
    target: Target
    gate: Gate


@dataclass(slots=True)
class ServingCounters:
    """Outcomes of the requests forwarded to this node."""

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    cancelled: int = 0
    crashes: int = 0


class TargetServer:
    """Serves forwarded requests with the local target.

    Args:
        generation: Returns this node's generation; requests meant for
            another generation are refused.
        tracer: Opens a span for each request.
        crashes: Tracks and blocks requests that crash targets.
        health: Records the outcomes of requests to the target.

    Attributes:
        settle: Waits until all that arrived in a stall has been read.
    """

    def __init__(
        self,
        generation: Callable[[], int],
        tracer: Tracer,
        crashes: CrashLedger,
        health: TargetHealth,
    ) -> None:
        """Create the server without a target."""
        self._health = health
        self._crashes = crashes
        self._crash_watch = CrashWatch(crashes)
        self._tracer = tracer
        self._generation = generation
        self.announced: AnnouncedTarget | None = None
        self.counters = ServingCounters()
        self.in_progress = 0
        self.settle: Settle = settle_at_once
        self.last_started_at = 0.0

    async def serve(self, call: CallStream, req: ttypes.RequestOpen) -> None:
        """Serve one request to its end.

        Args:
            call: Stream that carries the response and the rest of the body.
            req: The opening message.
        """
        self.in_progress += 1
        try:
            with failure_as_outcome(
                req.request_id or '', lambda: self._crash_watch.is_running(call)
            ):
                await self._serve(call, req)
        except RequestNotRun as exc:
            self.counters.not_run += 1
            await self._send_refusal(call, exc, exc.retry_after_ms)
        except RequestUnknown as exc:
            self.counters.unknown += 1
            await self._check_crash(call, exc)
            await self._send_refusal(call, exc, 0)
        except asyncio.CancelledError:
            self.counters.cancelled += 1
            raise
        finally:
            self.in_progress -= 1
            self._crash_watch.ended(call)

    async def _check_crash(self, call: CallStream, exc: RequestUnknown) -> None:
        """Mark the running requests if the target is unreachable."""
        announced = self.announced
        if announced is None or not isinstance(exc.__cause__, PeerUnavailable):
            return
        self._health.record_failure()
        names = self._crash_watch.suspect(call)
        if names and await self._crash_watch.confirm(names, announced.target):
            self.counters.crashes += 1

    async def _serve(self, call: CallStream, req: ttypes.RequestOpen) -> None:
        loop = asyncio.get_running_loop()
        announced = self._find_target(req)
        self._crashes.check(req.fingerprint or '')
        check_transit(call.transit_s, call.peer)
        deadline = call.sent_at + req.remaining_ms / MS_PER_S
        gate = announced.gate
        await gate.admit(req.importance, req.customer or '', deadline)
        started_at = loop.time()
        self.last_started_at = started_at
        try:
            headers = [
                (header.name, header.content) for header in req.headers or ()
            ]
            with self._tracer.span(
                'gate',
                headers,
                request=req.request_id or '',
            ) as forwarded_headers:
                request = _build_target_request(
                    req, forwarded_headers, deadline
                )
                exchange = await self._connect(announced, request, deadline)
                with contextlib.closing(exchange):
                    self._crash_watch.began(
                        call, req.fingerprint or '', exchange
                    )
                    await _TargetRun(call, req, exchange, gate).run(deadline)
                self._crash_watch.answered()
                self._health.record_success()
                self._crashes.record_success(req.fingerprint or '')
            self.counters.answered += 1
        finally:
            gate.release(req.importance, loop.time() - started_at)

    def _find_target(self, req: ttypes.RequestOpen) -> AnnouncedTarget:
        announced = self.announced
        if announced is None or announced.service != req.service_name:
            reason = f'no target of {req.service_name} here'
        elif req.generation != self._generation():
            reason = 'meant for an earlier start of this node'
        else:
            return announced
        raise RequestNotRun(
            reason,
            retry_after_ms=RETRY_AFTER_MS,
            step='find target',
        )

    async def _connect(
        self,
        announced: AnnouncedTarget,
        request: TargetRequest,
        deadline: float,
    ) -> Exchange:
        # The request may have been cancelled while this process stood still.
        await self.settle()
        loop = asyncio.get_running_loop()
        try:
            exchange = await announced.target.open_exchange(request)
        except PeerUnavailable as exc:
            self._health.record_failure()
            raise RequestNotRun(
                exc.reason,
                retry_after_ms=RETRY_AFTER_MS,
                step=exc.step,
                peer=exc.peer,
            ) from exc
        if loop.time() >= deadline:
            exchange.close()
            raise RequestNotRun(
                'deadline passed before the target had it',
                retry_after_ms=0,
                step='send to target',
            )
        return exchange

    async def _send_refusal(
        self,
        call: CallStream,
        exc: FilbertdriftError,
        retry_after_ms: int,
    ) -> None:
        kind = ttypes.RefusalKind.UNKNOWN
        if isinstance(exc, RequestNotRun):
            kind = ttypes.RefusalKind.NOT_RUN
        load = self.announced.gate.load_permille if self.announced else 0
        await call.send(ttypes.Refusal(kind, str(exc), retry_after_ms, load))


class _TargetRun:
    """Relays an admitted request to the target and its response to the peer."""

    def __init__(
        self,
        call: CallStream,
        req: ttypes.RequestOpen,
        exchange: Exchange,
        gate: Gate,
    ) -> None:
        """Create the run; nothing is sent yet."""
        self._call = call
        self._req = req
        self._exchange = exchange
        self._gate = gate
        self._stall_s = (req.stall_ms or req.remaining_ms) / MS_PER_S

    async def run(self, deadline: float) -> None:
        """Send the request and forward the response.

        Raises:
            RequestNotRun: The target refused it before any work, by its
                contract.
            RequestUnknown: The target may have run the request.
        """
        try:
            async with asyncio.timeout_at(deadline) as limit:
                await self._exchange.send_head()
                if self._req.end:
                    head = await self._exchange.head()
                else:
                    limit.reschedule(None)
                    head = await self._upload_and_read_head()
                self._check_not_refused(head)
                limit.reschedule(None)
                await self._forward_response(head)
        except TimeoutError as exc:
            raise RequestUnknown(
                'deadline passed', step='await target'
            ) from exc
        except (PeerUnavailable, MalformedMessage) as exc:
            raise RequestUnknown(
                exc.reason,
                step=exc.step,
                peer=exc.peer,
            ) from exc

    async def _upload_and_read_head(self) -> http1.ResponseHead:
        upload = asyncio.ensure_future(self._forward_body())
        head = asyncio.ensure_future(self._exchange.head())
        try:
            await asyncio.wait(
                (upload, head),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not head.done():
                await upload
                async with asyncio.timeout(self._req.remaining_ms / MS_PER_S):
                    await asyncio.shield(head)
            return head.result()
        finally:
            upload.cancel()
            head.cancel()
            await asyncio.gather(upload, head, return_exceptions=True)

    async def _forward_body(self) -> None:
        await self._call.grant_credit(WINDOW_BYTES)
        end = False
        while not end:
            async with asyncio.timeout(self._stall_s):
                body = await self._call.receive_chunk()
                end = bool(body.end)
                await self._exchange.send_body(body.body or b'', end=end)
                await self._call.grant_credit(len(body.body or b''))

    def _check_not_refused(self, head: http1.ResponseHead) -> None:
        if head.status not in (self._req.refusal_statuses or ()):
            return
        # A copy of the refusal could not be told from the next response here.
        self._exchange.forbid_reuse()
        retry_after = http1.find_header(head.headers, b'retry-after')
        retry_after_s = http1.parse_count(retry_after) or 0
        raise RequestNotRun(
            f'target refused with status {head.status}',
            retry_after_ms=min(retry_after_s, MAX_RETRY_AFTER_S) * MS_PER_S
            or RETRY_AFTER_MS,
            step='await target',
        )

    async def _forward_response(self, head: http1.ResponseHead) -> None:
        part = self._exchange.buffered_part()
        await self._call.send(
            ttypes.AnswerOpen(
                status=head.status,
                headers=[
                    ttypes.Header(name, content)
                    for name, content in http1.end_to_end_headers(head.headers)
                ],
                body=part.chunk,
                end=part.end,
                load_permille=self._gate.load_permille,
            ),
        )
        while not part.end:
            async with asyncio.timeout(self._stall_s):
                part = await self._exchange.part()
                await self._call.send_chunk(part.chunk, end=part.end)


def _build_target_request(
    req: ttypes.RequestOpen,
    forwarded_headers: http1.Headers,
    deadline: float,
) -> TargetRequest:
    remaining_s = deadline - asyncio.get_running_loop().time()
    remaining_ms = max(int(remaining_s * MS_PER_S), 1)
    timeout = (TIMEOUT_HEADER, b'%d' % remaining_ms)
    return TargetRequest(
        method=req.method,
        path=req.path,
        headers=[*forwarded_headers, timeout],
        first_chunk=req.body or b'',
        is_whole=bool(req.end),
    )
