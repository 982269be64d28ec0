"""A new version of the configuration gives a part of a route the weight 0.

A route is split between two services in equal parts. The next version takes one
of them out of the route, by the weight 0.
"""

import asyncio
import sys
import time
from collections.abc import Mapping
from pathlib import Path

from review.standins_3.case import Case, NotRun, run_case
from review.standins_3.client import Clients, Sent
from review.standins_3.node import wait_until_ready
from review.standins_3.rollout import BOUNDS, CONFIG
from review.standins_3.server import Run, Server

NETWORKS = ('127.84.0', '127.85.0', '127.86.0', '127.87.0')
CONFIG_APPLY_S = 2.5
KEPT = 'catalogue'
REMOVED = 'reservations'
SERVICES = (KEPT, KEPT, REMOVED)
PER_S = 20
START_LIMIT_S = 20
SETTLE_S = 5.0
STEADY_S = 4.0
AFTER_S = 15.0
ROUTE = {
    'host': 'shop.example',
    'path_prefix': '/pay/',
    'kind': 'idempotent',
    'max_attempts': 2,
    'priority': 2,
    'target_latency_s': 0.8,
}
SERVICE = {'health_check_path': '/health', 'max_connections': 450}


class Traffic:
    """What the clients sent and the services ran.

    Args:
        case: The run of the case.
    """

    def __init__(self, case: Case) -> None:
        """Start without requests."""
        self.clients = Clients(self._record_sent, '/pay/')
        self._case = case
        self._sent: dict[str, float] = {}
        self._removed_ids: set[str] = set()

    async def start(self) -> None:
        """Start the machines, their servers and their clients.

        Raises:
            NotRun: A node is not ready in time.
        """
        for service in SERVICES:
            machine = self._case.add_machine(service)
            await machine.start()
            await Server(machine, self._record_run, service).start()
        if not await wait_until_ready(self._case.machines, START_LIMIT_S):
            raise NotRun('a node is not ready')
        await asyncio.sleep(SETTLE_S)
        for ready in self._case.machines:
            self.clients.start(ready, PER_S)

    def count_removed(self, since: float) -> tuple[int, int]:
        """Return the requests sent since, and those run by REMOVED."""
        sent = {each for each, at in self._sent.items() if at > since}
        return len(sent), len(sent & self._removed_ids)

    def _record_run(self, run: Run) -> None:
        # A server states its service as its version here.
        self._case.record.add(f'{run.request_id} run by {run.version}', run.at)
        if run.version == REMOVED:
            self._removed_ids.add(run.request_id)

    def _record_sent(self, sent: Sent) -> None:
        self._sent[sent.request_id] = sent.at
        self._case.record.add(
            f'{sent.request_id} sent to {sent.machine}: {sent.status}', sent.at
        )


async def play(case: Case) -> bool:
    """Play the case, and return whether the rule held."""
    traffic = Traffic(case)
    case.store.write('config', _build_config('r1', _split(1)))
    await traffic.start()
    await asyncio.sleep(STEADY_S)
    change = _split(0) if case.has_trouble else {'service': KEPT}
    case.store.write('config', _build_config('r2', change))
    case.record.say(f'r2 is acknowledged: {change}')
    bound = time.monotonic() + CONFIG_APPLY_S
    await asyncio.sleep(AFTER_S)
    traffic.clients.stop()
    sent, removed = traffic.count_removed(bound)
    case.record.say(
        f'of {sent} requests sent over {CONFIG_APPLY_S} s after that {removed}'
        f' are run by {REMOVED}'
    )
    return not removed


def _split(weight: int) -> Mapping[str, object]:
    """Return a split between both services, with the weight of REMOVED."""
    return {
        'traffic_split': [
            {'service': KEPT, 'weight': 1},
            {'service': REMOVED, 'weight': weight},
        ],
    }


def _build_config(
    version: str, goes_to: Mapping[str, object]
) -> Mapping[str, object]:
    return {
        **CONFIG,
        'version': version,
        'routes': {'pay': {**ROUTE, **goes_to}},
        'services': {KEPT: SERVICE, REMOVED: SERVICE},
    }


def build() -> Case:
    """Return a run of the case."""
    return Case(Path(__file__).parent, NETWORKS, BOUNDS)


if __name__ == '__main__':
    sys.exit(run_case(build, play))
