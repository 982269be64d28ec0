"""Counts of responses by version and route, at an ingress and at the driver."""

import math
from collections import deque
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field

from filbertdrift.gen import ttypes
from filbertdrift.members import Member
from filbertdrift.rollouts.state import ServiceState

# Latency buckets: the first ends at LOWEST_S, each next one is sqrt(2) wider.
# The last one, from 8 s on, is longer than callers wait.
LOWEST_S = 0.008
BUCKETS_PER_OCTAVE = 2
BUCKETS = 22
# Routes of one service that are counted; the others share one entry.
MAX_ROUTES = 60
# Versions in the metrics: those of some roll-outs of each service.
MAX_VERSIONS = 100
OTHER_ROUTES = '(other)'
# Time over which the driver takes the rate of requests: waves last longer.
RATE_WINDOW_S = 3.0


@dataclass(slots=True)
class Outcomes:
    """Responses of one version on one route.

    Args:
        failures: Responses that are failures.
        latencies: Responses from targets in the failure domain of the ingress
            by latency bucket, failures included.
        far: Responses from other domains. Their transit takes longer, and a
            trial may have no target in some domains, so their latency would
            not compare.
    """

    failures: int = 0
    latencies: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    far: int = 0

    @property
    def near(self) -> int:
        """Return the number of responses whose latency counts."""
        return sum(self.latencies)

    @property
    def total(self) -> int:
        """Return the number of responses."""
        return self.near + self.far

    def add(self, other: 'Outcomes') -> None:
        """Add other counts to these."""
        self.failures += other.failures
        self.far += other.far
        for bucket, count in enumerate(other.latencies):
            self.latencies[bucket] += count

    def minus(self, earlier: 'Outcomes') -> 'Outcomes':
        """Return what was counted since an earlier state."""
        return Outcomes(
            max(self.failures - earlier.failures, 0),
            [
                max(count - before, 0)
                for count, before in zip(
                    self.latencies, earlier.latencies, strict=True
                )
            ],
            max(self.far - earlier.far, 0),
        )


@dataclass(slots=True)
class RouteCounts:
    """Responses of both versions on one route.

    Args:
        old: Those of the old version.
        new: Those of the new one.
        waiting: Attempts at targets of the new version in the failure domain
            of the ingress that have no response yet, by bucket of their age.
    """

    old: Outcomes = field(default_factory=Outcomes)
    new: Outcomes = field(default_factory=Outcomes)
    waiting: Sequence[int] = ()


@dataclass(frozen=True, slots=True, eq=False)
class WaitingAttempt:
    """An attempt at a target that has not responded yet.

    Args:
        service: The service.
        version: The version of the target.
        route: The name of the request's route.
        since: When it began, on the loop's clock.
    """

    service: str
    version: str
    route: str
    since: float


