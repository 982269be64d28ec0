"""What a node knows of the roll-out of one service."""

import random
from dataclasses import dataclass, field

from filbertdrift.rollouts.steps import NO_STEP, Order, Step

LONG_AGO = float('-inf')


@dataclass(slots=True)
class ServiceState:
    """The newest step of a service at this node, and its own requests.

    Args:
        credit: Attempts at the new version that this node may make now. It
            starts between 0 and 1, so that the sum over many nodes with few
            requests each is as it should be.
        step: The newest step, None if none is known.
        ordered_at: When its order was read, on the loop's clock.
        permitted_at: When use of the new version was last permitted.
        denied_at: When it was last denied. Permissions that were asked for
            before do not count, whenever they arrive.
        requests: Requests to the service since the trial began.
        exposed: Attempts at targets of the new version since then.
        in_progress: Attempts that have not ended, by version of the target.
        order: The newest order known, if no step answers it yet.
        order_read_at: When that order was read.
    """

    credit: float
    step: Step | None = None
    ordered_at: float = LONG_AGO
    permitted_at: float = LONG_AGO
    denied_at: float = LONG_AGO
    requests: int = 0
    exposed: int = 0
    in_progress: dict[str, int] = field(default_factory=dict)
    order: Order | None = None
    order_read_at: float = LONG_AGO

    @property
    def number(self) -> int:
        """Return the number of the newest step."""
        return self.step.number if self.step else NO_STEP

    def adopt(self, step: Step, ordered_at: float) -> bool:
        """Adopt a step if it is newer.

        Args:
            step: The step.
            ordered_at: When its order was read, as far as is known.

        Returns:
            True if it was adopted.
        """
        before = self.step
        if before is not None and step.number <= before.number:
            if step.number == before.number:
                self.ordered_at = min(self.ordered_at, ordered_at)
            return False
        self.step = step
        if before is None or before.trial_number != step.trial_number:
            self.requests = 0
            self.exposed = 0
            self.permitted_at = LONG_AGO
            self.ordered_at = ordered_at
        else:
            self.ordered_at = min(self.ordered_at, ordered_at)
        if self.order and not self.order.is_newer(step.order):
            self.order = None
        return True

    def record_order(self, order: Order, read_at: float) -> bool:
        """Keep an order that is newer than what is known.

        Returns:
            True if it was not known.
        """
        if self.step and not order.is_newer(self.step.order):
            return False
        if self.order and not order.is_newer(self.order):
            if order.is_same(self.order):
                self.order_read_at = min(self.order_read_at, read_at)
            return False
        self.order = order
        self.order_read_at = read_at
        return True

    def record_reply(self, asked_at: float, *, is_permitted: bool) -> None:
        """Record whether the driver permits use of the new version.

        Args:
            asked_at: When the report that it answers was sent.
            is_permitted: Whether it does.
        """
        if not is_permitted:
            self.denied_at = max(self.denied_at, asked_at)
            self.permitted_at = LONG_AGO
        elif asked_at > self.denied_at:
            self.permitted_at = max(self.permitted_at, asked_at)

    def old_in_progress(self) -> int:
        """Return the attempts in progress at other versions."""
        if self.step is None:
            return sum(self.in_progress.values())
        target = self.step.order.target_version
        return sum(
            count
            for version, count in self.in_progress.items()
            if version != target
        )


def new_state(rng: random.Random) -> ServiceState:
    """Return the state of a service of which nothing is known."""
    return ServiceState(rng.random())
