"""Health of targets: outcomes of requests take precedence over endpoints."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from filbertdrift.errors import FilbertdriftError
from filbertdrift.members import MemberStatus
from tests.builders import Fleet, run_virtual, small_fleet


class HealthTest(TestCase):
    """Targets that fail, recover or have a misleading health endpoint."""

    def setUp(self) -> None:
        super().setUp()
        self.errors: list[str] = []

    async def calls(self, fleet: Fleet, count: int) -> int:
        """Call the service desk; return how many calls got a response."""
        answered = 0
        for number in range(count):
            try:
                response = await fleet.call('b-1:7000', f'/desk/{number}')
                await response.part(1)
                response.close()
            except FilbertdriftError as exc:
                self.errors.append(str(exc))
            else:
                answered += 1
        return answered

    def status(self, fleet: Fleet, node: str) -> MemberStatus:
        """Return a member's status in the table of another node."""
        member = fleet.instances['c-1:7000'].node.membership.table.get(node)
        return member.status if member else MemberStatus.DEAD

    def test_failed_target_leaves_and_returns(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=61)
            behaviour = fleet.instances['a-0:7000'].behaviour
            behaviour.is_up = False
            await asyncio.sleep(9)
            self.assertThat(
                self.status(fleet, 'a-0:7000'),
                Equals(MemberStatus.IDLE),
            )
            behaviour.is_up = True
            await asyncio.sleep(3)
            self.assertThat(
                self.status(fleet, 'a-0:7000'),
                Equals(MemberStatus.SERVING),
            )

        run_virtual(case())

    def test_outcomes_override_the_endpoint(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=62)
            for instance in fleet.instances.values():
                instance.behaviour.reports_healthy = False
            for _ in range(20):
                self.assertThat(await self.calls(fleet, 15), Equals(15))
                await asyncio.sleep(0.1)
            busy = [
                instance
                for instance in fleet.instances.values()
                if instance.behaviour.executions
            ]
            for instance in busy:
                self.assertTrue(instance.node.health.is_healthy)

        run_virtual(case())

    def test_service_with_unhealthy_endpoints_is_called(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=65)
            for instance in fleet.instances.values():
                instance.behaviour.reports_healthy = False
            await asyncio.sleep(30)
            self.assertThat(await self.calls(fleet, 20), Equals(20))

        run_virtual(case())

    def test_misleading_endpoint_attracts_no_requests(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=63)
            misleading = fleet.instances['b-0:7000'].behaviour
            misleading.is_up = False
            misleading.reports_healthy = True
            await self.calls(fleet, 30)
            self.assertThat(await self.calls(fleet, 100), GreaterThan(97))

        run_virtual(case())

    def test_busy_targets_are_not_probed(self) -> None:
        async def case() -> None:
            fleet = await small_fleet(seed=64)
            instance = fleet.instances['a-3:7000']
            instance.behaviour.probes = 0
            for _ in range(100):
                response = await fleet.call('a-0:7000', '/ledger/x')
                await response.part(1)
                response.close()
                await asyncio.sleep(0.1)
            self.assertThat(instance.behaviour.probes, LessThan(2))

        run_virtual(case())
