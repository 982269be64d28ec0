"""A roll-out of a version that is slow under load.

Three machines with servers of v1 serve, and three with servers of v2 are
started alongside. Some calm seconds later, the operator orders the roll-out of
v2. Under load, four in ten of its responses come five times slower.
"""

import sys
from pathlib import Path

from review.standins_3.case import Case, run_case
from review.standins_3.rollout import (
    BAD_SHARE,
    BOUNDS,
    CONFIG,
    CONTRACTS,
    Fleet,
    judge_exposure,
)
from review.standins_3.server import Fault

NETWORKS = ('127.92.0', '127.93.0', '127.94.0', '127.95.0')
MACHINES = 3
CALM_S = 3.0
# As the mean work of the requests to this service in the site file, 210 ms.
WORK_S = 0.2
# Above a third of the slots of a server.
SLOW = Fault(BAD_SHARE, times_slower=5, above_running=3)
AFTER_S = 16.0


async def play(case: Case) -> bool:
    """Play the case, and return whether the rule held."""
    fleet = Fleet(case, 'v1', 'v2', SLOW if case.has_trouble else None)
    fleet.work_s = WORK_S
    case.store.write('config', CONFIG)
    await fleet.start_both(MACHINES, CALM_S)
    return await judge_exposure(case, fleet, AFTER_S)


def build() -> Case:
    """Return a run of the case."""
    return Case(Path(__file__).parent, NETWORKS, BOUNDS, CONTRACTS)


if __name__ == '__main__':
    sys.exit(run_case(build, play))
