"""Drives the roll-out of one service: judges, decides and writes steps."""

import asyncio
from collections.abc import Callable, Mapping, Sequence

from loguru import logger

from filbertdrift.errors import LogUnavailable
from filbertdrift.keyedlog import NO_ERA
from filbertdrift.members import Member, MemberStatus, MemberTable
from filbertdrift.rollouts.counts import FleetCounts, NodeReport
from filbertdrift.rollouts.established import find_established
from filbertdrift.rollouts.judge import Judge
from filbertdrift.rollouts.plan import (
    HOLD_S,
    REPORT_LAG_S,
    Bounds,
    Decision,
    FleetView,
    Times,
    decide,
    number_after,
)
from filbertdrift.rollouts.state import LONG_AGO, ServiceState
from filbertdrift.rollouts.steplog import StepLog
from filbertdrift.rollouts.steps import NO_STEP, Phase, Step

TICK_S = 0.1
# After a failed call, so that a log in trouble gets few calls.
BACKOFF_S = 0.5
# Permission is given only while the steps known here were the newest on the
# log this long ago at most: a poll takes half a second.
LOG_EVIDENCE_S = 1.5
# Reports come every 0.4 s; some may be lost.
SILENT_AFTER_S = 1.5
# A driver that began to count this long after the order was read has seen all:
# nodes begin to count when they adopt the trial step.
WHOLE_COUNT_S = 2.0
# Targets send a heartbeat every 1.5 s, one of which may be lost, and their
# nodes tell the others. A node that has known a service for this long knows all
# of its targets.
SETTLE_S = 4.0
# Judging all routes of a service takes a millisecond or more.
JUDGE_INTERVAL_S = 0.3
# One line of evidence a while for each roll-out that goes on.
EVIDENCE_LOG_INTERVAL_S = 5.0


