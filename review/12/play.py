"""A roll-out of a bad version after two old machines were lost.

Four machines with servers of v1 serve, and two of them are lost for good.
Then four machines with servers of v2 are started alongside. Ten calm seconds
later, the operator orders the roll-out of v2.
"""

import asyncio
import sys
from pathlib import Path

from review.standins_3.case import Case, run_case
from review.standins_3.rollout import (
    BOUNDS,
    CONFIG,
    CONTRACTS,
    Fleet,
    judge_exposure,
)

# With the addresses of these networks, one of the new machines drives.
NETWORKS = ('127.60.0', '127.61.0', '127.62.0', '127.63.0')
MACHINES = 4
LOST = 2
CALM_S = 5.0


async def play(case: Case) -> bool:
    """Play the case, and return whether the rule held."""
    fleet = Fleet(case, 'v1', 'v2')
    case.store.write('config', CONFIG)
    await fleet.start(fleet.old, MACHINES)
    if case.has_trouble:
        await fleet.lose_machines(LOST)
    await fleet.start(fleet.new, MACHINES)
    await asyncio.sleep(CALM_S)
    return await judge_exposure(case, fleet)


def build() -> Case:
    """Return a run of the case."""
    return Case(Path(__file__).parent, NETWORKS, BOUNDS, CONTRACTS)


if __name__ == '__main__':
    sys.exit(run_case(build, play))
