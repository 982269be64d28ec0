"""A persistent HTTP connection that times its calls."""

import asyncio
import time

LENGTH_HEADER = b'content-length:'


class PersistentConnection:
    """One keep-alive HTTP connection for sequential calls.

    Args:
        address: IP address and port of the server.
        reader: Reader of the connection.
        writer: Writer of the connection.

    Attributes:
        failures: Number of responses with a status other than 200.
    """

    def __init__(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.failures = 0
        self._address = address
        self._reader = reader
        self._writer = writer

    async def call(self, path: str, headers: str = '') -> float:
        """Send one GET request and return its latency in seconds.

        Args:
            path: Path of the request.
            headers: Further header lines, each with its line break.
        """
        started_at = time.perf_counter()
        head = f'GET {path} HTTP/1.1\r\nhost: {self._address}\r\n'
        self._writer.write(f'{head}{headers}\r\n'.encode())
        resp_head = await self._reader.readuntil(b'\r\n\r\n')
        for line in resp_head.lower().split(b'\r\n'):
            if line.startswith(LENGTH_HEADER):
                length = int(line[len(LENGTH_HEADER) :])
                await self._reader.readexactly(length)
        if not resp_head.startswith(b'HTTP/1.1 200'):
            self.failures += 1
        return time.perf_counter() - started_at


async def open_persistent(address: str) -> PersistentConnection:
    """Open a persistent connection.

    Args:
        address: IP address and port of the server.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    return PersistentConnection(address, reader, writer)