class Driver:
    """Drives one service while this node ranks first for it.

    Args:
        service: The service.
        state: What this node knows of it.
        node: This node's address.
        table: The members.
        step_log: Reads and appends steps.
        bounds: Limits on bad versions.
        read_seen: Returns when each version of the service was seen first.
        on_written: Called with each step that this node has written.

    Attributes:
        counts: The sums of the reports of all nodes.
        judge: Judges the new version.
    """

    def __init__(
        self,
        service: str,
        state: ServiceState,
        node: str,
        table: MemberTable,
        step_log: StepLog,
        bounds: Bounds,
        read_seen: Callable[[], Mapping[str, float]],
        on_written: Callable[[Step], None],
    ) -> None:
        """Start without reports."""
        self.counts = FleetCounts(NO_STEP, 0)
        self.judge = Judge()
        self._service = service
        self._state = state
        self._node = node
        self._table = table
        self._step_log = step_log
        self._bounds = bounds
        self._read_seen = read_seen
        self._on_written = on_written
        self._step_number = NO_STEP
        self._step_at = LONG_AGO
        # The number of the last trial that this driver has seen running.
        self._seen_trial = NO_STEP
        # Responses of the new version until the newest step.
        self._responses_before = 0
        self._status_number = NO_STEP
        self._status_era = NO_ERA
        self._no_targets_at: float | None = None
        self._unserved_at: float | None = None
        self._log_evidence_at = LONG_AGO
        self._judged_at = LONG_AGO
        self._began_at = asyncio.get_running_loop().time()

    @property
    def is_done(self) -> bool:
        """Return whether nothing is left to do for the service."""
        step = self._state.step
        if self._state.order is not None:
            return False
        if step is None:
            return True
        has_status = self._status_number == step.number or not step.has_status
        return has_status and not step.is_running

    def is_current(self) -> bool:
        """Return whether the newest step is known here, by the log."""
        now = asyncio.get_running_loop().time()
        return now - self._step_log.confirmed_at <= LOG_EVIDENCE_S

    def may_permit(self) -> bool:
        """Return whether ingress nodes may use the new version now."""
        step = self._state.step
        if step is None or not step.is_running or self._state.order:
            return False
        return self.judge.verdict is None and self.is_current()

    def record(
        self, node: str, generation: int, report: NodeReport, trial: int
    ) -> bool:
        """Record the report of a node; False if repeated or late."""
        self._follow_step()
        return self.counts.record(node, generation, report, trial)

    def silent_nodes(self) -> Sequence[str]:
        """Return the members that have not reported the newest step lately."""
        now = asyncio.get_running_loop().time()
        return [
            member.node
            for member in self._table.alive()
            if not self._has_reported(member, now, self._state.number)
        ]

    async def run(self) -> None:
        """Drive the service until cancelled."""
        while True:
            try:
                await self._tick()
            except LogUnavailable as exc:
                logger.bind(
                    event='rollout_log_failed', service=self._service
                ).warning('{}', exc)
                await asyncio.sleep(BACKOFF_S)
            await asyncio.sleep(TICK_S)

    async def _tick(self) -> None:
        self._follow_step()
        self._judge()
        if not self.is_current():
            return
        step = self._state.step
        decision = self._decide()
        is_end = step is not None and not step.is_running
        # The status of a roll-out that ended stands before the next one.
        is_status_due = step is not None and (decision is None or is_end)
        if is_status_due and not await self._write_status(step):
            return
        if decision is not None:
            await self._write(decision)

    async def _write(self, decision: Decision) -> None:
        state = self._state
        before = state.step
        step = number_after(before, decision, self._node)
        now = asyncio.get_running_loop().time()
        order = state.order
        is_new_order = order is not None and order.is_same(step.order)
        since = state.order_read_at if is_new_order else state.ordered_at
        if before is None:
            # The first step belongs to no order.
            since = now
        try:
            is_written = await self._step_log.append(
                step, now - since, lambda: state.step is before
            )
        except LogUnavailable:
            # It may stand; what the log holds is read before the next tick.
            self._step_log.confirmed_at = LONG_AGO
            raise
        if not is_written:
            return
        state.adopt(step, since)
        self._follow_step()
        logger.bind(
            event='rollout_step',
            service=self._service,
            number=step.number,
            phase=step.phase.name.lower(),
            target_version=step.order.target_version,
            old_versions=step.old_versions,
            reason=step.reason,
            order_age_s=round(now - since, 3),
            requests=self.counts.requests,
            exposed=self.counts.exposed,
            **self.judge.describe(),
        ).info('roll-out of {}: {}', self._service, step.phase.name)
        self._on_written(step)

    async def _write_status(self, step: Step | None) -> bool:
        """Write the status if it is not known to stand; return if it does."""
        if step is None or not step.has_status:
            return True
        era = self._step_log.era
        if self._status_number == step.number and self._status_era == era:
            return True
        if not await self._step_log.write_status(step):
            return False
        self._status_number = step.number
        self._status_era = era
        return True

    def _follow_step(self) -> None:
        """Begin to count and to judge anew with a new trial."""
        step = self._state.step
        if step is None or step.number == self._step_number:
            return
        now = asyncio.get_running_loop().time()
        self._step_number = step.number
        self._step_at = now
        if step.is_trial:
            self._seen_trial = step.trial_number
        self._responses_before = self.judge.responses
        if self.counts.trial_number != step.trial_number:
            self.counts = FleetCounts(step.trial_number, now)
            self.judge = Judge()
            self._responses_before = 0
            self._no_targets_at = None

    def _judge(self) -> None:
        step = self._state.step
        if step is None or not step.is_running:
            return
        now = asyncio.get_running_loop().time()
        if step.is_trial and now - self._judged_at < JUDGE_INTERVAL_S:
            return
        self._judged_at = now
        before = self.judge.verdict
        shifted_s = now - self._step_at - REPORT_LAG_S
        usual_s = self.judge.usual_latency_s
        self.judge.is_loaded = not step.is_trial and shifted_s >= usual_s
        self.judge.record(
            self.counts.take_fresh(),
            now,
            is_shifted=not step.is_trial,
        )
        if not step.is_trial:
            waiting = self.counts.find_waiting(now - SILENT_AFTER_S)
            self.judge.weigh_waiting(waiting, shifted_s)
        verdict = self.judge.verdict
        if verdict is not None and before is None:
            logger.bind(
                event='rollout_verdict',
                service=self._service,
                target_version=step.order.target_version,
                reason=verdict.reason,
                **self.judge.describe(),
            ).warning('the new version of {} is bad', self._service)
        elif now - self._log_evidence_at >= EVIDENCE_LOG_INTERVAL_S:
            self._log_evidence_at = now
            logger.bind(
                event='rollout_evidence',
                service=self._service,
                target_version=step.order.target_version,
                requests=self.counts.requests,
                exposed=self.counts.exposed,
                silent=len(self.silent_nodes()),
                **self.judge.describe(),
            ).info('roll-out of {} goes on', self._service)

    def _decide(self) -> Decision | None:
        state = self._state
        now = asyncio.get_running_loop().time()
        targets = [
            member
            for member in self._table.alive()
            if member.service == self._service
            and member.status <= MemberStatus.SERVING
        ]
        view = self._view(now, targets)
        self._no_targets_at = _since(
            self._no_targets_at, now, is_so=not view.new_targets
        )
        self._unserved_at = _since(
            self._unserved_at, now, is_so=not self._has_serving(targets)
        )
        times = Times(
            now,
            state.ordered_at,
            self._step_at,
            self._no_targets_at,
            self._unserved_at,
        )
        return decide(state.step, state.order, view, times, self._bounds)

    def _has_serving(self, targets: Sequence[Member]) -> bool:
        """Return whether the versions that serve without the order have any."""
        step = self._state.step
        if step is None:
            return True
        versions = step.old_versions if step.is_running else step.versions_after
        return any(member.target_version in versions for member in targets)

    def _view(self, now: float, targets: Sequence[Member]) -> FleetView:
        state = self._state
        target = state.step.order.target_version if state.step else ''
        alive = self._table.alive()
        new_targets = sum(
            member.target_version == target
            and member.status == MemberStatus.SERVING
            for member in targets
        )
        return FleetView(
            service=self._service,
            established=self._find_established(now, targets),
            successors=self._find_successors(now, targets),
            new_targets=new_targets,
            silent=sum(
                not self._has_reported(member, now, NO_STEP) for member in alive
            ),
            behind=sum(
                not self._has_reported(member, now, state.number)
                for member in alive
            ),
            old_in_progress=self._count_old_in_progress(alive),
            requests=self.counts.requests,
            exposed=self.counts.exposed,
            is_counted_whole=(
                self.counts.started_at - state.ordered_at <= WHOLE_COUNT_S
            ),
            rate_per_s=self.counts.rate_per_s(now, state.ordered_at),
            shift_responses=self.judge.responses - self._responses_before,
            usual_latency_s=self.judge.usual_latency_s,
            loaded_evidence=self.judge.loaded_evidence,
            has_lost_trial=self._has_lost_trial(),
            verdict=self.judge.verdict,
            doubt=self.judge.doubt,
        )

    def _has_lost_trial(self) -> bool:
        """Return whether no node reports what the trial has shown."""
        step = self._state.step
        if step is None or step.trial_number == self._seen_trial:
            return False
        return not (self.judge.has_old_responses or self.silent_nodes())

    def _find_established(
        self, now: float, targets: Sequence[Member]
    ) -> tuple[str, ...] | None:
        """Return the versions that served before any step, None if unsure."""
        seen = self._read_seen()
        if now - min(seen.values(), default=self._began_at) < SETTLE_S:
            return None
        order = self._state.order
        ordered = (order.target_version,) if order else ()
        return find_established(seen, targets, ordered)

    def _find_successors(
        self, now: float, targets: Sequence[Member]
    ) -> tuple[str, ...]:
        """Return the versions that may follow those on record."""
        held = {
            version: at
            for version, at in self._read_seen().items()
            if now - at >= HOLD_S
        }
        step = self._state.step
        is_rolled_back = step is not None and step.phase == Phase.ROLLED_BACK
        excluded = (
            (step.order.target_version,) if step and is_rolled_back else ()
        )
        return find_established(held, targets, excluded)

    def _count_old_in_progress(self, alive: Sequence[Member]) -> int:
        reports = self.counts.reports
        found = [reports.get((each.node, each.generation)) for each in alive]
        return sum(report.old_in_progress for report in found if report)

    def _has_reported(self, member: Member, now: float, number: int) -> bool:
        report = self.counts.reports.get((member.node, member.generation))
        if report is None:
            return False
        is_recent = now - report.received_at <= SILENT_AFTER_S
        return is_recent and report.step_number >= number


def _since(before: float | None, now: float, *, is_so: bool) -> float | None:
    """Return since when something is so, None if it is not."""
    if not is_so:
        return None
    return now if before is None else before
