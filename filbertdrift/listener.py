"""A small HTTP/1.1 server for requests with small bodies, read whole.

Targets, the platform and scrapers call a node through it. An HTTP framework
costs more memory and start-up time than these few endpoints justify.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from loguru import logger

from filbertdrift import http1
from filbertdrift.callerport import read_to_end
from filbertdrift.errors import (
    FilbertdriftError,
    MalformedMessage,
    PeerUnavailable,
)
from filbertdrift.network import split_address

IDLE_TIMEOUT_S = 60.0
HEAD_TIMEOUT_S = 5.0
BODY_TIMEOUT_S = 5.0
MAX_BODY_BYTES = 65_536
STATUS_BAD_REQUEST = 400
STATUS_INTERNAL_ERROR = 500


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP response with a body that is held in memory."""

    status: int
    body: bytes = b''
    content_type: bytes = b'application/json'
    headers: tuple[tuple[bytes, bytes], ...] = ()


RequestHandler = Callable[[str, str, bytes], Awaitable[HttpResponse]]


class HttpListener:
    """An HTTP server on one address.

    Args:
        address: The address to listen on.
        handler: Takes method, path and body of a request and returns the
            response.
    """

    def __init__(self, address: str, handler: RequestHandler) -> None:
        """Set the address, which is bound on start."""
        self._address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Bind the address and accept connections.

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
        requests = http1.RequestReader(reader, 'caller')
        try:
            await self._serve_requests(requests, writer)
        except MalformedMessage as exc:
            logger.bind(event='call_rejected').info('{}', exc)
            _write_response(
                writer, HttpResponse(STATUS_BAD_REQUEST), keep_alive=False
            )
            await read_to_end(reader, writer)
        except (PeerUnavailable, OSError, TimeoutError) as exc:
            logger.bind(event='call_aborted').info('{!r}', exc)
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_requests(
        self,
        requests: http1.RequestReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        keep_alive = True
        while keep_alive:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                has_data = await requests.wait_for_data()
            async with asyncio.timeout(HEAD_TIMEOUT_S):
                head = await requests.head() if has_data else None
            if head is None:
                return
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await _read_body(requests)
            reply = await self._handle(head, body)
            keep_alive = head.keep_alive
            _write_response(writer, reply, keep_alive=keep_alive)
            with contextlib.suppress(ConnectionError):
                await writer.drain()

    async def _handle(
        self, head: http1.RequestHead, body: bytes
    ) -> HttpResponse:
        try:
            return await self._handler(head.method, head.path, body)
        except (FilbertdriftError, OSError):
            raise
        except Exception as exc:
            logger.bind(event='call_failed', path=head.path).opt(
                exception=exc
            ).error('a call has failed')
            return HttpResponse(STATUS_INTERNAL_ERROR)


async def _read_body(requests: http1.RequestReader) -> bytes:
    chunks: list[bytes] = []
    size_bytes = 0
    end = False
    while not end:
        part = await requests.part()
        chunks.append(part.chunk)
        size_bytes += len(part.chunk)
        end = part.end
        if size_bytes > MAX_BODY_BYTES:
            raise MalformedMessage('body too large', step='read call')
    return b''.join(chunks)


def _write_response(
    writer: asyncio.StreamWriter,
    reply: HttpResponse,
    *,
    keep_alive: bool,
) -> None:
    headers = [
        (b'content-type', reply.content_type),
        (b'content-length', b'%d' % len(reply.body)),
        *reply.headers,
    ]
    if not keep_alive:
        headers.append((b'connection', b'close'))
    writer.write(http1.encode_response_head(reply.status, headers) + reply.body)
