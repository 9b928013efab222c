"""Limits the rate of one replica over all entries, by permits that one agent grants.

Load pattern: a replica that names a rate limit is wanted by many entries, each of which sends only
a few requests. Equal shares of the limit would be left unused by most entries, and a limiter in
each entry would allow the limit many times.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.state.ratelimits import LimitObservation, RateLimitTracker

if TYPE_CHECKING:
    from cassiahitch.util.endpoints import Endpoint

#: Seconds of the limit that may be granted at once after a time without requests.
BURST_S = 0.5
#: Least rate of permits per second: without any request, the end of a limit would not be noticed.
MIN_PER_S = 0.2
#: Seconds after which an unused permit can no longer be returned.
RETURN_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """No permit is granted; one may be available in ``available_s`` seconds."""

    available_s: float


@dataclass(slots=True)
class RateLimiter:
    """Token bucket that grants permits for the requests of all entries to one replica.

    It starts without tokens, since an earlier process may have granted permits that are still used.
    ``permits`` holds when each permit that may be returned was granted, by the entry and the number
    of its query. Times in seconds.
    """

    tracker: RateLimitTracker = field(default_factory=RateLimitTracker)
    tokens: float = 0
    filled_at: float = 0
    permits: dict[tuple[Endpoint, int], float] = field(default_factory=dict)

    @property
    def per_s(self) -> float:
        """Rate of permits per second."""
        return max(MIN_PER_S, self.tracker.current.per_s)

    @property
    def depth(self) -> float:
        """Maximum number of tokens."""
        return max(1, self.per_s * BURST_S)

    def observe(self, observation: LimitObservation, now: float) -> bool:
        """Apply an observation of the limit.

        :param observation: the observation.
        :param now: current time in seconds.
        :return: whether the limit changed.
        """
        was_limited = self.tracker.is_limited
        if was_limited:
            self.fill(now)
        changed = self.tracker.observe(observation)
        if not was_limited:
            self.tokens = 0
            self.filled_at = now
        return changed

    def request(self, entry: Endpoint, number: int, now: float) -> Refusal | None:
        """Grant or refuse a permit.

        :param entry: the entry that sent the query.
        :param number: number of its query.
        :param now: current time in seconds.
        :return: the refusal, or None if the request may be sent.
        """
        if not self.tracker.is_limited:
            return None
        self.fill(now)
        if self.tokens < 1:
            return Refusal((1 - self.tokens) / self.per_s)
        self.tokens -= 1
        self.expire(now)
        self.permits[entry, number] = now
        return None

    def release(self, entry: Endpoint, number: int) -> None:
        """Take back a permit whose request is not sent.

        :param entry: the entry that sent the query.
        :param number: number of its query.
        """
        if self.permits.pop((entry, number), None) is not None:
            self.tokens = min(self.depth, self.tokens + 1)

    def fill(self, now: float) -> None:
        """Add the tokens for the time since the last call.

        :param now: current time in seconds.
        """
        elapsed_s = max(0, now - self.filled_at)
        self.tokens = min(self.depth, self.tokens + elapsed_s * self.per_s)
        self.filled_at = max(now, self.filled_at)

    def expire(self, now: float) -> None:
        """Forget the permits that can no longer be returned.

        :param now: current time in seconds.
        """
        # Permits are stored in the order in which they were granted, the oldest first.
        for permit, granted_at in tuple(self.permits.items()):
            if now - granted_at < RETURN_TIMEOUT_S:
                return
            self.permits.pop(permit)


__all__ = (
    'RateLimiter',
    'Refusal',
)
