"""Counts the requests of each account that enter at a node, within bounds."""

from collections.abc import Mapping
from dataclasses import dataclass

# Scrapes stay small also with 100,000 accounts.
MAX_SHOWN = 20
# The deployment with accounts has 75; 1,000 take about 0.2 MB.
MAX_TRACKED = 1000
REST = '(rest)'


@dataclass(slots=True)
class AccountCounts:
    """Requests of one account with a key that was honoured.

    Args:
        requests: All of them.
        over_limit: Those that the limit of the account refused.
        not_run: Those that no target ran for another reason.
    """

    requests: int = 0
    over_limit: int = 0
    not_run: int = 0

    def add(self, other: 'AccountCounts') -> None:
        """Add the counts of another account."""
        self.requests += other.requests
        self.over_limit += other.over_limit
        self.not_run += other.not_run


class AccountUsage:
    """The counts of the accounts whose requests enter at this node.

    Accounts beyond the first MAX_TRACKED are counted together.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._counts: dict[str, AccountCounts] = {}
        self._others = AccountCounts()

    def find(self, account: str) -> AccountCounts:
        """Return the counts of an account, to be increased.

        Args:
            account: The name of the account.
        """
        counts = self._counts.get(account)
        if counts is None:
            if len(self._counts) >= MAX_TRACKED:
                return self._others
            counts = AccountCounts()
            self._counts[account] = counts
        return counts

    def largest(self) -> Mapping[str, AccountCounts]:
        """Return the counts of the accounts with most requests, and the rest.

        Returns:
            Counts by name, of at most MAX_SHOWN accounts, and under REST the
            sum of all others; nothing before the first request.
        """
        if not self._counts:
            return {}
        names = sorted(
            self._counts,
            key=lambda name: self._counts[name].requests,
            reverse=True,
        )
        shown = {name: self._counts[name] for name in names[:MAX_SHOWN]}
        rest = AccountCounts()
        rest.add(self._others)
        for name in names[MAX_SHOWN:]:
            rest.add(self._counts[name])
        return {**shown, REST: rest}
