"""Limits the rate of one replica over all entries, by permits that one agent grants.

Load pattern: a replica that names a rate limit is wanted by many entries, each of which sends only
a few requests. Equal shares of the limit would be left unused by most entries, and a limiter in
each entry would allow the limit many times.

A replica that is cold is wanted by as many, and crashes at a rate well above the cold rate of its
service. Permits that were left over would be used in the same moment, so it saves up few of them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cassiahitch.direct.state.coldness import cold_record
from cassiahitch.direct.state.ratelimits import LimitObservation, RateLimitTracker

if TYPE_CHECKING:
    from cassiahitch.util.endpoints import Endpoint
    from cassiahitch.wire.datagrammessages import LimitRecord

#: Seconds of the limit that may be granted at once after a time without requests.
BURST_S = 0.5
#: Seconds of the cold rate that may be granted at once.
COLD_BURST_S = 0.1
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
    of its query. The replica is cold until ``cold_until``, and then accepts ``cold_rate_per_s``, 0
    if there is no such limit. Times in seconds.
    """

    tracker: RateLimitTracker = field(default_factory=RateLimitTracker)
    tokens: float = 0
    filled_at: float = 0
    permits: dict[tuple[Endpoint, int], float] = field(default_factory=dict)
    cold_rate_per_s: float = 0
    cold_until: float = -math.inf

    @property
    def per_s(self) -> float:
        """Rate of permits per second."""
        return max(MIN_PER_S, self.tracker.current.per_s)

    @property
    def depth(self) -> float:
        """Maximum number of tokens."""
        return max(1, self.per_s * BURST_S)

    def is_cold(self, now: float) -> bool:
        """Return whether the replica is cold and its service has a cold rate.

        :param now: current time in seconds.
        :return: whether the cold rate applies.
        """
        return self.cold_rate_per_s > 0 and now < self.cold_until

    def cold_per_s(self, now: float) -> float:
        """Return the cold rate that applies.

        :param now: current time in seconds.
        :return: requests per second, infinity if the replica is not cold.
        """
        return self.cold_rate_per_s if self.is_cold(now) else math.inf

    def mark_cold(self, per_s: float, until: float, now: float) -> bool:
        """Record that the replica is cold; of several ends, the latest counts.

        :param per_s: cold rate of its service, 0 if it is unknown, which keeps the previous rate.
        :param until: when it stops being cold.
        :param now: current time in seconds.
        :return: whether the cold rate did not apply before.
        """
        was_cold = self.is_cold(now)
        if was_cold or self.tracker.is_limited:
            self.fill(now)
        if per_s > 0:
            self.cold_rate_per_s = per_s
        self.cold_until = max(self.cold_until, until)
        if was_cold or not self.is_cold(now):
            return False
        # Requests without permits may have been sent until now.
        self.tokens = 0
        self.filled_at = now
        return True

    def records(self, now: float, replica: str = '', born_ms: int = 0) -> tuple[LimitRecord, ...]:
        """Return the limits as they are sent to entries.

        :param now: current time in seconds.
        :param replica: id of the replica, empty for the engine of this agent.
        :param born_ms: Unix time at which the replica started.
        :return: one record, or none if the replica has never named a limit and its service has no
            cold rate.
        """
        if not self.cold_rate_per_s:
            return self.tracker.records(now, replica, born_ms)
        cold = cold_record(self.cold_until - now, self.cold_rate_per_s)
        return (replace(self.tracker.current.record(now, replica, born_ms), cold=(cold,)),)

    def cold_depth(self, now: float) -> float:
        """Return the maximum number of tokens of a cold replica.

        :param now: current time in seconds.
        :return: tokens, infinity if the replica is not cold.
        """
        return max(1, self.cold_per_s(now) * COLD_BURST_S)

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
        if self.tracker.is_limited and not was_limited:
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
        if not self.tracker.is_limited and not self.is_cold(now):
            return None
        self.fill(now)
        if self.tokens < 1:
            return Refusal((1 - self.tokens) / min(self.per_s, self.cold_per_s(now)))
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
        per_s = min(self.per_s, self.cold_per_s(now))
        depth = min(self.depth, self.cold_depth(now))
        self.tokens = min(depth, self.tokens + elapsed_s * per_s)
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
