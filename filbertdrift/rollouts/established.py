"""Which versions of a service serve without an order, by what a node sees."""

from collections.abc import Collection, Mapping, Sequence

from filbertdrift.members import Member

# Targets send a heartbeat every 1.5 s, one of which may be lost. Versions that
# a node sees first within this time may have been there all along.
FIRST_SIGHT_S = 2.5


def find_established(
    seen: Mapping[str, float],
    members: Sequence[Member],
    excluded: Collection[str] = (),
) -> tuple[str, ...]:
    """Return the version that serves without an order.

    Versions that came later than the first ones wait for an order. Of several
    that may have been there all along it is the one with most targets, the
    lowest of several.

    Args:
        seen: When each version was seen first, in seconds.
        members: The targets of the service.
        excluded: Versions that are none of them.

    Returns:
        Empty if the service has no target of another version.
    """
    versions = [
        member.target_version
        for member in members
        if member.target_version in seen
        and member.target_version not in excluded
    ]
    if not versions:
        return ()
    first_at = min(seen[version] for version in versions)
    early = {
        version
        for version in versions
        if seen[version] <= first_at + FIRST_SIGHT_S
    }
    return (min(early, key=lambda text: (-versions.count(text), text)),)
