"""Idempotency keys: a request runs at most once, retries get its response."""

from filbertdrift import http1
from filbertdrift.claims import (
    MAX_STORED_BODY_BYTES,
    Claims,
    ClaimUnavailable,
    claim_key,
)
from filbertdrift.errors import RequestNotRun
from filbertdrift.forward import Forwarder
from filbertdrift.gen import ttypes
from filbertdrift.request import IngressRequest, Response
from filbertdrift.snapshot import Route, Snapshot

KEY_HEADER = b'idempotency-key'
REPLAYED_HEADER = b'x-filbertdrift-replayed'
CONTENT_TYPE = b'content-type'
CONFLICT_RETRY_AFTER_MS = 1000
UNAVAILABLE_RETRY_AFTER_MS = 500

STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409


class StoredResponse(Response):
    """The response to an earlier request with the key, stored in the log.

    Args:
        holder: The log entry with the response.
    """

    def __init__(self, holder: ttypes.ClaimEntry) -> None:
        """Read status, content type and body from the entry."""
        self.status = holder.status
        self.headers = [
            (CONTENT_TYPE, (holder.content_type or '').encode('latin-1')),
            (REPLAYED_HEADER, b'true'),
        ]
        self.first_part = http1.BodyPart(holder.body or b'', end=True)

    async def part(self, stall_s: float) -> http1.BodyPart:
        """Return the end of the body; the first part has all of it."""
        return http1.BodyPart(b'', end=True)

    def close(self) -> None:
        """Do nothing."""


class RecordedResponse(Response):
    """The response to a claimed request, recorded for retries as it streams.

    Args:
        response: The response of the target.
        claims: Stores the response.
        claim: The claim that was granted.
    """

    def __init__(
        self,
        response: Response,
        claims: Claims,
        claim: ttypes.ClaimEntry,
    ) -> None:
        """Start with the first part."""
        self.status = response.status
        self.headers = response.headers
        self.first_part = response.first_part
        self._response = response
        self._claims = claims
        self._claim = claim
        self._body = b''
        self._is_complete = False
        self._record_part(response.first_part)

    async def part(self, stall_s: float) -> http1.BodyPart:
        """Return the next part of the body."""
        part = await self._response.part(stall_s)
        self._record_part(part)
        return part

    def close(self) -> None:
        """End the call and store the response."""
        self._response.close()
        is_stored = (
            self._is_complete and len(self._body) <= MAX_STORED_BODY_BYTES
        )
        self._claims.complete(
            self._claim,
            self.status,
            self._body if is_stored else None,
            http1.find_header(self.headers, CONTENT_TYPE),
        )

    def _record_part(self, part: http1.BodyPart) -> None:
        if len(self._body) <= MAX_STORED_BODY_BYTES:
            self._body += part.chunk
        self._is_complete = part.end


class KeyedForwarder:
    """Forwards requests, those with an idempotency key at most once.

    Args:
        forwarder: Forwards a request.
        claims: Decides which request runs for a key.
    """

    def __init__(self, forwarder: Forwarder, claims: Claims) -> None:
        """Store the forwarder and the claims."""
        self._forwarder = forwarder
        self._claims = claims

    async def forward(
        self,
        snapshot: Snapshot,
        route: Route,
        req: IngressRequest,
    ) -> Response:
        """Return the response to a request.

        Args:
            snapshot: The configuration that the request is routed with.
            route: Its route.
            req: The request.

        Raises:
            RequestNotRun: This request was certainly not run.
            RequestUnknown: It may have run.
        """
        key = http1.find_header(req.headers, KEY_HEADER)
        if not key and route.policy.key_required:
            raise RequestNotRun(
                'this route requires an Idempotency-Key header',
                retry_after_ms=0,
                step='claim',
                status=STATUS_BAD_REQUEST,
            )
        if not key or not route.policy.key_honoured:
            return await self._forwarder.forward(snapshot, route, req)
        return await self._forward_once(snapshot, route, req, key)

    async def _forward_once(
        self,
        snapshot: Snapshot,
        route: Route,
        req: IngressRequest,
        key: str,
    ) -> Response:
        request = f'{req.method} {req.path}\n'.encode() + req.first_chunk
        wanted = claim_key(req.client_account, route.name, key, request)
        try:
            holder = await self._claims.claim(wanted, req.deadline)
        except ClaimUnavailable as exc:
            raise RequestNotRun(
                f'the key cannot be claimed now: {exc.reason}',
                retry_after_ms=UNAVAILABLE_RETRY_AFTER_MS,
                step='claim',
            ) from exc
        if not holder.is_granted:
            return _replay(holder.entry, wanted.fingerprint, req.client_account)
        try:
            response = await self._forwarder.forward(snapshot, route, req)
        except Exception as exc:
            if isinstance(exc, RequestNotRun) or not req.may_have_run:
                await self._claims.release(holder.entry)
            raise
        return RecordedResponse(response, self._claims, holder.entry)


def _replay(
    holder: ttypes.ClaimEntry,
    fingerprint: str,
    client_account: str,
) -> Response:
    if holder.fingerprint != fingerprint:
        raise _conflict('this key came with another request before')
    if holder.kind != ttypes.ClaimKind.DONE:
        raise _conflict(
            'an earlier request with this key is running or ended unknown; '
            'this one was not run',
        )
    if holder.body is None or not client_account:
        raise _conflict(
            f'an earlier request with this key was answered with status '
            f'{holder.status}; this one was not run',
        )
    return StoredResponse(holder)


def _conflict(reason: str) -> RequestNotRun:
    return RequestNotRun(
        reason,
        retry_after_ms=CONFLICT_RETRY_AFTER_MS,
        step='claim',
        status=STATUS_CONFLICT,
    )
