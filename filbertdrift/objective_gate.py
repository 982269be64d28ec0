"""Admission control for one target, by latency objective and deadline.

The gate runs at most as many requests as the target has slots. A request is
queued if it is expected to meet its latency objective. If not, it is late: it
is queued behind those of its priority that are in time, provided that the
slots which they leave let it meet its deadline. Otherwise it is refused at
once, with a retry-after delay in which the queue drains. More urgent
priorities go first, and displace less urgent requests from a full queue.

If the target states a limit on the rate of its requests, a request waits for
its turn within the limit as it waits for a slot.
"""

import asyncio
import bisect
import contextlib
import itertools
import random
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from filbertdrift.errors import NoFreeSlot, RequestNotRun
from filbertdrift.targetlimit import TargetLimit

PERMILLE = 1000
MS_PER_S = 1000
# Estimated service time before the first request has ended.
FIRST_SERVICE_TIME_S = 0.05
SERVICE_TIME_WEIGHT = 0.1
# A request counts as in time if it would meet its objective also with a service
# time of this many mean deviations above the mean. With the mean alone, half of
# those that start at the last moment are late.
OBJECTIVE_DEVIATIONS = 1.5
MIN_RETRY_AFTER_MS = 40
MAX_RETRY_AFTER_MS = 3000
# Weight of one request in the moving average of each class's share of slots.
CLASS_SHARE_WEIGHT = 0.02
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
MAX_LOAD_PERMILLE = 1_000_000
# Shortest time after which the queue is woken for the limit.
MIN_WAKE_S = 0.001


@dataclass(slots=True)
class SlotRequest:
    """A request for one of the target's slots.

    Args:
        rank: The priority; zero is the most urgent.
        kind: Requests of one kind have about the same service time.
        objective_at: When its latency objective ends, on the loop's clock.
        deadline: When the caller gives up, on the loop's clock.
        may_wait: It may be queued until a slot is free.
    """

    rank: int
    kind: str
    objective_at: float
    deadline: float
    may_wait: bool = True


class _PriorityClass(NamedTuple):
    """Class in the queue: by priority; within it, in time before late."""

    rank: int
    misses_objective: bool


@dataclass(order=True, slots=True)
class _Waiter:
    """A queued request, ordered by class, latest start and arrival."""

    priority_class: _PriorityClass
    latest_start: float
    number: int
    req: SlotRequest = field(compare=False)
    admitted: asyncio.Future[None] = field(compare=False)


@dataclass(slots=True)
class ObjectiveGateCounters:
    """Counters of a gate."""

    admitted: int = 0
    queued: int = 0
    refused: int = 0
    not_free: int = 0
    displaced: int = 0
    expired: int = 0


