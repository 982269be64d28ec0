"""The roll-outs of a node: reports, notices, and the services it drives."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift.errors import MalformedMessage
from filbertdrift.gen import ttypes
from filbertdrift.keyedlog import KeyedLog, KeyedPage
from filbertdrift.members import Member
from filbertdrift.membership import Membership
from filbertdrift.rollouts.counts import OutcomeCounter
from filbertdrift.rollouts.driver import Driver
from filbertdrift.rollouts.filter import VersionFilter
from filbertdrift.rollouts.plan import Bounds
from filbertdrift.rollouts.ranking import DriverRanking
from filbertdrift.rollouts.reports import (
    Reporter,
    RolloutCounters,
    parse_report,
)
from filbertdrift.rollouts.state import LONG_AGO, ServiceState
from filbertdrift.rollouts.steplog import RolloutFormats, StepLog
from filbertdrift.rollouts.steps import (
    MS_PER_S,
    NO_STEP,
    Step,
    order_from_message,
    order_to_message,
    step_from_message,
    step_to_message,
)
from filbertdrift.supervise import Supervisor

TICK_S = 0.1
ORDER_INTERVAL_S = 0.5
# A reader polls the log with pauses of up to 0.25 s, so an order is older than
# when it was read; of a short roll-out, less is assumed, as the shift begins
# earlier by that.
READ_LAG_S = 0.25
READ_LAG_SHARE = 0.01
OBSERVE_INTERVAL_S = 0.5
# Nodes without the newest step are sent it this often by the driver.
REPAIR_INTERVAL_S = 0.5
# Members beside the driver that are asked for the newest step of a service by a
# node that knows none.
ASKED_MEMBERS = 2


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Settings of roll-outs.

    Args:
        formats: Streams and formats of the platform.
        bounds: Limits on bad versions.
    """

    formats: RolloutFormats
    bounds: Bounds


