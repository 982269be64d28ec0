"""Tests of the pacing of bodies."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan
from testtools.testcase import ExpectedException

from filbertdrift.errors import RequestNotRun
from filbertdrift.inbound import MAX_HOLD_S, InboundPacer
from tests.builders import run_virtual

# Two chunks in transit.
LINK_MBPS = 6
FAR_OFF = 1e6


class InboundPacerTest(TestCase):
    """Turns to receive a chunk of a body."""

    def test_two_at_a_time_and_urgent_ones_first(self) -> None:
        run_virtual(self._order())

    async def _order(self) -> None:
        pacer = InboundPacer(LINK_MBPS)
        order: list[str] = []
        running = 0
        most = 0

        async def receive(name: str, *, is_urgent: bool) -> None:
            nonlocal most, running
            async with pacer.turn(FAR_OFF, is_urgent=is_urgent):
                order.append(name)
                running += 1
                most = max(most, running)
                await asyncio.sleep(0.1)
                running -= 1

        await asyncio.gather(
            *(receive(name, is_urgent=False) for name in 'abcd'),
            *(receive(name, is_urgent=True) for name in 'yz'),
        )
        self.assertThat(''.join(order), Equals('abyzcd'))
        self.assertThat(most, Equals(2))

    def test_cancelled_waiters_leave_no_trace(self) -> None:
        run_virtual(self._cancelled())

    async def _cancelled(self) -> None:
        pacer = InboundPacer(LINK_MBPS)
        tasks = [asyncio.ensure_future(self._hold(pacer)) for _ in range(8)]
        await asyncio.sleep(0.01)
        for number, task in enumerate(tasks):
            if number % 2:
                task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        started_at = asyncio.get_running_loop().time()
        await asyncio.gather(self._hold(pacer), self._hold(pacer))
        elapsed_s = asyncio.get_running_loop().time() - started_at
        self.assertThat(elapsed_s, LessThan(0.15))
        self.assertThat(pacer.waiting, Equals(0))

    async def _hold(self, pacer: InboundPacer) -> None:
        async with pacer.turn(FAR_OFF, is_urgent=False):
            await asyncio.sleep(0.1)

    def test_slow_senders_do_not_hold_up_the_others(self) -> None:
        run_virtual(self._slow())

    async def _slow(self) -> None:
        pacer = InboundPacer(LINK_MBPS)

        async def never_comes() -> None:
            async with pacer.turn(FAR_OFF, is_urgent=False):
                await asyncio.sleep(60)

        tasks = [asyncio.ensure_future(never_comes()) for _ in range(2)]
        await asyncio.sleep(0)
        started_at = asyncio.get_running_loop().time()
        await self._hold(pacer)
        elapsed_s = asyncio.get_running_loop().time() - started_at
        self.assertThat(elapsed_s, LessThan(MAX_HOLD_S + 0.15))
        for task in tasks:
            task.cancel()

    def test_bodies_that_would_be_late_are_refused(self) -> None:
        run_virtual(self._late())

    async def _late(self) -> None:
        pacer = InboundPacer(LINK_MBPS)
        await asyncio.gather(*(self._hold(pacer) for _ in range(40)))
        tasks = [asyncio.ensure_future(self._hold(pacer)) for _ in range(40)]
        await asyncio.sleep(0.01)
        now = asyncio.get_running_loop().time()
        pacer.check_wait(now + 60)
        self.assertThat(pacer.expected_wait_s(), GreaterThan(1))
        with ExpectedException(RequestNotRun):
            pacer.check_wait(now + 1)
        with ExpectedException(RequestNotRun):
            async with pacer.turn(now + 0.3, is_urgent=False):
                self.fail('the turn came too late')
        await asyncio.gather(*tasks)

    def test_no_limit_without_a_known_link(self) -> None:
        run_virtual(self._unlimited())

    async def _unlimited(self) -> None:
        pacer = InboundPacer(None)
        started_at = asyncio.get_running_loop().time()
        await asyncio.gather(*(self._hold(pacer) for _ in range(50)))
        elapsed_s = asyncio.get_running_loop().time() - started_at
        self.assertThat(elapsed_s, LessThan(0.15))
