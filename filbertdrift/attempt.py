"""One attempt of a forwarded request at one target."""

import asyncio

from filbertdrift.callstream import CallStream
from filbertdrift.errors import (
    MalformedMessage,
    PeerUnavailable,
    RequestNotRun,
    RequestUnknown,
    UnsendableMessage,
)
from filbertdrift.gen import ttypes
from filbertdrift.link import PeerLink
from filbertdrift.members import Member
from filbertdrift.request import IngressRequest
from filbertdrift.snapshot import Route

RETRY_AFTER_MS = 200


class Attempt:
    """One attempt of a forwarded request at one target.

    Args:
        link: The connection to the target's node.
        call: The call on that connection.
        member: The target's node.
        route: The request's route.
        req: The request.

    Attributes:
        refused_load_permille: The load that a refusal reported.
        cancels_call: The call is cancelled when the attempt ends.
    """

    def __init__(
        self,
        link: PeerLink,
        call: CallStream,
        member: Member,
        route: Route,
        req: IngressRequest,
    ) -> None:
        """Create the attempt; nothing is sent yet."""
        self._link = link
        self._call = call
        self._member = member
        self._route = route
        self._req = req
        self._upload: asyncio.Task[None] | None = None
        self._may_have_run_before = req.may_have_run
        self.refused_load_permille = 0
        self.cancels_call = True

    async def run(self, opening: ttypes.RequestOpen) -> ttypes.AnswerOpen:
        """Send the request and return the opening of the response.

        Raises:
            RequestNotRun: The other node refused it before it ran.
            RequestUnknown: It may have run.
        """
        try:
            await self._send(opening)
            if not self._req.is_whole:
                loop = asyncio.get_running_loop()
                self._upload = loop.create_task(self._send_body())
            return await self._await_response()
        except (PeerUnavailable, MalformedMessage) as exc:
            raise self._unknown_error(exc.reason) from exc
        except TimeoutError as exc:
            raise self._unknown_error('deadline passed') from exc
        except BaseException:
            self._stop_upload()
            raise

    async def _send(self, opening: ttypes.RequestOpen) -> None:
        self._req.may_have_run = True
        try:
            await self._call.send(opening)
        except UnsendableMessage:
            self._req.may_have_run = self._may_have_run_before
            raise

    def end(self) -> None:
        """End the call and stop sending the body."""
        self._stop_upload()
        self._link.end(self._call, cancel=self.cancels_call)

    def _stop_upload(self) -> None:
        if self._upload:
            self._upload.cancel()

    async def _await_response(self) -> ttypes.AnswerOpen:
        if self._upload is None:
            async with asyncio.timeout_at(self._req.deadline):
                body = await self._call.receive()
        else:
            body = await self._await_response_during_upload()
        if isinstance(body, ttypes.AnswerOpen):
            return body
        if isinstance(body, ttypes.Refusal):
            raise self._refusal_error(body)
        raise self._unknown_error(f'unexpected {type(body).__name__}')

    async def _await_response_during_upload(self) -> object:
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
                timeout_s = self._route.policy.timeout_s
                async with asyncio.timeout(timeout_s):
                    return await receive
        finally:
            receive.cancel()
            self._stop_upload()

    async def _send_body(self) -> None:
        end = False
        while not end:
            async with asyncio.timeout(self._route.policy.stall_s):
                await self._call.wait_for_credit()
                self._req.is_body_consumed = True
                part = await self._req.read_body()
                end = part.end
                await self._call.send_chunk(part.chunk, end=end)

    def _refusal_error(self, body: ttypes.Refusal) -> Exception:
        self.refused_load_permille = body.load_permille or 0
        if body.kind == ttypes.RefusalKind.NOT_RUN:
            self._req.may_have_run = self._may_have_run_before
            return RequestNotRun(
                body.reason or '',
                retry_after_ms=body.come_back_ms or RETRY_AFTER_MS,
                step='forward',
                peer=self._member.node,
            )
        return self._unknown_error(body.reason or '')

    def _unknown_error(self, reason: str) -> RequestUnknown:
        return RequestUnknown(
            reason,
            step='forward',
            peer=self._member.node,
        )
