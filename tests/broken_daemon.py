"""Runs a node with one deliberate fault, which the soak test must detect.

Start it as `python -m tests.broken_daemon VARIANT`.
"""

import sys
from collections.abc import Callable, Mapping

from filbertdrift import (
    contract,
    dispatch,
    http1,
    lifecycle,
    target_attempt,
    target_run,
    targetlimit,
)
from filbertdrift.callerport import CallerConnection
from filbertdrift.callstream import CallStream
from filbertdrift.config_holder import ConfigHolder
from filbertdrift.errors import RequestNotRun, RequestUnknown
from filbertdrift.hedge import Retry
from filbertdrift.platform import daemon
from filbertdrift.routed import RoutedResponse


def repeat_writes() -> None:
    """Retry requests that may have run, also non-idempotent ones."""

    def always(self: object, routed: object, target_attempts: int) -> bool:
        return target_attempts < 3

    dispatch.Dispatcher._may_retry_unknown = always  # type: ignore[method-assign]


def lie_not_run() -> None:
    """Report requests with unknown outcome as not run."""
    tried = dispatch.Dispatcher.dispatch

    async def dispatch_as_not_run(
        self: dispatch.Dispatcher,
        routed: target_attempt.RoutedRequest,
    ) -> object:
        try:
            return await tried(self, routed)
        except RequestUnknown as exc:
            raise RequestNotRun(exc.reason, retry_after_ms=100) from exc

    dispatch.Dispatcher.dispatch = dispatch_as_not_run  # type: ignore[method-assign]


def ignore_leaving() -> None:
    """Hand over requests to a target that has announced its departure."""
    lifecycle.TargetLifecycle._start_departure = _ignore  # type: ignore[method-assign]


def _ignore(target_lifecycle: object, heartbeat: object) -> None:
    """Do nothing."""


def keep_first_config() -> None:
    """Reject every configuration but the first."""
    original = ConfigHolder.offer

    def offer_once(self: ConfigHolder, document: bytes, source: str) -> bool:
        return self.config is None and original(self, document, source)

    ConfigHolder.offer = offer_once  # type: ignore[method-assign]


def cross_answers() -> None:
    """Send the body of the previous response if the lengths are equal."""
    original = target_run.TargetRun._forward_response
    bodies = [b'']

    async def forward_previous(
        self: object,
        head: object,
        part: object,
    ) -> None:
        before, bodies[0] = bodies[0], part.chunk
        if len(before) == len(part.chunk):
            part = type(part)(before, part.end)
        await original(self, head, part)

    target_run.TargetRun._forward_response = forward_previous


def ignore_limits() -> None:
    """Pass as many requests on to a target as it has slots."""
    targetlimit.TargetLimit.record = _ignore_limit  # type: ignore[method-assign]


def _ignore_limit(limit: object, per_s: float | None, sent_at: float) -> None:
    """Do nothing."""


def ignore_stated_leaving() -> None:
    """Take note of departures in heartbeats only."""
    original = contract.parse_statement

    def parse_limit(
        headers: http1.Headers, names: contract.HeaderNames
    ) -> contract.TargetStatement:
        return contract.TargetStatement(original(headers, names).limit_per_s)

    target_run.parse_statement = parse_limit


def give_up_overdue_runs() -> None:
    """Give up each overdue run for its retry, which may be refused."""

    async def await_retry(call: CallStream, retry: Retry) -> RoutedResponse:
        try:
            return await retry
        except RequestNotRun as exc:
            raise RequestUnknown(exc.reason, step=exc.step) from exc

    target_attempt.await_first = await_retry


def close_after_refusals() -> None:
    """Close connections while the bodies of refused requests arrive."""
    CallerConnection._linger = _end_at_once  # type: ignore[method-assign]


async def _end_at_once(conn: CallerConnection) -> None:
    """Read nothing."""


VARIANTS: Mapping[str, Callable[[], None]] = {
    'repeat_writes': repeat_writes,
    'lie_not_run': lie_not_run,
    'ignore_leaving': ignore_leaving,
    'keep_first_config': keep_first_config,
    'cross_answers': cross_answers,
    'ignore_limits': ignore_limits,
    'ignore_stated_leaving': ignore_stated_leaving,
    'give_up_overdue_runs': give_up_overdue_runs,
    'close_after_refusals': close_after_refusals,
}

if __name__ == '__main__':
    VARIANTS[sys.argv.pop(1)]()
    daemon.main()
