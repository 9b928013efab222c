"""Decides whether a response that ended with its connection is complete.

Load pattern: a backend server crashes while it sends responses without a length. They all end at
the same moment, between two events or bytes, and nothing in them shows that they were broken off.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.direct.backends.connection import ConnectFailed
from cassiahitch.direct.backends.exchange import ResponseLost

if TYPE_CHECKING:
    from cassiahitch.direct.backends.connection import BackendConnection
    from cassiahitch.direct.backends.pool import ConnectionPool
    from cassiahitch.direct.backends.replicasignals import ReplicaSignals


@dataclass(frozen=True, slots=True)
class EndVerifier:
    """Checks that the backend server of such a response still accepts connections.

    The new connection takes the place of the one that ended, so that the next request need not open
    one. A backend server that has announced its stop is not checked: it closes its port first, and
    then ends the responses that it still sends.
    """

    pool: ConnectionPool
    signals: ReplicaSignals

    async def require_complete(self, ended: BackendConnection) -> None:
        """Check a response whose last byte was received.

        A backend server that does not answer the attempt to connect has not crashed: its end of the
        response got here.

        :param ended: the connection that ended with the response.
        :raises ResponseLost: if the backend server has crashed.
        """
        if self.signals.availability.is_stopping(ended.replica.key):
            return
        try:
            await self.pool.replace(ended)
        except ConnectFailed as error:
            if error.refused:
                raise ResponseLost(
                    'the response ended with its connection, and the backend server has crashed'
                ) from error


__all__ = ('EndVerifier',)
