"""Fetches the body of a request that its ingress has offered."""

import asyncio

from filbertdrift.callstream import CallStream
from filbertdrift.errors import RequestNotRun
from filbertdrift.gen import ttypes
from filbertdrift.target_run import FIRST_CREDIT_BYTES

RETRY_AFTER_MS = 100
# Timeout for the body of an offered request, which the ingress sends on demand.
# 64 KiB take 0.2 s on a link of 2.5 Mbit/s, and other calls share the link.
OFFERED_BODY_TIMEOUT_S = 3.0


async def fetch_offered_body(
    call: CallStream,
    req: ttypes.RequestOpen,
    deadline: float,
) -> None:
    """Fetch the body that the ingress withheld when it offered the request.

    Raises:
        RequestNotRun: The body did not arrive in time.
        MalformedMessage: The peer sent another message.
    """
    await call.grant_credit(FIRST_CREDIT_BYTES)
    fetch_deadline = asyncio.get_running_loop().time() + OFFERED_BODY_TIMEOUT_S
    try:
        async with asyncio.timeout_at(min(deadline, fetch_deadline)):
            body = await call.receive_chunk()
    except TimeoutError as exc:
        raise RequestNotRun(
            'the entry did not send the rest of the request',
            retry_after_ms=RETRY_AFTER_MS,
            step='fetch request',
            peer=call.peer,
        ) from exc
    req.body = body.body
    req.end = body.end
