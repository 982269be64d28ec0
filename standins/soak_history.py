"""What happened in a soak test, and which of it breaks a guarantee.

Bounds in time hold for an instance only while it is undisturbed: no fault was
injected into it within the last STABILITY_S.
"""

import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from standins.platform_target import Arrival, RunLog

STABILITY_S = 3.0
# How long after its caller has left a request may reach a target.
LEAVE_S = 0.5
# More requests than these must not.
MAX_LATE_ARRIVALS = 3
# A target may get requests for this long after its acknowledged departure.
DRAIN_S = 2.0
# From STABILITY_S after a target has first stated a limit, it gets at most this
# multiple of it, and so many more requests, within any window.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
# The node has started again since the departure, and the store, which keeps the
# record of it, had a fault meanwhile.
FORGOTTEN_DEPARTURE = 'got work after a departure that its node had not read'


@dataclass(frozen=True, slots=True)
class Departure:
    """A client that closed its connection before the response.

    Args:
        ingress: Name of the instance that it was connected to.
        at: When it left, in monotonic time.
    """

    ingress: str
    at: float


@dataclass(slots=True)
class Disturbance:
    """A fault of an instance.

    Args:
        since: Begin in monotonic time.
        until: End, infinity while it lasts.
        is_harmful: Whether it is more than planned work or a fault of the
            store.
    """

    since: float
    until: float = float('inf')
    is_harmful: bool = True


