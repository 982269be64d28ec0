"""Client accounts as the configuration defines them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account.

    Args:
        name: The account's name.
        rank: The priority of its requests; zero is the most urgent.
        rate_per_s: Requests a second over all nodes, 0 for no limit.
        burst: Requests that it may send at once in addition.
    """

    name: str
    rank: int
    rate_per_s: float
    burst: float
