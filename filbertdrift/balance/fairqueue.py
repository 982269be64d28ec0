"""The queue of a gate that admits by expected work, with shares of accounts.

Calls of running requests go first. Within a priority, requests that can still
meet their objective go before the others. Among these, the order is by the end
of the objective (for the others, the deadline) plus the cost, so short requests
go before long ones, and a long one is passed only by those that come within the
difference after it. Requests of accounts over their share are put back by the
time that the target needs for what they are over.
"""

import heapq
from collections import defaultdict
from collections.abc import Iterable, Sequence

from filbertdrift.balance.accountshares import AccountShares
from filbertdrift.balance.admissionqueue import (
    GUARANTEED_SHARE,
    LATE_WAIT_SHARE,
    MIN_REMAINING_SHARE,
    AdmissionQueue,
    GateCapacity,
    PriorityClass,
    SlotRequest,
    Waiter,
)
from filbertdrift.balance.callroom import CallRoom
from filbertdrift.balance.classtimes import ClassTimes
from filbertdrift.balance.estimate import CostSource

# Limit of queued requests per slot. Deadlines bound the queue by work; this
# bounds the time to order it, where requests are far shorter than deadlines.
MAX_QUEUE_PER_SLOT = 16

# A request is passed by those of equal objectives that come within this many
# times the difference of the costs after it.
PASS_FACTOR = 1.0

# A waiting call holds a slot of its caller, so in a saturated service it is
# refused once it would wait for this many times its cost. With waits up to its
# objective, the slots of the callers are full of requests that wait.
CALL_WAIT_COSTS = 4.0

# Whether it is no call, the priority, whether it is late, and when it is due.
_Key = tuple[bool, int, bool, float]


