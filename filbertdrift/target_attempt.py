"""One attempt of a routed request at the node of one target."""

import asyncio
import contextlib
from collections.abc import Callable

from loguru import logger

from filbertdrift import promises
from filbertdrift.accounts.startlimit import find_start_within_ms
from filbertdrift.balance.completion import CompletionChooser
from filbertdrift.callstream import CallStream, ConnectionSilent
from filbertdrift.errors import (
    FilbertdriftError,
    MalformedMessage,
    NoFreeSlot,
    PeerUnavailable,
    RequestNotRun,
    RequestUnknown,
    UnsendableMessage,
)
from filbertdrift.gen import ttypes
from filbertdrift.hedge import Retry, StartRetry, await_first
from filbertdrift.knowntargets import KnownTargets
from filbertdrift.link import SUSPECT_AFTER_S, LinkPool, PeerLink
from filbertdrift.members import Member
from filbertdrift.rollouts.counts import OutcomeCounter, WaitingAttempt
from filbertdrift.routed import RoutedRequest, RoutedResponse

MS_PER_S = 1000
RETRY_AFTER_MS = 100
STATUS_SERVER_ERROR = 500
# Targets respond and gates refuse by the deadline; their message takes this
# long to arrive over a link of low bandwidth.
RESPONSE_SLACK_S = 0.15
# An idempotent request is tried elsewhere once a keepalive on its connection
# has been unanswered for this share of the time to its deadline. Links of low
# bandwidth are silent for some tenths of a second under load.
SILENCE_SHARE = 0.35
# An offer counts as a keepalive, and fails when unanswered for this share of
# the time to its latency objective: it has not run and can be sent elsewhere at
# no risk. A lost packet is retransmitted within the minimum.
OFFER_GIVE_UP_SHARE = 0.35
MIN_OFFER_GIVE_UP_S = 0.25


