"""Where a request is counted against the limit of its account."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from filbertdrift.accounts.directory import ClientAccount
from filbertdrift.accounts.usage import AccountUsage
from filbertdrift.errors import RequestNotRun
from filbertdrift.routed import RoutedRequest, RoutedResponse


class AccountLimiter(Protocol):
    """Limits the requests of accounts."""

    async def take(self, account: ClientAccount, deadline: float) -> None:
        """Count a request of an account.

        Args:
            account: The account.
            deadline: When the caller gives up, on the loop's clock.

        Raises:
            RequestNotRun: The account is over its limit; the status is 429.
        """

    def give_back(self, account: ClientAccount) -> None:
        """Stop counting a request that has not run and will not.

        Args:
            account: The account, as given to take.
        """


async def dispatch_within_limit(
    limiter: AccountLimiter,
    usage: AccountUsage,
    routed: RoutedRequest,
    dispatch: Callable[[RoutedRequest], Awaitable[RoutedResponse]],
) -> RoutedResponse:
    """Return the response to a request, if its account is within its limit.

    Args:
        limiter: Limits the requests of accounts.
        usage: Counts the requests of accounts.
        routed: The request; without an account it has no limit.
        dispatch: Sends the request to a target.

    Raises:
        RequestNotRun: No target ran it; it does not count.
        RequestUnknown: A target may have run it.
    """
    req = routed.req
    account = req.account
    if account is None:
        return await dispatch(routed)
    counts = usage.find(account.name)
    counts.requests += 1
    try:
        await limiter.take(account, req.deadline)
    except RequestNotRun:
        counts.over_limit += 1
        raise
    try:
        return await dispatch(routed)
    except RequestNotRun:
        counts.not_run += 1
        limiter.give_back(account)
        raise
    except (asyncio.CancelledError, Exception):
        if not req.may_have_run:
            limiter.give_back(account)
        raise
