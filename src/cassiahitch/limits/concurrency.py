"""Adaptive concurrency limit of an entry for one service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.routing.replicas import InFlightHistory

if TYPE_CHECKING:
    from cassiahitch.routing.api import ServiceLoad

#: Requests queued at the replicas, as a fraction of their slots, so that no slot is idle.
QUEUE_SLACK = 0.35
#: Multiple of the free slots up to which all entries together may raise their bounds, since
#: reports show the added requests only later.
CLAIM_FACTOR = 2.0
#: Minimum of the bound.
MIN_BOUND = 1.0


class ConcurrencyLimit:
    """Limit on the requests that an entry has in flight for one service.

    Reports are late, so the load that they show is compared with the own requests in flight at the
    time of the reports. Comparing it with the current ones makes all entries oscillate together.
    """

    def __init__(self) -> None:
        """Create a limit at the minimum bound."""
        self.bound = MIN_BOUND
        self.in_flight = 0
        self.history = InFlightHistory()

    def allows(self) -> bool:
        """Return whether one more request may be dispatched.

        :return: whether the requests in flight are below the bound.
        """
        return self.in_flight < self.bound

    def acquire(self) -> None:
        """Count a dispatched request."""
        self.in_flight += 1

    def release(self) -> None:
        """Count a request that ended."""
        self.in_flight = max(0, self.in_flight - 1)

    def set_held(self, *, held: bool) -> None:
        """Free the slot of a request while it is held back, or occupy it again.

        :param held: whether the request is held back.
        """
        self.in_flight += -1 if held else 1

    def update(self, load: ServiceLoad, entries: int, now: float) -> None:
        """Adapt the bound to the load of the replicas.

        :param load: their total load, from all entries.
        :param entries: number of entries that send requests to them.
        :param now: seconds.
        """
        self.history.record(now, self.in_flight)
        target = load.capacity * (1 + QUEUE_SLACK)
        own = self.history.count_at(load.measured_at)
        if load.requests > target:
            proposed = own * target / load.requests
        else:
            proposed = own + CLAIM_FACTOR * (target - load.requests) / max(1, entries)
        self.bound = max(MIN_BOUND, target / max(1, entries), min(target, proposed))


__all__ = ('ConcurrencyLimit',)
