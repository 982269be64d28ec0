"""The entry side of a routed request: targets tried, repeats, the outcome."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift.chooser import TargetChooser
from filbertdrift.crashes import CrashLedger, fingerprint
from filbertdrift.errors import NoFreeSlot, RequestNotRun, RequestUnknown
from filbertdrift.link import LinkPool
from filbertdrift.members import Member
from filbertdrift.retrybudget import SharedRetryBudget
from filbertdrift.target_attempt import (
    RoutedRequest,
    RoutedResponse,
    TargetAttempt,
)

MS_PER_S = 1000
# Gates that are asked for a free slot before a request waits at one. Two find
# most of the free slots at nine tenths of a fleet's load.
MAX_SEARCHES = 2
# Where more of the gates that were asked had no free slot, the fleet is full
# and only some requests search, to find out when that ends.
BUSY_SHARE_LIMIT = 0.7
TRIAL_SHARE = 0.1
BUSY_SHARE_WEIGHT = 0.05
# Gates that may refuse one request before it goes back to its caller.
MAX_REFUSALS = 3
# What is left of a deadline must be worth another try.
MIN_TRY_S = 0.01
# Load of the targets near by from which on requests go farther. Bytes between
# domains cost more than a short wait, and large bodies most of all: they go
# farther only when the gates near by refuse them.
SPILL_PERMILLE = 1500
BULK_SPILL_PERMILLE = 4000
RETRY_AFTER_MS = 100
RETRY_AFTER_SPREAD_MS = 200
# One in so many answered requests is logged, and all that took a second try.
ANSWERED_SAMPLE = 100


@dataclass(slots=True)
class DispatchCounters:
    """What became of the requests that entered at this node."""

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    searches: int = 0
    gate_refusals: int = 0
    target_refusals: int = 0
    repeats: int = 0


class _Search:
    """The search of one request for a free slot before it waits for one.

    What an entry knows of loads is stale in a large fleet. Gates that are
    believed to have a free slot are asked whether they do; only after that a
    request waits, at the one of them that it then looks best at.

    Attributes:
        excluded: Nodes that are not to be tried.
        is_over: The request may wait now.
    """

    def __init__(self, most: int) -> None:
        """Start without tries; at most so many gates are asked."""
        self.excluded: list[str] = []
        self.is_over = most == 0
        self._most = most
        self._busy: list[str] = []

    @property
    def has_found_busy(self) -> bool:
        """Tell whether it goes on though a gate had no free slot."""
        return bool(self._busy) and not self.is_over

    def found_busy(self) -> None:
        """Note that the node tried last has no free slot."""
        self._busy.append(self.excluded[-1])
        if len(self._busy) >= self._most:
            self.end()

    def end(self) -> None:
        """Let the request wait, also where there was no free slot."""
        self.is_over = True
        self.excluded = [
            node for node in self.excluded if node not in self._busy
        ]


class Dispatcher:
    """Hands requests to the nodes beside their targets.

    Args:
        links: Connections to the other nodes.
        chooser: Chooses the target.
        endpoints: Returns the members with a target of a service.
        crashes: Knows which requests crash targets.
        budget: Allows repeats.
        rng: Spreads the retry-after delays.
    """

    def __init__(
        self,
        links: LinkPool,
        chooser: TargetChooser,
        endpoints: Callable[[str], Sequence[Member]],
        crashes: CrashLedger,
        budget: SharedRetryBudget,
        rng: random.Random,
    ) -> None:
        """Start without requests."""
        self.counters = DispatchCounters()
        self._links = links
        self._chooser = chooser
        self._endpoints = endpoints
        self._crashes = crashes
        self._budget = budget
        self._rng = rng
        # Part of the gates asked of late that had no free slot, by service.
        self._busy_share: dict[str, float] = defaultdict(float)

    async def dispatch(self, routed: RoutedRequest) -> RoutedResponse:
        """Return the answer of a target.

        Args:
            routed: The request.

        Returns:
            The opened answer; close must be called.

        Raises:
            RequestNotRun: It was certainly not run.
            RequestUnknown: It may have run.
        """
        req = routed.req
        req.fingerprint = fingerprint(req.method, req.path, req.first_chunk)
        self._budget.record_request(routed.service)
        try:
            self._crashes.check(req.fingerprint)
            answer = await self._try_targets(routed)
        except RequestNotRun as exc:
            self.counters.not_run += 1
            self._log(routed, 'not_run', str(exc))
            raise
        except RequestUnknown as exc:
            self.counters.unknown += 1
            self._log(routed, 'unknown', str(exc))
            raise
        self.counters.answered += 1
        if self.counters.answered % ANSWERED_SAMPLE == 0 or req.tried[1:]:
            self._log(routed, 'answered', f'status {answer.status}')
        return answer

    async def _try_targets(self, routed: RoutedRequest) -> RoutedResponse:
        refusals = 0
        handed_over = 0
        unknown: RequestUnknown | None = None
        search = self._search_for(routed.service)
        while True:
            attempt = self._next_attempt(routed, search, unknown)
            try:
                answer = await attempt.run()
            except NoFreeSlot:
                self.counters.searches += 1
                self._note_search(routed.service, is_busy=True)
                routed.req.tried.pop()
                search.found_busy()
            except RequestNotRun as exc:
                refusals += 1
                handed_over += attempt.reached_target
                if not self._may_go_on(routed, attempt, refusals, handed_over):
                    # Once a try has ended unknown, the request may have run.
                    raise unknown or exc from exc
            except RequestUnknown as exc:
                unknown = exc
                handed_over += 1
                if not self._may_repeat(routed, handed_over):
                    raise
            else:
                if not attempt.may_wait:
                    self._note_search(routed.service, is_busy=False)
                return answer

    def _next_attempt(
        self,
        routed: RoutedRequest,
        search: _Search,
        unknown: RequestUnknown | None,
    ) -> TargetAttempt:
        now = asyncio.get_running_loop().time()
        if now + MIN_TRY_S >= routed.req.deadline:
            raise unknown or RequestNotRun(
                'the deadline passed before a target had it',
                retry_after_ms=0,
                step='dispatch',
            )
        member = self._choose(routed, search, now)
        is_near = member is not None and self._chooser.is_near(member)
        if search.has_found_busy and not is_near:
            # A short wait near by costs less than bytes between domains.
            search.end()
            member = self._choose(routed, search, now)
        if member is None:
            raise unknown or RequestNotRun(
                f'no target of {routed.service} has room',
                retry_after_ms=self._retry_after_ms(),
                step='choose target',
            )
        routed.req.tried.append(member.node)
        search.excluded.append(member.node)
        return TargetAttempt(
            self._links,
            self._chooser,
            member,
            routed,
            may_wait=search.is_over
            or not self._chooser.seems_free(member, now),
        )

    def _choose(
        self,
        routed: RoutedRequest,
        search: _Search,
        now: float,
    ) -> Member | None:
        is_bulk = routed.is_bulk
        return self._chooser.choose(
            self._endpoints(routed.service),
            search.excluded,
            now,
            BULK_SPILL_PERMILLE if is_bulk else SPILL_PERMILLE,
            routed.route.name,
            is_bulk=is_bulk,
        )

    def _search_for(self, service: str) -> _Search:
        """Return a search, one that is over if it is likely to be in vain."""
        is_full = self._busy_share[service] > BUSY_SHARE_LIMIT
        is_in_vain = is_full and self._rng.random() > TRIAL_SHARE
        return _Search(0 if is_in_vain else MAX_SEARCHES)

    def _note_search(self, service: str, *, is_busy: bool) -> None:
        known = self._busy_share[service]
        step = BUSY_SHARE_WEIGHT * (is_busy - known)
        self._busy_share[service] = known + step

    def _may_go_on(
        self,
        routed: RoutedRequest,
        attempt: TargetAttempt,
        refusals: int,
        handed_over: int,
    ) -> bool:
        """Tell whether a refused request may go to another target."""
        if attempt.is_body_consumed or refusals >= MAX_REFUSALS:
            return False
        if not attempt.reached_target:
            self.counters.gate_refusals += 1
            return True
        self.counters.target_refusals += 1
        return self._may_hand_over_again(routed, handed_over)

    def _may_repeat(self, routed: RoutedRequest, handed_over: int) -> bool:
        """Tell whether a request that may have run may run again."""
        if not routed.route.is_idempotent or not routed.req.is_whole:
            return False
        return self._may_hand_over_again(routed, handed_over)

    def _may_hand_over_again(
        self,
        routed: RoutedRequest,
        handed_over: int,
    ) -> bool:
        if handed_over >= routed.route.max_attempts:
            return False
        now = asyncio.get_running_loop().time()
        if now + MIN_TRY_S >= routed.req.deadline:
            return False
        if not self._budget.spend(routed.service):
            return False
        self.counters.repeats += 1
        return True

    def _retry_after_ms(self) -> int:
        return RETRY_AFTER_MS + int(RETRY_AFTER_SPREAD_MS * self._rng.random())

    def _log(self, routed: RoutedRequest, outcome: str, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        logger.bind(
            event='request',
            left_ms=int((routed.req.deadline - now) * MS_PER_S),
            objective_ms=int((routed.objective_at - now) * MS_PER_S),
            repeats_left=int(self._budget.left(routed.service)),
            request=routed.req.request_id,
            route=routed.route.name,
            service=routed.service,
            version=routed.version,
            tried=routed.req.tried,
            outcome=outcome,
            reason=reason,
        ).info('request {}', outcome)
