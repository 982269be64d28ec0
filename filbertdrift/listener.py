"""A small HTTP/1.1 server for calls that are whole in one message.

It serves what targets, the platform and scrapers ask of a node. A framework
costs more memory and start-up time than these few calls are worth.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from filbertdrift import http1
from filbertdrift.errors import MalformedMessage, PeerUnavailable
from filbertdrift.network import split_address

IDLE_TIMEOUT_S = 60.0
BODY_TIMEOUT_S = 5.0
MAX_BODY_BYTES = 65_536
STATUS_BAD_REQUEST = 400


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The answer to one call."""

    status: int
    body: bytes = b''
    content_type: bytes = b'application/json'


OnCall = Callable[[str, str, bytes], Awaitable[HttpResponse]]


class HttpListener:
    """Listens on one address and answers each call.

    Args:
        address: Where to listen.
        on_call: Takes method, path and body, and returns the reply.
    """

    def __init__(self, address: str, on_call: OnCall) -> None:
        """Keep the address; start binds it."""
        self._address = address
        self._on_call = on_call
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen.

        Raises:
            OSError: The address cannot be bound.
        """
        host, port = split_address(self._address)
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        messages = http1.RequestReader(reader, 'caller')
        try:
            await self._serve_calls(messages, writer)
        except MalformedMessage:
            _write(writer, HttpResponse(STATUS_BAD_REQUEST), keep_alive=False)
        except (PeerUnavailable, OSError, TimeoutError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_calls(
        self,
        messages: http1.RequestReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        keep_alive = True
        while keep_alive:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                head = await messages.head()
            if head is None:
                return
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await _whole_body(messages)
            reply = await self._on_call(head.method, head.path, body)
            keep_alive = head.keep_alive
            _write(writer, reply, keep_alive=keep_alive)
            with contextlib.suppress(ConnectionError):
                await writer.drain()


async def _whole_body(messages: http1.RequestReader) -> bytes:
    chunks: list[bytes] = []
    size_bytes = 0
    end = False
    while not end:
        part = await messages.part()
        chunks.append(part.chunk)
        size_bytes += len(part.chunk)
        end = part.end
        if size_bytes > MAX_BODY_BYTES:
            raise MalformedMessage('body too large', step='read call')
    return b''.join(chunks)


def _write(
    writer: asyncio.StreamWriter,
    reply: HttpResponse,
    *,
    keep_alive: bool,
) -> None:
    headers = [
        (b'content-type', reply.content_type),
        (b'content-length', b'%d' % len(reply.body)),
    ]
    if not keep_alive:
        headers.append((b'connection', b'close'))
    writer.write(http1.encode_response_head(reply.status, headers) + reply.body)