class ObjectiveGate:
    """Admission gate of one target: its slots and the queue for them.

    Args:
        slots: How many requests the target runs at a time.
        rng: Adds jitter to the retry-after delays.
        limit: The rate of requests that the target takes.

    Attributes:
        limit: As given.
        running: How many requests hold a slot.
        incoming: How many requests without a slot are still being received.
        closes_at: When the gate closes, on the loop's clock.
    """

    def __init__(
        self,
        slots: int,
        rng: random.Random,
        limit: TargetLimit | None = None,
    ) -> None:
        """Start empty and open."""
        self.slots = max(slots, 1)
        self.limit = limit or TargetLimit()
        self.counters = ObjectiveGateCounters()
        self.running = 0
        self.incoming = 0
        self.closes_at = float('inf')
        self._rng = rng
        self._queue: list[_Waiter] = []
        # Wakes the queue when the limit allows another request.
        self._timer: asyncio.TimerHandle | None = None
        self._numbers = itertools.count()
        # Moving average of the service time of all requests.
        self._mean_s = FIRST_SERVICE_TIME_S
        # Moving average of the share of slots that each class takes.
        self._class_share: dict[_PriorityClass, float] = {}
        # Slot time used by each priority, decayed.
        self._priority_time_s: dict[int, float] = {}
        # Moving average of the service time by kind.
        self._kind_mean_s: dict[str, float] = defaultdict(lambda: self._mean_s)
        # Moving average of the deviation from it.
        self._kind_deviation_s: dict[str, float] = defaultdict(float)

    @property
    def waiting(self) -> int:
        """Return the length of the queue."""
        return len(self._queue)

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
            limit_load = int(PERMILLE * (1 + wait_s / self._mean_s))
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
        is_full = self.running + self.incoming >= self.slots
        if self._queue or is_full or self.limit_wait_s:
            self._check_may_wait(req)
            self._classify(req, now)
        self.incoming += 1
        try:
            yield
        finally:
            self.incoming -= 1

    def latest_start(self, req: SlotRequest) -> float:
        """Return when a request has to start to meet its deadline."""
        return req.deadline - self._kind_mean_s[req.kind]

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
        if not self._queue and self._has_room():
            self._take_slot(
                _PriorityClass(req.rank, misses_objective=False), req.kind
            )
            return
        self._check_may_wait(req)
        waiter = self._enqueue(req, now)
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

    def release(self, kind: str, service_time_s: float) -> None:
        """Free the slot of a request that has ended.

        Args:
            kind: The kind given to admit.
            service_time_s: How long the target ran it; zero leaves the
                estimates unchanged.
        """
        self.running -= 1
        if service_time_s > 0:
            previous_s = self._kind_mean_s[kind]
            step = SERVICE_TIME_WEIGHT
            difference_s = service_time_s - previous_s
            self._kind_mean_s[kind] = previous_s + step * difference_s
            self._kind_deviation_s[kind] += step * (
                abs(difference_s) - self._kind_deviation_s[kind]
            )
            self._mean_s += step * (service_time_s - self._mean_s)
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
        now = asyncio.get_running_loop().time()
        for index in reversed(range(len(self._queue))):
            waiter = self._queue[index]
            if self._is_expired(waiter, now + self.limit.wait_s(index)):
                self._expire(self._queue.pop(index))
        self._wake()

    def _check_open(self, req: SlotRequest, now: float) -> None:
        if now >= self.closes_at:
            raise self._refusal('the target is leaving')
        if now >= req.deadline:
            raise self._refusal('the deadline has passed')

    def _check_may_wait(self, req: SlotRequest) -> None:
        if not req.may_wait:
            self.counters.not_free += 1
            raise NoFreeSlot(
                self.limit.explain('no free slot', self.limit_wait_s),
                retry_after_ms=0,
                step='admit',
                is_rate_limited=bool(self.limit_wait_s),
            )

    def _has_room(self) -> bool:
        return self.running < self.slots and not self.limit.wait_s()

    def _enqueue(self, req: SlotRequest, now: float) -> _Waiter:
        priority_class, latest_start = self._classify(req, now)
        if len(self._queue) >= self.slots * QUEUE_PER_SLOT:
            self._displace(priority_class)
        loop = asyncio.get_running_loop()
        waiter = _Waiter(
            priority_class,
            latest_start,
            next(self._numbers),
            req,
            loop.create_future(),
        )
        bisect.insort(self._queue, waiter)
        self.counters.queued += 1
        self._wake()
        return waiter

    def _classify(
        self, req: SlotRequest, now: float
    ) -> tuple[_PriorityClass, float]:
        """Return the class of a request and its latest start.

        Raises:
            RequestNotRun: It would wait too long in either class.
        """
        service_time_s = self._kind_mean_s[req.kind]
        in_time = _PriorityClass(req.rank, misses_objective=False)
        margin_s = OBJECTIVE_DEVIATIONS * self._kind_deviation_s[req.kind]
        latest_start = req.objective_at - service_time_s - margin_s
        if now + self._expected_wait_s(in_time, latest_start) <= latest_start:
            return in_time, latest_start
        late = _PriorityClass(req.rank, misses_objective=True)
        latest_start = req.deadline - service_time_s
        wait_s = self._expected_wait_s(late, latest_start)
        if wait_s <= (latest_start - now) * LATE_WAIT_SHARE:
            return late, latest_start
        raise self._refusal('it would wait too long')

    def _expected_wait_s(
        self, priority_class: _PriorityClass, latest_start: float
    ) -> float:
        """Return how long a new request of a class would wait."""
        ahead = bisect.bisect_right(
            self._queue,
            (priority_class, latest_start),
            key=_queue_key,
        )
        before_rank = bisect.bisect_left(
            self._queue,
            priority_class.rank,
            key=_rank_of,
        )
        wait_s = self._turn_s(ahead) / self._remaining_share(priority_class)
        ahead_in_rank = ahead - before_rank
        return min(wait_s, self._turn_s(ahead_in_rank) / GUARANTEED_SHARE)

    def _turn_s(self, ahead: int) -> float:
        """Return when a request gets its turn if all slots are for its class.

        Args:
            ahead: Requests that get their turn before it.
        """
        slot_wait_s = (ahead + 1) * self._mean_s / self.slots
        return max(slot_wait_s, self.limit.wait_s(ahead))

    def _remaining_share(self, priority_class: _PriorityClass) -> float:
        """Return the share of slots that preceding classes leave."""
        taken = sum(
            share
            for other, share in self._class_share.items()
            if other < priority_class
        )
        return max(1 - taken, MIN_REMAINING_SHARE)

    def _displace(self, priority_class: _PriorityClass) -> None:
        """Refuse the last queued request if its class is after the given one.

        Raises:
            RequestNotRun: No queued request has a later class.
        """
        last = self._queue[-1]
        if last.priority_class <= priority_class:
            raise self._refusal('the queue is full')
        self._queue.pop()
        self.counters.displaced += 1
        if not last.admitted.done():
            last.admitted.set_exception(self._refusal('displaced'))

    def _take_slot(self, priority_class: _PriorityClass, kind: str) -> None:
        times = self._priority_time_s
        for rank in times:
            times[rank] *= PRIORITY_TIME_DECAY
        times[priority_class.rank] = (
            times.get(priority_class.rank, 0) + self._kind_mean_s[kind]
        )
        shares = self._class_share
        shares.setdefault(priority_class, 0)
        for other, share in shares.items():
            step = CLASS_SHARE_WEIGHT * ((other == priority_class) - share)
            shares[other] = share + step
        self.running += 1
        self.limit.take()
        self.counters.admitted += 1

    def _withdraw(self, waiter: _Waiter) -> None:
        if waiter in self._queue:
            self._queue.remove(waiter)
            return
        was_admitted = (
            waiter.admitted.done()
            and not waiter.admitted.cancelled()
            and waiter.admitted.exception() is None
        )
        if was_admitted:
            self.running -= 1
            self._wake()

    def _wake(self) -> None:
        now = asyncio.get_running_loop().time()
        while self._queue and (self._has_room() or now >= self.closes_at):
            waiter = self._next_waiter(now)
            if waiter.admitted.done():
                continue
            if self._is_expired(waiter, now):
                self._expire(waiter)
                continue
            self._take_slot(waiter.priority_class, waiter.req.kind)
            waiter.admitted.set_result(None)
        self._expire_last_late(now)
        self._schedule_wake(now)

    def _schedule_wake(self, now: float) -> None:
        """Wake the queue again when the limit allows it or the gate closes."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        wait_s = self.limit.wait_s()
        if self._queue and wait_s:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(
                min(now + max(wait_s, MIN_WAKE_S), self.closes_at), self._wake
            )

    def _expire_last_late(self, now: float) -> None:
        """Refuse the last late waiter if its expected wait is too long."""
        for index in range(len(self._queue) - 1, -1, -1):
            waiter = self._queue[index]
            if not waiter.priority_class.misses_objective:
                continue
            wait_s = index * self._mean_s / self.slots
            wait_s = max(wait_s, self.limit.wait_s(index))
            wait_s /= self._remaining_share(waiter.priority_class)
            if wait_s > (waiter.latest_start - now) * LATE_WAIT_SHARE:
                self._expire(self._queue.pop(index))
            return

    def _next_waiter(self, now: float) -> _Waiter:
        """Remove and return the waiter that gets the next slot.

        Waiters of its class that missed their latest start are refused if
        others of the class can still start in time: serving them would make
        those late as well.
        """
        start = self._next_index()
        priority_class = self._queue[start].priority_class
        in_time = bisect.bisect_left(
            self._queue,
            (priority_class, now),
            key=_queue_key,
        )
        has_any = in_time < len(self._queue)
        if has_any and self._queue[in_time].priority_class == priority_class:
            self._expire_between(start, in_time)
        return self._queue.pop(start)

    def _next_index(self) -> int:
        """Return the index of the first waiter of the priority to serve next.

        A less urgent priority goes before more urgent ones while it has had
        less than its guaranteed share of slot time.
        """
        previous_rank = self._queue[0].priority_class.rank
        for index, waiter in enumerate(self._queue):
            rank = waiter.priority_class.rank
            if rank == previous_rank:
                continue
            previous_rank = rank
            if self._priority_time_share(rank) < GUARANTEED_SHARE:
                return index
        return 0

    def _priority_time_share(self, rank: int) -> float:
        """Return the recent share of slot time that a priority has used."""
        total_s = sum(self._priority_time_s.values())
        return self._priority_time_s.get(rank, 0) / total_s if total_s else 0

    def _expire_between(self, start: int, end: int) -> None:
        for _ in range(end - start):
            self._expire(self._queue.pop(start))

    def _expire(self, waiter: _Waiter) -> None:
        self.counters.expired += 1
        if not waiter.admitted.done():
            refusal = self._refusal('its turn came too late')
            waiter.admitted.set_exception(refusal)

    def _is_expired(self, waiter: _Waiter, now: float) -> bool:
        if now >= self.closes_at:
            return True
        service_time_s = self._kind_mean_s[waiter.req.kind]
        return now + service_time_s > waiter.req.deadline

    def _refusal(self, reason: str) -> RequestNotRun:
        self.counters.refused += 1
        drain_s = max(
            self.waiting * self._mean_s / self.slots,
            self.limit.wait_s(self.waiting),
        )
        base_ms = MIN_RETRY_AFTER_MS + drain_s * MS_PER_S
        retry_after_ms = base_ms * (0.5 + self._rng.random())
        return RequestNotRun(
            self.limit.explain(reason, self.limit_wait_s),
            retry_after_ms=min(int(retry_after_ms), MAX_RETRY_AFTER_MS),
            step='admit',
            is_rate_limited=bool(self.limit_wait_s),
        )


def _queue_key(waiter: _Waiter) -> tuple[_PriorityClass, float]:
    return waiter.priority_class, waiter.latest_start


def _rank_of(waiter: _Waiter) -> int:
    return waiter.priority_class.rank
