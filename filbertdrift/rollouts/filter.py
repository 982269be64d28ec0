"""The ingress side of a roll-out: which targets a request may use."""

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from loguru import logger

from filbertdrift.members import Member
from filbertdrift.rendezvous import rank
from filbertdrift.rollouts.established import find_established
from filbertdrift.rollouts.state import ServiceState, new_state
from filbertdrift.rollouts.steps import Phase, Step

# Part of the allowed share that a trial uses. The rest is for the shift, which
# needs a second or two before the deadline.
TRIAL_PART = 0.25
# Use of the new version ends this long after the last permission: two seconds,
# with the time that the verdict takes, stay within rollback_s (5 s).
PERMISSION_S = 2.0
# Targets are slow for 3 s after their start, so a trial leaves them out.
WARM_UP_S = 4.0
# A node that knows no step of a service refuses its requests until the step, or
# the driver's reply that there is none, has come, or this time has passed.
UNKNOWN_STEP_WAIT_S = 2.5
# Views depend on the time that targets have been there.
VIEW_LIFE_S = 0.5


@dataclass(slots=True)
class _View:
    """The targets of a service, split by version.

    Args:
        members: The sequence that was split.
        number: The number of the step that it was split by.
        stable: Where requests go.
        trial: Where the exposed share goes, empty for none.
        counts_requests: Whether a step is in force that counts requests.
        expires_at: When it has to be built again.
    """

    members: Sequence[Member]
    number: int
    stable: Sequence[Member]
    trial: Sequence[Member] = ()
    counts_requests: bool = False
    expires_at: float = float('inf')


