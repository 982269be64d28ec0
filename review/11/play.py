"""A kill of all processes right after a roll-out has been ordered.

Three machines with servers of v1 serve, and three with servers of v2 are
started alongside. The operator orders the roll-out of v2, which is bad. Right
after the store has acknowledged the order, all processes of the system are
killed, and they start again 0.75 s later.
"""

import asyncio
import sys
from pathlib import Path

from review.standins_3.case import Case, run_case
from review.standins_3.rollout import (
    BOUNDS,
    CONFIG,
    CONTRACTS,
    STABILITY_WINDOW_S,
    Fleet,
    judge_exposure,
)
from review.standins_3.server import OK

NETWORKS = ('127.64.0', '127.65.0', '127.66.0', '127.67.0')
MACHINES = 3
PER_S = 25
CALM_S = 4.0
# From the acknowledgement of the order, which is given at once.
KILL_AFTER_S = 0.02
RECOVERY_S = 15.0


async def play(case: Case) -> bool:
    """Play the case, and return whether the rule held."""
    fleet = Fleet(case, 'v1', 'v2')
    fleet.per_s = PER_S
    case.store.write('config', CONFIG)
    await fleet.start_both(MACHINES, CALM_S)
    if not case.has_trouble:
        return await judge_exposure(case, fleet)
    fault = asyncio.create_task(_kill_once_ordered(fleet))
    is_kept = await judge_exposure(case, fleet)
    await fault
    _describe_recovery(case, fleet)
    return is_kept


async def _kill_once_ordered(fleet: Fleet) -> None:
    await asyncio.sleep(KILL_AFTER_S)
    await fleet.kill_all()
    await fleet.start_all()


def _describe_recovery(case: Case, fleet: Fleet) -> None:
    """Say how many of the requests after the recovery were served."""
    since = fleet.in_touch_at - STABILITY_WINDOW_S + RECOVERY_S
    sent = [each for each in fleet.sent.values() if each.at > since]
    served = sum(each.status == OK for each in sent)
    case.record.say(
        f'of {len(sent)} requests sent over {RECOVERY_S} s after the start'
        f' {served} are served'
    )


def build() -> Case:
    """Return a run of the case."""
    return Case(Path(__file__).parent, NETWORKS, BOUNDS, CONTRACTS)


if __name__ == '__main__':
    sys.exit(run_case(build, play))
