"""A configuration that lowers the limit of bodies while one arrives."""

import asyncio
import json

from testtools import TestCase
from testtools.matchers import StartsWith

from filbertdrift.keyedlog import KeyedRecord
from standins.mesh_fleet import config_document
from tests.socket_mesh import HOST, SocketMesh, request, socket_mesh

PART = b'u' * 0x18000
TIMEOUT_S = 5


class LoweredLimitTest(TestCase):
    """An upload ends under the limit under which it began."""

    # LOST: an upload that a target already ran was ended around a version.
    def test_upload_that_runs(self) -> None:
        response = asyncio.run(self._upload())
        self.assertThat(response, StartsWith(b'HTTP/1.1 200 '))

    async def _upload(self) -> bytes:
        async with socket_mesh(max_body_bytes=len(PART) * 2) as mesh:
            reader, writer = await asyncio.open_connection(
                HOST, mesh.caller_port
            )
            writer.write(request('/write/x', PART * 2)[: -len(PART)])
            async with asyncio.timeout(TIMEOUT_S):
                while not mesh.received:
                    await asyncio.sleep(0.01)
                await _lower_limit(mesh)
                writer.write(PART)
                response = await reader.read()
            writer.close()
            return response


async def _lower_limit(mesh: SocketMesh) -> None:
    limits = {'max_body_bytes': len(PART)}
    document = {**config_document(2), 'limits': limits}
    record = KeyedRecord('config', json.dumps(document).encode())
    await mesh.log.append('keyed.op', record)
    while mesh.node.limits.body_bytes > len(PART):
        await asyncio.sleep(0.01)
