"""Stand-in target: an HTTP server with slots, cold start and faults."""

import asyncio
import contextlib
import json
import os
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import httpx
import uvicorn

from standins.kept import PersistentConnection, open_persistent

ANNOUNCE_INTERVAL_S = 2.0
MS_PER_S = 1000
CRASH_HEADER = b'x-crash-target'
WORK_HEADER = b'x-work-ms'
KEY_HEADER = b'idempotency-key'
CHAIN_HEADER = b'x-chain'
DEFAULT_TIMEOUT_MS = b'3600000'
REQUEST_ID_HEADER = b'x-request-id'
TIMEOUT_HEADER = b'x-filbertdrift-timeout-ms'


@dataclass(slots=True)
class TargetOptions:
    """Behaviour of the target.

    Args:
        service: Service of the target.
        address: IP address and port to listen on.
        node: Admin address of the local node.
        slots: Number of requests that run at once; more are shed with 503.
        connections: Number of connections accepted.
        work_ms: Time that a request takes.
        cold_ms: Duration of the cold start, during which work is slower.
        cold_factor: Factor by which work is slower during the cold start.
        lag_ms: Greatest age of the load in health and load reports.
        lies_healthy: Whether health checks always pass.
        lies_idle: Whether the reported load is always zero.
        record: File that receives a line for each execution, or empty. It
            outlives a killed target.
    """

    service: str
    address: str
    node: str
    slots: int = 20
    connections: int = 120
    work_ms: float = 2
    cold_ms: float = 0
    cold_factor: float = 3
    lag_ms: float = 0
    lies_healthy: bool = False
    lies_idle: bool = False
    record: str = ''


@dataclass(slots=True)
class TargetState:
    """Counts of the target since its start.

    Args:
        started_at: Monotonic time of the start.
        running: Number of requests that run now.
        shed: Number of requests shed for want of a slot.
        cancelled: Number of requests ended by their deadline or caller.
        executions: Number of executions by request id.
        is_draining: Whether all requests are refused.
    """

    started_at: float = field(default_factory=time.monotonic)
    running: int = 0
    shed: int = 0
    cancelled: int = 0
    executions: Counter[str] = field(default_factory=Counter)
    is_draining: bool = False


class TargetApp:
    """The target as an ASGI application.

    Args:
        options: Behaviour of the target.
    """

    def __init__(self, options: TargetOptions) -> None:
        """Start without requests."""
        self.options = options
        self.state = TargetState()
        self._load_sample = (0.0, 0)
        self._chain_conns: dict[bytes, list[PersistentConnection]] = {}

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        path = scope['path']
        if path.startswith('/_'):
            await self._serve_admin(path, send)
        elif self.state.is_draining:
            await _reply(send, 503, b'{"error": "draining"}')
        elif self.state.running >= self.options.slots:
            self.state.shed += 1
            await _reply(send, 503, b'{"error": "no slot"}')
        else:
            await self._run(scope, dict(scope['headers']), receive, send)

    async def _serve_admin(self, path: str, send) -> None:
        state, options = self.state, self.options
        running = self._sampled_load()
        is_healthy = options.lies_healthy or running < options.slots
        reported = 0 if options.lies_idle else running
        bodies = {
            '/_health': {'ok': is_healthy},
            '/_load': {'running': reported, 'slots': options.slots},
            '/_executions': dict(state.executions),
            '/_counts': {
                'shed': state.shed,
                'cancelled': state.cancelled,
                'running': state.running,
            },
        }
        body = bodies.get(path)
        status = 404 if body is None else 200
        if path == '/_health' and not is_healthy:
            status = 503
        await _reply(send, status, json.dumps(body).encode())

    def _sampled_load(self) -> int:
        """Return the load, sampled at most lag_ms ago."""
        now = time.monotonic()
        sampled_at, running = self._load_sample
        if (now - sampled_at) * MS_PER_S >= self.options.lag_ms:
            running = self.state.running
            self._load_sample = (now, running)
        return running

    async def _run(self, scope, headers, receive, send) -> None:
        state = self.state
        request_id = headers.get(REQUEST_ID_HEADER, b'').decode('latin-1')
        state.executions[request_id] += 1
        self._record(request_id, headers)
        state.running += 1
        try:
            body = await _read_body(receive)
            if headers.get(CRASH_HEADER):
                os.kill(os.getpid(), signal.SIGKILL)
            work = asyncio.ensure_future(self._work(headers, scope['path']))
            await self._await_work(work, headers, receive)
        except (asyncio.CancelledError, TimeoutError):
            state.cancelled += 1
            await _reply(send, 504, b'{"error": "cancelled"}')
            return
        finally:
            state.running -= 1
        resp_body = {
            'target': self.options.address,
            'service': self.options.service,
            'request': request_id,
            'path': scope['path'],
            'received': body,
            'customer': headers.get(b'x-customer', b'').decode('latin-1'),
        }
        await _reply(send, 200, json.dumps(resp_body).encode())

    async def _await_work(self, work, headers, receive) -> None:
        """Wait for the work, and cancel it on deadline or disconnection.

        Raises:
            TimeoutError: The deadline passed or the caller disconnected.
        """
        timeout_ms = float(headers.get(TIMEOUT_HEADER, DEFAULT_TIMEOUT_MS))
        disconnect = asyncio.ensure_future(receive())
        try:
            await asyncio.wait(
                (work, disconnect),
                timeout=timeout_ms / MS_PER_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not work.done():
                raise TimeoutError
            await work
        finally:
            disconnect.cancel()
            work.cancel()

    async def _work(self, headers, path: str) -> None:
        work_ms = float(headers.get(WORK_HEADER, self.options.work_ms))
        age_ms = (time.monotonic() - self.state.started_at) * MS_PER_S
        if age_ms < self.options.cold_ms:
            work_ms *= self.options.cold_factor
        if work_ms:
            await asyncio.sleep(work_ms / MS_PER_S)
        await self._call_next(headers, path)

    async def _call_next(self, headers, path: str) -> None:
        """Call the next target of a chain of calls.

        The header x-chain holds the remaining depth and the address to call.
        """
        depth, _, address = headers.get(CHAIN_HEADER, b'').partition(b' ')
        if not depth or int(depth) <= 0:
            return
        pool = self._chain_conns.setdefault(address, [])
        conn = pool.pop() if pool else await open_persistent(address.decode())
        chain = f'x-chain: {int(depth) - 1} {address.decode()}\r\n'
        await conn.call(path, chain)
        pool.append(conn)

    def _record(self, request_id: str, headers) -> None:
        if self.options.record:
            key = headers.get(KEY_HEADER, b'-').decode('latin-1')
            with Path(self.options.record).open('a', encoding='utf-8') as file:
                file.write(f'{request_id} {key}\n')


async def _read_body(receive) -> int:
    size = 0
    while True:
        event = await receive()
        if event['type'] == 'http.disconnect':
            raise asyncio.CancelledError
        size += len(event.get('body', b''))
        if not event.get('more_body'):
            return size


async def _reply(send, status: int, body: bytes) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [
                (b'content-type', b'application/json'),
                (b'content-length', b'%d' % len(body)),
            ],
        }
    )
    await send({'type': 'http.response.body', 'body': body})


