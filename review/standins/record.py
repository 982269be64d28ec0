"""The record of a case: what was sent, answered and run, and when."""

import os
import time
from pathlib import Path
from typing import Self


class Record:
    """Lines of a record, written to a file at the end.

    Args:
        path: The file.
    """

    def __init__(self, path: Path) -> None:
        """Start the clock of the record."""
        self._path = path
        self._lines: list[str] = []
        self._since = time.monotonic()

    def __enter__(self) -> Self:
        """Return the record."""
        return self

    def __exit__(self, *failure: object) -> None:
        """Write the file."""
        text = '\n'.join([*self._lines, ''])
        self._path.write_text(text, 'utf-8')

    def now(self) -> float:
        """Return the time since the start of the record in seconds."""
        return time.monotonic() - self._since

    def add(self, kind: str, text: str) -> float:
        """Add a line, and return its time."""
        now = self.now()
        self._lines.append(f'{now:9.3f}  {kind:<10}  {text}')
        return now


def has_trouble() -> bool:
    """Return whether the disruption is wanted: TROUBLE=0 leaves it out."""
    return os.environ.get('TROUBLE', '1') != '0'
