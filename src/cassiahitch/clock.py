"""Clocks of the host and of tests; decision code takes the time as an argument instead."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary start; never decreases."""

    def wall(self) -> float:
        """Return the seconds since the Unix epoch."""


class SystemClock:
    """The clock of this host."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary start; never decreases.

        :return: seconds.
        """
        return time.monotonic()

    def wall(self) -> float:
        """Return the seconds since the Unix epoch.

        :return: seconds.
        """
        return time.time()


class ManualClock:
    """A clock for tests that moves only by :meth:`advance`."""

    def __init__(self, start: float = 0) -> None:
        """Create the clock.

        :param start: initial time in seconds.
        """
        self.now = start

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: the difference in seconds, negative to move it back.
        """
        self.now += seconds

    def monotonic(self) -> float:
        """Return the current time of this clock.

        :return: seconds.
        """
        return self.now

    def wall(self) -> float:
        """Return the current time of this clock.

        :return: seconds.
        """
        return self.now


__all__ = (
    'Clock',
    'ManualClock',
    'SystemClock',
)
