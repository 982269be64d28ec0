"""Runs a node that is broken in one way, for the soak to notice.

Start it as `python -m tests.broken_daemon VARIANT`.
"""

import sys
from collections.abc import Callable, Mapping

from filbertdrift import dispatch, lifecycle, target_attempt, target_run
from filbertdrift.config_holder import ConfigHolder
from filbertdrift.errors import RequestNotRun, RequestUnknown
from filbertdrift.platform import daemon


def repeat_writes() -> None:
    """Repeat what may have run, whatever its kind."""

    def always(self: object, routed: object, target_attempts: int) -> bool:
        return target_attempts < 3

    dispatch.Dispatcher._may_retry_unknown = always  # type: ignore[method-assign]


def lie_not_run() -> None:
    """Say "not run" of requests whose outcome is unknown."""
    tried = dispatch.Dispatcher.dispatch

    async def lying(
        self: dispatch.Dispatcher,
        routed: target_attempt.RoutedRequest,
    ) -> object:
        try:
            return await tried(self, routed)
        except RequestUnknown as exc:
            raise RequestNotRun(exc.reason, retry_after_ms=100) from exc

    dispatch.Dispatcher.dispatch = lying  # type: ignore[method-assign]


def ignore_leaving() -> None:
    """Hand requests to a target that has announced its departure."""
    lifecycle.TargetLifecycle._start_departure = _ignore  # type: ignore[method-assign]


def _ignore(lives: object, heartbeat: object) -> None:
    """Do nothing."""


def keep_first_config() -> None:
    """Stay with the first configuration."""
    taken = ConfigHolder.offer

    def staying(self: ConfigHolder, document: bytes, source: str) -> bool:
        return self.config is None and taken(self, document, source)

    ConfigHolder.offer = staying  # type: ignore[method-assign]


def cross_answers() -> None:
    """Give a caller the body of the answer before its own."""
    passed = target_run.TargetRun._forward_response
    bodies = [b'']

    async def crossing(
        self: object,
        head: object,
        part: object,
        load: int,
    ) -> None:
        before, bodies[0] = bodies[0], part.chunk
        if len(before) == len(part.chunk):
            part = type(part)(before, part.end)
        await passed(self, head, part, load)

    target_run.TargetRun._forward_response = crossing


VARIANTS: Mapping[str, Callable[[], None]] = {
    'repeat_writes': repeat_writes,
    'lie_not_run': lie_not_run,
    'ignore_leaving': ignore_leaving,
    'keep_first_config': keep_first_config,
    'cross_answers': cross_answers,
}

if __name__ == '__main__':
    VARIANTS[sys.argv[1]]()
    daemon.main()
