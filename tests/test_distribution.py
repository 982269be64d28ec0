"""Distribution of the configuration, tested by replaying traces."""

import asyncio
import random

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from filbertdrift import fold
from filbertdrift.errors import LogGap, RulesUnknown
from filbertdrift.keeper import ConfigReplica
from filbertdrift.log import LogRecord
from filbertdrift.wire import encode
from tests import variants
from tests.builders import (
    Fleet,
    config_record,
    run_virtual,
    service_file,
    service_files,
    small_fleet,
)
from tests.cases import TraceTest


class OrderTest(TraceTest):
    """A replica never rolls back, whatever the order of messages."""

    def test_crossing_changes(self) -> None:
        self.holds('order')

    def test_notices_arrival_order(self) -> None:
        self.notices('order', variants.folds_in_arrival_order)

    def test_notices_older_checkpoints(self) -> None:
        self.notices(
            'order',
            variants.adopts_any_checkpoint,
            variants.sends_only_wholes,
        )

    def test_any_order_of_deliveries(self) -> None:
        records = [
            LogRecord(
                offset,
                encode(
                    config_record(
                        f'r{offset}',
                        service_files(f's{offset % 3}'),
                        base_offset=offset,
                    ),
                ),
            )
            for offset in range(8)
        ]
        whole = ConfigReplica()
        whole.add(records)
        states = _replay_states(records)
        for seed in range(50):
            rng = random.Random(seed)
            replica = ConfigReplica()
            offsets = [-1]
            replica.on_adopt = lambda state, seen=offsets: seen.append(
                state.offset,
            )
            for _ in range(40):
                _deliver_at_random(replica, records, states, rng)
            replica.add(records)
            self.assertEqual(offsets, sorted(set(offsets)))
            self.assertEqual(whole.digest(), replica.digest())


class WholeTest(TraceTest):
    """A record is applied or rejected atomically, the same on every node."""

    def test_refused_as_one(self) -> None:
        self.holds('whole')

    def test_notices_part(self) -> None:
        self.notices('whole', variants.applies_first_file_only)


class PublishTest(TraceTest):
    """Concurrent publishers and lost responses of the log."""

    def test_races_and_lost_answers(self) -> None:
        self.holds('publishing')

    def test_notices_second_change(self) -> None:
        self.notices('publishing', variants.names_changes_anew)


class RetentionTest(TraceTest):
    """Expired records, outages of the log and partitioned domains."""

    def test_nothing_is_lost(self) -> None:
        self.holds('retention')

    def test_notices_missing_checkpoints(self) -> None:
        self.notices('retention', variants.writes_no_checkpoints)


class RepairTest(TraceTest):
    """Digests on pings and acks repair lost messages and silent connections."""

    def test_lossy_links(self) -> None:
        self.holds('distribution')

    def test_notices_missing_repair(self) -> None:
        self.notices('distribution', variants.ignores_heartbeat_digests)


class HerdTest(TraceTest):
    """All nodes of a domain, then all nodes, restart at once."""

    def test_bounded_rate(self) -> None:
        self.holds('herd')

    def test_notices_unbounded_reads(self) -> None:
        self.notices('herd', variants.reads_log_always)


class RollingUpgradeTest(TestCase):
    """Programs with different rules versions do not diverge.

    An old program that applied a record under its own rules would reach
    another verdict than the rest; it must stop before the record instead.
    """

    def test_old_program_stops_rather_than_splits(self) -> None:
        run_virtual(self._mixed_fleet())

    async def _mixed_fleet(self) -> None:
        fleet = await small_fleet(seed=21)
        old = fleet.instances['b-1:7000'].node
        old.replica.supported_rules = 1
        twin = '[route twin]\npath = /desk/*\nmethods = GET\n'
        twin += 'targets = desk\npolicy = lookup\n'
        first = await fleet.publish({'70-twin.ini': twin})
        self.assertTrue(first.is_accepted)
        await fleet.wait_until_in_force(1, 5)
        await fleet.publish({'70-twin.ini': None})
        raised = config_record('raise', {}, 2, raise_rules=2)
        await fleet.nodes[0].publisher.publish(raised)
        second = await fleet.publish({'70-twin.ini': twin})
        self.assertThat(
            second.verdict.kind,
            Equals(fold.VerdictKind.INVALID),
        )
        offsets = fleet.offsets()
        while min(fleet.offsets().values()) < 2:
            offsets = await _offsets_later(fleet)
        offsets = await _offsets_later(fleet)
        self.assertThat(offsets.pop('b-1:7000'), Equals(2))
        self.assertThat(set(offsets.values()), Equals({4}))
        self.assertIn('newer program', old.replica.blocked_by)


class MismatchTest(TestCase):
    """A replica that differs at the same offset is corrected from the log."""

    def test_corrected(self) -> None:
        run_virtual(self._corrupt_replica())

    # Guards against a replica that stays wrong long after the log is back.
    def test_corrected_after_an_outage(self) -> None:
        run_virtual(self._corrupt_replica(outage_s=3))

    async def _corrupt_replica(self, outage_s: float = 0) -> None:
        fleet = await small_fleet(seed=22)
        replica = fleet.instances['c-1:7000'].node.replica
        fleet.log.is_down = outage_s > 0
        files = dict(replica.state.files)
        files['60-desk.ini'] = fold.FileState(service_file('desk'), 0)
        files['60-desk.ini'] = fold.FileState('', 0)
        replica.state = fold.ConfigState(
            replica.state.offset,
            replica.state.rules,
            files,
        )
        await asyncio.sleep(outage_s)
        fleet.log.is_down = False
        await _offsets_later(fleet)
        digests = {node.replica.state.digest for node in fleet.nodes}
        self.assertThat(digests, HasLength(1))
        self.assertThat(replica.counters.corrected, Equals(1))


def _replay_states(records: list[LogRecord]) -> list[fold.ConfigState]:
    states = []
    state = fold.empty_state()
    for record in records:
        state = fold.fold(state, record.offset, record.payload)
        states.append(state)
    return states


def _deliver_at_random(
    replica: ConfigReplica,
    records: list[LogRecord],
    states: list[fold.ConfigState],
    rng: random.Random,
) -> None:
    start = rng.randrange(len(records))
    if rng.random() < 0.3:
        replica.replace(fold.encode_checkpoint(states[start]))
        return
    try:
        replica.add(records[start : start + rng.randrange(4)])
    except (LogGap, RulesUnknown):
        return


async def _offsets_later(fleet: Fleet) -> dict[str, int]:
    await asyncio.sleep(10)
    return fleet.offsets()
