"""One try of one routed request at the node beside one target."""

import asyncio
from dataclasses import dataclass

from loguru import logger

from filbertdrift.callstream import CallStream
from filbertdrift.chooser import TargetChooser
from filbertdrift.errors import (
    FilbertdriftError,
    MalformedMessage,
    NoFreeSlot,
    PeerUnavailable,
    RequestNotRun,
    RequestUnknown,
)
from filbertdrift.forwarded import ForwardedResponse
from filbertdrift.gen import ttypes
from filbertdrift.link import SUSPECT_S, LinkPool, PeerLink
from filbertdrift.members import Member
from filbertdrift.request import IngressRequest
from filbertdrift.routing import PrefixRoute

MS_PER_S = 1000
RETRY_AFTER_MS = 100
STATUS_SERVER_ERROR = 500
# From that size on a body is large: it fills narrow links.
BULK_BYTES = 16_384
# A target ends its work at the deadline, and a gate refuses what it cannot
# serve until then; their word needs a moment to arrive over a narrow link.
ANSWER_SLACK_S = 0.15
# A repeatable request goes elsewhere once the way to its target has owed a sign
# of life for that part of its time. Narrow links are silent for some tenths of
# a second under load.
GIVE_UP_SHARE = 0.35
# A request of which only the head went out goes elsewhere after silence for
# that part of what is left until its latency objective, as nothing is lost by
# it. A lost packet is sent again within the least time.
OFFER_GIVE_UP_SHARE = 0.35
MIN_OFFER_GIVE_UP_S = 0.25


@dataclass(slots=True)
class RoutedRequest:
    """A request with the route and the service chosen for it.

    Args:
        req: The request as it entered.
        route: Its route.
        service: The service that it goes to, whatever is tried.
        objective_at: An answer until then is worth most, on the loop's clock.
        version: The configuration's version that it began with.
    """

    req: IngressRequest
    route: PrefixRoute
    service: str
    objective_at: float
    version: int

    @property
    def is_bulk(self) -> bool:
        """Tell whether its body is large."""
        return len(self.req.first_chunk) >= BULK_BYTES


class RoutedResponse(ForwardedResponse):
    """An answer that may have come before its request's body was sent."""

    upload: asyncio.Task[None] | None = None

    async def finish_upload(self) -> None:
        """Wait until the rest of the request's body is passed on."""
        if self.upload is not None:
            await asyncio.wait((self.upload,))


