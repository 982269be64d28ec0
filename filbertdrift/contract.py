"""What a platform's targets and callers put into headers.

The names differ between platforms; what they mean does not. An adapter makes
one contract for its platform.
"""

from dataclasses import dataclass

from filbertdrift import http1


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of headers, in lower case.

    Args:
        request_id: Names the request; targets echo it.
        deadline_ms: What is left of the caller's time, in milliseconds.
        expected_instance: A target with another id does not run the request.
        caller_service: The service beside which the request began.
        seal: Marks an answer that the target's application made.
        not_run: Marks a refusal before work.
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
        """Return the headers that nodes set, whatever a caller sent."""
        return frozenset(
            (self.deadline_ms, self.expected_instance, self.caller_service),
        )


def parse_timeout_s(headers: http1.Headers, name: bytes) -> float | None:
    """Return the caller's remaining time, None if it gave none.

    Args:
        headers: The request's headers.
        name: The deadline header.
    """
    text = http1.find_header(headers, name)
    try:
        left_s = float(text) / 1000
    except ValueError:
        return None
    return left_s if 0 <= left_s < float('inf') else None
