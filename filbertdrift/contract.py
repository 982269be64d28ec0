"""HTTP headers of a platform's callers and targets.

Their names differ between platforms, their meaning does not. Each platform
adapter defines one set of names.
"""

import re
from dataclasses import dataclass

from loguru import logger

from filbertdrift import http1

# In milliseconds it fits the messages between nodes.
MAX_TIMEOUT_S = 86_400.0
MAX_LOGGED_CHARS = 40

_DECIMAL = re.compile(r'\d{1,9}(\.\d{1,9})?', re.ASCII)
_IS_LEAVING = '1'


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
        load: Running requests, waiting requests and slots of the target and,
            of some, how long work takes there in percent of the usual.
        instance: Instance id of the target, in responses to health checks.
        rate_limit: Requests a second that the target takes from all nodes
            together, for as long as its responses state it.
        leaving: Stated by a target that accepts no new requests.
        api_key: The caller's key; it ends at the ingress node.
        client_account: The account of the key, for the target.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_instance: bytes
    caller_service: bytes
    seal: bytes
    not_run: bytes
    load: bytes
    instance: bytes
    rate_limit: bytes
    leaving: bytes
    api_key: bytes
    client_account: bytes

    def reserved_headers(self) -> frozenset[bytes]:
        """Return the headers that only nodes set; a caller's are dropped."""
        return frozenset(
            (self.deadline_ms, self.expected_instance, self.caller_service),
        )

    def account_headers(self) -> frozenset[bytes]:
        """Return the headers that are dropped where there are accounts."""
        return frozenset((self.api_key, self.client_account))


@dataclass(frozen=True, slots=True)
class TargetStatement:
    """What a target states of itself with a response.

    Args:
        limit_per_s: Requests a second that it takes from all nodes together,
            None if it states no limit.
        is_leaving: It accepts no new requests.
        load: Its load header as it came, empty if absent.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    load: str = ''


def parse_statement(
    headers: http1.Headers, names: HeaderNames
) -> TargetStatement:
    """Return what a response states of its target.

    A limit that is no decimal number counts as none.

    Args:
        headers: The response's headers.
        names: Names of the platform's headers.
    """
    is_leaving = http1.find_header(headers, names.leaving) == _IS_LEAVING
    load = http1.find_header(headers, names.load)
    if not any(name == names.rate_limit for name, _ in headers):
        return TargetStatement(is_leaving=is_leaving, load=load)
    text = http1.find_header(headers, names.rate_limit).strip()
    if _DECIMAL.fullmatch(text):
        return TargetStatement(float(text), is_leaving, load)
    logger.bind(event='target_limit_malformed').warning(
        'a target states a limit that is no number: {!r}',
        text[:MAX_LOGGED_CHARS],
    )
    return TargetStatement(is_leaving=is_leaving, load=load)


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
