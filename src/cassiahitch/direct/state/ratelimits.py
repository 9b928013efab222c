"""Rate limits of replicas: those that they name in their responses, and those of cold replicas.

Load pattern: an overloaded replica names the rate of requests that it accepts from all entries
together. Responses overtake each other, and processes exchange what they have observed. A response
to a request that was sent before the limit was lowered must not raise it again. A replica that is
cold accepts no more than the cold rate of its service, whether it names a limit or not.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Self

from cassiahitch.direct.state.coldness import ColdRegistry
from cassiahitch.direct.state.coldshares import ColdShares
from cassiahitch.wire.datagrammessages import LimitRecord

if TYPE_CHECKING:
    from cassiahitch.direct.state.replicas import Replica

MS_PER_S = 1000
#: Seconds without a confirmation after which a limit is checked by a request, as it may have ended.
CHECK_AFTER_S = 3.0
#: Requests per second are sent in thousandths.
MILLI = 1000
#: Value of a record of a response that named no limit.
NO_LIMIT_MILLI = -1
#: Maximum time without queries for permits after a refusal, in seconds.
MAX_PERMIT_WAIT_S = 5.0
#: Maximum number of limits in a message to another entry.
MAX_SENT_LIMITS = 4
#: Maximum age of a record; observations of unknown age are sent with it.
MAX_AGE_S = 1e6


@dataclass(frozen=True, slots=True)
class LimitObservation:
    """The rate limit that a replica named in a response; times in seconds.

    ``per_s`` is in requests per second, infinity if the replica named no limit. The replica wrote
    the response between ``sent_at``, when the request was sent, and ``received_at``.
    """

    per_s: float = math.inf
    sent_at: float = -math.inf
    received_at: float = -math.inf

    @classmethod
    def named(cls, per_s: float, sent_at: float, received_at: float) -> Self:
        """Return the observation of a limit, rounded down as it is sent to other processes.

        :param per_s: the limit that a response named, infinity if none.
        :param sent_at: when the request was sent, minus infinity if that is unknown.
        :param received_at: when the response was received.
        :return: the observation.
        """
        rounded = per_s if per_s == math.inf else int(per_s * MILLI) / MILLI
        return cls(rounded, sent_at, received_at)

    def record(self, now: float, replica: str = '', born_ms: int = 0) -> LimitRecord:
        """Return the observation as it is sent to other processes.

        :param now: current time in seconds.
        :param replica: id of the replica, empty for the engine of an agent.
        :param born_ms: Unix time at which the replica started.
        :return: the record.
        """
        return LimitRecord(
            replica,
            born_ms,
            NO_LIMIT_MILLI if self.per_s == math.inf else int(self.per_s * MILLI),
            math.ceil(min(MAX_AGE_S, now - self.sent_at) * MS_PER_S),
            int(min(MAX_AGE_S, now - self.received_at) * MS_PER_S),
        )


def observation_of(record: LimitRecord, now: float) -> LimitObservation:
    """Return the observation of a record that was received.

    :param record: the record.
    :param now: current time in seconds.
    :return: the observation, with times of this host.
    """
    return LimitObservation(
        record.milli_per_s / MILLI if record.milli_per_s >= 0 else math.inf,
        now - max(0, record.sent_age_ms) / MS_PER_S,
        now - max(0, record.received_age_ms) / MS_PER_S,
    )


@dataclass(slots=True)
class RateLimitTracker:
    """The rate limit that applies to one replica, and the observation that it is based on.

    ``was_limited`` is set once the replica has named a limit.
    """

    current: LimitObservation = LimitObservation()
    was_limited: bool = False

    @property
    def is_limited(self) -> bool:
        """Whether a limit applies."""
        return self.current.per_s < math.inf

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
        self.was_limited = self.was_limited or self.is_limited
        return observation.per_s != current.per_s

    def records(self, now: float, replica: str = '', born_ms: int = 0) -> tuple[LimitRecord, ...]:
        """Return the current limit as it is sent to other processes.

        :param now: current time in seconds.
        :param replica: id of the replica, empty for the engine of an agent.
        :param born_ms: Unix time at which the replica started.
        :return: one record, or none if the replica has never named a limit.
        """
        return (self.current.record(now, replica, born_ms),) if self.was_limited else ()


def _ignore_change(_: Replica, _before: LimitObservation, _source: str) -> None:
    """Ignore a change of a limit; the default without a listener."""


@dataclass(slots=True)
class RateLimitRegistry:
    """Rate limits of replicas by key, so that none applies to another incarnation.

    ``named`` holds the replicas that have named a limit, ``permits_at`` the times in seconds at
    which their next permits are available, by the last refusals. ``on_change`` is called with the
    replica, its limit before, and the source of the observation. ``cold`` holds the replicas that
    are cold, ``shares`` what this entry may send without a permit.
    """

    rng: random.Random = field(default_factory=random.Random)
    trackers: dict[str, RateLimitTracker] = field(default_factory=dict)
    named: dict[str, Replica] = field(default_factory=dict)
    permits_at: dict[str, float] = field(default_factory=dict)
    on_change: Callable[[Replica, LimitObservation, str], None] = _ignore_change
    cold: ColdRegistry = field(default_factory=ColdRegistry)
    shares: ColdShares = field(default_factory=ColdShares)

    def tracker(self, key: str) -> RateLimitTracker:
        """Return the tracker of a replica, which is created if needed.

        :param key: key of the replica.
        :return: the tracker.
        """
        return self.trackers.setdefault(key, RateLimitTracker())

    def is_limited(self, key: str) -> bool:
        """Return whether a replica names a rate limit.

        :param key: key of the replica.
        :return: whether it does, as far as this process knows.
        """
        return self.tracker(key).is_limited

    def needs_permit(self, key: str, now: float) -> bool:
        """Return whether a request to a replica needs a permit.

        :param key: key of the replica.
        :param now: current time in seconds.
        :return: whether the replica names a rate limit or is cold, as far as this process knows.
        """
        return self.is_limited(key) or self.cold.is_cold(key, now)

    def needs_check(self, key: str, now: float) -> bool:
        """Return whether the limit of a replica was not confirmed for some time.

        :param key: key of the replica.
        :param now: current time in seconds.
        :return: whether it is limited, and no process is known to have seen that recently.
        """
        tracker = self.tracker(key)
        return tracker.is_limited and now - tracker.current.received_at >= CHECK_AFTER_S

    def observe(self, replica: Replica, observation: LimitObservation, source: str) -> None:
        """Apply an observation of the limit of a replica.

        :param replica: the replica.
        :param observation: the observation.
        :param source: where it came from.
        """
        tracker = self.tracker(replica.key)
        before = tracker.current
        if tracker.observe(observation):
            self.named[replica.key] = replica
            self.on_change(replica, before, source)

    def apply_report(self, replica: Replica, records: tuple[LimitRecord, ...], now: float) -> None:
        """Apply the limits that an agent has reported for a replica.

        :param replica: the replica.
        :param records: one record, or none.
        :param now: current time in seconds.
        """
        for record in records:
            self.observe(replica, observation_of(record, now), 'agent')
            self.cold.apply_report(replica, record.cold, now, 'agent')

    def record_refusal(self, key: str, available_s: float, now: float) -> None:
        """Record that no permit is available for a replica.

        :param key: key of the replica.
        :param available_s: seconds until one becomes available.
        :param now: current time in seconds.
        """
        self.permits_at[key] = now + min(MAX_PERMIT_WAIT_S, available_s)

    def permit_wait_s(self, key: str, now: float) -> float:
        """Return how long no permit is available for a replica, as far as this process knows.

        :param key: key of the replica.
        :param now: current time in seconds.
        :return: seconds, 0 if one may be available.
        """
        return max(0, self.permits_at.get(key, now) - now)

    def records(self, replica: Replica, now: float) -> tuple[LimitRecord, ...]:
        """Return the limit of a replica as it is sent to other processes.

        :param replica: the replica.
        :param now: current time in seconds.
        :return: one record, or none if the replica has never named a limit and is not cold.
        """
        return self.records_named(replica, replica.id, now)

    def records_named(self, replica: Replica, name: str, now: float) -> tuple[LimitRecord, ...]:
        """Return the limits of a replica under a name for a message to an agent.

        :param replica: the replica.
        :param name: its id, empty for the engine of that agent.
        :param now: current time in seconds.
        :return: one record, or none if the replica has never named a limit and is not cold.
        """
        tracker = self.tracker(replica.key)
        cold = self.cold.records(replica.key, now)
        if not cold:
            return tracker.records(now, name, replica.born_ms)
        return (replace(tracker.current.record(now, name, replica.born_ms), cold=cold),)

    def limited_replicas(self) -> list[Replica]:
        """Return the replicas that name a rate limit.

        :return: the replicas.
        """
        return [replica for key, replica in self.named.items() if self.is_limited(key)]

    def records_to_send(self, now: float) -> tuple[LimitRecord, ...]:
        """Return limits in force for a message to another entry.

        :param now: current time in seconds.
        :return: records of random replicas among those that are limited.
        """
        limited = self.limited_replicas()
        chosen = self.rng.sample(limited, min(MAX_SENT_LIMITS, len(limited)))
        return tuple(record for replica in chosen for record in self.records(replica, now))

    def keep_only(self, keys: frozenset[str]) -> None:
        """Drop the limits of replicas that are no longer registered.

        :param keys: keys of the registered replicas.
        """
        self.trackers = {key: tracker for key, tracker in self.trackers.items() if key in keys}
        self.named = {key: replica for key, replica in self.named.items() if key in keys}
        self.permits_at = {key: at for key, at in self.permits_at.items() if key in keys}
        self.cold.keep_only(keys)
        self.shares.keep_only(keys)


__all__ = (
    'LimitObservation',
    'RateLimitRegistry',
    'RateLimitTracker',
    'observation_of',
)
