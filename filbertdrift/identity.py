"""Who a node is and where it runs."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Identity:
    """Where a node is.

    Args:
        address: Its address for other nodes.
        domain: Its failure domain.
        region: Its region.
        generation: Grows with each start.
    """

    address: str
    domain: str
    region: str
    generation: int
