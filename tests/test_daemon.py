"""The process of a node: addresses that cannot be bound."""

import socket
import tempfile
from pathlib import Path

from testtools import ExpectedException, TestCase

from filbertdrift import porcelain
from filbertdrift.errors import SettingsError
from tests.sockets import free_port


class DaemonTest(TestCase):
    """A node that cannot listen says which address and ends."""

    def test_taken_addresses(self) -> None:
        names = ('peer_address', 'admin_address', 'caller_address')
        for name in names:
            lines = ['[node]', 'domain = a']
            with socket.socket() as taken:
                taken.bind(('127.0.0.1', 0))
                taken.listen()
                for other in names:
                    port = free_port()
                    if other == name:
                        port = taken.getsockname()[1]
                    lines.append(f'{other} = 127.0.0.1:{port}')
                lines += ['[log]', f'url = http://127.0.0.1:{free_port()}']
                with (
                    tempfile.TemporaryDirectory() as folder,
                    ExpectedException(SettingsError, f'.*{name}: cannot.*'),
                ):
                    path = Path(folder) / 'node.ini'
                    path.write_text('\n'.join(lines))
                    porcelain.node(str(path))
