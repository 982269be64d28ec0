"""Names of the platform's headers."""

from filbertdrift.contract import HeaderNames

HEADERS = HeaderNames(
    request_id=b'attempt-id',
    deadline_ms=b'deadline-ms',
    expected_instance=b'expect-instance',
    caller_service=b'caller-service',
    # The platform's "server" is a target.
    seal=b'server-seal',
    not_run=b'not-executed',
    load=b'backend-load',
)
