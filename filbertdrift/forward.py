"""Ingress side of a request: routing, forwarding, retries, the outcome."""

import asyncio
import contextlib
import random
from dataclasses import dataclass

from filbertdrift.attempt import Attempt
from filbertdrift.balance.chooser import TargetChooser
from filbertdrift.callstream import CallStream
from filbertdrift.crashes import CrashLedger, fingerprint
from filbertdrift.errors import (
    PeerUnavailable,
    RequestNotRun,
    RequestUnknown,
)
from filbertdrift.forwarded import ForwardedResponse
from filbertdrift.gen import ttypes
from filbertdrift.link import LinkPool
from filbertdrift.members import Member
from filbertdrift.request import IngressRequest
from filbertdrift.snapshot import Route, Snapshot

MS_PER_S = 1000
RETRY_AFTER_MS = 200
RETRY_AFTER_SPREAD_MS = 300
RETRY_BUDGET_SHARE = 0.1
RETRY_BUDGET_MAX = 20.0


@dataclass(slots=True)
class ForwardCounters:
    """Outcomes and retries of this node's ingress requests."""

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    retries: int = 0
    retries_denied: int = 0


class RetryBudget:
    """Limits retries to a share of requests, to prevent retry storms."""

    def __init__(self) -> None:
        """Start full."""
        self._tokens = RETRY_BUDGET_MAX

    def earn(self) -> None:
        """Credit one request's share of a retry."""
        self._tokens = min(
            self._tokens + RETRY_BUDGET_SHARE,
            RETRY_BUDGET_MAX,
        )

    def spend(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Forwarder:
    """Forwards requests to the nodes of their targets.

    Args:
        links: Connections to the other nodes.
        chooser: Chooses the target.
        crashes: Tracks and blocks requests that crash targets.
        rng: Adds jitter to the retry-after delays.
    """

    def __init__(
        self,
        links: LinkPool,
        chooser: TargetChooser,
        crashes: CrashLedger,
        rng: random.Random,
    ) -> None:
        """Start with a full retry budget."""
        self._crashes = crashes
        self.counters = ForwardCounters()
        self._links = links
        self._chooser = chooser
        self._rng = rng
        self._budget = RetryBudget()

    async def forward(
        self,
        snapshot: Snapshot,
        route: Route,
        req: IngressRequest,
    ) -> ForwardedResponse:
        """Return the response of a target.

        Args:
            snapshot: The configuration that the request is routed with.
            route: Its route.
            req: The request.

        Returns:
            The opened response; close must be called.

        Raises:
            RequestNotRun: It was certainly not run.
            RequestUnknown: It may have run.
        """
        self._budget.earn()
        if not req.fingerprint:
            req.fingerprint = fingerprint(
                req.method,
                req.path,
                req.first_chunk,
            )
        self._crashes.check(req.fingerprint)
        unknown: RequestUnknown | None = None
        for left in range(route.policy.retries, -1, -1):
            try:
                return await self._attempt_once(snapshot, route, req)
            except RequestNotRun as exc:
                if not self._may_retry_not_run(left, req):
                    raise unknown or exc from exc
            except RequestUnknown as exc:
                unknown = exc
                if not self._may_retry_unknown(left, route, req):
                    raise
            self.counters.retries += 1
        raise AssertionError('the last attempt returns or raises')

    async def _attempt_once(
        self,
        snapshot: Snapshot,
        route: Route,
        req: IngressRequest,
    ) -> ForwardedResponse:
        if self._is_past_deadline(req):
            raise RequestNotRun(
                'deadline passed before it was forwarded',
                retry_after_ms=0,
                step='forward',
            )
        member = self._choose(snapshot, route, req)
        return await self._attempt_target(member, route, req)

    def _choose(
        self,
        snapshot: Snapshot,
        route: Route,
        req: IngressRequest,
    ) -> Member:
        now = asyncio.get_running_loop().time()
        service = route.targets.service
        endpoints = snapshot.endpoints[service]
        member = self._chooser.choose(endpoints, req.tried, now)
        if member is None:
            raise RequestNotRun(
                f'no target of {service} is left to try',
                retry_after_ms=self._retry_after_ms(),
                step='choose target',
            )
        req.tried.append(member.node)
        return member

    async def _attempt_target(
        self,
        member: Member,
        route: Route,
        req: IngressRequest,
    ) -> ForwardedResponse:
        cleanup = contextlib.ExitStack()
        req.cleanup.callback(cleanup.close)
        try:
            return await self._open_response(member, route, req, cleanup)
        except BaseException:
            cleanup.close()
            raise

    async def _open_response(
        self,
        member: Member,
        route: Route,
        req: IngressRequest,
        cleanup: contextlib.ExitStack,
    ) -> ForwardedResponse:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._chooser.began(member, started_at)
        cleanup.callback(self._record_end, member)
        try:
            link = await self._links.connect_for_requests(member.node)
            call = link.begin()
        except PeerUnavailable as exc:
            self._chooser.failed(member, loop.time(), unreachable=True)
            raise self._not_run(exc) from exc
        attempt = Attempt(link, call, member, route, req)
        cleanup.callback(attempt.end)
        try:
            response = await attempt.run(
                self._request_open(call, member, route, req)
            )
        except (RequestNotRun, RequestUnknown) as exc:
            self._record_failure(member, attempt, exc)
            raise
        now = loop.time()
        self._crashes.record_success(req.fingerprint)
        self._chooser.answered(
            member,
            response.load_permille or 0,
            now - started_at,
            now,
        )
        return ForwardedResponse(
            response,
            call,
            lambda cancel: self._close(attempt, cleanup, cancel=cancel),
        )

    def _close(
        self,
        attempt: Attempt,
        cleanup: contextlib.ExitStack,
        *,
        cancel: bool,
    ) -> None:
        attempt.cancels_call = cancel
        cleanup.close()

    def _record_end(self, member: Member) -> None:
        self._chooser.ended(member, asyncio.get_running_loop().time())

    def _request_open(
        self,
        call: CallStream,
        member: Member,
        route: Route,
        req: IngressRequest,
    ) -> ttypes.RequestOpen:
        remaining_s = req.deadline - asyncio.get_running_loop().time()
        policy = route.policy
        return ttypes.RequestOpen(
            method=req.method,
            path=req.path,
            headers=[ttypes.Header(*header) for header in req.headers],
            remaining_ms=max(int(remaining_s * MS_PER_S), 1),
            service_name=route.targets.service,
            importance=req.find_rank(policy.importance),
            customer=req.client_account,
            body=req.first_chunk,
            end=req.is_whole,
            request_id=req.request_id,
            fingerprint=req.fingerprint,
            refusal_statuses=list(route.targets.refusal_statuses),
            generation=member.generation,
            stall_ms=int(policy.stall_s * MS_PER_S),
            sent_at_ms=int(call.clock_s() * MS_PER_S),
            receiver_clock_ms=call.peer_clock_ms(),
        )

    def _record_failure(
        self,
        member: Member,
        attempt: Attempt,
        exc: BaseException,
    ) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(exc, RequestNotRun):
            self._chooser.refused(member, attempt.refused_load_permille, now)
        elif isinstance(exc, RequestUnknown):
            self._chooser.failed(member, now, unreachable=False)

    def _may_retry_not_run(self, left: int, req: IngressRequest) -> bool:
        if not left or req.is_body_consumed or self._is_past_deadline(req):
            return False
        return self._spend_retry()

    def _may_retry_unknown(
        self,
        left: int,
        route: Route,
        req: IngressRequest,
    ) -> bool:
        is_idempotent = req.method in route.policy.idempotent_methods
        is_replayable = req.is_whole and not req.is_nested
        if (
            not left
            or not is_idempotent
            or not is_replayable
            or self._is_past_deadline(req)
        ):
            return False
        return (
            self._crashes.is_known_safe(req.fingerprint) and self._spend_retry()
        )

    def _is_past_deadline(self, req: IngressRequest) -> bool:
        return asyncio.get_running_loop().time() >= req.deadline

    def _spend_retry(self) -> bool:
        if self._budget.spend():
            return True
        self.counters.retries_denied += 1
        return False

    def _not_run(self, exc: PeerUnavailable) -> RequestNotRun:
        return RequestNotRun(
            exc.reason,
            retry_after_ms=self._retry_after_ms(),
            step=exc.step,
            peer=exc.peer,
        )

    def _retry_after_ms(self) -> int:
        return RETRY_AFTER_MS + int(RETRY_AFTER_SPREAD_MS * self._rng.random())