class FairQueue(AdmissionQueue):
    """Queue ordered by expected work and shares of accounts.

    Args:
        capacity: The capacity of the gate.
        costs: Estimates the cost of requests.
        room: Limits the requests that make calls.
    """

    def __init__(
        self, capacity: GateCapacity, costs: CostSource, room: CallRoom
    ) -> None:
        """Start empty, with the requests that run."""
        super().__init__(capacity)
        self._costs = costs
        self._room = room
        self._shares = AccountShares()
        for run in capacity.runs:
            self._shares.enter(run.req.account, run.req.weight)
        self._times = ClassTimes()

    def check(self, req: SlotRequest, now: float) -> None:
        """Check that a request can be served in time."""
        self._classify(self._build_waiter(req), now)

    def add(self, req: SlotRequest, now: float) -> Waiter:
        """Queue a request."""
        waiter = self._build_waiter(req)
        self._classify(waiter, now)
        max_waiters = self.capacity.slots * MAX_QUEUE_PER_SLOT
        if len(self.waiters) >= max_waiters:
            self._displace(waiter, now)
        self.capacity.counters.queued += 1
        self._insert(waiter)
        self._displace_hopeless(waiter, now)
        return waiter

    def take_over(self, waiters: Sequence[Waiter]) -> None:
        """Queue the waiters of another queue of the gate."""
        for waiter in waiters:
            waiter.cost = self._costs.estimate(waiter.req.cost_features())
            self._insert(waiter)

    def withdraw(self, waiter: Waiter) -> bool:
        """Remove a waiter whose request is given up."""
        was_queued = super().withdraw(waiter)
        if was_queued:
            self._shares.leave(waiter.req.account)
        return was_queued

    def pop(self, now: float) -> Waiter | None:
        """Remove and return the next waiter, None if none may start now."""
        is_closed = now >= self.capacity.closes_at
        ready = [
            waiter
            for waiter in self.waiters
            if is_closed or not self._held_s(waiter, now)
        ]
        first = self._first(ready, now)
        if first is None:
            return None
        chosen = self._find_guaranteed(first, ready, now) or first
        self._remove(chosen)
        if not _is_late(chosen, now):
            self._expire_late(chosen.req, now)
        return chosen

    def prune(self, now: float) -> None:
        """Refuse the last waiter if its expected wait is too long."""
        if len(self.waiters) <= self.capacity.slots:
            return
        last = max(self.waiters, key=lambda waiter: self._key(waiter, now))
        if self._is_hopeless(last, now):
            self._remove(last)
            self.expire(last)

    def on_limit(self, now: float) -> None:
        """Refuse the waiters whose turn within the new limit is too late."""
        ordered = sorted(
            self.waiters, key=lambda waiter: self._key(waiter, now)
        )
        for index in reversed(range(len(ordered))):
            start_at = now + self.capacity.limit.wait_s(index)
            if self.is_expired(ordered[index], start_at):
                self._remove(ordered[index])
                self.expire(ordered[index])

    def latest_start(self, req: SlotRequest) -> float:
        """Return when a request has to start to meet its deadline."""
        cost = self._costs.estimate(req.cost_features())
        return req.deadline - cost.mean_s

    def record_start(
        self, req: SlotRequest, priority_class: PriorityClass
    ) -> None:
        """Record that a request starts."""
        cost_s = self._costs.estimate(req.cost_features()).mean_s
        self._times.record(priority_class, cost_s)
        self._shares.enter(req.account, req.weight)
        self._shares.charge(req.account, cost_s)

    def record_end(self, req: SlotRequest) -> None:
        """Record that a request which had started has ended."""
        self._shares.leave(req.account)

    def drain_s(self) -> float:
        """Return how long the target needs for the queue."""
        queued_s = sum(waiter.cost.mean_s for waiter in self.waiters)
        return queued_s / self.capacity.slots

    def start_delay_s(self, now: float) -> float:
        """Return when a waiter may start that only its calls hold back."""
        return min(
            (self._held_s(waiter, now) for waiter in self.waiters),
            default=0,
        )

    def _build_waiter(self, req: SlotRequest) -> Waiter:
        waiter = self.new_waiter(
            PriorityClass(req.rank, misses_objective=False), 0, req
        )
        waiter.cost = self._costs.estimate(req.cost_features())
        return waiter

    def _insert(self, waiter: Waiter) -> None:
        self.waiters.append(waiter)
        self._shares.enter(waiter.req.account, waiter.req.weight)

    def _remove(self, waiter: Waiter) -> None:
        self.waiters.remove(waiter)
        self._shares.leave(waiter.req.account)

    def _held_s(self, waiter: Waiter, now: float) -> float:
        """Return how long the limits of calls hold a waiter back."""
        req = waiter.req
        if req.is_nested or not req.rank:
            return 0
        return self._room.wait_s(
            req.kind, is_idempotent=req.is_idempotent, now=now
        )

    def _key(self, waiter: Waiter, now: float) -> _Key:
        """Return the place of a waiter in the order, smallest first."""
        req = waiter.req
        is_late = _is_late(waiter, now)
        over_s = self._shares.over_s(req.account) / self.capacity.slots
        due_at = req.deadline if is_late else req.objective_at
        due_at += PASS_FACTOR * waiter.cost.mean_s + over_s
        return not req.is_nested, req.rank, is_late, due_at

    def _expire_late(self, started: SlotRequest, now: float) -> None:
        """Refuse those of a priority that were in time when they came.

        Serving them as well makes others late. A call that waits on keeps a
        slot of its caller, and the target serves no more calls for it.

        Args:
            started: The request that starts, which is in time.
            now: The time on the loop's clock.
        """
        expired = [
            waiter
            for waiter in self.waiters
            if waiter.req.rank == started.rank
            and waiter.req.is_nested == started.is_nested
            and not waiter.priority_class.misses_objective
            and _is_late(waiter, now)
        ]
        for waiter in expired:
            self._remove(waiter)
            self.expire(waiter)

    def _first(self, waiters: Sequence[Waiter], now: float) -> Waiter | None:
        return min(
            waiters, key=lambda waiter: self._key(waiter, now), default=None
        )

    def _classify(self, waiter: Waiter, now: float) -> None:
        """Set the class of a new waiter and its latest start.

        Raises:
            RequestNotRun: It would wait too long in either class.
        """
        req, cost = waiter.req, waiter.cost
        waiter.latest_start = req.objective_at - cost.high_s
        key = self._key(waiter, now)
        wait_s = self._expected_wait_s(waiter, key, now)
        if req.is_nested and wait_s > CALL_WAIT_COSTS * cost.mean_s:
            raise self.capacity.refuse('the call would wait too long')
        if now + wait_s <= waiter.latest_start:
            return
        waiter.priority_class = PriorityClass(req.rank, misses_objective=True)
        waiter.latest_start = req.deadline - cost.mean_s
        key = (key[0], key[1], True, key[3])
        wait_s = self._expected_wait_s(waiter, key, now)
        if wait_s > (waiter.latest_start - now) * LATE_WAIT_SHARE:
            raise self.capacity.refuse('it would wait too long')

    def _expected_wait_s(self, waiter: Waiter, key: _Key, now: float) -> float:
        """Return how long a waiter would wait at a place in the order."""
        ahead = [
            other
            for other in self.waiters
            if other is not waiter and self._key(other, now) < key
        ]
        turn_s = self._turn_s(ahead, now)
        wait_s = turn_s / self._remaining_share(waiter)
        rank = waiter.req.rank
        if any(other.req.rank != rank for other in ahead):
            in_rank = [other for other in ahead if other.req.rank == rank]
            turn_s = self._turn_s(in_rank, now)
        return min(wait_s, turn_s / GUARANTEED_SHARE)

    def _turn_s(self, ahead: Sequence[Waiter], now: float) -> float:
        """Return when a slot is free after some waiters have had theirs."""
        remaining_s = (
            self._costs.remaining_s(
                run.req.cost_features(), now - run.started_at
            )
            for run in self.capacity.runs
        )
        slot_wait_s = _free_after_s(
            remaining_s,
            (other.cost.mean_s for other in ahead),
            self.capacity.slots,
        )
        return max(slot_wait_s, self.capacity.limit.wait_s(len(ahead)))

    def _remaining_share(self, waiter: Waiter) -> float:
        """Return the share of slots that preceding classes leave."""
        if waiter.req.is_nested:
            return 1
        taken = self._times.share_before(waiter.priority_class)
        return max(1 - taken, MIN_REMAINING_SHARE)

    def _is_hopeless(self, waiter: Waiter, now: float) -> bool:
        """Return whether a waiter will probably miss its deadline."""
        latest_start = waiter.req.deadline - waiter.cost.mean_s
        wait_s = self._expected_wait_s(waiter, self._key(waiter, now), now)
        return wait_s > (latest_start - now) * LATE_WAIT_SHARE

    def _displace_hopeless(self, added: Waiter, now: float) -> None:
        """Refuse the last waiter if a new one leaves it no time."""
        last = max(self.waiters, key=lambda waiter: self._key(waiter, now))
        if last is not added and self._is_hopeless(last, now):
            self._refuse_displaced(last)

    def _displace(self, waiter: Waiter, now: float) -> None:
        """Make room for a waiter in a full queue.

        Of the least urgent priority, the last request of the account that is
        most over its share, with its queued work, is refused.

        Raises:
            RequestNotRun: The new request itself is the one.
        """
        queued = [*self.waiters, waiter]
        last_class = max(self._key(other, now)[:2] for other in queued)
        candidates = [
            other for other in queued if self._key(other, now)[:2] == last_class
        ]
        queued_s: dict[str, float] = defaultdict(float)
        for other in candidates:
            queued_s[other.req.account] += other.cost.mean_s / other.req.weight
        victim = max(
            candidates,
            key=lambda other: (
                queued_s[other.req.account]
                + self._shares.over_s(other.req.account) / other.req.weight,
                self._key(other, now),
            ),
        )
        if victim is waiter:
            raise self.capacity.refuse('the queue is full')
        self._refuse_displaced(victim)

    def _refuse_displaced(self, waiter: Waiter) -> None:
        self._remove(waiter)
        self.capacity.counters.displaced += 1
        if not waiter.admitted.done():
            waiter.admitted.set_exception(self.capacity.refuse('displaced'))

    def _find_guaranteed(
        self, first: Waiter, ready: Sequence[Waiter], now: float
    ) -> Waiter | None:
        """Return a less urgent waiter that goes first for its share, if any."""
        ranks = sorted({waiter.req.rank for waiter in ready})
        for rank in ranks:
            is_less_urgent = first.req.is_nested or rank > first.req.rank
            if not is_less_urgent or self._times.has_guaranteed(rank):
                continue
            in_rank = [other for other in ready if _is_outer_of(other, rank)]
            found = self._first(in_rank, now)
            if found is not None and self._leaves_calls_time(found, now):
                return found
        return None

    def _leaves_calls_time(self, waiter: Waiter, now: float) -> bool:
        """Return whether waiting calls meet their objectives after a waiter."""
        start_at = now + waiter.cost.high_s
        calls = sorted(
            (other for other in self.waiters if other.req.is_nested),
            key=lambda call: self._key(call, now),
        )
        for call in calls:
            if start_at + call.cost.high_s > call.req.objective_at:
                return False
            start_at += call.cost.mean_s / self.capacity.slots
        return True


def _is_late(waiter: Waiter, now: float) -> bool:
    """Return whether a waiter would miss its objective if started now."""
    return now > waiter.req.objective_at - waiter.cost.high_s


def _is_outer_of(waiter: Waiter, rank: int) -> bool:
    """Return whether a waiter is no call and has a priority."""
    return waiter.req.rank == rank and not waiter.req.is_nested


def _free_after_s(
    remaining_s: Iterable[float], costs_s: Iterable[float], slots: int
) -> float:
    """Return when a slot is free, in seconds.

    Args:
        remaining_s: What the running requests still need.
        costs_s: What the requests ahead need, in their order.
        slots: How many requests run at a time.
    """
    free_at = sorted(remaining_s)[-slots:]
    free_at = [*(0.0 for _ in range(slots - len(free_at))), *free_at]
    for cost_s in costs_s:
        heapq.heapreplace(free_at, free_at[0] + cost_s)
    return free_at[0]
