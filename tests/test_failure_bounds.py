"""What grows with failures, or with the numbers of a peer, has a bound."""

import random

from testtools import TestCase
from testtools.matchers import HasLength

from filbertdrift.accounts.quota_bounds import QuotaBounds
from filbertdrift.accounts.quota_keeper import SLOTS, QuotaKeeper
from filbertdrift.gen import ttypes

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
