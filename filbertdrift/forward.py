"""The entry side of a request: routing, forwarding, retries, the outcome."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

from filbertdrift import http1
from filbertdrift.chooser import TargetChooser
from filbertdrift.crashes import CrashLedger, fingerprint
from filbertdrift.errors import (
    MalformedMessage,
    PeerUnavailable,
    RequestNotRun,
    RequestUnknown,
)
from filbertdrift.gen import ttypes
from filbertdrift.link import CallStream, LinkPool, PeerLink
from filbertdrift.members import Member
from filbertdrift.snapshot import Route, Snapshot

MS_PER_S = 1000
COME_BACK_MS = 200
COME_BACK_SPREAD_MS = 300
RETRY_BUDGET_SHARE = 0.1
RETRY_BUDGET_MAX = 20.0


class Outcome(Enum):
    """What a caller is told about its request."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class EntryRequest:
    """A request as it entered at this node.

    Args:
        request_id: Names the request in logs, traces and the target.
        method: Upper case.
        path: The request target, query included.
        headers: End-to-end headers.
        first_chunk: The beginning of the body.
        is_whole: True if the body ends with the first chunk.
        read_body: Returns the next part of the body.
        deadline: When the caller gives up, on the loop's clock.
        customer: Whose request it is, empty if unknown.
        is_inner: The caller is itself serving a request of this system.
        fingerprint: Hash of the content, the same for a repeat.
        tried: Nodes that it was sent to.
        is_body_taken: More of the body was read than its first chunk.
    """

    request_id: str
    method: str
    path: str
    headers: http1.Headers
    first_chunk: bytes
    is_whole: bool
    read_body: Callable[[], Awaitable[http1.BodyPart]]
    deadline: float
    customer: str = ''
    is_inner: bool = False
    fingerprint: str = ''
    tried: list[str] = field(default_factory=list)
    is_body_taken: bool = False


@dataclass(slots=True)
class ForwardCounters:
    """What became of the requests that entered at this node."""

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    retries: int = 0
    retries_denied: int = 0


