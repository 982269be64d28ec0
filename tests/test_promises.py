"""Responses that promise callers that a request has not run."""

import asyncio
from dataclasses import dataclass

from loguru import logger
from testtools import TestCase
from testtools.matchers import Contains, Equals, HasLength, Not, StartsWith

from filbertdrift.incarnation import Heartbeat
from standins.mesh_fleet import MeshFleet, config_document
from standins.scripted_target import TargetScript
from tests.builders import call_status, run_virtual
from tests.socket_mesh import HOST, request, socket_mesh

INGRESS = 'a-0:7000'
PROMISES = (408, 429, 503)
MARK = 'not-executed: 1\r\n'


@dataclass
class FailingTarget:
    """A target that runs each request and responds with one status.

    Args:
        status: The status.
        more: Further lines of the head.

    Attributes:
        runs: Number of requests received.
    """

    status: int
    more: str = ''
    runs: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to one request."""
        await reader.readuntil(b'\r\n\r\n')
        self.runs += 1
        writer.write(
            f'HTTP/1.1 {self.status} Status\r\nattempt-id: r1\r\n'
            f'server-seal: s\r\nretry-after: 1\r\n{self.more}'
            f'content-length: 4\r\n\r\nbusy'.encode()
        )
        await writer.drain()
        writer.close()


async def call_target(target: FailingTarget, path: str) -> bytes:
    """Return what a caller gets from a node beside a target."""
    server = await asyncio.start_server(target.serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    async with server, asyncio.timeout(10), socket_mesh() as mesh:
        mesh.node.lifecycle.record_heartbeat(
            Heartbeat('i-2', 2, 1, 'desk', f'{HOST}:{port}', 4, False, 0),
        )
        await asyncio.sleep(0.1)
        return await mesh.send(request(path))


class UnmarkedTest(TestCase):
    """A target that ran a request responds with such a status."""

    # REFUSED: the status went to the caller, which sent the request again.
    def test_status_of_a_request_that_ran(self) -> None:
        for status in PROMISES:
            target = FailingTarget(status)
            response = asyncio.run(call_target(target, '/write/1'))
            self.assertThat(response, StartsWith(b'HTTP/1.1 502 '))
            for name in (b'server-seal', b'retry-after'):
                self.expectThat(response.lower(), Not(Contains(name)))
            self.expectThat(target.runs, Equals(1))

    # Held before: a promise that was given, and failures that promise nothing.
    def test_other_failures_are_passed_on(self) -> None:
        for status in (*PROMISES, 421):
            refusing = FailingTarget(status, MARK)
            response = asyncio.run(call_target(refusing, '/write/1'))
            self.expectThat(response, StartsWith(b'HTTP/1.1 503 '))
        for status in (500, 504, 404):
            response = asyncio.run(
                call_target(FailingTarget(status), '/write/1')
            )
            self.expectThat(response, StartsWith(b'HTTP/1.1 %d ' % status))
            self.expectThat(response.lower(), Contains(b'server-seal: s'))

    # REFUSED: what may be repeated is sent to another target; the log tells
    # which response was not passed on.
    def test_idempotent_request_is_tried_again(self) -> None:
        lines: list[str] = []
        sink = logger.add(lambda line: lines.append(line), format='{extra}')
        self.addCleanup(logger.remove, sink)
        run_virtual(self._repeated())
        told = [line for line in lines if 'promise_not_given' in line]
        self.assertThat(told, Not(HasLength(0)))

    async def _repeated(self) -> None:
        fleet = MeshFleet(seed=84)
        await fleet.publish(config_document())
        failing = TargetScript(failure_share=1, failure_status=503)
        await fleet.add('a', 'desk', failing)
        await fleet.add('a', 'desk')
        await fleet.wait_until_in_force(1, 5)
        await asyncio.sleep(3)
        statuses = [await call_status(fleet, INGRESS) for _ in range(8)]
        self.assertThat(set(statuses), Equals({200}))
        self.assertThat(failing.runs, Not(HasLength(0)))
        before = fleet.runs()
        statuses = [
            await call_status(fleet, INGRESS, '/write/1') for _ in range(8)
        ]
        self.assertThat(statuses, Not(Contains(503)))
        writes = fleet.runs() - before
        self.assertThat(list(writes.values()), Equals([1] * len(statuses)))
