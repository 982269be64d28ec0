"""Admission control for one target, by latency objective and deadline.

The gate runs at most as many requests as the target has slots. Its queue
decides who is next and who is refused: by counts of requests (ObjectiveQueue)
or by expected work, with shares of client accounts (FairQueue). Refusals come
at once, with a retry-after delay in which the queue drains.

If the target states a limit on the rate of its requests, a request waits for
its turn within the limit as it waits for a slot.
"""

import asyncio
import contextlib
import random
from collections.abc import Iterator, Sequence

from filbertdrift.balance.admissionqueue import (
    AdmissionQueue,
    GateCapacity,
    ObjectiveGateCounters,
    PriorityClass,
    Run,
    SlotRequest,
    Waiter,
)
from filbertdrift.balance.callroom import MAX_WAIT_S, CallRoom
from filbertdrift.balance.estimate import CostSource
from filbertdrift.balance.fairqueue import FairQueue
from filbertdrift.balance.kindcost import KindCosts
from filbertdrift.balance.objectivequeue import ObjectiveQueue
from filbertdrift.balance.slottime import SlotTime, SlotTimeCounters, SlotUse
from filbertdrift.errors import NoFreeSlot, RequestNotRun
from filbertdrift.targetlimit import TargetLimit

PERMILLE = 1000
MS_PER_S = 1000
MIN_RETRY_AFTER_MS = 40
MAX_RETRY_AFTER_MS = 3000
MAX_LOAD_PERMILLE = 1_000_000
# Shortest time after which the queue is woken for the limit.
MIN_WAKE_S = 0.001


