"""Tests of nodes whose link is narrow and full."""

import asyncio
from collections.abc import Awaitable, Callable

from testtools import TestCase
from testtools.matchers import Equals, IsInstance, LessThan

from filbertdrift.age.transit import MAX_TRANSIT_S
from filbertdrift.errors import RequestNotRun, RequestUnknown
from standins.mesh_fleet import MeshFleet, config_document, target_scripts
from tests.builders import run_virtual, small_fleet

# Six megabits a second.
LINK_BYTES_PER_S = 750_000
# A change must be in force this long after it was acknowledged.
CONFIG_APPLY_S = 2.5
# How long work may reach a target after its caller has left, and how long a
# message may wait at a healthy link.
LEAVE_S = 0.5
ROUTES = 1600


def large_document(
    version: int, **routes: dict[str, object]
) -> dict[str, object]:
    """Return a configuration with ROUTES routes beside the given ones."""
    filler = {
        f'filler-{number}': {'path_prefix': f'/filler/{number}/'}
        for number in range(ROUTES)
    }
    return config_document(version, **filler, **routes)


async def keep_link_full(fleet: MeshFleet, address: str, wait_s: float) -> None:
    """Keep other traffic queued on the link to an address."""
    simulator = fleet.simulator
    while True:
        missing_s = wait_s - simulator.link_wait_s(address)
        if missing_s > 0:
            simulator.occupy_link(address, int(missing_s * LINK_BYTES_PER_S))
        await asyncio.sleep(0.02)


class FullLinkConfigTest(TestCase):
    """Configuration changes reach nodes behind full links."""

    # CONFIG: a route was refused with 404 by a node behind a full link, which
    # had heard of the change and could not fetch the document in time.
    def test_change_is_in_force_behind_a_full_link(self) -> None:
        run_virtual(self._change(missed_versions=1))

    # CONFIG: as above, after announcements were lost.
    def test_missed_changes_are_in_force_behind_a_full_link(self) -> None:
        run_virtual(self._change(missed_versions=4))

    async def _change(self, missed_versions: int) -> None:
        fleet = MeshFleet(31)
        await fleet.publish(large_document(1))
        for domain in 'aabbcc':
            await fleet.add(domain, 'desk')
        await fleet.wait_until_in_force(1, 5)
        await asyncio.sleep(3)
        slow = 'a-0:7000'
        fleet.instances[slow].log.is_partitioned = True
        # Its pending read of the log ends with an error.
        await asyncio.sleep(16)
        fleet.simulator.bytes_per_s[slow] = LINK_BYTES_PER_S
        filling = asyncio.ensure_future(keep_link_full(fleet, slow, 1.2))
        await asyncio.sleep(1)
        version = 1
        added: dict[str, dict[str, object]] = {}
        for _ in range(missed_versions):
            version += 3
            added[f'added-{version}'] = {'path_prefix': f'/added/{version}/'}
            await fleet.publish(large_document(version, **added))
            await asyncio.sleep(0.1)
        took_s = await fleet.wait_until_in_force(version, 30)
        filling.cancel()
        self.assertThat(took_s, LessThan(CONFIG_APPLY_S))


