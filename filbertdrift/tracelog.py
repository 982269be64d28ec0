"""The timeline of one request or of one node, from log files.

A file may mix lines of many processes. A prefix before the JSON object of a
line, such as a time or a host, is skipped.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from filbertdrift.errors import SettingsError

# Order of a request's events within CLOCK_SLACK_S, since clocks of nodes differ
# slightly. The node of the target decides before the ingress node.
HOP_ORDER = ('handover', 'upload_broken', 'request')
REQUEST_EVENTS = frozenset(HOP_ORDER)
CLOCK_SLACK_S = 0.05
_OWN_FIELDS = frozenset(('time', 'level', 'node', 'event', 'message'))


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One line of a log.

    Args:
        time: Unix time of the node that logged it.
        node: The node's name.
        event: The name of the event.
        message: The message text.
        fields: The other fields of the line.
    """

    time: float
    node: str
    event: str
    message: str
    fields: dict[str, Any] = field(default_factory=dict)

    def text(self) -> str:
        """Return the event as one line."""
        details = ' '.join(
            f'{name}={content}' for name, content in self.fields.items()
        )
        return f'{self.time:.3f} {self.node} {self.message}: {details}'


def read_events(paths: Iterable[str]) -> Iterator[LogEvent]:
    """Yield the events of log files; other lines are skipped.

    Raises:
        SettingsError: A file cannot be read.
    """
    for path in paths:
        try:
            text = Path(path).read_text('utf-8', 'replace')
        except OSError as exc:
            raise SettingsError(f'{path}: {exc}', step='read log') from exc
        for line in text.splitlines():
            event = _parse_event(line)
            if event is not None:
                yield event


def request_timeline(
    events: Iterable[LogEvent], request: str
) -> list[LogEvent]:
    """Return the events of one request on all nodes, in causal order."""
    found = [
        event for event in events if event.fields.get('request') == request
    ]
    return sorted(found, key=_sort_key)


def node_timeline(events: Iterable[LogEvent], node: str) -> list[LogEvent]:
    """Return the state changes of one node by time, without requests."""
    found = [
        event
        for event in events
        if event.node == node and event.event not in REQUEST_EVENTS
    ]
    return sorted(found, key=lambda event: event.time)


def _sort_key(event: LogEvent) -> tuple[float, int]:
    is_request_event = event.event in REQUEST_EVENTS
    hop = HOP_ORDER.index(event.event) if is_request_event else len(HOP_ORDER)
    return event.time // CLOCK_SLACK_S, hop


def _parse_event(line: str) -> LogEvent | None:
    start = line.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(line[start:])
        return LogEvent(
            time=float(fields['time']),
            node=str(fields['node']),
            event=str(fields.get('event', 'message')),
            message=str(fields['message']),
            fields={
                name: content
                for name, content in fields.items()
                if name not in _OWN_FIELDS
            },
        )
    except (ValueError, KeyError, TypeError):
        return None
