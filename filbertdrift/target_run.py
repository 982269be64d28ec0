"""One admitted request and its exchange with the target."""

import asyncio
import contextlib
from dataclasses import dataclass

from filbertdrift import http1
from filbertdrift.callstream import WINDOW_BYTES, CallStream
from filbertdrift.contract import HeaderNames
from filbertdrift.errors import (
    MalformedMessage,
    PeerUnavailable,
    RequestNotRun,
    RequestUnknown,
)
from filbertdrift.gen import ttypes
from filbertdrift.target import Exchange

RETRY_AFTER_MS = 100
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
STATUS_MISDIRECTED = 421
# A target ends its work at the deadline; its answer needs a moment to arrive.
ANSWER_SLACK_S = 0.02
# Answers up to this size are checked whole before any of it is passed on.
WHOLE_ANSWER_BYTES = 1_048_576
# Answers to requests that are not this one, skipped on one connection.
MAX_STRAY_ANSWERS = 3


@dataclass(slots=True)
class Reached:
    """Whether the target itself has refused the request."""

    target: bool = False


class TargetRun:
    """One admitted request and its exchange with the target."""

    def __init__(
        self,
        call: CallStream,
        req: ttypes.RequestOpen,
        exchange: Exchange,
        header_names: HeaderNames,
        reached: Reached,
    ) -> None:
        """Keep the parts."""
        self.stray_answers = 0
        self._call = call
        self._req = req
        self._exchange = exchange
        self._header_names = header_names
        self._reached = reached
        self._upload: asyncio.Task[None] | None = None

    async def run(self, deadline: float, load_permille: int) -> int:
        """Send the request and pass the answer on.

        Args:
            deadline: When the caller gives up, on the loop's clock.
            load_permille: The gate's load, told with the answer.

        Returns:
            The target's status.

        Raises:
            RequestNotRun: The target says that it did not run it.
            RequestUnknown: The target may have run it.
        """
        try:
            async with asyncio.timeout_at(deadline + ANSWER_SLACK_S):
                return await self._run(load_permille)
        except TimeoutError as exc:
            raise RequestUnknown(
                'the deadline passed',
                step='await target',
            ) from exc
        except (PeerUnavailable, MalformedMessage) as exc:
            raise RequestUnknown(
                exc.reason,
                step=exc.step,
                peer=exc.peer,
            ) from exc
        finally:
            if self._upload:
                self._upload.cancel()

    async def _run(self, load_permille: int) -> int:
        await self._exchange.send_head()
        if not self._req.end:
            loop = asyncio.get_running_loop()
            self._upload = loop.create_task(self._pump_upload())
        head = await self._own_head()
        await self._check_refused(head)
        self._check_genuine(head)
        first = await self._gather(WHOLE_ANSWER_BYTES)
        await self._pass_answer(head, first, load_permille)
        if self._upload:
            # The rest of the body is due even if the answer came early.
            await self._upload
        return head.status

    async def _own_head(self) -> http1.ResponseHead:
        """Return the head of this request's answer; strays are skipped."""
        wanted = self._req.request_id or ''
        for _ in range(MAX_STRAY_ANSWERS):
            head = await self._exchange.head()
            found = http1.find_header(
                head.headers, self._header_names.request_id
            )
            if found == wanted or not found:
                return head
            self.stray_answers += 1
            self._exchange.spoil()
            await self._gather(WHOLE_ANSWER_BYTES)
        raise MalformedMessage('answers of other requests', step='read head')

    async def _check_refused(self, head: http1.ResponseHead) -> None:
        is_marked = http1.find_header(head.headers, self._header_names.not_run)
        if not is_marked and head.status != STATUS_MISDIRECTED:
            return
        self._reached.target = True
        with contextlib.suppress(PeerUnavailable, MalformedMessage):
            # Read to its end, the answer leaves the connection usable.
            await self._gather(WHOLE_ANSWER_BYTES)
        raise RequestNotRun(
            f'the target refused with status {head.status}',
            retry_after_ms=RETRY_AFTER_MS,
            step='await target',
        )

    def _check_genuine(self, head: http1.ResponseHead) -> None:
        """Raise if a success is not the application's whole answer."""
        if not FIRST_SUCCESS <= head.status < FIRST_REDIRECT:
            return
        names = {name for name, _ in head.headers}
        has_id = self._header_names.request_id in names
        has_seal = self._header_names.seal in names
        if has_id and has_seal and b'content-encoding' not in names:
            return
        raise MalformedMessage('not a genuine success', step='read head')

    async def _gather(self, limit_bytes: int) -> http1.BodyPart:
        part = self._exchange.parsed()
        chunks = [part.chunk]
        size_bytes = len(part.chunk)
        while not part.end and size_bytes < limit_bytes:
            part = await self._exchange.part()
            chunks.append(part.chunk)
            size_bytes += len(part.chunk)
        return http1.BodyPart(b''.join(chunks), part.end)

    async def _pass_answer(
        self,
        head: http1.ResponseHead,
        part: http1.BodyPart,
        load_permille: int,
    ) -> None:
        headers = [
            ttypes.Header(name, content)
            for name, content in http1.end_to_end(head.headers)
        ]
        await self._call.send(
            ttypes.AnswerOpen(
                status=head.status,
                headers=headers,
                body=part.chunk,
                end=part.end,
                load_permille=load_permille,
            ),
        )
        while not part.end:
            part = await self._exchange.part()
            await self._call.send_chunk(part.chunk, end=part.end)

    async def _pump_upload(self) -> None:
        await self._call.grant(WINDOW_BYTES)
        end = False
        while not end:
            body = await self._call.receive_chunk()
            end = bool(body.end)
            await self._exchange.send_body(body.body or b'', end=end)
            await self._call.grant(len(body.body or b''))
