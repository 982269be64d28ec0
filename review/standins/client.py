"""Clients that keep connections open for many requests."""

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field

from review.standins.message import BrokenOff, Message, read_message
from review.standins.record import Record

MS_PER_S = 1000
CONNECT_TIMEOUT_S = 1.0
HOST = 'shop.example'

Address = tuple[str, int]


@dataclass(frozen=True)
class Request:
    """A request of a client.

    Args:
        request_id: Its id.
        method: Its method.
        path: Its path.
        deadline_s: How long the client waits.
        body: Its body.
    """

    request_id: str
    method: str
    path: str
    deadline_s: float
    body: bytes = b''

    def to_message(self) -> Message:
        """Return the request as it is sent."""
        headers = {
            'host': HOST,
            'attempt-id': self.request_id,
            'deadline-ms': str(int(self.deadline_s * MS_PER_S)),
        }
        start = f'{self.method} {self.path} HTTP/1.1'
        return Message(start, headers, self.body)


@dataclass(frozen=True)
class Ending:
    """How a request ended for its client.

    Args:
        request: The request.
        node: Host of the node that it was sent to.
        sent_at: When it was sent, in monotonic time.
        ended_at: When it ended, in monotonic time.
        was_kept: Its connection had carried an earlier request.
        status: The status of the answer, 0 without a whole answer.
        reason: What happened instead of an answer.
    """

    request: Request
    node: str
    sent_at: float
    ended_at: float
    was_kept: bool = False
    status: int = 0
    reason: str = ''

    @property
    def is_cut(self) -> bool:
        """Return whether the node closed the connection unanswered."""
        return self.reason == 'cut'


@dataclass(eq=False)
class _Connection:
    """An open connection, which carries one request at a time."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    answers: int = 0

    @property
    def is_usable(self) -> bool:
        """Return whether it is open, as far as is known."""
        return not (self.reader.at_eof() or self.writer.is_closing())


@dataclass
class Client:
    """Clients of all nodes, with their open connections.

    Args:
        port: The port on which nodes listen for clients.
        record: Receives what is sent and answered.
    """

    port: int
    record: Record
    endings: list[Ending] = field(default_factory=list)
    _idle: defaultdict[str, list[_Connection]] = field(
        default_factory=lambda: defaultdict(list)
    )

    async def send(self, node: str, request: Request) -> Ending:
        """Send a request on a kept connection or a new one.

        Args:
            node: Host of the node.
            request: The request.
        """
        sent_at = time.monotonic()
        self.record.add('sent', f'{request.request_id} to {node}')
        conn: _Connection | None = None
        status, reason = 0, ''
        try:
            async with asyncio.timeout(request.deadline_s):
                conn = await self._connect(node)
                status, reason = await self._exchange(conn, node, request)
        except TimeoutError:
            reason = 'deadline'
        except OSError:
            reason = 'no connection'
        if conn is not None and not status:
            conn.writer.close()
        ending = Ending(
            request,
            node,
            sent_at,
            time.monotonic(),
            was_kept=conn is not None and conn.answers > 0,
            status=status,
            reason=reason,
        )
        self.endings.append(ending)
        self.record.add('ended', f'{request.request_id} {status} {reason}')
        return ending

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self._idle.values():
            for conn in connections:
                conn.writer.close()

    async def _connect(self, node: str) -> _Connection:
        idle = self._idle[node]
        while idle:
            conn = idle.pop()
            if conn.is_usable:
                return conn
            conn.writer.close()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            streams = await asyncio.open_connection(node, self.port)
        return _Connection(*streams)

    async def _exchange(
        self, conn: _Connection, node: str, request: Request
    ) -> tuple[int, str]:
        conn.writer.write(request.to_message().encode())
        try:
            answer = await read_message(conn.reader)
        except BrokenOff:
            return 0, 'cut'
        if answer is None:
            return 0, 'cut'
        if answer.keeps_open:
            # The ending states whether the connection was kept before.
            kept = _Connection(conn.reader, conn.writer, conn.answers + 1)
            self._idle[node].append(kept)
        else:
            conn.writer.close()
        return int(answer.words[1]), ''
