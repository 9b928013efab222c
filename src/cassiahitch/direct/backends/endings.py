"""Checks that a response which ended with its connection is not that of a crashed backend server.

Load pattern: a backend server crashes while it sends responses without a length. They all end at
the same moment, between two events or bytes, and nothing in them shows that they were broken off.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from cassiahitch.direct.backends.connection import ConnectFailed
from cassiahitch.direct.backends.endhistory import EndHistory
from cassiahitch.direct.backends.exchange import ResponseLost

if TYPE_CHECKING:
    from cassiahitch.direct.backends.connection import BackendConnection
    from cassiahitch.direct.backends.exchange import Exchange
    from cassiahitch.direct.backends.pool import ConnectionPool
    from cassiahitch.direct.backends.replicasignals import ReplicaSignals
    from cassiahitch.direct.state.replicas import Replica


class PortEvidence(StrEnum):
    """What is known about a backend server when a response has ended with its connection."""

    stopping = 'stopping'
    accepted = 'accepted'
    refused = 'refused'
    unanswered = 'unanswered'


#: Evidence that the process which sent a response may not have ended it.
BROKEN_OFF = frozenset((PortEvidence.refused, PortEvidence.unanswered))


@dataclass(frozen=True, slots=True)
class EndVerifier:
    """Checks that the backend server of such a response still accepts connections.

    The new connection takes the place of the one that ended, so that the next request need not open
    one. A backend server that has announced its stop is not checked: it closes its port first, and
    then ends the responses that it still sends.

    A backend server that accepts connections may have broken the response off nevertheless;
    ``history`` remembers those that did.
    """

    pool: ConnectionPool
    signals: ReplicaSignals
    history: EndHistory = field(default_factory=EndHistory)

    async def require_complete(self, ended: BackendConnection) -> None:
        """Check a response whose last byte was received.

        :param ended: the connection that ended with the response.
        :raises ResponseLost: if the backend server has crashed, or does not answer.
        """
        clock = asyncio.get_running_loop().time
        asked_at = clock()
        evidence = await self.find_evidence(ended)
        self.signals.telemetry.response_end_checked(
            ended.replica, evidence.value, clock() - asked_at
        )
        if evidence in BROKEN_OFF:
            raise ResponseLost(
                'the response ended with its connection, and the backend server does not accept '
                f'another one: {evidence.value}'
            )

    async def find_evidence(self, ended: BackendConnection) -> PortEvidence:
        """Find out whether a backend server still accepts connections.

        :param ended: the connection that ended with a response.
        :return: what is known about the backend server.
        """
        if self.is_stopping(ended.replica):
            return PortEvidence.stopping
        try:
            await self.pool.replace(ended)
        except ConnectFailed as error:
            if error.refused:
                return PortEvidence.refused
            if not error.reset:
                return PortEvidence.unanswered
        return PortEvidence.accepted

    def record_broken_off(self, exchange: Exchange) -> None:
        """Remember a lost response that had neither chunks nor a length.

        :param exchange: the exchange; any other response is passed over.
        """
        if exchange.head is not None and exchange.head.close_delimited:
            now = asyncio.get_running_loop().time()
            self.history.record_broken_off(exchange.connection.replica, now)

    def is_suspected(self, replica: Replica) -> bool:
        """Return whether a backend server has recently broken off a response without a length.

        :param replica: the backend server.
        :return: whether it has.
        """
        return self.history.is_suspected(replica, asyncio.get_running_loop().time())

    def is_stopping(self, replica: Replica) -> bool:
        """Return whether a backend server has announced its stop.

        :param replica: the backend server.
        :return: whether it has.
        """
        return self.signals.availability.is_stopping(replica.key)


__all__ = (
    'PortEvidence',
    'EndVerifier',
)