async def announce_periodically(options: TargetOptions) -> None:
    """Announce the target to the local node periodically, until cancelled.

    Args:
        options: Behaviour of the target.
    """
    body = {
        'service': options.service,
        'address': options.address,
        'slots': options.slots,
        'connections': options.connections,
    }
    async with httpx.AsyncClient(
        base_url=f'http://{options.node}',
        trust_env=False,
    ) as client:
        try:
            while True:
                await asyncio.sleep(await _announce(client, body))
        finally:
            with contextlib.suppress(httpx.HTTPError):
                await client.post('/withdraw')


async def _announce(
    client: httpx.AsyncClient, body: dict[str, object]
) -> float:
    """Announce once and return the delay until the next announcement."""
    try:
        resp = await client.post('/announce', json=body)
        resp.raise_for_status()
    except httpx.HTTPError:
        return ANNOUNCE_INTERVAL_S / 10
    return ANNOUNCE_INTERVAL_S


async def _serve(options: TargetOptions) -> None:
    host, _, port = options.address.rpartition(':')
    app = TargetApp(options)
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        log_level='warning',
        access_log=False,
        lifespan='off',
        timeout_keep_alive=30,
        limit_concurrency=options.connections,
    )
    server = uvicorn.Server(config)
    announce_task = asyncio.create_task(announce_periodically(options))
    serving = asyncio.create_task(server.serve())
    await serving
    announce_task.cancel()
    await asyncio.gather(announce_task, return_exceptions=True)


def serve_target(
    service: str,
    address: str,
    node: str,
    slots: int = 20,
    connections: int = 120,
    work_ms: float = 2,
    cold_ms: float = 0,
    lag_ms: float = 0,
    lies_healthy: bool = False,
    lies_idle: bool = False,
    record: str = '',
) -> None:
    """Serve a stand-in target until the process is stopped.

    Args:
        service: Service of the target.
        address: IP address and port to listen on.
        node: Admin address of the local node.
        slots: Number of requests that run at once; more are shed with 503.
        connections: Number of connections accepted.
        work_ms: Time that a request takes.
        cold_ms: Duration of the cold start, during which work is slower.
        lag_ms: Greatest age of the load in health and load reports.
        lies_healthy: Whether health checks always pass.
        lies_idle: Whether the reported load is always zero.
        record: File that receives a line for each execution, or empty.
    """
    options = TargetOptions(
        service=service,
        address=address,
        node=node,
        slots=slots,
        connections=connections,
        work_ms=work_ms,
        cold_ms=cold_ms,
        lag_ms=lag_ms,
        lies_healthy=lies_healthy,
        lies_idle=lies_idle,
        record=record,
    )
    asyncio.run(_serve(options))
