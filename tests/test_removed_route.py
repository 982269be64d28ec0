"""Uploads on a route that is removed while their body arrives."""

import asyncio
import json

from testtools import TestCase
from testtools.matchers import StartsWith

from filbertdrift.keyedlog import KeyedRecord
from standins.mesh_fleet import config_document
from tests.socket_mesh import HOST, SocketMesh, request, socket_mesh

TIMES = {'timeout_s': 10.0}
# Versions come into force well before.
DEADLINE = b'deadline-ms: 8000'
RAW = request('/write/x', b'body', keep=True).replace(
    b'deadline-ms: 2000', DEADLINE
)


async def remove_route(mesh: SocketMesh) -> None:
    """Publish a version without the route; wait until it is in force."""
    document = config_document(2)
    del document['routes']['write']
    record = KeyedRecord('config', json.dumps(document).encode())
    await mesh.log.append('keyed.op', record)
    async with asyncio.timeout(5):
        while mesh.node.match('desk.example', '/write/x'):
            await asyncio.sleep(0.02)


class RemovedRouteTest(TestCase):
    """The version in force when the head arrives decides."""

    # Guards against a 404 for an upload that was allowed when it was sent.
    def test_upload_that_began_before_is_served(self) -> None:
        early, late = asyncio.run(self._around_removal())
        self.assertThat(early, StartsWith(b'HTTP/1.1 200 '))
        self.assertThat(late, StartsWith(b'HTTP/1.1 404 '))

    async def _around_removal(self) -> tuple[bytes, bytes]:
        document = config_document(write=TIMES)
        async with socket_mesh(document=document, work_s=0.02) as mesh:
            reader, writer = await asyncio.open_connection(
                HOST, mesh.caller_port
            )
            writer.write(RAW[:-2])
            await asyncio.sleep(0.1)
            await remove_route(mesh)
            writer.write(RAW[-2:])
            early = await reader.readuntil(b'\r\n\r\n')
            writer.close()
            late = await mesh.send(request('/write/x', b'body'))
            return early, late
