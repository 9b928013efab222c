"""An event loop with a virtual clock, which advances only to the next timer when the loop is idle.

The processes of a site in one event loop, with sockets on loopback, run as if the machine were
infinitely fast: a busy machine changes how long a test takes, but not its outcome.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

#: Real seconds until bytes on loopback, or the result of a thread, become visible.
SETTLE_S = 0.0005
#: Virtual time in seconds at the start; the same in each run, since rounding of floating-point sums
#: depends on it.
START_S = 4096.0


class VirtualClock:
    """A clock that advances only when the selector does."""

    def __init__(self) -> None:
        """Create a clock at the start time."""
        self.now = START_S
        self.suspended_s: float = 0

    def read(self) -> float:
        """Return the virtual time.

        :return: seconds.
        """
        return self.now

    def read_kind(self, kind: int) -> float:
        """Return the virtual time of a system clock; only the boot clock counts suspensions.

        :param kind: number of the clock.
        :return: seconds.
        """
        if kind == time.CLOCK_BOOTTIME:
            return self.now + self.suspended_s
        return self.now


class _VirtualSelector(selectors.DefaultSelector):
    """Advances the clock by the timeout instead of waiting for it."""

    def __init__(self, clock: VirtualClock, settle_s: float) -> None:
        super().__init__()
        self.clock = clock
        self.settle_s = settle_s

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, Any]]:
        """Return the ready files; wait in real time only if there is no timer."""
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
    """An event loop that runs on a virtual clock."""

    def __init__(self, clock: VirtualClock, settle_s: float) -> None:
        """Create an event loop.

        :param clock: the virtual clock.
        :param settle_s: real seconds to wait for files before the clock advances.
        """
        super().__init__(_VirtualSelector(clock, settle_s))
        self.clock = clock

    def time(self) -> float:
        """Return the time of the loop.

        :return: seconds.
        """
        return self.clock.now


@contextmanager
def virtual_time(settle_s: float = SETTLE_S) -> Iterator[asyncio.Runner]:
    """Run coroutines in virtual time; the clocks that the project reads are patched.

    :param settle_s: real seconds to wait for files before the clock advances; 0 suits code without
        sockets and threads.
    :yield: the runner of the coroutines.
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
