"""Stand-in target: slots, cold start, shedding, faults, executions."""

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

RENEW_S = 2.0
MS_PER_S = 1000
CRASH_HEADER = b'x-crash-target'
WORK_HEADER = b'x-work-ms'
KEY_HEADER = b'idempotency-key'
CHAIN_HEADER = b'x-chain'
NO_DEADLINE_MS = b'3600000'
REQUEST_ID_HEADER = b'x-request-id'
TIMEOUT_HEADER = b'x-filbertdrift-timeout-ms'


@dataclass(slots=True)
class TargetOptions:
    """How the target behaves.

    Args:
        service: Its service.
        address: Where it listens.
        node: The admin address of the node beside it.
        slots: Requests it runs at a time; more are shed with 503.
        connections: Connections it accepts.
        work_ms: How long a request runs.
        cold_ms: How long after its start it is slow.
        cold_factor: How much slower it is then.
        lag_ms: How old its health and load endpoints' figures may be.
        lies_healthy: Its health endpoint always says it is well.
        lies_idle: Its load endpoint always says it is idle.
        record: A file that gets a line for every execution, so that the
            record outlives a killed target.
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
    """What the target did."""

    started_at: float = field(default_factory=time.monotonic)
    running: int = 0
    shed: int = 0
    cancelled: int = 0
    executions: Counter[str] = field(default_factory=Counter)
    is_draining: bool = False


class TargetApp:
    """The target as an ASGI application.

    Args:
        options: How it behaves.
    """

    def __init__(self, options: TargetOptions) -> None:
        """Start idle."""
        self.options = options
        self.state = TargetState()
        self._load_seen = (0.0, 0)
        self._chains: dict[bytes, list[PersistentConnection]] = {}

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        path = scope['path']
        if path.startswith('/_'):
            await self._serve_own(path, send)
        elif self.state.is_draining:
            await _reply(send, 503, b'{"error": "draining"}')
        elif self.state.running >= self.options.slots:
            self.state.shed += 1
            await _reply(send, 503, b'{"error": "no slot"}')
        else:
            await self._run(scope, dict(scope['headers']), receive, send)

    async def _serve_own(self, path: str, send) -> None:
        state, options = self.state, self.options
        running = self._lagging_load()
        is_well = options.lies_healthy or running < options.slots
        shown = 0 if options.lies_idle else running
        bodies = {
            '/_health': {'ok': is_well},
            '/_load': {'running': shown, 'slots': options.slots},
            '/_executions': dict(state.executions),
            '/_counts': {
                'shed': state.shed,
                'cancelled': state.cancelled,
                'running': state.running,
            },
        }
        body = bodies.get(path)
        status = 404 if body is None else 200
        if path == '/_health' and not is_well:
            status = 503
        await _reply(send, status, json.dumps(body).encode())

    def _lagging_load(self) -> int:
        """Return the load as it was lag_ms ago at the latest."""
        now = time.monotonic()
        seen_at, running = self._load_seen
        if (now - seen_at) * MS_PER_S >= self.options.lag_ms:
            running = self.state.running
            self._load_seen = (now, running)
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
            await self._until_cancelled(work, headers, receive)
        except (asyncio.CancelledError, TimeoutError):
            state.cancelled += 1
            await _reply(send, 504, b'{"error": "cancelled"}')
            return
        finally:
            state.running -= 1
        answer = {
            'target': self.options.address,
            'service': self.options.service,
            'request': request_id,
            'path': scope['path'],
            'received': body,
            'customer': headers.get(b'x-customer', b'').decode('latin-1'),
        }
        await _reply(send, 200, json.dumps(answer).encode())

    async def _until_cancelled(self, work, headers, receive) -> None:
        """Wait for work, its deadline, or the caller going away."""
        deadline_ms = float(headers.get(TIMEOUT_HEADER, NO_DEADLINE_MS))
        gone = asyncio.ensure_future(receive())
        try:
            await asyncio.wait(
                (work, gone),
                timeout=deadline_ms / MS_PER_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not work.done():
                raise TimeoutError
            await work
        finally:
            gone.cancel()
            work.cancel()

    async def _work(self, headers, path: str) -> None:
        work_ms = float(headers.get(WORK_HEADER, self.options.work_ms))
        age_ms = (time.monotonic() - self.state.started_at) * MS_PER_S
        if age_ms < self.options.cold_ms:
            work_ms *= self.options.cold_factor
        if work_ms:
            await asyncio.sleep(work_ms / MS_PER_S)
        await self._call_on(headers, path)

    async def _call_on(self, headers, path: str) -> None:
        """Make the next call of a chain: x-chain holds depth and address."""
        depth, _, address = headers.get(CHAIN_HEADER, b'').partition(b' ')
        if not depth or int(depth) <= 0:
            return
        pool = self._chains.setdefault(address, [])
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


async def keep_announced(options: TargetOptions) -> None:
    """Announce the target to the node beside it and renew, until cancelled."""
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
    """Announce once; return the seconds until the next time."""
    try:
        resp = await client.post('/announce', json=body)
        resp.raise_for_status()
    except httpx.HTTPError:
        return RENEW_S / 10
    return RENEW_S


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
    announcing = asyncio.create_task(keep_announced(options))
    serving = asyncio.create_task(server.serve())
    await serving
    announcing.cancel()
    await asyncio.gather(announcing, return_exceptions=True)


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
    """Run the stand-in until it is told to end.

    Args:
        service: The service it belongs to.
        address: IP number and port to listen on.
        node: The admin address of the node beside it.
        slots: Requests it runs at a time.
        connections: Connections it accepts.
        work_ms: How long a request runs.
        cold_ms: How long after its start it is slow.
        lag_ms: How old its health and load figures may be.
        lies_healthy: Its health endpoint always says it is well.
        lies_idle: Its load endpoint always says it is idle.
        record: A file that gets a line for every execution.
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
