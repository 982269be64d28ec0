"""The ingress side of a routed request: target selection and retries."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from loguru import logger

from filbertdrift.accounts.startlimit import build_late_start_error
from filbertdrift.balance.chooser import NO_OBJECTIVE_S
from filbertdrift.balance.completion import CompletionChooser
from filbertdrift.crashes import CrashLedger, fingerprint
from filbertdrift.errors import NoFreeSlot, RequestNotRun, RequestUnknown
from filbertdrift.hedge import Retry
from filbertdrift.knowntargets import KnownTargets
from filbertdrift.link import LinkPool
from filbertdrift.members import Member
from filbertdrift.retrybudget import SharedRetryBudget
from filbertdrift.returnturns import ReturnTurns
from filbertdrift.rollouts.control import RolloutControl
from filbertdrift.routed import RoutedRequest, RoutedResponse
from filbertdrift.slotsearch import SlotSearch
from filbertdrift.target_attempt import TargetAttempt

MS_PER_S = 1000
# Busy gates that a request is sent to before it queues at one. Two find most
# of the free slots at 90 % load of the fleet.
MAX_SEARCHES = 2
# If a larger share of the searched gates is busy, the fleet is full.
BUSY_SHARE_LIMIT = 0.7
# Share of requests that still search in a full fleet, to detect free slots.
FULL_SEARCH_SHARE = 0.1
# Weight of one attempt in the moving average of the share of busy gates.
BUSY_SHARE_WEIGHT = 0.05
# Refusals of one request after which its caller gets the last one.
MAX_REFUSALS = 3
# Shortest time to the deadline that allows another attempt.
MIN_ATTEMPT_S = 0.01
# Load of nearby targets from which requests also go to farther ones. Traffic
# between domains costs more than a short wait, most of all with large bodies:
# these go farther only if the nearby gates refuse them.
SPILL_PERMILLE = 1500
LARGE_BODY_SPILL_PERMILLE = 4000
# A response that is lost never comes, so an idempotent request that has run for
# this share of the time left is overdue and may be tried elsewhere.
PATIENCE_SHARE = 0.5
RETRY_AFTER_MS = 100
# How long to wait for the word of nodes whether they dropped a request that
# ended unknown. A round trip within a region takes a few milliseconds.
CONFIRM_S = 0.1
RETRY_AFTER_SPREAD_MS = 200
# One of this many answered requests is logged, and each that was retried.
ANSWERED_LOG_INTERVAL = 100


@dataclass(slots=True)
class DispatchCounters:
    """Outcomes, refusals and retries of this node's ingress requests."""

    answered: int = 0
    abandoned: int = 0
    not_run: int = 0
    unknown: int = 0
    unknown_while_stopping: int = 0
    hedged: int = 0
    searches: int = 0
    gate_refusals: int = 0
    target_refusals: int = 0
    repeats: int = 0


@dataclass(slots=True)
class _Progress:
    """The attempts of one request.

    Args:
        search: Its search for a free slot.
        unconfirmed: The attempts that ended unknown.
        refusals: How many targets and gates refused it.
        target_attempts: How many targets were sent it.
    """

    search: SlotSearch
    unconfirmed: list[TargetAttempt] = field(default_factory=list)
    refusals: int = 0
    target_attempts: int = 0


