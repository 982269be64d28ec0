"""Load on the gates and ingress nodes of `balance_model`."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Kind:
    """Requests of one kind.

    Args:
        work_s: Mean work at a target of speed 1.
        objective_s: Its latency objective.
        share: Share of all requests.
        route: Its route; kinds of one route look alike there.
        path: The shape of its path.
        tail_share: Share of requests that take tail_times the mean.
        tail_times: See tail_share.
        response_bytes: Length of its responses.
    """

    work_s: float
    objective_s: float
    share: float = 1.0
    route: str = 'read'
    path: str = '/read/*'
    tail_share: float = 0.0
    tail_times: float = 7.0
    response_bytes: int = 300

    def draw_work_s(self, rng: random.Random) -> float:
        """Return the work of one request."""
        usual = (1 - self.tail_share * self.tail_times) / (1 - self.tail_share)
        is_long = rng.random() < self.tail_share
        times = self.tail_times if is_long else usual
        return rng.gammavariate(4, times * self.work_s / 4)


@dataclass(frozen=True)
class Pattern:
    """A fleet and the load on it.

    Args:
        kinds: Kinds of requests.
        speeds: Speeds of the targets of each domain.
        load: Rate in a domain at a time, as a multiple of the capacity.
        factor: How many times as long work takes at a target at a time.
        nodes: Ingress nodes of each domain.
        slots: Slots of each target.
        duration_s: How long requests arrive.
        report_delay_s: By how much reports are late.
        link_mbps: Links of the targets of each domain, 0 for no limit.
        is_varying: Whether the factor changes.
        joins_at: When each domain's last target joins, None for at the start.
        burst: Requests of the first kind that come at once in each domain.
        burst_interval_s: The time between bursts.
    """

    kinds: Sequence[Kind]
    speeds: Sequence[float] = (1.0, 1.0, 1.0, 1.0)
    load: Callable[[str, float], float] = lambda domain, now: 0.7
    factor: Callable[[int, float], float] = lambda number, now: 1.0
    nodes: int = 6
    slots: int = 3
    duration_s: float = 24.0
    report_delay_s: float = 0.0
    link_mbps: Sequence[float] = ()
    joins_at: float | None = None
    is_varying: bool = False
    burst: int = 0
    burst_interval_s: float = 3.0


@dataclass
class Tally:
    """Requests that were sent, that ended in time, and that left the domain."""

    sent: int = 0
    in_time: int = 0
    far: int = 0