class RetryBudget:
    """Lets retries be a share of requests only, so they cannot multiply."""

    def __init__(self) -> None:
        """Start full."""
        self._tokens = RETRY_BUDGET_MAX

    def earn(self) -> None:
        """Add the share of one request."""
        self._tokens = min(
            self._tokens + RETRY_BUDGET_SHARE,
            RETRY_BUDGET_MAX,
        )

    def spend(self) -> bool:
        """Take one retry; False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Answer(ABC):
    """An answer whose body may still be coming.

    Attributes:
        status: The HTTP status.
        headers: End-to-end headers.
        first_part: The beginning of the body.
    """

    status: int
    headers: http1.Headers
    first_part: http1.BodyPart

    @abstractmethod
    async def part(self, stall_s: float) -> http1.BodyPart:
        """Return the next part of the body.

        Args:
            stall_s: How long the body may stand still.

        Raises:
            RequestUnknown: The answer is cut short.
        """

    @abstractmethod
    def close(self) -> None:
        """End the answer; what has not come yet is given up."""


class ForwardedAnswer(Answer):
    """The answer to a forwarded request, whose body may still be coming.

    Args:
        opened: The message that opened the answer.
        call: The call that brings the rest.
        close: Ends the call, cancelling the rest if told to.
    """

    def __init__(
        self,
        opened: ttypes.AnswerOpen,
        call: CallStream,
        close: Callable[[bool], None],
    ) -> None:
        """Keep the parts."""
        self.status = opened.status
        self.headers = [
            (header.name, header.content) for header in opened.headers or ()
        ]
        self.first_part = http1.BodyPart(opened.body or b'', bool(opened.end))
        self._call = call
        self._close = close
        self._is_whole = self.first_part.end

    async def part(self, stall_s: float) -> http1.BodyPart:
        """Return the next part of the body."""
        try:
            async with asyncio.timeout(stall_s):
                body = await self._call.receive()
        except (TimeoutError, PeerUnavailable) as exc:
            raise RequestUnknown(
                repr(exc),
                step='read answer',
                peer=self._call.peer,
            ) from exc
        if not isinstance(body, ttypes.BodyChunk):
            raise RequestUnknown(
                'answer cut short',
                step='read answer',
                peer=self._call.peer,
            )
        chunk = body.body or b''
        if not body.end:
            await self._call.grant(len(chunk))
        self._is_whole = bool(body.end)
        return http1.BodyPart(chunk, self._is_whole)

    def close(self) -> None:
        """End the call; an unfinished answer is cancelled."""
        self._close(not self._is_whole)


class Forwarder:
    """Forwards requests to the nodes beside their targets.

    Args:
        links: Connections to the other nodes.
        chooser: Chooses the target.
        crashes: Knows which requests crash targets.
        rng: Spreads the times to come back.
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
        req: EntryRequest,
    ) -> ForwardedAnswer:
        """Return the answer of a target.

        Args:
            snapshot: What the request began with.
            route: Its route.
            req: The request.

        Returns:
            The opened answer; close must be called.

        Raises:
            RequestNotRun: It was certainly not handed to a target.
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
                return await self._try_once(snapshot, route, req)
            except RequestNotRun as exc:
                if not self._may_retry(left, req):
                    raise unknown or exc from exc
            except RequestUnknown as exc:
                unknown = exc
                if not self._may_repeat(left, route, req):
                    raise
            self.counters.retries += 1
        raise AssertionError('the last attempt returns or raises')

    async def _try_once(
        self,
        snapshot: Snapshot,
        route: Route,
        req: EntryRequest,
    ) -> ForwardedAnswer:
        if self._is_late(req):
            raise RequestNotRun(
                'deadline passed before it was forwarded',
                come_back_ms=0,
                step='forward',
            )
        member = self._choose(snapshot, route, req)
        return await self._attempt(member, route, req)

    def _choose(
        self,
        snapshot: Snapshot,
        route: Route,
        req: EntryRequest,
    ) -> Member:
        now = asyncio.get_running_loop().time()
        service = route.targets.service
        endpoints = snapshot.endpoints[service]
        member = self._chooser.choose(endpoints, req.tried, now)
        if member is None:
            raise RequestNotRun(
                f'no target of {service} is left to try',
                come_back_ms=self._come_back_ms(),
                step='choose target',
            )
        req.tried.append(member.node)
        return member

    async def _attempt(
        self,
        member: Member,
        route: Route,
        req: EntryRequest,
    ) -> ForwardedAnswer:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._chooser.began(member, started_at)
        try:
            link = self._links.ready(member.node)
            if link is None:
                link = await self._open_link(member)
            call = link.begin()
        except PeerUnavailable as exc:
            self._chooser.ended(member, loop.time())
            self._chooser.failed(member, loop.time(), unreachable=True)
            raise self._not_run(exc) from exc
        attempt = _Attempt(link, call, member, route, req)
        try:
            answer = await attempt.run(self._opening(member, route, req))
        except BaseException as exc:
            link.end(call, cancel=True)
            self._chooser.ended(member, loop.time())
            self._observe_failure(member, attempt, exc)
            raise
        now = loop.time()
        self._crashes.ran_well(req.fingerprint)
        self._chooser.answered(
            member,
            answer.load_permille or 0,
            now - started_at,
            now,
        )
        return ForwardedAnswer(
            answer,
            call,
            lambda cancel: self._close(
                member,
                link,
                call,
                attempt,
                cancel=cancel,
            ),
        )

    async def _open_link(self, member: Member) -> PeerLink:
        return await self._links.link(member.node)

    def _close(
        self,
        member: Member,
        link: PeerLink,
        call: CallStream,
        attempt: '_Attempt',
        *,
        cancel: bool,
    ) -> None:
        attempt.stop_upload()
        link.end(call, cancel=cancel)
        self._chooser.ended(member, asyncio.get_running_loop().time())

    def _opening(
        self,
        member: Member,
        route: Route,
        req: EntryRequest,
    ) -> ttypes.RequestOpen:
        remaining_s = req.deadline - asyncio.get_running_loop().time()
        policy = route.policy
        return ttypes.RequestOpen(
            method=req.method,
            path=req.path,
            headers=[ttypes.Header(*header) for header in req.headers],
            remaining_ms=max(int(remaining_s * MS_PER_S), 1),
            service_name=route.targets.service,
            importance=policy.importance,
            customer=req.customer,
            body=req.first_chunk,
            end=req.is_whole,
            request_id=req.request_id,
            fingerprint=req.fingerprint,
            refusal_statuses=list(route.targets.refusal_statuses),
            generation=member.generation,
            idempotent=req.method in policy.idempotent_methods,
            stall_ms=int(policy.stall_s * MS_PER_S),
        )

    def _observe_failure(
        self,
        member: Member,
        attempt: '_Attempt',
        exc: BaseException,
    ) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(exc, RequestNotRun):
            self._chooser.refused(member, attempt.refused_load_permille, now)
        elif isinstance(exc, RequestUnknown):
            self._chooser.failed(member, now, unreachable=False)

    def _may_retry(self, left: int, req: EntryRequest) -> bool:
        if not left or req.is_body_taken or self._is_late(req):
            return False
        return self._spend()

    def _may_repeat(self, left: int, route: Route, req: EntryRequest) -> bool:
        is_safe = req.method in route.policy.idempotent_methods
        is_replayable = req.is_whole and not req.is_inner
        if not left or not is_safe or not is_replayable or self._is_late(req):
            return False
        return self._crashes.is_innocent(req.fingerprint) and self._spend()

    def _is_late(self, req: EntryRequest) -> bool:
        return asyncio.get_running_loop().time() >= req.deadline

    def _spend(self) -> bool:
        if self._budget.spend():
            return True
        self.counters.retries_denied += 1
        return False

    def _not_run(self, exc: PeerUnavailable) -> RequestNotRun:
        return RequestNotRun(
            exc.reason,
            come_back_ms=self._come_back_ms(),
            step=exc.step,
            peer=exc.peer,
        )

    def _come_back_ms(self) -> int:
        return COME_BACK_MS + int(COME_BACK_SPREAD_MS * self._rng.random())


class _Attempt:
    """One try of one request at one target."""

    def __init__(
        self,
        link: PeerLink,
        call: CallStream,
        member: Member,
        route: Route,
        req: EntryRequest,
    ) -> None:
        """Keep the parts."""
        self._link = link
        self._call = call
        self._member = member
        self._route = route
        self._req = req
        self._upload: asyncio.Task[None] | None = None
        self.refused_load_permille = 0

    async def run(self, opening: ttypes.RequestOpen) -> ttypes.AnswerOpen:
        """Send the request and return the opened answer.

        Raises:
            RequestNotRun: The other side refused it before work.
            RequestUnknown: It may have run.
        """
        try:
            await self._call.send(opening)
            if not self._req.is_whole:
                loop = asyncio.get_running_loop()
                self._upload = loop.create_task(self._pump())
            return await self._await_answer()
        except (PeerUnavailable, MalformedMessage) as exc:
            raise self._unknown(exc.reason) from exc
        except TimeoutError as exc:
            raise self._unknown('deadline passed') from exc
        except BaseException:
            self.stop_upload()
            raise

    def stop_upload(self) -> None:
        """Stop passing on the body."""
        if self._upload:
            self._upload.cancel()

    async def _await_answer(self) -> ttypes.AnswerOpen:
        if self._upload is None:
            async with asyncio.timeout_at(self._req.deadline):
                body = await self._call.receive()
        else:
            body = await self._answer_to_upload()
        if isinstance(body, ttypes.AnswerOpen):
            return body
        if isinstance(body, ttypes.Refusal):
            raise self._refusal(body)
        raise self._unknown(f'unexpected {type(body).__name__}')

    async def _answer_to_upload(self) -> object:
        receive = asyncio.ensure_future(self._call.receive())
        upload = self._upload
        try:
            while True:
                await asyncio.wait(
                    (receive, upload),  # type: ignore[type-var]
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if receive.done():
                    return receive.result()
                await upload  # type: ignore[misc]
                remaining_s = self._route.policy.timeout_s
                async with asyncio.timeout(remaining_s):
                    return await receive
        finally:
            receive.cancel()
            self.stop_upload()

    async def _pump(self) -> None:
        end = False
        while not end:
            async with asyncio.timeout(self._route.policy.stall_s):
                await self._call.wait_for_credit()
                self._req.is_body_taken = True
                part = await self._req.read_body()
                end = part.end
                await self._call.send_chunk(part.chunk, end=end)

    def _refusal(self, body: ttypes.Refusal) -> Exception:
        self.refused_load_permille = body.load_permille or 0
        if body.kind == ttypes.RefusalKind.NOT_RUN:
            return RequestNotRun(
                body.reason or '',
                come_back_ms=body.come_back_ms or COME_BACK_MS,
                step='forward',
                peer=self._member.node,
            )
        return self._unknown(body.reason or '')

    def _unknown(self, reason: str) -> RequestUnknown:
        return RequestUnknown(
            reason,
            step='forward',
            peer=self._member.node,
        )
