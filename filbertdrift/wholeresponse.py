"""Responses that httpx reads whole, within limits of time and size."""

import asyncio
import contextlib

import httpx

from filbertdrift.http1 import STATUSES

# For the headers of a client: a small encoded body can be a very large one.
NO_ENCODING = {'accept-encoding': 'identity'}
# What decoding bytes that are not a document raises.
PARSE_ERRORS = (ValueError, LookupError, TypeError, RecursionError)


async def fetch(
    client: httpx.AsyncClient,
    req: httpx.Request,
    timeout_s: float,
    max_bytes: int,
) -> httpx.Response:
    """Send a request and return its response.

    Args:
        client: Sends the request; its timeouts apply to each read.
        req: The request, which asks for no content encoding.
        timeout_s: Limit on the time until the response has been read.
        max_bytes: Limit on the size of its body.

    Raises:
        httpx.HTTPError: There is none, or it is invalid or over a limit.
    """
    try:
        async with asyncio.timeout(timeout_s):
            resp = await client.send(req, stream=True)
            async with contextlib.aclosing(resp):
                return await _read_whole(resp, max_bytes)
    except TimeoutError as exc:
        raise httpx.ReadTimeout('the response is too slow') from exc


async def _read_whole(resp: httpx.Response, max_bytes: int) -> httpx.Response:
    if resp.status_code not in STATUSES:
        raise httpx.RemoteProtocolError(f'invalid status {resp.status_code}')
    if resp.headers.get('content-encoding', 'identity') != 'identity':
        raise httpx.DecodingError('the response is encoded')
    chunks: list[bytes] = []
    size_bytes = 0
    async for chunk in resp.aiter_raw():
        chunks.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > max_bytes:
            raise httpx.ReadError('the response is too large')
    return httpx.Response(
        resp.status_code, headers=resp.headers, content=b''.join(chunks)
    )
