"""Identity of a node."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Identity:
    """Address, location and generation of a node.

    Args:
        address: Its address for other nodes.
        domain: Its failure domain.
        region: Its region.
        generation: Increases with every start.
    """

    address: str
    domain: str
    region: str
    generation: int
