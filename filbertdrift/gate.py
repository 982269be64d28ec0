"""Admission control for requests to the local target.

The gate admits no more requests than the target has slots. It queues only
requests that can still meet their deadlines, by priority class and fairly
between client accounts, and refuses the rest at once with a retry-after delay.
"""

import asyncio
import random
from collections import OrderedDict, deque
from dataclasses import dataclass

from filbertdrift.errors import RequestNotRun

IMPORTANCE_LEVELS = 3
BULK = 2
BULK_SHARE = 0.75
QUEUE_PER_SLOT = 4
SERVICE_TIME_EWMA_WEIGHT = 0.1
INITIAL_SERVICE_TIME_S = 0.02
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 5000
SLOW_START_SHARE = 0.25
PERMILLE = 1000


@dataclass(slots=True)
class Waiter:
    """A queued request."""

    importance: int
    client_account: str
    deadline: float
    admitted: asyncio.Future[None]


@dataclass(slots=True)
class GateCounters:
    """Decisions of the gate."""

    admitted: int = 0
    refused: int = 0
    shed: int = 0
    expired: int = 0


class Gate:
    """Limits concurrent requests to one target and queues the rest.

    Args:
        slots: Requests that the target runs concurrently.
        rng: Spreads the retry-after delays.
        warm_at: When the slow start ends, on the loop's clock.
        slow_start_s: How long the slow start takes.
    """

    def __init__(
        self,
        slots: int,
        rng: random.Random,
        warm_at: float = 0,
        slow_start_s: float = 0,
    ) -> None:
        """Start with all slots free."""
        self.slots = slots
        self.counters = GateCounters()
        self.is_draining = False
        self.running = 0
        self.waiting = 0
        self._rng = rng
        self._warm_at = warm_at
        self._slow_start_s = slow_start_s
        self._bulk_running = 0
        self._service_time_s = INITIAL_SERVICE_TIME_S
        self._queues: list[OrderedDict[str, deque[Waiter]]] = [
            OrderedDict() for _ in range(IMPORTANCE_LEVELS)
        ]

    @property
    def load_permille(self) -> int:
        """Return running and waiting requests over slots, in thousandths."""
        busy = self.running + self.waiting
        return busy * PERMILLE // max(self._slot_limit(), 1)

    async def admit(
        self,
        importance: int,
        client_account: str,
        deadline: float,
    ) -> None:
        """Wait for a slot, which release must free after the request.

        Args:
            importance: The priority class; zero is the highest.
            client_account: Whose request it is, for fair queueing.
            deadline: When the caller gives up, on the loop's clock.

        Raises:
            RequestNotRun: No slot was granted; the request may be retried.
        """
        self._check_admission(importance, deadline)
        if not self.waiting and self._has_slot(importance):
            self._take_slot(importance)
            return
        loop = asyncio.get_running_loop()
        waiter = Waiter(
            importance, client_account, deadline, loop.create_future()
        )
        self._enqueue(waiter)
        self._grant_slots()
        try:
            async with asyncio.timeout_at(deadline):
                await waiter.admitted
        except TimeoutError as exc:
            self._remove(waiter)
            self.counters.expired += 1
            raise self._refusal('deadline passed in the queue') from exc
        except asyncio.CancelledError:
            self._remove(waiter)
            raise

    def release(self, importance: int, service_time_s: float) -> None:
        """Free the slot of a request that has ended.

        Args:
            importance: As given to admit.
            service_time_s: How long it was at the target.
        """
        self.running -= 1
        if importance == BULK:
            self._bulk_running -= 1
        self._service_time_s += SERVICE_TIME_EWMA_WEIGHT * (
            service_time_s - self._service_time_s
        )
        self._grant_slots()

    def drain(self) -> None:
        """Refuse new requests; admitted ones continue."""
        self.is_draining = True

    def expected_wait_s(self) -> float:
        """Return how long a new request would wait."""
        ahead = self.waiting + self.running - self._slot_limit() + 1
        rate = self._service_time_s / max(self._slot_limit(), 1)
        return max(ahead, 0) * rate

    def _check_admission(self, importance: int, deadline: float) -> None:
        now = asyncio.get_running_loop().time()
        if self.is_draining:
            raise self._refusal('draining')
        expected_s = self._service_time_s
        if self.waiting and importance > 0:
            expected_s += self.expected_wait_s()
        if now >= deadline or (self.waiting and now + expected_s > deadline):
            raise self._refusal('cannot meet the deadline')

    def _slot_limit(self) -> int:
        now = asyncio.get_running_loop().time()
        if now >= self._warm_at or self._slow_start_s <= 0:
            return self.slots
        warmup_left = min((self._warm_at - now) / self._slow_start_s, 1)
        share = 1 - warmup_left * (1 - SLOW_START_SHARE)
        return max(int(self.slots * share), 1)

    def _has_slot(self, importance: int) -> bool:
        slots = self._slot_limit()
        if self.running >= slots:
            return False
        if importance == BULK:
            return self._bulk_running < max(int(slots * BULK_SHARE), 1)
        return True

    def _take_slot(self, importance: int) -> None:
        self.running += 1
        self.counters.admitted += 1
        if importance == BULK:
            self._bulk_running += 1

    def _enqueue(self, waiter: Waiter) -> None:
        if self.waiting >= self._slot_limit() * QUEUE_PER_SLOT:
            self._shed_for(waiter)
        queue = self._queues[waiter.importance]
        queue.setdefault(waiter.client_account, deque()).append(waiter)
        self.waiting += 1

    def _shed_for(self, arrival: Waiter) -> None:
        """Shed a queued request in favour of a new one."""
        victim = self._shed_candidate(arrival)
        if victim is None:
            raise self._refusal('queue is full')
        self._remove(victim)
        self.counters.shed += 1
        if not victim.admitted.done():
            victim.admitted.set_exception(self._refusal('shed for others'))

    def _shed_candidate(self, arrival: Waiter) -> Waiter | None:
        """Return the request to shed, None to refuse the new one instead.

        A lower priority class is shed first; within a class, the client
        account with the longest queue.
        """
        for importance in range(IMPORTANCE_LEVELS - 1, -1, -1):
            queue = self._queues[importance]
            if not queue:
                continue
            if importance < arrival.importance:
                return None
            longest = max(queue.values(), key=len)
            own = len(queue.get(arrival.client_account, ()))
            if importance > arrival.importance or len(longest) > own + 1:
                return longest[-1]
            return None
        return None

    def _remove(self, waiter: Waiter) -> None:
        """Remove a waiter; return its slot if one was granted."""
        if waiter.admitted.done() and not waiter.admitted.cancelled():
            if waiter.admitted.exception() is None:
                self._return_slot(waiter)
            return
        queue = self._queues[waiter.importance]
        waiting = queue.get(waiter.client_account)
        if waiting and waiter in waiting:
            waiting.remove(waiter)
            self.waiting -= 1
            if not waiting:
                queue.pop(waiter.client_account)

    def _return_slot(self, waiter: Waiter) -> None:
        self.running -= 1
        if waiter.importance == BULK:
            self._bulk_running -= 1
        self._grant_slots()

    def _grant_slots(self) -> None:
        while self.waiting:
            waiter = self._next_waiter()
            if waiter is None:
                return
            if waiter.admitted.done():
                continue
            self._take_slot(waiter.importance)
            waiter.admitted.set_result(None)

    def _next_waiter(self) -> Waiter | None:
        for importance, queue in enumerate(self._queues):
            if queue and self._has_slot(importance):
                client_account, waiting = next(iter(queue.items()))
                waiter = waiting.popleft()
                self.waiting -= 1
                queue.move_to_end(client_account)
                if not waiting:
                    queue.pop(client_account)
                return waiter
        return None

    def _refusal(self, reason: str) -> RequestNotRun:
        self.counters.refused += 1
        base_ms = int(self.expected_wait_s() * 1000)
        jitter_ms = int((MIN_RETRY_AFTER_MS + base_ms) * self._rng.random())
        retry_after_ms = MIN_RETRY_AFTER_MS + base_ms + jitter_ms
        return RequestNotRun(
            reason,
            retry_after_ms=min(retry_after_ms, MAX_RETRY_AFTER_MS),
            step='admit',
        )
