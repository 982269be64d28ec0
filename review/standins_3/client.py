"""Clients, which open a new connection for each request."""

import asyncio
import itertools
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from review.standins_3.http import Message, read_message
from review.standins_3.node import OUTBOUND_PORT, Machine

HOST = 'shop.example'
DEADLINE_MS = 2500
MS_PER_S = 1000
MAX_OPEN = 60
OK = 200


@dataclass(frozen=True, slots=True)
class Sent:
    """A request and its end.

    Args:
        request_id: Its id.
        machine: The address of the machine that it was sent to.
        at: When it was sent, on the monotonic clock.
        status: The status of the response, 0 for none.
        reason: The body of a failure.
    """

    request_id: str
    machine: str
    at: float
    status: int
    reason: str = ''


class Clients:
    """The clients of all machines.

    Args:
        record: Called with each request when it has ended.
        path: The path of the requests, which their ids follow.
    """

    def __init__(self, record: Callable[[Sent], None], path: str) -> None:
        """Create the clients; they send nothing yet."""
        self._record = record
        self._path = path
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._senders: dict[str, asyncio.Task[None]] = {}

    def start(self, machine: Machine, per_s: float) -> None:
        """Send requests to a machine from now on."""
        self._senders[machine.ip] = self._add(
            self._send_steadily(machine, per_s)
        )

    def leave(self, machine: Machine) -> None:
        """Send no more requests to a machine."""
        self._senders.pop(machine.ip).cancel()

    def stop(self) -> None:
        """Send no more requests, and leave those that wait."""
        for task in list(self._tasks):
            task.cancel()

    async def _send_steadily(self, machine: Machine, per_s: float) -> None:
        loop = asyncio.get_running_loop()
        due_at = loop.time()
        mine: set[asyncio.Task[None]] = set()
        while True:
            due_at += 1 / per_s
            await asyncio.sleep(max(due_at - loop.time(), 0))
            if len(mine) < MAX_OPEN:
                task = self._add(self._send(machine))
                mine.add(task)
                task.add_done_callback(mine.discard)

    def _add(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _send(self, machine: Machine) -> None:
        request_id = f'{next(self._numbers):08x}'
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(DEADLINE_MS / MS_PER_S):
                answer = await self._exchange(machine, request_id)
        except (OSError, EOFError, TimeoutError):
            self._record(Sent(request_id, machine.ip, sent_at, 0))
            return
        self._record(
            Sent(
                request_id,
                machine.ip,
                sent_at,
                answer.status if answer.is_whole else 0,
                '' if answer.status == OK else answer.body.decode().strip(),
            )
        )

    async def _exchange(self, machine: Machine, request_id: str) -> Message:
        reader, writer = await asyncio.open_connection(
            machine.ip, OUTBOUND_PORT
        )
        lines = (
            f'GET {self._path}{request_id} HTTP/1.1',
            f'Host: {HOST}',
            f'Attempt-Id: {request_id}',
            f'Deadline-Ms: {DEADLINE_MS}',
        )
        try:
            writer.write('\r\n'.join([*lines, '', '']).encode())
            return await read_message(reader)
        finally:
            writer.close()
