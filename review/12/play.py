"""A roll-out of a bad version whose machines came while the store was down.

Three machines with servers of v1 serve. Three with servers of v2 are added
while the store is down for 4.5 s. Eight calm seconds later, the operator orders
the roll-out of v2.
"""

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

from review.standins_3.case import Case, run_case
from review.standins_3.node import Machine
from review.standins_3.rollout import (
    BOUNDS,
    CONFIG,
    CONTRACTS,
    Fleet,
    judge_exposure,
)

# With the addresses of these networks, one of the new machines drives.
NETWORKS = ('127.69.0', '127.70.0', '127.71.0', '127.72.0')
MACHINES = 3
DOWN_S = 4.5
CALM_S = 8.0


async def play(case: Case) -> bool:
    """Play the case, and return whether the rule held."""
    fleet = Fleet(case, 'v1', 'v2')
    case.store.write('config', CONFIG)
    await fleet.start(fleet.old, MACHINES)
    await fleet.serve(await _add_beside_outage(case, fleet))
    await asyncio.sleep(CALM_S)
    return await judge_exposure(case, fleet)


async def _add_beside_outage(case: Case, fleet: Fleet) -> Sequence[Machine]:
    """Add the machines of the new version while the store is down."""
    _set_store(case, is_down=case.has_trouble)
    added = await fleet.start_machines(MACHINES)
    await fleet.start_servers(added, fleet.new)
    await asyncio.sleep(DOWN_S)
    _set_store(case, is_down=False)
    return added


def _set_store(case: Case, *, is_down: bool) -> None:
    case.store.is_down = is_down
    case.record.say('the store is down' if is_down else 'the store is up')


def build() -> Case:
    """Return a run of the case."""
    return Case(Path(__file__).parent, NETWORKS, BOUNDS, CONTRACTS)


if __name__ == '__main__':
    sys.exit(run_case(build, play))
