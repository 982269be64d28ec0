"""Admission to one target by what can still be answered in time.

The gate keeps to the target's slots. A request waits if its turn is expected
in time for its latency objective, or else, behind those that are in time, if
what they leave of the slots lets it meet its deadline. Otherwise it is refused
at once with the time in which the queue drains. The more urgent rank goes
first and may take the place of a less urgent request that waits.
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

PERMILLE = 1000
MS_PER_S = 1000
# Estimate for requests of a route before the first one has ended.
FIRST_SERVICE_TIME_S = 0.05
SERVICE_TIME_WEIGHT = 0.1
MIN_RETRY_AFTER_MS = 40
MAX_RETRY_AFTER_MS = 3000
# Weight of one request in the estimate of which tiers take the slots.
TIER_SHARE_WEIGHT = 0.02
# The tiers before one leave at least this part of the slots in estimates.
MIN_LEFT_SHARE = 0.1
# Part of the slots' time that each rank gets if it has requests: the urgent
# go first, but the others do not starve.
GUARANTEED_SHARE = 0.15
# Decay, for each request, of the slots' time that a rank has had.
RANK_TIME_KEPT = 0.99
# Part of the time to its deadline that a late request may be expected to wait.
LATE_WAIT_SHARE = 0.5
# A target with more waiting than this for each slot is certainly too slow.
QUEUE_PER_SLOT = 4


@dataclass(slots=True)
class SlotRequest:
    """A request for one of the target's slots.

    Args:
        rank: Zero is the most urgent.
        kind: Requests of one kind take about the same time.
        objective_at: An answer until then is worth most, on the loop's clock.
        deadline: When the caller gives up, on the loop's clock.
        may_wait: It may wait for a slot.
    """

    rank: int
    kind: str
    objective_at: float
    deadline: float
    may_wait: bool = True


class _Tier(NamedTuple):
    """Requests that go before or after all others: by rank, in time first."""

    rank: int
    is_late: bool


@dataclass(order=True, slots=True)
class _Waiter:
    """A request in the queue, ordered by who goes first."""

    tier: _Tier
    latest_start: float
    number: int
    req: SlotRequest = field(compare=False)
    admitted: asyncio.Future[None] = field(compare=False)


@dataclass(slots=True)
class ObjectiveGateCounters:
    """What the gate did."""

    admitted: int = 0
    queued: int = 0
    refused: int = 0
    not_free: int = 0
    displaced: int = 0
    expired: int = 0


class ObjectiveGate:
    """Slots and queue of one target.

    Args:
        slots: Requests that the target runs at a time.
        rng: Spreads the retry-after delays.
    """

    def __init__(self, slots: int, rng: random.Random) -> None:
        """Start empty and open."""
        self.slots = max(slots, 1)
        self.counters = ObjectiveGateCounters()
        self.running = 0
        # Requests without a slot whose bodies are on their way.
        self.incoming = 0
        self.closes_at = float('inf')
        self._rng = rng
        self._queue: list[_Waiter] = []
        self._numbers = itertools.count()
        self._mean_s = FIRST_SERVICE_TIME_S
        # Part of the slots that each tier has taken lately.
        self._tier_share: dict[_Tier, float] = {}
        # Time of slots that each rank has taken lately, decayed.
        self._rank_time_s: dict[int, float] = {}
        self._kind_s: dict[str, float] = defaultdict(lambda: self._mean_s)

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    @property
    def load_permille(self) -> int:
        """Return requests here or on their way over slots, in thousandths."""
        known = self.running + self.waiting + self.incoming
        return known * PERMILLE // self.slots

    @contextlib.contextmanager
    def track_incoming(self, req: SlotRequest) -> Iterator[None]:
        """Expect a request that is still on its way; it holds no slot.

        Args:
            req: The request for a slot.

        Raises:
            NoFreeSlot: It would have to wait and may not.
            RequestNotRun: It could not be served in time.
        """
        now = asyncio.get_running_loop().time()
        self._check_open(req, now)
        if self._queue or self.running + self.incoming >= self.slots:
            self._check_may_wait(req)
            self._place(req, now)
        self.incoming += 1
        try:
            yield
        finally:
            self.incoming -= 1

    async def admit(self, req: SlotRequest) -> None:
        """Wait for a slot; release must be called after the request.

        Args:
            req: The request for a slot.

        Raises:
            NoFreeSlot: It would have to wait and may not.
            RequestNotRun: It cannot be served in time; it may come back.
        """
        now = asyncio.get_running_loop().time()
        self._check_open(req, now)
        if not self._queue and self.running < self.slots:
            self._take_slot(_Tier(req.rank, is_late=False), req.kind)
            return
        self._check_may_wait(req)
        waiter = self._enqueue(req, now)
        # Later than that it could not be answered before its deadline.
        latest_start = req.deadline - self._kind_s[req.kind]
        try:
            async with asyncio.timeout_at(latest_start):
                await waiter.admitted
        except TimeoutError as exc:
            self._leave(waiter)
            self.counters.expired += 1
            raise self._refusal('its turn did not come in time') from exc
        except asyncio.CancelledError:
            self._leave(waiter)
            raise

    def release(self, kind: str, service_time_s: float) -> None:
        """Free the slot of a request that has ended.

        Args:
            kind: As given to admit.
            service_time_s: How long the target had it; zero if that tells
                nothing of the kind.
        """
        self.running -= 1
        if service_time_s > 0:
            known = self._kind_s[kind]
            step = SERVICE_TIME_WEIGHT
            self._kind_s[kind] = known + step * (service_time_s - known)
            self._mean_s += step * (service_time_s - self._mean_s)
        self._wake()

    def _check_open(self, req: SlotRequest, now: float) -> None:
        if now >= self.closes_at:
            raise self._refusal('the target is leaving')
        if now >= req.deadline:
            raise self._refusal('the deadline has passed')

    def _check_may_wait(self, req: SlotRequest) -> None:
        if not req.may_wait:
            self.counters.not_free += 1
            raise NoFreeSlot('no free slot', retry_after_ms=0, step='admit')

    def _enqueue(self, req: SlotRequest, now: float) -> _Waiter:
        tier, latest = self._place(req, now)
        if len(self._queue) >= self.slots * QUEUE_PER_SLOT:
            self._displace(tier)
        loop = asyncio.get_running_loop()
        waiter = _Waiter(
            tier,
            latest,
            next(self._numbers),
            req,
            loop.create_future(),
        )
        bisect.insort(self._queue, waiter)
        self.counters.queued += 1
        self._wake()
        return waiter

    def _place(self, req: SlotRequest, now: float) -> tuple[_Tier, float]:
        """Return the tier of a request and when it must start at the latest.

        Raises:
            RequestNotRun: It would be too late in any tier.
        """
        service_time_s = self._kind_s[req.kind]
        in_time = _Tier(req.rank, is_late=False)
        latest = req.objective_at - service_time_s
        if now + self._expected_wait_s(in_time, latest) <= latest:
            return in_time, latest
        late = _Tier(req.rank, is_late=True)
        latest = req.deadline - service_time_s
        wait_s = self._expected_wait_s(late, latest)
        if wait_s <= (latest - now) * LATE_WAIT_SHARE:
            return late, latest
        raise self._refusal('it would wait too long')

    def _expected_wait_s(self, tier: _Tier, latest_start: float) -> float:
        """Return how long a new request would wait in a tier."""
        ahead = bisect.bisect_right(
            self._queue,
            (tier, latest_start),
            key=_place_of,
        )
        of_other_ranks = bisect.bisect_left(
            self._queue,
            tier.rank,
            key=_rank_of,
        )
        turn_s = self._mean_s / self.slots
        wait_s = (ahead + 1) * turn_s / self._left_share(tier)
        ahead_in_rank = ahead - of_other_ranks
        return min(wait_s, (ahead_in_rank + 1) * turn_s / GUARANTEED_SHARE)

    def _left_share(self, tier: _Tier) -> float:
        """Return the part of the slots that the tiers before one leave."""
        taken = sum(
            share for other, share in self._tier_share.items() if other < tier
        )
        return max(1 - taken, MIN_LEFT_SHARE)

    def _displace(self, tier: _Tier) -> None:
        """Make room for a request by refusing one of a later tier."""
        last = self._queue[-1]
        if last.tier <= tier:
            raise self._refusal('the queue is full')
        self._queue.pop()
        self.counters.displaced += 1
        if not last.admitted.done():
            last.admitted.set_exception(self._refusal('displaced'))

    def _take_slot(self, tier: _Tier, kind: str) -> None:
        times = self._rank_time_s
        for rank in times:
            times[rank] *= RANK_TIME_KEPT
        times[tier.rank] = times.get(tier.rank, 0) + self._kind_s[kind]
        shares = self._tier_share
        shares.setdefault(tier, 0)
        for other, share in shares.items():
            step = TIER_SHARE_WEIGHT * ((other == tier) - share)
            shares[other] = share + step
        self.running += 1
        self.counters.admitted += 1

    def _leave(self, waiter: _Waiter) -> None:
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
        while self._queue and self.running < self.slots:
            waiter = self._next_waiter(now)
            if waiter.admitted.done():
                continue
            if self._is_too_late(waiter, now):
                self._expire(waiter)
                continue
            self._take_slot(waiter.tier, waiter.req.kind)
            waiter.admitted.set_result(None)
        self._give_up_hopeless(now)

    def _give_up_hopeless(self, now: float) -> None:
        """Refuse the last late waiter if its turn is not to be expected."""
        for index in range(len(self._queue) - 1, -1, -1):
            waiter = self._queue[index]
            if not waiter.tier.is_late:
                continue
            wait_s = index * self._mean_s / self.slots
            wait_s /= self._left_share(waiter.tier)
            if wait_s > (waiter.latest_start - now) * LATE_WAIT_SHARE:
                self._expire(self._queue.pop(index))
            return

    def _next_waiter(self, now: float) -> _Waiter:
        """Take the first waiter, one that can still start in time if any.

        Those of its tier that cannot are refused then: their turn would make
        others late as well.
        """
        start = self._first_owed()
        tier = self._queue[start].tier
        in_time = bisect.bisect_left(
            self._queue,
            (tier, now),
            key=_place_of,
        )
        is_any = in_time < len(self._queue)
        if is_any and self._queue[in_time].tier == tier:
            self._expire_between(start, in_time)
        return self._queue.pop(start)

    def _first_owed(self) -> int:
        """Return the place of the first waiter whose rank is owed a turn.

        A less urgent rank that has had less than its guaranteed part of the
        slots goes before the more urgent ones.
        """
        seen = self._queue[0].tier.rank
        for index, waiter in enumerate(self._queue):
            rank = waiter.tier.rank
            if rank == seen:
                continue
            seen = rank
            if self._rank_time_share(rank) < GUARANTEED_SHARE:
                return index
        return 0

    def _rank_time_share(self, rank: int) -> float:
        """Return the part of the slots' time that a rank has had lately."""
        total_s = sum(self._rank_time_s.values())
        return self._rank_time_s.get(rank, 0) / total_s if total_s else 0

    def _expire_between(self, start: int, end: int) -> None:
        for _ in range(end - start):
            self._expire(self._queue.pop(start))

    def _expire(self, waiter: _Waiter) -> None:
        self.counters.expired += 1
        if not waiter.admitted.done():
            refusal = self._refusal('its turn came too late')
            waiter.admitted.set_exception(refusal)

    def _is_too_late(self, waiter: _Waiter, now: float) -> bool:
        if now >= self.closes_at:
            return True
        service_time_s = self._kind_s[waiter.req.kind]
        return now + service_time_s > waiter.req.deadline

    def _refusal(self, reason: str) -> RequestNotRun:
        self.counters.refused += 1
        drain_ms = self.waiting * self._mean_s / self.slots * MS_PER_S
        base_ms = MIN_RETRY_AFTER_MS + drain_ms
        retry_after_ms = base_ms * (0.5 + self._rng.random())
        return RequestNotRun(
            reason,
            retry_after_ms=min(int(retry_after_ms), MAX_RETRY_AFTER_MS),
            step='admit',
        )


def _place_of(waiter: _Waiter) -> tuple[_Tier, float]:
    return waiter.tier, waiter.latest_start


def _rank_of(waiter: _Waiter) -> int:
    return waiter.tier.rank
