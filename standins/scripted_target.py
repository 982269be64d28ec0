"""Targets in memory that follow a script."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from filbertdrift import http1
from filbertdrift.errors import PeerUnavailable
from filbertdrift.platform.headers import HEADERS
from filbertdrift.target import Exchange, Target, TargetRequest

HANDSHAKE_S = 0.001
CONNECT_TIMEOUT_S = 1.0


@dataclass
class TargetScript:
    """How a memory target behaves, and what it did.

    Args:
        work_s: Time it works on a request.
        slots: Requests it runs at a time without slowing down.
        is_up: It accepts connections.
        fails_share: Share of requests that it answers with status 500.
        refuses: It says that it did not run what it is sent.
        strays: Answers of other requests that come before its own.
        has_seal: Its answers are marked as its own.
        encoding: A content encoding that it claims.
        truncates: It breaks off within the body.
        crashes_on: A part of the path of requests that crash it.
    """

    work_s: float = 0.02
    slots: int = 8
    is_up: bool = True
    failure_share: float = 0.0
    refuses: bool = False
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


class ScriptedTarget(Target):
    """A target in memory that follows a script.

    Args:
        address: Its address.
        script: How it behaves.
        rng: Draws which requests fail.
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
        """Return an exchange unless the target is down."""
        await asyncio.sleep(HANDSHAKE_S)
        if not self.script.is_up:
            raise PeerUnavailable('refused', step='connect to target')
        return ScriptedExchange(self, request)

    async def is_up(self) -> bool:
        """Tell whether the target is up; one that is dark takes its time."""
        if not self.script.is_up:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
        return self.script.is_up

    async def check_health(self, probe_path: str) -> bool:
        """Tell whether the target is up."""
        return self.script.is_up

    def close(self) -> None:
        """Do nothing: there are no connections."""


class ScriptedExchange(Exchange):
    """One request to a scripted target."""

    def __init__(self, target: ScriptedTarget, request: TargetRequest) -> None:
        self._script = target.script
        self._rng = target.rng
        self._request = request
        self._sent = asyncio.Event()
        self._is_refused = False
        self._strays_left = self._script.stray_responses

    async def send_head(self) -> None:
        """Note the arrival."""
        script = self._script
        script.arrivals += 1
        self._is_refused = script.refuses
        deadline = http1.find_header(self._request.headers, HEADERS.deadline_ms)
        script.deadlines_ms.append(int(deadline))
        if not script.refuses:
            script.runs[self._request_id()] += 1
            script.run_times.append(asyncio.get_running_loop().time())
        if self._request.is_whole:
            self._sent.set()

    async def send_body(self, chunk: bytes, *, end: bool) -> None:
        """Note the end of the body."""
        if end:
            self._sent.set()

    async def head(self) -> http1.ResponseHead:
        """Work, then answer, refuse, fail or crash."""
        if self._strays_left:
            self._strays_left -= 1
            return _response(200, 'another-request', self._script)
        if self._is_refused:
            head = _response(503, self._request_id(), self._script)
            head.headers.append((HEADERS.not_run, b'1'))
            return head
        await self._sent.wait()
        await self._work()
        status = 200
        if self._rng.random() < self._script.failure_share:
            status = 500
        return _response(status, self._request_id(), self._script)

    def forbid_reuse(self) -> None:
        """Do nothing: there is no connection."""

    def buffered_part(self) -> http1.BodyPart:
        """Return the body, unless it breaks off."""
        if self._script.truncates:
            return http1.BodyPart(b'', end=False)
        return http1.BodyPart(b'whole', end=True)

    async def part(self) -> http1.BodyPart:
        """Break off."""
        raise http1.MessageTruncated('cut short', step='read body')

    def close(self) -> None:
        """Do nothing: there is no connection."""

    def _request_id(self) -> str:
        return http1.find_header(self._request.headers, HEADERS.request_id)

    async def _work(self) -> None:
        script = self._script
        script.running += 1
        script.max_running = max(script.max_running, script.running)
        try:
            if script.crashes_on and script.crashes_on in self._request.path:
                script.is_up = False
                raise PeerUnavailable('reset', step='await target')
            await asyncio.sleep(script.work_s)
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
    return http1.ResponseHead(status, headers, keep_alive=True)
