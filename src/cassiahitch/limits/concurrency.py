"""Adaptive bound on the requests that an entry has in flight for one service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.routing.replicas import InFlightHistory

if TYPE_CHECKING:
    from cassiahitch.routing.api import ServiceLoad

#: Requests kept at the replicas beyond their slots, as a share of the slots, so that none idles.
SLACK = 0.35
#: Part of the free room that all entries together may claim before they see each other's claims.
CLAIM = 2.0
#: Smallest bound.
LEAST = 1.0


class ConcurrencyLimit:
    """Requests that an entry may have in flight for one service.

    Reports are late, so that the load they show is compared with the own requests of that
    moment: a comparison with those of now makes all entries swing together.
    """

    def __init__(self) -> None:
        """Create it with its smallest bound."""
        self.bound = LEAST
        self.in_flight = 0
        self.history = InFlightHistory()

    def allows(self) -> bool:
        """Tell whether one more request may be dispatched.

        :return: whether it may.
        """
        return self.in_flight < self.bound

    def acquire(self) -> None:
        """Count a request that was dispatched."""
        self.in_flight += 1

    def release(self) -> None:
        """Count a request that ended."""
        self.in_flight = max(0, self.in_flight - 1)

    def hold(self, *, held: bool) -> None:
        """Give the slot of a request that is held back to others, or take it again.

        :param held: whether it is held back from now on.
        """
        self.in_flight += -1 if held else 1

    def update(self, load: ServiceLoad, entries: int, now: float) -> None:
        """Adapt the bound to the load of the replicas.

        :param load: their load, by all entries.
        :param entries: entries that send to them.
        :param now: seconds.
        """
        self.history.record(now, self.in_flight)
        target = load.capacity * (1 + SLACK)
        own = self.history.at(load.at)
        if load.requests > target:
            wanted = own * target / load.requests
        else:
            wanted = own + CLAIM * (target - load.requests) / max(1, entries)
        self.bound = max(LEAST, target / max(1, entries), min(target, wanted))


__all__ = ('ConcurrencyLimit',)
