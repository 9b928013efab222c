"""Hybrid logical clock, which orders events of processes whose host clocks differ."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

from pydantic import Field

if TYPE_CHECKING:
    from cassiahitch.clock import Clock

MS_PER_S = 1000
MAX_PHYSICAL_MS = 2**53 - 1
MAX_COUNTER = 2**31 - 1
#: Largest lead of a remote timestamp that is adopted, in milliseconds; more means a wrong clock.
MAX_AHEAD_MS = 60_000


@dataclass(frozen=True, slots=True, order=True)
class Timestamp:
    """A time of the hybrid clock; ``counter`` orders timestamps of the same millisecond."""

    physical_ms: Annotated[int, Field(ge=0, le=MAX_PHYSICAL_MS)]
    counter: Annotated[int, Field(ge=0, le=MAX_COUNTER)] = 0


class HybridClock:
    """Issues increasing timestamps, each above those of all events known to precede it."""

    def __init__(self, clock: Clock) -> None:
        """Create the clock.

        :param clock: the clock of the host.
        """
        self.clock = clock
        self.latest = Timestamp(0)
        self.rejected = 0

    def tick(self) -> Timestamp:
        """Return the timestamp of an event of this process.

        :return: a timestamp above all that were issued or merged.
        """
        self.latest = self._after(self.latest)
        return self.latest

    def merge(self, remote: Timestamp) -> Timestamp:
        """Return a timestamp for the receipt of a message.

        :param remote: timestamp of the message.
        :return: a timestamp above ``remote``, unless that is too far ahead of the host's clock.
        """
        if remote.physical_ms > self._physical_ms() + MAX_AHEAD_MS:
            self.rejected += 1
            return self.tick()
        self.latest = self._after(max(self.latest, remote))
        return self.latest

    def _physical_ms(self) -> int:
        return int(self.clock.wall() * MS_PER_S)

    def _after(self, previous: Timestamp) -> Timestamp:
        physical_ms = self._physical_ms()
        if physical_ms > previous.physical_ms:
            return Timestamp(physical_ms)
        if previous.counter >= MAX_COUNTER:
            return Timestamp(previous.physical_ms + 1)
        return Timestamp(previous.physical_ms, previous.counter + 1)


__all__ = (
    'HybridClock',
    'Timestamp',
)
