"""Choice of a target by what this node has seen of each.

Observed outcomes and the load carried back on answers decide; announced
health does not. Targets of the own failure domain come first, and others
before the own domain would queue. Of two random candidates the less loaded
one is taken, so that callers do not herd onto the least loaded target.
"""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from filbertdrift.members import Member

SPILL_PERMILLE = 800
LOAD_HALF_LIFE_S = 0.5
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 30.0
FAILURES_TO_EJECT = 3
SLOW_START_S = 5.0
SLOW_START_PENALTY_PERMILLE = 300
OWN_REQUEST_PERMILLE = 1000
LATENCY_WEIGHT = 0.2
GOOD_SHARE_WEIGHT = 0.1
# Below that share of good answers a target costs no more.
MIN_GOOD_SHARE = 0.1
# Bad answers are forgotten, so that a target which gets no work comes back.
BAD_HALF_LIFE_S = 2.0
# The local target counts with that part of its cost while it has free slots.
OWN_COST_SHARE = 0.5
# A gate that was full for a kind of request is not asked again for so long;
# its queue has moved on by some requests then.
FULL_S = 0.04
IDLE_COST_PERMILLE = 200
FULL_PERMILLE = 1000


@dataclass(slots=True)
class Observed:
    """What this node has seen of one target."""

    generation: int
    first_seen_at: float
    in_flight: int = 0
    heard_at: float = 0.0
    load_permille: int = 0
    load_at: float = 0.0
    latency_s: float = 0.0
    bulk_latency_s: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    good_share: float = 1.0
    judged_at: float = 0.0


