"""Builders of test data: configuration files, records and simulated fleets."""

import asyncio

from filbertdrift.errors import RequestNotRun, RequestUnknown
from filbertdrift.platform.registry import TargetCalls
from filbertdrift.profile import Profile
from standins.fleet import Fleet, config_record, run_virtual
from standins.mesh_fleet import MeshFleet, MeshInstance

__all__ = (
    'POLICIES',
    'Fleet',
    'call_status',
    'config_record',
    'run_virtual',
    'service_file',
    'service_files',
    'small_fleet',
    'target_calls',
)

POLICIES = """
[policy lookup]
timeout_ms = 3000
customer_header = x-customer
[policy approval]
timeout_ms = 3000
importance = critical
idempotency_key = honoured
customer_header = x-customer
[policy upload]
timeout_ms = 5000
importance = bulk
"""


def service_files(*services: str) -> dict[str, str]:
    """Return files with a GET and a POST route for each service."""
    files = {'50-policies.ini': POLICIES}
    for service in services:
        files[f'60-{service}.ini'] = service_file(service)
    return files


def service_file(service: str, policy: str = 'lookup') -> str:
    """Return the file with the target set and both routes of a service."""
    return (
        f'[targets {service}]\nservice = {service}\n'
        'refusal_statuses = 503\nslow_start_ms = 0\n'
        f'[route {service}-read]\npath = /{service}/*\nmethods = GET\n'
        f'targets = {service}\npolicy = {policy}\n'
        f'[route {service}-write]\npath = /{service}/*\nmethods = POST\n'
        f'targets = {service}\npolicy = approval\n'
    )


async def small_fleet(
    seed: int = 1,
    per_domain: int = 3,
    profile: str | Profile = 'convergence',
) -> Fleet:
    """Create a simulated fleet that has a configuration in force.

    Args:
        seed: Seeds the random numbers of the fleet.
        per_domain: Nodes with a 'desk' target in each of the domains a, b
            and c; one more node in a has a 'ledger' target.
        profile: The profile of all nodes, or its name.
    """
    fleet = Fleet(seed, profile)
    for domain in ('a', 'b', 'c'):
        await fleet.add(domain, 'desk', per_domain)
    await fleet.add('a', 'ledger', 1)
    await asyncio.sleep(5)
    await fleet.publish(service_files('desk', 'ledger'))
    await fleet.wait_until_in_force(0, 5)
    return fleet


async def call_status(
    fleet: MeshFleet,
    ingress: str,
    path: str = '/read/1',
    timeout_s: float = 2.0,
) -> int:
    """Return the status that a caller gets: of a target, or 502 or 503.

    Args:
        fleet: The fleet.
        ingress: Address of the node that gets the request.
        path: Path of the request.
        timeout_s: Its timeout.
    """
    try:
        response = await fleet.call(ingress, path, timeout_s)
    except RequestNotRun:
        return 503
    except RequestUnknown:
        return 502
    response.close()
    return response.status


def target_calls(instance: MeshInstance) -> TargetCalls:
    """Return the handler of a target's calls to the node beside it."""
    node = instance.node
    return TargetCalls(
        node.lifecycle, node.departure_keeper, node.knows_service
    )
