"""Retry budget of an entry for each service.

Load pattern: a fault breaks many requests at once, and the retries of all entries together must
not become a second burst.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

#: Fraction of the allowance that is spent; the rest covers entries that this one has not
#: discovered yet.
USABLE_FRACTION = 0.8
#: Least number of entries that the slack is divided among.
MIN_ENTRIES = 6


@dataclass(slots=True)
class SlidingWindow:
    """Counts the events of the last ``window_s`` seconds."""

    window_s: float
    event_times: deque[float] = field(default_factory=deque)

    def add(self, now: float) -> None:
        """Count an event.

        :param now: time of the event, in seconds.
        """
        self.event_times.append(now)

    def count(self, now: float) -> int:
        """Return the number of events in the window.

        :param now: current time, in seconds.
        :return: the number of events.
        """
        while self.event_times and self.event_times[0] <= now - self.window_s:
            self.event_times.popleft()
        return len(self.event_times)


@dataclass(slots=True)
class ServiceCounts:
    """Requests of callers and retries of one service."""

    requests: SlidingWindow
    retries: SlidingWindow


@dataclass(slots=True)
class RetryBudget:
    """Limits the retries of each service.

    In any ``window_s`` seconds, all entries together may send a service at most ``ratio`` times
    the number of its requests plus ``slack`` retries.
    """

    ratio: float
    slack: float
    window_s: float
    services: dict[str, ServiceCounts] = field(default_factory=dict)

    def counts_for(self, name: str) -> ServiceCounts:
        """Return the counts of a service, which are created on first use.

        :param name: name of the service.
        :return: its counts.
        """
        if name not in self.services:
            self.services[name] = ServiceCounts(
                SlidingWindow(self.window_s), SlidingWindow(self.window_s)
            )
        return self.services[name]

    def record_request(self, name: str, now: float) -> None:
        """Count a request of a caller.

        :param name: name of the service.
        :param now: current time, in seconds.
        """
        self.counts_for(name).requests.add(now)

    def remaining(self, name: str, entries: int, now: float) -> float:
        """Return how many retries this entry may send now.

        :param name: name of the service.
        :param entries: number of live entries, including this one.
        :param now: current time, in seconds.
        :return: the number of retries, which may be negative or a fraction.
        """
        counts = self.counts_for(name)
        fixed_share = self.slack / max(entries, MIN_ENTRIES)
        allowed = USABLE_FRACTION * (fixed_share + self.ratio * counts.requests.count(now))
        return allowed - counts.retries.count(now)

    def try_spend(self, name: str, entries: int, now: float) -> bool:
        """Spend one retry if the budget allows it.

        :param name: name of the service.
        :param entries: number of live entries, including this one.
        :param now: current time, in seconds.
        :return: whether the request may be retried.
        """
        if self.remaining(name, entries, now) < 1:
            return False
        self.counts_for(name).retries.add(now)
        return True


__all__ = ('RetryBudget',)
