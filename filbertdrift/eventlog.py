"""A structured log sink: JSON lines, a bounded queue, never blocking.

A thread writes queued lines, so a reader that stops reading costs log lines
but delays no request. A line is dropped and counted if the queue is full or its
event is over the rate limit; the counts are logged.
"""

import json
import os
import queue
import threading
import time
import traceback
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from types import TracebackType
from typing import Any

from loguru import logger

QUEUE_LINES = 4096
# Rate and size of the token bucket that limits each event.
EVENT_LINES_PER_S = 40.0
EVENT_BURST_LINES = 200.0
DROP_REPORT_INTERVAL_S = 5.0
STDOUT = 1
MAX_WRITE_BYTES = 65_536
MAX_LOGGED_FRAMES = 8


@dataclass(slots=True)
class _TokenBucket:
    """The token bucket of one event."""

    tokens: float
    refilled_at: float


class EventLog:
    """A loguru sink with rate limits and a bounded queue.

    Args:
        node: The node's name.
        descriptor: The file descriptor to write to.
        lines_per_s: The rate limit of each event.

    Attributes:
        dropped: Dropped lines by event; write_failed counts failed writes.
    """

    def __init__(
        self,
        node: str,
        descriptor: int = STDOUT,
        lines_per_s: float = EVENT_LINES_PER_S,
    ) -> None:
        """Start the writer thread."""
        self.dropped: Counter[str] = Counter()
        self._node = node
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._buckets: dict[str, _TokenBucket] = {}
        self._report_drops_at = time.monotonic() + DROP_REPORT_INTERVAL_S
        self._reported_drops: Counter[str] = Counter()
        self._lines: queue.Queue[bytes | None] = queue.Queue(QUEUE_LINES)
        self._thread = threading.Thread(target=self._write_lines, daemon=True)
        self._thread.start()

    def write(self, message: Any) -> None:
        """Queue one line, or drop it. Loguru calls this.

        Args:
            message: The formatted text with its loguru record.
        """
        record = message.record
        extra = record['extra']
        kind = str(extra.get('event', 'message'))
        now = time.monotonic()
        if not self._take_token(kind, now):
            self.dropped[kind] += 1
        else:
            self._enqueue(kind, _encode_record(record))
        if now >= self._report_drops_at:
            self._report_drops(now)

    def close(self, timeout_s: float = 0.5) -> None:
        """Write the queued lines and stop the thread, up to a timeout."""
        try:
            self._lines.put(None, timeout=timeout_s)
        except queue.Full:
            return
        self._thread.join(timeout_s)

    def _take_token(self, kind: str, now: float) -> bool:
        bucket = self._buckets.get(kind)
        if bucket is None:
            bucket = self._buckets.setdefault(
                kind, _TokenBucket(EVENT_BURST_LINES, now)
            )
        gained = (now - bucket.refilled_at) * self._lines_per_s
        bucket.tokens = min(bucket.tokens + gained, EVENT_BURST_LINES)
        bucket.refilled_at = now
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _enqueue(self, kind: str, line: bytes) -> None:
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self.dropped[kind] += 1

    def _report_drops(self, now: float) -> None:
        self._report_drops_at = now + DROP_REPORT_INTERVAL_S
        unreported = self.dropped - self._reported_drops
        if unreported:
            self._reported_drops = Counter(self.dropped)
            fields = {
                'time': time.time(),
                'level': 'WARNING',
                'node': self._node,
                'event': 'log_dropped',
                'lines': dict(unreported),
                'message': 'log lines were dropped',
            }
            self._enqueue('log_dropped', _encode_line(fields))

    def _write_lines(self) -> None:
        while True:
            line = self._lines.get()
            if line is None:
                return
            chunk, is_closed = self._collect_queued(line)
            self._write_all(chunk)
            if is_closed:
                return

    def _collect_queued(self, line: bytes) -> tuple[bytes, bool]:
        """Return a line with those queued after it, and if close was called."""
        chunk = bytearray(line)
        while len(chunk) < MAX_WRITE_BYTES and not self._lines.empty():
            queued = self._lines.get()
            if queued is None:
                return bytes(chunk), True
            chunk += queued
        return bytes(chunk), False

    def _write_all(self, chunk: bytes) -> None:
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
    """Make one event log the only log sink of this process.

    Args:
        node: The node's name, added to each line.
        level: The lowest level that is logged.
        descriptor: The file descriptor to write to.
    """
    sink = EventLog(node, descriptor)
    logger.remove()
    logger.configure(extra={'node': node})
    logger.add(sink.write, level=level, format='{message}', catch=True)
    return sink


def _encode_record(record: dict[str, Any]) -> bytes:
    fields: dict[str, Any] = {
        'time': record['time'].timestamp(),
        'level': record['level'].name,
        **record['extra'],
        'message': record['message'],
    }
    if record['exception'] is not None:
        fields['exception'] = repr(record['exception'].value)
        fields['trace'] = _list_frames(record['exception'].traceback)
    return _encode_line(fields)


def _list_frames(trace: TracebackType | None) -> Sequence[str]:
    """Return the innermost frames of a traceback, the last one first."""
    frames = traceback.extract_tb(trace)[-MAX_LOGGED_FRAMES:]
    return [
        f'{os.path.basename(frame.filename)}:{frame.lineno} {frame.name}'
        for frame in reversed(frames)
    ]


def _encode_line(fields: dict[str, Any]) -> bytes:
    text = json.dumps(fields, default=str, separators=(',', ':'))
    return f'{text}\n'.encode()
