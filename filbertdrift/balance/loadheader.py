"""What a target states of its load with responses and health checks."""

import re
from dataclasses import dataclass

from loguru import logger

MAX_LOGGED_CHARS = 40
# One line for all malformed values in this time.
LOG_INTERVAL_S = 10.0
# Beyond these bounds a slowdown says nothing about the work of the target.
MIN_SLOWDOWN_PERCENT = 10
MAX_SLOWDOWN_PERCENT = 2000

# Figures in a fixed order, apart by commas, semicolons, slashes or spaces; each
# may have its name before it.
_FIGURE = r'(?:[a-z_-]+\s*[=:]\s*)?(\d{1,6})(?:\.\d{1,6})?\s*%?'
_APART = r'(?:\s*[,;/]\s*|\s+)'
_STATEMENT = re.compile(
    rf'\s*{_FIGURE}{_APART}{_FIGURE}{_APART}{_FIGURE}(?:{_APART}{_FIGURE})?\s*',
    re.ASCII | re.IGNORECASE,
)


@dataclass(frozen=True, slots=True)
class LoadStatement:
    """The load that a target states.

    Args:
        running: Requests that it runs.
        waiting: Requests that wait at it.
        slots: Requests that it can run at a time.
        slowdown_percent: How long work takes now in percent of the usual, None
            if it states none.
    """

    running: int
    waiting: int
    slots: int
    slowdown_percent: int | None = None


class LoadHeaderParser:
    """Parses the load header; logs malformed values at a bounded rate."""

    def __init__(self) -> None:
        """Start without malformed values."""
        self.malformed = 0
        self._logged_at = float('-inf')

    def parse(self, text: str, now: float) -> LoadStatement | None:
        """Return the load that a header states, None if it is malformed.

        Args:
            text: The value of the header.
            now: The time on the event loop's clock.
        """
        match = _STATEMENT.fullmatch(text)
        if match is None:
            self._log_malformed(text, now)
            return None
        running, waiting, slots, percent = match.groups()
        slowdown_percent = None
        if percent is not None:
            slowdown_percent = min(
                max(int(percent), MIN_SLOWDOWN_PERCENT), MAX_SLOWDOWN_PERCENT
            )
        return LoadStatement(
            int(running), int(waiting), int(slots), slowdown_percent
        )

    def _log_malformed(self, text: str, now: float) -> None:
        self.malformed += 1
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        logger.bind(
            event='target_load_malformed', malformed=self.malformed
        ).warning('a target states a malformed load: {!r}', _shorten(text))


def _shorten(text: str) -> str:
    return text[:MAX_LOGGED_CHARS]
