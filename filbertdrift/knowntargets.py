"""What this node has heard of the targets that it sends requests to.

The node beside a target keeps its limit and notices that it leaves. If that
node restarts it knows neither, so the others tell it with their requests, and
of a departure at once.
"""

from collections.abc import Collection

from filbertdrift.gen import ttypes
from filbertdrift.members import Member


class KnownTargets:
    """The latest notice of each target, by the node beside it."""

    def __init__(self) -> None:
        """Start without notices."""
        self._notices: dict[str, ttypes.TargetNotice] = {}
        # Departures that nodes announce, with the generation of the node.
        self._departures: dict[str, tuple[int, ttypes.TargetNotice]] = {}

    def record(self, node: str, notice: ttypes.TargetNotice | None) -> None:
        """Record what a response of a target stated.

        Args:
            node: The node beside the target.
            notice: The notice, None if it stated nothing.
        """
        if notice is None:
            self._notices.pop(node, None)
        else:
            self._notices[node] = notice

    def record_member(self, member: Member) -> ttypes.TargetNotice | None:
        """Record what a node announces of its target.

        Args:
            member: The new record of the node.

        Returns:
            What the node should be told, as it has restarted since its target
            left; None for nothing.
        """
        node = member.node
        generation, known = self._departures.pop(node, (0, None))
        announced = self._read_departure(member)
        is_unknown_there = (
            known is not None
            and member.generation > generation
            and not _covers(announced, known)
        )
        if announced is not None:
            self._departures[node] = (member.generation, announced)
            if not is_unknown_there:
                self._notices[node] = announced
        return known if is_unknown_there else None

    def find(self, node: str) -> ttypes.TargetNotice | None:
        """Return the latest notice of a node's target, None for none."""
        return self._notices.get(node)

    def find_limit(self, node: str) -> float | None:
        """Return the limit of a node's target in requests a second."""
        notice = self._notices.get(node)
        return notice.limit_per_s if notice else None

    def remove_missing(self, nodes: Collection[str]) -> None:
        """Remove the notices of members that are gone."""
        for node in set(self._notices).difference(nodes):
            self._notices.pop(node)
        for node in set(self._departures).difference(nodes):
            self._departures.pop(node)

    def _read_departure(self, member: Member) -> ttypes.TargetNotice | None:
        if not member.departed_instance:
            return None
        return ttypes.TargetNotice(
            member.departed_instance,
            member.departed_born_ms,
            self.find_limit(member.node),
            is_leaving=True,
        )


def _covers(
    announced: ttypes.TargetNotice | None, known: ttypes.TargetNotice
) -> bool:
    """Return whether a node that announces a departure knows of a known one.

    A node that has restarted announces an older one if the log came back from
    an older copy.
    """
    if announced is None:
        return False
    if announced.instance == known.instance:
        return announced.born_ms >= known.born_ms
    return announced.born_ms > known.born_ms
