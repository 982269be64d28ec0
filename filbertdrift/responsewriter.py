"""Writes the responses of the ingress to one caller's connection."""

import asyncio

from filbertdrift import http1
from filbertdrift.callerport import CallerListener
from filbertdrift.http1 import Headers, RequestHead
from filbertdrift.routed import RoutedResponse

# A response that makes no progress for this long is aborted.
RESPONSE_STALL_TIMEOUT_S = 10.0
_BODILESS_STATUSES = frozenset((204, 304))


class ResponseWriter:
    """Writes responses, one at a time.

    Args:
        listener: The listener that accepted the connection.
        writer: Sending side of the connection.

    Attributes:
        must_close: The connection closes after the response, which says so.
        may_be_sent_more: It closes although the caller asked to keep it, and
            may have sent more.
        has_begun: Bytes of the response have been written, so that no other
            response can be sent.
        is_whole: The response has been written to its end.
    """

    def __init__(
        self, listener: CallerListener, writer: asyncio.StreamWriter
    ) -> None:
        """Create the writer; nothing is written."""
        self.must_close = False
        self.may_be_sent_more = False
        self.has_begun = False
        self.is_whole = False
        self._listener = listener
        self._writer = writer

    async def send_response(
        self, head: RequestHead, response: RoutedResponse
    ) -> None:
        """Send the response of a target, as it arrives.

        Args:
            head: The head of the request.
            response: The response.

        Raises:
            RequestUnknown: The response is incomplete.
            TimeoutError: The caller does not read it.
        """
        part = response.first_part
        headers = list(response.headers)
        is_bodiless = head.method == 'HEAD'
        is_bodiless = is_bodiless or response.status in _BODILESS_STATUSES
        is_chunked = False
        if not is_bodiless and not http1.find_header(
            headers,
            b'content-length',
        ):
            is_chunked = not part.end
            headers.append(
                (b'transfer-encoding', b'chunked')
                if is_chunked
                else (b'content-length', b'%d' % len(part.chunk)),
            )
        self._add_connection_header(head, headers)
        raw = http1.encode_response_head(response.status, headers)
        self._write(raw + http1.encode_part(part, is_chunked=is_chunked))
        while not part.end:
            part = await response.part(RESPONSE_STALL_TIMEOUT_S)
            self._writer.write(http1.encode_part(part, is_chunked=is_chunked))
            await self._drain()
        await self._drain()
        self.is_whole = True

    async def send_text(
        self, head: RequestHead, status: int, reason: str, extra: Headers
    ) -> None:
        """Send a response of this node.

        Args:
            head: The head of the request.
            status: The status.
            reason: The text of the body.
            extra: Further headers.

        Raises:
            TimeoutError: The caller does not read it.
        """
        text = f'{reason}\n'.encode()
        headers: Headers = [
            (b'content-type', b'text/plain; charset=utf-8'),
            (b'content-length', b'%d' % len(text)),
            *extra,
        ]
        self._add_connection_header(head, headers)
        body = b'' if head.method == 'HEAD' else text
        self._write(http1.encode_response_head(status, headers) + body)
        await self._drain()
        self.is_whole = True

    def _write(self, raw: bytes) -> None:
        self.has_begun = True
        self._writer.write(raw)

    async def _drain(self) -> None:
        if not self._writer.transport.get_write_buffer_size():
            return
        async with asyncio.timeout(RESPONSE_STALL_TIMEOUT_S):
            await self._writer.drain()

    def _add_connection_header(
        self, head: RequestHead, headers: Headers
    ) -> None:
        if self._listener.is_closing or not head.keep_alive or self.must_close:
            self.must_close = True
            self.may_be_sent_more = head.keep_alive
            headers.append((b'connection', b'close'))
