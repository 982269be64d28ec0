"""Choice of the target at which a request is expected to end soonest."""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from functools import partial
from itertools import accumulate

from filbertdrift.balance.chooser import MIN_SUCCESS_RATE, TargetChooser
from filbertdrift.balance.costmodel import CostModels
from filbertdrift.balance.estimate import RequestFeatures
from filbertdrift.balance.reports import FRESH_S, TargetViews
from filbertdrift.balance.tracking import RequestTracker, TrackedRequest
from filbertdrift.gen import ttypes
from filbertdrift.members import Member

MS_PER_S = 1000
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000
STATUS_SERVER_ERROR = 500
# The choice is on for a service for this long after a report with the fourth
# figure: targets without requests state nothing.
ON_S = 300.0
# Draws for a choice: three candidates in any case, others if their reports are
# fresh. More draws under old reports send all nodes to the same targets.
DRAWS = 8
MIN_CANDIDATES = 3
MAX_CANDIDATES = 4
# Weights of the draws are computed anew after this time; speeds change slowly.
WEIGHTS_AGE_S = 1.0
# A request stays in its domain if it is expected to end within this share of
# the time to its objective; the spread of service times needs the rest.
STAY_SHARE = 0.6
# How much sooner it must end elsewhere: 20 ms, about a round trip between
# domains with its frames, and four times what its bytes take on the usual link.
LEAVE_MARGIN_S = 0.02
BYTES_WEIGHT = 4.0
USUAL_LINK_MBPS = 10.0
SIZE_WEIGHT = 0.1
# A second of waiting counts for this many seconds of running: a queue delays
# the requests behind as well, a slow target that is idle only this one. With 1,
# requests queue at fast targets beside idle slots (trials: 1 closes nothing of
# the distance to the oracle for unequal speeds, 4 closes 0.38, 8 closes 0.30).
WAIT_WEIGHT = 4.0
MAX_ROUTES = 256
# Larger responses say more of the link than of the transit.
MAX_TRANSIT_BYTES = 16_384
# Targets take two and a half times as long for some seconds after their start.
WARMUP_S = 3.0
WARMUP_FACTOR = 1.5

Price = Callable[[Member], float]


@dataclass(frozen=True, slots=True)
class _WeightedGroup:
    """Members to draw from, with cumulative weights."""

    members: Sequence[Member]
    weights: Sequence[float]


@dataclass(frozen=True, slots=True)
class _ServiceGroups:
    """The targets of a service, in the own domain and elsewhere."""

    whole: Sequence[Member]
    near: _WeightedGroup
    far: _WeightedGroup
    local: Member | None
    expires_at: float


