"""Quotas over the whole fleet, in virtual time on a lossy fabric."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace
from typing import Any
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan, MatchesAny

from filbertdrift.accounts import pool, quota_keeper
from filbertdrift.accounts.directory import ClientAccount
from filbertdrift.accounts.lease import Lease
from filbertdrift.accounts.pledges import Pledge
from filbertdrift.accounts.quota import QuotaExceeded
from filbertdrift.accounts.quota_bounds import QuotaBounds
from filbertdrift.gen import ttypes
from filbertdrift.mesh import MeshNode
from standins.mesh_fleet import MeshFleet, config_document
from standins.quota_fleet import QuotaFleet
from tests.builders import run_virtual

LARGE = ClientAccount('large', 1, 308, 308)
MEDIUM = ClientAccount('medium', 1, 40, 40)
SMALL = ClientAccount('small', 1, 5, 8)
USUAL = (LARGE, MEDIUM, SMALL)
# For runs with many seeds. Without a burst the rule leaves the least room.
ACCOUNTS = (replace(LARGE, rate_per_s=120, burst=0), MEDIUM, SMALL)
# When shares are free and pledged, and the buckets are full.
STARTED_S = 12
AT_MOST_0 = MatchesAny(Equals(0), LessThan(0))

Trouble = Callable[[QuotaFleet], Coroutine[None, None, None]]


async def send_all(
    fleet: QuotaFleet,
    factor: float,
    seconds: float,
    nodes: Sequence[str] = (),
) -> None:
    """Send requests of all accounts at a multiple of their limits."""
    await asyncio.gather(
        *(
            fleet.load(
                account.name, account.rate_per_s * factor, seconds, nodes
            )
            for account in fleet.accounts.values()
        )
    )


async def cut_domains(fleet: QuotaFleet) -> None:
    """Cut all domains off from each other for a while, twice."""
    for _ in range(2):
        await asyncio.sleep(4)
        for number, domain in enumerate('abc'):
            fleet.cut.update((node, number) for node in fleet.in_domain(domain))
        await asyncio.sleep(4)
        fleet.cut.clear()


async def isolate_nodes(fleet: QuotaFleet) -> None:
    """Cut a third of the nodes off from all others."""
    await asyncio.sleep(4)
    for number, node in enumerate(fleet.rng.sample(sorted(fleet.nodes), 8)):
        fleet.cut[node] = number + 1
    await asyncio.sleep(9)
    fleet.cut.clear()


async def halve_domain(fleet: QuotaFleet) -> None:
    """Cut a domain in two, each of which takes the other for dead."""
    await asyncio.sleep(4)
    half = fleet.in_domain('a')[::2]
    fleet.cut.update((node, 1) for node in half)
    for node in fleet.in_domain('a'):
        others = [
            other
            for other in fleet.in_domain('a')
            if fleet.cut.get(other) != fleet.cut.get(node)
        ]
        for other in others:
            fleet.declare_dead(other, [node])
    await asyncio.sleep(14)
    fleet.cut.clear()


async def restart_keepers(fleet: QuotaFleet) -> None:
    """Kill, pause and restart the keepers of all slots at random times."""
    for _ in range(8):
        await asyncio.sleep(fleet.rng.uniform(0.2, 2))
        node = fleet.rng.choice(fleet.keepers())
        kind = fleet.rng.choice(('restart', 'pause', 'isolate'))
        if kind == 'restart':
            fleet.restart(node)
        elif kind == 'pause':
            fleet.pause(node)
            await asyncio.sleep(fleet.rng.uniform(0.2, 3))
            fleet.resume(node)
        else:
            fleet.cut[node] = 1
            await asyncio.sleep(fleet.rng.uniform(0.2, 6))
            fleet.cut.clear()


async def restart_all(fleet: QuotaFleet) -> None:
    """Restart all nodes at once, twice."""
    for _ in range(2):
        await asyncio.sleep(7)
        for node in list(fleet.nodes):
            fleet.restart(node)


async def move_callers(fleet: QuotaFleet) -> None:
    """Send more from one node, and then from another one."""
    for domain in 'abca':
        node = fleet.in_domain(domain)[2]
        await send_all(fleet, 2, 3, [node])


TROUBLES: Sequence[Trouble] = (
    cut_domains,
    isolate_nodes,
    halve_domain,
    restart_keepers,
    restart_all,
    move_callers,
)


async def play(seed: int, *troubles: Trouble, factor: float = 2.5) -> float:
    """Return the largest excess over the rule on a lossy fabric.

    Every account sends a multiple of its limit, with pauses in which its
    buckets fill.

    Args:
        seed: Seed of all random choices.
        troubles: Run beside the load.
        factor: The multiple of the limits that is sent.
    """
    fleet = QuotaFleet(seed, 24, ACCOUNTS)
    fleet.loss = fleet.rng.choice((0, 0.02, 0.2))
    fleet.repeats = fleet.rng.choice((0, 0.3))
    fleet.max_delay_s = fleet.rng.choice((0.002, 0.1, 2.0))
    await asyncio.sleep(STARTED_S)

    async def send() -> None:
        for _ in range(3):
            await send_all(fleet, factor, fleet.rng.uniform(4, 9))
            await asyncio.sleep(fleet.rng.uniform(0, 3))

    await asyncio.gather(send(), *(trouble(fleet) for trouble in troubles))
    await fleet.stop()
    return max(fleet.excess(account.name) for account in ACCOUNTS)


class WindowTest(TestCase):
    """In no window run more requests of an account than the rule allows."""

    def test_every_trouble(self) -> None:
        for seed, trouble in enumerate(TROUBLES):
            excess = run_virtual(play(seed, trouble))
            self.assertThat(excess, AT_MOST_0, trouble.__name__)

    def test_random_troubles_together(self) -> None:
        for seed in range(100, 104):
            rng = random.Random(seed)
            troubles = rng.sample(TROUBLES, 2)
            names = [trouble.__name__ for trouble in troubles]
            excess = run_virtual(play(seed, *troubles))
            self.assertThat(excess, AT_MOST_0, f'{names} {seed}')

    def test_lenders_in_need(self) -> None:
        """The rule holds even if keepers lend what they need themselves."""
        with mock.patch.object(pool.AccountPool, '_used_share', return_value=0):
            excess = run_virtual(play(1, cut_domains, factor=4))
        self.assertThat(excess, AT_MOST_0)

    def test_lower_limit(self) -> None:
        """A lower limit holds one window after all nodes have it."""
        run_virtual(self._lower_limit())

    async def _lower_limit(self) -> None:
        fleet = QuotaFleet(3, 24, USUAL)
        await asyncio.sleep(STARTED_S)
        await send_all(fleet, 2, 4)
        fleet.configure(replace(LARGE, rate_per_s=50, burst=20))
        await send_all(fleet, 2, 2)
        fleet.outcomes.runs.clear()
        await send_all(fleet, 2, 8)
        self.assertThat(fleet.excess('large'), AT_MOST_0)
        fleet.configure(LARGE)
        fleet.outcomes.runs.clear()
        await send_all(fleet, 2, 8)
        await fleet.stop()
        self.assertThat(fleet.excess('large'), AT_MOST_0)
        self.assertThat(len(fleet.outcomes.runs['large']), GreaterThan(2200))

    def test_suspended_machine(self) -> None:
        """A keeper whose clock stood still drops what seems valid to it."""
        run_virtual(self._suspended())

    async def _suspended(self) -> None:
        fleet = QuotaFleet(3, 24, USUAL)
        await asyncio.sleep(STARTED_S)
        await send_all(fleet, 0.5, 2)
        for keeper in fleet.keepers():
            limiter = fleet.nodes[keeper].limiter
            limiter.suspended_s = lambda: 1e9
            limiter.on_datagram('10.1.0.0:7000', 1, object())
            for account in USUAL:
                share, _ = limiter.keeper.shares(account.name, 0)
                self.assertThat(share, Equals(0))
        await fleet.stop()


class BrokenVariantTest(TestCase):
    """The tests of the window detect limiters that are broken in one way."""

    def breaks(self, *troubles: Trouble) -> bool:
        """Return whether the rule is broken with some seed."""
        return any(
            run_virtual(play(seed, *troubles, factor=4)) > 0
            for seed in range(6)
        )

    def test_share_moves_at_once(self) -> None:
        with mock.patch.object(Pledge, 'may_give', return_value=True):
            self.assertThat(self.breaks(halve_domain), Equals(True))

    def test_lender_keeps_its_share(self) -> None:
        with (
            mock.patch.object(pool.AccountPool, 'lent', return_value=0),
            mock.patch.object(pool.AccountPool, '_used_share', return_value=0),
        ):
            self.assertThat(self.breaks(cut_domains), Equals(True))

    def test_pledges_do_not_end(self) -> None:
        with mock.patch.object(quota_keeper, 'PLEDGE_S', 60):
            self.assertThat(self.breaks(halve_domain), Equals(True))

    def test_grants_add_up(self) -> None:
        original = Lease.on_grant

        def add(lease: Lease, grant: ttypes.QuotaTokens, *rest: Any) -> None:
            grant.tokens += lease.tokens
            original(lease, grant, *rest)

        with mock.patch.object(Lease, 'on_grant', add):
            self.assertThat(self.breaks(cut_domains), Equals(True))


class ServiceTest(TestCase):
    """Requests within the limit are served, with little waiting."""

    def check_refused(
        self, trouble: Trouble | None = None, share: float = 0.01
    ) -> None:
        """Assert that few requests are refused at 60% of the limits."""
        fleet = run_virtual(self._serve(trouble))
        for account in USUAL:
            refused = fleet.outcomes.refused_share(account.name, STARTED_S)
            self.assertThat(refused, LessThan(share), account.name)

    async def _serve(self, trouble: Trouble | None) -> QuotaFleet:
        fleet = QuotaFleet(5, 65, USUAL)
        fleet.loss = 0.01
        await asyncio.sleep(STARTED_S)
        load = send_all(fleet, 0.6, 40)
        await asyncio.gather(load, *([trouble(fleet)] if trouble else []))
        await fleet.stop()
        return fleet

    def test_calm(self) -> None:
        self.check_refused()

    def test_keeper_ends(self) -> None:
        """The next member borrows until the pledges of the old one end."""

        async def kill_keeper(fleet: QuotaFleet) -> None:
            await asyncio.sleep(5)
            node = fleet.keepers()[0]
            fleet.kill(node)
            await asyncio.sleep(6)
            fleet.declare_dead(node)

        self.check_refused(kill_keeper)

    def test_domains_cut_off(self) -> None:
        self.check_refused(cut_domains)

    def test_waits_are_short(self) -> None:
        fleet = run_virtual(self._serve(None))
        waits_s = sorted(fleet.outcomes.waits_s)
        self.assertThat(waits_s[len(waits_s) // 2], LessThan(0.001))
        self.assertThat(waits_s[len(waits_s) * 98 // 100], LessThan(0.01))

    def test_all_callers_at_one_node(self) -> None:
        """It gets nearly all of the rate after two seconds."""
        run_virtual(self._one_node())

    async def _one_node(self) -> None:
        fleet = QuotaFleet(2, 65, USUAL)
        await asyncio.sleep(STARTED_S)
        node = fleet.in_domain('b')[4]
        await send_all(fleet, 1.5, 22, [node])
        await fleet.stop()
        for account in USUAL:
            since = STARTED_S + 2
            runs = [
                at for at in fleet.outcomes.runs[account.name] if at > since
            ]
            self.assertThat(
                len(runs) / 20 / account.rate_per_s, GreaterThan(0.9)
            )

    def test_keeps_to_the_bytes(self) -> None:
        """An idle node sends under 100 bytes a second, at any size."""
        for nodes in (65, 195, 970):
            sent = run_virtual(self._idle_bytes(nodes))
            self.assertThat(sent, LessThan(100), f'{nodes} nodes')

    async def _idle_bytes(self, nodes: int) -> float:
        fleet = QuotaFleet(2, nodes, USUAL)
        await asyncio.sleep(8)
        before = fleet.sent_bytes
        # A whole number of renewals: pledges are renewed every 2.4 s.
        await asyncio.sleep(4.8)
        sent = fleet.sent_bytes - before
        await fleet.stop()
        return sent / 4.8 / nodes


class TakeTest(TestCase):
    """Tokens that are taken, refused and given back at one node."""

    def test_give_back(self) -> None:
        """A request that is refused at once returns its token, a later not."""
        run_virtual(self._give_back())

    async def _give_back(self) -> None:
        fleet = QuotaFleet(2, 3, USUAL)
        await asyncio.sleep(STARTED_S)
        limiter = fleet.nodes['10.1.0.0:7000'].limiter
        await limiter.take(MEDIUM, STARTED_S + 1)
        limiter.give_back(MEDIUM)
        # A token is given back once.
        limiter.give_back(MEDIUM)
        await limiter.take(MEDIUM, STARTED_S + 1)
        await asyncio.sleep(0.5)
        limiter.give_back(MEDIUM)
        self.assertThat(limiter.counters.returned, Equals(1))
        self.assertThat(limiter.counters.late_returns, Equals(2))
        await fleet.stop()

    def test_refusal(self) -> None:
        """A refusal is a 429 that says when to come back."""
        run_virtual(self._refusal())

    async def _refusal(self) -> None:
        fleet = QuotaFleet(2, 3, USUAL)
        limiter = fleet.nodes['10.1.0.0:7000'].limiter
        exc = await self._exhaust(limiter.take(SMALL, 9))
        self.assertThat(exc.status, Equals(429))
        self.assertThat(exc.retry_after_ms, GreaterThan(0))
        unlimited = ClientAccount('unlimited', 1, 0, 0)
        await limiter.take(unlimited, 9)
        await fleet.stop()

    async def _exhaust(
        self, take: Coroutine[None, None, None]
    ) -> QuotaExceeded:
        try:
            await take
        except QuotaExceeded as exc:
            return exc
        raise AssertionError('a token before any share is free')


class MeshTest(TestCase):
    """The limiter of a mesh node on the network of the nodes."""

    def test_nodes_share_a_limit(self) -> None:
        """Datagrams about quotas reach the limiters of other nodes."""
        run_virtual(self._share())

    async def _share(self) -> None:
        fleet = MeshFleet()
        for domain in 'abcabc':
            await fleet.add(domain, 'desk')
        await fleet.publish(config_document())
        await asyncio.sleep(5)
        nodes = [instance.node for instance in fleet.instances.values()]
        for node in nodes:
            node.quota.configure([MEDIUM])
        await asyncio.sleep(10)
        deadline = asyncio.get_running_loop().time() + 1
        results = await asyncio.gather(
            *(
                node.quota.take(MEDIUM, deadline)
                for node in nodes
                for _ in '12'
            ),
            return_exceptions=True,
        )
        self.assertThat(results, Equals([None] * 2 * len(nodes)))
        for address in list(fleet.instances):
            await fleet.kill(address)

    def test_all_nodes_killed_beside_an_outage_of_the_log(self) -> None:
        """Guards against nodes that each count themselves as the fleet."""
        for away_s in (0, 4.5, 7):
            run_virtual(self._killed(away_s))

    async def _killed(self, away_s: float) -> None:
        fleet = MeshFleet(5)
        for domain in 'abcabc':
            await fleet.add(domain, 'desk')
        tenants = {'shop': {'api_keys': ['k'], 'rate_per_s': 100, 'burst': 0}}
        await fleet.publish({**config_document(), 'tenants': tenants})
        await asyncio.sleep(STARTED_S)
        fleet.log.is_down = away_s > 0
        instances = [
            await fleet.kill(address) for address in list(fleet.instances)
        ]
        for instance in instances:
            await fleet.restart(instance)
        run_at: list[float] = []
        loop = asyncio.get_running_loop()
        callers = [
            loop.create_task(_take_all(instance.node, run_at))
            for instance in fleet.instances.values()
        ]
        # The topic of the configuration is read before that of the nodes.
        await asyncio.sleep(away_s)
        fleet.log.is_down = False
        await asyncio.sleep(12)
        for caller in callers:
            caller.cancel()
        bounds = QuotaBounds()
        most = max(
            sum(at <= other < at + bounds.window_s for other in run_at)
            for at in run_at
        )
        self.assertThat(most, LessThan(bounds.allowed(100, 0)))
        late = [at for at in run_at if at > loop.time() - bounds.window_s]
        self.assertThat(len(late), GreaterThan(0.8 * 100 * bounds.window_s))


async def _take_all(node: MeshNode, run_at: list[float]) -> None:
    """Take tokens of an account as often as a node has some.

    Args:
        node: The node, whose configuration may be missing.
        run_at: Receives when.
    """
    loop = asyncio.get_running_loop()
    account = ClientAccount('shop', 1, 100, 0)
    while True:
        await asyncio.sleep(0.01)
        if not node.has_config:
            continue
        try:
            await node.quota.take(account, loop.time() + 1)
        except QuotaExceeded:
            continue
        run_at.append(loop.time())
