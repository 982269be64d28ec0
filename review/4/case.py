"""A node restarts, its backend leaves at once, and a late heartbeat arrives.

The node acknowledges the DELETE of a backend that it does not know yet, and
forgets it. The heartbeat that the backend sent before, which arrives later,
registers the backend again.
"""

import asyncio
import itertools
import socket
import time
from collections import Counter
from pathlib import Path

from review.standins.backend import USUAL_ANSWER, Run
from review.standins.client import Request
from review.standins.fleet import (
    POLL_S,
    STABILITY_S,
    CannotRun,
    Fleet,
    Machine,
    Plan,
    build_document,
)
from review.standins.message import Message
from review.standins.record import Record, has_trouble
from review.standins.runner import run_case

ZONES = ('petrzalka', 'ruzinov', 'devin')
SERVICE = 'lab-ledger'
OTHER_SERVICE = 'recipe-desk'
SLOTS = 16
# allergen-flag: mean and longest work, and deadline. It is not idempotent.
WORK_S = 0.072
LONG_WORK_S = 0.54
LONG_EVERY = 4
DEADLINE_S = 1.5
REQUESTS_PER_S = 60.0
# The heartbeat arrives this long after it was sent.
LATE_S = 3.0
# The backend serves for this long after the acknowledgement.
STAY_S = 12.0
DRAIN_S = 2.0
ANSWERED = 200
SETTLE_S = 2.0
START_LIMIT_S = 5.0
ROUTES = {
    'flag': {
        'path_prefix': '/flag/',
        'kind': 'non_idempotent',
        'service': SERVICE,
        'timeout_s': 3.0,
        'target_latency_s': 0.25,
        'priority': 2,
        'max_attempts': 2,
    },
}


async def do_work(run: Run) -> Message | None:
    """Work for as long as the path says."""
    is_long = run.request.words[1].endswith('long')
    await asyncio.sleep(LONG_WORK_S if is_long else WORK_S)
    return USUAL_ANSWER


async def play(record: Record, folder: Path) -> str:
    """Play the case."""
    plans = [
        Plan(zone, service, SLOTS)
        for zone in ZONES
        for service in (SERVICE, OTHER_SERVICE)
    ]
    fleet = Fleet(plans, record, do_work, folder)
    load: asyncio.Task[None] | None = None
    try:
        await fleet.start(build_document(ROUTES, (SERVICE, OTHER_SERVICE)))
        load = asyncio.create_task(_send_load(fleet))
        await asyncio.sleep(SETTLE_S)
        return await _leave(fleet, fleet.machines[0])
    finally:
        if load:
            load.cancel()
        fleet.close()


async def _leave(fleet: Fleet, machine: Machine) -> str:
    """Let the backend of a machine leave; return what broke DRAIN."""
    backend = machine.backend
    instance = backend.instance
    started_at = await _restart(machine)
    heartbeat = backend.next_heartbeat()
    fleet.record.add('heartbeat', f'{instance} sends {heartbeat.body!r}')
    if not await backend.leave():
        raise CannotRun('the departure was not acknowledged')
    left_at = time.monotonic()
    fleet.record.add('leave', f'{instance} was acknowledged')
    await _deliver_late(machine, heartbeat)
    await asyncio.sleep(left_at + STAY_S - time.monotonic())
    backend.stop()
    fleet.record.add('backend', f'{instance} exits')
    await asyncio.sleep(SETTLE_S)
    # The machine is in touch stability_window_s after its start.
    judged_from = max(left_at + DRAIN_S, started_at + STABILITY_S)
    late = [run for run in backend.runs if run.at > judged_from]
    return _describe(fleet, instance, late, left_at)


async def _restart(machine: Machine) -> float:
    """Restart the node; return when it started, in monotonic time."""
    machine.backend.stop_heartbeats()
    if not has_trouble():
        return float('-inf')
    await machine.restart_node()
    started_at = time.monotonic()
    await _wait_for_start(machine)
    return started_at


async def _deliver_late(machine: Machine, heartbeat: Message) -> None:
    await asyncio.sleep(LATE_S)
    await machine.backend.call_node(heartbeat)
    machine.backend.record.add('heartbeat', 'it arrives late')


def _describe(
    fleet: Fleet, instance: str, late: list[Run], left_at: float
) -> str:
    outcomes = Counter(
        ending.reason or str(ending.status) for ending in fleet.client.endings
    )
    fleet.record.add('outcomes', str(dict(outcomes)))
    if not late:
        return ''
    last_s = late[-1].at - left_at
    late_ids = {run.request_id for run in late}
    lost = sum(
        ending.request.request_id in late_ids and ending.status != ANSWERED
        for ending in fleet.client.endings
    )
    return (
        f'DRAIN: {instance} got {len(late)} requests after drain_s, the last '
        f'{last_s:.1f} s after its departure was acknowledged; '
        f'{lost} of them are lost; {dict(outcomes)}'
    )


async def _wait_for_start(machine: Machine) -> None:
    """Wait until the node listens for its backend."""
    async with asyncio.timeout(START_LIMIT_S):
        while not _is_listening(machine):
            await asyncio.sleep(POLL_S)


def _is_listening(machine: Machine) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(machine.backend.site.control) == 0


async def _send_load(fleet: Fleet) -> None:
    nodes = [
        machine.ip
        for machine in fleet.machines
        if machine.plan.service == OTHER_SERVICE
    ]
    sending: set[asyncio.Task[object]] = set()
    for number in itertools.count():
        kind = 'usual' if number % LONG_EVERY else 'long'
        path = f'/flag/{number}/{kind}'
        request = Request(f'flag-{number}', 'POST', path, DEADLINE_S, b'nuts')
        node = nodes[number % len(nodes)]
        task: asyncio.Task[object] = asyncio.create_task(
            fleet.client.send(node, request)
        )
        sending.add(task)
        task.add_done_callback(sending.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


if __name__ == '__main__':
    run_case(str(Path(__file__).parent), play)
