"""Signals of replicas about themselves: that they stop, ask for a pause, or limit their rate."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.state.evacuations import EvacuationRegistry
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.ratelimits import LimitObservation

if TYPE_CHECKING:
    from cassiahitch.direct.api import ResponseHead
    from cassiahitch.direct.backends.pool import ConnectionPool
    from cassiahitch.direct.placement.assignments import Assignment
    from cassiahitch.direct.placement.availability import ReplicaAvailability
    from cassiahitch.direct.state.ratelimits import RateLimitRegistry
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.direct.telemetry import Telemetry


@dataclass(frozen=True, slots=True)
class ReplicaSignals:
    """Applies the signals, and decides whether a request may be sent to a replica."""

    availability: ReplicaAvailability
    pool: ConnectionPool
    telemetry: Telemetry
    longest_pause_s: float
    rate_limits: RateLimitRegistry
    evacuations: EvacuationRegistry = field(default_factory=EvacuationRegistry)

    def receive_head(self, replica: Replica, head: ResponseHead, sent_at: float) -> None:
        """Apply the signals in the head of a response, whichever request it belongs to.

        :param replica: the replica that sent it.
        :param head: the head of the response.
        :param sent_at: when its request was sent, in seconds of the event loop's clock; minus
            infinity if that is unknown.
        """
        for name in head.invalid_headers:
            self.telemetry.header_ignored(replica, name)
        if head.stopping:
            self.mark_stopping(replica, 'answer')
        if head.pause_s is not None:
            self.mark_paused(replica, min(head.pause_s, self.longest_pause_s))
        if head.limit_per_s is not None:
            now = asyncio.get_running_loop().time()
            observation = LimitObservation.named(head.limit_per_s, sent_at, now)
            self.rate_limits.observe(replica, observation, 'answer')
        if head.cold_s:
            now = asyncio.get_running_loop().time()
            self.rate_limits.cold.observe(replica, head.cold_s, now, 'answer')

    def mark_stopping(self, replica: Replica, source: str) -> None:
        """Record that a replica is stopping, and close the idle connections to it.

        :param replica: the replica.
        :param source: where the signal came from, for the log.
        """
        if self.availability.record_stopping(replica.key, asyncio.get_running_loop().time()):
            self.telemetry.replica_stopping(replica, source)
        self.pool.close_idle(replica.key)

    def mark_paused(self, replica: Replica, seconds: float) -> None:
        """Record that a replica asked for a pause.

        :param replica: the replica.
        :param seconds: length of the pause.
        """
        if self.availability.record_pause(replica.key, seconds, asyncio.get_running_loop().time()):
            self.telemetry.replica_paused(replica, seconds)

    def may_send(self, assignment: Assignment) -> bool:
        """Return whether a request may be sent to its assigned replica now.

        :param assignment: the assignment.
        :return: false while the replica is evacuated, stopping or paused, and without a valid
            permit while it names a rate limit or is cold.
        """
        replica = assignment.candidate.replica
        if self.evacuations.is_evacuated(replica.failure_domain):
            return False
        key = replica.key
        now = asyncio.get_running_loop().time()
        if not self.availability.may_send(key, now):
            return False
        reservation = assignment.reservation
        return not self.rate_limits.needs_permit(key, now) or (
            reservation is not None and boot_time() < reservation.permit_until
        )

    def prune(self, listed: frozenset[str]) -> None:
        """Remove signals that have expired or whose replica is no longer listed.

        :param listed: keys of the listed replicas (incarnations).
        """
        for ended in self.availability.expire(listed, asyncio.get_running_loop().time()):
            self.telemetry.announcement_expired(ended)
        self.rate_limits.keep_only(listed)


__all__ = ('ReplicaSignals',)
