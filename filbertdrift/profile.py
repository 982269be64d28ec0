"""Settings profiles: what a node spends for control and what it gets."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Profile:
    """How often and how widely a node talks for control.

    Args:
        heartbeat_s: Time between two pings of members of the own domain.
        domain_ping_s: Time between two pings of members of other domains.
        fanout: Members of the own domain that get a notice at once.
        far_fanout: Members of other domains that get a notice at once.
        pushes_records: Notices carry the record, so nobody has to ask.
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
