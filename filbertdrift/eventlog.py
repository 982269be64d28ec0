"""Structured log lines: one JSON object a line, bounded, never blocking.

A line that finds the queue full, or its kind over its rate, is counted and
dropped; the counts are logged themselves. A thread writes what is queued, so
that a reader which stops reading costs lines and not requests.
"""

import json
import os
import queue
import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

from loguru import logger

QUEUE_LINES = 4096
# Lines a second of one kind, and how many may come at once.
KIND_LINES_PER_S = 40.0
KIND_BURST = 200.0
DROPS_INTERVAL_S = 5.0
STDOUT = 1
MAX_WRITE_BYTES = 65_536


@dataclass(slots=True)
class _Bucket:
    """Lines of one kind that may still be written."""

    tokens: float
    refilled_at: float


class EventLog:
    """A sink for loguru.

    Args:
        node: The node's name.
        descriptor: The file descriptor that lines are written to.
        lines_per_s: Rate limit for each kind of line.
    """

    def __init__(
        self,
        node: str,
        descriptor: int = STDOUT,
        lines_per_s: float = KIND_LINES_PER_S,
    ) -> None:
        """Start the writing thread."""
        self.dropped: Counter[str] = Counter()
        self._node = node
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._buckets: dict[str, _Bucket] = {}
        self._drops_at = time.monotonic() + DROPS_INTERVAL_S
        self._reported: Counter[str] = Counter()
        self._lines: queue.Queue[bytes | None] = queue.Queue(QUEUE_LINES)
        self._thread = threading.Thread(target=self._write_lines, daemon=True)
        self._thread.start()

    def write(self, message: Any) -> None:
        """Queue one line; called by loguru.

        Args:
            message: The text with its record.
        """
        record = message.record
        extra = record['extra']
        kind = str(extra.get('event', 'message'))
        now = time.monotonic()
        if not self._takes(kind, now):
            self.dropped[kind] += 1
        else:
            self._put(kind, _encode(record))
        if now >= self._drops_at:
            self._report_drops(now)

    def close(self, timeout_s: float = 0.5) -> None:
        """Write what is queued, for a limited time."""
        try:
            self._lines.put(None, timeout=timeout_s)
        except queue.Full:
            return
        self._thread.join(timeout_s)

    def _takes(self, kind: str, now: float) -> bool:
        bucket = self._buckets.get(kind)
        if bucket is None:
            bucket = self._buckets.setdefault(kind, _Bucket(KIND_BURST, now))
        gained = (now - bucket.refilled_at) * self._lines_per_s
        bucket.tokens = min(bucket.tokens + gained, KIND_BURST)
        bucket.refilled_at = now
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _put(self, kind: str, line: bytes) -> None:
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self.dropped[kind] += 1

    def _report_drops(self, now: float) -> None:
        self._drops_at = now + DROPS_INTERVAL_S
        new = self.dropped - self._reported
        if new:
            self._reported = Counter(self.dropped)
            fields = {
                'time': time.time(),
                'level': 'WARNING',
                'node': self._node,
                'event': 'log_dropped',
                'lines': dict(new),
                'message': 'log lines were dropped',
            }
            self._put('log_dropped', _line(fields))

    def _write_lines(self) -> None:
        while True:
            line = self._lines.get()
            if line is None:
                return
            chunk, is_last = self._gather(line)
            self._write_whole(chunk)
            if is_last:
                return

    def _gather(self, line: bytes) -> tuple[bytes, bool]:
        """Return a line with those queued behind it, and if they are all."""
        chunk = bytearray(line)
        while len(chunk) < MAX_WRITE_BYTES and not self._lines.empty():
            found = self._lines.get()
            if found is None:
                return bytes(chunk), True
            chunk += found
        return bytes(chunk), False

    def _write_whole(self, chunk: bytes) -> None:
        rest = memoryview(chunk)
        while rest:
            try:
                rest = rest[os.write(self._descriptor, rest) :]
            except OSError:
                self.dropped['write_failed'] += 1
                return


def configure_event_log(
    node: str,
    level: str = 'INFO',
    descriptor: int = STDOUT,
) -> EventLog:
    """Send all log lines of this process to one event log.

    Args:
        node: The node's name, added to each line.
        level: The least level that is written.
        descriptor: The file descriptor that lines are written to.
    """
    sink = EventLog(node, descriptor)
    logger.remove()
    logger.configure(extra={'node': node})
    logger.add(sink.write, level=level, format='{message}', catch=True)
    return sink


def _encode(record: dict[str, Any]) -> bytes:
    fields: dict[str, Any] = {
        'time': record['time'].timestamp(),
        'level': record['level'].name,
        **record['extra'],
        'message': record['message'],
    }
    if record['exception'] is not None:
        fields['exception'] = repr(record['exception'].value)
    return _line(fields)


def _line(fields: dict[str, Any]) -> bytes:
    text = json.dumps(fields, default=str, separators=(',', ':'))
    return f'{text}\n'.encode()
