"""HTTP/1.1 messages over asyncio streams, parsed by httptools."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import httptools

from filbertdrift.errors import MalformedMessage, PeerUnavailable

READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
LAST_CHUNK = b'0\r\n\r\n'
MAX_COUNT_DIGITS = 9
# RFC 9110, section 15: any other status is invalid.
STATUSES = range(100, 600)

Headers = list[tuple[bytes, bytes]]

_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    )
)
_NO_BODY_STATUSES = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200
_REASON_PHRASES = {
    100: b'Continue',
    200: b'OK',
    201: b'Created',
    202: b'Accepted',
    204: b'No Content',
    400: b'Bad Request',
    404: b'Not Found',
    405: b'Method Not Allowed',
    408: b'Request Timeout',
    409: b'Conflict',
    413: b'Content Too Large',
    421: b'Misdirected Request',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


class HeadTooLarge(MalformedMessage):
    """The head of a message exceeds the limit."""


class MessageTruncated(PeerUnavailable):
    """The connection ended within a message."""


@dataclass(slots=True)
class RequestHead:
    """The head of a request.

    Args:
        method: Upper case.
        path: The request target as sent, query included.
        headers: Names in lower case.
        keep_alive: The caller may reuse the connection.
        arrived_at: When its end may have arrived, on the loop's clock; zero if
            the stream does not tell.
    """

    method: str
    path: str
    headers: Headers
    keep_alive: bool
    arrived_at: float = 0.0


@dataclass(slots=True)
class ResponseHead:
    """The head of a response.

    Args:
        status: The status code.
        headers: Names in lower case.
        keep_alive: The connection may be reused.
    """

    status: int
    headers: Headers
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class BodyPart:
    """A part of a body.

    Args:
        chunk: The bytes, possibly none.
        end: True if the body ends with them.
    """

    chunk: bytes
    end: bool


class _MessageEnd:
    """Marks the end of a message in the queue of its parts."""


_END = _MessageEnd()
_Part = RequestHead | ResponseHead | bytes | _MessageEnd


class _Reader:
    """Reads messages from a stream and queues their parsed parts.

    The methods named on_* are callbacks of httptools.
    """

    parser: Any

    def __init__(self, reader: asyncio.StreamReader, peer: str) -> None:
        """Wrap a stream."""
        self.peer = peer
        self._reader = reader
        self._parts: deque[_Part] = deque()
        self._headers: Headers = []
        self._url = b''
        # Bytes since the last final head, part of a body or whole message.
        self._overhead_bytes = 0
        self._field_bytes = 0
        self._in_head = True
        self._in_message = False
        self._is_interim = False
        self._parse_error: MalformedMessage | None = None

    def on_message_begin(self) -> None:
        """Begin the head of a message."""
        self._in_message = True
        self._headers = []
        self._url = b''
        self._field_bytes = 0
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._url += url
        self._field_bytes += len(url)

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if not self._in_head:
            return
        self._headers.append((name.lower(), content))
        self._field_bytes += len(name) + len(content)

    def on_body(self, body: bytes) -> None:
        """Queue a part of the body."""
        self._overhead_bytes = 0
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """Queue the end of the message."""
        self._in_message = False
        self._finish_section()
        self._in_head = True
        self._parts.append(_END)

    def is_between_messages(self) -> bool:
        """Return whether no bytes follow the last message."""
        return not (self._parts or self._in_message or self._parse_error)

    def buffered_part(self) -> BodyPart:
        """Return what is buffered of the body, possibly nothing."""
        chunks: list[bytes] = []
        while self._parts:
            part = self._parts[0]
            if not isinstance(part, (bytes, _MessageEnd)):
                break
            self._parts.popleft()
            if isinstance(part, _MessageEnd):
                return BodyPart(b''.join(chunks), end=True)
            chunks.append(part)
        return BodyPart(b''.join(chunks), end=False)

    async def part(self) -> BodyPart:
        """Return the next part of the body.

        Raises:
            MessageTruncated: The connection ended before the body.
            MalformedMessage: The bytes are not HTTP.
        """
        if not self._parts:
            self._parts.appendleft(await self._next_part())
        return self.buffered_part()

    async def _next_part(self) -> _Part:
        while not self._parts:
            if self._parse_error:
                raise self._parse_error
            raw = await self._read()
            if not raw:
                return self._handle_eof()
            self._feed(raw)
        return self._parts.popleft()

    def _handle_eof(self) -> _Part:
        raise MessageTruncated('cut short', step='read body', peer=self.peer)

    async def _read(self) -> bytes:
        try:
            return await self._reader.read(READ_BYTES)
        except OSError as exc:
            raise MessageTruncated(
                repr(exc),
                step='read',
                peer=self.peer,
            ) from exc

    def _feed(self, raw: bytes) -> None:
        self._overhead_bytes += len(raw)
        try:
            self.parser.feed_data(raw)
        except httptools.HttpParserUpgrade as exc:
            raise MalformedMessage(
                'protocol upgrade is not supported',
                step='parse',
                peer=self.peer,
            ) from exc
        except httptools.HttpParserError as exc:
            self._parse_error = MalformedMessage(
                str(exc),
                step='parse',
                peer=self.peer,
            )
            if not self._has_complete_message():
                raise self._parse_error from exc
        self._check_overhead()

    def _check_overhead(self) -> None:
        if max(self._overhead_bytes, self._field_bytes) <= MAX_HEAD_BYTES:
            return
        if self._in_head or self._field_bytes > MAX_HEAD_BYTES:
            raise HeadTooLarge(
                f'head over {MAX_HEAD_BYTES} bytes',
                step='parse',
                peer=self.peer,
            )
        raise MalformedMessage(
            f'over {MAX_HEAD_BYTES} bytes beside the body',
            step='parse',
            peer=self.peer,
        )

    def _has_complete_message(self) -> bool:
        """Return whether a complete message precedes the malformed bytes."""
        return any(isinstance(part, _MessageEnd) for part in self._parts)

    def _finish_section(self) -> None:
        """Record the end of a head or a message; interim ones add up."""
        self._in_head = False
        if not self._is_interim:
            self._overhead_bytes = 0


class RequestReader(_Reader):
    """Reads the requests of a connection in order."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        peer: str,
        find_arrival: Callable[[], float] | None = None,
    ) -> None:
        """Wrap a stream.

        Args:
            reader: The stream.
            peer: Address of the peer.
            find_arrival: Returns when the bytes that were read last may have
                arrived, on the loop's clock.
        """
        super().__init__(reader, peer)
        self.parser = httptools.HttpRequestParser(self)
        self._find_arrival = find_arrival

    def on_headers_complete(self) -> None:
        """Queue the head."""
        self._finish_section()
        self._parts.append(
            RequestHead(
                self.parser.get_method().decode('ascii'),
                self._url.decode('latin-1'),
                self._headers,
                self.parser.should_keep_alive(),
                self._find_arrival() if self._find_arrival else 0,
            ),
        )

    async def wait_for_data(self) -> bool:
        """Wait for the first bytes of a request; return False at the end."""
        if self._parts or self._overhead_bytes or self._parse_error:
            return True
        raw = await self._read()
        if raw:
            self._feed(raw)
        return bool(raw)

    def buffered_head(self) -> RequestHead | None:
        """Return the next request's head if it is buffered in full."""
        head = self._parts[0] if self._parts else None
        if not isinstance(head, RequestHead):
            return None
        self._parts.popleft()
        return head

    async def head(self) -> RequestHead | None:
        """Return the next request's head, None if the caller closed.

        Raises:
            MalformedMessage: The bytes are not HTTP.
            MessageTruncated: The connection ended within a head.
        """
        while not self._parts:
            if self._parse_error:
                raise self._parse_error
            raw = await self._read()
            if not raw:
                if self._overhead_bytes:
                    self._handle_eof()
                return None
            self._feed(raw)
        head = self._parts.popleft()
        if isinstance(head, RequestHead):
            return head
        raise MalformedMessage('no head', step='parse', peer=self.peer)