class CompletionChooser(TargetChooser):
    """Chooses targets by expected completion where reports allow it.

    Ejection, suspicion, full gates, unreachable domains and statistics are
    those of TargetChooser, whose choice stands where this one is off.

    Args:
        domain: This node's failure domain.
        region: This node's region.
        rng: Samples the candidates.
        local_node: This node, empty if it has no target.
        models: Cost models by service.
        has_accounts: Whether the configuration has client accounts.

    Attributes:
        views: What is known of each target.
        read_local: Returns the present report of the local gate.
    """

    def __init__(
        self,
        domain: str,
        region: str,
        rng: random.Random,
        local_node: str = '',
        models: CostModels | None = None,
        *,
        has_accounts: bool = False,
    ) -> None:
        """Start without reports."""
        super().__init__(domain, region, rng, local_node)
        self.models = models or CostModels()
        self.views = TargetViews()
        self.has_accounts = has_accounts
        self.read_local: Callable[[], ttypes.GateReport | None] = _read_nothing
        self._on_until: dict[str, float] = {}
        self._weighted: dict[str, _ServiceGroups] = {}
        # Moving average of the bytes of responses, by route.
        self._response_bytes: dict[str, float] = {}

    def is_on(self, service: str, now: float) -> bool:
        """Return whether targets of a service are chosen by completion.

        Args:
            service: The service.
            now: The time on the event loop's clock.
        """
        return self.has_accounts or now < self._on_until.get(service, 0)

    def track(
        self,
        service: str,
        features: RequestFeatures,
        objective_at: float,
        *,
        has_large_body: bool = False,
    ) -> RequestTracker:
        """Return what the attempts of a request need.

        Args:
            service: The service of its targets.
            features: What is known of it.
            objective_at: When its objective ends, on the loop's clock.
            has_large_body: Whether it stays in its domain for its body.
        """
        request = TrackedRequest(
            service,
            features,
            self.models.of(service).estimate(features),
            objective_at,
            features.body_bytes,
            has_large_body,
        )
        return RequestTracker(
            request,
            partial(self.choose_for, request),
            partial(self.sent, request),
            partial(self.received, request),
        )

    def choose_for(
        self,
        request: TrackedRequest,
        endpoints: Sequence[Member],
        tried: Collection[str],
        now: float,
    ) -> Member | None:
        """Return the target at which a request is expected to end soonest.

        Args:
            request: The request.
            endpoints: The members that have a target of the service.
            tried: Nodes to exclude.
            now: The time on the event loop's clock.

        Returns:
            A member, or None if no candidate is left.
        """
        kind = request.features.route

        def is_available(member: Member) -> bool:
            return (
                member.node not in tried
                and not self._is_full(member, kind, now)
                and self._is_usable(member, now)
            )

        groups = self._weigh(endpoints, now)
        price = partial(self.expected_s, request, now=now)
        weighted = partial(price, wait_weight=WAIT_WEIGHT)
        near = self._draw(groups.near, is_available, now)
        local = groups.local
        if local is not None and local not in near and is_available(local):
            self._update_local(local, now)
            near.append(local)
        best = min(near, key=weighted, default=None)
        left_s = (request.objective_at - now) * STAY_SHARE
        if best and (request.has_large_body or price(best) <= left_s):
            return best
        far = min(
            self._draw(groups.far, is_available, now),
            key=weighted,
            default=None,
        )
        if far is None:
            # Ejected and unreachable targets are better than none.
            return best or self.choose(endpoints, tried, now, kind=kind)
        if best is None:
            return far
        margin_s = self._leave_margin_s(request)
        return far if price(far) + margin_s < price(best) else best

    def expected_s(
        self,
        request: TrackedRequest,
        member: Member,
        now: float,
        wait_weight: float = 1,
    ) -> float:
        """Return when a request is expected to end at a target, in seconds.

        Args:
            request: The request.
            member: The target's member.
            now: The time on the event loop's clock.
            wait_weight: What a second of waiting counts for.
        """
        view = self.views.find(member)
        cost_s = request.cost.mean_s
        expected_s = 0.0
        if view is None:
            expected_s = cost_s
        else:
            speed = view.current_speed(now)
            slots = max(member.slots, 1)
            expected_s = cost_s / speed
            wait_s = view.expected_wait_s(slots, speed, now)
            expected_s += wait_weight * wait_s
        if not self._is_local(member):
            expected_s += self.views.transit_s(member)
            expected_s += self._transfer_s(request, member)
        stats = self.find_stats(member.node)
        if stats is None or stats.generation != member.generation:
            return expected_s
        age_s = now - stats.first_seen_at
        if age_s < WARMUP_S:
            expected_s += cost_s * WARMUP_FACTOR * (1 - age_s / WARMUP_S)
        if stats.in_flight:
            expected_s = max(expected_s, now - stats.last_contact_at)
        success_rate = max(self.success_rate(member, now), MIN_SUCCESS_RATE)
        return expected_s / success_rate**2

    def sent(self, request: TrackedRequest, member: Member, now: float) -> None:
        """Record that a request was sent to a target.

        Args:
            request: The request.
            member: The target's member.
            now: The time on the event loop's clock.
        """
        self.views.sent(member, request.cost.mean_s, now)

    def received(
        self,
        request: TrackedRequest,
        member: Member,
        message: ttypes.AnswerOpen | ttypes.Refusal,
        latency_s: float,
        now: float,
    ) -> None:
        """Record the report in a response or a refusal, if there is one.

        Args:
            request: The request.
            member: The target's member.
            message: The response or refusal.
            latency_s: Time since the request was sent.
            now: The time on the event loop's clock.
        """
        report = message.gate_report
        if report is None:
            return
        self._switch_on(request.service, report, now)
        self.views.received(member, report, now)
        if isinstance(message, ttypes.AnswerOpen):
            self._learn(request, member, message, latency_s)

    def record_report(
        self,
        service: str,
        member: Member,
        message: ttypes.AnswerOpen | ttypes.Refusal,
        now: float,
    ) -> None:
        """Record a report that came while the choice was off.

        Args:
            service: The service of the target.
            member: The target's member.
            message: The response or refusal.
            now: The time on the event loop's clock.
        """
        if message.gate_report is not None:
            self._switch_on(service, message.gate_report, now)
            self.views.received(member, message.gate_report, now)

    def remove_missing(self, nodes: Collection[str]) -> None:
        """Remove the statistics of members that are gone."""
        super().remove_missing(nodes)
        self.views.remove_missing(nodes)

    def _switch_on(
        self, service: str, report: ttypes.GateReport, now: float
    ) -> None:
        if report.slowdown_percent is not None:
            self._on_until[service] = now + ON_S

    def _learn(
        self,
        request: TrackedRequest,
        member: Member,
        opened: ttypes.AnswerOpen,
        latency_s: float,
    ) -> None:
        report = opened.gate_report
        size_bytes = len(opened.body or b'')
        route = request.features.route
        sizes = self._response_bytes
        if route in sizes or len(sizes) < MAX_ROUTES:
            before = sizes.get(route, size_bytes)
            sizes[route] = before + SIZE_WEIGHT * (size_bytes - before)
        if report.held_ms is None or report.service_ms is None:
            return
        is_small = size_bytes < MAX_TRANSIT_BYTES and not request.has_large_body
        if is_small and not self._is_local(member):
            transit_s = max(latency_s - report.held_ms / MS_PER_S, 0)
            self.views.record_transit(member, transit_s)
        view = self.views.find(member)
        # The gate of the local target has recorded its requests itself.
        is_success = opened.status < STATUS_SERVER_ERROR
        if view and is_success and not self._is_local(member):
            speed = view.speed
            if report.slowdown_percent:
                speed *= 100 / report.slowdown_percent
            self.models.of(request.service).record(
                request.features, report.service_ms / MS_PER_S * speed
            )

    def _weigh(self, endpoints: Sequence[Member], now: float) -> _ServiceGroups:
        """Return the members of a service with the weights of draws."""
        service = endpoints[0].service if endpoints else ''
        groups = self._weighted.get(service)
        if groups and groups.whole is endpoints and now < groups.expires_at:
            return groups
        distant = [
            member for member in endpoints if not self._is_in_domain(member)
        ]
        found = self._group(endpoints)
        groups = _ServiceGroups(
            endpoints,
            self._weigh_group(found.in_domain),
            self._weigh_group(distant),
            found.local,
            now + WEIGHTS_AGE_S,
        )
        self._weighted[service] = groups
        return groups

    def _weigh_group(self, members: Sequence[Member]) -> _WeightedGroup:
        capacities = self.views.list_capacities(members)
        return _WeightedGroup(members, list(accumulate(capacities)))

    def _draw(
        self,
        group: _WeightedGroup,
        is_available: Callable[[Member], bool],
        now: float,
    ) -> list[Member]:
        """Return some available members, drawn with weights by capacity."""
        if not group.members:
            return []
        drawn = self._rng.choices(
            group.members, cum_weights=group.weights, k=DRAWS
        )
        found: list[Member] = []
        for member in drawn:
            is_wanted = len(found) < MIN_CANDIDATES or (
                len(found) < MAX_CANDIDATES and self._is_fresh(member, now)
            )
            if is_wanted and member not in found and is_available(member):
                found.append(member)
        if len(found) >= MIN_CANDIDATES:
            return found
        available = list(filter(is_available, group.members))
        return self._rng.sample(available, min(MIN_CANDIDATES, len(available)))

    def _is_fresh(self, member: Member, now: float) -> bool:
        view = self.views.find(member)
        return view is not None and now - view.reported_at < FRESH_S

    def _update_local(self, local: Member, now: float) -> None:
        """Read the state of the local gate, which needs no message."""
        report = self.read_local()
        if report is not None:
            self.views.received(local, report, now)

    def _transfer_s(self, request: TrackedRequest, member: Member) -> float:
        """Return how long the bytes take on the link of the target's node."""
        size_bytes = self._exchanged_bytes(request)
        mbps = member.link_mbps or USUAL_LINK_MBPS
        return size_bytes * BITS_PER_BYTE / (mbps * BITS_PER_MBIT)

    def _leave_margin_s(self, request: TrackedRequest) -> float:
        """Return by how much a request must end sooner in another domain."""
        size_bytes = self._exchanged_bytes(request)
        bits_per_s = USUAL_LINK_MBPS * BITS_PER_MBIT
        transfer_s = size_bytes * BITS_PER_BYTE / bits_per_s
        return LEAVE_MARGIN_S + BYTES_WEIGHT * transfer_s

    def _exchanged_bytes(self, request: TrackedRequest) -> float:
        response_bytes = self._response_bytes.get(request.features.route, 0)
        return request.request_bytes + response_bytes


def _read_nothing() -> None:
    """Return no report."""
