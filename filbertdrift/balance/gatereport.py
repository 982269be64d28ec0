"""Reports of the local gate: backlog, speed, and what a request cost."""

import asyncio
from collections.abc import Callable

from filbertdrift.balance.backlog import Backlog, GateEntry
from filbertdrift.balance.costmodel import CostModels
from filbertdrift.balance.features import features_of_opening
from filbertdrift.balance.loadheader import LoadHeaderParser
from filbertdrift.balance.speed import Slowdown, SpeedMeter
from filbertdrift.callstream import CallStream
from filbertdrift.gen import ttypes
from filbertdrift.incarnation import Incarnation
from filbertdrift.lifecycle import TargetLifecycle

MS_PER_S = 1000
US_PER_S = 1_000_000
PERMILLE = 1000
STATUS_SERVER_ERROR = 500
# The largest figure of a message.
MAX_INT = 0x7FFFFFFF


class _TargetState:
    """Backlog and speed of one incarnation of the local target."""

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.backlog = Backlog()
        self.speed = SpeedMeter()


class GateReporter:
    """Follows the requests at the local gate and fills reports of it.

    It is on once the local target states how long work takes there, or where
    the configuration has client accounts; otherwise its calls have no effect.

    Args:
        lifecycle: Tracks the local target.
        models: Cost models by service.
        caller_header: Name of the header with the caller's service.
        has_accounts: Whether the configuration has client accounts.
    """

    def __init__(
        self,
        lifecycle: TargetLifecycle,
        models: CostModels,
        caller_header: bytes,
        *,
        has_accounts: bool = False,
    ) -> None:
        """Start without requests."""
        self.has_accounts = has_accounts
        self.parser = LoadHeaderParser()
        self._lifecycle = lifecycle
        self._models = models
        self._caller_header = caller_header
        self._state: _TargetState | None = None

    def record_load(self, incarnation: Incarnation, text: str) -> None:
        """Record the load that a response of a target states.

        Args:
            incarnation: The incarnation that responded.
            text: The value of the load header.
        """
        now = _now()
        statement = self.parser.parse(text, now)
        if statement is None or statement.slowdown_percent is None:
            return
        if incarnation is self._lifecycle.current:
            state = self._find_state(incarnation)
            state.speed.slowdown = Slowdown(statement.slowdown_percent, now)
            self._lifecycle.by_cost = True

    def arrived(self, call: CallStream, req: ttypes.RequestOpen) -> None:
        """Record a request that arrived for the local target.

        Args:
            call: Its call.
            req: Its opening message.
        """
        state = self._current_state()
        if state is None:
            return
        features = features_of_opening(req, self._caller_header)
        model = self._models.of(req.service_name)
        sender_cost_s = (req.cost_us or 0) / US_PER_S
        if sender_cost_s and not model.knows(features.route):
            model.suggest(features.route, sender_cost_s)
        entry = GateEntry(
            features, model.estimate(features).mean_s, sender_cost_s, _now()
        )
        state.backlog.arrived(call, entry)

    def started(self, call: CallStream) -> None:
        """Record that the target runs a request from now on."""
        if self._state is not None:
            self._state.backlog.started(call, _now())

    def ended(self, call: CallStream) -> None:
        """Record that a request has left the gate."""
        if self._state is not None:
            self._state.backlog.ended(call)

    def fill_response(
        self, call: CallStream, opened: ttypes.AnswerOpen
    ) -> None:
        """Add the report to a response, and learn from its service time.

        Args:
            call: The call of the request.
            opened: The response, without any part of it sent.
        """
        state = self._current_state()
        if state is None:
            return
        now = _now()
        entry = state.backlog.ended(call)
        report = self._build(state, now, leaving=1)
        if entry is not None and entry.started_at is not None:
            service_s = now - entry.started_at
            report.service_ms = _to_int(service_s * MS_PER_S)
            report.held_ms = _to_int((now - entry.arrived_at) * MS_PER_S)
            if opened.status < STATUS_SERVER_ERROR:
                self._learn(state, entry, service_s, now)
        opened.gate_report = report

    def fill_refusal(self, refusal: ttypes.Refusal) -> None:
        """Add the report to a refusal."""
        state = self._current_state()
        if state is not None:
            refusal.gate_report = self._build(state, _now())

    def snapshot(self) -> ttypes.GateReport | None:
        """Return the report of the local gate now, None while it is off."""
        state = self._current_state()
        return None if state is None else self._build(state, _now())

    def current_speed(self) -> float:
        """Return the speed of the local target at present; 1 is the usual."""
        state = self._current_state()
        return 1 if state is None else state.speed.current(_now())

    def _learn(
        self,
        state: _TargetState,
        entry: GateEntry,
        service_s: float,
        now: float,
    ) -> None:
        service = state.incarnation.heartbeat.service
        model = self._models.of(service)
        model.record(entry.features, service_s * state.speed.current(now))
        cost_s = entry.sender_cost_s or entry.cost_s
        state.speed.record(cost_s, service_s, now)

    def _build(
        self, state: _TargetState, now: float, leaving: int = 0
    ) -> ttypes.GateReport:
        gate = state.incarnation.gate
        speed = state.speed.current(now)
        model = self._models.of(state.incarnation.heartbeat.service)
        work_s = state.backlog.work_s(model, speed, now)
        held = gate.running - leaving + gate.waiting + gate.incoming
        report = ttypes.GateReport(
            backlog_ms=_to_int(work_s / (gate.slots * speed) * MS_PER_S),
            free_slots=gate.slots - held,
            speed_permille=_to_int(state.speed.base * PERMILLE),
        )
        slowdown = state.speed.slowdown
        if slowdown is not None:
            report.slowdown_percent = _to_int(slowdown.percent)
            age_s = now - slowdown.stated_at
            report.slowdown_age_ms = _to_int(age_s * MS_PER_S)
        return report

    def _current_state(self) -> _TargetState | None:
        """Return the state of the present incarnation, None while it is off."""
        current = self._lifecycle.current
        if current is None:
            return None
        state = self._state
        if state is not None and state.incarnation is current:
            return state
        return self._find_state(current) if self.has_accounts else None

    def _find_state(self, incarnation: Incarnation) -> _TargetState:
        state = self._state
        if state is None or state.incarnation is not incarnation:
            state = _TargetState(incarnation)
            self._state = state
        return state


ReadReport = Callable[[], ttypes.GateReport | None]


def _now() -> float:
    return asyncio.get_running_loop().time()


def _to_int(figure: float) -> int:
    return min(max(int(figure + 0.5), 0), MAX_INT)
