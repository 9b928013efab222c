"""The share of one entry in the retries of a service.

Load pattern: a fault breaks many requests at once, and the retries of all entries together must
not become a second burst.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

#: Part of the allowance that is used; entries that are not known yet have the rest.
USABLE_FRACTION = 0.8
#: Entries for which the fixed part is divided at least.
MIN_ENTRIES = 6


@dataclass(slots=True)
class SlidingWindow:
    """Counts events of the last seconds."""

    span_s: float
    times: deque[float] = field(default_factory=deque)

    def add(self, now: float) -> None:
        """Count an event.

        :param now: seconds.
        """
        self.times.append(now)

    def count(self, now: float) -> int:
        """Return the events within the span.

        :param now: seconds.
        :return: their number.
        """
        while self.times and self.times[0] <= now - self.span_s:
            self.times.popleft()
        return len(self.times)


@dataclass(slots=True)
class ServiceRetries:
    """First sends and retries of one service in the window."""

    requests: SlidingWindow
    retries: SlidingWindow


@dataclass(slots=True)
class RetryBudget:
    """Decides whether a request may be sent again.

    Over all entries, a service may get ``ratio`` of its requests and ``slack`` sends more than
    first ones in any ``window_s``.
    """

    ratio: float
    slack: float
    window_s: float
    services: dict[str, ServiceRetries] = field(default_factory=dict)

    def counts_of(self, name: str) -> ServiceRetries:
        """Return the counts of a service.

        :param name: the service.
        :return: its counts.
        """
        if name not in self.services:
            self.services[name] = ServiceRetries(
                SlidingWindow(self.window_s), SlidingWindow(self.window_s)
            )
        return self.services[name]

    def record_request(self, name: str, now: float) -> None:
        """Count a request of a caller.

        :param name: the service.
        :param now: seconds.
        """
        self.counts_of(name).requests.add(now)

    def remaining(self, name: str, entries: int, now: float) -> float:
        """Return how many requests may be sent again now.

        :param name: the service.
        :param entries: the entries that are known to live, with this one.
        :param now: seconds.
        :return: sends.
        """
        counts = self.counts_of(name)
        fixed = self.slack / max(entries, MIN_ENTRIES)
        allowed = USABLE_FRACTION * (fixed + self.ratio * counts.requests.count(now))
        return allowed - counts.retries.count(now)

    def try_spend(self, name: str, entries: int, now: float) -> bool:
        """Spend one retry if there is one.

        :param name: the service.
        :param entries: the entries that are known to live, with this one.
        :param now: seconds.
        :return: whether the request may be sent again.
        """
        if self.remaining(name, entries, now) < 1:
            return False
        self.counts_of(name).retries.add(now)
        return True


__all__ = ('RetryBudget',)
