"""Runs a case and turns its outcome into an exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from record import Record

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
#: Seconds after which a case is given up.
LIMIT_S = 115


def with_trouble() -> bool:
    """Return whether the case makes its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def main(case: Callable[[Record], Awaitable[bool]], folder: Path) -> None:
    """Run a case, which returns whether its rule was broken, and exit."""
    # Ends the processes of the case also if it is stopped from outside.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(Path(os.environ.get('RECORD', folder / 'record.txt')))
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), LIMIT_S))
    except Exception as error:
        traceback.print_exc()
        record.write('could not run', reason=type(error).__name__)
        sys.exit(COULD_NOT_RUN)
    record.write('rule broken' if broken else 'rule held')
    record.close()
    print('rule broken' if broken else 'rule held')
    sys.exit(BROKEN if broken else HELD)
