"""What is known of requests before they run, for the cost model."""

import re
from collections.abc import Iterable

from filbertdrift.balance.completion import CompletionChooser
from filbertdrift.balance.estimate import RequestFeatures
from filbertdrift.gen import ttypes
from filbertdrift.routed import RoutedRequest

# Longer parts of a path are ids or free text.
MAX_PART_CHARS = 24

_PART_WITH_DIGIT = re.compile(r'[^/]*\d[^/]*')
_QUERY_NUMBER = re.compile(r'\d+')
_LONG_PART = re.compile(f'[^/&=]{{{MAX_PART_CHARS},}}')


def shape_path(path: str) -> str:
    """Return a path and query without what differs between like requests.

    Parts of the path with a digit are taken for ids. Of numbers in the query
    the count of digits is kept, as they often state an amount.

    Args:
        path: The request target, query included.
    """
    path, mark, query = path.partition('?')
    shape = _LONG_PART.sub('*', _PART_WITH_DIGIT.sub('*', path))
    if not mark:
        return shape
    query = _QUERY_NUMBER.sub(_count_digits, query)
    return f'{shape}?{_LONG_PART.sub("*", query)}'


def features_of_routed(
    routed: RoutedRequest, caller: str = ''
) -> RequestFeatures:
    """Return the features of a request at its ingress.

    Args:
        routed: The request.
        caller: The service of the target beside the ingress.
    """
    req = routed.req
    return RequestFeatures(
        route=routed.route.name,
        method=req.method,
        path_shape=shape_path(req.path),
        body_bytes=len(req.first_chunk),
        account=req.client_account,
        caller=caller,
    )


def features_of_opening(
    req: ttypes.RequestOpen, caller_header: bytes
) -> RequestFeatures:
    """Return the features of a request at the node beside its target.

    Args:
        req: The opening message.
        caller_header: Name of the header with the caller's service.
    """
    return RequestFeatures(
        route=req.route_name or '',
        method=req.method or '',
        path_shape=shape_path(req.path or ''),
        body_bytes=_body_bytes(req),
        account=req.customer or '',
        caller=_find_header(req.headers or (), caller_header),
    )


def track_request(
    chooser: CompletionChooser, routed: RoutedRequest, caller: str, now: float
) -> None:
    """Have the target of a request chosen by completion, where that is on.

    Args:
        chooser: Chooses the target.
        routed: The request.
        caller: The service of the target beside the ingress.
        now: The time on the event loop's clock.
    """
    if chooser.is_on(routed.service, now):
        routed.tracker = chooser.track(
            routed.service,
            features_of_routed(routed, caller),
            routed.objective_at,
            has_large_body=routed.has_large_body,
        )


def _count_digits(match: re.Match[str]) -> str:
    return f'#{len(match.group())}'


def _body_bytes(req: ttypes.RequestOpen) -> int:
    # The body of an offer comes later; its length is in the header.
    if req.body:
        return len(req.body)
    length = _find_header(req.headers or (), b'content-length')
    return int(length) if length.isdecimal() and len(length) < 10 else 0


def _find_header(headers: Iterable[ttypes.Header], wanted: bytes) -> str:
    for header in headers:
        if header.name == wanted:
            return bytes(header.content).decode('latin-1')
    return ''
