"""Keeps departures on the log, for the next process of this node."""

import asyncio
import hashlib
import random
from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from loguru import logger

from filbertdrift import wire
from filbertdrift.departures.history import Departure
from filbertdrift.errors import LogUnavailable, MalformedMessage
from filbertdrift.gen import ttypes
from filbertdrift.keyedlog import NO_ERA, KeyedLog, KeyedRecord

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
KEY_SEPARATOR = '/'
# Instance ids have any length, keys of the log have not.
_HASH_BYTES = 8

OnRead = Callable[[Departure], None]


@dataclass(slots=True)
class DepartureCounters:
    """Departures on the log.

    Args:
        written: Records that this process appended.
        read: Records of earlier processes that it found when it started.
        failures: Calls to the log that failed.
    """

    written: int = 0
    read: int = 0
    failures: int = 0


class DepartureKeeper:
    """Writes the departures of one node's target to the log, and reads them.

    Args:
        log: The platform's log.
        stream: The keyed stream of departures.
        node: Address of this node.
        on_read: Called with each departure that an earlier process wrote.
        rng: Adds jitter.
    """

    def __init__(
        self,
        log: KeyedLog,
        stream: str,
        node: str,
        on_read: OnRead,
        rng: random.Random,
    ) -> None:
        """Start without departures, none of them read."""
        self.counters = DepartureCounters()
        self._log = log
        self._stream = stream
        self._node = node
        self._on_read = on_read
        self._rng = rng
        self._era = NO_ERA
        self._is_read = False
        # What the log holds, and what it does not hold yet, by instance.
        self._kept: dict[str, Departure] = {}
        self._unwritten: dict[str, Departure] = {}
        # Instances whose records are to be deleted.
        self._expired: deque[str] = deque()
        self._has_work = asyncio.Event()
        # Replaced when it is set.
        self._has_written = asyncio.Event()

    def add(self, departure: Departure) -> None:
        """Write a departure, soon; has no effect if the log holds it."""
        if not self.is_kept(departure):
            self._unwritten[departure.instance] = departure
            self._has_work.set()

    def remove(self, departures: Iterable[Departure]) -> None:
        """Delete the records of departures, soon."""
        for departure in departures:
            self._unwritten.pop(departure.instance, None)
            if self._kept.pop(departure.instance, None) is not None:
                self._expired.append(departure.instance)
                self._has_work.set()

    def is_kept(self, departure: Departure) -> bool:
        """Return whether the log holds a departure."""
        kept = self._kept.get(departure.instance)
        return kept is not None and kept.covers(
            departure.instance, departure.until_ms
        )

    async def wait_until_kept(
        self, departure: Departure, deadline: float
    ) -> bool:
        """Wait until the log holds a departure that was added.

        Args:
            departure: The departure.
            deadline: When to give up, on the event loop's clock.

        Returns:
            False if the log did not confirm it in time.
        """
        try:
            async with asyncio.timeout_at(deadline):
                while not self.is_kept(departure):
                    await self._has_written.wait()
        except TimeoutError:
            return False
        return True

    def on_era(self, era: int) -> None:
        """Write all departures again if the log came back from an older copy.

        Args:
            era: The era that a response of the log stated, of any stream.
        """
        is_newer = era > self._era
        if is_newer and self._era != NO_ERA:
            self._unwritten = {**self._kept, **self._unwritten}
            self._kept.clear()
            self._has_work.set()
        if is_newer:
            self._era = era

    async def remove_nodes(self, nodes: Collection[str]) -> None:
        """Delete the records of nodes that are gone.

        Args:
            nodes: Their addresses.

        Raises:
            LogUnavailable: The log cannot be read or changed.
        """
        page = await self._log.newest(self._stream)
        for record in page.records:
            if record.key.partition(KEY_SEPARATOR)[0] in nodes:
                await self._log.append(
                    self._stream, KeyedRecord(record.key, b'')
                )

    async def run(self) -> None:
        """Read and write until cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                await self._catch_up()
            except LogUnavailable as exc:
                self.counters.failures += 1
                logger.bind(
                    event='departures_unavailable',
                    unwritten=len(self._unwritten),
                ).info('{}', exc)
                await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            else:
                backoff_s = MIN_BACKOFF_S
                await self._has_work.wait()
                self._has_work.clear()

    async def _catch_up(self) -> None:
        if not self._is_read:
            await self._read()
        while self._unwritten:
            await self._write(next(iter(self._unwritten.values())))
        while self._expired:
            key = self._build_key(self._expired[0])
            await self._log.append(self._stream, KeyedRecord(key, b''))
            self._expired.popleft()

    async def _read(self) -> None:
        """Read what earlier processes of this node wrote."""
        page = await self._log.newest(self._stream)
        self._is_read = True
        for record in page.records:
            departure = self._parse(record)
            if departure is not None:
                self.counters.read += 1
                self._record_kept(departure)
                self._on_read(departure)

    async def _write(self, departure: Departure) -> None:
        notice = ttypes.TargetNotice(
            departure.instance, departure.until_ms, None, is_leaving=True
        )
        key = self._build_key(departure.instance)
        await self._log.append(
            self._stream, KeyedRecord(key, wire.encode(notice))
        )
        self.counters.written += 1
        self._record_kept(departure)

    def _record_kept(self, departure: Departure) -> None:
        self._kept[departure.instance] = departure
        unwritten = self._unwritten.get(departure.instance)
        if unwritten is not None and self.is_kept(unwritten):
            self._unwritten.pop(departure.instance)
        self._has_written.set()
        self._has_written = asyncio.Event()

    def _build_key(self, instance: str) -> str:
        digest = hashlib.blake2b(
            instance.encode(), digest_size=_HASH_BYTES
        ).hexdigest()
        return f'{self._node}{KEY_SEPARATOR}{digest}'

    def _parse(self, record: KeyedRecord) -> Departure | None:
        """Return the departure in a record of this node, None for others."""
        if record.key.partition(KEY_SEPARATOR)[0] != self._node:
            return None
        try:
            notice = wire.decode(ttypes.TargetNotice, record.payload)
        except MalformedMessage as exc:
            logger.bind(event='departure_malformed', key=record.key).warning(
                '{}', exc
            )
            return None
        if not notice.instance or notice.born_ms is None:
            return None
        return Departure(notice.instance, notice.born_ms)
