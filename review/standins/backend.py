"""Backends: they run requests and report to the node beside them."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

from review.standins.message import BrokenOff, Message, read_message
from review.standins.record import Record

HEARTBEAT_S = 1.5
CALL_TIMEOUT_S = 1.0
ACKNOWLEDGED = 200
HEALTH_PATH = '/health'

USUAL_ANSWER = None

Address = tuple[str, int]


@dataclass(frozen=True)
class Site:
    """Where a backend is.

    Args:
        listen: Host and port on which it listens.
        control: Host and port for its heartbeats.
        zone: Its zone.
        service: Its service.
        slots: Requests that it runs at a time.
    """

    listen: Address
    control: Address
    zone: str
    service: str
    slots: int


@dataclass(frozen=True)
class Run:
    """A request that a backend began to run.

    Args:
        instance: Id of the backend's incarnation.
        request: The request.
        at: When it began, in monotonic time.
    """

    instance: str
    request: Message
    at: float

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.request.headers.get('attempt-id', '')


class Crash(Exception):
    """A request has crashed the backend that began to run it."""


# Does the work of a request; returns an answer of its own, or USUAL_ANSWER. May
# raise Crash.
Work = Callable[[Run], Awaitable[Message | None]]


class Backend:
    """A backend, of which each start is a new incarnation with a new id.

    Args:
        site: Where it is.
        record: Receives what it runs.
        work: Does the work of each request.

    Attributes:
        instance: Id of the incarnation.
        runs: What it has run, in all incarnations.
        record: As given.
    """

    def __init__(self, site: Site, record: Record, work: Work) -> None:
        """Create the backend, which does not run yet."""
        self.site = site
        self.instance = ''
        self.runs: list[Run] = []
        self.record = record
        self._work = work
        self._starts = 0
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._revivals: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start a new incarnation."""
        self._starts += 1
        self._sequence = 0
        host = self.site.listen[0]
        self.instance = f'i-{host.replace(".", "-")}-{self._starts}'
        self._server = await asyncio.start_server(
            self._serve, *self.site.listen
        )
        self._beats = asyncio.create_task(self._send_heartbeats())
        self.record.add('backend', f'{self.instance} starts')

    def stop(self) -> None:
        """End at once; a crash looks the same."""
        self.stop_heartbeats()
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def stop_heartbeats(self) -> None:
        """Send no more heartbeats."""
        if self._beats:
            self._beats.cancel()

    def crash(self, down_s: float) -> None:
        """End at once, and start again after some time."""
        self.record.add('backend', f'{self.instance} crashes')
        self.stop()
        revival = asyncio.create_task(self._revive(down_s))
        self._revivals.add(revival)
        revival.add_done_callback(self._revivals.discard)

    def next_heartbeat(self) -> Message:
        """Return the next heartbeat."""
        self._sequence += 1
        host, port = self.site.listen
        status = {
            'service': self.site.service,
            'address': f'{host}:{port}',
            'zone': self.site.zone,
            'version': 'v1',
            'slots': self.site.slots,
            'state': 'ready',
            'cold_remaining_s': 0,
            'seq': self._sequence,
        }
        headers = {'host': 'node', 'content-type': 'application/json'}
        start = f'PUT /instances/{self.instance} HTTP/1.1'
        return Message(start, headers, json.dumps(status).encode())

    async def leave(self) -> bool:
        """Send DELETE; return whether the node acknowledged it."""
        start = f'DELETE /instances/{self.instance} HTTP/1.1'
        return await self.call_node(Message(start, {'host': 'node'}))

    async def call_node(self, call: Message) -> bool:
        """Make a call to the node; return whether it was acknowledged."""
        with suppress(OSError, TimeoutError, BrokenOff):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._call(call)
        return False

    async def _call(self, call: Message) -> bool:
        reader, writer = await asyncio.open_connection(*self.site.control)
        try:
            writer.write(call.encode())
            reply = await read_message(reader)
        finally:
            writer.close()
        return reply is not None and int(reply.words[1]) == ACKNOWLEDGED

    async def _send_heartbeats(self) -> None:
        while True:
            await self.call_node(self.next_heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    async def _revive(self, down_s: float) -> None:
        await asyncio.sleep(down_s)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        instance = self.instance
        try:
            while request := await read_message(reader):
                answer = await self._answer(instance, request)
                writer.write(answer.encode())
                await writer.drain()
        except (BrokenOff, OSError, Crash):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, instance: str, request: Message) -> Message:
        if request.words[1] == HEALTH_PATH:
            return Message('HTTP/1.1 200 OK', {'instance-id': instance})
        request_id = request.headers.get('attempt-id', '')
        headers = {'attempt-id': request_id}
        if request.headers.get('expect-instance', instance) != instance:
            headers['instance-id'] = instance
            return Message('HTTP/1.1 421 Misdirected Request', headers)
        run = Run(instance, request, time.monotonic())
        self.runs.append(run)
        self.record.add('run', f'{request_id} begins at {instance}')
        own_answer = await self._work(run)
        if own_answer is not USUAL_ANSWER:
            return own_answer
        headers['server-seal'] = f'{instance}.{request_id}'
        return Message('HTTP/1.1 200 OK', headers, request_id.encode())
