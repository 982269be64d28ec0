"""When the bytes that a process reads may have arrived."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from loguru import logger

from filbertdrift.pause import read_suspended_s

MS_PER_S = 1000
TICK_S = 0.2
# Bytes that waited for less count as new. An idle process knows no better than
# to a tick.
MIN_STALL_S = 0.35
# Passes of the event loop until all that arrived in a stall has been read: a
# connection has to be accepted first, and its end follows its bytes. A node
# whose passes are long does not wait for the spare ones.
SETTLE_PASSES = 12
LEAST_SETTLE_PASSES = 7
SETTLE_S = 0.1
# Passes after which what had arrived at their beginning has been read.
READ_PASSES = 2
# How exactly it is known when the sockets were last read.
PRECISION_S = 0.05


Settle = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class ArrivalCounters:
    """Times in which a process did not read its sockets."""

    stalls: int = 0
    stalled_ms: int = 0


class ArrivalClock:
    """Tells when the bytes that are read now may have arrived.

    A process that is suspended or busy reads late. Bytes that are read after
    such a stall may have arrived at any time in it.

    Args:
        suspended_s: Returns for how long the machine was suspended since boot;
            the loop's clock does not include that time.

    Attributes:
        counters: The stalls.
    """

    def __init__(
        self, suspended_s: Callable[[], float] = read_suspended_s
    ) -> None:
        """Start without a stall."""
        self.counters = ArrivalCounters()
        self._suspended_s = suspended_s
        # All that had arrived by then has been read; on a clock that includes
        # suspensions, as the next.
        self._read_until: float | None = None
        # The present round of passes: how many follow, and when the last two
        # began; the first one is preceded by the beginning of the round.
        self._passes_left = 0
        self._last_pass_at = 0.0
        self._earlier_pass_at: float | None = None
        self._noticed_at = 0.0
        self._stalled_since: float | None = None
        self._settled = asyncio.Event()
        self._cpu_s = time.process_time()

    async def run(self) -> None:
        """Observe the event loop until cancelled."""
        while True:
            self._observe()
            await asyncio.sleep(TICK_S)

    def stamp(self) -> float:
        """Return when bytes that are read now may have arrived at first.

        Returns:
            The time on the loop's clock, now unless they come from a stall.
        """
        age_s = 0.0
        now = self._observe()
        if self._stalled_since is not None:
            age_s = now - self._stalled_since
        return asyncio.get_running_loop().time() - age_s

    async def settle(self) -> None:
        """Wait until all that arrived in a stall has been read, if in one.

        Decisions on old requests wait for it, as their callers may have left.
        """
        self._observe()
        if self._stalled_since is not None:
            await self._settled.wait()

    def _observe(self) -> float:
        """Note the time, and a stall before it."""
        now = self._now()
        if self._read_until is None:
            self._read_until = now
        if self._stalled_since is None:
            if now - self._read_until > MIN_STALL_S:
                self._begin_stall(self._read_until, now)
            elif not self._passes_left and now - self._read_until > PRECISION_S:
                self._begin_round(now, READ_PASSES)
        return now

    def _begin_stall(self, since: float, now: float) -> None:
        self._stalled_since = since
        self._noticed_at = now
        self._settled.clear()
        self.counters.stalls += 1
        stalled_ms = int((now - since) * MS_PER_S)
        self.counters.stalled_ms += stalled_ms
        cpu_s = time.process_time() - self._cpu_s
        logger.bind(
            event='stalled',
            stalled_ms=stalled_ms,
            cpu_ms=int(cpu_s * MS_PER_S),
        ).info('this process did not read its sockets')
        self._begin_round(now, SETTLE_PASSES)

    def _begin_round(self, now: float, passes: int) -> None:
        if not self._passes_left:
            self._earlier_pass_at = None
            self._last_pass_at = now
            asyncio.get_running_loop().call_soon(self._pass)
        self._passes_left = passes

    def _pass(self) -> None:
        now = self._now()
        if self._earlier_pass_at is not None:
            self._read_until = self._earlier_pass_at
        self._earlier_pass_at = self._last_pass_at
        self._last_pass_at = now
        self._passes_left -= 1
        if self._stalled_since is not None and self._is_settled(now):
            self._passes_left = 0
        if self._passes_left:
            asyncio.get_running_loop().call_soon(self._pass)
            return
        self._stalled_since = None
        self._cpu_s = time.process_time()
        self._settled.set()

    def _is_settled(self, now: float) -> bool:
        """Return whether the rest of a round after a stall can be spared."""
        passes = SETTLE_PASSES - self._passes_left
        is_slow = now - self._noticed_at > SETTLE_S
        return passes >= LEAST_SETTLE_PASSES and is_slow

    def _now(self) -> float:
        """Return the time on a clock that includes suspensions."""
        return asyncio.get_running_loop().time() + self._suspended_s()


async def settle_at_once() -> None:
    """Return at once, as if there were no stalls."""