class RolloutControl:
    """All that a node does for roll-outs.

    Args:
        settings: The settings.
        membership: The other nodes.
        log: The platform's log.
        rng: Source of random choices.

    Attributes:
        filter: Limits requests to the versions that are allowed.
        outcomes: Counts the attempts of this node.
        drivers: The services that this node drives.
        step_log: Reads and appends steps.
    """

    def __init__(
        self,
        settings: RolloutSettings,
        membership: Membership,
        log: KeyedLog,
        rng: random.Random,
    ) -> None:
        """Start without roll-outs."""
        self.counters = RolloutCounters()
        local = membership.local_member
        self.filter = VersionFilter(settings.bounds.expose_share, _now, rng)
        self.outcomes = OutcomeCounter(local.domain, self.filter.states.get)
        self.drivers: dict[str, Driver] = {}
        self.step_log = StepLog(log, settings.formats, self._on_log_step, rng)
        self._settings = settings
        self._membership = membership
        self._supervisor = Supervisor()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._follow_task: asyncio.Task[None] | None = None
        self._reporter = Reporter(
            self.filter,
            self.outcomes,
            lambda: len(membership.table),
            local.generation,
        )
        self._order_at: dict[str, float] = {}
        self._repair_at: dict[str, float] = {}
        self._observe_at = LONG_AGO
        self._versions: dict[str, tuple[Sequence[Member], set[str]]] = {}
        self._ranking = DriverRanking(membership)
        self._rng = rng

    def count_running(self) -> int:
        """Return the number of roll-outs that go on, as far as known here."""
        steps = [state.step for state in self.filter.states.values()]
        return sum(step is not None and step.is_running for step in steps)

    async def run(self) -> None:
        """Report, pass orders on and drive until cancelled."""
        try:
            while True:
                self._tick()
                await asyncio.sleep(TICK_S)
        finally:
            for service in list(self.drivers):
                self._stop_driver(service)
            self._follow_log()

    def on_page(self, page: KeyedPage) -> None:
        """Take the orders of a page of the operator's stream."""
        now = _now()
        for record in page.records:
            try:
                order = self._settings.formats.parse_order(record, page.era)
            except MalformedMessage as exc:
                self.counters.malformed += 1
                logger.bind(
                    event='rollout_order_refused', key=record.key
                ).error('{}', exc)
                continue
            if order is None:
                continue
            lag_s = min(READ_LAG_S, order.duration_s * READ_LAG_SHARE)
            state = self.filter.state(order.service)
            if state.record_order(order, now - lag_s):
                self.counters.orders_read += 1
                logger.bind(
                    event='rollout_order',
                    service=order.service,
                    target_version=order.target_version,
                    duration_s=order.duration_s,
                    offset=order.offset,
                ).info('order to roll out {}', order.service)

    def on_datagram(self, sender: str, generation: int, body: object) -> None:
        """Handle a message of another node.

        Args:
            sender: The node.
            generation: Its generation.
            body: The message; others than those of roll-outs are ignored.
        """
        try:
            if isinstance(body, ttypes.RolloutReport):
                self._on_report(sender, generation, body)
            elif isinstance(body, ttypes.RolloutNotice):
                self._on_notice(sender, body)
        except (MalformedMessage, TypeError) as exc:
            self.counters.malformed += 1
            logger.bind(event='rollout_message_malformed', peer=sender).warning(
                '{}', exc
            )

    # Timers

    def _tick(self) -> None:
        now = _now()
        self.filter.unreachable_domains = self._membership.unreachable_domains
        if now >= self._observe_at:
            self._observe_at = now + OBSERVE_INTERVAL_S
            self._observe()
        for service in self._active_services():
            state = self.filter.state(service)
            is_driver = self._ranking.find(service) == self._node
            if is_driver and self._is_to_drive(service, state):
                self._start_driver(service)
            elif not is_driver:
                self._stop_driver(service)
            self._report(service, state, now)
            self._pass_order_on(service, state, now)
        for service, driver in list(self.drivers.items()):
            if driver.is_done and not self._is_unsettled(service):
                self._stop_driver(service)
            else:
                self._repair(service, driver, now)
        self._follow_log()

    def _observe(self) -> None:
        """Learn the versions of all services."""
        table = self._membership.table
        services = {member.service for member in table.alive()}
        for service in services - {''}:
            self.filter.observe(service, table.of_service(service))

    def _active_services(self) -> list[str]:
        running = {
            service
            for service, state in self.filter.states.items()
            if state.order or (state.step and state.step.is_running)
        }
        unsettled = {
            service
            for service in self.filter.states
            if self._is_unsettled(service)
        }
        return sorted(running | unsettled | set(self.drivers))

    def _is_unsettled(self, service: str) -> bool:
        """Return whether a service has targets that no step lets serve."""
        members = self._membership.table.of_service(service)
        known = self._versions.get(service)
        if known is None or known[0] is not members:
            known = members, {each.target_version for each in members}
            self._versions[service] = known
        step = self.filter.state(service).step
        serving = set(step.versions_after) if step else set()
        return len(known[1]) > 1 or not known[1] <= serving

    def _is_to_drive(self, service: str, state: ServiceState) -> bool:
        step = state.step
        is_running = step is not None and step.is_running
        return bool(is_running or state.order or self._is_unsettled(service))

    def _report(self, service: str, state: ServiceState, now: float) -> None:
        step = state.step
        is_running = step is not None and step.is_running
        if not is_running and not self._is_unsettled(service):
            return
        driver = self._ranking.find(service)
        generation = self._membership.local_member.generation
        for report in self._reporter.take_due(service, now):
            self.counters.reports_sent += 1
            if driver == self._node:
                self._on_report(self._node, generation, report)
            else:
                self._membership.gossip(report, (driver,))
            if step is None:
                self._membership.gossip(report, self._sample_members(driver))

    def _pass_order_on(
        self, service: str, state: ServiceState, now: float
    ) -> None:
        """Send an order that no step answers to the driver."""
        driver = self._ranking.find(service)
        if state.order is None or driver == self._node:
            return
        if now < self._order_at.get(service, LONG_AGO):
            return
        self._order_at[service] = now + ORDER_INTERVAL_S
        age_s = now - state.order_read_at
        notice = ttypes.RolloutNotice(
            service_name=service, order=order_to_message(state.order, age_s)
        )
        self._membership.gossip(notice, (driver,))

    def _repair(self, service: str, driver: Driver, now: float) -> None:
        """Send the newest step to members that do not report it."""
        state = self.filter.state(service)
        step = state.step
        if step is None or not step.is_running:
            return
        if now < self._repair_at.get(service, LONG_AGO):
            return
        self._repair_at[service] = now + REPAIR_INTERVAL_S
        nodes = [node for node in driver.silent_nodes() if node != self._node]
        if nodes:
            self._membership.gossip(self._build_notice(service), nodes)

    def _sample_members(self, driver: str) -> Sequence[str]:
        """Return some other members than a driver."""
        others = [
            member.node
            for member in self._membership.table.alive()
            if member.node not in {driver, self._node}
        ]
        return self._rng.sample(others, min(ASKED_MEMBERS, len(others)))

    # Who drives

    @property
    def _node(self) -> str:
        return self._membership.local_member.node

    def _start_driver(self, service: str) -> None:
        if service in self.drivers:
            return
        self.counters.drives += 1
        driver = Driver(
            service,
            self.filter.state(service),
            self._node,
            self._membership.table,
            self.step_log,
            self._settings.bounds,
            lambda: self.filter.seen(service),
            self._on_written,
        )
        self.drivers[service] = driver
        self._tasks[service] = asyncio.get_running_loop().create_task(
            self._supervisor.keep_running(f'roll-out {service}', driver.run)
        )
        logger.bind(
            event='rollout_driver_started',
            service=service,
            number=self.filter.number(service),
        ).info('this node drives {}', service)

    def _stop_driver(self, service: str) -> None:
        if self.drivers.pop(service, None) is None:
            return
        self._tasks.pop(service).cancel()
        logger.bind(event='rollout_driver_ended', service=service).info(
            'this node drives {} no more', service
        )

    def _follow_log(self) -> None:
        """Read the steps while this node drives a service."""
        if self.drivers and self._follow_task is None:
            self._follow_task = asyncio.get_running_loop().create_task(
                self._supervisor.keep_running(
                    'steps of roll-outs', self.step_log.follow
                )
            )
        elif not self.drivers and self._follow_task is not None:
            self._follow_task.cancel()
            self._follow_task = None

    def _on_log_step(self, step: Step) -> None:
        # The age of the order is not on the log: clocks may jump.
        self._adopt(step, _now(), 'log')

    def _on_written(self, step: Step) -> None:
        self.counters.steps_adopted += 1
        notice = self._build_notice(step.order.service)
        nodes = [
            member.node
            for member in self._membership.table.alive()
            if member.node != self._node
        ]
        self._membership.gossip(notice, nodes)

    def _adopt(self, step: Step, ordered_at: float, source: str) -> bool:
        state = self.filter.state(step.order.service)
        if not state.adopt(step, ordered_at):
            return False
        self.counters.steps_adopted += 1
        logger.bind(
            event='rollout_step_adopted',
            service=step.order.service,
            number=step.number,
            phase=step.phase.name.lower(),
            target_version=step.order.target_version,
            reason=step.reason,
            source=source,
        ).info('step {} of {}', step.number, step.order.service)
        return True

    def _on_report(
        self, sender: str, generation: int, report: ttypes.RolloutReport
    ) -> None:
        service = report.service_name or ''
        driver = self.drivers.get(service)
        self.counters.reports_received += 1
        if driver is None:
            if self._ranking.find(service) == self._node:
                # The sender sees several versions, or a step, and this node
                # does not yet.
                self._start_driver(service)
            self._tell_step(sender, report)
            return
        now = _now()
        self._learn_age(service, report, now)
        is_newer = driver.record(
            sender, generation, parse_report(report, now), report.trial_number
        )
        self.counters.reports_ignored += not is_newer
        if not is_newer:
            return
        if not driver.is_current():
            self._tell_step(sender, report)
            return
        notice = self._build_notice(service)
        notice.sequence = report.sequence
        notice.is_permitted = driver.may_permit()
        if sender == self._node:
            self._on_notice(sender, notice)
        else:
            self._membership.gossip(notice, (sender,))

    def _tell_step(self, sender: str, report: ttypes.RolloutReport) -> None:
        """Send the newest step known here to a node that is behind it."""
        service = report.service_name or ''
        if (report.step_number or NO_STEP) < self.filter.number(service):
            self._membership.gossip(self._build_notice(service), (sender,))

    def _learn_age(
        self, service: str, report: ttypes.RolloutReport, now: float
    ) -> None:
        """Learn the age of the order from a node that knows it for longer."""
        state = self.filter.state(service)
        age_ms = report.order_age_ms or 0
        trial_number = state.step.trial_number if state.step else NO_STEP
        is_same_trial = report.trial_number == trial_number
        if age_ms > 0 and trial_number > NO_STEP and is_same_trial:
            known_at = now - age_ms / MS_PER_S
            state.ordered_at = min(state.ordered_at, known_at)

    def _on_notice(self, sender: str, notice: ttypes.RolloutNotice) -> None:
        service = notice.service_name or ''
        now = _now()
        state = self.filter.state(service)
        if notice.order is not None:
            order = order_from_message(notice.order)
            read_at = now - (notice.order.age_ms or 0) / MS_PER_S
            state.record_order(order, read_at)
            if state.step is not None and state.order is None:
                self._membership.gossip(self._build_notice(service), (sender,))
        if notice.step is not None:
            step = step_from_message(notice.step)
            age_ms = notice.step.order.age_ms or 0
            is_new = self._adopt(step, now - age_ms / MS_PER_S, sender)
            if is_new:
                # Repairs losses: each node passes a step on once.
                self._membership.gossip(self._build_notice(service))
                self._reporter.expedite(service)
        if notice.sequence:
            self._reporter.on_reply(service, notice)

    def _build_notice(self, service: str) -> ttypes.RolloutNotice:
        state = self.filter.state(service)
        message = None
        if state.step is not None:
            age_s = _now() - state.ordered_at
            message = step_to_message(state.step, age_s)
        return ttypes.RolloutNotice(service_name=service, step=message)


def _now() -> float:
    return asyncio.get_running_loop().time()