class TargetAttempt:
    """One try of one request at the node beside one target.

    Args:
        links: Connections to the other nodes.
        chooser: Is told what becomes of it.
        member: The node beside the target.
        routed: The request.
        may_wait: It may wait for a slot of the target.

    Attributes:
        reached_target: The target itself refused it.
        is_body_consumed: Body beyond the first chunk was read; it cannot be
            sent again.
        is_offer: Only the head went out; the target's node starts it once it
            has let it in, has asked for the rest, and has got it.
        may_wait: As given.
    """

    def __init__(
        self,
        links: LinkPool,
        chooser: TargetChooser,
        member: Member,
        routed: RoutedRequest,
        *,
        may_wait: bool,
    ) -> None:
        """Start before anything is sent."""
        self.reached_target = False
        self.is_body_consumed = False
        self.is_offer = False
        # The other side has ended the call.
        self._is_refused = False
        self._links = links
        self._chooser = chooser
        self._member = member
        self._routed = routed
        self.may_wait = may_wait
        self._req = routed.req
        self._upload: asyncio.Task[None] | None = None

    async def run(self) -> RoutedResponse:
        """Send the request and return the opened answer.

        Raises:
            NoFreeSlot: It was not to wait and would have had to.
            RequestNotRun: It was refused before work.
            RequestUnknown: It may have run.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._chooser.began(self._member, started_at)
        try:
            link, call = await self._begin_call()
        except BaseException:
            self._chooser.ended(self._member, loop.time())
            raise
        self.is_offer = self._must_offer(link, started_at)
        call.give_up_s = self._patience_s
        if self.is_offer:
            link.expect_answer(started_at)
        try:
            answer = await self._exchange(call)
        except BaseException:
            self._end(link, call, cancel=not self._is_refused)
            raise
        self._note_answer(answer, loop.time() - started_at)
        opened = RoutedResponse(
            answer,
            call,
            lambda cancel: self._end(link, call, cancel=cancel),
        )
        opened.upload = self._upload
        return opened

    def _note_answer(self, answer: ttypes.AnswerOpen, spent_s: float) -> None:
        now = asyncio.get_running_loop().time()
        if answer.status >= STATUS_SERVER_ERROR:
            self._chooser.answered_badly(self._member, now)
            return
        load = answer.load_permille or 0
        self._chooser.answered(
            self._member,
            load,
            spent_s,
            now,
            is_bulk=self._routed.is_bulk,
        )

    async def _begin_call(self) -> tuple[PeerLink, CallStream]:
        node = self._member.node
        try:
            link = self._links.ready(node) or await self._links.link(node)
            return link, link.begin()
        except PeerUnavailable as exc:
            now = asyncio.get_running_loop().time()
            self._chooser.failed(self._member, now, unreachable=True)
            raise RequestNotRun(
                exc.reason,
                retry_after_ms=RETRY_AFTER_MS,
                step=exc.step,
                peer=exc.peer,
            ) from exc

    @property
    def _patience_s(self) -> float:
        """Return how long the way to the target may be silent."""
        now = asyncio.get_running_loop().time()
        if self.is_offer:
            left_s = self._routed.objective_at - now
            return max(MIN_OFFER_GIVE_UP_S, left_s * OFFER_GIVE_UP_SHARE)
        if not self._routed.route.is_idempotent:
            return float('inf')
        left_s = self._req.deadline - now
        return max(SUSPECT_S, left_s * GIVE_UP_SHARE)

    def _must_offer(self, link: PeerLink, now: float) -> bool:
        """Tell whether to send the head alone at first.

        Until the rest is sent, the request has certainly not run. That costs a
        round trip, so it is done where the link may be dead, or where a refusal
        would waste a large body's bytes. What may be repeated is offered only
        if others wait for answers on that link already.
        """
        if link.is_within_process:
            return False
        if self._routed.is_bulk:
            return True
        if link.is_lively(now):
            return False
        return link.has_more_calls() or not self._routed.route.is_idempotent

    async def _exchange(self, call: CallStream) -> ttypes.AnswerOpen:
        loop = asyncio.get_running_loop()
        deadline = self._req.deadline + ANSWER_SLACK_S
        try:
            async with asyncio.timeout_at(deadline):
                await call.send(self._opening())
                if self.is_offer or not self._req.is_whole:
                    self._upload = loop.create_task(self._pump(call))
                body = await call.receive()
        except TimeoutError as exc:
            raise self._lost('the deadline passed') from exc
        except (PeerUnavailable, MalformedMessage) as exc:
            raise self._lost(exc.reason, unreachable=True) from exc
        if isinstance(body, ttypes.AnswerOpen):
            return body
        if isinstance(body, ttypes.Refusal):
            raise self._refused(body)
        raise self._unknown(f'unexpected {type(body).__name__}')

    async def _pump(self, call: CallStream) -> None:
        """Pass the rest of the body on, also while the answer comes."""
        end = False
        try:
            if self.is_offer:
                await call.wait_for_credit()
                end = await self._commit(call)
            while not end:
                await call.wait_for_credit()
                self.is_body_consumed = True
                part = await self._req.read_body()
                end = part.end
                await call.send_chunk(part.chunk, end=end)
        except FilbertdriftError as exc:
            if self.is_offer:
                # Whoever waits for the answer has the error already.
                return
            logger.bind(
                event='upload_broken',
                request=self._req.request_id,
            ).info('{}', exc)
            call.fail(exc)

    async def _commit(self, call: CallStream) -> bool:
        """Send what was held back; tell whether the body ends with it."""
        self.is_offer = False
        call.give_up_s = self._patience_s
        req = self._req
        await call.send_chunk(req.first_chunk, end=req.is_whole)
        return req.is_whole

    def _opening(self) -> ttypes.RequestOpen:
        now = asyncio.get_running_loop().time()
        routed, req = self._routed, self._req
        return ttypes.RequestOpen(
            method=req.method,
            path=req.path,
            headers=[ttypes.Header(*header) for header in req.headers],
            remaining_ms=max(int((req.deadline - now) * MS_PER_S), 1),
            service_name=routed.service,
            importance=routed.route.rank,
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
        )

    def _refused(self, body: ttypes.Refusal) -> Exception:
        now = asyncio.get_running_loop().time()
        self._is_refused = True
        self.reached_target = bool(body.reached_target)
        if body.kind != ttypes.RefusalKind.NOT_RUN:
            return self._unknown(body.reason or '')
        load = body.load_permille or 0
        if body.no_free_slot:
            self._chooser.note_load(self._member, load, now)
            return NoFreeSlot(
                body.reason or '',
                retry_after_ms=RETRY_AFTER_MS,
                step='gate',
                peer=self._member.node,
            )
        kind = self._routed.route.name
        self._chooser.refused(self._member, load, now, kind)
        return RequestNotRun(
            body.reason or '',
            retry_after_ms=body.come_back_ms or RETRY_AFTER_MS,
            step='gate',
            peer=self._member.node,
        )

    def _lost(self, reason: str, *, unreachable: bool = False) -> Exception:
        """Return what the end of the way to the target means."""
        if not self.is_offer:
            return self._unknown(reason)
        now = asyncio.get_running_loop().time()
        self._chooser.failed(self._member, now, unreachable=unreachable)
        return RequestNotRun(
            reason,
            retry_after_ms=RETRY_AFTER_MS,
            step='offer',
            peer=self._member.node,
        )

    def _unknown(self, reason: str) -> RequestUnknown:
        now = asyncio.get_running_loop().time()
        self._chooser.failed(self._member, now, unreachable=False)
        return RequestUnknown(reason, step='gate', peer=self._member.node)

    def _end(self, link: PeerLink, call: CallStream, *, cancel: bool) -> None:
        if self._upload:
            self._upload.cancel()
        link.end(call, cancel=cancel)
        now = asyncio.get_running_loop().time()
        self._chooser.ended(self._member, now)
