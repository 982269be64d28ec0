"""A server (backend) beside a node, and its heartbeats."""

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from review.standins_3.http import Message, encode, read_message
from review.standins_3.node import APP_PORT, CONTROL_PORT, Machine

HEARTBEAT_S = 1.5
CALL_TIMEOUT_S = 1.0
SLOTS = 9
QUEUE_PER_SLOT = 4
BODY = b'the bytes of the server\n'
OK = 200
FAILED = 500
UNAVAILABLE = 503
MS_PER_S = 1000


@dataclass(slots=True)
class Run:
    """A request that a server began to work on.

    Args:
        request_id: Its id.
        version: The version of the server.
        at: When it began, on the monotonic clock.
        status: The status of the response.
        work_s: How long the server works on it.
        is_bad: The response is a failure, or comes several times slower.
        bad_at: When such a response was sent, None if it was not.
    """

    request_id: str
    version: str
    at: float
    status: int
    work_s: float
    is_bad: bool = False
    bad_at: float | None = None


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with a bad version.

    Args:
        share: The share of its responses that are bad.
        times_slower: How many times slower these are, 0 for failures.
        above_running: It is bad only under load: while a server runs more
            requests than this.
    """

    share: float
    times_slower: float = 0
    above_running: int = 0


class Server:
    """A server that works on requests for a time, and responds.

    Args:
        machine: Its machine.
        record: Called with each run.
        version: The version of its program.
        fault: What is wrong with it, None for nothing.

    Attributes:
        state: The state in its heartbeats.
        work_s: How long it works on a request.
    """

    def __init__(
        self,
        machine: Machine,
        record: Callable[[Run], None],
        version: str = 'v1',
        fault: Fault | None = None,
    ) -> None:
        """Create the server; it does not listen yet."""
        self.state = 'ready'
        self.work_s = 0.02
        self.version = version
        self.machine = machine
        self.born = int(time.time() * MS_PER_S)
        self.instance = f'i-{machine.ip.replace(".", "-")}-{self.born:x}'
        self._fault = fault
        self._record = record
        self._rng = random.Random(self.instance)  # noqa: S311
        self._sequence = 0
        self._running = 0
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and begin to send heartbeats.

        Raises:
            OSError: The address is in use.
        """
        self._listener = await asyncio.start_server(
            self._serve, self.machine.ip, APP_PORT
        )
        self._task = asyncio.get_running_loop().create_task(self._send_beats())

    def stop(self) -> None:
        """End at once; what it works on gets no response."""
        if self._task:
            self._task.cancel()
        if self._listener:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def drain(self, drain_s: float) -> None:
        """Leave as planned: say so, serve on for a time, and end."""
        self.state = 'draining'
        while await self.beat() != OK:
            await asyncio.sleep(CALL_TIMEOUT_S)
        await asyncio.sleep(2 * drain_s)
        await call_node(self.machine, 'DELETE', self.instance)
        self.stop()

    async def beat(self) -> int:
        """Send one heartbeat; return the status of the response."""
        self._sequence += 1
        heartbeat = build_heartbeat(self, self._sequence)
        return await call_node(self.machine, 'PUT', self.instance, heartbeat)

    async def _send_beats(self) -> None:
        loop = asyncio.get_running_loop()
        due_at = loop.time()
        while True:
            await self.beat()
            due_at += HEARTBEAT_S
            await asyncio.sleep(max(due_at - loop.time(), 0))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(EOFError, OSError, asyncio.CancelledError):
            while True:
                req = await read_message(reader)
                if not req.is_whole:
                    break
                answer, run = await self._answer(req)
                writer.write(answer)
                await writer.drain()
                if run and run.is_bad and not writer.is_closing():
                    run.bad_at = time.monotonic()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, req: Message) -> tuple[bytes, Run | None]:
        request_id = req.headers.get('attempt-id', '')
        headers = {'Instance-Id': self.instance}
        if req.start.startswith('GET /health '):
            status = OK if self.state == 'ready' else UNAVAILABLE
            return encode(f'HTTP/1.1 {status} Status', headers), None
        if not request_id:
            headers['Not-Executed'] = '1'
            return encode('HTTP/1.1 400 Bad Request', headers), None
        headers['Attempt-Id'] = request_id
        if req.headers.get('expect-instance') not in {None, self.instance}:
            return encode('HTTP/1.1 421 Misdirected Request', headers), None
        if self._running >= SLOTS * (1 + QUEUE_PER_SLOT):
            headers['Not-Executed'] = '1'
            return encode('HTTP/1.1 503 Service Unavailable', headers), None
        run = await self._run(request_id)
        headers['Server-Seal'] = 'seal'
        return encode(f'HTTP/1.1 {run.status} Status', headers, BODY), run

    async def _run(self, request_id: str) -> Run:
        self._running += 1
        run = self._plan(request_id)
        self._record(run)
        try:
            await asyncio.sleep(run.work_s)
        finally:
            self._running -= 1
        return run

    def _plan(self, request_id: str) -> Run:
        """Decide how a request that begins now ends."""
        now = time.monotonic()
        fault = self._fault
        if fault is None or not self._is_bad(fault):
            return Run(request_id, self.version, now, OK, self.work_s)
        return Run(
            request_id,
            self.version,
            now,
            OK if fault.times_slower else FAILED,
            self.work_s * (fault.times_slower or 1),
            is_bad=True,
        )

    def _is_bad(self, fault: Fault) -> bool:
        is_odd = self._rng.random() < fault.share
        return is_odd and self._running > fault.above_running


def build_heartbeat(server: Server, sequence: int) -> dict[str, object]:
    """Return a heartbeat of a server."""
    return {
        'service': server.machine.service,
        'address': f'{server.machine.ip}:{APP_PORT}',
        'zone': 'nordkyst-a',
        'version': server.version,
        'slots': SLOTS,
        'state': server.state,
        'cold_remaining_s': 0,
        'seq': sequence,
        'born': server.born,
    }


async def call_node(
    machine: Machine,
    method: str,
    instance: str,
    document: dict[str, object] | None = None,
) -> int:
    """Call the control address of a node.

    Args:
        machine: The node's machine.
        method: The method.
        instance: The id in the path.
        document: The body, None for none.

    Returns:
        The status of the response, 0 for no response in time.
    """
    body = b'' if document is None else json.dumps(document).encode()
    start = f'{method} /instances/{instance} HTTP/1.1'
    headers = {'Host': 'control', 'Content-Type': 'application/json'}
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            return await _exchange(machine, encode(start, headers, body))
    except (OSError, EOFError, TimeoutError):
        return 0


async def _exchange(machine: Machine, raw: bytes) -> int:
    reader, writer = await asyncio.open_connection(machine.ip, CONTROL_PORT)
    try:
        writer.write(raw)
        return (await read_message(reader)).status
    finally:
        writer.close()
