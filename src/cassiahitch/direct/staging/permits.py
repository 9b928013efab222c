"""Grants permits for requests to plain replicas that name a rate limit or are cold.

A plain replica has no agent of its own. The entries choose the agent of an engine for each of them,
see :mod:`cassiahitch.direct.placement.limiterchoice`.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.limitlog import log_cold_rate, log_rate_limit
from cassiahitch.direct.staging.ratelimiter import RateLimiter
from cassiahitch.direct.state.coldness import MAX_COLD_S, MILLI, MS_PER_S
from cassiahitch.direct.state.ratelimits import observation_of
from cassiahitch.wire.datagrammessages import (
    LimitNotice,
    PermitQuery,
    PermitRefusal,
    PermitReply,
    PlaceReturn,
)

if TYPE_CHECKING:
    from cassiahitch.direct.staging.ratelimiter import Refusal
    from cassiahitch.direct.statelog import StateLog
    from cassiahitch.util.endpoints import Endpoint
    from cassiahitch.wire.datagrammessages import DatagramMessage, LimitRecord
    from cassiahitch.wire.datagrams import DatagramSocket

#: Seconds without queries and notices after which the limiter of a replica is removed.
IDLE_EXPIRY_S = 60.0


@dataclass(slots=True)
class ReplicaPermits:
    """The rate limiter of a plain replica, and when an entry last asked for it, in seconds."""

    limiter: RateLimiter = field(default_factory=RateLimiter)
    used_at: float = 0


@dataclass(slots=True)
class PermitService:
    """Replies to permit queries; ``replicas`` holds the limiters by id and start of the replica."""

    log: StateLog
    socket: DatagramSocket | None = None
    replicas: dict[tuple[str, int], ReplicaPermits] = field(default_factory=dict)

    def receive(self, message: DatagramMessage, sender: Endpoint) -> None:
        """Handle a datagram of an entry.

        :param message: the message.
        :param sender: the entry.
        """
        now = asyncio.get_running_loop().time()
        match message:
            case PermitQuery(number=number, limits=(record, *_)):
                self.reply(number, record, sender, now)
            case LimitNotice(limits=limits):
                self.apply_notice(limits, sender, now)
            case PlaceReturn(number=number):
                for permits in self.replicas.values():
                    permits.limiter.release(sender, number)

    def apply_notice(self, records: tuple[LimitRecord, ...], entry: Endpoint, now: float) -> None:
        """Apply what an entry has observed; records of the engine of this agent are ignored.

        :param records: the observations.
        :param entry: the entry.
        :param now: current time in seconds.
        """
        for record in records:
            if record.replica:
                self.observe(record, entry, now)

    def reply(self, number: int, record: LimitRecord, entry: Endpoint, now: float) -> None:
        """Reply to a query for a permit.

        :param number: number of the query.
        :param record: the limit of the replica as the entry has observed it.
        :param entry: the entry.
        :param now: current time in seconds.
        """
        limiter = self.observe(record, entry, now)
        refusal = limiter.request(entry, number, now)
        reply = PermitReply(
            number,
            limiter.records(now, record.replica, record.born_ms),
            refusal_records(refusal),
        )
        if self.socket is not None:
            self.socket.send(reply, entry)

    def observe(self, record: LimitRecord, entry: Endpoint, now: float) -> RateLimiter:
        """Apply an observation of an entry, and return the limiter of its replica.

        :param record: the observation.
        :param entry: the entry.
        :param now: current time in seconds.
        :return: the limiter, which is created if needed.
        """
        self.expire(now)
        permits = self.replicas.setdefault((record.replica, record.born_ms), ReplicaPermits())
        permits.used_at = now
        before = permits.limiter.tracker.current
        if permits.limiter.observe(observation_of(record, now), now):
            log_rate_limit(
                self.log,
                permits.limiter.tracker.current.per_s,
                before.per_s,
                str(entry),
                replica=record.replica,
                born_ms=record.born_ms,
            )
        self.mark_cold(permits.limiter, record, entry, now)
        return permits.limiter

    def mark_cold(
        self, limiter: RateLimiter, record: LimitRecord, entry: Endpoint, now: float
    ) -> None:
        """Record how long a replica stays cold, and log it if it has become cold.

        :param limiter: the limiter of the replica.
        :param record: the observation.
        :param entry: the entry.
        :param now: current time in seconds.
        """
        for cold in record.cold:
            left_s = min(MAX_COLD_S, cold.left_ms / MS_PER_S)
            per_s = cold.milli_per_s / MILLI
            if left_s > 0 and limiter.mark_cold(per_s, now + left_s, now):
                log_cold_rate(
                    self.log,
                    per_s,
                    left_s,
                    str(entry),
                    replica=record.replica,
                    born_ms=record.born_ms,
                )

    def expire(self, now: float) -> None:
        """Remove the limiters that no entry has used for long.

        :param now: current time in seconds.
        """
        self.replicas = {
            replica: permits
            for replica, permits in self.replicas.items()
            if now - permits.used_at < IDLE_EXPIRY_S
        }


def refusal_records(refusal: Refusal | None) -> tuple[PermitRefusal, ...]:
    """Return a refusal as it is sent to an entry.

    :param refusal: the refusal, None if the permit is granted.
    :return: one record, or none.
    """
    if refusal is None:
        return ()
    return (PermitRefusal(math.ceil(refusal.available_s * MS_PER_S)),)


__all__ = (
    'PermitService',
    'refusal_records',
)
