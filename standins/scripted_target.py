"""In-memory targets whose behaviour a test scripts."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from filbertdrift import http1
from filbertdrift.errors import PeerUnavailable
from filbertdrift.platform.headers import HEADERS
from filbertdrift.target import (
    Exchange,
    OnHead,
    Target,
    TargetRequest,
    ignore_head,
)

CONNECT_DELAY_S = 0.001
CONNECT_TIMEOUT_S = 1.0
FOREVER_S = 3600.0
LIMIT_HEADER = b'server-limit'
LEAVING_HEADER = b'server-leaving'


@dataclass
class TargetScript:
    """Behaviour of an in-memory target, and what it counts.

    Args:
        work_s: Time that a request takes.
        connect_s: Time that a connection takes.
        slots: Number of slots in the target's heartbeats.
        is_up: Whether connections are accepted.
        failure_share: Share of requests that fail.
        failure_status: The status of their responses.
        lost_share: Share of requests that run and whose response never comes.
        refuses: Whether requests are refused with 503 and marked as not run.
        is_other_instance: Whether requests are refused with 421, as by another
            instance at the address.
        stray_responses: Number of responses of another request that precede
            the response of each request (desynchronised connection).
        has_signature: Whether responses carry the response signature.
        encoding: Content encoding of responses, empty for none.
        truncates: Whether response bodies end early.
        crashes_on: Part of the path of requests that crash the target.
        running: Number of requests that run now.
        max_running: Largest number of requests that ran at once.
        cancelled: Number of requests whose caller gave up.
        arrivals: Number of requests received.
        runs: Number of executions by request id.
        deadlines_ms: Deadline header of each request received.
        run_times: Start time of each execution.
        limit: The limit on the rate of requests that responses state,
            None for no header.
        load: The load header of responses, empty for none.
        is_leaving: Whether responses state that the target leaves.
        large_bytes: Size of the responses to paths with 'large'.
        is_healthy: The result of a probe of the running target.
        arrival_times: When each request arrived.
        probe_times: When each probe arrived.
    """

    work_s: float = 0.02
    connect_s: float = CONNECT_DELAY_S
    slots: int = 8
    is_up: bool = True
    failure_share: float = 0.0
    failure_status: int = 500
    lost_share: float = 0.0
    refuses: bool = False
    is_other_instance: bool = False
    stray_responses: int = 0
    has_signature: bool = True
    encoding: str = ''
    truncates: bool = False
    crashes_on: str = ''
    running: int = 0
    max_running: int = 0
    cancelled: int = 0
    arrivals: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    deadlines_ms: list[int] = field(default_factory=list)
    run_times: list[float] = field(default_factory=list)
    limit: str | None = None
    load: str = ''
    is_leaving: bool = False
    large_bytes: int = 0
    is_healthy: bool = True
    arrival_times: list[float] = field(default_factory=list)
    probe_times: list[float] = field(default_factory=list)


class ScriptedTarget(Target):
    """An in-memory target that behaves as scripted.

    Args:
        address: Its address.
        script: Its behaviour.
        rng: Random source that selects the requests that fail.
    """

    def __init__(
        self,
        address: str,
        script: TargetScript,
        rng: random.Random,
    ) -> None:
        self.address = address
        self.script = script
        self.rng = rng

    async def open_exchange(self, request: TargetRequest) -> Exchange:
        """Open an exchange.

        Raises:
            PeerUnavailable: The target is down.
        """
        await asyncio.sleep(self.script.connect_s)
        if not self.script.is_up:
            raise PeerUnavailable('refused', step='connect to target')
        return ScriptedExchange(self, request)

    async def is_up(self) -> bool:
        """Return whether the target is up.

        A target that is down times out, like a host that drops packets.
        """
        if not self.script.is_up:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
        return self.script.is_up

    async def check_health(
        self, probe_path: str, on_head: OnHead = ignore_head
    ) -> bool:
        """Return whether the target is up."""
        if not self.script.is_up:
            return False
        self.script.probe_times.append(asyncio.get_running_loop().time())
        on_head(_response(200, '', self.script))
        return self.script.is_healthy

    def close(self) -> None:
        """Do nothing: there are no connections."""


class ScriptedExchange(Exchange):
    """One request to a scripted target and its response."""

    def __init__(self, target: ScriptedTarget, request: TargetRequest) -> None:
        self.connected_at = asyncio.get_running_loop().time()
        self._script = target.script
        self._rng = target.rng
        self._request = request
        self._body_sent = asyncio.Event()
        self._is_refused = False
        self._stray_responses_left = self._script.stray_responses

    async def send_head(self) -> None:
        """Record the arrival and, unless refused, the execution."""
        script = self._script
        script.arrivals += 1
        script.arrival_times.append(asyncio.get_running_loop().time())
        self._is_refused = script.refuses or script.is_other_instance
        deadline = http1.find_header(self._request.headers, HEADERS.deadline_ms)
        script.deadlines_ms.append(int(deadline))
        if not self._is_refused:
            script.runs[self._request_id()] += 1
            script.run_times.append(asyncio.get_running_loop().time())
        if self._request.is_whole:
            self._body_sent.set()

    async def send_body(self, chunk: bytes, *, end: bool) -> None:
        """Record the end of the body."""
        if end:
            self._body_sent.set()

    async def head(self) -> http1.ResponseHead:
        """Run or refuse the request and return the head of its response.

        Raises:
            PeerUnavailable: The target crashed.
        """
        if self._stray_responses_left:
            self._stray_responses_left -= 1
            return _response(200, 'another-request', self._script)
        if self._script.is_other_instance:
            return _response(421, self._request_id(), self._script)
        if self._is_refused:
            head = _response(503, self._request_id(), self._script)
            head.headers.append((HEADERS.not_run, b'1'))
            return head
        await self._body_sent.wait()
        await self._work()
        status = 200
        if self._rng.random() < self._script.failure_share:
            status = self._script.failure_status
        return _response(status, self._request_id(), self._script)

    def forbid_reuse(self) -> None:
        """Do nothing: there is no connection."""

    def buffered_part(self) -> http1.BodyPart:
        """Return the whole body, or an empty part if it is truncated."""
        if self._script.truncates:
            return http1.BodyPart(b'', end=False)
        if self._script.large_bytes and 'large' in self._request.path:
            return http1.BodyPart(bytes(self._script.large_bytes), end=True)
        return http1.BodyPart(b'whole', end=True)

    async def part(self) -> http1.BodyPart:
        """Fail: only truncated bodies are read beyond the buffered part.

        Raises:
            MessageTruncated: Always.
        """
        raise http1.MessageTruncated('cut short', step='read body')

    def close(self) -> None:
        """Do nothing: there is no connection."""

    def _request_id(self) -> str:
        return http1.find_header(self._request.headers, HEADERS.request_id)

    async def _lose_response(self) -> None:
        share = self._script.lost_share
        if share and self._rng.random() < share:
            await asyncio.sleep(FOREVER_S)

    async def _work(self) -> None:
        script = self._script
        script.running += 1
        script.max_running = max(script.max_running, script.running)
        try:
            if script.crashes_on and script.crashes_on in self._request.path:
                script.is_up = False
                raise PeerUnavailable('reset', step='await target')
            await asyncio.sleep(script.work_s)
            await self._lose_response()
            if not script.is_up:
                raise PeerUnavailable('reset', step='await target')
        except asyncio.CancelledError:
            script.cancelled += 1
            raise
        finally:
            script.running -= 1


def _response(
    status: int,
    request_id: str,
    script: TargetScript,
) -> http1.ResponseHead:
    headers = [
        (b'content-length', b'5'),
        (HEADERS.request_id, request_id.encode()),
    ]
    if script.has_signature:
        headers.append((HEADERS.seal, b'seal'))
    if script.encoding:
        headers.append((b'content-encoding', script.encoding.encode()))
    if script.limit is not None:
        headers.append((LIMIT_HEADER, script.limit.encode()))
    if script.load:
        headers.append((HEADERS.load, script.load.encode()))
    if script.is_leaving:
        headers.append((LEAVING_HEADER, b'1'))
    return http1.ResponseHead(status, headers, keep_alive=True)
