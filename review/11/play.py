"""A roll-out that is ordered while all processes of the system are down.

Three machines with servers of v1 serve, and three with servers of v2 are
started alongside. All processes of the system are killed, and start again
0.75 s later. Meanwhile the operator orders the roll-out of v2, which is bad.
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
ORDER_AFTER_S = 0.4
RECOVERY_S = 15.0


async def play(case: Case) -> bool:
    """Play the case, and return whether the rule held."""
    fleet = Fleet(case, 'v1', 'v2')
    fleet.per_s = PER_S
    case.store.write('config', CONFIG)
    await fleet.start_both(MACHINES, CALM_S)
    if not case.has_trouble:
        return await judge_exposure(case, fleet)
    return await _order_while_down(case, fleet)


async def _order_while_down(case: Case, fleet: Fleet) -> bool:
    """Kill all, and order the roll-out; return whether the rule held."""
    await fleet.wait_to_kill()
    await fleet.kill_all()
    restart = asyncio.create_task(fleet.start_all())
    await asyncio.sleep(ORDER_AFTER_S)
    is_kept = await judge_exposure(case, fleet)
    await restart
    _describe_recovery(case, fleet)
    return is_kept


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
