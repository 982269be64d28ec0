"""Runs one admitted request on the local target and forwards its response."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from filbertdrift import http1
from filbertdrift.callstream import CHUNK_BYTES, CallStream
from filbertdrift.contract import (
    MAX_LOGGED_CHARS,
    HeaderNames,
    TargetStatement,
    parse_statement,
)
from filbertdrift.errors import (
    MalformedMessage,
    PeerUnavailable,
    RequestNotRun,
    RequestUnknown,
)
from filbertdrift.gen import ttypes
from filbertdrift.linkpacer import LinkPacer
from filbertdrift.target import Exchange

RETRY_AFTER_MS = 100
# Any credit permits the peer to send one chunk.
FIRST_CREDIT_BYTES = 1
FIRST_SUCCESS_STATUS = 200
FIRST_REDIRECT_STATUS = 300
STATUS_MISDIRECTED = 421
# A target ends its work at the deadline; its response takes a moment to arrive.
RESPONSE_SLACK_S = 0.02
# Responses up to this size are read in full before any part is forwarded, so a
# truncated one is not forwarded at all.
MAX_BUFFERED_RESPONSE_BYTES = 1_048_576
# A refusal's body is of no use, so only one that comes at once is read.
REFUSAL_BODY_TIMEOUT_S = 0.1
# A target may drop an idle connection without notice, so a non-idempotent
# request uses a connection that was idle for at most this long, or a new one.
NON_IDEMPOTENT_MAX_IDLE_S = 1.0
# Limit of responses of other requests, on a desynchronised connection.
MAX_STRAY_RESPONSES = 3


@dataclass(slots=True)
class RefusedBy:
    """Which party refused a request.

    Args:
        target: The target itself refused it.
    """

    target: bool = False


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Exchanges what is known of the target's state during a run.

    Args:
        record: Records what the target states with its response.
        annotate: Adds the state of the target's gate to a response.
    """

    record: Callable[[TargetStatement], None]
    annotate: Callable[[ttypes.AnswerOpen], None]