class TargetAttempt:
    """One attempt of a routed request at the node of one target.

    An attempt may begin as an offer, which sends only the head: the target's
    node asks for the rest once its gate accepts the request, and starts the
    request when it has received the rest.

    Args:
        links: Connections to the other nodes.
        chooser: Records the outcome.
        known_targets: Receives what the target states.
        member: The target's node.
        routed: The request.
        may_wait: The request may be queued for a slot of the target.
        patience_s: How long it may run without a response until it is overdue,
            None for until its deadline.
        start_retry: Called when it is overdue or its connection is silent.
        ends_in_silence: Whether it ends when its connection is silent and it
            gets no retry.
        outcomes: Counts the attempt for roll-outs, None for not at all.

    Attributes:
        reached_target: The target itself refused it.
        is_body_consumed: Body beyond the first chunk was read; it cannot be
            sent again.
        is_offer: Only the head has been sent.
        may_wait: As given.
        is_hedged: It has got a retry at another target.
    """

    def __init__(
        self,
        links: LinkPool,
        chooser: CompletionChooser,
        known_targets: KnownTargets,
        member: Member,
        routed: RoutedRequest,
        *,
        may_wait: bool,
        patience_s: float | None,
        start_retry: StartRetry,
        ends_in_silence: Callable[[], bool],
        outcomes: OutcomeCounter | None = None,
    ) -> None:
        """Create the attempt; nothing is sent yet."""
        self.is_hedged = False
        self._start_retry = start_retry
        self._ends_in_silence = ends_in_silence
        self._is_overdue = False
        self.reached_target = False
        self.is_body_consumed = False
        self.is_offer = False
        # The target's node has ended the call.
        self._is_refused = False
        self._links = links
        self._chooser = chooser
        self._known_targets = known_targets
        self._member = member
        self._routed = routed
        self.may_wait = may_wait
        self._patience_s = patience_s
        self._outcomes = outcomes
        self._waiting: WaitingAttempt | None = None
        self._started_at = 0.0
        self._req = routed.req
        self._may_have_run_before = routed.req.may_have_run
        self._upload: asyncio.Task[None] | None = None
        # A cancelled call whose last message may tell that it did not run.
        self._unconfirmed: tuple[PeerLink, CallStream] | None = None
        self._link_call: tuple[PeerLink, CallStream] | None = None
        # Undoes what has been counted for this attempt, whatever ends it.
        self._cleanup = contextlib.ExitStack()
        self._cancels_call = True

    async def run(self) -> RoutedResponse:
        """Send the request and return the opened response.

        Raises:
            NoFreeSlot: No slot is free and the request may not wait.
            RequestNotRun: It was refused before it ran.
            RequestUnknown: It may have run.
        """
        self._req.cleanup.callback(self.abandon)
        try:
            return await self._run()
        except BaseException as exc:
            self._end_without_response(exc)
            raise

    def abandon(self) -> None:
        """End the call and its accounting, unless they have ended."""
        self._end_call(cancel=True)
        self.forget()

    async def _run(self) -> RoutedResponse:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._began(started_at)
        if self._routed.tracker:
            self._routed.tracker.sent(self._member, started_at)
        link, call = await self._begin_call()
        self.is_offer = self._should_offer(link, started_at)
        call.keepalive_timeout_s = self._keepalive_timeout_s
        if self.is_offer:
            link.expect_reply(started_at)
        opened = await self._exchange(call)
        if isinstance(opened, RoutedResponse):
            # The retry has responded first.
            self._end_call(cancel=True)
            return opened
        self._record_response(opened, loop.time() - started_at)
        if promises.is_unfounded(opened.status):
            self._is_refused = bool(opened.end)
            raise promises.build_unfounded_error(
                opened.status, self._req.request_id, self._member.node
            )
        return self._open_response(opened, call)

    def _end_without_response(self, exc: BaseException) -> None:
        is_unknown = isinstance(exc, RequestUnknown)
        if is_unknown and self._link_call and not self._is_refused:
            link, call = self._link_call
            self._unconfirmed = (link, call)
            link.cancel(call)
        self._end_call(cancel=not self._is_refused)
        if is_unknown:
            now = asyncio.get_running_loop().time()
            self._record_wait(now - self._started_at)

    def _open_response(
        self, opened: ttypes.AnswerOpen, call: CallStream
    ) -> RoutedResponse:
        # Nothing can be tried elsewhere from now on.
        call.keepalive_timeout_s = float('inf')
        response = RoutedResponse(
            opened, call, lambda cancel: self._end_call(cancel=cancel)
        )
        response.upload = self._upload
        response.deadline = self._req.deadline
        return response

    async def confirm_not_run(self, deadline: float) -> bool:
        """Return whether the node confirms that it dropped the request.

        After an unknown end, the call was cancelled. A request that still
        waited then has not run, and its node says so. A retry beside it may
        have run though, and its cancelled call says nothing.

        Args:
            deadline: How long to wait for it, on the loop's clock.
        """
        if self._unconfirmed is None or self.is_hedged:
            return False
        _, call = self._unconfirmed
        try:
            async with asyncio.timeout_at(deadline):
                body = await call.receive()
        except (TimeoutError, PeerUnavailable) as exc:
            logger.bind(
                event='not_confirmed', request=self._req.request_id
            ).info('{} says nothing: {!r}', self._member.node, exc)
            return False
        return (
            isinstance(body, ttypes.Refusal)
            and body.kind == ttypes.RefusalKind.NOT_RUN
        )

    def forget(self) -> None:
        """Wait no more for what the node says of an unknown end."""
        if self._unconfirmed is not None:
            link, call = self._unconfirmed
            link.end(call)

    def _record_response(
        self, opened: ttypes.AnswerOpen, latency_s: float
    ) -> None:
        self._record_report(opened, latency_s)
        now = asyncio.get_running_loop().time()
        self._known_targets.record(self._member.node, opened.notice)
        self._record_limit(opened, now)
        is_failure = (
            opened.status >= STATUS_SERVER_ERROR
            or promises.is_unfounded(opened.status)
        )
        self._record_outcome(is_failure=is_failure, now=now)
        if is_failure:
            self._chooser.answered_with_error(self._member, now)
            return
        load = opened.load_permille or 0
        if self._is_overdue:
            # It is no evidence that the target has recovered.
            self._record_wait(latency_s)
            self._chooser.record_load(self._member, load, now)
            return
        self._chooser.answered(
            self._member,
            load,
            latency_s,
            now,
            self._routed.route.name,
            has_large_body=self._routed.has_large_body,
        )

    def _record_report(
        self,
        message: ttypes.AnswerOpen | ttypes.Refusal,
        latency_s: float = 0,
    ) -> None:
        """Record the report of the gate in a response or a refusal."""
        if message.gate_report is None:
            return
        now = asyncio.get_running_loop().time()
        if self._routed.tracker:
            self._routed.tracker.received(self._member, message, latency_s, now)
        else:
            service = self._routed.service
            self._chooser.record_report(service, self._member, message, now)

    def _record_wait(self, elapsed_s: float) -> None:
        now = asyncio.get_running_loop().time()
        kind = self._routed.route.name
        self._chooser.waited(self._member, kind, elapsed_s, now)

    def _record_limit(
        self, message: ttypes.AnswerOpen | ttypes.Refusal, now: float
    ) -> None:
        limited_s = (message.limited_ms or 0) / MS_PER_S
        self._chooser.record_limited(self._member, limited_s, now)

    async def _begin_call(self) -> tuple[PeerLink, CallStream]:
        node = self._member.node
        try:
            link = await self._links.connect_for_requests(node)
            call = link.begin()
            self._link_call = (link, call)
            self._cleanup.callback(self._end_link_call, link, call)
        except PeerUnavailable as exc:
            now = asyncio.get_running_loop().time()
            self._chooser.failed(self._member, now, unreachable=True)
            raise RequestNotRun(
                exc.reason,
                retry_after_ms=RETRY_AFTER_MS,
                step=exc.step,
                peer=exc.peer,
            ) from exc
        call.outlasts_silence = True
        return link, call

    @property
    def _keepalive_timeout_s(self) -> float:
        """Return how long a keepalive on the connection may be unanswered."""
        now = asyncio.get_running_loop().time()
        if self.is_offer:
            left_s = self._routed.objective_at - now
            return max(MIN_OFFER_GIVE_UP_S, left_s * OFFER_GIVE_UP_SHARE)
        if not self._routed.route.is_idempotent:
            return float('inf')
        left_s = self._req.deadline - now
        return max(SUSPECT_AFTER_S, left_s * SILENCE_SHARE)

    def _should_offer(self, link: PeerLink, now: float) -> bool:
        """Return whether to send the head alone at first.

        Until the rest is sent, the request has certainly not run. An offer
        costs a round trip, so it is made only if the connection may be dead,
        or if a refusal would waste the transfer of a large body. Idempotent
        requests are offered on a quiet connection only if other calls already
        wait for responses on it.
        """
        if link.is_in_process:
            return False
        if self._routed.has_large_body:
            return True
        if link.is_recently_active(now):
            return False
        return (
            link.has_concurrent_calls() or not self._routed.route.is_idempotent
        )

    async def _exchange(
        self, call: CallStream
    ) -> ttypes.AnswerOpen | RoutedResponse:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = self._req.deadline + RESPONSE_SLACK_S
        try:
            async with asyncio.timeout_at(deadline):
                opening = self._opening(call)
                self._req.may_have_run |= not self.is_offer
                await self._send_opening(call, opening)
                if self.is_offer or not self._req.is_whole:
                    self._upload = loop.create_task(self._send_body(call))
                body = await self._receive_reply(call, started_at)
        except TimeoutError as exc:
            raise self._call_error('the deadline passed') from exc
        except (PeerUnavailable, MalformedMessage) as exc:
            raise self._call_error(exc.reason, unreachable=True) from exc
        if isinstance(body, ttypes.AnswerOpen | RoutedResponse):
            return body
        if isinstance(body, ttypes.Refusal):
            raise self._refusal_error(body)
        raise self._unknown_error(f'unexpected {type(body).__name__}')

    async def _send_opening(
        self, call: CallStream, opening: ttypes.RequestOpen
    ) -> None:
        try:
            await call.send(opening)
        except UnsendableMessage:
            self._req.may_have_run = self._may_have_run_before
            raise

    async def _receive_reply(
        self, call: CallStream, started_at: float
    ) -> object:
        """Return the reply to the request, or the response of its retry."""
        while True:
            body = await call.receive()
            match body:
                case ConnectionSilent():
                    retry = self._on_silence(body)
                case ttypes.RunOverdue():
                    retry = self._on_overdue(started_at)
                case _:
                    return body
            if retry is not None:
                self.is_hedged = True
                return await await_first(call, retry, self._req.deadline)

    def _on_overdue(self, started_at: float) -> Retry | None:
        """Return the retry of an overdue run, if it gets one."""
        self._is_overdue = True
        # Later requests should leave a target that is this slow.
        now = asyncio.get_running_loop().time()
        self._record_wait(now - started_at)
        self._chooser.failed(self._member, now, unreachable=False)
        return self._start_retry()

    def _on_silence(self, silent: ConnectionSilent) -> Retry | None:
        """Return the retry of a run that may be unreachable.

        Raises:
            PeerUnavailable: It gets none and does not go on.
        """
        retry = None if self.is_offer else self._start_retry()
        if retry is None and (self.is_offer or self._ends_in_silence()):
            raise silent.exc
        now = asyncio.get_running_loop().time()
        self._chooser.failed(self._member, now, unreachable=False)
        return retry

    async def _send_body(self, call: CallStream) -> None:
        """Send the rest of the body, also while the response arrives."""
        end = False
        try:
            if self.is_offer:
                await call.wait_for_credit()
                end = await self._send_held_back(call)
            while not end:
                await call.wait_for_credit()
                self.is_body_consumed = True
                part = await self._req.read_body()
                end = part.end
                await call.send_chunk(part.chunk, end=end)
        except FilbertdriftError as exc:
            if self.is_offer:
                # The task that waits for the response gets the same error.
                return
            logger.bind(
                event='upload_broken',
                request=self._req.request_id,
            ).info('{}', exc)
            call.fail(exc)
        except Exception as exc:
            # The task that waits for the response ends the request.
            call.fail(exc)

    async def _send_held_back(self, call: CallStream) -> bool:
        """Send the first chunk of an offer; return whether the body ends."""
        self.is_offer = False
        self._req.may_have_run = True
        call.keepalive_timeout_s = self._keepalive_timeout_s
        req = self._req
        await call.send_chunk(req.first_chunk, end=req.is_whole)
        return req.is_whole

    def _opening(self, call: CallStream) -> ttypes.RequestOpen:
        now = asyncio.get_running_loop().time()
        routed, req = self._routed, self._req
        return ttypes.RequestOpen(
            method=req.method,
            path=req.path,
            headers=[ttypes.Header(*header) for header in req.headers],
            remaining_ms=max(int((req.deadline - now) * MS_PER_S), 1),
            service_name=routed.service,
            importance=routed.rank,
            customer=req.client_account or None,
            body=b'' if self.is_offer else req.first_chunk,
            end=req.is_whole and not self.is_offer,
            request_id=req.request_id,
            fingerprint=req.fingerprint,
            generation=self._member.generation,
            objective_ms=int((routed.objective_at - now) * MS_PER_S),
            route_name=routed.route.name,
            is_idempotent=routed.route.is_idempotent,
            no_wait=not self.may_wait,
            is_offer=self.is_offer,
            has_large_body=routed.has_large_body or None,
            sent_at_ms=int(call.clock_s() * MS_PER_S),
            receiver_clock_ms=call.peer_clock_ms(),
            known_target=self._known_targets.find(self._member.node),
            patience_ms=(
                None
                if self._patience_s is None
                else int(self._patience_s * MS_PER_S)
            ),
            start_within_ms=find_start_within_ms(req.start_by, now),
            cost_us=routed.tracker and routed.tracker.request.cost_us,
        )

    def _refusal_error(self, body: ttypes.Refusal) -> Exception:
        now = asyncio.get_running_loop().time()
        self._is_refused = True
        is_not_run = body.kind == ttypes.RefusalKind.NOT_RUN
        if is_not_run:
            self._req.may_have_run = self._may_have_run_before
        self._record_report(body)
        self.reached_target = bool(body.reached_target)
        if not is_not_run:
            self._record_outcome(is_failure=True, now=now)
            return self._unknown_error(body.reason or '')
        load = body.load_permille or 0
        if body.notice:
            self._known_targets.record(self._member.node, body.notice)
        self._record_limit(body, now)
        if body.no_free_slot:
            self._chooser.record_load(self._member, load, now)
            return NoFreeSlot(
                body.reason or '',
                retry_after_ms=RETRY_AFTER_MS,
                step='gate',
                peer=self._member.node,
                is_rate_limited=bool(body.is_rate_limited),
            )
        kind = self._routed.route.name
        is_rate_limited = bool(body.is_rate_limited)
        self._chooser.refused(
            self._member, load, now, kind, is_rate_limited=is_rate_limited
        )
        return RequestNotRun(
            body.reason or '',
            retry_after_ms=body.come_back_ms or RETRY_AFTER_MS,
            step='gate',
            peer=self._member.node,
            is_rate_limited=is_rate_limited,
        )

    def _call_error(
        self, reason: str, *, unreachable: bool = False
    ) -> Exception:
        """Return the error of a call that failed or timed out."""
        if not self.is_offer:
            return self._unknown_error(reason)
        now = asyncio.get_running_loop().time()
        self._chooser.failed(self._member, now, unreachable=unreachable)
        return RequestNotRun(
            reason,
            retry_after_ms=RETRY_AFTER_MS,
            step='offer',
            peer=self._member.node,
        )

    def _unknown_error(self, reason: str) -> RequestUnknown:
        now = asyncio.get_running_loop().time()
        self._chooser.failed(self._member, now, unreachable=False)
        return RequestUnknown(reason, step='gate', peer=self._member.node)

    def _end_call(self, *, cancel: bool) -> None:
        self._cancels_call = cancel
        self._cleanup.close()

    def _end_link_call(self, link: PeerLink, call: CallStream) -> None:
        if self._upload:
            self._upload.cancel()
        if self._unconfirmed is None:
            link.end(call, cancel=self._cancels_call)

    def _began(self, now: float) -> None:
        self._started_at = now
        self._chooser.began(self._member, now)
        self._cleanup.callback(_record_end, self._chooser, self._member)
        if self._outcomes:
            self._waiting = self._outcomes.began(
                self._member, self._routed.route.name, now
            )
            self._cleanup.callback(self._outcomes.ended, self._member)
            self._cleanup.callback(self._outcomes.stop_waiting, self._waiting)

    def _record_outcome(self, *, is_failure: bool, now: float) -> None:
        if self._outcomes and self._waiting:
            self._outcomes.stop_waiting(self._waiting)
            self._outcomes.record(
                self._member,
                self._routed.route.name,
                is_failure=is_failure,
                latency_s=now - self._started_at,
            )


def _record_end(chooser: CompletionChooser, member: Member) -> None:
    chooser.ended(member, asyncio.get_running_loop().time())
