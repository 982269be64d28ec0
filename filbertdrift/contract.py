"""HTTP headers of a platform's callers and targets.

Their names differ between platforms, their meaning does not. Each platform
adapter defines one set of names.
"""

from dataclasses import dataclass

from filbertdrift import http1

# In milliseconds it fits the messages between nodes.
MAX_TIMEOUT_S = 86_400.0


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of a platform's headers, in lower case.

    Args:
        request_id: Id of the request; targets echo it.
        deadline_ms: Time to the caller's deadline, in milliseconds.
        expected_instance: Instance id of the target; another instance does
            not run the request.
        caller_service: Service of the local target at the ingress node.
        seal: Response signature, which shows that the target's application
            made the response.
        not_run: Marks a refusal of a request that was not run.
        load: Running requests, waiting requests and slots of the target.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_instance: bytes
    caller_service: bytes
    seal: bytes
    not_run: bytes
    load: bytes

    def reserved_headers(self) -> frozenset[bytes]:
        """Return the headers that only nodes set; a caller's are dropped."""
        return frozenset(
            (self.deadline_ms, self.expected_instance, self.caller_service),
        )


def parse_timeout_s(headers: http1.Headers, name: bytes) -> float | None:
    """Return the caller's timeout, None without a valid deadline header.

    It is at most a day.

    Args:
        headers: The request's headers.
        name: The name of the deadline header.
    """
    text = http1.find_header(headers, name)
    try:
        timeout_s = float(text) / 1000
    except ValueError:
        return None
    if 0 <= timeout_s < float('inf'):
        return min(timeout_s, MAX_TIMEOUT_S)
    return None
