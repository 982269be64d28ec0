"""Runs a node that reaches the others through the links of a soak test."""

from filbertdrift.connection import Connection
from filbertdrift.network import TcpNetwork, split_address
from filbertdrift.platform import daemon, process

LINK_PORT_OFFSET = 30


class LinkedNetwork(TcpNetwork):
    """Opens connections to the proxies in front of the other nodes."""

    async def connect(self, address: str) -> Connection:
        """Open a connection to a node.

        Raises:
            PeerUnavailable: As TcpNetwork.
        """
        if address == self.address:
            return await super().connect(address)
        host, port = split_address(address)
        conn = await super().connect(f'{host}:{port + LINK_PORT_OFFSET}')
        conn.peer = address
        return conn


if __name__ == '__main__':
    process.TcpNetwork = LinkedNetwork  # type: ignore[misc]
    daemon.main()