class FullLinkRequestTest(TestCase):
    """Requests that were late between the nodes."""

    # GONE: a target worked on a request whose caller had left seconds before,
    # as the request and its cancellation were late on a full link.
    def test_late_request_of_a_caller_that_left_is_not_run(self) -> None:
        run_virtual(self._left())

    async def _left(self, earlier_requests: int = 20) -> None:
        fleet = await self._ingress_and_target(earlier_requests)
        fleet.simulator.occupy_link('b-0:7000', 2 * LINK_BYTES_PER_S)
        call = asyncio.ensure_future(
            fleet.call('a-0:7000', '/read/late', timeout_s=1)
        )
        await asyncio.sleep(0.3)
        # What other nodes send delays the cancellation further.
        fleet.simulator.occupy_link('b-0:7000', LINK_BYTES_PER_S)
        call.cancel()
        await asyncio.sleep(5)
        script = target_scripts(fleet, 'desk')[0]
        self.assertThat(
            script.runs[f'request-{earlier_requests + 1}'], Equals(0)
        )

    # GONE: as above, for the first request on a connection between two nodes,
    # whose delay counted as none.
    def test_late_first_request_of_a_caller_that_left_is_not_run(self) -> None:
        run_virtual(self._left(earlier_requests=0))

    # GONE: a target got more time for a request than its caller waited.
    def test_deadline_counts_the_time_between_nodes(self) -> None:
        run_virtual(self._deadline())

    # GONE: as above, for the first request on a connection.
    def test_deadline_of_a_first_request_counts_the_time_between_nodes(
        self,
    ) -> None:
        run_virtual(self._deadline(earlier_requests=0))

    async def _deadline(self, earlier_requests: int = 20) -> None:
        fleet = await self._ingress_and_target(earlier_requests)
        fleet.simulator.occupy_link('b-0:7000', int(0.3 * LINK_BYTES_PER_S))
        response = await fleet.call('a-0:7000', '/read/1', timeout_s=1)
        response.close()
        script = target_scripts(fleet, 'desk')[0]
        self.assertThat(script.deadlines_ms[-1], LessThan(720))

    # GONE: as above, on a connection that opens over a full link, so that
    # nothing ever was quick on it.
    def test_deadline_on_a_new_connection_counts_the_time_between_nodes(
        self,
    ) -> None:
        run_virtual(self._new_connection(0.25))

    # GONE: as above, where the link is so full that the node must not be sent
    # requests. It is asked at least, and its reply does not come.
    def test_late_request_on_a_new_connection_is_not_run(self) -> None:
        run_virtual(self._new_connection(0.9))

    async def _new_connection(self, wait_s: float) -> None:
        fleet = await self._ingress_and_target()
        link = fleet.instances['a-0:7000'].node.links.ready('b-0:7000')
        assert link is not None
        link.close('reset')
        filling = asyncio.ensure_future(
            keep_link_full(fleet, 'b-0:7000', wait_s)
        )
        await asyncio.sleep(0.1)
        script = target_scripts(fleet, 'desk')[0]
        runs = len(script.deadlines_ms)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + 1
        outcome = await _outcome(
            lambda: fleet.call('a-0:7000', '/read/new', timeout_s=1)
        )
        filling.cancel()
        if wait_s > MAX_TRANSIT_S:
            self.assertThat(outcome, IsInstance(RequestNotRun))
            self.assertThat(script.deadlines_ms[runs:], Equals([]))
            return
        left_s = deadline - loop.time()
        self.assertThat(
            script.deadlines_ms[-1] / 1000, LessThan(left_s + script.work_s)
        )

    # GONE: an upload was offered and asked for in time; its body was late, and
    # the caller had left.
    def test_late_body_of_a_caller_that_left_is_not_run(self) -> None:
        run_virtual(self._late_body())

    async def _late_body(self) -> None:
        fleet = await self._ingress_and_target()
        write = {'timeout_s': 10.0, 'target_latency_s': 5.0}
        await fleet.publish(config_document(2, write=write))
        await fleet.wait_until_in_force(2, 5)
        script = target_scripts(fleet, 'desk')[0]
        runs = script.runs.total()
        call = asyncio.ensure_future(
            fleet.call('a-0:7000', '/write/up', timeout_s=9, body=b'u' * 20_000)
        )
        # The offer has arrived, and the credit is on its way back.
        await asyncio.sleep(0.0008)
        fleet.simulator.occupy_link('b-0:7000', int(0.8 * LINK_BYTES_PER_S))
        await asyncio.sleep(0.05)
        # What other nodes send delays the cancellation further.
        fleet.simulator.occupy_link('b-0:7000', LINK_BYTES_PER_S)
        call.cancel()
        await asyncio.sleep(3)
        self.assertThat(script.runs.total() - runs, Equals(0))

    # GONE: the same fault in the nodes with their own configuration files.
    def test_late_request_is_not_run_beside_announced_targets(self) -> None:
        run_virtual(self._late_beside_announced())

    # GONE: as above, for the first request on a connection.
    def test_late_first_request_is_not_run_beside_announced_targets(
        self,
    ) -> None:
        run_virtual(self._late_beside_announced(earlier_requests=0))

    async def _late_beside_announced(self, earlier_requests: int = 20) -> None:
        fleet = await small_fleet()
        ingress, target = fleet.address('b', 0), fleet.address('a', 3)
        for _ in range(earlier_requests):
            await fleet.call(ingress, '/ledger/1')
        fleet.simulator.bytes_per_s[target] = LINK_BYTES_PER_S
        fleet.simulator.occupy_link(target, 2 * LINK_BYTES_PER_S)
        call = asyncio.ensure_future(
            _outcome(
                lambda: fleet.call(ingress, '/ledger/1', request_id='late')
            )
        )
        await asyncio.sleep(0.3)
        fleet.simulator.occupy_link(target, LINK_BYTES_PER_S)
        call.cancel()
        await asyncio.sleep(5)
        runs = [run for run in fleet.executions() if 'late' in str(run)]
        self.assertThat(runs, Equals([]))

    # GONE, CONFIG: the bodies of uploads filled the link to a node, so that
    # cancellations and configurations were late.
    def test_uploads_do_not_fill_the_link(self) -> None:
        run_virtual(self._uploads())

    async def _uploads(self) -> None:
        fleet = await self._ingress_and_target()
        body = b'u' * 60_000
        calls = [
            asyncio.ensure_future(
                _outcome(
                    lambda: fleet.call(
                        'a-0:7000', '/write/up', timeout_s=1, body=body
                    )
                )
            )
            for _ in range(24)
        ]
        longest_s = 0.0
        for _ in range(200):
            await asyncio.sleep(0.01)
            wait_s = fleet.simulator.link_wait_s('b-0:7000')
            longest_s = max(longest_s, wait_s)
        await asyncio.gather(*calls)
        self.assertThat(longest_s, LessThan(LEAVE_S))

    # LOST: downloads filled the link from a node. Refusals and responses came
    # after the deadline, and requests that had reached no target got 504.
    def test_downloads_do_not_fill_the_link(self) -> None:
        run_virtual(self._downloads())

    async def _downloads(self) -> None:
        fleet = await self._ingress_and_target()
        fleet.simulator.sent_bytes_per_s['b-0:7000'] = LINK_BYTES_PER_S
        target_scripts(fleet, 'desk')[0].large_bytes = 90_000
        longest_s = 0.0
        calls = []
        # Twice what the link can carry.
        for number in range(50):
            path = '/read/1' if number % 3 else '/write/large'
            calls.append(
                asyncio.ensure_future(
                    _outcome(
                        lambda path=path: fleet.call(
                            'a-0:7000', path, timeout_s=1
                        )
                    )
                )
            )
            await asyncio.sleep(0.02)
            wait_s = fleet.simulator.sent_link_wait_s('b-0:7000')
            longest_s = max(longest_s, wait_s)
        outcomes = await asyncio.gather(*calls)
        small = [
            outcome
            for number, outcome in enumerate(outcomes)
            if number % 3 and isinstance(outcome, RequestUnknown)
        ]
        self.assertThat(small, Equals([]))
        self.assertThat(longest_s, LessThan(LEAVE_S))

    async def _ingress_and_target(
        self, earlier_requests: int = 20
    ) -> MeshFleet:
        """Return a fleet of an ingress and a target behind a narrow link."""
        fleet = MeshFleet(32)
        fleet.link_mbps = LINK_BYTES_PER_S * 8 / 1e6
        await fleet.publish(config_document())
        await fleet.add('a', 'other')
        await fleet.add('b', 'desk')
        await fleet.wait_until_in_force(1, 5)
        await asyncio.sleep(3)
        for _ in range(earlier_requests):
            (await fleet.call('a-0:7000')).close()
        fleet.simulator.bytes_per_s['b-0:7000'] = LINK_BYTES_PER_S
        return fleet


async def _outcome(call: Callable[[], Awaitable[object]]) -> object:
    try:
        return await call()
    except (RequestNotRun, RequestUnknown) as exc:
        return exc
