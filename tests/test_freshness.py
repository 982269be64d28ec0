"""Evidence that the configuration in force is the newest one."""

import asyncio
import json

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from filbertdrift.config_holder import ConfigHolder
from filbertdrift.freshness import (
    ERA_SETTLE_S,
    PAUSE_RECOVERY_S,
    Confirmation,
    Freshness,
    LogPosition,
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
    position = LogPosition(era, next_offset, version)
    return Confirmation(position, as_of, as_of, 'b-0:7000')


def message(
    version: int,
    age_ms: int,
    reader: str = 'b-0:7000',
    *,
    is_takeover: bool = False,
) -> ttypes.LogConfirmation:
    """Return evidence as a peer sends it."""
    return ttypes.LogConfirmation(
        version, 1, 7, age_ms, reader, age_ms, is_takeover=is_takeover
    )


def freshness_of(holder: ConfigHolder, delay_s: float = 0) -> Freshness:
    """Return the evidence of a node whose pings take a given time."""
    return Freshness('a-0:7000', holder, lambda: delay_s)


class FreshnessTest(TestCase):
    """Evidence counts for the version in force only, and only once."""

    def test_evidence_ages(self) -> None:
        run_virtual(self._ages())

    async def _ages(self) -> None:
        freshness = freshness_of(holder_of(3))
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

    # CONFIG: evidence that had waited in the buffers of a busy node looked new,
    # so the node refused requests for good on an outdated configuration.
    def test_evidence_that_waited_on_the_way_is_older(self) -> None:
        run_virtual(self._waited())

    async def _waited(self) -> None:
        sender, receiver = (
            freshness_of(holder_of(3)),
            freshness_of(holder_of(3)),
        )
        now = asyncio.get_running_loop().time()
        sender.record(confirmation(3, now))
        receiver.record_from_peer('b-0:7000', sender.to_message())
        await asyncio.sleep(1)
        sender.record(confirmation(3, now + 1))
        waiting = sender.to_message()
        # Pings that were answered before still show a quick connection.
        await asyncio.sleep(1.4)
        receiver.record_from_peer('b-0:7000', waiting)
        self.assertThat(receiver.age_s(), GreaterThan(1.39))

    # CONFIG: as above, after the sender was suspended, which stops its clock.
    def test_a_sender_that_was_suspended_counts_again(self) -> None:
        run_virtual(self._suspended())

    async def _suspended(self) -> None:
        receiver = freshness_of(holder_of(3))
        clock_ms = 60_000
        for stopped_ms in (0, 5_000, 0, 0, 0, 0):
            clock_ms += 4_000 - stopped_ms
            received = message(3, 0)
            received.sent_at_ms = clock_ms
            receiver.record_from_peer('b-0:7000', received)
            await asyncio.sleep(4)
        received = message(3, 0)
        received.sent_at_ms = clock_ms + 4_000
        receiver.record_from_peer('b-0:7000', received)
        self.assertThat(receiver.age_s(), LessThan(0.1))

    # DENIED: a node that knows of a newer version is not current by evidence
    # for that version until it holds it.
    def test_evidence_for_a_version_that_is_missing(self) -> None:
        run_virtual(self._missing())

    async def _missing(self) -> None:
        holder = holder_of(3)
        freshness = freshness_of(holder)
        now = asyncio.get_running_loop().time()
        freshness.record(confirmation(3, now))
        await asyncio.sleep(1)
        freshness.record(confirmation(4, now + 1, next_offset=9))
        self.assertThat(freshness.age_s(), Equals(1))
        self.assertThat(freshness.position(), Is(None))
        offer(holder, 4)
        self.assertThat(freshness.age_s(), Equals(0))
        self.assertThat(freshness.position(), Equals(LogPosition(1, 9, 4)))

    # DENIED: a single reader took the echo of its own evidence for another
    # reader's, and stopped to read.
    def test_own_evidence_is_no_evidence_of_peers(self) -> None:
        run_virtual(self._echo())

    async def _echo(self) -> None:
        freshness = freshness_of(holder_of(3))
        freshness.record_from_peer('b-1:7000', message(3, 0, 'a-0:7000'))
        self.assertThat(freshness.peers_read_at, Equals(-NEVER_S))
        now = asyncio.get_running_loop().time()
        freshness.record_from_peer('b-1:7000', message(3, 500))
        self.assertThat(freshness.peers_read_at, Equals(now - 0.5))

    def test_one_of_several_takeovers_is_senior(self) -> None:
        run_virtual(self._senior())

    async def _senior(self) -> None:
        freshness = freshness_of(holder_of(3))
        taken = message(3, 0, 'b-1:7000', is_takeover=True)
        freshness.record_from_peer('b-1:7000', taken)
        now = asyncio.get_running_loop().time()
        self.assertThat(freshness.peers_read_at, Equals(now))
        self.assertThat(freshness.senior_read_at, Equals(-NEVER_S))
        # The address of this node is higher than that of the reader.
        taken = message(3, 0, 'a-0:6999', is_takeover=True)
        freshness.record_from_peer('b-1:7000', taken)
        self.assertThat(freshness.senior_read_at, Equals(now))

    # DENIED: evidence that waited on a full link looked newer than it was.
    def test_round_trips_count_as_age(self) -> None:
        run_virtual(self._round_trips())

    async def _round_trips(self) -> None:
        freshness = freshness_of(holder_of(3), delay_s=0.25)
        freshness.record_from_peer('b-0:7000', message(3, 100))
        self.assertThat(freshness.age_s(), Equals(0.35))
        sent = freshness.to_message()
        self.assertThat(sent.age_ms if sent else 0, Equals(600))
        self.assertThat(sent.read_age_ms if sent else 0, Equals(350))

    # DENIED: as above, where no ping was answered. That others read the log is
    # known nevertheless.
    def test_evidence_over_a_link_that_answers_nothing(self) -> None:
        run_virtual(self._no_answers())

    async def _no_answers(self) -> None:
        freshness = freshness_of(holder_of(3), delay_s=NEVER_S)
        now = asyncio.get_running_loop().time()
        self.assertThat(
            freshness.record_from_peer('b-0:7000', message(3, 100)), Is(False)
        )
        self.assertThat(freshness.age_s(), Equals(NEVER_S))
        self.assertThat(freshness.peers_read_at, Equals(now - 0.1))
        self.assertThat(freshness.to_message(), Is(None))
        # What this node has read itself may take long to its peers.
        freshness.record(confirmation(3, now))
        sent = freshness.to_message()
        self.assertThat(sent.age_ms if sent else 0, Equals(1500))
        self.assertThat(sent.read_age_ms if sent else -1, Equals(0))

    # DENIED: a log that came back without its newest versions confirmed the
    # older one that was left.
    def test_evidence_of_a_new_era_counts_later(self) -> None:
        run_virtual(self._new_era())

    async def _new_era(self) -> None:
        holder = holder_of(3)
        freshness = freshness_of(holder)
        loop = asyncio.get_running_loop()
        freshness.record(confirmation(3, loop.time()))
        await asyncio.sleep(1)
        holder.record_announcement(4)
        for wait_s, version, is_counted in (
            (0, 3, False),
            (ERA_SETTLE_S, 3, False),
            (1, 4, False),
        ):
            await asyncio.sleep(wait_s)
            freshness.record(confirmation(version, loop.time(), era=2))
            is_fresh = freshness.age_s() < NEVER_S
            self.assertThat(is_fresh, Equals(is_counted))
        offer(holder, 4)
        self.assertThat(freshness.age_s(), Equals(0))

    # DENIED: a store that states era zero, or none before its first drill.
    def test_first_drill(self) -> None:
        run_virtual(self._first_drill())

    async def _first_drill(self) -> None:
        freshness = freshness_of(holder_of(3))
        loop = asyncio.get_running_loop()
        freshness.record(confirmation(3, loop.time(), era=0))
        await asyncio.sleep(1)
        freshness.record(confirmation(3, loop.time(), era=1))
        self.assertThat(freshness.age_s(), Equals(NEVER_S))
        await asyncio.sleep(ERA_SETTLE_S)
        freshness.record(confirmation(3, loop.time(), era=1))
        self.assertThat(freshness.age_s(), Equals(0))

    def test_evidence_without_an_age_is_ignored(self) -> None:
        run_virtual(self._no_age())

    async def _no_age(self) -> None:
        freshness = freshness_of(holder_of(3))
        for age_ms in (None, -5):
            received = ttypes.LogConfirmation(3, 1, 7, age_ms, 'b-0', 0)
            freshness.record_from_peer('b-0:7000', received)
            self.assertThat(freshness.age_s(), Equals(NEVER_S))

    # A version that its only holder took along kept nodes reading for ever.
    def test_lost_announcement_is_forgotten(self) -> None:
        run_virtual(self._lost_announcement())

    async def _lost_announcement(self) -> None:
        holder = holder_of(3)
        holder.record_announcement(9)
        heard_at = asyncio.get_running_loop().time()
        holder.forget_lost_announcement(3, heard_at)
        self.assertThat(holder.announced_version, Equals(9))
        await asyncio.sleep(1)
        holder.forget_lost_announcement(9, heard_at + 1)
        self.assertThat(holder.announced_version, Equals(9))
        holder.forget_lost_announcement(3, heard_at + 1)
        self.assertThat(holder.announced_version, Equals(3))
        self.assertThat(holder.behind_s(), Equals(0))

    # DENIED: what waited in the buffers of a suspended node looked new.
    def test_evidence_is_dropped_after_a_pause(self) -> None:
        run_virtual(self._pause())

    async def _pause(self) -> None:
        freshness = freshness_of(holder_of(3))
        freshness.record(confirmation(3, asyncio.get_running_loop().time()))
        freshness.forget()
        freshness.record_from_peer('b-0:7000', message(3, 0))
        self.assertThat(freshness.age_s(), Equals(NEVER_S))
        await asyncio.sleep(PAUSE_RECOVERY_S + 0.1)
        freshness.record_from_peer('b-0:7000', message(3, 0))
        self.assertThat(freshness.age_s(), LessThan(0.1))

    def test_newer_era_is_announced_once(self) -> None:
        run_virtual(self._era())

    async def _era(self) -> None:
        eras: list[int] = []
        freshness = freshness_of(holder_of(3))
        freshness.on_era = eras.append
        for number, era in enumerate((1, 1, 2, 1, 2)):
            await asyncio.sleep(1)
            freshness.record(confirmation(3, number, era=era))
        self.assertThat(eras, Equals([1, 2]))
