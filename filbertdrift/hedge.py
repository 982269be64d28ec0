"""Hedged requests: an overdue run and its retry, of which one responds."""

import asyncio
from collections.abc import Callable

from loguru import logger

from filbertdrift.callstream import CallStream, ConnectionSilent
from filbertdrift.errors import (
    FilbertdriftError,
    PeerUnavailable,
    RequestNotRun,
    RequestUnknown,
)
from filbertdrift.gen import ttypes
from filbertdrift.routed import RoutedResponse

STATUS_SERVER_ERROR = 500

Retry = asyncio.Task[RoutedResponse]
# Returns the retry of a run that has begun, None if it gets none.
StartRetry = Callable[[], Retry | None]


async def receive_reply(call: CallStream) -> object:
    """Return the reply to a request, skipping notices of its delay.

    Raises:
        PeerUnavailable: The connection broke.
    """
    while True:
        body = await call.receive()
        if not isinstance(body, ttypes.RunOverdue | ConnectionSilent):
            return body


async def await_first(
    call: CallStream, retry: Retry, deadline: float
) -> object:
    """Return the reply of a run, or the response of its retry.

    The run goes on beside the retry, which may be refused, fail or be slower.
    What does not respond first is cancelled.

    Args:
        call: The call of the run.
        retry: The retry.
        deadline: Until when a run is awaited whose retry failed, on the
            loop's clock.

    Returns:
        The last message of the call, or the retry's RoutedResponse.

    Raises:
        PeerUnavailable: The connection broke, and the retry did not run.
        RequestUnknown: The run has ended without a response, and the retry
            may have run.
    """
    receiving = asyncio.ensure_future(receive_reply(call))
    reply: object = None
    try:
        reply = await _await_either(receiving, retry, deadline)
    finally:
        receiving.cancel()
        if not isinstance(reply, RoutedResponse):
            retry.cancel()
            retry.add_done_callback(_close_response)
    return reply


async def _await_either(
    receiving: asyncio.Future[object], retry: Retry, deadline: float
) -> object:
    await asyncio.wait((receiving, retry), return_when=asyncio.FIRST_COMPLETED)
    if _has_responded(receiving):
        return receiving.result()
    response, failure = await _outcome_of(retry)
    if response is not None:
        if response.status < STATUS_SERVER_ERROR:
            return response
        return await _receive_or(response, receiving, deadline)
    reply = await receiving
    if failure is not None and not isinstance(reply, ttypes.AnswerOpen):
        raise failure
    return reply


async def _receive_or(
    response: RoutedResponse,
    receiving: asyncio.Future[object],
    deadline: float,
) -> object:
    """Return the response of a run, else that of its failed retry."""
    left_s = deadline - asyncio.get_running_loop().time()
    await asyncio.wait((receiving,), timeout=max(left_s, 0))
    if not receiving.done():
        return response
    try:
        reply = receiving.result()
    except PeerUnavailable as exc:
        logger.bind(event='run_lost').debug('{}', exc)
        return response
    return reply if isinstance(reply, ttypes.AnswerOpen) else response


async def _outcome_of(
    retry: Retry,
) -> tuple[RoutedResponse | None, RequestUnknown | None]:
    """Return the response of a retry, or why it may have run without one."""
    try:
        return await retry, None
    except RequestNotRun as exc:
        logger.bind(event='retry_refused').debug('{}', exc)
        return None, None
    except RequestUnknown as exc:
        return None, exc
    except Exception as exc:
        # It is logged when the retry is dropped.
        return None, RequestUnknown(repr(exc), step='retry')


def _has_responded(receiving: asyncio.Future[object]) -> bool:
    return (
        receiving.done()
        and receiving.exception() is None
        and isinstance(receiving.result(), ttypes.AnswerOpen)
    )


def _close_response(retry: Retry) -> None:
    if retry.cancelled():
        return
    exc = retry.exception()
    if exc is None:
        retry.result().close()
    elif not isinstance(exc, FilbertdriftError):
        logger.bind(event='request_failed', request=retry.get_name()).opt(
            exception=exc
        ).error('a retry has failed')
