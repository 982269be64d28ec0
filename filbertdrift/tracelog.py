"""The story of one request, or of a node's beliefs, from log files.

Lines of many processes may be mixed in one file, and a prefix before each
JSON object (a time, a host) is passed over.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from filbertdrift.errors import SettingsError

# Order of hops at one moment: clocks of instances differ by little, and what
# a gate decides comes before what its entry makes of it.
HOP_ORDER = ('handover', 'upload_broken', 'request')
REQUEST_EVENTS = frozenset(HOP_ORDER)
CLOCK_SLACK_S = 0.05
_OWN_FIELDS = frozenset(('time', 'level', 'node', 'event', 'message'))


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One line of a log.

    Args:
        time: Unix time at the node that wrote it.
        node: The node's name.
        event: The kind of line.
        message: What happened, for a person.
        fields: What decided it.
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
    """Yield the events of log files; other lines are passed over.

    Raises:
        SettingsError: A file cannot be read.
    """
    for path in paths:
        try:
            text = Path(path).read_text('utf-8', 'replace')
        except OSError as exc:
            raise SettingsError(f'{path}: {exc}', step='read log') from exc
        for line in text.splitlines():
            event = _event(line)
            if event is not None:
                yield event


def request_story(events: Iterable[LogEvent], request: str) -> list[LogEvent]:
    """Return what became of one request, in order across hops."""
    found = [
        event for event in events if event.fields.get('request') == request
    ]
    return sorted(found, key=_hop_order)


def node_story(events: Iterable[LogEvent], node: str) -> list[LogEvent]:
    """Return the changes of what one node believes, in order."""
    found = [
        event
        for event in events
        if event.node == node and event.event not in REQUEST_EVENTS
    ]
    return sorted(found, key=lambda event: event.time)


def _hop_order(event: LogEvent) -> tuple[float, int]:
    known = event.event in REQUEST_EVENTS
    hop = HOP_ORDER.index(event.event) if known else len(HOP_ORDER)
    return event.time // CLOCK_SLACK_S, hop


def _event(line: str) -> LogEvent | None:
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