class ObjectiveGate:
    """Admission gate of one target: its slots and the queue for them.

    Args:
        slots: How many requests the target runs at a time.
        rng: Adds jitter to the retry-after delays.
        limit: The rate of requests that the target takes.
        costs: Estimates the cost of requests, None for means by kind.
        room: Limits the requests that make calls.
        slot_time: Counts what the slots are used for.
        by_cost: Whether it admits by expected work.

    Attributes:
        limit: As given.
        costs: As given.
        room: As given.
        slot_time: As given.
        incoming: How many requests without a slot are still being received.
        runs_end_at: When the node ends all runs, on the loop's clock.
    """

    def __init__(
        self,
        slots: int,
        rng: random.Random,
        limit: TargetLimit | None = None,
        costs: CostSource | None = None,
        room: CallRoom | None = None,
        slot_time: SlotTimeCounters | None = None,
        *,
        by_cost: bool = False,
    ) -> None:
        """Start empty and open."""
        self.limit = limit or TargetLimit()
        self.counters = ObjectiveGateCounters()
        self.room = room or CallRoom()
        self.incoming = 0
        self.runs_end_at = float('inf')
        self._rng = rng
        kinds = KindCosts()
        self.costs = costs or kinds
        self._capacity = GateCapacity(
            max(slots, 1), self.limit, kinds, self.counters, self._refusal
        )
        self.slot_time = SlotTime(
            self.slots, slot_time or SlotTimeCounters(), _try_now()
        )
        # Wakes the queue when a limit allows another request.
        self._timer: asyncio.TimerHandle | None = None
        self._queue: AdmissionQueue = self._new_queue(by_cost=by_cost)

    @property
    def slots(self) -> int:
        """Return how many requests the target runs at a time."""
        return self._capacity.slots

    @slots.setter
    def slots(self, slots: int) -> None:
        if slots != self.slots:
            self.slot_time.resize(slots, asyncio.get_running_loop().time())
            self._capacity.slots = slots

    @property
    def closes_at(self) -> float:
        """Return when the gate closes, on the loop's clock."""
        return self._capacity.closes_at

    @closes_at.setter
    def closes_at(self, closes_at: float) -> None:
        """Set it; requests that wait until then are refused."""
        self._capacity.closes_at = closes_at
        if self._queue.waiters:
            self._wake()

    @property
    def by_cost(self) -> bool:
        """Return whether the gate admits by expected work."""
        return isinstance(self._queue, FairQueue)

    @by_cost.setter
    def by_cost(self, by_cost: bool) -> None:
        """Set it; the waiting requests keep waiting."""
        if by_cost == self.by_cost:
            return
        waiters = self._queue.waiters
        self._queue = self._new_queue(by_cost=by_cost)
        self._queue.take_over(waiters)
        self._wake()

    @property
    def running(self) -> int:
        """Return how many requests hold a slot."""
        return len(self._capacity.runs)

    @property
    def running_kinds(self) -> Sequence[str]:
        """Return the kinds of the requests that hold a slot."""
        return [run.req.kind for run in self._capacity.runs]

    @property
    def waiting(self) -> int:
        """Return the length of the queue."""
        return len(self._queue.waiters)

    @property
    def load_permille(self) -> int:
        """Return running, queued and incoming requests per slot, in 1/1000.

        A request that waits for the limit counts as much as one that waits for
        a slot for as long.
        """
        requests = self.running + self.waiting + self.incoming
        load = requests * PERMILLE // self.slots
        wait_s = self.limit_wait_s
        if wait_s:
            mean_s = self._capacity.kinds.mean_s
            limit_load = int(PERMILLE * (1 + wait_s / mean_s))
            load = max(load, min(limit_load, MAX_LOAD_PERMILLE))
        return load

    @property
    def limit_wait_s(self) -> float:
        """Return how long the limit makes another request wait."""
        return self.limit.wait_s(self.waiting + self.incoming)

    @contextlib.contextmanager
    def track_incoming(self, req: SlotRequest) -> Iterator[None]:
        """Count a request that is still being received; it holds no slot.

        Args:
            req: The request for a slot.

        Raises:
            NoFreeSlot: No slot is free and the request may not wait.
            RequestNotRun: It is not expected to be served in time.
        """
        now = asyncio.get_running_loop().time()
        self._check_open(req, now)
        self._check_calls(req, now)
        is_full = self.running + self.incoming >= self.slots
        if self._queue.waiters or is_full or self.limit_wait_s:
            self._check_may_wait(req)
            self._queue.check(req, now)
        self.incoming += 1
        try:
            yield
        finally:
            self.incoming -= 1

    def latest_start(self, req: SlotRequest) -> float:
        """Return when a request has to start to meet its deadline."""
        return self._queue.latest_start(req)

    async def admit(self, req: SlotRequest) -> None:
        """Wait for a slot; release must be called after the request.

        Args:
            req: The request for a slot.

        Raises:
            NoFreeSlot: No slot is free and the request may not wait.
            RequestNotRun: It cannot be served in time; it may be retried.
        """
        now = asyncio.get_running_loop().time()
        self._check_open(req, now)
        is_held_back = self._check_calls(req, now)
        # By cost, waiters beside a free slot are held back.
        is_first = self.by_cost or not self._queue.waiters
        if is_first and self._has_room() and not is_held_back:
            self._take_slot(
                req, PriorityClass(req.rank, misses_objective=False), now
            )
            return
        self._check_may_wait(req)
        waiter = self._queue.add(req, now)
        self._wake()
        try:
            async with asyncio.timeout_at(self.latest_start(req)):
                await waiter.admitted
        except TimeoutError as exc:
            self._withdraw(waiter)
            self.counters.expired += 1
            raise self._refusal('its turn did not come in time') from exc
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise

    def release(
        self,
        kind: str,
        service_time_s: float,
        req: SlotRequest | None = None,
        use: SlotUse = SlotUse.IN_TIME,
    ) -> None:
        """Free the slot of a request that has ended.

        Args:
            kind: The kind given to admit.
            service_time_s: How long the target ran it; zero leaves the
                estimates unchanged.
            req: The request given to admit, None for the first of its kind.
            use: What became of it.
        """
        run = self._find_run(kind, req)
        try:
            if service_time_s > 0:
                self._capacity.kinds.record_kind(kind, service_time_s)
        finally:
            self._end_run(run, service_time_s, use)
            self._wake()

    def record_limit(self, per_s: float | None, sent_at: float) -> None:
        """Record the limit on the rate that a response of the target states.

        Args:
            per_s: Requests a second, None if it states no limit.
            sent_at: When the request was sent, on the loop's clock.
        """
        before = self.limit.per_s
        self.limit.record(per_s, sent_at)
        if self.limit.per_s == before:
            return
        # Refuses the waiters whose turn within the limit comes too late.
        self._queue.on_limit(asyncio.get_running_loop().time())
        self._wake()

    def _new_queue(self, *, by_cost: bool) -> AdmissionQueue:
        if by_cost:
            return FairQueue(self._capacity, self.costs, self.room)
        return ObjectiveQueue(self._capacity)

    def _check_open(self, req: SlotRequest, now: float) -> None:
        if now >= self.closes_at:
            raise self._refusal('the target is leaving')
        if now >= req.deadline:
            raise self._refusal('the deadline has passed')
        if req.deadline > self.runs_end_at:
            raise self._refusal('its node may stop before its deadline')

    def _check_may_wait(self, req: SlotRequest) -> None:
        if not req.may_wait:
            self.counters.not_free += 1
            raise NoFreeSlot(
                self.limit.explain('no free slot', self.limit_wait_s),
                retry_after_ms=0,
                step='admit',
                is_rate_limited=bool(self.limit_wait_s),
            )

    def _check_calls(self, req: SlotRequest, now: float) -> bool:
        """Return whether the limits of its calls hold a request back.

        Raises:
            RequestNotRun: They would hold it back for too long.
        """
        if not self.by_cost or req.is_nested or not req.rank:
            return False
        wait_s = self.room.wait_s(
            req.kind, is_idempotent=req.is_idempotent, now=now
        )
        if wait_s > MAX_WAIT_S:
            self.counters.held_back += 1
            raise self._refusal('the calls that it makes have no room', wait_s)
        return wait_s > 0

    def _has_room(self) -> bool:
        return self.running < self.slots and not self.limit.wait_s()

    def _take_slot(
        self, req: SlotRequest, priority_class: PriorityClass, now: float
    ) -> None:
        self._queue.record_start(req, priority_class)
        self._capacity.runs.append(Run(req, now))
        self.slot_time.hold(now)
        self.limit.take()
        self.counters.admitted += 1
        if self.by_cost:
            self.room.take(req.kind, is_idempotent=req.is_idempotent, now=now)

    def _find_run(self, kind: str, req: SlotRequest | None) -> Run:
        for run in self._capacity.runs:
            if run.req is req or (req is None and run.req.kind == kind):
                return run
        raise LookupError(f'no request of kind {kind} holds a slot')

    def _end_run(self, run: Run, service_time_s: float, use: SlotUse) -> None:
        now = asyncio.get_running_loop().time()
        self._capacity.runs = [
            other for other in self._capacity.runs if other is not run
        ]
        self.slot_time.release(use, now - run.started_at, now)
        self._queue.record_end(run.req)
        if not self.by_cost or use is SlotUse.IDLE:
            return
        self.room.record_run(run.req.kind, now - run.started_at)
        is_answered = use in {SlotUse.IN_TIME, SlotUse.LATE}
        is_separate = self.costs is not self._capacity.kinds
        if is_separate and is_answered and service_time_s > 0:
            self.costs.record(run.req.cost_features(), service_time_s)

    def _withdraw(self, waiter: Waiter) -> None:
        if self._queue.withdraw(waiter):
            return
        was_admitted = (
            waiter.admitted.done()
            and not waiter.admitted.cancelled()
            and waiter.admitted.exception() is None
        )
        if was_admitted:
            run = self._find_run(waiter.req.kind, waiter.req)
            self._end_run(run, 0, SlotUse.IDLE)
            self._wake()

    def _wake(self) -> None:
        now = asyncio.get_running_loop().time()
        queue = self._queue
        while queue.waiters and (self._has_room() or now >= self.closes_at):
            waiter = queue.pop(now)
            if waiter is None:
                break
            self._start(waiter, now)
        queue.prune(now)
        self._schedule_wake(now)

    def _start(self, waiter: Waiter, now: float) -> None:
        """Give a slot to a waiter, unless it has left or comes too late."""
        if waiter.admitted.done():
            return
        if self._queue.is_expired(waiter, now):
            self._queue.expire(waiter)
            return
        self._take_slot(waiter.req, waiter.priority_class, now)
        waiter.admitted.set_result(None)

    def _schedule_wake(self, now: float) -> None:
        """Wake the queue again when a limit allows it or the gate closes."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        wait_s = self.limit.wait_s()
        if not wait_s and self.running < self.slots:
            wait_s = self._queue.start_delay_s(now)
        wake_at = self.closes_at
        if wait_s:
            wake_at = min(now + max(wait_s, MIN_WAKE_S), wake_at)
        if self._queue.waiters and wake_at < float('inf'):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(wake_at, self._wake)

    def _refusal(self, reason: str, wait_s: float = 0) -> RequestNotRun:
        """Count and return a refusal.

        Args:
            reason: The reason.
            wait_s: Least time in which the request has no room, in seconds.
        """
        self.counters.refused += 1
        drain_s = max(
            self._queue.drain_s(), self.limit.wait_s(self.waiting), wait_s
        )
        base_ms = MIN_RETRY_AFTER_MS + drain_s * MS_PER_S
        retry_after_ms = base_ms * (0.5 + self._rng.random())
        # A gate with a free slot that refuses for the limits of calls does not
        # mean that its target fails.
        is_open = asyncio.get_running_loop().time() < self.closes_at
        is_held_back = self.by_cost and is_open and self.running < self.slots
        return RequestNotRun(
            self.limit.explain(reason, self.limit_wait_s),
            retry_after_ms=min(int(retry_after_ms), MAX_RETRY_AFTER_MS),
            step='admit',
            is_rate_limited=bool(self.limit_wait_s) or is_held_back,
        )


def _try_now() -> float | None:
    """Return the time on the loop's clock, None outside of a loop."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return None
