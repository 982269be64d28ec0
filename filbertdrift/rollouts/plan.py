"""The driver's decisions: which step a roll-out takes next, and when."""

from dataclasses import dataclass

from filbertdrift.rollouts.filter import TRIAL_PART
from filbertdrift.rollouts.judge import DOUBT, Verdict
from filbertdrift.rollouts.steps import (
    NO_STEP,
    Order,
    Phase,
    Step,
    no_order,
)

# The rate of requests may rise by this much in the shift: callers come in
# waves of up to 1.55 times the mean, which take longer than a shift to rise.
RATE_MARGIN = 1.3
# Part of bad_version_slack that the plan uses; the rest is for requests that
# are counted after the order was read late.
SLACK_PART = 0.5
# Part of the allowed share that the plan uses: counts are some tenths of a
# second old.
SHARE_PART = 0.95
# A longer shift has no use: requests in progress have ended by then.
MAX_SHIFT_S = 6.0
# Responses of the shift are counted and judged for this time at least.
MIN_SHIFT_S = 0.6
# Reports of the shift are this old when they are judged, at most.
REPORT_LAG_S = 0.2
# So many responses of the shift are judged, if they come within MAX_SHIFT_S.
MIN_SHIFT_RESPONSES = 25
# Targets may leave the table and return with a restarted node, so a version
# without targets counts as gone only after this time.
NO_TARGETS_S = 2.0
# The versions on record have lost their targets if none has been there for this
# time: a node that starts again, and the heartbeat of its target, take less.
GONE_S = 10.0
# A version that changes in place, without an order, is used after this time.
# Orders follow the start of targets sooner.
HOLD_S = 30.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits on bad versions, from the settings.

    Args:
        expose_share: Largest share of a service's requests, from the order to
            its deadline, that a bad version gets.
        slack: Requests that it may get beyond that.
        rollback_s: Time from its 50th bad response after which no request
            may be sent to it.
    """

    expose_share: float = 0.1
    slack: float = 50
    rollback_s: float = 5.0


@dataclass(frozen=True, slots=True)
class FleetView:
    """What the driver knows of the fleet.

    Args:
        service: The service.
        established: The versions that serve without an order by what the
            driver sees, None while it may not have seen all targets.
        successors: The same of the versions that have been there for HOLD_S,
            without one that was rolled back.
        new_targets: How many targets the ordered version has.
        silent: Members that have not reported lately.
        behind: Members that have not reported the newest step.
        old_in_progress: Attempts in progress at old targets.
        requests: Requests of all nodes since the trial began.
        exposed: Attempts at the ordered version.
        is_counted_whole: The driver has counted since the trial began.
        rate_per_s: Requests a second.
        shift_responses: Responses of the ordered version since the shift.
        usual_latency_s: How long responses of the old versions take.
        loaded_evidence: The evidence under the load of the shift that the
            version is slow in part, see Judge.loaded_evidence.
        has_lost_trial: The nodes have started again since the trial, so what
            it has shown of the old versions is not known any more.
        verdict: Why the version is bad, None if it is not known to be.
        doubt: The evidence that it is, see judge.DOUBT.
    """

    service: str
    established: tuple[str, ...] | None = None
    successors: tuple[str, ...] = ()
    new_targets: int = 0
    silent: int = 0
    behind: int = 0
    old_in_progress: int = 0
    requests: int = 0
    exposed: int = 0
    is_counted_whole: bool = False
    rate_per_s: float = 0.0
    shift_responses: int = 0
    usual_latency_s: float = 0.0
    loaded_evidence: float | None = None
    has_lost_trial: bool = False
    verdict: Verdict | None = None
    doubt: float = 0.0


@dataclass(frozen=True, slots=True)
class Times:
    """When things happened, on the driver's clock.

    Args:
        now: The time.
        ordered_at: When the order was read first.
        step_at: When the newest step was adopted.
        no_targets_at: Since when the version has no targets, None if it has.
        unserved_at: Since when the versions that serve without the order have
            none, None if they have.
    """

    now: float
    ordered_at: float
    step_at: float
    no_targets_at: float | None = None
    unserved_at: float | None = None


@dataclass(frozen=True, slots=True)
class Decision:
    """The next step of a service.

    Args:
        phase: Its phase.
        order: Its order.
        old_versions: The versions that served before.
        reason: Why it is due.
    """

    phase: Phase
    order: Order
    old_versions: tuple[str, ...]
    reason: str


def decide(
    step: Step | None,
    order: Order | None,
    view: FleetView,
    times: Times,
    bounds: Bounds,
) -> Decision | None:
    """Return the next step, None if none is due.

    Args:
        step: The newest step.
        order: An order that no step answers yet.
        view: What is known of the fleet.
        times: When things happened.
        bounds: Limits on bad versions.
    """
    if step is None:
        return _record_established(order, view)
    if order is not None and order.is_newer(step.order):
        return _decide_order(step, order)
    if step.is_running:
        return _decide_running(step, view, times, bounds)
    return _decide_successors(step, view, times)


def number_after(step: Step | None, decision: Decision, writer: str) -> Step:
    """Return the step that carries out a decision.

    Args:
        step: The newest step, None if there is none.
        decision: The decision.
        writer: The node that writes it.
    """
    newest = step.number if step else NO_STEP
    number = newest + 1
    trial_number = number
    if step is not None and decision.phase != Phase.TRIAL:
        trial_number = step.trial_number
    return Step(
        number=number,
        phase=decision.phase,
        order=decision.order,
        old_versions=decision.old_versions,
        trial_number=trial_number,
        reason=decision.reason,
        writer=writer,
    )


def _window_s(
    view: FleetView, times: Times, step: Step, bounds: Bounds
) -> float:
    elapsed_s = max(times.now - times.ordered_at, 0)
    left_s = max(step.order.duration_s - elapsed_s, 0)
    if not view.rate_per_s:
        return MAX_SHIFT_S
    allowed = bounds.expose_share * SHARE_PART
    projected = view.requests + view.rate_per_s * left_s
    exposed: float = view.exposed
    if not view.is_counted_whole:
        usual = bounds.expose_share * TRIAL_PART * view.rate_per_s * elapsed_s
        exposed = max(exposed, usual)
    budget = projected * allowed + bounds.slack * SLACK_PART - exposed
    window_s = budget / (view.rate_per_s * RATE_MARGIN)
    return max(min(window_s, MAX_SHIFT_S), 0)


def _record_established(
    order: Order | None, view: FleetView
) -> Decision | None:
    """Return the first step of a service, before any order is followed."""
    if view.established is None or not (view.established or order):
        return None
    reason = 'no step is on record'
    return Decision(
        Phase.ESTABLISHED, no_order(view.service), view.established, reason
    )


def _decide_successors(
    step: Step, view: FleetView, times: Times
) -> Decision | None:
    """Return the step by which a version that changed in place is used."""
    if not view.successors or not _has_passed(times.unserved_at, GONE_S, times):
        return None
    reason = 'the versions on record have no targets'
    return Decision(Phase.ESTABLISHED, step.order, view.successors, reason)


def _decide_order(step: Step, order: Order) -> Decision:
    """Return the step that begins to follow a new order."""
    versions = step.versions_after
    if step.is_running:
        if order.target_version != step.order.target_version:
            return _follow(step, Phase.ROLLED_BACK, 'replaced by an order')
        versions = step.old_versions
    old_versions = tuple(
        version for version in versions if version != order.target_version
    )
    return Decision(Phase.TRIAL, order, old_versions, 'ordered')


def _decide_running(
    step: Step, view: FleetView, times: Times, bounds: Bounds
) -> Decision | None:
    if view.verdict is not None:
        return _follow(step, Phase.ROLLED_BACK, view.verdict.reason)
    if step.is_trial:
        return _decide_trial(step, view, times, bounds)
    return _decide_shift(step, view, times)


def _decide_trial(
    step: Step, view: FleetView, times: Times, bounds: Bounds
) -> Decision | None:
    deadline = times.ordered_at + step.order.duration_s
    is_over = times.now >= deadline
    if not view.new_targets:
        if is_over and _has_passed(times.no_targets_at, NO_TARGETS_S, times):
            reason = 'the version has no targets at the deadline'
            return _follow(step, Phase.ROLLED_BACK, reason)
        return None
    is_unserved = _has_passed(times.unserved_at, GONE_S, times)
    if is_unserved or not step.old_versions:
        return _follow(step, Phase.SHIFT, 'no other version serves')
    is_due = times.now >= deadline - _window_s(view, times, step, bounds)
    is_ready = not view.silent and not view.behind and view.doubt < DOUBT
    if is_due and is_ready:
        return _follow(step, Phase.SHIFT, 'not known to be bad')
    return None


def _decide_shift(step: Step, view: FleetView, times: Times) -> Decision | None:
    if not view.new_targets:
        if _has_passed(times.no_targets_at, NO_TARGETS_S, times):
            reason = 'the version lost all its targets'
            return _follow(step, Phase.ROLLED_BACK, reason)
        return None
    if view.has_lost_trial and not times.unserved_at and step.old_versions:
        reason = 'the nodes have started again since the trial'
        return _follow(step, Phase.TRIAL, reason)
    is_seen = _is_shift_seen(step, view, times.now - times.step_at)
    is_quiet = not (view.silent or view.behind or view.old_in_progress)
    if is_seen and is_quiet and view.doubt < DOUBT:
        return _follow(step, Phase.COMPLETED, 'all requests are at the version')
    return None


def _is_shift_seen(step: Step, view: FleetView, shifted_s: float) -> bool:
    """Return whether responses to requests of the full load have been judged.

    The load takes as long as a response to build up.
    """
    if not step.old_versions:
        return shifted_s >= MIN_SHIFT_S
    needed_s = max(MIN_SHIFT_S, 2 * view.usual_latency_s + REPORT_LAG_S)
    has_responses = view.shift_responses >= MIN_SHIFT_RESPONSES
    evidence = view.loaded_evidence
    is_clear = has_responses and (evidence is None or evidence <= -DOUBT)
    return shifted_s >= MAX_SHIFT_S or (is_clear and shifted_s >= needed_s)


def _has_passed(since: float | None, wait_s: float, times: Times) -> bool:
    return since is not None and times.now - since >= wait_s


def _follow(step: Step, phase: Phase, reason: str) -> Decision:
    return Decision(phase, step.order, step.old_versions, reason)
