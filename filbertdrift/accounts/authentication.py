"""Decides at the ingress whose request it is, by the key that it carries.

With strict revocation, a node honours keys only while its evidence that its
configuration is the newest is young: a key may have been withdrawn since.
docs/design/accounts.md has the argument about the times.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from filbertdrift.accounts.directory import AccountDirectory, ClientAccount
from filbertdrift.accounts.startlimit import NO_LIMIT
from filbertdrift.config_holder import ConfigHolder
from filbertdrift.errors import FilbertdriftError, RequestNotRun
from filbertdrift.freshness import Freshness
from filbertdrift.http1 import Headers
from filbertdrift.pause import read_suspended_s
from filbertdrift.request import IngressRequest
from filbertdrift.routing import PrefixRoute

# Evidence may be older than its age says by the constant delay of a link (up to
# 0.55 s in tests), and a checked request has to reach its target.
CHECK_MARGIN_S = 1.0
# Constant delay of a link on the way to the target (up to 0.27 s in tests).
START_MARGIN_S = 0.5
# Readings of the two clocks that differ by the suspended time are not taken at
# the same moment.
MIN_SUSPENSION_S = 0.05
# Until then, evidence that waited in buffers meanwhile looks too young; as
# after a pause.
RESUME_SETTLE_S = 1.0
# New evidence arrives within the longest poll of a reader, 3 s, mostly sooner.
RETRY_AFTER_MS = 300

_STEP = 'authenticate'


class UnknownKey(FilbertdriftError):
    """No account has the key of a request."""


class OutdatedEvidence(RequestNotRun):
    """A change of the accounts may be in force that this node lacks."""


@dataclass(frozen=True, slots=True)
class Permission:
    """Permission to run a request.

    Args:
        account: Whose request it is, None for a request without a key.
        start_by: No target may be handed it later, on the loop's clock.
    """

    account: ClientAccount | None = None
    start_by: float = NO_LIMIT


@dataclass(slots=True)
class AuthenticationCounters:
    """Requests with a key, by what became of it."""

    honoured: int = 0
    unknown_keys: int = 0
    outdated: int = 0


class Authenticator:
    """Finds the account of a request, or refuses its key.

    Args:
        holder: Holds the configuration in force.
        freshness: The evidence that it is the newest.
        key_header: The name of the header with the key.
        config_apply_s: How long after its acknowledgement a change may take to
            be in force everywhere.
        revoke_s: How long after that a withdrawn key may be honoured, None if
            the configuration in force counts, however old it is.
        suspended_s: Returns for how long the machine was suspended since boot.
    """

    def __init__(
        self,
        holder: ConfigHolder,
        freshness: Freshness,
        key_header: bytes,
        config_apply_s: float,
        revoke_s: float | None,
        suspended_s: Callable[[], float] = read_suspended_s,
    ) -> None:
        """Start without a request."""
        self.counters = AuthenticationCounters()
        self._holder = holder
        self._freshness = freshness
        self._key_header = key_header
        self._config_apply_s = config_apply_s
        self._revoke_s = revoke_s
        self._suspended_s = suspended_s
        self._last_suspended_s = suspended_s()
        # Evidence of earlier times does not count for strict revocation.
        self._trusted_from = float('-inf')

    def check(
        self, headers: Headers, route: PrefixRoute
    ) -> ClientAccount | None:
        """Return the account of a request.

        Args:
            headers: The headers of the request.
            route: Its route.

        Returns:
            None without a key, on an exempt route, and if the configuration
            has no accounts.

        Raises:
            UnknownKey: No account has its key.
            OutdatedEvidence: A change may be in force that this node lacks.
        """
        permission = self.permit(headers, route)
        return permission.account if permission else None

    def permit(self, headers: Headers, route: PrefixRoute) -> Permission | None:
        """Return the account of a request and when it must have started.

        Args:
            headers: The headers of the request.
            route: Its route.

        Returns:
            None if the configuration has no accounts.

        Raises:
            UnknownKey: No account has its key.
            OutdatedEvidence: A change may be in force that this node lacks.
        """
        config = self._holder.config
        directory = config.accounts if config else None
        if directory is None:
            return None
        keys = [text for name, text in headers if name == self._key_header]
        if not keys or route.is_auth_exempt:
            return _NO_KEY
        now = asyncio.get_running_loop().time()
        start_by = self._find_start_by(now)
        account = _find_account(directory, keys)
        if account is None:
            raise self._refuse()
        self.counters.honoured += 1
        return Permission(account, start_by)

    def _find_start_by(self, now: float) -> float:
        """Return when a request must have started whose key is honoured now.

        Raises:
            OutdatedEvidence: No key may be honoured now.
        """
        if self._revoke_s is None:
            return NO_LIMIT
        self._check_suspension(now)
        confirmed_at = now - self._freshness.revocation_age_s()
        is_trusted = confirmed_at >= self._trusted_from
        if is_trusted and now < confirmed_at + self._revoke_s - CHECK_MARGIN_S:
            return confirmed_at + self._revoke_s - START_MARGIN_S
        self.counters.outdated += 1
        raise OutdatedEvidence(
            'keys may have been withdrawn since this node last heard',
            retry_after_ms=RETRY_AFTER_MS,
            step=_STEP,
        )

    def _check_suspension(self, now: float) -> None:
        """Notice suspensions, which the age of the evidence lacks.

        The last reading is kept until then, so that short ones add up.
        """
        suspended_s = self._suspended_s()
        if suspended_s > self._last_suspended_s + MIN_SUSPENSION_S:
            self._last_suspended_s = suspended_s
            self._trusted_from = now + RESUME_SETTLE_S

    def _refuse(self) -> UnknownKey | OutdatedEvidence:
        """Return the error of an unknown key, which may be a new one."""
        holder = self._holder
        is_behind = holder.announced_version > holder.version
        if is_behind or self._freshness.age_s() > self._config_apply_s:
            self.counters.outdated += 1
            return OutdatedEvidence(
                'unknown key, but the accounts here may be outdated',
                retry_after_ms=RETRY_AFTER_MS,
                step=_STEP,
            )
        self.counters.unknown_keys += 1
        return UnknownKey('unknown key', step=_STEP)


_NO_KEY = Permission()


def identify(
    directory: AccountDirectory, headers: Headers, key_header: bytes
) -> ClientAccount | None:
    """Return the account of a request, without regard to any evidence.

    Args:
        directory: The accounts.
        headers: The headers of the request.
        key_header: The name of the header with the key.

    Returns:
        None without a key.

    Raises:
        UnknownKey: No account has its key.
    """
    keys = [text for name, text in headers if name == key_header]
    account = _find_account(directory, keys)
    if keys and account is None:
        raise UnknownKey('unknown key', step=_STEP)
    return account


def replace_key(
    req: IngressRequest,
    account: ClientAccount | None,
    key_header: bytes,
    account_header: bytes,
) -> None:
    """Drop the key and what the caller says of its account; add the account.

    Args:
        req: The request.
        account: Its account, None without a key.
        key_header: The name of the header with the key.
        account_header: The name of the header with the account.
    """
    req.headers = [
        header
        for header in req.headers
        if header[0] not in {key_header, account_header}
    ]
    add_account(req, Permission(account), account_header)


def add_account(
    req: IngressRequest, permission: Permission, header: bytes
) -> None:
    """Add the account to a request, as nodes and the target see it.

    Args:
        req: The request.
        permission: The permission to run it.
        header: The name of the header with the account, for the target.
    """
    req.start_by = permission.start_by
    account = permission.account
    if account is not None:
        req.account = account
        req.client_account = account.name
        req.headers.append((header, account.name.encode()))


def _find_account(
    directory: AccountDirectory, keys: list[bytes]
) -> ClientAccount | None:
    """Return the account of the only key, None for more or an empty one."""
    return directory.find(keys[0]) if len(keys) == 1 else None
