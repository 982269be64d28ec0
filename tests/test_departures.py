"""Departures that a node acknowledges hold, also for its next process."""

import json

from testtools import TestCase
from testtools.matchers import Equals, Is

from filbertdrift.platform.registry import TargetCalls
from standins.mesh_fleet import (
    MeshFleet,
    MeshInstance,
    config_document,
    heartbeat,
)
from tests.builders import run_virtual

READY, DRAINING = 'ready', 'draining'


class TargetOfFleet:
    """Calls of a target to the node beside it, which may have restarted.

    Args:
        instance: The node and its target.
        born_ms: The start that it states, None to state none.
    """

    def __init__(
        self, instance: MeshInstance, born_ms: int | None = None
    ) -> None:
        self.node = instance.node
        self._stated = heartbeat(instance)
        self._born = {} if born_ms is None else {'born': born_ms}
        self._path = f'/instances/{self._stated.instance}'
        self._calls = TargetCalls(instance.node.lifecycle)

    async def beat(self, state: str = READY, sequence: int = 1) -> int:
        """Send a heartbeat; return the status of the reply."""
        stated = self._stated
        fields = {
            'service': stated.service,
            'address': stated.address,
            'slots': stated.slots,
            'state': state,
            'seq': sequence,
            **self._born,
        }
        body = json.dumps(fields).encode()
        return (await self._calls.serve('PUT', self._path, body)).status

    async def leave(self, *, states_start: bool = True) -> int:
        """Send DELETE; return the status of the reply."""
        stated = self._born if states_start else {}
        body = json.dumps(stated).encode() if stated else b''
        return (await self._calls.serve('DELETE', self._path, body)).status

    @property
    def is_offered(self) -> bool:
        """Return whether the node lets requests reach the target."""
        current = self.node.lifecycle.current
        return current is not None and not current.is_leaving


async def silent_fleet(count: int = 2) -> MeshFleet:
    """Return a fleet whose targets send no heartbeats of their own."""
    fleet = MeshFleet()
    await fleet.publish(config_document())
    for _ in range(count):
        silence(await fleet.add('a', 'desk'))
    await fleet.wait_until_in_force(1, 5)
    return fleet


def silence(instance: MeshInstance) -> MeshInstance:
    """Let a target send no heartbeats; it is as if it never had."""
    assert instance.heartbeat_task is not None
    instance.heartbeat_task.cancel()
    return instance


async def unknown_target(born_ms: int | None = None) -> TargetOfFleet:
    """Return a target of which its node has not heard."""
    fleet = await silent_fleet()
    first = await fleet.kill('a-0:7000')
    return TargetOfFleet(silence(await fleet.restart(first)), born_ms)


class UnknownTargetTest(TestCase):
    """The departure of a target that the node has not heard of yet.

    Guards against a late heartbeat that brings back a target whose departure
    a restarted node has acknowledged.
    """

    def test_without_a_stated_start(self) -> None:
        run_virtual(self._leave(None, states_start=False))

    def test_with_a_stated_start(self) -> None:
        run_virtual(self._leave(17, states_start=True))

    def test_start_stated_by_heartbeats_only(self) -> None:
        run_virtual(self._leave(17, states_start=False))

    async def _leave(self, born_ms: int | None, *, states_start: bool) -> None:
        target = await unknown_target(born_ms)
        self.assertThat(
            await target.leave(states_start=states_start), Equals(200)
        )
        self.assertThat(await target.beat(), Equals(200))
        self.assertThat(target.is_offered, Is(False))

    def test_later_start_is_offered(self) -> None:
        run_virtual(self._start_again())

    async def _start_again(self) -> None:
        target = await unknown_target(born_ms=2_000)
        target.node.lifecycle.wall_clock_ms = lambda: 1_000
        await target.leave(states_start=False)
        await target.beat()
        self.assertThat(target.is_offered, Is(True))

    def test_departure_of_a_later_start_ends_the_known_one(self) -> None:
        run_virtual(self._unheard_start())

    async def _unheard_start(self) -> None:
        target = await unknown_target(born_ms=1)
        await target.beat()
        self.assertThat(target.is_offered, Is(True))
        target.node.lifecycle.leave(f'i-{target.node.identity.address}', 2)
        self.assertThat(target.is_offered, Is(False))
