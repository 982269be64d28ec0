"""A kept HTTP connection for timing bare calls."""

import asyncio
import time

LENGTH_HEADER = b'content-length:'


class PersistentConnection:
    """One connection that makes one call after the other.

    Args:
        address: IP number and port.
        reader: The receiving half.
        writer: The sending half.
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
        """Make one call and return its seconds.

        Args:
            path: The path to get.
            headers: Further header lines, each with its line end.
        """
        began = time.perf_counter()
        head = f'GET {path} HTTP/1.1\r\nhost: {self._address}\r\n'
        self._writer.write(f'{head}{headers}\r\n'.encode())
        answer = await self._reader.readuntil(b'\r\n\r\n')
        for line in answer.lower().split(b'\r\n'):
            if line.startswith(LENGTH_HEADER):
                length = int(line[len(LENGTH_HEADER) :])
                await self._reader.readexactly(length)
        if not answer.startswith(b'HTTP/1.1 200'):
            self.failures += 1
        return time.perf_counter() - began


async def open_persistent(address: str) -> PersistentConnection:
    """Return an open connection.

    Args:
        address: IP number and port.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    return PersistentConnection(address, reader, writer)
