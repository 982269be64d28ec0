"""One try of one request at one target."""

import asyncio

from filbertdrift.callstream import CallStream
from filbertdrift.errors import (
    MalformedMessage,
    PeerUnavailable,
    RequestNotRun,
    RequestUnknown,
)
from filbertdrift.gen import ttypes
from filbertdrift.link import PeerLink
from filbertdrift.members import Member
from filbertdrift.request import IngressRequest
from filbertdrift.snapshot import Route

RETRY_AFTER_MS = 200


class Attempt:
    """One try of one request at one target."""

    def __init__(
        self,
        link: PeerLink,
        call: CallStream,
        member: Member,
        route: Route,
        req: IngressRequest,
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
                self._req.is_body_consumed = True
                part = await self._req.read_body()
                end = part.end
                await self._call.send_chunk(part.chunk, end=end)

    def _refusal(self, body: ttypes.Refusal) -> Exception:
        self.refused_load_permille = body.load_permille or 0
        if body.kind == ttypes.RefusalKind.NOT_RUN:
            return RequestNotRun(
                body.reason or '',
                retry_after_ms=body.come_back_ms or RETRY_AFTER_MS,
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
