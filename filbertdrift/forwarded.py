"""The response to a request that was forwarded to another node."""

import asyncio
from collections.abc import Callable

from filbertdrift import http1
from filbertdrift.callstream import CallStream
from filbertdrift.errors import FilbertdriftError, RequestUnknown
from filbertdrift.gen import ttypes
from filbertdrift.request import Response


class ForwardedResponse(Response):
    """The response to a forwarded request; its body may still be arriving.

    Args:
        opened: The message with the head and the first part of the body.
        call: The call that delivers the rest of the body.
        close: Ends the call; with True, the rest is cancelled.
    """

    def __init__(
        self,
        opened: ttypes.AnswerOpen,
        call: CallStream,
        close: Callable[[bool], None],
    ) -> None:
        """Decode the head and the first part of the body."""
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
                body = await self._call.receive_chunk()
        except (TimeoutError, FilbertdriftError) as exc:
            raise RequestUnknown(
                repr(exc),
                step='read answer',
                peer=self._call.peer,
            ) from exc
        chunk = body.body or b''
        if not body.end:
            await self._call.grant_credit(len(chunk))
        self._is_whole = bool(body.end)
        return http1.BodyPart(chunk, self._is_whole)

    def close(self) -> None:
        """End the call; an incomplete response is cancelled."""
        self._close(not self._is_whole)
