"""What grows with failures, or with the numbers of a peer, has a bound."""

import asyncio
import random
from unittest import mock

from testtools import TestCase
from testtools.matchers import HasLength, LessThan
from testtools.testcase import ExpectedException

from filbertdrift.accounts.quota_bounds import QuotaBounds
from filbertdrift.accounts.quota_keeper import SLOTS, QuotaKeeper
from filbertdrift.errors import PeerUnavailable
from filbertdrift.gen import ttypes
from filbertdrift.link import LinkPool
from filbertdrift.member_sync import SYNC_TIMEOUT_S, MemberSync
from filbertdrift.members import MemberTable
from standins.fleet import run_virtual

NODES = tuple(f'a-{number}:7000' for number in range(3))


class QuotaKeeperTest(TestCase):
    """The keeper remembers the last ask of each node."""

    # Guards against a table that grew with each slot that a peer named, and
    # with each node that had ever sent an ask.
    def test_asks_that_are_remembered(self) -> None:
        keeper = QuotaKeeper(QuotaBounds(), random.Random(1))
        for sequence in range(100):
            for node in NODES:
                ask = ttypes.QuotaAsk(sequence + 1, sequence)
                keeper.accept(node, 1, ask)
        self.assertThat(keeper._sequences, HasLength(len(NODES) * SLOTS))
        keeper.remove_missing(NODES[:1])
        self.assertThat(keeper._sequences, HasLength(SLOTS))


class SyncTest(TestCase):
    """A peer defers a sync."""

    # Guards against a sync that slept as long as a peer said, 24 days at most.
    def test_sync_that_is_deferred_for_long(self) -> None:
        run_virtual(self._defer())

    async def _defer(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        links = mock.Mock(spec=LinkPool)
        links.ask.side_effect = (
            ttypes.MembersDelta(come_back_ms=0x7FFFFFFF),
            PeerUnavailable('timeout'),
        )
        table = mock.Mock(spec=MemberTable, buckets=[])
        with mock.patch('filbertdrift.member_sync.to_entry'):
            sync = MemberSync(table, links, mock.Mock(), random.Random(1))
            with ExpectedException(PeerUnavailable):
                await sync.ask(NODES[0])
        self.assertThat(loop.time() - started_at, LessThan(SYNC_TIMEOUT_S + 1))
