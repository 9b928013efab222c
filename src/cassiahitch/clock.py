"""Sources of time; decisions take the time as an argument instead."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary start; never goes back."""

    def wall(self) -> float:
        """Return the seconds since the Unix epoch."""


class SystemClock:
    """The clock of this host."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary start; never goes back.

        :return: seconds.
        """
        return time.monotonic()

    def wall(self) -> float:
        """Return the seconds since the Unix epoch.

        :return: seconds.
        """
        return time.time()


class ManualClock:
    """A clock that moves only when told to."""

    def __init__(self, start: float = 0) -> None:
        """Create the clock.

        :param start: seconds it shows at first.
        """
        self.now = start

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: how far.
        """
        self.now += seconds

    def monotonic(self) -> float:
        """Return the seconds shown.

        :return: seconds.
        """
        return self.now

    def wall(self) -> float:
        """Return the seconds shown.

        :return: seconds.
        """
        return self.now


__all__ = (
    'Clock',
    'ManualClock',
    'SystemClock',
)
