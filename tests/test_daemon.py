"""The node process: listening addresses that cannot be bound."""

import socket
import tempfile
from pathlib import Path

from testtools import ExpectedException, TestCase

from filbertdrift import porcelain
from filbertdrift.errors import SettingsError
from tests.sockets import free_port

NAMES = ('peer_address', 'admin_address', 'caller_address')


class DaemonTest(TestCase):
    """A node that cannot listen reports the setting and exits."""

    def test_taken_addresses(self) -> None:
        for name in NAMES:
            with socket.socket() as occupied:
                occupied.bind(('127.0.0.1', 0))
                occupied.listen()
                self.refused(name, occupied.getsockname()[1])

    def refused(self, name: str, port: int) -> None:
        """Check that a node with one port in use reports the setting."""
        lines = ['[node]', 'domain = a']
        for other in NAMES:
            listen_port = port if other == name else free_port()
            lines.append(f'{other} = 127.0.0.1:{listen_port}')
        lines += ['[log]', f'url = http://127.0.0.1:{free_port()}']
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'node.ini'
            path.write_text('\n'.join(lines))
            with ExpectedException(SettingsError, f'.*{name}: cannot.*'):
                porcelain.node(str(path))
