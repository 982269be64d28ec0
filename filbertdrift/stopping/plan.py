"""The times of a planned stop, all fixed when it is ordered.

A stop is ordered with SIGTERM, and the process is killed at the end of its
grace. A request that is still unanswered shortly before gets a final response,
which is better than a connection that ends without one.
"""

from dataclasses import dataclass

# Callers and peers need this time to detect that a node is leaving.
LEAVE_PROPAGATION_S = 2.2
# Part of the grace in which requests are ended and the process exits.
RESERVED_SHARE = 1 / 6
MAX_RESERVED_S = 0.8
# The response to a request that ends at its deadline takes a moment to arrive.
RESPONSE_SLACK_S = 0.15


@dataclass(frozen=True, slots=True)
class StopPlan:
    """When the phases of a stop end, on the loop's clock.

    Args:
        unnoticed_until: Until then callers cannot know of it.
        requests_end_at: Requests that still wait get a final response.
        drained_by: Responses that are still being sent are cut.
        stopped_by: Connections are closed and tasks have ended.
        exits_by: The process exits, whatever has not ended.
    """

    unnoticed_until: float
    requests_end_at: float
    drained_by: float
    stopped_by: float
    exits_by: float

    def can_serve(self, now: float, deadline: float) -> bool:
        """Return whether to take a request.

        Until callers can know of the stop, the node takes all requests, as
        nearly all end long before their deadline. Later ones must end in time
        even if their target needs all the time they have.

        Args:
            now: When it is passed on.
            deadline: Its own deadline.
        """
        ends_in_time = deadline + RESPONSE_SLACK_S <= self.requests_end_at
        return ends_in_time or now <= self.unnoticed_until


def plan_stop(ordered_at: float, grace_s: float) -> StopPlan:
    """Return the times of a stop.

    Args:
        ordered_at: When it was ordered, on the loop's clock.
        grace_s: How long after that the process is killed.
    """
    reserved_s = min(MAX_RESERVED_S, grace_s * RESERVED_SHARE)
    killed_at = ordered_at + grace_s
    return StopPlan(
        unnoticed_until=ordered_at + min(LEAVE_PROPAGATION_S, grace_s / 2),
        requests_end_at=killed_at - reserved_s,
        drained_by=killed_at - reserved_s * 5 / 8,
        stopped_by=killed_at - reserved_s * 4 / 8,
        exits_by=killed_at - reserved_s * 3 / 8,
    )
