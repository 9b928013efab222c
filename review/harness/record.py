"""The record of a case: what was sent, answered and run, with the seconds since its start."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any


class Record:
    """Writes one line for each thing that was seen."""

    def __init__(self, path: Path) -> None:
        """Create the record; an earlier one is replaced."""
        self.started_at = time.monotonic()
        self.file = path.open('w')

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def write(self, what: str, **details: Any) -> None:
        """Write a line."""
        text = ' '.join(f'{name}={value}' for name, value in details.items())
        self.file.write(f'{self.now():9.3f} {what} {text}'.rstrip() + '\n')
        self.file.flush()

    def close(self) -> None:
        """Close the file."""
        self.file.close()
