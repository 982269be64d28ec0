"""Requests that wait for a slot of a target, and what all queues share."""

import asyncio
import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from filbertdrift.balance.estimate import CostEstimate, RequestFeatures
from filbertdrift.balance.kindcost import KindCosts
from filbertdrift.errors import RequestNotRun
from filbertdrift.targetlimit import TargetLimit

# Estimates assume that preceding classes leave at least this share of slots.
MIN_REMAINING_SHARE = 0.1
# Share of the slot time that each priority with requests gets, so that more
# urgent ones do not starve it.
GUARANTEED_SHARE = 0.15
# Decay of the slot time used by each priority, for each admitted request.
PRIORITY_TIME_DECAY = 0.99
# Longest expected wait of a late request, as a share of the time to its latest
# start.
LATE_WAIT_SHARE = 0.5
# Limit of queued requests per slot; a target with more is certainly too slow.
QUEUE_PER_SLOT = 4

NO_COST = CostEstimate(0, 0)


@dataclass(slots=True)
class SlotRequest:
    """A request for one of the target's slots.

    Args:
        rank: The priority; zero is the most urgent.
        kind: Requests of one kind have about the same service time.
        objective_at: When its latency objective ends, on the loop's clock.
        deadline: When the caller gives up, on the loop's clock.
        may_wait: It may be queued until a slot is free.
        account: The client account, empty if there is none.
        weight: The account's weight in the order of a priority.
        is_nested: A target makes it while it runs another request.
        is_idempotent: It may run more than once.
        features: What its cost is estimated from, None for its kind alone.
    """

    rank: int
    kind: str
    objective_at: float
    deadline: float
    may_wait: bool = True
    account: str = ''
    weight: float = 1.0
    is_nested: bool = False
    is_idempotent: bool = True
    features: RequestFeatures | None = None

    def cost_features(self) -> RequestFeatures:
        """Return what the cost of the request is estimated from."""
        if self.features is None:
            self.features = RequestFeatures(self.kind)
        return self.features


class PriorityClass(NamedTuple):
    """Class in the queue: by priority; within it, in time before late."""

    rank: int
    misses_objective: bool


@dataclass(order=True, slots=True)
class Waiter:
    """A queued request, ordered by class, latest start and arrival.

    Args:
        priority_class: Its class when it came.
        latest_start: When it has to start to meet the objective or, if it is
            late, the deadline.
        number: Increases with each arrival.
        req: The request.
        admitted: Done when it has a slot or is refused.
        cost: Its expected service time.
    """

    priority_class: PriorityClass
    latest_start: float
    number: int
    req: SlotRequest = field(compare=False)
    admitted: asyncio.Future[None] = field(compare=False)
    cost: CostEstimate = field(compare=False, default=NO_COST)


@dataclass(frozen=True, slots=True)
class Run:
    """A request that holds a slot."""

    req: SlotRequest
    started_at: float


@dataclass(slots=True)
class ObjectiveGateCounters:
    """Counters of a gate."""

    admitted: int = 0
    queued: int = 0
    refused: int = 0
    not_free: int = 0
    displaced: int = 0
    expired: int = 0
    held_back: int = 0


@dataclass(slots=True)
class GateCapacity:
    """What the queues of a gate share.

    Args:
        slots: How many requests the target runs at a time.
        limit: The rate of requests that the target takes.
        kinds: Service times by kind.
        counters: Counters of the gate.
        refuse: Counts and returns a refusal for a reason.
        closes_at: When the gate closes, on the loop's clock.
        runs: The requests that hold a slot.
        numbers: Numbers the waiters of all queues of the gate.
    """

    slots: int
    limit: TargetLimit
    kinds: KindCosts
    counters: ObjectiveGateCounters
    refuse: Callable[[str], RequestNotRun]
    closes_at: float = float('inf')
    runs: list[Run] = field(default_factory=list)
    numbers: 'itertools.count[int]' = field(default_factory=itertools.count)


class AdmissionQueue(ABC):
    """Order of the requests that wait for a slot, and who is refused.

    Args:
        capacity: The capacity of the gate.

    Attributes:
        waiters: The queued requests.
    """

    def __init__(self, capacity: GateCapacity) -> None:
        """Start empty."""
        self.waiters: list[Waiter] = []
        self.capacity = capacity

    @abstractmethod
    def check(self, req: SlotRequest, now: float) -> None:
        """Check that a request can be served in time.

        Raises:
            RequestNotRun: It would wait too long.
        """

    @abstractmethod
    def add(self, req: SlotRequest, now: float) -> Waiter:
        """Queue a request.

        Raises:
            RequestNotRun: It would wait too long, or the queue is full.
        """

    @abstractmethod
    def pop(self, now: float) -> Waiter | None:
        """Remove and return the next waiter, None if none may start now."""

    @abstractmethod
    def prune(self, now: float) -> None:
        """Refuse waiters that would come too late."""

    @abstractmethod
    def on_limit(self, now: float) -> None:
        """Refuse the waiters whose turn within the new limit is too late."""

    @abstractmethod
    def latest_start(self, req: SlotRequest) -> float:
        """Return when a request has to start to meet its deadline."""

    @abstractmethod
    def record_start(
        self, req: SlotRequest, priority_class: PriorityClass
    ) -> None:
        """Record that a request starts."""

    def record_end(self, req: SlotRequest) -> None:  # noqa: B027
        """Record that a request which had started has ended."""

    @abstractmethod
    def take_over(self, waiters: Sequence[Waiter]) -> None:
        """Queue the waiters of another queue of the gate."""

    def withdraw(self, waiter: Waiter) -> bool:
        """Remove a waiter whose request is given up.

        Returns:
            Whether it was queued.
        """
        if waiter not in self.waiters:
            return False
        self.waiters.remove(waiter)
        return True

    @abstractmethod
    def drain_s(self) -> float:
        """Return how long the target needs for the queue."""

    def start_delay_s(self, now: float) -> float:
        """Return when a waiter may start that no slot or limit holds back.

        Args:
            now: The time on the loop's clock.

        Returns:
            Seconds from now, zero if there is no such waiter.
        """
        return 0

    def expire(self, waiter: Waiter) -> None:
        """Refuse a waiter that was removed, since it comes too late."""
        self.capacity.counters.expired += 1
        if not waiter.admitted.done():
            refusal = self.capacity.refuse('its turn came too late')
            waiter.admitted.set_exception(refusal)

    def is_expired(self, waiter: Waiter, start_at: float) -> bool:
        """Return whether a waiter comes too late if it starts then."""
        if start_at >= self.capacity.closes_at:
            return True
        return start_at > self.latest_start(waiter.req)

    def new_waiter(
        self,
        priority_class: PriorityClass,
        latest_start: float,
        req: SlotRequest,
    ) -> Waiter:
        """Return a waiter for a request."""
        loop = asyncio.get_running_loop()
        return Waiter(
            priority_class,
            latest_start,
            next(self.capacity.numbers),
            req,
            loop.create_future(),
        )
