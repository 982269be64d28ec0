"""Errors of filbertdrift and the exit codes of the command line.

Each error carries the operation and the peer that failed.
"""

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
        reason: A description of the failure.
        step: The operation that failed.
        peer: Address or name of the peer involved; empty if there is none.
    """

    exit_code: ClassVar[int] = EXIT_FAILED

    def __init__(self, reason: str, *, step: str = '', peer: str = '') -> None:
        """Store the reason, the operation and the peer."""
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the step, the peer and the reason as one line."""
        context = ' '.join(part for part in (self.step, self.peer) if part)
        return f'{context}: {self.reason}' if context else self.reason


class SettingsError(FilbertdriftError):
    """The settings of a process are invalid; the reason lists all errors."""

    exit_code = EXIT_USAGE


class ConfigInvalid(FilbertdriftError):
    """A folder of configuration files is invalid."""

    exit_code = EXIT_REFUSED


class LogUnavailable(FilbertdriftError):
    """A call to the log failed; an append was certainly not applied."""

    exit_code = EXIT_UNAVAILABLE


class LogAnswerLost(LogUnavailable):
    """The log sent no usable response; an append may have been applied."""


class LogGap(FilbertdriftError):
    """The next records of a stream are missing or have expired."""


class PeerUnavailable(FilbertdriftError):
    """A peer cannot be reached or broke the connection."""

    exit_code = EXIT_UNAVAILABLE


class MalformedMessage(FilbertdriftError):
    """Bytes received from another process are not a valid message."""


class UnsendableMessage(FilbertdriftError):
    """A message cannot be encoded; nothing of it was sent."""


class RulesUnknown(FilbertdriftError):
    """The configuration needs a later version of the validation rules."""


class ChangeRefused(FilbertdriftError):
    """A published change was refused, for the given reason."""

    exit_code = EXIT_REFUSED


class RequestNotRun(FilbertdriftError):
    """A request was certainly not run by a target.

    Args:
        reason: Why it was not run.
        retry_after_ms: Retry-after delay for the caller.
        step: The operation that refused the request.
        peer: The node or target that refused it.
        status: The HTTP status of the response to the caller.
        is_rate_limited: The target has reached the limit that it states, so
            the refusal does not mean that it fails.
    """

    def __init__(
        self,
        reason: str,
        *,
        retry_after_ms: int,
        step: str = '',
        peer: str = '',
        status: int = STATUS_UNAVAILABLE,
        is_rate_limited: bool = False,
    ) -> None:
        """Store the reason, the retry-after delay and the status."""
        super().__init__(reason, step=step, peer=peer)
        self.retry_after_ms = retry_after_ms
        self.status = status
        self.is_rate_limited = is_rate_limited


class NoFreeSlot(RequestNotRun):
    """No slot is free for a request that must not wait in the queue."""


class RequestUnknown(FilbertdriftError):
    """A request was handed over and its outcome is unknown."""
