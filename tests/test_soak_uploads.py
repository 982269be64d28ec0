"""Which connections that end without a response a node has to explain."""

from unittest.mock import Mock

from testtools import TestCase
from testtools.matchers import Equals

from standins.platform_target import RunLog, Work
from standins.soak_client import ClientRequest, ClientResult, Ending
from standins.soak_history import Disturbance, SoakHistory
from standins.soak_stops import Stop
from standins.soak_uploads import CutHistory, CutRequest


class CutTest(TestCase):
    """A request that a node has begun to read gets a complete response."""

    # Guards against a check that overlooks uploads which are reset while their
    # bodies arrive.
    def test_cut_while_sent(self) -> None:
        self.assertThat(_count_unexplained(0, 0.05, sent_at=0), Equals(1))
        self.assertThat(_count_unexplained(0, 0.05), Equals(1))

    # Guards against a check that takes a planned stop as an excuse.
    def test_cut_by_planned_stop(self) -> None:
        for began_at, ended_at in ((9.9, 10.15), (10.5, 10.8), (9, 10)):
            broken = _count_unexplained(began_at, ended_at, stopped_at=10)
            self.assertThat(broken, Equals(1))

    # Guards against a check that excuses the cut of a request that was run.
    def test_run_and_cut_at_once(self) -> None:
        log = RunLog()
        log.work['upload'].append(Work('i', 'b', 10.1))
        broken = _count_unexplained(10, 10.15, stopped_at=9, log=log)
        self.assertThat(broken, Equals(1))

    def test_excused(self) -> None:
        # Sent while the stop closed an idle connection.
        broken = _count_unexplained(10, 10.15, stopped_at=10.1)
        self.assertThat(broken, Equals(0))
        for is_harmful in (False, True):
            faults = SoakHistory()
            fault = Disturbance(0, 1, is_harmful=is_harmful)
            faults.disturb('a', fault)
            broken = _count_unexplained(0.5, 0.9, faults=faults)
            self.assertThat(broken, Equals(int(not is_harmful)))

    def test_records_cuts_only(self) -> None:
        history = CutHistory(SoakHistory(), {})
        for ending in Ending:
            history.record('a', _upload(), ClientResult(ending, began_at=1))
        history.record('a', _upload(), ClientResult(Ending.CUT))
        self.assertThat(len(history.cut), Equals(1))


class UploadTest(TestCase):
    """Uploads are sent in parts, with both framings."""

    def test_parts(self) -> None:
        head, *parts = _upload().encode()
        self.assertThat(head.count(b'content-length: 5\r\n'), Equals(1))
        self.assertThat(parts, Equals([b'ab', b'cd', b'e']))
        head, *parts = _upload(is_chunked=True).encode()
        self.assertThat(head.count(b'content-length'), Equals(0))
        self.assertThat(parts[0], Equals(b'2\r\nab\r\n'))
        self.assertThat(parts[-1], Equals(b'1\r\ne\r\n0\r\n\r\n'))


def _upload(*, is_chunked: bool = False) -> ClientRequest:
    return ClientRequest(
        'upload', '/x', b'abcde', 1, 1, part_bytes=2, is_chunked=is_chunked
    )


def _count_unexplained(
    began_at: float,
    ended_at: float,
    *,
    sent_at: float | None = None,
    stopped_at: float | None = None,
    faults: SoakHistory | None = None,
    log: RunLog | None = None,
) -> int:
    """Return how many violations one cut request at node a is."""
    stops = {}
    if stopped_at is not None:
        stops[Mock()] = Stop('a', stopped_at, 12)
    history = CutHistory(faults or SoakHistory(), stops)
    sent = began_at if sent_at is None else sent_at
    history.cut.append(CutRequest('upload', 'a', began_at, sent, ended_at))
    return len(list(history.violations(log or RunLog())))
