"""Settings of a node: precedence, and errors with their location."""

import tempfile
from pathlib import Path

from testtools import ExpectedException, TestCase
from testtools.matchers import Contains, Equals

from filbertdrift.errors import SettingsError
from filbertdrift.settings import load_settings

GOOD = """
[node]
peer_address = 127.0.0.1:7001
caller_address = 127.0.0.1:7002
admin_address = 127.0.0.1:7003
domain = petrzalka
[peers]
seeds = 127.0.0.1:7011, 127.0.0.1:7021
[log]
url = http://127.0.0.1:7800
"""


class SettingsTest(TestCase):
    """Valid settings, overrides and reported errors."""

    def load(self, text: str, **more: object):  # type: ignore[no-untyped-def]
        """Load settings from a file with the given content."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'node.ini'
            path.write_text(text)
            more.setdefault('environment', {})
            return load_settings(str(path), **more)  # type: ignore[arg-type]

    def reason(self, text: str, **more: object) -> str:
        """Return the reason why settings are invalid, empty if valid."""
        try:
            self.load(text, **more)
        except SettingsError as exc:
            return exc.reason
        return ''

    def test_good(self) -> None:
        settings = self.load(GOOD)
        self.assertThat(len(settings.peers.seeds), Equals(2))
        self.assertThat(settings.control.profile, Equals('convergence'))

    def test_overrides_win_over_environment(self) -> None:
        settings = self.load(
            GOOD,
            environment={
                'FILBERTDRIFT_NODE__DOMAIN': 'ruzinov',
                'FILBERTDRIFT_CONTROL__PROFILE': 'bytes',
            },
            overrides={'node.domain': 'devin'},
        )
        self.assertThat(settings.node.domain, Equals('devin'))
        self.assertThat(settings.control.profile, Equals('bytes'))

    def test_all_errors_at_once(self) -> None:
        bad = GOOD.replace('7001', '70010').replace('domain', 'domian')
        bad += '[contrl]\nprofile = fast\n[control]\nprofile = fast\n'
        reason = self.reason(bad)
        for part in (
            '[node] peer_address: expected a port from 1 to 65535',
            "[node] domian: unknown; did you mean 'domain'?",
            '[node] domain: missing',
            "[contrl]: unknown; did you mean 'control'?",
            '[control] profile',
        ):
            self.assertThat(reason, Contains(part))

    def test_broken_file_and_missing_file(self) -> None:
        self.assertThat(self.reason('no section'), Contains('node.ini'))
        with ExpectedException(SettingsError):
            load_settings('/nowhere/node.ini')

    def test_host_names_are_refused(self) -> None:
        reason = self.reason(GOOD.replace('127.0.0.1:7001', 'localhost:7001'))
        self.assertThat(reason, Contains('expected IP number and port'))
