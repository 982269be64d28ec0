"""The age of messages: stalls, arrivals and the clocks of other nodes."""

import asyncio
import time

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from filbertdrift.age.arrivals import TICK_S, ArrivalClock
from filbertdrift.age.peerclock import RENEWAL_S, PeerClock
from filbertdrift.age.timedstream import TimedStream
from filbertdrift.age.transit import measure_transit_s

STALL_S = 0.6


class ArrivalClockTest(TestCase):
    """What is read after a stall may have arrived at its beginning."""

    def test_stall(self) -> None:
        asyncio.run(self._stall())

    async def _stall(self) -> None:
        clock = ArrivalClock()
        ticking = asyncio.ensure_future(clock.run())
        await asyncio.sleep(2 * TICK_S)
        loop = asyncio.get_running_loop()
        self.assertThat(loop.time() - clock.stamp(), LessThan(0.01))
        time.sleep(STALL_S)  # noqa: ASYNC251
        self.assertThat(loop.time() - clock.stamp(), GreaterThan(STALL_S))
        await clock.settle()
        self.assertThat(loop.time() - clock.stamp(), LessThan(0.01))
        self.assertThat(clock.counters.stalls, Equals(1))
        ticking.cancel()

    # A machine that was suspended stops the clock of the event loop.
    def test_suspended_machine(self) -> None:
        asyncio.run(self._suspended())

    async def _suspended(self) -> None:
        suspended_s = [5.0]
        clock = ArrivalClock(lambda: suspended_s[0])
        clock.stamp()
        suspended_s[0] += 7
        loop = asyncio.get_running_loop()
        self.assertThat(loop.time() - clock.stamp(), GreaterThan(6.9))

    # A callback that runs for long is a stall although others run beside it.
    def test_busy_loop(self) -> None:
        asyncio.run(self._busy())

    async def _busy(self) -> None:
        clock = ArrivalClock()
        loop = asyncio.get_running_loop()
        clock.stamp()
        for _ in range(12):
            loop.call_soon(time.sleep, STALL_S / 10)
        await asyncio.sleep(0)
        self.assertThat(loop.time() - clock.stamp(), GreaterThan(STALL_S))

    # A node that is busy all the time must not take what it reads at once for
    # old, and make callers wait.
    def test_short_passes_are_no_stall(self) -> None:
        asyncio.run(self._short_passes())

    async def _short_passes(self) -> None:
        clock = ArrivalClock()
        for _ in range(20):
            clock.stamp()
            time.sleep(0.08)  # noqa: ASYNC251
            await asyncio.sleep(0)
        self.assertThat(clock.counters.stalls, Equals(0))


class TimedStreamTest(TestCase):
    """Bytes are returned with the time of their arrival."""

    def test_each_arrival(self) -> None:
        asyncio.run(self._arrivals())

    async def _arrivals(self) -> None:
        stream = TimedStream(ArrivalClock(), 1000)
        stream.feed_data(b'old')
        await asyncio.sleep(0.1)
        stream.feed_data(b'newer')
        self.assertThat(await stream.read(2), Equals(b'ol'))
        first_at = stream.arrived_at
        self.assertThat(await stream.read(100), Equals(b'd'))
        self.assertThat(stream.arrived_at, Equals(first_at))
        self.assertThat(await stream.read(100), Equals(b'newer'))
        self.assertThat(stream.arrived_at - first_at, GreaterThan(0.09))
        self.assertThat(stream.unread_bytes, Equals(0))
        stream.feed_eof()
        self.assertThat(await stream.read(100), Equals(b''))


class PeerClockTest(TestCase):
    """The other end's clock is never taken for later than it is."""

    def test_statements(self) -> None:
        clock = PeerClock()
        self.assertThat(clock.least_ms(1), Equals(None))
        # The other end is 100 s ahead; a second each way.
        clock.asked(10)
        clock.record(111_000, 12)
        self.assertThat(clock.least_ms(12), Equals(111_000))
        self.assertThat(clock.may_improve(12), Equals(True))
        # A millisecond each way.
        clock.asked(12)
        clock.record(112_001, 12.002)
        self.assertThat(clock.least_ms(13.002), Equals(113_001))
        self.assertThat(clock.may_improve(13), Equals(False))
        # A late reply tells less.
        clock.asked(13)
        clock.record(113_001, 15)
        self.assertThat(clock.least_ms(15.002), Equals(115_001))
        self.assertThat(clock.may_improve(12.1 + RENEWAL_S), Equals(True))

    def test_reply_without_a_clock(self) -> None:
        clock = PeerClock()
        clock.asked(1)
        clock.record(None, 2)
        self.assertThat(clock.least_ms(3), Equals(None))
        self.assertThat(clock.may_improve(3), Equals(False))

    # A clock that drifts must not make every message late in the end.
    def test_outdated_statement_is_replaced(self) -> None:
        clock = PeerClock()
        clock.asked(0)
        clock.record(0, 0)
        clock.asked(40)
        clock.record(39_990, 40)
        self.assertThat(clock.least_ms(41), Equals(40_990))

    def test_transit(self) -> None:
        self.assertThat(measure_transit_s(1000, 1.25), Equals(0.25))
        self.assertThat(measure_transit_s(1000, 0.9), Equals(0))