class VersionFilter:
    """Limits the requests of this node to the versions that are allowed.

    Args:
        expose_share: The largest share of requests for a version that is not
            known to be good.
        clock: Returns the time on the loop's clock.
        rng: Source of random choices.

    Attributes:
        states: What is known of each service.
        unreachable_domains: Failure domains that this node cannot reach.
        answered_at: When the driver of a service last replied that it knows
            no step.
    """

    def __init__(
        self,
        expose_share: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Start without steps."""
        self.states: dict[str, ServiceState] = {}
        self.unreachable_domains: Collection[str] = ()
        self.answered_at: dict[str, float] = {}
        self._trial_share = expose_share * TRIAL_PART
        self._clock = clock
        self._rng = rng
        self._views: dict[str, _View] = {}
        # When each version of a service was first seen, and each target.
        self._seen: dict[str, dict[str, float]] = {}
        self._targets_seen: dict[tuple[str, str], float] = {}
        # Services whose versions this node had to assume.
        self._assumed: set[str] = set()

    def state(self, service: str) -> ServiceState:
        """Return the state of a service."""
        found = self.states.get(service)
        if found is None:
            found = new_state(self._rng)
            self.states[service] = found
        return found

    def assign(
        self, service: str, members: Sequence[Member]
    ) -> Sequence[Member]:
        """Return the targets that a new request may use.

        Args:
            service: The service of the request.
            members: Its targets.

        Returns:
            The same object while nothing changes.
        """
        view = self._view(service, members)
        if not view.counts_requests:
            return view.stable
        state = self.states[service]
        state.requests += 1
        if view.trial and self._may_try(state):
            return view.trial
        return view.stable

    def observe(self, service: str, members: Sequence[Member]) -> None:
        """Learn which versions a service has, before any request to it."""
        self.state(service)
        self._view(service, members)

    def seen(self, service: str) -> Mapping[str, float]:
        """Return when each version of a service was seen first."""
        return self._seen.get(service, {})

    def number(self, service: str) -> int:
        """Return the number of the newest step of a service."""
        state = self.states.get(service)
        return state.number if state else 0

    def renew(
        self,
        service: str,
        members: Sequence[Member],
        assigned: Sequence[Member],
    ) -> Sequence[Member]:
        """Return the targets for a further attempt of a request.

        Args:
            service: The service of the request.
            members: Its targets now.
            assigned: The targets that the request was assigned.

        Returns:
            The same targets, unless a step or a change of the targets came
            between.
        """
        view = self._view(service, members)
        is_current = assigned is view.trial or assigned is view.stable
        return assigned if assigned and is_current else view.stable

    def stable(
        self, service: str, members: Sequence[Member]
    ) -> Sequence[Member]:
        """Return the targets of a request that the trial has no room for."""
        return self._view(service, members).stable

    def remove_missing(self, nodes: Collection[str]) -> None:
        """Forget targets of nodes that are gone."""
        for key in list(self._targets_seen):
            if key[0] not in nodes:
                self._targets_seen.pop(key)

    def _may_try(self, state: ServiceState) -> bool:
        if self._clock() - state.permitted_at >= PERMISSION_S:
            return False
        # Credit does not pile up, or all nodes would use it at once.
        state.credit = min(state.credit + self._trial_share, 1)
        return state.credit >= 1

    def _view(self, service: str, members: Sequence[Member]) -> _View:
        view = self._views.get(service)
        if (
            view is not None
            and view.members is members
            and view.number == self.number(service)
            and self._clock() < view.expires_at
        ):
            return view
        fresh = self._build(service, members)
        if view is not None and view.members is members:
            # The chooser caches by identity.
            if list(fresh.stable) == list(view.stable):
                fresh.stable = view.stable
            if list(fresh.trial) == list(view.trial):
                fresh.trial = view.trial
        self._views[service] = fresh
        return fresh

    def _build(self, service: str, members: Sequence[Member]) -> _View:
        now = self._clock()
        seen = self._seen.setdefault(service, {})
        for member in members:
            seen.setdefault(member.target_version, now)
            key = (member.node, member.target_version)
            self._targets_seen.setdefault(key, now)
        state = self.states.get(service)
        if state is None or state.step is None:
            return self._build_without_step(service, members, now)
        step = state.step
        serving = _find_serving(step, seen)
        view = _View(
            members,
            step.number,
            _of_versions(members, serving),
            counts_requests=step.is_running,
            expires_at=now + VIEW_LIFE_S,
        )
        if step.phase == Phase.TRIAL and step.old_versions:
            view.trial = self._select_trial(service, members, view.stable, now)
        return view

    def _build_without_step(
        self, service: str, members: Sequence[Member], now: float
    ) -> _View:
        seen = self._seen[service]
        waited_s = now - min(seen.values(), default=now)
        is_answered = service in self.answered_at
        if not is_answered and waited_s < UNKNOWN_STEP_WAIT_S:
            return _View(members, 0, (), expires_at=now)
        versions = find_established(seen, members)
        if not is_answered and versions and service not in self._assumed:
            self._assumed.add(service)
            logger.bind(
                event='rollout_versions_assumed',
                service=service,
                versions=versions,
                present=sorted(seen),
                waited_s=round(waited_s, 3),
            ).warning('nobody has told which versions of {} serve', service)
        serving = _of_versions(members, versions)
        return _View(members, 0, serving, expires_at=now + VIEW_LIFE_S)

    def _select_trial(
        self,
        service: str,
        members: Sequence[Member],
        stable: Sequence[Member],
        now: float,
    ) -> Sequence[Member]:
        """Return as many new targets as have the load of old ones then."""
        state = self.states[service]
        target = state.step.order.target_version if state.step else ''
        warm = {
            member.node: member
            for member in members
            if member.target_version == target
            and now - self._targets_seen[member.node, target] >= WARM_UP_S
        }
        count = max(int(len(stable) * self._trial_share), 1)
        chosen = [warm[node] for node in rank(service, warm)[:count]]
        return [
            member
            for member in chosen
            if member.domain not in self.unreachable_domains
        ]


def _of_versions(
    members: Sequence[Member], versions: Collection[str]
) -> Sequence[Member]:
    found = [member for member in members if member.target_version in versions]
    return members if len(found) == len(members) else found


def _find_serving(step: Step, present: Collection[str]) -> Collection[str]:
    """Return the versions that requests go to by a step.

    Args:
        step: The step.
        present: The versions of the targets.
    """
    target = step.order.target_version
    if step.phase in {Phase.SHIFT, Phase.COMPLETED}:
        return {target}
    if step.old_versions:
        return step.old_versions
    if step.is_trial:
        return {target}
    # No version is on record: any is better than one that was rolled back.
    return {
        version
        for version in present
        if version != target or step.phase == Phase.ESTABLISHED
    }