@dataclass
class SoakHistory:
    """Faults by instance, and how requests ended for their clients.

    Args:
        disturbed: Faults of each instance.
        interrupted: Begin and end of the restarts and freezes of each
            instance.
        departures: Clients that left, by request id.
        cut: Instances by the id of requests whose connection ended without a
            response, and when the request was sent and cut.
        refused: Ids of requests that were refused as not run.
        ingress: Name of the instance that each request was sent to, by its id.
        starts: When processes of each instance were started again.
        store_faults: Faults of the store, or of the way to it. One that ends
            with an older copy begins with the copy.
    """

    disturbed: dict[str, list[Disturbance]] = field(default_factory=dict)
    interrupted: dict[str, list[tuple[float, float]]] = field(
        default_factory=dict
    )
    departures: dict[str, Departure] = field(default_factory=dict)
    cut: dict[str, tuple[str, float, float]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    ingress: dict[str, str] = field(default_factory=dict)
    starts: dict[str, list[float]] = field(default_factory=dict)
    store_faults: list[Disturbance] = field(default_factory=list)

    def disturb(self, instance: str, disturbance: Disturbance) -> None:
        """Record a fault of an instance."""
        self.disturbed.setdefault(instance, []).append(disturbance)

    def interrupt(self, instance: str, since: float) -> None:
        """Record a restart or freeze of an instance that ends now."""
        span = (since, time.monotonic())
        self.interrupted.setdefault(instance, []).append(span)

    def is_disturbed(
        self,
        instance: str,
        since: float,
        until: float,
        *,
        harmful_only: bool = False,
    ) -> bool:
        """Return whether an instance had a fault in a span of time.

        Args:
            instance: Its name.
            since: Begin of the span; STABILITY_S before it count too.
            until: End of the span.
            harmful_only: Ignore planned work and faults of the store.
        """
        return any(
            fault.since <= until and fault.until >= since - STABILITY_S
            for fault in self.disturbed.get(instance, ())
            if fault.is_harmful or not harmful_only
        )

    def violations(self, log: RunLog) -> Iterator[str]:
        """Yield what broke a guarantee.

        Args:
            log: What the targets received and ran.
        """
        yield from _repeated(log)
        yield from self._refused_and_run(log)
        yield from self._cut_and_run(log)
        yield from self._late_arrivals(log)
        yield from self._after_departure(log)
        yield from self._after_statement(log)
        yield from self._over_limits(log)

    def _after_departure(self, log: RunLog) -> Iterator[str]:
        for arrival in log.arrivals:
            left_at = log.acknowledged.get(arrival.instance)
            if left_at is None or arrival.at <= left_at + DRAIN_S:
                continue
            if self._is_forgotten(arrival, left_at):
                yield f'{arrival.instance} {FORGOTTEN_DEPARTURE}'
            else:
                yield f'{arrival.instance} got work after it had left'

    def _is_forgotten(self, arrival: Arrival, left_at: float) -> bool:
        """Return whether a node could not read a departure after its start.

        Args:
            arrival: A request that arrived after the departure.
            left_at: When the departure was acknowledged.
        """
        has_started = any(
            left_at < start <= arrival.at
            for start in self.starts.get(arrival.owner, ())
        )
        return has_started and any(
            fault.since <= arrival.at and fault.until >= left_at
            for fault in self.store_faults
        )

    def _after_statement(self, log: RunLog) -> Iterator[str]:
        """Yield instances that got work after they stated that they leave."""
        for arrival in log.arrivals:
            stated_at = log.stated_leaving.get(arrival.instance)
            if stated_at is None or arrival.at <= stated_at + DRAIN_S:
                continue
            if not self._is_excused(arrival, stated_at):
                yield f'{arrival.instance} got work after it had stated leaving'

    def _over_limits(self, log: RunLog) -> Iterator[str]:
        for limit in log.limits:
            times = sorted(
                arrival.at
                for arrival in log.arrivals
                if arrival.instance == limit.instance
                and limit.since - LIMIT_WINDOW_S < arrival.at <= limit.until
                and not self._is_excused(arrival, limit.since)
            )
            allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit.per_s + LIMIT_EXTRA
            # What was sent before anybody knew of the limit does not count.
            before = sum(at <= limit.since for at in times)
            most = _most_in_window(times[before:], limit.since + STABILITY_S)
            if most > allowed:
                yield (
                    f'{limit.instance} got {most} requests in '
                    f'{LIMIT_WINDOW_S:g} s; its limit of {limit.per_s:g} '
                    f'allows {allowed:g}'
                )

    def _is_excused(self, arrival: Arrival, since: float) -> bool:
        """Return whether the ingress of a request forgot what it was told."""
        ingress = self.ingress.get(arrival.request_id)
        return ingress is None or any(
            begin <= arrival.at and end >= since
            for begin, end in self.interrupted.get(ingress, ())
        )

    def _refused_and_run(self, log: RunLog) -> Iterator[str]:
        for request_id in sorted(self.refused):
            if log.runs[request_id] and not request_id.startswith('read'):
                yield f'{request_id} was refused as not run and ran'

    def _cut_and_run(self, log: RunLog) -> Iterator[str]:
        """Yield requests that ran and got no response from a healthy node."""
        for request_id, (instance, sent_at, cut_at) in self.cut.items():
            is_excused = self.is_disturbed(instance, sent_at, cut_at)
            if log.runs[request_id] and not is_excused:
                yield f'{request_id} ran and {instance} cut its connection'

    def _late_arrivals(self, log: RunLog) -> Iterator[str]:
        late = []
        for arrival in log.arrivals:
            left = self.departures.get(arrival.request_id)
            if left is None or arrival.at <= left.at + LEAVE_S:
                continue
            span = (left.at, arrival.at)
            if not (
                self.is_disturbed(left.ingress, *span)
                or self.is_disturbed(arrival.owner, *span)
            ):
                late.append(arrival.request_id)
        if len(late) > MAX_LATE_ARRIVALS:
            yield f'{len(late)} requests arrived after their clients had left'


def _most_in_window(times: Sequence[float], since: float) -> int:
    """Return the most of some sorted times in a window that ends later."""
    most = 0
    start = 0
    for end, at in enumerate(times):
        while times[start] <= at - LIMIT_WINDOW_S:
            start += 1
        if at >= since:
            most = max(most, end - start + 1)
    return most


def _repeated(log: RunLog) -> Iterator[str]:
    for request_id, count in log.runs.items():
        if count > 1 and not request_id.startswith(('read', 'probe')):
            yield f'{request_id} ran {count} times'
