"""Errors of filbertdrift, each with the step and the peer that failed."""

from typing import ClassVar

STATUS_UNAVAILABLE = 503

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3
EXIT_REFUSED = 4


class FilbertdriftError(Exception):
    """Base of all errors.

    Args:
        reason: What went wrong, for a person.
        step: The operation during which it went wrong.
        peer: The address or name of the other side, empty if there is none.
    """

    exit_code: ClassVar[int] = EXIT_FAILED

    def __init__(self, reason: str, *, step: str = '', peer: str = '') -> None:
        """Keep the reason, the step and the peer."""
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return one line with step, peer and reason."""
        place = ' '.join(part for part in (self.step, self.peer) if part)
        return f'{place}: {self.reason}' if place else self.reason


class SettingsError(FilbertdriftError):
    """The settings of a process are invalid; the reason lists all errors."""

    exit_code = EXIT_USAGE


class ConfigInvalid(FilbertdriftError):
    """A folder of configuration files is invalid."""

    exit_code = EXIT_REFUSED


class LogUnavailable(FilbertdriftError):
    """The log did not take the call; an append certainly had no effect."""

    exit_code = EXIT_UNAVAILABLE


class LogAnswerLost(LogUnavailable):
    """The log did not answer; an append may have had its effect."""


class LogGap(FilbertdriftError):
    """Records between the asked and the earliest kept offset have expired."""


class PeerUnavailable(FilbertdriftError):
    """Another node cannot be reached or broke the connection."""

    exit_code = EXIT_UNAVAILABLE


class MalformedMessage(FilbertdriftError):
    """Bytes from another process are not a valid message."""


class RulesUnknown(FilbertdriftError):
    """The configuration needs validation rules that this program lacks."""


class ChangeRefused(FilbertdriftError):
    """A published change was refused; the reason says why."""

    exit_code = EXIT_REFUSED


class RequestNotRun(FilbertdriftError):
    """A request was certainly not handed to a target.

    Args:
        reason: Why it was not run.
        retry_after_ms: When the caller may try again, from now.
        step: The operation that refused.
        peer: The node or target that refused.
        status: The HTTP status that says so.
    """

    def __init__(
        self,
        reason: str,
        *,
        retry_after_ms: int,
        step: str = '',
        peer: str = '',
        status: int = STATUS_UNAVAILABLE,
    ) -> None:
        """Keep the reason and the retry-after delay."""
        super().__init__(reason, step=step, peer=peer)
        self.retry_after_ms = retry_after_ms
        self.status = status


class NoFreeSlot(RequestNotRun):
    """A request that was not to wait would have had to wait for a slot."""


class RequestUnknown(FilbertdriftError):
    """A request was handed over and its outcome is not known."""