class OutcomeCounter:
    """Counts the attempts of this node by service, version and route.

    Args:
        domain: The failure domain of this node.
        find_state: Returns the state of a service, None if it has none.

    Attributes:
        responses: Responses during roll-outs by service and version, for
            metrics.
        failures: Those of them that are failures.
    """

    def __init__(
        self,
        domain: str,
        find_state: Callable[[str], ServiceState | None],
    ) -> None:
        """Start without counts."""
        self.responses: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self._domain = domain
        self._find_state = find_state
        self._routes: dict[str, dict[str, RouteCounts]] = {}
        self._trial_numbers: dict[str, int] = {}
        self._waiting: set[WaitingAttempt] = set()

    def began(
        self, member: Member, route: str = OTHER_ROUTES, now: float = 0
    ) -> WaitingAttempt:
        """Record that an attempt at a target begins.

        Args:
            member: The target's node.
            route: The name of the request's route.
            now: The time on the loop's clock.

        Returns:
            The attempt, for stop_waiting.
        """
        waiting = WaitingAttempt(
            member.service, member.target_version, route, now
        )
        if member.domain == self._domain:
            self._waiting.add(waiting)
        self._count_begin(member)
        return waiting

    def stop_waiting(self, waiting: WaitingAttempt) -> None:
        """Record that an attempt has got its response or has ended."""
        self._waiting.discard(waiting)

    def find_waiting(self, service: str, now: float) -> dict[str, list[int]]:
        """Return the attempts at the new version that wait for a response.

        Args:
            service: The service.
            now: The time on the loop's clock.

        Returns:
            Their numbers by route and bucket of their age.
        """
        state = self._find_state(service)
        if state is None or state.step is None or not state.step.is_running:
            return {}
        found: dict[str, list[int]] = {}
        target = state.step.order.target_version
        routes = self.routes(service)
        for waiting in self._waiting:
            if (waiting.service, waiting.version) == (service, target):
                route = _limit_routes(routes, waiting.route)
                ages = found.setdefault(route, [0] * BUCKETS)
                ages[bucket_of(now - waiting.since)] += 1
        return found

    def _count_begin(self, member: Member) -> None:
        state = self._find_state(member.service)
        if state is None:
            return
        version = member.target_version
        state.in_progress[version] = state.in_progress.get(version, 0) + 1
        step = state.step
        if step and step.is_running and version == step.order.target_version:
            state.exposed += 1
            state.credit -= 1

    def ended(self, member: Member) -> None:
        """Record that an attempt at a target has ended."""
        state = self._find_state(member.service)
        if state is None:
            return
        version = member.target_version
        left = state.in_progress.get(version, 0) - 1
        if left > 0:
            state.in_progress[version] = left
        else:
            state.in_progress.pop(version, None)

    def record(
        self, member: Member, route: str, *, is_failure: bool, latency_s: float
    ) -> None:
        """Record the response of a target.

        Args:
            member: The target's node.
            route: The name of the request's route.
            is_failure: The target failed to serve the request.
            latency_s: Time from the begin of the attempt to the response.
        """
        state = self._find_state(member.service)
        if state is None or state.step is None or not state.step.is_running:
            return
        counts = self._counts_of(member.service, route)
        is_new = member.target_version == state.step.order.target_version
        outcomes = counts.new if is_new else counts.old
        outcomes.failures += is_failure
        if member.domain == self._domain:
            outcomes.latencies[bucket_of(latency_s)] += 1
        else:
            outcomes.far += 1
        name = f'{member.service}:{member.target_version}'
        if name in self.responses or len(self.responses) < MAX_VERSIONS:
            self.responses[name] = self.responses.get(name, 0) + 1
            self.failures[name] = self.failures.get(name, 0) + is_failure

    def _counts_of(self, service: str, route: str) -> RouteCounts:
        routes = self.routes(service)
        name = _limit_routes(routes, route)
        return routes.setdefault(name, RouteCounts())

    def routes(self, service: str) -> dict[str, RouteCounts]:
        """Return the counts of a service since its trial began."""
        state = self._find_state(service)
        number = state.step.trial_number if state and state.step else 0
        if self._trial_numbers.get(service) != number:
            self._trial_numbers[service] = number
            self._routes[service] = {}
        return self._routes.setdefault(service, {})


def _limit_routes(routes: Collection[str], route: str) -> str:
    """Return the name under which a route of a service is counted."""
    is_room = route in routes or len(routes) < MAX_ROUTES
    return route if is_room else OTHER_ROUTES


def bucket_of(latency_s: float) -> int:
    """Return the bucket of a latency."""
    if latency_s <= LOWEST_S:
        return 0
    octaves = math.log2(latency_s / LOWEST_S)
    return min(1 + int(octaves * BUCKETS_PER_OCTAVE), BUCKETS - 1)


def bucket_end_s(bucket: int) -> float:
    """Return the highest latency of a bucket."""
    return float(LOWEST_S * 2 ** (bucket / BUCKETS_PER_OCTAVE))


def to_message(
    route: str, counts: RouteCounts, waiting: Sequence[int] = ()
) -> ttypes.RouteOutcomes:
    """Convert the counts of a route to their message.

    Args:
        route: The name of the route.
        counts: Its responses.
        waiting: Attempts without a response, by bucket of their age.
    """
    return ttypes.RouteOutcomes(
        route_name=route,
        old_failures=counts.old.failures,
        new_failures=counts.new.failures,
        old_latencies=_trim(counts.old.latencies),
        new_latencies=_trim(counts.new.latencies),
        old_far=counts.old.far,
        new_far=counts.new.far,
        new_waiting=_trim(waiting) or None,
    )


def from_message(message: ttypes.RouteOutcomes) -> RouteCounts:
    """Convert a message to the counts of a route."""
    return RouteCounts(
        Outcomes(
            message.old_failures or 0,
            _pad(message.old_latencies),
            message.old_far or 0,
        ),
        Outcomes(
            message.new_failures or 0,
            _pad(message.new_latencies),
            message.new_far or 0,
        ),
        _pad(message.new_waiting),
    )


