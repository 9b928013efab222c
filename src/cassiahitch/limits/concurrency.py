"""Adaptive bound on the requests that an entry has in flight for one service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.routing.api import ServiceLoad

#: Requests kept at the replicas beyond their slots, as a share of the slots, so that none idles.
SLACK = 0.1
#: Largest change of the bound by one update.
LARGEST_STEP = 0.2
#: Requests added by each update while the replicas have room.
INCREASE = 1.0
#: Smallest bound.
LEAST = 1.0


class ConcurrencyLimit:
    """Requests that an entry may have in flight for one service.

    All entries shrink their bounds by the same factor and grow them by the same step, so that
    they come to equal shares while each follows its own demand.
    """

    def __init__(self) -> None:
        """Create it with its smallest bound."""
        self.bound = LEAST
        self.in_flight = 0
        self.started = False
        self.peak = 0

    def allows(self) -> bool:
        """Tell whether one more request may be dispatched.

        :return: whether it may.
        """
        return self.in_flight < self.bound

    def dispatched(self) -> None:
        """Count a request that was dispatched."""
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)

    def finished(self) -> None:
        """Count a request that ended."""
        self.in_flight = max(0, self.in_flight - 1)

    def update(self, load: ServiceLoad, entries: int) -> None:
        """Adapt the bound to the load of the replicas.

        :param load: their load, by all entries.
        :param entries: entries that send to them.
        """
        target = load.capacity * (1 + SLACK)
        fair = target / max(1, entries)
        if not self.started:
            self.started = True
            self.bound = max(LEAST, fair)
        factor = target / max(1, load.requests)
        if factor < 1:
            self.bound *= max(1 - LARGEST_STEP, factor)
        elif self.peak + 1 >= self.bound:
            self.bound *= min(1 + LARGEST_STEP, factor)
        self.bound = max(LEAST, min(target, self.bound + INCREASE / max(1, entries)))
        self.peak = self.in_flight


__all__ = ('ConcurrencyLimit',)
