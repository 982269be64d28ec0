"""Profiles of control traffic: faster convergence or fewer bytes."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Profile:
    """Rate and fan-out of a node's control traffic.

    Args:
        heartbeat_s: Ping interval within the own failure domain.
        domain_ping_s: Ping interval across failure domains.
        fanout: Members of the own domain that receive a gossip message.
        far_fanout: Members of other domains that receive it.
        pushes_records: Configuration gossip carries small records, so that
            receivers need not pull them.
    """

    heartbeat_s: float
    domain_ping_s: float
    fanout: int
    far_fanout: int
    pushes_records: bool


PROFILES: Mapping[str, Profile] = {
    'convergence': Profile(
        heartbeat_s=1.0,
        domain_ping_s=1.0,
        fanout=4,
        far_fanout=1,
        pushes_records=True,
    ),
    'bytes': Profile(
        heartbeat_s=2.0,
        domain_ping_s=4.0,
        fanout=3,
        far_fanout=1,
        pushes_records=False,
    ),
}
