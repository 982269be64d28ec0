"""Serves forwarded requests with the local target: admission and exchange.

A NOT_RUN refusal is sent only if no byte of the request went to the target, or
if the target itself reports that it did not run the request.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift.accounts import startlimit
from filbertdrift.age.arrivals import Settle, settle_at_once
from filbertdrift.age.transit import check_transit
from filbertdrift.balance.admissionqueue import SlotRequest
from filbertdrift.balance.gatereport import GateReporter
from filbertdrift.balance.slothold import SlotHold, build_slot_request
from filbertdrift.callstream import CallStream
from filbertdrift.contract import HeaderNames, TargetStatement
from filbertdrift.crashes import CrashLedger
from filbertdrift.crashwatch import CrashWatch
from filbertdrift.durations import DurationHistogram
from filbertdrift.errors import (
    FilbertdriftError,
    NoFreeSlot,
    PeerUnavailable,
    RequestNotRun,
    RequestUnknown,
)
from filbertdrift.failures import failure_as_outcome
from filbertdrift.final_messages import tell_dropped, tell_outlasted
from filbertdrift.gen import ttypes
from filbertdrift.health import TargetHealth
from filbertdrift.incarnation import Incarnation
from filbertdrift.lifecycle import TargetLifecycle
from filbertdrift.linkpacer import LinkPacer
from filbertdrift.offeredbody import fetch_offered_body
from filbertdrift.target import Exchange, TargetRequest
from filbertdrift.target_run import (
    RefusedBy,
    TargetReport,
    TargetRun,
    find_max_idle_s,
)

MS_PER_S = 1000
RETRY_AFTER_MS = 100
STATUS_SERVER_ERROR = 500
# A request that may be tried elsewhere is overdue after this many times the
# mean service time of its kind, or later if its ingress is more patient.
PATIENCE_SERVICE_TIMES = 4.0


@dataclass(slots=True)
class HandoverCounters:
    """Outcomes of the requests handed over to this node."""

    answered: int = 0
    not_run: int = 0
    rate_limited: int = 0
    target_refused: int = 0
    unknown: int = 0
    cancelled: int = 0
    stray_answers: int = 0
    crashes: int = 0


class HandoverServer:
    """Serves forwarded requests with the local target.

    Args:
        lifecycle: Tracks the local target.
        header_names: Names of the platform's headers.
        generation: Returns this node's generation; requests meant for
            another generation are refused.
        crashes: Tracks and blocks requests that crash targets.
        health: Records the outcomes of requests to the target.
        pacer: Paces the bodies on the link of this node.
        reporter: Reports the state of the gate.

    Attributes:
        account_weight: Returns the weight of a client account.
        settle: Waits until all that arrived in a stall has been read.
    """

    def __init__(
        self,
        lifecycle: TargetLifecycle,
        header_names: HeaderNames,
        generation: Callable[[], int],
        crashes: CrashLedger,
        health: TargetHealth,
        pacer: LinkPacer,
        reporter: GateReporter,
    ) -> None:
        """Create the server without requests."""
        self.counters = HandoverCounters()
        self.in_progress = 0
        self.account_weight: Callable[[str], float] = _equal_weight
        self.settle: Settle = settle_at_once
        self.transit_durations = DurationHistogram(
            'peer_transit',
            'Delay of requests between nodes.',
        )
        self._lifecycle = lifecycle
        self._header_names = header_names
        self._generation = generation
        self._crashes = crashes
        self._health = health
        self._pacer = pacer
        self._reporter = reporter
        self._crash_watch = CrashWatch(crashes)
        self._serving: dict[CallStream, asyncio.Task[None] | None] = {}
        self._is_interrupted = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, call: CallStream, req: ttypes.RequestOpen) -> None:
        """Serve one request to its end.

        Args:
            call: Stream that carries the response and the rest of the body.
            req: The opening message.
        """
        self.in_progress += 1
        self._serving[call] = asyncio.current_task()
        refused_by = RefusedBy()
        try:
            with failure_as_outcome(
                req.request_id or '', lambda: self._crash_watch.is_running(call)
            ):
                self._record_arrival(call, req)
                await self._serve(call, req, refused_by)
        except RequestNotRun as exc:
            await self._send_refusal(call, req, exc, refused_by)
        except RequestUnknown as exc:
            self.counters.unknown += 1
            self._log_outcome(call, req, 'unknown', str(exc))
            self._suspect_crash(call, exc)
            await call.send(
                self._build_refusal(ttypes.RefusalKind.UNKNOWN, exc)
            )
        except asyncio.CancelledError:
            self._on_cancelled(call, req)
            raise
        finally:
            self.in_progress -= 1
            self._forget(call)

    def interrupt(self) -> None:
        """End all requests; each gets a last message."""
        self._is_interrupted = True
        for task in list(self._serving.values()):
            if task is not None:
                task.cancel()

    def _record_arrival(
        self, call: CallStream, req: ttypes.RequestOpen
    ) -> None:
        self.transit_durations.record(call.transit_s)
        self._reporter.arrived(call, req)

    def _forget(self, call: CallStream) -> None:
        self._crash_watch.ended(call)
        self._serving.pop(call, None)
        self._reporter.ended(call)

    def _on_cancelled(self, call: CallStream, req: ttypes.RequestOpen) -> None:
        self.counters.cancelled += 1
        is_dropped = not self._crash_watch.is_running(call)
        reason = 'before it ran' if is_dropped else 'the ingress gave up'
        if self._is_interrupted:
            reason = 'the node stops'
        self._log_outcome(call, req, 'cancelled', reason)
        if is_dropped:
            # The target has not got it, and never will.
            tell_dropped(call)
        elif self._is_interrupted:
            tell_outlasted(call)

    async def _send_refusal(
        self,
        call: CallStream,
        req: ttypes.RequestOpen,
        exc: RequestNotRun,
        refused_by: RefusedBy,
    ) -> None:
        refusal = self._build_refusal(ttypes.RefusalKind.NOT_RUN, exc)
        refusal.come_back_ms = exc.retry_after_ms
        refusal.reached_target = refused_by.target
        refusal.no_free_slot = isinstance(exc, NoFreeSlot)
        refusal.is_rate_limited = exc.is_rate_limited or (
            refused_by.target and self._has_limit()
        )
        self.counters.rate_limited += refusal.is_rate_limited
        if refusal.is_rate_limited or not refusal.no_free_slot:
            # Without a free slot, the ingress asks the next node's gate and
            # logs the outcome itself.
            self.counters.not_run += not refusal.no_free_slot
            self.counters.target_refused += refused_by.target
            self._log_outcome(call, req, 'not_run', str(exc))
        await call.send(refusal)

    async def _serve(
        self,
        call: CallStream,
        req: ttypes.RequestOpen,
        refused_by: RefusedBy,
    ) -> None:
        loop = asyncio.get_running_loop()
        current = self._find_target(req)
        self._crashes.check(req.fingerprint or '')
        slot_request = build_slot_request(
            req, call.sent_at, self.account_weight(req.customer or '')
        )
        start_by = startlimit.find_start_by(req.start_within_ms, call.sent_at)
        check_transit(call.transit_s, call.peer)
        if req.is_offer:
            with current.gate.track_incoming(slot_request):
                await self._receive_body(
                    call,
                    req,
                    min(start_by, current.gate.latest_start(slot_request)),
                )
            slot_request.may_wait = True
        await startlimit.admit_before(
            start_by, current.gate.admit, slot_request
        )
        with SlotHold(current.gate, slot_request) as hold:
            started_at = loop.time()
            self._reporter.started(call)
            exchange = await self._connect(
                current, call, req, slot_request.deadline
            )
            hold.start()
            with contextlib.closing(exchange):
                startlimit.check_start(start_by)
                run = TargetRun(
                    call,
                    req,
                    exchange,
                    self._header_names,
                    refused_by,
                    self._pacer,
                    self._build_report(current, call),
                )
                status = await run.run(
                    slot_request.deadline,
                    _find_overdue_at(current, req, slot_request),
                )
            self.counters.stray_answers += run.stray_answers
            hold.end(status, started_at)
        self._record_response(status, req)

    def _build_report(
        self, current: Incarnation, call: CallStream
    ) -> TargetReport:
        """Return the report of a run that begins now."""
        gate = current.gate
        sent_at = asyncio.get_running_loop().time()
        load_permille = gate.load_permille

        def record(statement: TargetStatement) -> None:
            self._lifecycle.record_statement(current, statement, sent_at)

        def annotate(opened: ttypes.AnswerOpen) -> None:
            opened.load_permille = load_permille
            if gate.limit.per_s is not None:
                opened.load_permille = gate.load_permille
            _add_limit(opened, current)
            self._reporter.fill_response(call, opened)

        return TargetReport(record, annotate)

    def _has_limit(self) -> bool:
        current = self._lifecycle.current
        return current is not None and current.gate.limit.per_s is not None

    async def _receive_body(
        self, call: CallStream, req: ttypes.RequestOpen, deadline: float
    ) -> None:
        """Fetch the body of an offered request, a large one in its turn.

        Args:
            call: The call that offers the request.
            req: The request, which receives its body.
            deadline: When the body is of no more use, on the loop's clock.
        """
        if not req.has_large_body:
            await fetch_offered_body(call, req, deadline)
            return
        self._pacer.inbound.check_wait(deadline)
        async with self._pacer.inbound.turn(deadline, is_urgent=False):
            await fetch_offered_body(call, req, deadline)

    def _record_response(self, status: int, req: ttypes.RequestOpen) -> None:
        self.counters.answered += 1
        self._crash_watch.answered()
        if status < STATUS_SERVER_ERROR:
            self._health.record_success()
            self._crashes.record_success(req.fingerprint or '')

    def _find_target(self, req: ttypes.RequestOpen) -> Incarnation:
        current = self._lifecycle.current
        if req.known_target:
            self._lifecycle.record_notice(req.known_target)
        if current is None or current.heartbeat.service != req.service_name:
            reason = f'no target of {req.service_name} here'
        elif req.generation != self._generation():
            reason = 'meant for an earlier start of this node'
        else:
            return current
        raise RequestNotRun(
            reason,
            retry_after_ms=RETRY_AFTER_MS,
            step='find target',
        )

    async def _connect(
        self,
        current: Incarnation,
        call: CallStream,
        req: ttypes.RequestOpen,
        deadline: float,
    ) -> Exchange:
        # The request may have been cancelled while this process stood still.
        await self.settle()
        loop = asyncio.get_running_loop()
        request = self._build_target_request(
            current, req, deadline - loop.time()
        )
        try:
            exchange = await current.target.open_exchange(request)
        except PeerUnavailable as exc:
            self._health.record_failure()
            raise RequestNotRun(
                exc.reason,
                retry_after_ms=RETRY_AFTER_MS,
                step=exc.step,
                peer=exc.peer,
            ) from exc
        if loop.time() >= min(deadline, current.gate.closes_at + 1):
            exchange.close()
            raise RequestNotRun(
                'too late when the connection stood',
                retry_after_ms=RETRY_AFTER_MS,
                step='send to target',
            )
        self._crash_watch.began(call, req.fingerprint or '', exchange)
        return exchange

    def _build_target_request(
        self,
        current: Incarnation,
        req: ttypes.RequestOpen,
        left_s: float,
    ) -> TargetRequest:
        headers = [
            (header.name, header.content) for header in req.headers or ()
        ]
        left_ms = max(int(left_s * MS_PER_S), 1)
        instance = current.heartbeat.instance.encode()
        headers.append((self._header_names.deadline_ms, b'%d' % left_ms))
        headers.append((self._header_names.expected_instance, instance))
        return TargetRequest(
            method=req.method,
            path=req.path,
            headers=headers,
            first_chunk=req.body or b'',
            is_whole=bool(req.end),
            max_idle_s=find_max_idle_s(req),
        )

    def _suspect_crash(self, call: CallStream, exc: RequestUnknown) -> None:
        """Start to check whether the connection broke because of a crash.

        The check runs in a task: the caller of the request does not wait.
        """
        current = self._lifecycle.current
        if current is None or not isinstance(exc.__cause__, PeerUnavailable):
            return
        self._health.record_failure()
        names = self._crash_watch.suspect(call)
        if not names:
            return
        task = asyncio.get_running_loop().create_task(
            self._check_crash(names, current)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_crash(
        self, names: Sequence[str], current: Incarnation
    ) -> None:
        if await self._crash_watch.confirm(names, current.target):
            self.counters.crashes += 1

    def _build_refusal(
        self, kind: int, exc: FilbertdriftError
    ) -> ttypes.Refusal:
        current = self._lifecycle.current
        load = current.gate.load_permille if current else 0
        refusal = ttypes.Refusal(kind, str(exc), 0, load, reached_target=False)
        if current:
            _add_limit(refusal, current)
            self._reporter.fill_refusal(refusal)
        return refusal

    def _log_outcome(
        self,
        call: CallStream,
        req: ttypes.RequestOpen,
        outcome: str,
        reason: str,
    ) -> None:
        current = self._lifecycle.current
        logger.bind(
            event='handover',
            request=req.request_id,
            account=req.customer or '',
            instance=current.heartbeat.instance if current else '',
            running=current.gate.running if current else 0,
            waiting=current.gate.waiting if current else 0,
            limit_per_s=current.gate.limit.per_s if current else None,
            is_transit_known=call.is_transit_known,
            transit_ms=int(call.transit_s * MS_PER_S),
            outcome=outcome,
            reason=reason,
        ).info('handover {}', outcome)


def _find_overdue_at(
    current: Incarnation,
    req: ttypes.RequestOpen,
    slot_request: SlotRequest,
) -> float | None:
    """Return when a run that begins now is overdue, None for never."""
    if req.patience_ms is None:
        return None
    latest_start = current.gate.latest_start(slot_request)
    usual_s = (slot_request.deadline - latest_start) * PATIENCE_SERVICE_TIMES
    now = asyncio.get_running_loop().time()
    return now + max(req.patience_ms / MS_PER_S, usual_s)


def _add_limit(
    message: ttypes.AnswerOpen | ttypes.Refusal, current: Incarnation
) -> None:
    """Add what the target states, and when its limit allows a request."""
    message.notice = current.build_notice()
    wait_s = current.gate.limit_wait_s
    if wait_s:
        message.limited_ms = math.ceil(wait_s * MS_PER_S)


def _equal_weight(account: str) -> float:
    """Return the weight of an account while no weights are known."""
    return 1
