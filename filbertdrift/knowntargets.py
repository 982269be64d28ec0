"""What this node has heard of the targets that it sends requests to.

The node beside a target keeps its limit and notices that it leaves. If that
node restarts it knows neither, so the others tell it with their requests.
"""

from collections.abc import Collection

from filbertdrift.gen import ttypes


class KnownTargets:
    """The latest notice of each target, by the node beside it."""

    def __init__(self) -> None:
        """Start without notices."""
        self._notices: dict[str, ttypes.TargetNotice] = {}

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

    def record_departure(self, node: str, instance: str, born_ms: int) -> None:
        """Record that a target has left, as the node beside it announced.

        Args:
            node: The node.
            instance: Instance id of the target.
            born_ms: Latest start of the incarnations that have left, in Unix
                milliseconds.
        """
        self._notices[node] = ttypes.TargetNotice(
            instance, born_ms, self.find_limit(node), is_leaving=True
        )

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
