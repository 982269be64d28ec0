"""Nodes whose log comes back from an older copy and gives offsets out again."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals

from filbertdrift.fold import decode_checkpoint, empty_state, fold
from filbertdrift.gen import ttypes
from filbertdrift.log import (
    CHECKPOINT_STREAM,
    CONFIG_STREAM,
    INTRODUCTION_STREAM,
)
from filbertdrift.wire import decode
from tests.builders import (
    Fleet,
    run_virtual,
    service_file,
    small_fleet,
)

OUTAGE_S = 2.0
IN_FORCE_LIMIT_S = 10.0
REPUBLISHED_LIMIT_S = 60.0


class ConfigTest(TestCase):
    """Every node has the configuration that the log has."""

    # Guards against nodes that keep lost changes when offsets are reused.
    def test_lost_changes_are_undone(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=81)
            await _lose_changes(fleet, 'lost', 2)
            for number in range(2):
                await fleet.publish(
                    {f'70-{number}.ini': _extra('again', number)}
                )
            await self._assert_config_of_the_log(fleet)
            found = fleet.nodes[0].replica.state.contents()
            self.assertThat(found['70-0.ini'], Equals(_extra('again', 0)))

        run_virtual(case())

    # Guards against nodes that keep lost changes until the log has grown.
    def test_lost_changes_are_undone_without_new_ones(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=82)
            await _lose_changes(fleet, 'lost', 3)
            await asyncio.sleep(IN_FORCE_LIMIT_S)
            await self._assert_config_of_the_log(fleet)

        run_virtual(case())

    # Guards against offsets that are all given out again during an outage.
    def test_log_regrows_while_readers_are_cut_off(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=83)
            await _lose_changes(fleet, 'lost', 2)
            fleet.cut('b', 'c', log=True)
            for number in range(3):
                await fleet.publish(
                    {f'70-{number}.ini': _extra('again', number)}
                )
            await asyncio.sleep(IN_FORCE_LIMIT_S)
            fleet.heal()
            await asyncio.sleep(IN_FORCE_LIMIT_S)
            await self._assert_config_of_the_log(fleet)

        run_virtual(case())

    # Guards against a checkpoint of lost changes, which later nodes load.
    def test_no_checkpoint_of_lost_changes(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=84)
            await _lose_changes(fleet, 'lost', 2)
            for node in fleet.nodes:
                await node.reader.write_checkpoint_if_due()
            for record in fleet.log.records(CHECKPOINT_STREAM):
                state = decode_checkpoint(record.payload)
                self.assertNotIn('70-0.ini', state.contents())

        run_virtual(case())

    # Guards against a new node that loads lost changes from a peer.
    def test_new_node_has_the_config_of_the_log(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=85)
            await _lose_changes(fleet, 'lost', 2)
            await fleet.add('b', 'desk')
            await asyncio.sleep(IN_FORCE_LIMIT_S)
            await self._assert_config_of_the_log(fleet)

        run_virtual(case())

    async def _assert_config_of_the_log(self, fleet: Fleet) -> None:
        """Assert that all nodes have what its records amount to."""
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        state = empty_state()
        for record in fleet.log.records(CONFIG_STREAM):
            state = fold(state, record.offset, record.payload)
        expected = state.contents()
        for address, instance in fleet.instances.items():
            found = instance.node.replica.state.contents()
            self.assertThat((address, found), Equals((address, expected)))


class IntroductionTest(TestCase):
    """Starting nodes find the seeds that were published before."""

    # Guards against seeds that are believed to be published but were lost.
    def test_lost_seeds_are_published_again(self) -> None:
        async def case() -> None:
            fleet = Fleet(seed=86)
            older = fleet.log.copy_streams()
            for domain in ('a', 'b', 'c'):
                await fleet.add(domain, 'desk', 3)
            await asyncio.sleep(30)
            fleet.log.come_back(older)
            await asyncio.sleep(REPUBLISHED_LIMIT_S)
            domains = {
                decode(ttypes.Introduction, record.payload).domain
                for record in fleet.log.records(INTRODUCTION_STREAM)
            }
            self.assertThat(domains, Equals({'a', 'b', 'c'}))

        run_virtual(case())


async def _lose_changes(fleet: Fleet, name: str, changes: int) -> None:
    """Publish changes that a log coming back from an older copy has lost."""
    older = fleet.log.copy_streams()
    for number in range(changes):
        result = await fleet.publish(
            {f'70-{number}.ini': _extra(name, number)},
        )
        assert result.is_accepted, result
    await fleet.wait_until_in_force(changes, IN_FORCE_LIMIT_S)
    fleet.log.is_down = True
    await asyncio.sleep(OUTAGE_S)
    fleet.log.come_back(older)
    fleet.log.is_down = False


def _extra(name: str, number: int) -> str:
    return service_file(f'{name}-{number}')
