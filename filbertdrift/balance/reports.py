"""What this node has heard of each target, adjusted for its age."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from filbertdrift.balance.speed import Slowdown
from filbertdrift.gen import ttypes
from filbertdrift.members import Member

MS_PER_S = 1000
PERMILLE = 1000
MIN_SPEED = 0.1
MAX_SPEED = 10.0
# A gate of some slots drains and refills in about this time; of what was
# reported earlier, the usual state of the target is the better estimate.
REPORT_HALF_LIFE_S = 0.5
FRESH_S = 0.25
# The usual wait fades as well, so that a target that was full and gets no
# requests is tried again. Reports of busy targets are a few seconds apart.
USUAL_HALF_LIFE_S = 5.0
# Weight of one report in the usual wait. An ingress hears of a target every
# few seconds, so ten reports are about half a minute.
USUAL_WEIGHT = 0.1
TRANSIT_WEIGHT = 0.1
# Until one is learned; round trips within a domain and between domains.
FIRST_TRANSIT_S = 0.005
# A target that has not reported yet may be as slow as after its start; it is
# drawn as if it were, so that not all nodes send to it at once.
FIRST_SPEED = 0.4
# A request sent since the last report counts for this many times the time it
# was expected to take, at most.
SENT_TIMES = 3.0
MAX_SENT = 64


@dataclass(slots=True)
class _SentRequest:
    """A request sent to a target, not yet covered by a report."""

    sent_at: float
    cost_s: float
    counts_until: float


@dataclass(slots=True)
class TargetView:
    """The newest report of one target, and what was sent there since.

    Args:
        generation: Generation of its node.
        reported_at: When the newest report arrived, on the loop's clock.
        backlog_s: Remaining work over slots and speed.
        free_slots: Free slots, less than zero if requests wait.
        speed: Its speed at a slowdown of 100 percent.
        slowdown: How long work takes there, as it stated.
        usual_wait_s: Moving average of the wait by its reports.
        busy_share: Moving average of the share of reports without a free slot.
    """

    generation: int
    reported_at: float = float('-inf')
    backlog_s: float = 0.0
    free_slots: int = 0
    speed: float = 1.0
    slowdown: Slowdown | None = None
    usual_wait_s: float = 0.0
    busy_share: float = 0.0
    sent: list[_SentRequest] = field(default_factory=list)

    def current_speed(self, now: float) -> float:
        """Return the speed at present."""
        if self.slowdown is None:
            return self.speed
        return self.speed / self.slowdown.factor(now)

    def record(self, report: ttypes.GateReport, slots: int, now: float) -> None:
        """Record a report that arrived now."""
        self.reported_at = now
        self.backlog_s = (report.backlog_ms or 0) / MS_PER_S
        self.free_slots = report.free_slots or 0
        speed = (report.speed_permille or PERMILLE) / PERMILLE
        self.speed = min(max(speed, MIN_SPEED), MAX_SPEED)
        if report.slowdown_percent:
            age_s = (report.slowdown_age_ms or 0) / MS_PER_S
            self.slowdown = Slowdown(report.slowdown_percent, now - age_s)
        wait_s = _wait_s(self.backlog_s, slots - self.free_slots, slots)
        self.usual_wait_s += USUAL_WEIGHT * (wait_s - self.usual_wait_s)
        is_busy = self.free_slots <= 0
        self.busy_share += USUAL_WEIGHT * (is_busy - self.busy_share)

    def expected_wait_s(self, slots: int, speed: float, now: float) -> float:
        """Return how long a request sent now is expected to wait.

        Args:
            slots: Slots of the target.
            speed: Its speed at present.
            now: The time on the event loop's clock.
        """
        sent = [one for one in self.sent if now < one.counts_until]
        self.sent = sent
        sent_s = sum(one.cost_s for one in sent) / (slots * speed)
        age_s = now - self.reported_at
        usual_s = self.usual_wait_s * 0.5 ** (age_s / USUAL_HALF_LIFE_S)
        usual_s += max(
            self.busy_share * sent_s, _wait_s(sent_s, len(sent), slots)
        )
        # Zero before the first report, which is infinitely old.
        fresh = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        held = slots - self.free_slots + len(sent)
        wait_s = _wait_s(self.backlog_s + sent_s, held, slots)
        return usual_s + fresh * (wait_s - usual_s)


class TargetViews:
    """The views of all targets, and the transit to their nodes."""

    def __init__(self) -> None:
        """Start without reports."""
        self._views: dict[str, TargetView] = {}
        self._node_transit_s: dict[str, float] = {}
        self._domain_transit_s: dict[str, float] = {}

    def find(self, member: Member) -> TargetView | None:
        """Return the view of a target, None before its first report."""
        view = self._views.get(member.node)
        if view is None or view.generation != member.generation:
            return None
        return view

    def sent(self, member: Member, cost_s: float, now: float) -> None:
        """Record that a request was sent to a target.

        Args:
            member: The target's member.
            cost_s: What the request is expected to cost.
            now: The time on the event loop's clock.
        """
        view = self._get(member)
        if len(view.sent) >= MAX_SENT:
            view.sent.pop(0)
        lasts_s = cost_s / view.current_speed(now) + view.usual_wait_s
        counts_until = now + lasts_s * SENT_TIMES
        view.sent.append(_SentRequest(now, cost_s, counts_until))

    def received(
        self, member: Member, report: ttypes.GateReport, now: float
    ) -> None:
        """Record a report of a target's gate.

        Args:
            member: The target's member.
            report: The report.
            now: The time on the event loop's clock.
        """
        view = self._get(member)
        view.record(report, max(member.slots, 1), now)
        # What was sent earlier had arrived when the report was made.
        made_at = now - self.transit_s(member)
        view.sent = [one for one in view.sent if one.sent_at > made_at]

    def record_transit(self, member: Member, transit_s: float) -> None:
        """Record a round trip without the time at the gate.

        Args:
            member: The member that was reached.
            transit_s: How long request and response took on their way.
        """
        for table, key in (
            (self._node_transit_s, member.node),
            (self._domain_transit_s, member.domain),
        ):
            before_s = table.get(key, transit_s)
            step_s = TRANSIT_WEIGHT * (transit_s - before_s)
            table[key] = before_s + step_s

    def transit_s(self, member: Member) -> float:
        """Return the expected round trip to a node."""
        known_s = self._node_transit_s.get(member.node)
        if known_s is not None:
            return known_s
        return self._domain_transit_s.get(member.domain, FIRST_TRANSIT_S)

    def list_capacities(self, members: Iterable[Member]) -> list[float]:
        """Return slots times speed of some targets.

        Args:
            members: Their members.
        """
        capacities = []
        for member in members:
            view = self.find(member)
            speed = view.speed if view else FIRST_SPEED
            capacities.append(max(member.slots, 1) * speed)
        return capacities

    def remove_missing(self, nodes: Collection[str]) -> None:
        """Remove what is known of members that are gone."""
        for table in (self._views, self._node_transit_s):
            for node in list(table):
                if node not in nodes:
                    table.pop(node)

    def _get(self, member: Member) -> TargetView:
        view = self.find(member)
        if view is None:
            view = TargetView(member.generation)
            self._views[member.node] = view
        return view


def _wait_s(backlog_s: float, held: int, slots: int) -> float:
    """Return the wait of a new request, as in an M/M/c queue.

    Args:
        backlog_s: Remaining work over slots and speed.
        held: Requests at the gate.
        slots: Slots of the target.
    """
    if held < slots:
        return 0
    return backlog_s * (held + 1 - slots) / held
