"""What a request is likely to cost: the interface of cost models."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class RequestFeatures:
    """What is known of a request before it runs.

    Args:
        route: The name of its route.
        method: The HTTP method, in upper case.
        path_shape: The path and query without the parts that differ between
            requests of one shape, such as ids.
        body_bytes: Length of the body as far as it is known, 0 for none.
        account: The client account, empty if there is none.
        caller: The service of the target beside the ingress.
    """

    route: str
    method: str = ''
    path_shape: str = ''
    body_bytes: int = 0
    account: str = ''
    caller: str = ''


@dataclass(frozen=True, slots=True)
class CostEstimate:
    """The expected service time of a request at a target of usual speed.

    Args:
        mean_s: The mean.
        high_s: The time that nine in ten requests with its features take at
            most.
    """

    mean_s: float
    high_s: float


class CostSource(Protocol):
    """Estimates the cost of requests from the service times of earlier ones."""

    def estimate(self, features: RequestFeatures) -> CostEstimate:
        """Return the expected service time of a request."""

    def remaining_s(self, features: RequestFeatures, elapsed_s: float) -> float:
        """Return what a request is expected to need after it ran a while.

        Args:
            features: What was known of it before.
            elapsed_s: How long it has run.
        """

    def record(self, features: RequestFeatures, service_time_s: float) -> None:
        """Record the service time of a request that has ended.

        Args:
            features: What was known of it before.
            service_time_s: How long the target ran it.
        """
