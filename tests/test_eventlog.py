"""The event log is bounded and never blocks."""

import json
import os
import time

from loguru import logger
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from filbertdrift.eventlog import QUEUE_LINES, configure_event_log

FULL_PIPE_LINES = 3 * QUEUE_LINES


class EventLogTest(TestCase):
    """Logging to a pipe: surplus lines are dropped, counted and reported."""

    def test_never_blocks(self) -> None:
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        sink = configure_event_log('n', descriptor=writing)
        self.addCleanup(logger.remove)
        started_at = time.monotonic()
        for number in range(FULL_PIPE_LINES):
            # Each line has its own event, so that no rate limit applies.
            logger.bind(event=f'e{number}', text='x' * 200).info('line')
        self.assertThat(time.monotonic() - started_at, LessThan(10))
        self.assertThat(sum(sink.dropped.values()), GreaterThan(0))

    def test_rate_limit_of_one_event(self) -> None:
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        sink = configure_event_log('n', descriptor=writing)
        self.addCleanup(logger.remove)
        for _ in range(1000):
            logger.bind(event='refused', request='r').info('refused')
        logger.bind(event='stopped').info('stopped')
        sink.close()
        os.close(writing)
        raw = b''
        chunk = os.read(reading, 65_536)
        while chunk:
            raw += chunk
            chunk = os.read(reading, 65_536)
        events = [json.loads(line) for line in raw.splitlines()]
        refused = [found for found in events if found['event'] == 'refused']
        self.assertThat(len(refused), LessThan(300))
        self.assertThat(events[-1]['event'], Equals('stopped'))
        self.assertThat(events[-1]['node'], Equals('n'))

    def test_dropped_lines_are_reported(self) -> None:
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        sink = configure_event_log('n', descriptor=writing)
        self.addCleanup(logger.remove)
        sink._report_drops_at = 0
        sink.dropped['refused'] = 7
        logger.bind(event='stopped').info('stopped')
        sink.close()
        os.close(writing)
        events = [
            json.loads(line) for line in os.read(reading, 9999).splitlines()
        ]
        self.assertThat(events[1]['lines'], Equals({'refused': 7}))
        self.assertThat(events[1]['node'], Equals('n'))
