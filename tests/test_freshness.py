"""Evidence that the configuration in force is the newest one."""

import asyncio
import json

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from filbertdrift.config_holder import ConfigHolder
from filbertdrift.freshness import (
    CLOCK_WINDOW_S,
    Confirmation,
    Freshness,
    LogPosition,
    SenderClocks,
)
from filbertdrift.gen import ttypes
from filbertdrift.platform.documents import parse_config
from standins.mesh_fleet import config_document
from tests.builders import run_virtual

NEVER_S = float('inf')


def holder_of(version: int) -> ConfigHolder:
    """Return a holder with a version in force."""
    holder = ConfigHolder(parse_config)
    offer(holder, version)
    return holder


def offer(holder: ConfigHolder, version: int) -> None:
    """Bring a version into force."""
    holder.offer(json.dumps(config_document(version)).encode(), 'test')


def confirmation(
    version: int, as_of: float, *, era: int = 1, next_offset: int = 0
) -> Confirmation:
    """Return evidence of another reader."""
    position = LogPosition(era, next_offset)
    return Confirmation(version, position, as_of, 'b-0:7000')


def message(
    version: int, age_ms: int, sent_at_ms: int, reader: str = 'b-0:7000'
) -> ttypes.LogConfirmation:
    """Return evidence as a peer sends it."""
    return ttypes.LogConfirmation(version, 1, 7, age_ms, sent_at_ms, reader)


class FreshnessTest(TestCase):
    """Evidence counts for the version in force only, and only once."""

    def test_evidence_ages(self) -> None:
        run_virtual(self._ages())

    async def _ages(self) -> None:
        freshness = Freshness('a-0:7000', holder_of(3))
        self.assertThat(freshness.age_s(), Equals(NEVER_S))
        now = asyncio.get_running_loop().time()
        self.assertThat(freshness.record(confirmation(3, now)), Is(True))
        await asyncio.sleep(2)
        self.assertThat(freshness.age_s(), Equals(2))
        # Older evidence, and evidence that is hardly newer, is not passed on.
        self.assertThat(freshness.record(confirmation(3, now - 1)), Is(False))
        self.assertThat(freshness.record(confirmation(3, now + 0.1)), Is(False))
        self.assertThat(freshness.age_s(), LessThan(2))
        freshness.forget()
        self.assertThat(freshness.age_s(), Equals(NEVER_S))

    # DENIED: a node that knows of a newer version is not current by evidence
    # for that version until it holds it.
    def test_evidence_for_a_version_that_is_missing(self) -> None:
        run_virtual(self._missing())

    async def _missing(self) -> None:
        holder = holder_of(3)
        freshness = Freshness('a-0:7000', holder)
        now = asyncio.get_running_loop().time()
        freshness.record(confirmation(3, now))
        await asyncio.sleep(1)
        freshness.record(confirmation(4, now + 1, next_offset=9))
        self.assertThat(freshness.age_s(), Equals(1))
        self.assertThat(freshness.position(), Is(None))
        offer(holder, 4)
        self.assertThat(freshness.age_s(), Equals(0))
        self.assertThat(freshness.position(), Equals(LogPosition(1, 9)))

    # DENIED: a single reader took the echo of its own evidence for another
    # reader's, and stopped to read.
    def test_own_evidence_is_no_evidence_of_peers(self) -> None:
        run_virtual(self._echo())

    async def _echo(self) -> None:
        freshness = Freshness('a-0:7000', holder_of(3))
        freshness.record_from_peer('b-1:7000', message(3, 0, 0, 'a-0:7000'))
        self.assertThat(freshness.peers_as_of, Equals(-NEVER_S))
        now = asyncio.get_running_loop().time()
        freshness.record_from_peer('b-1:7000', message(3, 500, 0))
        self.assertThat(freshness.peers_as_of, Equals(now - 0.5))

    # DENIED: evidence that waited on a full link looked newer than it was.
    def test_transit_counts_as_age(self) -> None:
        run_virtual(self._transit())

    async def _transit(self) -> None:
        freshness = Freshness('a-0:7000', holder_of(3))
        freshness.record_from_peer('b-0:7000', message(3, 0, 50_000))
        # Sent one second after the first message, received three after it.
        await asyncio.sleep(3)
        freshness.record_from_peer('b-0:7000', message(3, 100, 51_000))
        self.assertThat(freshness.age_s(), GreaterThan(2.09))
        self.assertThat(freshness.age_s(), LessThan(2.11))

    def test_sender_whose_clock_stood_still(self) -> None:
        clocks = SenderClocks()
        self.assertThat(clocks.estimate_transit_s('b', 0, 0), Equals(0))
        # It was suspended for five seconds.
        self.assertThat(clocks.estimate_transit_s('b', 1000, 6), Equals(5))
        later = 6 + 2 * CLOCK_WINDOW_S
        sent_at_ms = int(1000 * (later - 5))
        clocks.estimate_transit_s('b', sent_at_ms, later)
        later += CLOCK_WINDOW_S
        sent_at_ms = int(1000 * (later - 5))
        self.assertThat(
            clocks.estimate_transit_s('b', sent_at_ms, later), Equals(0)
        )

    def test_newer_era_is_announced_once(self) -> None:
        run_virtual(self._era())

    async def _era(self) -> None:
        eras: list[int] = []
        freshness = Freshness('a-0:7000', holder_of(3))
        freshness.on_era = eras.append
        for number, era in enumerate((1, 1, 2, 1, 2)):
            freshness.record(confirmation(3, number, era=era))
        self.assertThat(eras, Equals([1, 2]))
