"""The retry budget that all nodes share without coordination."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from filbertdrift.retrybudget import RetryLimits, SharedRetryBudget
from standins.mesh_fleet import MeshFleet, config_document
from tests.builders import run_virtual

LIMITS = RetryLimits(ratio=0.2, extra=60, window_s=10)
NODES = 12


def exhaust(budget: SharedRetryBudget) -> None:
    """Spend the rest of the budget for the service desk."""
    is_left = True
    while is_left:
        is_left = budget.spend('desk')


def _left(fleet: MeshFleet) -> float:
    """Return what all nodes together may spend for the service desk."""
    return sum(
        instance.node.budget.left('desk')
        for instance in fleet.instances.values()
    )


class FleetTest(TestCase):
    """Every request of every node fails and asks for a retry."""

    def test_all_nodes_together_keep_to_it(self) -> None:
        run_virtual(self._storm())

    async def _storm(self) -> None:
        budgets = [
            SharedRetryBudget(LIMITS, lambda: NODES) for _ in range(NODES)
        ]
        for _ in range(100):
            for budget in budgets:
                budget.record_request('desk')
                budget.spend('desk')
            await asyncio.sleep(0.05)
        spent = sum(budget.spent for budget in budgets)
        allowed = LIMITS.ratio * 100 * NODES + LIMITS.extra
        self.assertThat(spent, LessThan(allowed))

    def test_nodes_that_start_beside_an_outage_of_the_log(self) -> None:
        """Guards against nodes that each spend the budget of the fleet."""
        run_virtual(self._killed())

    async def _killed(self) -> None:
        fleet = MeshFleet(limits=LIMITS)
        for domain in 'abcabc':
            await fleet.add(domain, 'desk')
        await fleet.publish(config_document())
        await asyncio.sleep(5)
        fleet.log.is_down = True
        instances = [
            await fleet.kill(address) for address in list(fleet.instances)
        ]
        for instance in instances:
            await fleet.restart(instance)
        await asyncio.sleep(2)
        self.assertThat(_left(fleet), LessThan(LIMITS.extra))
        fleet.log.is_down = False
        for _ in range(100):
            await asyncio.sleep(0.1)
            self.assertThat(_left(fleet), LessThan(LIMITS.extra))
        self.assertThat(_left(fleet), GreaterThan(LIMITS.extra / 2))

    def test_services_have_budgets_of_their_own(self) -> None:
        run_virtual(self._services())

    async def _services(self) -> None:
        budget = SharedRetryBudget(LIMITS, lambda: NODES)
        exhaust(budget)
        self.assertThat(budget.spend('ledger'), Equals(True))

    def test_returns_with_time(self) -> None:
        run_virtual(self._time())

    async def _time(self) -> None:
        budget = SharedRetryBudget(LIMITS, lambda: NODES)
        exhaust(budget)
        await asyncio.sleep(LIMITS.window_s + 0.1)
        self.assertThat(budget.spend('desk'), Equals(True))
