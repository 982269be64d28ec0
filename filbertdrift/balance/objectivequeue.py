"""The queue of a gate that counts requests: by class and latest start.

A request is queued if it is expected to meet its latency objective. If not, it
is late: it is queued behind those of its priority that are in time, provided
that the slots which they leave let it meet its deadline. Otherwise it is
refused at once. More urgent priorities go first, and displace less urgent
requests from a full queue.
"""

import bisect
from collections.abc import Sequence

from filbertdrift.balance.admissionqueue import (
    GUARANTEED_SHARE,
    LATE_WAIT_SHARE,
    MIN_REMAINING_SHARE,
    PRIORITY_TIME_DECAY,
    QUEUE_PER_SLOT,
    AdmissionQueue,
    GateCapacity,
    PriorityClass,
    SlotRequest,
    Waiter,
)

# A request counts as in time if it would meet its objective also with a service
# time of this many mean deviations above the mean. With the mean alone, half of
# those that start at the last moment are late.
OBJECTIVE_DEVIATIONS = 1.5
# Weight of one request in the moving average of each class's share of slots.
CLASS_SHARE_WEIGHT = 0.02


class ObjectiveQueue(AdmissionQueue):
    """Queue ordered by class, latest start and arrival.

    Args:
        capacity: The capacity of the gate.
    """

    def __init__(self, capacity: GateCapacity) -> None:
        """Start empty."""
        super().__init__(capacity)
        # Moving average of the share of slots that each class takes.
        self._class_share: dict[PriorityClass, float] = {}
        # Slot time used by each priority, decayed.
        self._priority_time_s: dict[int, float] = {}

    def check(self, req: SlotRequest, now: float) -> None:
        """Check that a request can be served in time."""
        self._classify(req, now)

    def add(self, req: SlotRequest, now: float) -> Waiter:
        """Queue a request."""
        priority_class, latest_start = self._classify(req, now)
        if len(self.waiters) >= self.capacity.slots * QUEUE_PER_SLOT:
            self._displace(priority_class)
        waiter = self.new_waiter(priority_class, latest_start, req)
        self.capacity.counters.queued += 1
        bisect.insort(self.waiters, waiter)
        return waiter

    def pop(self, now: float) -> Waiter | None:
        """Remove and return the waiter that gets the next slot.

        Waiters of its class that missed their latest start are refused if
        others of the class can still start in time: serving them would make
        those late as well.
        """
        start = self._next_index()
        priority_class = self.waiters[start].priority_class
        in_time = bisect.bisect_left(
            self.waiters,
            (priority_class, now),
            key=_queue_key,
        )
        has_any = in_time < len(self.waiters)
        if has_any and self.waiters[in_time].priority_class == priority_class:
            self._expire_between(start, in_time)
        return self.waiters.pop(start)

    def prune(self, now: float) -> None:
        """Refuse the last late waiter if its expected wait is too long."""
        capacity = self.capacity
        for index in range(len(self.waiters) - 1, -1, -1):
            waiter = self.waiters[index]
            if not waiter.priority_class.misses_objective:
                continue
            wait_s = index * capacity.kinds.mean_s / capacity.slots
            wait_s = max(wait_s, capacity.limit.wait_s(index))
            wait_s /= self._remaining_share(waiter.priority_class)
            if wait_s > (waiter.latest_start - now) * LATE_WAIT_SHARE:
                self.expire(self.waiters.pop(index))
            return

    def on_limit(self, now: float) -> None:
        """Refuse the waiters whose turn within the new limit is too late."""
        for index in reversed(range(len(self.waiters))):
            waiter = self.waiters[index]
            start_at = now + self.capacity.limit.wait_s(index)
            if self.is_expired(waiter, start_at):
                self.expire(self.waiters.pop(index))

    def latest_start(self, req: SlotRequest) -> float:
        """Return when a request has to start to meet its deadline."""
        return req.deadline - self.capacity.kinds.kind_mean_s(req.kind)

    def record_start(
        self, req: SlotRequest, priority_class: PriorityClass
    ) -> None:
        """Record that a request starts."""
        times = self._priority_time_s
        for rank in times:
            times[rank] *= PRIORITY_TIME_DECAY
        times[priority_class.rank] = times.get(
            priority_class.rank, 0
        ) + self.capacity.kinds.kind_mean_s(req.kind)
        shares = self._class_share
        shares.setdefault(priority_class, 0)
        for other, share in shares.items():
            step = CLASS_SHARE_WEIGHT * ((other == priority_class) - share)
            shares[other] = share + step

    def take_over(self, waiters: Sequence[Waiter]) -> None:
        """Queue the waiters of another queue of the gate."""
        self.waiters.extend(waiters)
        self.waiters.sort()

    def drain_s(self) -> float:
        """Return how long the target needs for the queue."""
        capacity = self.capacity
        return len(self.waiters) * capacity.kinds.mean_s / capacity.slots

    def _classify(
        self, req: SlotRequest, now: float
    ) -> tuple[PriorityClass, float]:
        """Return the class of a request and its latest start.

        Raises:
            RequestNotRun: It would wait too long in either class.
        """
        kinds = self.capacity.kinds
        service_time_s = kinds.kind_mean_s(req.kind)
        in_time = PriorityClass(req.rank, misses_objective=False)
        margin_s = OBJECTIVE_DEVIATIONS * kinds.kind_deviation_s(req.kind)
        latest_start = req.objective_at - service_time_s - margin_s
        if now + self._expected_wait_s(in_time, latest_start) <= latest_start:
            return in_time, latest_start
        late = PriorityClass(req.rank, misses_objective=True)
        latest_start = req.deadline - service_time_s
        wait_s = self._expected_wait_s(late, latest_start)
        if wait_s <= (latest_start - now) * LATE_WAIT_SHARE:
            return late, latest_start
        raise self.capacity.refuse('it would wait too long')

    def _expected_wait_s(
        self, priority_class: PriorityClass, latest_start: float
    ) -> float:
        """Return how long a new request of a class would wait."""
        ahead = bisect.bisect_right(
            self.waiters,
            (priority_class, latest_start),
            key=_queue_key,
        )
        before_rank = bisect.bisect_left(
            self.waiters,
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
        capacity = self.capacity
        slot_wait_s = (ahead + 1) * capacity.kinds.mean_s / capacity.slots
        return max(slot_wait_s, capacity.limit.wait_s(ahead))

    def _remaining_share(self, priority_class: PriorityClass) -> float:
        """Return the share of slots that preceding classes leave."""
        taken = sum(
            share
            for other, share in self._class_share.items()
            if other < priority_class
        )
        return max(1 - taken, MIN_REMAINING_SHARE)

    def _displace(self, priority_class: PriorityClass) -> None:
        """Refuse the last queued request if its class is after the given one.

        Raises:
            RequestNotRun: No queued request has a later class.
        """
        last = self.waiters[-1]
        if last.priority_class <= priority_class:
            raise self.capacity.refuse('the queue is full')
        self.waiters.pop()
        self.capacity.counters.displaced += 1
        if not last.admitted.done():
            last.admitted.set_exception(self.capacity.refuse('displaced'))

    def _next_index(self) -> int:
        """Return the index of the first waiter of the priority to serve next.

        A less urgent priority goes before more urgent ones while it has had
        less than its guaranteed share of slot time.
        """
        previous_rank = self.waiters[0].priority_class.rank
        for index, waiter in enumerate(self.waiters):
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
            self.expire(self.waiters.pop(start))


def _queue_key(waiter: Waiter) -> tuple[PriorityClass, float]:
    return waiter.priority_class, waiter.latest_start


def _rank_of(waiter: Waiter) -> int:
    return waiter.priority_class.rank
