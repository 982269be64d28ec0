"""Search of a request for a free slot among the gates of a service."""


class SlotSearch:
    """Search of one request for a free slot, before it may queue.

    In a large fleet, the loads that an ingress node has received are stale.
    So a request is first sent, without permission to queue, to gates that
    seem to have a free slot. After the search, it queues at the target that
    then looks best.

    Args:
        most: How many busy gates end the search.

    Attributes:
        excluded: Nodes that the request must not be sent to.
        is_over: The request may queue.
    """

    def __init__(self, most: int) -> None:
        """Start without attempts."""
        self.excluded: list[str] = []
        self.is_over = most == 0
        self._max_gates = most
        self._busy_nodes: list[str] = []

    @property
    def is_continued(self) -> bool:
        """Return whether a gate was busy and the search is not over."""
        return bool(self._busy_nodes) and not self.is_over

    def record_busy(self, node: str) -> None:
        """Record that a node has no free slot."""
        self._busy_nodes.append(node)
        if len(self._busy_nodes) >= self._max_gates:
            self.end()

    def end(self) -> None:
        """Let the request queue, also at gates that were busy."""
        self.is_over = True
        self.excluded = [
            node for node in self.excluded if node not in self._busy_nodes
        ]
