"""What replicas say of themselves in their answers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.direct.api import ResponseHead
    from cassiahitch.direct.backends.pool import ConnectionPool
    from cassiahitch.direct.placement.availability import ReplicaAvailability
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.direct.telemetry import Telemetry


@dataclass(frozen=True, slots=True)
class ReplicaSignals:
    """Takes it in, and tells whether a request may be sent."""

    availability: ReplicaAvailability
    pool: ConnectionPool
    telemetry: Telemetry
    longest_pause_s: float

    def receive_head(self, replica: Replica, head: ResponseHead) -> None:
        """Take the start of an answer in, whatever request it belongs to.

        :param replica: the replica at the other end of the connection.
        :param head: the start of the answer.
        """
        for name in head.invalid_headers:
            self.telemetry.header_ignored(replica, name)
        if head.stopping:
            self.mark_draining(replica, 'answer')
        if head.pause_s is not None:
            self.mark_paused(replica, min(head.pause_s, self.longest_pause_s))

    def mark_draining(self, replica: Replica, source: str) -> None:
        """Take in that a replica leaves.

        :param replica: the replica.
        :param source: where that is known from.
        """
        if self.availability.record_stopping(replica.key, asyncio.get_running_loop().time()):
            self.telemetry.replica_stopping(replica, source)
        self.pool.close_idle(replica.key)

    def mark_paused(self, replica: Replica, seconds: float) -> None:
        """Take in that a replica wants nothing for a time.

        :param replica: the replica.
        :param seconds: how long.
        """
        if self.availability.record_pause(replica.key, seconds, asyncio.get_running_loop().time()):
            self.telemetry.replica_paused(replica, seconds)

    def may_send(self, replica: Replica) -> bool:
        """Tell whether a request may be sent to a replica now.

        :param replica: the replica.
        :return: whether it may.
        """
        return self.availability.may_send(replica.key, asyncio.get_running_loop().time())

    def prune(self, listed: frozenset[str]) -> None:
        """Forget what no longer matters.

        :param listed: the incarnations that are listed.
        """
        for ended in self.availability.expire(listed, asyncio.get_running_loop().time()):
            self.telemetry.holdoff_expired(ended)


__all__ = ('ReplicaSignals',)
