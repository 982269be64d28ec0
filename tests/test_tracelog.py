"""Timelines of requests and nodes from log files."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase
from testtools.matchers import Contains, Equals
from testtools.testcase import ExpectedException

from filbertdrift import porcelain
from filbertdrift.errors import SettingsError


def line(time: float, node: str, event: str, **fields: object) -> str:
    """Return a log line in the format of a node."""
    known = {'time': time, 'level': 'INFO', 'node': node, 'event': event}
    return json.dumps({**known, **fields, 'message': event})


LINES = (
    line(100.021, 'entry', 'request', request='r1', outcome='not_run'),
    '  12.5 gate ' + line(100.03, 'gate', 'handover', request='r1', waiting=9),
    line(100.1, 'gate', 'config_adopted', version=4),
    line(99.0, 'gate', 'member', status='DEAD'),
    line(100.2, 'entry', 'request', request='r2', outcome='unknown'),
    'not a line of a node {',
)


class TimelineTest(TestCase):
    """Events of several nodes from one log file, in order."""

    def setUp(self) -> None:
        """Write a log file."""
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'log'
        self.path.write_text('\n'.join(LINES), 'utf-8')

    def test_request_across_hops(self) -> None:
        found = porcelain.trace([str(self.path)], request='r1')
        nodes = [event.node for event in found]
        self.assertThat(nodes, Equals(['gate', 'entry']))
        self.assertThat(found[0].text(), Contains('waiting=9'))

    def test_state_changes_of_a_node(self) -> None:
        found = porcelain.trace([str(self.path)], node='gate')
        events = [event.event for event in found]
        self.assertThat(events, Equals(['member', 'config_adopted']))

    def test_bad_input(self) -> None:
        with ExpectedException(SettingsError):
            porcelain.trace([str(self.path)])
        with ExpectedException(SettingsError):
            porcelain.trace(['no-such-file'], request='r1')
