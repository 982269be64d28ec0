"""Names of the HTTP headers on the platform."""

from filbertdrift.contract import HeaderNames

# The platform calls a target "server" or "backend".
HEADERS = HeaderNames(
    # Identifies the request: nodes keep it when they retry.
    request_id=b'attempt-id',
    deadline_ms=b'deadline-ms',
    expected_instance=b'expect-instance',
    caller_service=b'caller-service',
    seal=b'server-seal',
    not_run=b'not-executed',
    load=b'backend-load',
    instance=b'instance-id',
    rate_limit=b'server-limit',
    leaving=b'server-leaving',
    api_key=b'api-key',
    client_account=b'tenant',
)
