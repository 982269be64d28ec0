"""The operations behind the command line, against a node over HTTP."""

import asyncio
import tempfile
import threading
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Contains, Equals

from filbertdrift import porcelain
from filbertdrift.admin import AdminServer
from filbertdrift.daemon import build_collector
from filbertdrift.errors import ChangeRefused
from tests.builders import service_file
from tests.sockets import free_port, running_node


class PorcelainTest(TestCase):
    """Operations on a node that runs in another thread."""

    def setUp(self) -> None:
        super().setUp()
        self.admin = f'127.0.0.1:{free_port()}'
        self.started = threading.Event()
        self.stopping = threading.Event()
        thread = threading.Thread(target=lambda: asyncio.run(self.run_node()))
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.stopping.set)
        self.started.wait(10)

    async def run_node(self) -> None:
        """Run a node with its admin server until the test ends."""

        async def on_target(reader: object, writer: object) -> None:
            """Send no response."""

        async with running_node(on_target) as running:
            collector = build_collector(running.node)
            admin = AdminServer(running.node, collector, self.admin)
            await admin.start()
            self.started.set()
            while not self.stopping.is_set():
                await asyncio.sleep(0.02)
            await admin.stop()

    def test_watch_publishes_what_is_written(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for name, text in porcelain.files(self.admin).items():
                (Path(folder) / name).write_text(text)
            watching = porcelain.watch(folder, self.admin)
            (Path(folder) / '70-more.ini').write_text(service_file('more'))
            first = next(watching)
            self.assertThat(getattr(first, 'accepted', None), Equals(True))
            (Path(folder) / '70-more.ini').write_text('[route more]\n')
            refused = next(watching)
            self.assertThat(str(refused), Contains('70-more.ini'))
            (Path(folder) / '70-more.ini').unlink()
            removed = next(watching)
            self.assertThat(getattr(removed, 'accepted', None), Equals(True))
        names = porcelain.files(self.admin)
        self.assertThat('70-more.ini' in names, Equals(False))

    def test_publish_race_and_retry(self) -> None:
        base = porcelain.status(self.admin).offset
        change = {'70-a.ini': service_file('more')}
        first = porcelain.publish_changes(
            change,
            self.admin,
            base=base,
            record_id='the-change',
            wait=True,
        )
        again = porcelain.publish_changes(
            change,
            self.admin,
            base=base,
            record_id='the-change',
        )
        self.assertThat(again.offset, Equals(first.offset))
        self.assertThat(first.in_force, Equals(1))
        try:
            porcelain.publish_changes(change, self.admin, base=base)
        except ChangeRefused as exc:
            self.assertThat(str(exc), Contains('overtaken'))
        else:
            self.fail('two operators changed one file unnoticed')

    def test_explain(self) -> None:
        verdicts = porcelain.verdicts(self.admin)
        self.assertThat(verdicts[-1].verdict, Equals('accepted'))
        targets = porcelain.targets(self.admin, 'desk')
        self.assertThat(targets[0].gets_work, Equals(True))
        self.assertThat(porcelain.crashes(self.admin), Equals([]))
        report = porcelain.request('unknown', self.admin)
        self.assertThat(report.outcome, Equals('not found'))
        fleet = porcelain.fleet(self.admin)
        self.assertThat(fleet.in_force, Equals(1))
