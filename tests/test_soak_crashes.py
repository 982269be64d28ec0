"""Which crashes of targets nodes must prevent in a soak test."""

from testtools import TestCase
from testtools.matchers import Equals

from standins.platform_target import Crash, RunLog
from standins.soak_crashes import CrashHistory
from standins.soak_history import STABILITY_S, Disturbance, SoakHistory


class CrashTest(TestCase):
    """A request that has crashed two targets crashes no other one."""

    # Guards against a check that overlooks nodes which were not told of the
    # crashes at others.
    def test_late_crashes(self) -> None:
        late = _find_late(0, 1, 1 + STABILITY_S + 0.1, 9, 12)
        self.assertThat(late, Equals(3))

    def test_not_late(self) -> None:
        self.assertThat(_find_late(0, 9), Equals(0))
        self.assertThat(_find_late(0, 1, 1.5, 1 + STABILITY_S), Equals(0))

    def test_node_that_was_started(self) -> None:
        start = Disturbance(5, 5, is_harmful=False)
        self.assertThat(_find_late(0, 1, 6, start=start), Equals(0))


def _find_late(*times: float, start: Disturbance | None = None) -> int:
    log = RunLog()
    log.crashes.extend(Crash(b'crash', 'a', at) for at in times)
    log.crashes.append(Crash(b'crash-2', 'a', times[-1]))
    faults = SoakHistory()
    if start is not None:
        faults.disturb('a', start)
    return len(list(CrashHistory(faults).violations(log)))