class ResponseReader(_Reader):
    """Reads the responses of a connection in order.

    The end of the stream ends a response without a length, so a stream whose
    connection broke has to raise an OSError, as a ResponseStream does.
    """

    def __init__(self, reader: asyncio.StreamReader, peer: str) -> None:
        """Wrap a stream."""
        super().__init__(reader, peer)
        self.parser = httptools.HttpResponseParser(self)
        self._is_close_delimited = False

    def on_headers_complete(self) -> None:
        """Queue the head."""
        names = {name for name, _ in self._headers}
        status = self.parser.get_status_code()
        self._is_interim = status < _FIRST_FINAL_STATUS
        self._finish_section()
        self._is_close_delimited = (
            not self._is_interim
            and b'content-length' not in names
            and b'transfer-encoding' not in names
            and status not in _NO_BODY_STATUSES
        )
        self._parts.append(
            ResponseHead(
                status,
                self._headers,
                self.parser.should_keep_alive()
                and not self._is_close_delimited,
            ),
        )

    async def head(self) -> ResponseHead:
        """Return the next final response's head.

        Raises:
            MessageTruncated: The connection ended before the head.
            MalformedMessage: The bytes are not HTTP, or the status or the
                coding of the body is invalid.
        """
        while True:
            part = await self._next_part()
            if not isinstance(part, ResponseHead):
                continue
            fault = _find_fault(part)
            if fault:
                raise MalformedMessage(fault, step='read head', peer=self.peer)
            if part.status >= _FIRST_FINAL_STATUS:
                return part

    def _handle_eof(self) -> _Part:
        if self._is_close_delimited:
            # The end of the stream ends one message only.
            self._is_close_delimited = False
            return _END
        return super()._handle_eof()


