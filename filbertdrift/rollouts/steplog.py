"""The stream of steps on the platform's log, and the status records."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from filbertdrift import wire
from filbertdrift.errors import LogGap, LogUnavailable, MalformedMessage
from filbertdrift.gen import ttypes
from filbertdrift.keyedlog import NO_ERA, KeyedLog, KeyedPage, KeyedRecord
from filbertdrift.rollouts.state import LONG_AGO
from filbertdrift.rollouts.steps import (
    NO_STEP,
    Order,
    Step,
    step_from_message,
    step_to_message,
)

KEY_PREFIX = 'rollout/'
# The driver's reads wait for records this long. What a read returns shows the
# log's end as of when it began, so a short wait keeps the evidence new.
POLL_S = 0.5
MIN_POLL_INTERVAL_S = 0.3
BACKOFF_S = 0.3
# A decision that waited longer for the log is taken again: this node may have
# been paused, or another one may drive.
MAX_DECISION_AGE_S = 1.5

OnStep = Callable[[Step], None]


@dataclass(frozen=True, slots=True)
class RolloutFormats:
    """Streams and formats of the platform.

    Args:
        steps_stream: The stream of this system's steps.
        status_stream: The stream of the status of roll-outs.
        parse_order: Decodes a record of the operator's stream; None if it is
            no order. Raises MalformedMessage.
        encode_status: Returns the record of the status that a step leads to.
    """

    steps_stream: str
    status_stream: str
    parse_order: Callable[[KeyedRecord, int], Order | None]
    encode_status: Callable[[Step], KeyedRecord]


@dataclass(slots=True)
class StepLogCounters:
    """Appends of steps and status records by this node."""

    appended: int = 0
    refused: int = 0
    failures: int = 0
    statuses: int = 0


class StepLog:
    """Reads and appends steps; runs at nodes that drive a roll-out.

    Args:
        log: The platform's log.
        formats: Its streams.
        on_step: Called with each step that was read.
        rng: Adds jitter.

    Attributes:
        confirmed_at: When the steps known here were the newest.
        era: The era of the log that was read last.
    """

    def __init__(
        self,
        log: KeyedLog,
        formats: RolloutFormats,
        on_step: OnStep,
        rng: random.Random,
    ) -> None:
        """Start without having read."""
        self.counters = StepLogCounters()
        self.confirmed_at = LONG_AGO
        self._log = log
        self._formats = formats
        self._on_step = on_step
        self._rng = rng
        self.era = NO_ERA
        self._next_offset: int | None = None
        # Logged once, until a read succeeds.
        self._is_failing = False

    async def follow(self) -> None:
        """Read the steps until cancelled."""
        loop = asyncio.get_running_loop()
        self._next_offset = None
        try:
            while True:
                started_at = loop.time()
                await self._follow_once()
                rest_s = started_at + MIN_POLL_INTERVAL_S - loop.time()
                await asyncio.sleep(max(rest_s, 0))
        finally:
            self.confirmed_at = LONG_AGO

    async def read_newest(self) -> KeyedPage:
        """Read the newest step of each service.

        Raises:
            LogUnavailable: The log cannot be reached.
        """
        sent_at = asyncio.get_running_loop().time()
        page = await self._log.newest(self._formats.steps_stream)
        self._accept(page, sent_at)
        return page

    async def append(
        self, step: Step, age_s: float, is_next: Callable[[], bool]
    ) -> bool:
        """Append a step if it is still the next one.

        Args:
            step: The step.
            age_s: Time since its order was read.
            is_next: Returns whether the step is the next one, as far as
                is known after the newest steps have been read.

        Returns:
            True if it stands.

        Raises:
            LogUnavailable: The log cannot be reached. The step may stand.
        """
        loop = asyncio.get_running_loop()
        decided_at = loop.time()
        page = await self.read_newest()
        is_late = loop.time() - decided_at > MAX_DECISION_AGE_S
        if is_late or not is_next():
            return False
        return await self._append_step(step, age_s, page.next_offset)

    async def write_status(self, step: Step) -> bool:
        """Write the status that a step leads to, unless it is there.

        Args:
            step: The newest step of its service.

        Returns:
            True if the status is there.

        Raises:
            LogUnavailable: The log cannot be reached. The status may be there.
        """
        stream = self._formats.status_stream
        status = self._formats.encode_status(step)
        page = await self._log.newest(stream)
        if status in page.records:
            return True
        steps = await self.read_newest()
        number = _newest_number(step, steps)
        if number < step.number:
            # The log came back from an older copy.
            await self._append_step(step, 0, steps.next_offset)
            return False
        if number > step.number:
            return False
        is_written = await self._log.append_at(stream, status, page.next_offset)
        self.counters.statuses += is_written
        return is_written

    async def _append_step(self, step: Step, age_s: float, offset: int) -> bool:
        record = KeyedRecord(
            KEY_PREFIX + step.order.service,
            wire.encode(step_to_message(step, age_s)),
        )
        is_appended = await self._log.append_at(
            self._formats.steps_stream, record, offset
        )
        self.counters.appended += is_appended
        self.counters.refused += not is_appended
        return is_appended

    async def _follow_once(self) -> None:
        try:
            await self._poll()
        except LogGap:
            self._next_offset = None
        except LogUnavailable as exc:
            self.counters.failures += 1
            self._next_offset = None
            if not self._is_failing:
                logger.bind(event='rollout_log_failed').warning('{}', exc)
            self._is_failing = True
            await asyncio.sleep(BACKOFF_S * (1 + self._rng.random()))
        else:
            self._is_failing = False

    async def _poll(self) -> None:
        if self._next_offset is None:
            page = await self.read_newest()
            self._next_offset = page.next_offset
            self.era = page.era
            return
        sent_at = asyncio.get_running_loop().time()
        page = await self._log.read(
            self._formats.steps_stream, self._next_offset, POLL_S
        )
        is_moved = not page.records and page.next_offset != self._next_offset
        if page.era != self.era or is_moved or page.has_more:
            self._next_offset = None
            return
        self._accept(page, sent_at)
        self._next_offset = page.next_offset

    def _accept(self, page: KeyedPage, sent_at: float) -> None:
        for record in page.records:
            step = parse_step(record)
            if step is not None:
                self._on_step(step)
        self.confirmed_at = max(self.confirmed_at, sent_at)


def parse_step(record: KeyedRecord) -> Step | None:
    """Return the step in a record, None if there is none."""
    if not record.payload or not record.key.startswith(KEY_PREFIX):
        return None
    try:
        return step_from_message(
            wire.decode(ttypes.RolloutStep, record.payload)
        )
    except MalformedMessage as exc:
        logger.bind(event='rollout_step_malformed', key=record.key).warning(
            '{}', exc
        )
        return None


def _newest_number(step: Step, page: KeyedPage) -> int:
    """Return the number of the newest step of a service on the log."""
    found = [parse_step(record) for record in page.records]
    return max(
        (
            known.number
            for known in found
            if known is not None and known.order.service == step.order.service
        ),
        default=NO_STEP,
    )
