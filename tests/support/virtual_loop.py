"""An event loop whose clock stands still while there is work, and otherwise leaps to a timer.

Processes of a site in one event loop, with sockets on loopback, then run as if the machine were
endlessly fast: a busy one changes how long a test takes, and not what it sees.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

#: Real seconds in which bytes on loopback, or the result of a thread, become visible.
SETTLE_S = 0.0005
#: Seconds at which virtual time starts, the same in each run: sums of floating-point numbers depend
#: on it.
START_S = 4096.0


class VirtualClock:
    """Seconds that pass only by leaps."""

    def __init__(self) -> None:
        """Create it."""
        self.now = START_S

    def read(self) -> float:
        """Return the seconds.

        :return: seconds.
        """
        return self.now

    def read_kind(self, _kind: int) -> float:
        """Return the seconds of any kind of clock.

        :return: seconds.
        """
        return self.now


class _LeapingSelector(selectors.DefaultSelector):
    """Tells of a timeout at once, after a leap of the clock."""

    def __init__(self, clock: VirtualClock, settle_s: float) -> None:
        super().__init__()
        self.clock = clock
        self.settle_s = settle_s

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, Any]]:
        """Wait for a file, in real time only if there is no timer."""
        if timeout is None:
            return super().select(None)
        ready = super().select(0)
        if ready or timeout <= 0:
            return ready
        if self.settle_s:
            ready = super().select(self.settle_s)
        if not ready:
            self.clock.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs on a clock of its own."""

    def __init__(self, clock: VirtualClock, settle_s: float) -> None:
        """Create it.

        :param clock: its clock.
        :param settle_s: real seconds before each leap.
        """
        super().__init__(_LeapingSelector(clock, settle_s))
        self.clock = clock

    def time(self) -> float:
        """Return the time of the loop.

        :return: seconds.
        """
        return self.clock.now


@contextmanager
def virtual_time(settle_s: float = SETTLE_S) -> Iterator[asyncio.Runner]:
    """Run coroutines in virtual time; all clocks that the project reads follow.

    :param settle_s: real seconds before each leap; 0 suits what uses neither sockets nor threads.
    :yield: runs them.
    """
    clock = VirtualClock()
    with (
        asyncio.Runner(loop_factory=lambda: VirtualLoop(clock, settle_s)) as runner,
        mock.patch.object(time, 'monotonic', clock.read),
        mock.patch.object(time, 'clock_gettime', clock.read_kind),
    ):
        yield runner


__all__ = (
    'VirtualClock',
    'VirtualLoop',
    'virtual_time',
)
