"""Signals to a node process that starts or ends."""

import signal

from testtools import TestCase
from testtools.matchers import Equals

from filbertdrift.errors import EXIT_OK
from tests.node_process import node_process
from tests.signalled_daemon import AT_EXIT

GRACE_S = 4.0
DAEMON = 'tests.signalled_daemon'
# Imported first, in between and last.
MODULES = ('loguru', 'filbertdrift.gossip', 'filbertdrift.platform.store')


class EarlySignalTest(TestCase):
    """A signal during the start has its usual effect, or none."""

    # A node that had just been started was ended by the signal that says that
    # its settings have changed.
    def test_sighup_during_the_start_does_not_end_the_node(self) -> None:
        for module in MODULES:
            code = _exit_code(signal.SIGHUP, module)
            self.assertThat(code, Equals(EXIT_OK), module)

    # A planned stop looked like a crash if SIGHUP came after its last step.
    def test_sighup_at_the_end_of_the_interpreter(self) -> None:
        code = _exit_code(signal.SIGHUP, AT_EXIT)
        self.assertThat(code, Equals(EXIT_OK))

    # A planned stop during the start looked like a crash.
    def test_sigterm_during_the_start_is_a_clean_exit(self) -> None:
        for module in MODULES:
            command = (DAEMON, str(int(signal.SIGTERM)), module)
            with node_process(command, GRACE_S) as node:
                code = node.process.wait(GRACE_S)
            self.assertThat(code, Equals(EXIT_OK), module)


def _exit_code(number: signal.Signals, module: str) -> int:
    """Signal a node that starts; stop it afterwards, return its exit code."""
    with node_process((DAEMON, str(int(number)), module), GRACE_S) as node:
        node.wait_for_event('started')
        node.process.send_signal(signal.SIGHUP)
        node.wait_for_event('reloaded')
        node.process.send_signal(signal.SIGTERM)
        return node.process.wait(GRACE_S)
