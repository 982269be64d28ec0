"""Reports of an ingress to the driver of a roll-out, and their replies."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from filbertdrift.gen import ttypes
from filbertdrift.rollouts.counts import (
    NodeReport,
    OutcomeCounter,
    RouteCounts,
    from_message,
    to_message,
)
from filbertdrift.rollouts.filter import VersionFilter
from filbertdrift.rollouts.state import LONG_AGO, ServiceState
from filbertdrift.rollouts.steps import MS_PER_S, NO_STEP, Phase
from filbertdrift.wire import MAX_DATAGRAM_BYTES, encode

# A verdict has to be reached, and permissions to expire, within rollback_s.
REPORT_INTERVAL_S = 0.4
# In the shift, which lasts a second or two, each report may be the last one
# that the end of the roll-out waits for.
SHIFT_REPORT_INTERVAL_S = 0.1
# Reports of all nodes together that one driver receives, at most.
MAX_REPORTS_PER_S = 800.0
# Without a roll-out, nodes that see several versions ask the driver this often.
IDLE_REPORT_INTERVAL_S = 1.0
# What a datagram takes beside the routes' counts.
REPORT_OVERHEAD_BYTES = 200
MAX_ROUTE_BYTES = MAX_DATAGRAM_BYTES - REPORT_OVERHEAD_BYTES
# Generations are times in ms, and numbers have 63 bits.
REPORTS_PER_GENERATION = 0x100000
# Reports whose replies are awaited; older ones permit nothing.
MAX_SENT_REPORTS = 64
UNKNOWN_AGE_MS = -1


@dataclass(slots=True)
class RolloutCounters:
    """Messages of roll-outs at this node, and steps adopted."""

    reports_sent: int = 0
    reports_received: int = 0
    reports_ignored: int = 0
    steps_adopted: int = 0
    orders_read: int = 0
    drives: int = 0
    malformed: int = 0


class _SentReport(NamedTuple):
    service: str
    sent_at: float


class Reporter:
    """Builds the reports of a node and takes the replies to them.

    Args:
        versions: What is known of each service.
        outcomes: The counts of this node.
        member_count: Returns how many nodes report.
        generation: This node's generation. Its reports are numbered from it
            on, as replies to those of an earlier process may still arrive.
    """

    def __init__(
        self,
        versions: VersionFilter,
        outcomes: OutcomeCounter,
        member_count: Callable[[], int],
        generation: int,
    ) -> None:
        """Start without reports."""
        self._versions = versions
        self._outcomes = outcomes
        self._member_count = member_count
        self._sequence = generation * REPORTS_PER_GENERATION
        self._sent: dict[int, _SentReport] = {}
        self._due_at: dict[str, float] = {}
        # Services whose last report had requests at old targets in a shift.
        self._busy: set[str] = set()

    def expedite(self, service: str) -> None:
        """Let the next report of a service be due at once."""
        self._due_at.pop(service, None)

    def take_due(
        self, service: str, now: float
    ) -> Sequence[ttypes.RolloutReport]:
        """Return the reports of a service that are due.

        Args:
            service: The service.
            now: The time on the loop's clock.
        """
        state = self._versions.state(service)
        in_progress = state.old_in_progress()
        # The end of a roll-out waits for the last request at old targets.
        is_emptied = not in_progress and service in self._busy
        if now < self._due_at.get(service, LONG_AGO) and not is_emptied:
            return ()
        self._busy.discard(service)
        if in_progress and state.step and state.step.phase == Phase.SHIFT:
            self._busy.add(service)
        self._due_at[service] = now + self._interval_s(service)
        reports = list(self._build(service, state, now))
        for report in reports:
            self._sent[report.sequence] = _SentReport(service, now)
        while len(self._sent) > MAX_SENT_REPORTS:
            self._sent.pop(next(iter(self._sent)))
        return reports

    def on_reply(self, service: str, notice: ttypes.RolloutNotice) -> None:
        """Take the reply to a report.

        The permission counts from when the report was sent, so that neither
        transit nor the driver's clock matter.

        Args:
            service: The service.
            notice: The reply.
        """
        sent = self._sent.get(notice.sequence)
        if sent is None or sent.service != service:
            return
        state = self._versions.state(service)
        if notice.step is None:
            answered_at = self._versions.answered_at.get(service, LONG_AGO)
            self._versions.answered_at[service] = max(answered_at, sent.sent_at)
        elif notice.step.number == state.number:
            is_permitted = bool(notice.is_permitted)
            state.record_reply(sent.sent_at, is_permitted=is_permitted)

    def _interval_s(self, service: str) -> float:
        step = self._versions.state(service).step
        is_running = step is not None and step.is_running
        is_shifting = is_running and step is not None and not step.is_trial
        interval_s = max(
            SHIFT_REPORT_INTERVAL_S if is_shifting else REPORT_INTERVAL_S,
            self._member_count() / MAX_REPORTS_PER_S,
        )
        is_known = step is not None or service in self._versions.answered_at
        if is_running or not is_known:
            return interval_s
        return max(IDLE_REPORT_INTERVAL_S, interval_s)

    def _build(
        self, service: str, state: ServiceState, now: float
    ) -> Iterator[ttypes.RolloutReport]:
        """Yield reports of at most the size of a datagram."""
        routes: list[ttypes.RouteOutcomes] = []
        size_bytes = 0
        waiting = self._outcomes.find_waiting(service, now)
        counted = self._outcomes.routes(service)
        for route in sorted({*counted, *waiting}):
            counts = counted.get(route) or RouteCounts()
            message = to_message(route, counts, waiting.get(route, ()))
            message_bytes = len(encode(message))
            if routes and size_bytes + message_bytes > MAX_ROUTE_BYTES:
                yield self._build_one(service, state, routes, now)
                routes = []
                size_bytes = 0
            routes.append(message)
            size_bytes += message_bytes
        yield self._build_one(service, state, routes, now)

    def _build_one(
        self,
        service: str,
        state: ServiceState,
        routes: Sequence[ttypes.RouteOutcomes],
        now: float,
    ) -> ttypes.RolloutReport:
        self._sequence += 1
        step = state.step
        age_s = now - state.ordered_at
        return ttypes.RolloutReport(
            service_name=service,
            sequence=self._sequence,
            step_number=state.number,
            trial_number=step.trial_number if step else NO_STEP,
            requests=state.requests,
            exposed=state.exposed,
            old_in_progress=state.old_in_progress(),
            order_age_ms=int(age_s * MS_PER_S) if step else UNKNOWN_AGE_MS,
            routes=list(routes),
        )


def parse_report(report: ttypes.RolloutReport, now: float) -> NodeReport:
    """Convert a message to the report of a node.

    Args:
        report: The message.
        now: When it arrived.
    """
    return NodeReport(
        sequence=report.sequence,
        received_at=now,
        step_number=report.step_number,
        requests=report.requests,
        exposed=report.exposed,
        old_in_progress=report.old_in_progress,
        routes={
            message.route_name or '': from_message(message)
            for message in report.routes or ()
        },
    )
