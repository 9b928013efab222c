"""Rate limits that replicas name in their responses.

Load pattern: an overloaded replica names the rate of requests that it accepts from all entries
together. Responses overtake each other, and processes exchange what they have observed. A response
to a request that was sent before the limit was raised must not raise a limit that was lowered
meanwhile.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class LimitObservation:
    """The rate limit that a replica named in a response; times in seconds.

    ``per_s`` is in requests per second, infinity if the replica named no limit. The replica wrote
    the response between ``sent_at``, when the request was sent, and ``received_at``.
    """

    per_s: float = math.inf
    sent_at: float = -math.inf
    received_at: float = -math.inf


@dataclass(slots=True)
class RateLimitTracker:
    """The rate limit that applies to one replica, and the observation that it is based on."""

    current: LimitObservation = LimitObservation()

    def observe(self, observation: LimitObservation) -> bool:
        """Apply an observation unless it may be older than the current limit.

        A limit that is not higher applies unless it is certainly older; a higher one, or none,
        applies only if it is certainly newer.

        :param observation: the observation, in any order.
        :return: whether the limit changed.
        """
        current = self.current
        if observation.per_s > current.per_s:
            is_applicable = observation.sent_at >= current.received_at
        else:
            is_applicable = observation.received_at >= current.sent_at
        if not is_applicable:
            return False
        if observation.per_s == current.per_s:
            observation = LimitObservation(
                current.per_s,
                max(current.sent_at, observation.sent_at),
                max(current.received_at, observation.received_at),
            )
        self.current = observation
        return observation.per_s != current.per_s


@dataclass(slots=True)
class RateLimitRegistry:
    """Rate limits of replicas by key, so that none applies to another incarnation."""

    trackers: dict[str, RateLimitTracker] = field(default_factory=dict)

    def limit(self, key: str) -> LimitObservation:
        """Return the current limit of a replica.

        :param key: key of the replica.
        :return: the observation that the limit is based on.
        """
        tracker = self.trackers.get(key)
        return LimitObservation() if tracker is None else tracker.current

    def is_limited(self, key: str) -> bool:
        """Return whether a replica names a rate limit.

        :param key: key of the replica.
        :return: whether it does, as far as this process has observed.
        """
        return self.limit(key).per_s < math.inf

    def observe(self, key: str, observation: LimitObservation) -> bool:
        """Apply an observation of the limit of a replica.

        :param key: key of the replica.
        :param observation: the observation.
        :return: whether its limit changed.
        """
        return self.trackers.setdefault(key, RateLimitTracker()).observe(observation)

    def keep_only(self, keys: frozenset[str]) -> None:
        """Drop the limits of replicas that are no longer registered.

        :param keys: keys of the registered replicas.
        """
        self.trackers = {key: tracker for key, tracker in self.trackers.items() if key in keys}


__all__ = (
    'LimitObservation',
    'RateLimitRegistry',
    'RateLimitTracker',
)
