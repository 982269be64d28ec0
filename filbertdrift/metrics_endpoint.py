"""The endpoint that scrapers of metrics read."""

from collections.abc import Callable
from importlib import import_module

from filbertdrift.listener import HttpResponse
from filbertdrift.mesh import MeshNode

STATUS_OK = 200
STATUS_NOT_FOUND = 404
METRICS_PATH = '/metrics'
TEXT_FORMAT = b'text/plain; version=0.0.4; charset=utf-8'


class MetricsHandler:
    """Handles the HTTP requests of scrapers.

    The modules that render metrics are imported with the first scrape. They
    would delay the start of each node, and most nodes are never scraped.

    Args:
        node: The node whose metrics are served.
    """

    def __init__(self, node: MeshNode) -> None:
        """Set the node; nothing is collected yet."""
        self._node = node
        self._render: Callable[[], bytes] | None = None

    async def serve(self, method: str, path: str, body: bytes) -> HttpResponse:
        """Return the metrics, or status 404 for another path."""
        if path.partition('?')[0] != METRICS_PATH:
            return HttpResponse(STATUS_NOT_FOUND)
        if self._render is None:
            self._render = _build_renderer(self._node)
        return HttpResponse(STATUS_OK, self._render(), TEXT_FORMAT)


def _build_renderer(node: MeshNode) -> Callable[[], bytes]:
    metrics = import_module('filbertdrift.metrics')
    mesh_metrics = import_module('filbertdrift.mesh_metrics')
    collector = mesh_metrics.build_mesh_collector(node)
    return lambda: metrics.render_metrics(collector)
