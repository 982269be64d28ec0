"""Metrics of a node with graded routes."""

import asyncio
import subprocess
import sys

from testtools import TestCase
from testtools.matchers import Contains, Equals

from filbertdrift.mesh_metrics import MetricsCalls, build_mesh_collector
from filbertdrift.platform.daemon import MetricsOnDemand
from standins.mesh_fleet import MeshFleet, config_document
from tests.builders import run_virtual


class ScrapeTest(TestCase):
    """What a scraper gets."""

    def test_counts_requests(self) -> None:
        run_virtual(self._scrape())

    async def _scrape(self) -> None:
        fleet = MeshFleet(1)
        await fleet.publish(config_document(version=4))
        place = await fleet.add('a', 'desk')
        await asyncio.sleep(3)
        answer = await fleet.call('a-0:7000')
        answer.close()
        calls = MetricsCalls(build_mesh_collector(place.node))
        reply = await calls.serve('GET', '/metrics', b'')
        for line in (
            b'filbertdrift_requests_answered_total 1.0',
            b'filbertdrift_handover_answered_total 1.0',
            b'filbertdrift_config_version 4.0',
            b'filbertdrift_request_seconds_count 1.0',
        ):
            self.assertThat(reply.body, Contains(line))
        missing = await calls.serve('GET', '/', b'')
        self.assertThat(missing.status, Equals(404))

    def test_loaded_with_the_first_scrape(self) -> None:
        run_virtual(self._first_scrape())

    async def _first_scrape(self) -> None:
        fleet = MeshFleet(2)
        place = await fleet.add('a', 'desk')
        calls = MetricsOnDemand(place.node)
        for _ in range(2):
            reply = await calls.serve('GET', '/metrics', b'')
            self.assertThat(reply.body, Contains(b'filbertdrift_members 1.0'))

    def test_a_start_does_not_load_the_library(self) -> None:
        code = (
            'import sys, filbertdrift.platform.daemon;'
            "sys.exit('prometheus_client' in sys.modules)"
        )
        done = subprocess.run([sys.executable, '-c', code], check=False)
        self.assertThat(done.returncode, Equals(0))
