"""Client-side load balancing by passively observed target statistics.

Targets are compared by observed outcomes and by the load reported with
responses, not by announced health. Targets in the node's own failure domain
are preferred, then those in its region; requests spill over to others at a
given load, by default before the closer targets would queue. The cheaper of
two random candidates is chosen, so that callers do not herd onto the least
loaded target.
"""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field

from filbertdrift.members import Member, MemberStatus

SPILL_PERMILLE = 800
LOAD_HALF_LIFE_S = 0.5
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 30.0
# Ejections in a row after which the next ones are no longer.
MAX_EJECTION_DOUBLINGS = 6
FAILURES_TO_EJECT = 3
SLOW_START_S = 5.0
SLOW_START_PENALTY_PERMILLE = 300
IN_FLIGHT_LOAD_PERMILLE = 1000
LATENCY_EWMA_WEIGHT = 0.2
# What is known of a target's latency decays, so that a slow one that receives
# no requests is tried again, sooner if it was slow by little.
LATENCY_HALF_LIFE_S = 2.0
NO_OBJECTIVE_S = float('inf')
SUCCESS_EWMA_WEIGHT = 0.1
# A lower success rate does not raise a target's cost further.
MIN_SUCCESS_RATE = 0.1
# Failures decay, so that a target that receives no requests is tried again.
FAILURE_HALF_LIFE_S = 2.0
# Applied to the local target's cost while it has free slots.
LOCAL_COST_FACTOR = 0.5
# How long a gate that was full for a kind of request is skipped. Its queue
# advances by some requests in that time.
FULL_BACKOFF_S = 0.04
# A target whose limit is reached is taken for full until its gate allows
# another request, but at most this long: the limit may have ended.
MAX_LIMITED_S = 1.0
IDLE_COST_PERMILLE = 200
FULL_PERMILLE = 1000
# In a group of at least this many members, pairs are drawn at random and then
# checked; after MAX_DRAWS without a pair, all members are checked.
MIN_GROUP_TO_DRAW = 6
MAX_DRAWS = 6


@dataclass(slots=True)
class TargetStats:
    """Passive statistics of one target, as observed by this node."""

    generation: int
    first_seen_at: float
    in_flight: int = 0
    last_contact_at: float = 0.0
    load_permille: int = 0
    load_updated_at: float = 0.0
    limited_until: float = 0.0
    latency_s: float = 0.0
    large_body_latency_s: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    # It was ejected because its target refused requests.
    is_refusing: bool = False
    success_rate: float = 1.0
    success_rate_at: float = 0.0
    # Moving averages by kind of request.
    kind_latency_s: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Groups:
    """The members with a target of one service, by distance."""

    whole: Sequence[Member]
    in_domain: Sequence[Member]
    in_region: Sequence[Member]
    local: Member | None