class TargetChooser:
    """Chooses targets for the requests that enter at this node.

    Args:
        domain: This node's failure domain.
        region: This node's region.
        rng: Draws the candidates.
        own: This node, if its own target is to be preferred: the way to it
            takes neither a hop nor bytes of the instance's link.
    """

    def __init__(
        self,
        domain: str,
        region: str,
        rng: random.Random,
        own: str = '',
    ) -> None:
        """Start without observations."""
        self._own = own
        self._domain = domain
        self._region = region
        self._rng = rng
        self._observed: dict[str, Observed] = {}
        self._full_until: dict[tuple[str, str], float] = {}
        self.unreachable_domains: set[str] = set()
        self.is_suspect: Callable[[str], bool] = _never_suspect

    def choose(
        self,
        endpoints: Sequence[Member],
        tried: Collection[str],
        now: float,
        spill_permille: int = SPILL_PERMILLE,
        kind: str = '',
        *,
        is_bulk: bool = False,
    ) -> Member | None:
        """Return the target for a request.

        Args:
            endpoints: The members that have a target of the service.
            tried: Nodes that this request has tried already.
            now: The time on the event loop's clock.
            spill_permille: Load of the near targets from which on others get
                the request as well.
            kind: Gates that were full for this kind just now are left out.
            is_bulk: Its body is large, so what large bodies took counts.

        Returns:
            A member, or None if there is nothing left to try.
        """
        for near in (self._is_local, self._is_in_region):
            group = [found for found in endpoints if near(found)]
            open_group = self._open(group, tried, kind, now)
            best = self._better_of_two(open_group, now, is_bulk=is_bulk)
            if best and self._score(best, now) < spill_permille:
                return best
        candidates = self._open(endpoints, tried, kind, now)
        if not candidates:
            # Targets that look unusable are better than none.
            candidates = [
                found
                for found in endpoints
                if found.node not in tried
                and not self._is_full(found, kind, now)
            ]
        return self._better_of_two(candidates, now, is_bulk=is_bulk)

    def _open(
        self,
        group: Sequence[Member],
        tried: Collection[str],
        kind: str,
        now: float,
    ) -> Sequence[Member]:
        """Return the members that are usable, not full and not yet tried."""
        return [
            found
            for found in group
            if found.node not in tried
            and not self._is_full(found, kind, now)
            and self._is_usable(found, now)
        ]

    def began(self, member: Member, now: float) -> None:
        """Note that a request was sent to a target."""
        seen = self._seen(member, now)
        if not seen.in_flight:
            seen.heard_at = now
        seen.in_flight += 1

    def ended(self, member: Member, now: float) -> None:
        """Note that a request to a target is over."""
        seen = self._seen(member, now)
        seen.in_flight = max(seen.in_flight - 1, 0)

    def answered(
        self,
        member: Member,
        load_permille: int,
        latency_s: float,
        now: float,
        *,
        is_bulk: bool = False,
    ) -> None:
        """Note an answer and the load it carried.

        Args:
            member: The target's member.
            load_permille: The load of its gate.
            latency_s: Time from sending the request to the answer.
            now: The time on the event loop's clock.
            is_bulk: The request's body was large.
        """
        seen = self._seen(member, now)
        seen.load_permille = load_permille
        seen.load_at = now
        seen.heard_at = now
        self._judge(seen, now, is_good=True)
        seen.failures = 0
        seen.ejections = 0
        seen.ejected_until = 0
        if is_bulk:
            known = seen.bulk_latency_s or latency_s
            seen.bulk_latency_s = known + LATENCY_WEIGHT * (latency_s - known)
            return
        known = seen.latency_s or latency_s
        seen.latency_s = known + LATENCY_WEIGHT * (latency_s - known)

    def answered_badly(self, member: Member, now: float) -> None:
        """Note an answer that says that the target failed.

        Its latency is left out: failing is often faster than working.
        """
        seen = self._seen(member, now)
        seen.heard_at = now
        self._judge(seen, now, is_good=False)

    def refused(
        self,
        member: Member,
        load_permille: int,
        now: float,
        kind: str = '',
    ) -> None:
        """Note that a request was refused.

        A gate with a free slot refuses only because its target is broken.

        Args:
            member: The target's member.
            load_permille: The load of its gate.
            now: The time on the event loop's clock.
            kind: The kind of request, if the gate tells kinds apart.
        """
        if load_permille < FULL_PERMILLE:
            self.failed(member, now, unreachable=True)
            return
        self.note_load(member, load_permille, now)
        if kind:
            self._full_until[member.node, kind] = now + FULL_S

    def note_load(
        self,
        member: Member,
        load_permille: int,
        now: float,
    ) -> None:
        """Note the load that a gate told.

        Args:
            member: The target's member.
            load_permille: The load of its gate.
            now: The time on the event loop's clock.
        """
        seen = self._seen(member, now)
        seen.load_permille = load_permille
        seen.load_at = now

    def is_near(self, member: Member) -> bool:
        """Tell whether a target is in this node's failure domain."""
        return self._is_local(member)

    def seems_free(self, member: Member, now: float) -> bool:
        """Tell whether a target is believed to have a free slot.

        Args:
            member: The target's member.
            now: The time on the event loop's clock.
        """
        return self._score(member, now) < FULL_PERMILLE

    def failed(self, member: Member, now: float, *, unreachable: bool) -> None:
        """Note a failure.

        Args:
            member: The target's member.
            now: The time on the event loop's clock.
            unreachable: The node itself did not answer.
        """
        seen = self._seen(member, now)
        self._judge(seen, now, is_good=False)
        seen.failures += 1
        if unreachable or seen.failures >= FAILURES_TO_EJECT:
            span_s = FIRST_EJECTION_S * 2**seen.ejections
            jitter = 0.5 + self._rng.random()
            seen.ejections += 1
            seen.ejected_until = now + min(span_s, MAX_EJECTION_S) * jitter
            seen.failures = 0

    def forget_missing(self, known: Collection[str]) -> None:
        """Drop observations of members that are gone."""
        for node in list(self._observed):
            if node not in known:
                self._observed.pop(node)
        for node, kind in list(self._full_until):
            if node not in known:
                self._full_until.pop((node, kind))

    def observed(self, node: str) -> Observed | None:
        """Return what was seen of a target."""
        return self._observed.get(node)

    def _is_usable(self, member: Member, now: float) -> bool:
        if member.domain in self.unreachable_domains:
            return False
        if self.is_suspect(member.node):
            return False
        seen = self._observed.get(member.node)
        if seen is None or seen.generation != member.generation:
            return True
        return now >= seen.ejected_until

    def _is_full(self, member: Member, kind: str, now: float) -> bool:
        return now < self._full_until.get((member.node, kind), 0)

    def _is_local(self, member: Member) -> bool:
        return member.domain == self._domain

    def _is_in_region(self, member: Member) -> bool:
        return member.region == self._region

    def _better_of_two(
        self,
        group: Sequence[Member],
        now: float,
        *,
        is_bulk: bool,
    ) -> Member | None:
        if not group:
            return None
        if len(group) == 1:
            return group[0]
        pair = self._rng.sample(group, 2)

        def cost(member: Member) -> float:
            return self._cost(member, now, is_bulk=is_bulk)

        best = min(pair, key=cost)
        if not self._own or best.node == self._own:
            return best
        for member in group:
            is_own = member.node == self._own
            has_room = is_own and self._score(member, now) < FULL_PERMILLE
            if has_room and cost(member) * OWN_COST_SHARE <= cost(best):
                return member
        return best

    def _score(self, member: Member, now: float) -> float:
        seen = self._observed.get(member.node)
        if seen is None or seen.generation != member.generation:
            return SLOW_START_PENALTY_PERMILLE
        age = now - seen.load_at
        load = seen.load_permille * 0.5 ** (age / LOAD_HALF_LIFE_S)
        own = seen.in_flight * OWN_REQUEST_PERMILLE / max(member.slots, 1)
        cold = max(1 - (now - seen.first_seen_at) / SLOW_START_S, 0)
        penalty = cold * SLOW_START_PENALTY_PERMILLE
        return max(load, own) + penalty

    def _cost(
        self,
        member: Member,
        now: float,
        *,
        is_bulk: bool = False,
    ) -> float:
        """Return the load times the latency seen; unseen targets are cheap.

        A target that keeps requests waiting longer than it used to counts
        with that longer time.
        """
        seen = self._observed.get(member.node)
        if seen is None:
            return 0
        latency_s = seen.bulk_latency_s if is_bulk else seen.latency_s
        if seen.in_flight:
            latency_s = max(latency_s, now - seen.heard_at)
        cost = (self._score(member, now) + IDLE_COST_PERMILLE) * latency_s
        good_share = max(_good_share(seen, now), MIN_GOOD_SHARE)
        return cost / good_share**2

    def _judge(self, seen: Observed, now: float, *, is_good: bool) -> None:
        known = _good_share(seen, now)
        seen.good_share = known + GOOD_SHARE_WEIGHT * (is_good - known)
        seen.judged_at = now

    def _seen(self, member: Member, now: float) -> Observed:
        seen = self._observed.get(member.node)
        if seen is None or seen.generation != member.generation:
            seen = Observed(member.generation, first_seen_at=now)
            self._observed[member.node] = seen
        return seen


def _good_share(seen: Observed, now: float) -> float:
    """Return the share of good answers, with bad ones fading."""
    kept = 0.5 ** ((now - seen.judged_at) / BAD_HALF_LIFE_S)
    return 1 - (1 - seen.good_share) * kept


def _never_suspect(node: str) -> bool:
    return False