def _find_fault(head: ResponseHead) -> str:
    """Return why a head is not that of a response, empty if it is one.

    No request asks for a transfer coding. The parser only takes chunks apart.
    """
    if head.status not in STATUSES:
        return f'status {head.status:03} is invalid'
    codings = [
        content.strip().lower()
        for name, content in head.headers
        if name == b'transfer-encoding'
    ]
    if codings and codings != [b'chunked']:
        return 'the transfer coding is not chunked'
    return ''


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers without the hop-by-hop ones."""
    connection_tokens: set[bytes] = set()
    all_headers = list(headers)
    for name, content in all_headers:
        if name == b'connection':
            connection_tokens.update(
                token.strip().lower() for token in content.split(b',')
            )
    return [
        (name, content)
        for name, content in all_headers
        if name not in _HOP_BY_HOP and name not in connection_tokens
    ]


def find_header(headers: Headers, wanted: bytes) -> str:
    """Return the first value of a header, empty if absent."""
    for name, content in headers:
        if name == wanted:
            return content.decode('latin-1')
    return ''


def parse_count(text: str) -> int | None:
    """Return a header's number, None if it is none or out of range."""
    if not text.isascii() or not text.isdigit():
        return None
    return int(text) if len(text) <= MAX_COUNT_DIGITS else None


def encode_request_head(method: str, path: str, headers: Headers) -> bytes:
    """Return the head of a request in wire format."""
    start = f'{method} {path} HTTP/1.1\r\n'.encode('latin-1')
    return start + _header_lines(headers)


def encode_response_head(status: int, headers: Headers) -> bytes:
    """Return the head of a response in wire format."""
    reason = _REASON_PHRASES.get(status, b'Status')
    lines = _header_lines(headers)
    return b'HTTP/1.1 %d %s\r\n%s' % (status, reason, lines)


def encode_chunk(chunk: bytes) -> bytes:
    """Return a chunk in chunked transfer coding."""
    return b'%x\r\n%s\r\n' % (len(chunk), chunk)


def encode_part(part: BodyPart, *, is_chunked: bool) -> bytes:
    """Return a part of a body in wire format.

    Args:
        part: The bytes and whether the body ends with them.
        is_chunked: The body has chunked transfer coding.
    """
    if not is_chunked:
        return part.chunk
    raw = encode_chunk(part.chunk) if part.chunk else b''
    return raw + LAST_CHUNK if part.end else raw


def _header_lines(headers: Headers) -> bytes:
    lines = [b'%s: %s\r\n' % header for header in headers]
    lines.append(b'\r\n')
    return b''.join(lines)