class Dispatcher:
    """Sends ingress requests to targets and retries them.

    Args:
        links: Connections to the other nodes.
        chooser: Chooses the target.
        endpoints: Returns the members with a target of a service.
        crashes: Blocks requests that crash targets.
        budget: Limits retries.
        rng: Adds jitter to the retry-after delays, and selects the requests
            that search in a full fleet.
        node_count: Returns how many nodes send requests to the targets.

    Attributes:
        known_targets: What targets have stated.
        is_stopping: This node stops; it ends no runs that are silent.
        rollouts: Limits requests to the versions that are allowed and counts
            outcomes; None for no limits.
    """

    def __init__(
        self,
        links: LinkPool,
        chooser: CompletionChooser,
        endpoints: Callable[[str], Sequence[Member]],
        crashes: CrashLedger,
        budget: SharedRetryBudget,
        rng: random.Random,
        node_count: Callable[[], int],
    ) -> None:
        """Start without requests."""
        self.counters = DispatchCounters()
        self.known_targets = KnownTargets()
        self.is_stopping = False
        self.rollouts: RolloutControl | None = None
        self._links = links
        self._chooser = chooser
        self._endpoints = endpoints
        self._crashes = crashes
        self._budget = budget
        self._rng = rng
        self._node_count = node_count
        self._return_turns = ReturnTurns()
        # Moving average of the share of busy gates, by service.
        self._busy_share: dict[str, float] = defaultdict(float)

    async def dispatch(self, routed: RoutedRequest) -> RoutedResponse:
        """Return the response of a target.

        Args:
            routed: The request.

        Returns:
            The opened response; close must be called.

        Raises:
            RequestNotRun: It was certainly not run.
            RequestUnknown: It may have run.
        """
        req = routed.req
        req.fingerprint = fingerprint(req.method, req.path, req.first_chunk)
        self._budget.record_request(routed.service)
        try:
            self._crashes.check(req.fingerprint)
            response = await self._attempt_targets(routed)
        except RequestNotRun as exc:
            self.counters.not_run += 1
            self._assign_turn(routed, exc)
            self._log(routed, 'not_run', str(exc))
            raise
        except RequestUnknown as exc:
            self.counters.unknown += 1
            self.counters.unknown_while_stopping += self.is_stopping
            self._log(routed, 'unknown', str(exc))
            raise
        except asyncio.CancelledError:
            self.counters.abandoned += 1
            self._log(
                routed, 'abandoned', 'the caller left, or this node stops'
            )
            raise
        self.counters.answered += 1
        if self.counters.answered % ANSWERED_LOG_INTERVAL == 0 or req.tried[1:]:
            self._log(routed, 'answered', f'status {response.status}')
        return response

    async def _attempt_targets(self, routed: RoutedRequest) -> RoutedResponse:
        progress = _Progress(self._new_search(routed.service))
        try:
            return await self._try_targets(routed, progress)
        except RequestUnknown as exc:
            if not await _confirm_none_ran(progress.unconfirmed):
                raise
            routed.req.may_have_run = False
            raise RequestNotRun(
                f'dropped before it ran: {exc.reason}',
                retry_after_ms=RETRY_AFTER_MS + self._spread_ms(),
                step='dispatch',
                peer=exc.peer,
            ) from exc
        finally:
            for attempt in progress.unconfirmed:
                attempt.forget()

    async def _try_targets(
        self, routed: RoutedRequest, progress: _Progress
    ) -> RoutedResponse:
        unknown: RequestUnknown | None = None
        while True:
            attempt = self._next_attempt(routed, progress, unknown)
            try:
                response = await attempt.run()
            except NoFreeSlot as exc:
                self.counters.searches += 1
                self._record_search(routed.service, is_busy=True)
                routed.req.tried.remove(exc.peer)
                progress.search.record_busy(exc.peer)
            except RequestNotRun as exc:
                progress.refusals += 1
                reached = attempt.reached_target and not attempt.is_hedged
                progress.target_attempts += reached
                if not self._may_retry_refused(routed, attempt, progress):
                    # After an attempt that ended unknown, it may have run.
                    raise unknown or exc from exc
            except RequestUnknown as exc:
                unknown = exc
                progress.unconfirmed.append(attempt)
                progress.target_attempts += not attempt.is_hedged
                if not self._may_retry_unknown(routed, progress):
                    raise
            else:
                if not attempt.may_wait:
                    self._record_search(routed.service, is_busy=False)
                return response

    def _next_attempt(
        self,
        routed: RoutedRequest,
        progress: _Progress,
        unknown: RequestUnknown | None,
    ) -> TargetAttempt:
        now = asyncio.get_running_loop().time()
        if now + MIN_ATTEMPT_S >= routed.req.deadline:
            raise unknown or RequestNotRun(
                'the deadline passed before a target had it',
                retry_after_ms=0,
                step='dispatch',
            )
        if now >= routed.req.start_by:
            raise unknown or build_late_start_error()
        search = progress.search
        member = self._choose(routed, search, now)
        is_in_own_domain = (
            member is not None and self._chooser.is_in_own_domain(member)
        )
        if search.is_continued and not is_in_own_domain:
            # A short wait nearby costs less than traffic between domains.
            search.end()
            member = self._choose(routed, search, now)
        if member is None:
            raise unknown or self._no_room_error(routed)
        routed.req.tried.append(member.node)
        search.excluded.append(member.node)
        return TargetAttempt(
            self._links,
            self._chooser,
            self.known_targets,
            member,
            routed,
            may_wait=search.is_over
            or not self._chooser.is_below_capacity(member, now),
            patience_s=self._find_patience_s(
                routed, progress.target_attempts, now
            ),
            start_retry=lambda: self._start_retry(routed, progress),
            ends_in_silence=lambda: not self.is_stopping,
            outcomes=self.rollouts.outcomes if self.rollouts else None,
        )

    def _start_retry(
        self, routed: RoutedRequest, progress: _Progress
    ) -> Retry | None:
        """Return the retry of a run that goes on, taken from the budget."""
        loop = asyncio.get_running_loop()
        if not _may_run_twice(routed):
            return None
        if self._choose(routed, progress.search, loop.time()) is None:
            return None
        if not self._take_retry(routed, progress.target_attempts + 1):
            return None
        progress.target_attempts += 1
        self.counters.hedged += 1
        retry = loop.create_task(
            self._try_targets(routed, progress), name=routed.req.request_id
        )
        routed.req.cleanup.callback(retry.cancel)
        return retry

    def _find_patience_s(
        self, routed: RoutedRequest, target_attempts: int, now: float
    ) -> float | None:
        """Return how long a target may run a request without a response.

        Returns:
            None if the request could not be tried elsewhere.
        """
        req, route = routed.req, routed.route
        has_attempt_left = target_attempts + 1 < route.max_attempts
        has_target_left = len(self._find_candidates(routed)) > len(req.tried)
        has_budget = self._budget.left(routed.service) >= 1
        if not (
            _may_run_twice(routed) and has_attempt_left and has_target_left
        ):
            return None
        return (req.deadline - now) * PATIENCE_SHARE if has_budget else None

    def _choose(
        self,
        routed: RoutedRequest,
        search: SlotSearch,
        now: float,
    ) -> Member | None:
        candidates = self._find_candidates(routed)
        member = self._choose_from(candidates, routed, search, now)
        if member is None and self.rollouts:
            # A trial may have one target only. It must not cost a request.
            members = self._endpoints(routed.service)
            stable = self.rollouts.filter.stable(routed.service, members)
            if stable is not candidates:
                routed.candidates = stable
                member = self._choose_from(stable, routed, search, now)
        return member

    def _find_candidates(self, routed: RoutedRequest) -> Sequence[Member]:
        """Return the targets that a request may be sent to now."""
        members = self._endpoints(routed.service)
        if self.rollouts is None:
            return members
        versions = self.rollouts.filter
        if routed.candidates is None:
            routed.candidates = versions.assign(routed.service, members)
        else:
            routed.candidates = versions.renew(
                routed.service, members, routed.candidates
            )
        return routed.candidates

    def _choose_from(
        self,
        candidates: Sequence[Member],
        routed: RoutedRequest,
        search: SlotSearch,
        now: float,
    ) -> Member | None:
        if routed.tracker:
            return routed.tracker.choose(candidates, search.excluded, now)
        has_large_body = routed.has_large_body
        # A large body is not sent farther only because closer targets are slow.
        objective_s = (
            NO_OBJECTIVE_S if has_large_body else routed.route.objective_s
        )
        return self._chooser.choose(
            candidates,
            search.excluded,
            now,
            LARGE_BODY_SPILL_PERMILLE if has_large_body else SPILL_PERMILLE,
            routed.route.name,
            objective_s=objective_s,
            has_large_body=has_large_body,
        )

    def _new_search(self, service: str) -> SlotSearch:
        """Return a search; in a full fleet, most are over at once."""
        is_full = self._busy_share[service] > BUSY_SHARE_LIMIT
        is_skipped = is_full and self._rng.random() > FULL_SEARCH_SHARE
        return SlotSearch(0 if is_skipped else MAX_SEARCHES)

    def _record_search(self, service: str, *, is_busy: bool) -> None:
        average = self._busy_share[service]
        step = BUSY_SHARE_WEIGHT * (is_busy - average)
        self._busy_share[service] = average + step

    def _may_retry_refused(
        self,
        routed: RoutedRequest,
        attempt: TargetAttempt,
        progress: _Progress,
    ) -> bool:
        """Return whether a refused request may be sent to another target.

        A retry after a refusal by a target itself is taken from the budget.
        """
        if attempt.is_body_consumed or progress.refusals >= MAX_REFUSALS:
            return False
        if not attempt.reached_target:
            self.counters.gate_refusals += 1
            return True
        self.counters.target_refusals += 1
        return self._take_retry(routed, progress.target_attempts)

    def _may_retry_unknown(
        self, routed: RoutedRequest, progress: _Progress
    ) -> bool:
        """Return whether to retry a request that may have run.

        The retry is taken from the budget.
        """
        if not _may_run_twice(routed):
            return False
        return self._take_retry(routed, progress.target_attempts)

    def _take_retry(
        self,
        routed: RoutedRequest,
        target_attempts: int,
    ) -> bool:
        if target_attempts >= routed.route.max_attempts:
            return False
        now = asyncio.get_running_loop().time()
        if now + MIN_ATTEMPT_S >= routed.req.deadline:
            return False
        if not self._budget.spend(routed.service):
            return False
        self.counters.repeats += 1
        return True

    def _no_room_error(self, routed: RoutedRequest) -> RequestNotRun:
        reason = f'no target of {routed.service} has room'
        limit_per_s = self._find_common_limit(routed.service)
        if limit_per_s is not None:
            reason = f'{reason}: together they take {limit_per_s:g} a second'
        return RequestNotRun(
            reason,
            retry_after_ms=RETRY_AFTER_MS + self._spread_ms(),
            step='choose target',
            is_rate_limited=limit_per_s is not None,
        )

    def _assign_turn(self, routed: RoutedRequest, exc: RequestNotRun) -> None:
        """Tell a caller that was refused because of limits when to return.

        If all targets of the service state limits, the callers that this node
        refuses return one after the other, at its share of the limits.
        """
        if not exc.is_rate_limited:
            return
        limit_per_s = self._find_common_limit(routed.service)
        if limit_per_s is None:
            return
        share_per_s = limit_per_s / max(self._node_count(), 1)
        delay_s = self._return_turns.next_delay_s(
            (routed.service, routed.rank),
            share_per_s,
            asyncio.get_running_loop().time(),
        )
        turn_ms = int(delay_s * MS_PER_S) + self._spread_ms()
        exc.retry_after_ms = max(exc.retry_after_ms, turn_ms)

    def _spread_ms(self) -> int:
        return int(RETRY_AFTER_SPREAD_MS * self._rng.random())

    def _find_common_limit(self, service: str) -> float | None:
        """Return the sum of the limits of all targets, None if one has none."""
        sum_per_s = 0.0
        for member in self._endpoints(service):
            limit_per_s = self.known_targets.find_limit(member.node)
            if limit_per_s is None:
                return None
            sum_per_s += limit_per_s
        return sum_per_s or None

    def _log(self, routed: RoutedRequest, outcome: str, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        logger.bind(
            event='request',
            age_ms=int((now - routed.req.arrived_at) * MS_PER_S),
            left_ms=int((routed.req.deadline - now) * MS_PER_S),
            objective_ms=int((routed.objective_at - now) * MS_PER_S),
            repeats_left=int(self._budget.left(routed.service)),
            is_stopping=self.is_stopping,
            request=routed.req.request_id,
            route=routed.route.name,
            service=routed.service,
            account=routed.req.client_account,
            version=routed.version,
            tried=routed.req.tried,
            outcome=outcome,
            reason=reason,
        ).info('request {}', outcome)


def _may_run_twice(routed: RoutedRequest) -> bool:
    """Return whether a request may run at two targets and can be sent so."""
    return routed.route.is_idempotent and routed.req.is_whole


async def _confirm_none_ran(attempts: Sequence[TargetAttempt]) -> bool:
    """Return whether all nodes confirm that they dropped a request."""
    deadline = asyncio.get_running_loop().time() + CONFIRM_S
    confirmed = await asyncio.gather(
        *(attempt.confirm_not_run(deadline) for attempt in attempts)
    )
    return all(confirmed)