class TargetChooser:
    """Chooses targets for this node's ingress requests.

    Args:
        domain: This node's failure domain.
        region: This node's region.
        rng: Samples the candidates.
        local_node: This node, to prefer its local target, which is reached
            without a hop and without traffic on the instance's link; empty
            for no preference.
    """

    def __init__(
        self,
        domain: str,
        region: str,
        rng: random.Random,
        local_node: str = '',
    ) -> None:
        """Start without statistics."""
        self._local_node = local_node
        self._domain = domain
        self._region = region
        self._rng = rng
        self._stats: dict[str, TargetStats] = {}
        self._groups: dict[str, _Groups] = {}
        self._full_until: dict[tuple[str, str], float] = {}
        self.unreachable_domains: set[str] = set()
        self.is_suspect: Callable[[str], bool] = _not_suspect

    def choose(
        self,
        endpoints: Sequence[Member],
        tried: Collection[str],
        now: float,
        spill_permille: int = SPILL_PERMILLE,
        kind: str = '',
        *,
        objective_s: float = NO_OBJECTIVE_S,
        has_large_body: bool = False,
    ) -> Member | None:
        """Return the target for a request.

        Args:
            endpoints: The members that have a target of the service.
            tried: Nodes to exclude, as this request was sent there already.
            now: The time on the event loop's clock.
            spill_permille: Load of the closer targets at which the request
                spills over to others.
            kind: The kind of request; gates that were recently full for it
                are excluded.
            objective_s: The latency objective of the kind; closer targets
                that take longer are left for others, unless these are worse.
            has_large_body: Whether targets are compared by their latency for
                large bodies.

        Returns:
            A member, or None if no candidate is left.
        """

        def is_available(member: Member) -> bool:
            return (
                member.node not in tried
                and not self._is_full(member, kind, now)
                and self._is_usable(member, now)
            )

        def pick(group: Sequence[Member]) -> Member | None:
            return self._pick_of_two(
                group,
                groups.local,
                is_available,
                now,
                has_large_body=has_large_body,
            )

        groups = self._group(endpoints)
        slow: list[Member] = []
        for group in (groups.in_domain, groups.in_region):
            best = pick(group)
            if not best or self._estimated_load(best, now) >= spill_permille:
                continue
            if self._expected_latency_s(best, kind, now) <= objective_s:
                return best
            slow.append(best)
        best = pick(groups.whole)
        if best:
            return min(
                (*slow[:1], best),
                key=lambda member: self._cost(
                    member, now, has_large_body=has_large_body
                ),
            )
        # Ejected and unreachable targets are better than none.
        return self._pick_of_two(
            groups.whole,
            groups.local,
            lambda member: (
                member.node not in tried
                and not self._is_full(member, kind, now)
            ),
            now,
            has_large_body=has_large_body,
        )

    def began(self, member: Member, now: float) -> None:
        """Record that a request was sent to a target."""
        stats = self._stats_for(member, now)
        if not stats.in_flight:
            stats.last_contact_at = now
        stats.in_flight += 1

    def ended(self, member: Member, now: float) -> None:
        """Record that a request to a target has ended."""
        stats = self._stats_for(member, now)
        stats.in_flight = max(stats.in_flight - 1, 0)

    def answered(
        self,
        member: Member,
        load_permille: int,
        latency_s: float,
        now: float,
        kind: str = '',
        *,
        has_large_body: bool = False,
    ) -> None:
        """Record a response and the load that it reported.

        Args:
            member: The target's member.
            load_permille: The load of its gate.
            latency_s: Time from sending the request to the response.
            now: The time on the event loop's clock.
            kind: The kind of request.
            has_large_body: Whether the latency is that of a large body.
        """
        stats = self._stats_for(member, now)
        stats.kind_latency_s[kind] = _update_latency(
            stats.kind_latency_s.get(kind, 0), latency_s
        )
        stats.load_permille = load_permille
        stats.load_updated_at = now
        stats.last_contact_at = now
        self._update_success_rate(stats, now, is_success=True)
        stats.failures = 0
        stats.ejections = 0
        stats.ejected_until = 0
        if has_large_body:
            stats.large_body_latency_s = _update_latency(
                stats.large_body_latency_s, latency_s
            )
        else:
            stats.latency_s = _update_latency(stats.latency_s, latency_s)

    def waited(
        self, member: Member, kind: str, elapsed_s: float, now: float
    ) -> None:
        """Record that a request of a kind got no response for some time.

        Args:
            member: The target's member.
            kind: The kind of request.
            elapsed_s: How long it got no response.
            now: The time on the event loop's clock.
        """
        if elapsed_s > self._expected_latency_s(member, kind, now):
            stats = self._stats_for(member, now)
            stats.kind_latency_s[kind] = _update_latency(
                stats.kind_latency_s.get(kind, 0), elapsed_s
            )
            stats.last_contact_at = now

    def answered_with_error(self, member: Member, now: float) -> None:
        """Record a response with a server error.

        Its latency is ignored, as errors are often faster than successes.
        """
        stats = self._stats_for(member, now)
        stats.last_contact_at = now
        self._update_success_rate(stats, now, is_success=False)

    def refused(
        self,
        member: Member,
        load_permille: int,
        now: float,
        kind: str = '',
        *,
        is_rate_limited: bool = False,
    ) -> None:
        """Record that a request was refused.

        A gate with a free slot refuses only if its target fails, so that
        counts as a failure, unless the target has reached its limit.

        Args:
            member: The target's member.
            load_permille: The load of its gate.
            now: The time on the event loop's clock.
            kind: The kind of request, if the gate distinguishes kinds.
            is_rate_limited: The target has reached the limit that it states.
        """
        if load_permille < FULL_PERMILLE and not is_rate_limited:
            stats = self._stats_for(member, now)
            is_ejected = now < stats.ejected_until
            self.failed(member, now, unreachable=True)
            stats.is_refusing |= not is_ejected
            return
        self.record_load(member, load_permille, now)
        if kind:
            full_until = now + FULL_BACKOFF_S
            if is_rate_limited:
                stats = self._stats_for(member, now)
                full_until = max(full_until, stats.limited_until)
            self._full_until[member.node, kind] = full_until

    def record_load(
        self,
        member: Member,
        load_permille: int,
        now: float,
    ) -> None:
        """Record the load that a gate reported.

        Args:
            member: The target's member.
            load_permille: The load of its gate.
            now: The time on the event loop's clock.
        """
        stats = self._stats_for(member, now)
        stats.load_permille = load_permille
        stats.load_updated_at = now

    def record_limited(
        self, member: Member, limited_s: float, now: float
    ) -> None:
        """Record when the limit of a target allows another request.

        Args:
            member: The target's member.
            limited_s: After which time, 0 if now.
            now: The time on the event loop's clock.
        """
        stats = self._stats_for(member, now)
        stats.limited_until = now + min(limited_s, MAX_LIMITED_S)

    def is_in_own_domain(self, member: Member) -> bool:
        """Return whether a target is in this node's failure domain."""
        return self._is_in_domain(member)

    def is_below_capacity(self, member: Member, now: float) -> bool:
        """Return whether a target's estimated load leaves a free slot.

        Args:
            member: The target's member.
            now: The time on the event loop's clock.
        """
        return self._estimated_load(member, now) < FULL_PERMILLE

    def failed(self, member: Member, now: float, *, unreachable: bool) -> None:
        """Record a failure and eject the target after repeated ones.

        While a target is ejected, refusals tell nothing new: they are those
        of requests that were under way or had no other target.

        Args:
            member: The target's member.
            now: The time on the event loop's clock.
            unreachable: Whether the node itself was unreachable, which ejects
                its target at once.
        """
        stats = self._stats_for(member, now)
        self._update_success_rate(stats, now, is_success=False)
        if now >= stats.ejected_until:
            stats.is_refusing = False
        if unreachable and now < stats.ejected_until:
            return
        stats.failures += 1
        if unreachable or stats.failures >= FAILURES_TO_EJECT:
            ejection_s = BASE_EJECTION_S * 2**stats.ejections
            jitter = 0.5 + self._rng.random()
            stats.ejections = min(stats.ejections + 1, MAX_EJECTION_DOUBLINGS)
            stats.ejected_until = now + min(ejection_s, MAX_EJECTION_S) * jitter
            stats.failures = 0

    def announced(self, member: Member) -> None:
        """Record that a node has announced the state of its target anew.

        What an earlier instance at the address has refused says nothing of
        one that serves there now.

        Args:
            member: The new record of the node.
        """
        stats = self._stats.get(member.node)
        is_serving = member.status == MemberStatus.SERVING
        if stats is None or not stats.is_refusing or not is_serving:
            return
        stats.is_refusing = False
        stats.ejected_until = 0
        stats.ejections = 0
        stats.failures = 0
        stats.success_rate = 1

    def remove_missing(self, nodes: Collection[str]) -> None:
        """Remove the statistics of members that are gone."""
        for node in list(self._stats):
            if node not in nodes:
                self._stats.pop(node)
        for node, kind in list(self._full_until):
            if node not in nodes:
                self._full_until.pop((node, kind))

    def find_stats(self, node: str) -> TargetStats | None:
        """Return the statistics of a target, None if there are none."""
        return self._stats.get(node)

    def success_rate(self, member: Member, now: float) -> float:
        """Return the share of a target's responses without server errors.

        Args:
            member: The target's member.
            now: The time on the event loop's clock.
        """
        stats = self._stats.get(member.node)
        return _decayed_success_rate(stats, now) if stats else 1

    def _is_usable(self, member: Member, now: float) -> bool:
        if member.domain in self.unreachable_domains:
            return False
        if self.is_suspect(member.node):
            return False
        stats = self._stats.get(member.node)
        if stats is None or stats.generation != member.generation:
            return True
        return now >= stats.ejected_until

    def _is_full(self, member: Member, kind: str, now: float) -> bool:
        return now < self._full_until.get((member.node, kind), 0)

    def _is_local(self, member: Member) -> bool:
        return bool(self._local_node) and member.node == self._local_node

    def _is_in_domain(self, member: Member) -> bool:
        return member.domain == self._domain

    def _is_in_region(self, member: Member) -> bool:
        return member.region == self._region

    def _group(self, endpoints: Sequence[Member]) -> '_Groups':
        """Return the members of a service by distance."""
        service = endpoints[0].service if endpoints else ''
        groups = self._groups.get(service)
        if groups is None or groups.whole is not endpoints:
            groups = _Groups(
                whole=endpoints,
                in_domain=list(filter(self._is_in_domain, endpoints)),
                in_region=list(filter(self._is_in_region, endpoints)),
                local=next(filter(self._is_local, endpoints), None),
            )
            self._groups[service] = groups
        return groups

    def _pick_of_two(
        self,
        group: Sequence[Member],
        local: Member | None,
        is_available: Callable[[Member], bool],
        now: float,
        *,
        has_large_body: bool,
    ) -> Member | None:
        """Return the cheaper of two random available members of a group.

        The local target is preferred while it has free slots.
        """
        pair = self._draw_pair(group, is_available)
        if not pair:
            return None

        def cost(member: Member) -> float:
            return self._cost(member, now, has_large_body=has_large_body)

        best = min(pair, key=cost)
        if local is None or len(pair) == 1 or local is best:
            return best
        has_room = self._estimated_load(local, now) < FULL_PERMILLE
        is_cheap = cost(local) * LOCAL_COST_FACTOR <= cost(best)
        return local if has_room and is_cheap and is_available(local) else best

    def _draw_pair(
        self,
        group: Sequence[Member],
        is_available: Callable[[Member], bool],
    ) -> Sequence[Member]:
        """Return two random available members, fewer if there are no more.

        As most members are available, a few draws find two without a scan of
        the group.
        """
        pair: list[Member] = []
        if len(group) >= MIN_GROUP_TO_DRAW:
            for member in self._rng.choices(group, k=MAX_DRAWS):
                if member not in pair and is_available(member):
                    pair.append(member)
                if len(pair) == 2:
                    return pair
        available = list(filter(is_available, group))
        return self._rng.sample(available, min(2, len(available)))

    def _estimated_load(self, member: Member, now: float) -> float:
        stats = self._stats.get(member.node)
        if stats is None or stats.generation != member.generation:
            return SLOW_START_PENALTY_PERMILLE
        age = now - stats.load_updated_at
        if now < stats.limited_until:
            # No request is admitted meanwhile, so the load does not decay.
            age = 0
        load = stats.load_permille * 0.5 ** (age / LOAD_HALF_LIFE_S)
        in_flight_load = (
            stats.in_flight * IN_FLIGHT_LOAD_PERMILLE / max(member.slots, 1)
        )
        warmup_left = max(1 - (now - stats.first_seen_at) / SLOW_START_S, 0)
        penalty = warmup_left * SLOW_START_PENALTY_PERMILLE
        return max(load, in_flight_load) + penalty

    def _expected_latency_s(
        self, member: Member, kind: str, now: float
    ) -> float:
        """Return how long requests of a kind take, zero if that is unknown.

        While requests are in flight, the time since the last contact counts if
        it is longer.
        """
        stats = self._stats.get(member.node)
        if stats is None or stats.generation != member.generation:
            return 0
        age_s = now - stats.last_contact_at
        latency_s = stats.kind_latency_s.get(kind, 0)
        latency_s *= 0.5 ** (age_s / LATENCY_HALF_LIFE_S)
        return max(latency_s, age_s) if stats.in_flight else latency_s

    def _cost(
        self,
        member: Member,
        now: float,
        *,
        has_large_body: bool = False,
    ) -> float:
        """Return load times latency over the squared success rate.

        A target without statistics costs nothing. While requests are in
        flight, the time since the last contact counts as the latency if it is
        longer, so that a stalled target becomes expensive.
        """
        stats = self._stats.get(member.node)
        if stats is None:
            return 0
        latency_s = (
            stats.large_body_latency_s if has_large_body else stats.latency_s
        )
        if stats.in_flight:
            latency_s = max(latency_s, now - stats.last_contact_at)
        cost = (
            self._estimated_load(member, now) + IDLE_COST_PERMILLE
        ) * latency_s
        success_rate = max(_decayed_success_rate(stats, now), MIN_SUCCESS_RATE)
        return cost / success_rate**2

    def _update_success_rate(
        self,
        stats: TargetStats,
        now: float,
        *,
        is_success: bool,
    ) -> None:
        previous = _decayed_success_rate(stats, now)
        stats.success_rate = previous + SUCCESS_EWMA_WEIGHT * (
            is_success - previous
        )
        stats.success_rate_at = now

    def _stats_for(self, member: Member, now: float) -> TargetStats:
        stats = self._stats.get(member.node)
        if stats is None or stats.generation != member.generation:
            stats = TargetStats(member.generation, first_seen_at=now)
            self._stats[member.node] = stats
        return stats


def _update_latency(previous_s: float, latency_s: float) -> float:
    """Return a moving average with a new value; zero is no average yet."""
    if not previous_s:
        return latency_s
    return previous_s + LATENCY_EWMA_WEIGHT * (latency_s - previous_s)


def _decayed_success_rate(stats: TargetStats, now: float) -> float:
    """Return the success rate, with the weight of failures decaying."""
    remaining = 0.5 ** ((now - stats.success_rate_at) / FAILURE_HALF_LIFE_S)
    return 1 - (1 - stats.success_rate) * remaining


def _not_suspect(node: str) -> bool:
    return False
