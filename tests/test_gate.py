"""Admission control: slots, deadlines, priority classes, fairness."""

import asyncio
import random
from collections import Counter

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from filbertdrift.errors import RequestNotRun
from filbertdrift.gate import BULK, QUEUE_PER_SLOT, Gate
from tests.builders import run_virtual

CRITICAL, NORMAL = 0, 1


class GateTest(TestCase):
    """Requests compete for a few slots in virtual time."""

    def setUp(self) -> None:
        super().setUp()
        self.outcomes: Counter[str] = Counter()
        self.peak_running = 0

    async def request(
        self,
        gate: Gate,
        name: str,
        importance: int = NORMAL,
        timeout_s: float = 10,
        work_s: float = 0.1,
    ) -> None:
        """Send one request through a gate."""
        loop = asyncio.get_running_loop()
        try:
            await gate.admit(importance, name, loop.time() + timeout_s)
        except RequestNotRun:
            self.outcomes[f'{name} refused'] += 1
            return
        self.peak_running = max(self.peak_running, gate.running)
        await asyncio.sleep(work_s)
        gate.release(importance, work_s)
        self.outcomes[name] += 1

    def test_limits_concurrency_and_admits_all(self) -> None:
        async def case() -> None:
            gate = Gate(4, random.Random(1))
            await asyncio.gather(*(self.request(gate, 'a') for _ in range(20)))
            self.assertThat(gate.running, Equals(0))
            self.assertThat(gate.waiting, Equals(0))

        run_virtual(case())
        self.assertThat(self.peak_running, Equals(4))
        self.assertThat(self.outcomes['a'], Equals(20))

    def test_sheds_bulk_for_critical(self) -> None:
        async def case() -> None:
            gate = Gate(2, random.Random(1))
            bulk = [self.request(gate, 'bulk', BULK) for _ in range(12)]
            first = asyncio.gather(*bulk)
            await asyncio.sleep(0.01)
            last = [self.request(gate, 'critical', CRITICAL) for _ in range(6)]
            await asyncio.gather(first, *last)

        run_virtual(case())
        self.assertThat(self.outcomes['critical'], Equals(6))
        self.assertThat(self.outcomes['bulk refused'], GreaterThan(3))

    def test_bulk_leaves_a_slot_free(self) -> None:
        async def case() -> None:
            gate = Gate(4, random.Random(1))
            bulk = [
                self.request(gate, 'bulk', BULK, work_s=5) for _ in range(8)
            ]
            running = asyncio.gather(*bulk)
            await asyncio.sleep(0.01)
            began = asyncio.get_running_loop().time()
            await self.request(gate, 'lookup')
            waited = asyncio.get_running_loop().time() - began
            self.assertThat(waited, LessThan(0.2))
            running.cancel()

        run_virtual(case())

    def test_fair_between_client_accounts(self) -> None:
        async def case() -> None:
            gate = Gate(2, random.Random(1))
            greedy = [self.request(gate, 'greedy') for _ in range(60)]
            first = asyncio.gather(*greedy)
            await asyncio.sleep(0.01)
            await asyncio.gather(*(self.request(gate, 'b') for _ in range(3)))
            await first

        run_virtual(case())
        self.assertThat(self.outcomes['b'], Equals(3))
        queue = 2 * QUEUE_PER_SLOT
        self.assertThat(self.outcomes['greedy'], LessThan(2 + queue + 1))

    def test_refuses_requests_that_cannot_meet_their_deadline(self) -> None:
        async def case() -> None:
            gate = Gate(1, random.Random(1))
            await self.request(gate, 'warm', work_s=1)
            await asyncio.gather(
                *(
                    self.request(gate, 'late', timeout_s=1.2, work_s=1)
                    for _ in range(4)
                ),
            )
            self.assertThat(gate.waiting, Equals(0))

        run_virtual(case())
        self.assertThat(self.outcomes['late'], LessThan(3))

    def test_cancelled_waiters_are_removed(self) -> None:
        async def case() -> None:
            gate = Gate(1, random.Random(1))
            tasks = [
                asyncio.ensure_future(self.request(gate, str(number % 3)))
                for number in range(5)
            ]
            await asyncio.sleep(0.05)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.assertThat(gate.waiting, Equals(0))
            gate.release(NORMAL, 0.1)
            await self.request(gate, 'after')

        run_virtual(case())
        self.assertThat(self.outcomes['after'], Equals(1))

    def test_retry_after_delays_are_spread(self) -> None:
        async def case() -> set[int]:
            gate = Gate(1, random.Random(1))
            gate.drain()
            found = set()
            for _ in range(50):
                try:
                    await gate.admit(NORMAL, 'a', 1e9)
                except RequestNotRun as exc:
                    found.add(exc.retry_after_ms)
            return found

        self.assertThat(len(run_virtual(case())), GreaterThan(20))

    def test_slow_start_limits_slots(self) -> None:
        async def case() -> None:
            now = asyncio.get_running_loop().time()
            gate = Gate(8, random.Random(1), now + 4, 4)
            most = []
            for _ in range(3):
                self.peak_running = 0
                work = [self.request(gate, 'a', work_s=0.05) for _ in range(8)]
                await asyncio.gather(*work)
                most.append(self.peak_running)
                await asyncio.sleep(2)
            self.assertThat(most, Equals([2, 5, 8]))

        run_virtual(case())
