"""The outcomes of the last requests that entered at a node."""

from collections import OrderedDict

from pydantic import BaseModel

MAX_KEPT_REQUESTS = 2048


class RequestReport(BaseModel):
    """The outcome of one request."""

    request_id: str
    outcome: str
    reason: str
    route: str
    tried: list[str]


class RequestHistory:
    """Reports on the last requests that entered at a node.

    At most `MAX_KEPT_REQUESTS` are kept; the oldest are dropped first.
    """

    def __init__(self) -> None:
        """Create an empty history."""
        self._reports: OrderedDict[str, RequestReport] = OrderedDict()

    def add(self, report: RequestReport) -> None:
        """Add a report and drop the oldest one above the limit."""
        self._reports[report.request_id] = report
        if len(self._reports) > MAX_KEPT_REQUESTS:
            self._reports.popitem(last=False)

    def find(self, request_id: str) -> RequestReport | None:
        """Return the report on a request, None if it is not kept."""
        return self._reports.get(request_id)