def _trim(latencies: Sequence[int]) -> list[int]:
    """Return buckets without the empty ones at the end."""
    length = len(latencies)
    while length and not latencies[length - 1]:
        length -= 1
    return list(latencies[:length])


def _pad(latencies: Iterable[int] | None) -> list[int]:
    found = list(latencies or ())[:BUCKETS]
    return found + [0] * (BUCKETS - len(found))


@dataclass(slots=True)
class NodeReport:
    """The newest report of one start of a node.

    Args:
        sequence: Its number.
        received_at: When it arrived.
        step_number: The newest step that the node had.
        requests: Its requests since the trial began.
        exposed: Its attempts at the new version.
        old_in_progress: Its attempts in progress at old targets.
        routes: Its counts, by route.
    """

    sequence: int
    received_at: float
    step_number: int
    requests: int = 0
    exposed: int = 0
    old_in_progress: int = 0
    routes: dict[str, RouteCounts] = field(default_factory=dict)


class FleetCounts:
    """Sums of the reports of all nodes, at the driver.

    A report that is repeated or late changes nothing: counts are cumulative,
    and only a higher sequence number of a generation is taken.

    Attributes:
        requests: Requests of all nodes since the trial began.
        exposed: Their attempts at the new version.
        reports: The newest report by node and generation.
        started_at: When the driver began to count.
    """

    def __init__(self, trial_number: int, started_at: float) -> None:
        """Start without reports.

        Args:
            trial_number: The step whose counts are taken.
            started_at: When the driver began to count.
        """
        self.trial_number = trial_number
        self.requests = 0
        self.exposed = 0
        self.reports: dict[tuple[str, int], NodeReport] = {}
        self._fresh: dict[str, RouteCounts] = {}
        self._requests_at: deque[tuple[float, int]] = deque()
        self.started_at = started_at

    def record(
        self, node: str, generation: int, report: NodeReport, trial_number: int
    ) -> bool:
        """Add the newest report of a node.

        Args:
            node: The node.
            generation: Its generation.
            report: The report. Routes that it leaves out have not changed.
            trial_number: The step since which it counts.

        Returns:
            False if it is repeated or late.
        """
        key = (node, generation)
        known = self.reports.get(key)
        if known is not None and report.sequence <= known.sequence:
            return False
        if trial_number != self.trial_number:
            # Counts of another trial, but a sign of the node and its step.
            report.requests = 0
            report.exposed = 0
            report.routes = {}
        if known is not None:
            report.routes = {**known.routes, **report.routes}
        before = known or NodeReport(0, 0, 0)
        self.requests += max(report.requests - before.requests, 0)
        self.exposed += max(report.exposed - before.exposed, 0)
        for route, counts in report.routes.items():
            earlier = before.routes.get(route)
            if earlier is not counts:
                self._add_fresh(route, counts, earlier or RouteCounts())
        self.reports[key] = report
        return True

    def take_fresh(self) -> dict[str, RouteCounts]:
        """Return the counts that have arrived since the last call."""
        fresh = self._fresh
        self._fresh = {}
        return fresh

    def find_waiting(self, since: float) -> dict[str, list[int]]:
        """Return the attempts that wait for a response of the new version.

        Args:
            since: Reports that arrived earlier do not count.

        Returns:
            Their numbers by route and bucket of their age.
        """
        found: dict[str, list[int]] = {}
        for report in self.reports.values():
            if report.received_at < since:
                continue
            for route, counts in report.routes.items():
                ages = found.setdefault(route, [0] * BUCKETS)
                for bucket, count in enumerate(counts.waiting):
                    ages[bucket] += count
        return found

    def rate_per_s(self, now: float, ordered_at: float) -> float:
        """Return the requests a second, of late or on average if higher.

        Args:
            now: The time on the loop's clock.
            ordered_at: When the order was read, soon before the trial began.
        """
        window = self._requests_at
        if self.reports:
            window.append((now, self.requests))
        while window and now - window[0][0] > RATE_WINDOW_S:
            window.popleft()
        since, before = window[0] if window else (now, self.requests)
        recent = (self.requests - before) / max(now - since, 1)
        mean = self.requests / max(now - ordered_at, 1)
        return max(recent, mean)

    def _add_fresh(
        self, route: str, counts: RouteCounts, earlier: RouteCounts
    ) -> None:
        fresh = self._fresh.setdefault(route, RouteCounts())
        fresh.old.add(counts.old.minus(earlier.old))
        fresh.new.add(counts.new.minus(earlier.new))
