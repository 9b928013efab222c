"""Pool of open connections to backend servers."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

from cassiahitch.direct.backends.connection import BackendConnection, ConnectFailed, connect

if TYPE_CHECKING:
    from cassiahitch.direct.state.replicas import Replica

#: Seconds after which an attempt to connect fails.
CONNECT_TIMEOUT_S = 0.35
#: Seconds for which an idle connection is kept if its server does not state a limit.
DEFAULT_IDLE_LIMIT_S = 4.0
#: Seconds before the limit of the server at which an idle connection is closed.
IDLE_MARGIN_S = 0.6
#: Seconds of idleness after which a connection is not used for a request that must not run twice.
AT_MOST_ONCE_IDLE_LIMIT_S = 1.0


class ConnectionPool:
    """Owns the connections; the most recently used one is taken first, so that others expire."""

    def __init__(self) -> None:
        """Create an empty pool."""
        self.idle: dict[str, list[BackendConnection]] = {}
        self.open_counts: Counter[str] = Counter()

    async def acquire(
        self, replica: Replica, limit: int, *, at_most_once: bool, attempt_id: str = ''
    ) -> BackendConnection:
        """Return a connection for one request, on which it was not refused before.

        :param replica: the backend server.
        :param limit: connections to it that this process may have.
        :param at_most_once: whether the request must not run twice.
        :param attempt_id: id of the attempt of the caller.
        :return: an idle connection, or a new one.
        :raises ConnectFailed: if none could be opened or the limit is reached; nothing was sent.
        """
        idle = self._take_idle(replica, attempt_id, at_most_once=at_most_once)
        if idle is not None:
            return idle
        if self.open_counts[replica.key] >= limit:
            raise ConnectFailed(
                'the limit of connections to the backend server is reached', refused=False
            )
        return await self._open(replica)

    async def replace(self, ended: BackendConnection) -> None:
        """Open a connection in place of one that its server closed, for a later request.

        :param ended: the connection, which is still to be released.
        :raises ConnectFailed: if none could be opened.
        """
        connection = await self._open(ended.replica)
        self.release(connection, reusable=True, idle_timeout_s=None)

    def release(
        self, connection: BackendConnection, *, reusable: bool, idle_timeout_s: float | None
    ) -> None:
        """Return a connection to the pool after its request, or close it.

        :param connection: the connection.
        :param reusable: whether it may carry another request.
        :param idle_timeout_s: seconds for which the server keeps it open while idle, if stated.
        """
        if not reusable or not connection.can_reuse():
            self.discard(connection)
            return
        connection.idle_since = time.monotonic()
        limit_s = DEFAULT_IDLE_LIMIT_S if idle_timeout_s is None else idle_timeout_s - IDLE_MARGIN_S
        connection.idle_limit_s = limit_s
        connection.start_read()
        self.idle.setdefault(connection.replica.key, []).append(connection)

    def discard(self, connection: BackendConnection) -> None:
        """Close a connection.

        :param connection: the connection.
        """
        connection.close()
        self._count_closed(connection.replica)

    def keep_only(self, keys: frozenset[str]) -> None:
        """Close idle connections that are too old or whose replica is no longer listed.

        :param keys: keys of the listed replicas (incarnations).
        """
        now = time.monotonic()
        for key, connections in tuple(self.idle.items()):
            kept = [
                connection
                for connection in connections
                if key in keys and _is_usable(connection, now)
            ]
            for connection in connections:
                if connection not in kept:
                    self.discard(connection)
            self.idle[key] = kept
            if not kept:
                self.idle.pop(key)

    def close_idle(self, key: str) -> None:
        """Close the idle connections to one replica.

        :param key: its key.
        """
        for connection in self.idle.pop(key, []):
            self.discard(connection)

    def close(self) -> None:
        """Close all idle connections."""
        self.keep_only(frozenset())

    async def _open(self, replica: Replica) -> BackendConnection:
        self.open_counts[replica.key] += 1
        try:
            return await connect(replica, CONNECT_TIMEOUT_S)
        except BaseException:
            self._count_closed(replica)
            raise

    def _take_idle(
        self, replica: Replica, attempt_id: str, *, at_most_once: bool
    ) -> BackendConnection | None:
        now = time.monotonic()
        connections = self.idle.get(replica.key, [])
        while connections:
            connection = connections.pop()
            too_old = at_most_once and now - connection.idle_since > AT_MOST_ONCE_IDLE_LIMIT_S
            refused = attempt_id in connection.refused_ids
            if _is_usable(connection, now) and not too_old and not refused:
                return connection
            self.discard(connection)
        return None

    def _count_closed(self, replica: Replica) -> None:
        self.open_counts[replica.key] -= 1
        if self.open_counts[replica.key] <= 0:
            self.open_counts.pop(replica.key)


def _is_usable(connection: BackendConnection, now: float) -> bool:
    return connection.can_reuse() and now - connection.idle_since < connection.idle_limit_s


__all__ = ('ConnectionPool',)