class TargetRun:
    """Relays one admitted request to the target and its response to the peer.

    Args:
        call: Stream of the call between the nodes.
        req: The opening message.
        exchange: Exchange with the target.
        header_names: Names of the platform's headers.
        refused_by: Set if the target refuses the request.
        pacer: Paces the bodies on the link of this node.
        report: Takes and adds the state of the target.

    Attributes:
        stray_answers: Number of responses of other requests that were
            skipped.
    """

    def __init__(
        self,
        call: CallStream,
        req: ttypes.RequestOpen,
        exchange: Exchange,
        header_names: HeaderNames,
        refused_by: RefusedBy,
        pacer: LinkPacer,
        report: TargetReport,
    ) -> None:
        """Create the run; nothing is sent yet."""
        self.stray_answers = 0
        self._call = call
        self._req = req
        self._exchange = exchange
        self._header_names = header_names
        self._refused_by = refused_by
        self._pacer = pacer
        self._report = report
        self._upload_task: asyncio.Task[None] | None = None
        self._deadline = float('inf')

    async def run(
        self, deadline: float, overdue_at: float | None = None
    ) -> int:
        """Send the request and forward the response.

        Args:
            deadline: Deadline of the request, on the loop's clock.
            overdue_at: When to tell the ingress that no response has come,
                None for never.

        Returns:
            The status of the target's response.

        Raises:
            RequestNotRun: The target reports that it did not run the request.
            RequestUnknown: The target may have run the request.
        """
        self._deadline = deadline
        try:
            async with asyncio.timeout_at(deadline + RESPONSE_SLACK_S):
                return await self._run(overdue_at)
        except TimeoutError as exc:
            raise RequestUnknown(
                'the deadline passed', step='await target'
            ) from exc
        except (PeerUnavailable, MalformedMessage) as exc:
            raise RequestUnknown(
                exc.reason,
                step=exc.step,
                peer=exc.peer,
            ) from exc
        finally:
            if self._upload_task:
                self._upload_task.cancel()

    async def _run(self, overdue_at: float | None) -> int:
        await self._exchange.send_head()
        if not self._req.end:
            loop = asyncio.get_running_loop()
            self._upload_task = loop.create_task(self._forward_body())
            head = await self._await_head_beside(self._upload_task, overdue_at)
        else:
            head = await self._await_head(overdue_at)
        self._record_statement(head)
        await self._check_not_refused(head)
        self._check_authentic(head)
        first = await self._read_up_to(MAX_BUFFERED_RESPONSE_BYTES)
        await self._forward_response(head, first)
        if self._upload_task:
            # The body is sent to its end even if the response came early.
            await self._upload_task
        return head.status

    async def _await_head_beside(
        self, upload: asyncio.Task[None], overdue_at: float | None
    ) -> http1.ResponseHead:
        """Return the head of the response, unless sending the body fails.

        A target that closes its connection may have responded before.
        """
        loop = asyncio.get_running_loop()
        reading = loop.create_task(self._await_head(overdue_at))
        try:
            await asyncio.wait(
                (reading, upload), return_when=asyncio.FIRST_COMPLETED
            )
            if not reading.done():
                exc = upload.exception()
                if exc is not None and not isinstance(exc, PeerUnavailable):
                    raise exc
            return await reading
        finally:
            reading.cancel()

    async def _await_head(self, overdue_at: float | None) -> http1.ResponseHead:
        """Return the head of the response; tell the ingress if it is overdue.

        The run goes on: only the ingress knows whether another target can have
        the request, and cancels the call then.
        """
        if overdue_at is None:
            return await self._read_matching_head()
        loop = asyncio.get_running_loop()
        notice = loop.create_task(self._notify_overdue(overdue_at))
        try:
            return await self._read_matching_head()
        finally:
            notice.cancel()

    async def _notify_overdue(self, overdue_at: float) -> None:
        await asyncio.sleep(overdue_at - asyncio.get_running_loop().time())
        try:
            await self._call.send(ttypes.RunOverdue())
        except PeerUnavailable as exc:
            # The call ends with the connection, which cancels the run.
            logger.bind(
                event='overdue_unsent', request=self._req.request_id
            ).info('{}', exc)

    async def _read_matching_head(self) -> http1.ResponseHead:
        """Return the head of the response to this request.

        Other responses are skipped: those with the id of another request and,
        on a connection that carried other responses, those without an id. They
        state nothing of this request, which may run.
        """
        may_lack_id = self._exchange.is_first
        for _ in range(MAX_STRAY_RESPONSES):
            head = await self._exchange.head()
            echoed_id = http1.find_header(
                head.headers, self._header_names.request_id
            )
            if not echoed_id and may_lack_id:
                return head
            if echoed_id and echoed_id == self._req.request_id:
                return head
            may_lack_id = False
            if not await self._skip_stray(head, echoed_id):
                break
        raise MalformedMessage('answers of other requests', step='read head')

    async def _skip_stray(
        self, head: http1.ResponseHead, echoed_id: str
    ) -> bool:
        """Read the body of another response; return whether it ended."""
        self.stray_answers += 1
        logger.bind(
            event='stray_response',
            request=self._req.request_id,
            echoed=echoed_id[:MAX_LOGGED_CHARS],
            status=head.status,
        ).info('the target sent another response first')
        self._exchange.forbid_reuse()
        stray = await self._read_up_to(MAX_BUFFERED_RESPONSE_BYTES)
        return stray.end

    def _record_statement(self, head: http1.ResponseHead) -> None:
        """Record what the target states, also with refusals and errors.

        Another instance at the same address responds with 421.
        """
        if head.status != STATUS_MISDIRECTED and self._is_genuine(head):
            statement = parse_statement(head.headers, self._header_names)
            self._report.record(statement)

    async def _check_not_refused(self, head: http1.ResponseHead) -> None:
        is_marked_not_run = http1.find_header(
            head.headers, self._header_names.not_run
        )
        if not is_marked_not_run and head.status != STATUS_MISDIRECTED:
            return
        self._refused_by.target = True
        await self._finish_refusal()
        raise RequestNotRun(
            f'the target refused with status {head.status}',
            retry_after_ms=RETRY_AFTER_MS,
            step='await target',
        )

    async def _finish_refusal(self) -> None:
        """Read the body of a refusal, after which the connection is reusable.

        The head alone states the refusal, so it stands if the body breaks off.
        """
        try:
            async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_S):
                await self._read_up_to(MAX_BUFFERED_RESPONSE_BYTES)
        except (PeerUnavailable, MalformedMessage, TimeoutError) as exc:
            logger.bind(
                event='refusal_body_broken',
                request=self._req.request_id,
            ).info('body of a refusal: {!r}', exc)

    def _check_authentic(self, head: http1.ResponseHead) -> None:
        """Raise if a success is not the application's own response."""
        if not self._is_genuine(head):
            raise MalformedMessage('not a genuine success', step='read head')

    def _is_genuine(self, head: http1.ResponseHead) -> bool:
        """Return whether a response is no forged success.

        A genuine success echoes the request id, carries the response signature
        and has no content coding.
        """
        if not FIRST_SUCCESS_STATUS <= head.status < FIRST_REDIRECT_STATUS:
            return True
        names = {name for name, _ in head.headers}
        has_id = self._header_names.request_id in names
        is_signed = self._header_names.seal in names
        return has_id and is_signed and b'content-encoding' not in names

    async def _read_up_to(self, limit_bytes: int) -> http1.BodyPart:
        part = self._exchange.buffered_part()
        chunks = [part.chunk]
        size_bytes = len(part.chunk)
        while not part.end and size_bytes < limit_bytes:
            part = await self._exchange.part()
            chunks.append(part.chunk)
            size_bytes += len(part.chunk)
        return http1.BodyPart(b''.join(chunks), part.end)

    async def _forward_response(
        self,
        head: http1.ResponseHead,
        part: http1.BodyPart,
    ) -> None:
        headers = [
            ttypes.Header(name, content)
            for name, content in http1.end_to_end_headers(head.headers)
        ]
        opened = ttypes.AnswerOpen(
            status=head.status,
            headers=headers,
            body=part.chunk,
            end=part.end,
        )
        await self._wait_to_send(part)
        self._report.annotate(opened)
        await self._call.send(opened)
        while not part.end:
            part = await self._exchange.part()
            await self._wait_to_send(part)
            await self._call.send_chunk(part.chunk, end=part.end)

    async def _wait_to_send(self, part: http1.BodyPart) -> None:
        outbound = self._pacer.outbound
        await outbound.wait_to_send(len(part.chunk), self._deadline)

    async def _forward_body(self) -> None:
        """Receive the rest of the body, about a chunk a turn."""
        # What the peer may still send; it may exceed the last of its credit.
        window_bytes = 0
        if self._req.is_offer:
            window_bytes = FIRST_CREDIT_BYTES - len(self._req.body or b'')
        end = False
        while not end:
            async with self._pacer.inbound.turn(float('inf'), is_urgent=True):
                await self._call.grant_credit(CHUNK_BYTES - window_bytes)
                window_bytes = CHUNK_BYTES
                while window_bytes > 0 and not end:
                    body = await self._call.receive_chunk()
                    window_bytes -= len(body.body or b'')
                    end = bool(body.end)
                    await self._exchange.send_body(body.body or b'', end=end)


def find_max_idle_s(req: ttypes.RequestOpen) -> float:
    """Return how long the connection of a request may have been idle.

    Args:
        req: The request.

    Returns:
        Less than zero if it needs a new one: without an id, only the first
        response of a connection is known to be that of the request.
    """
    if not req.request_id:
        return -1
    return float('inf') if req.is_idempotent else NON_IDEMPOTENT_MAX_IDLE_S
