"""Shares of client accounts in the slot time of a gate (fair queueing)."""

from dataclasses import dataclass

# Accounts kept at most beside the active ones, to remember those that are over
# their share. Configurations have up to a few hundred accounts.
MAX_INACTIVE = 256
# An account without a rate still gets some service.
MIN_WEIGHT = 0.001


@dataclass(slots=True)
class _Account:
    """One account: its weight, service by weight and active requests."""

    weight: float
    used_s: float
    active: int = 0


class AccountShares:
    """Tracks how much slot time each account has used, by its weight.

    The virtual time advances by the cost of each started request, divided by
    the weights of the accounts that have waiting or running requests. An
    account that gets its share keeps up with it. Requests without an account
    take part in no share.
    """

    def __init__(self) -> None:
        """Start without accounts."""
        self._virtual_s = 0.0
        self._active_weight = 0.0
        self._accounts: dict[str, _Account] = {}

    def __len__(self) -> int:
        """Return the number of accounts kept."""
        return len(self._accounts)

    def enter(self, name: str, weight: float) -> None:
        """Count a request that waits or runs.

        Args:
            name: Its account, empty for none.
            weight: The account's weight.
        """
        if not name:
            return
        account = self._accounts.get(name)
        if account is None:
            account = _Account(max(weight, MIN_WEIGHT), self._virtual_s)
            self._accounts[name] = account
        if not account.active:
            account.weight = max(weight, MIN_WEIGHT)
            account.used_s = max(account.used_s, self._virtual_s)
            self._active_weight += account.weight
        account.active += 1

    def leave(self, name: str) -> None:
        """Count a request that waits or runs no more."""
        account = self._accounts.get(name)
        if account is None or not account.active:
            return
        account.active -= 1
        if account.active:
            return
        self._active_weight -= account.weight
        if account.used_s <= self._virtual_s:
            self._accounts.pop(name)
        elif len(self._accounts) > MAX_INACTIVE:
            self._remove_inactive()

    def charge(self, name: str, cost_s: float) -> None:
        """Charge an active account for a request that starts.

        Args:
            name: The account, empty for none.
            cost_s: The expected service time of the request.
        """
        account = self._accounts.get(name)
        if account is None:
            return
        account.used_s += cost_s / account.weight
        self._virtual_s += cost_s / max(self._active_weight, account.weight)

    def over_s(self, name: str) -> float:
        """Return the slot time by which an account is over its share."""
        account = self._accounts.get(name)
        if account is None:
            return 0
        over_s = (account.used_s - self._virtual_s) * account.weight
        return max(over_s, 0)

    def _remove_inactive(self) -> None:
        """Forget the inactive account that is least over its share."""
        inactive = [
            name for name, known in self._accounts.items() if not known.active
        ]
        if len(inactive) > MAX_INACTIVE:
            self._accounts.pop(min(inactive, key=self.over_s))
