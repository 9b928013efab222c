"""Kept connections to backend servers."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

from cassiahitch.direct.backends.connection import BackendConnection, ConnectFailed, connect

if TYPE_CHECKING:
    from cassiahitch.direct.state.replicas import Replica

#: Seconds until an attempt to connect fails.
CONNECT_TIMEOUT_S = 0.35
#: Seconds for which an idle connection is kept if its server does not say how long it does.
IDLE_LIMIT_S = 4.0
#: Seconds by which a connection is given up before its server may close it.
IDLE_MARGIN_S = 0.6
#: Seconds for which an idle connection carries a request that must not run twice.
ONCE_IDLE_LIMIT_S = 1.0


class ConnectionPool:
    """Owns the connections; the one used last is used first, so that the others can end."""

    def __init__(self) -> None:
        """Create it without connections."""
        self.idle: dict[str, list[BackendConnection]] = {}
        self.open_counts: Counter[str] = Counter()

    async def acquire(
        self, replica: Replica, limit: int, *, non_idempotent: bool
    ) -> BackendConnection:
        """Return a connection for one request.

        :param replica: the backend server.
        :param limit: connections to it that this process may have.
        :param once: whether the request must not run twice.
        :return: a kept connection, or a new one.
        :raises ConnectFailed: if there is none; nothing was sent then.
        """
        kept = self._kept(replica, non_idempotent=non_idempotent)
        if kept is not None:
            return kept
        if self.open_counts[replica.key] >= limit:
            raise ConnectFailed('all connections are in use', refused=False)
        self.open_counts[replica.key] += 1
        try:
            return await connect(replica, CONNECT_TIMEOUT_S)
        except BaseException:
            self._forget(replica)
            raise

    def release(
        self, connection: BackendConnection, *, reusable: bool, idle_timeout_s: float | None
    ) -> None:
        """Take a connection back after its request.

        :param connection: the connection.
        :param reusable: whether it may carry another request.
        :param idle_timeout_s: how long its server keeps it idle, if it says so.
        """
        if not reusable or not connection.can_reuse():
            self.discard(connection)
            return
        connection.idle_since = time.monotonic()
        limit_s = IDLE_LIMIT_S if idle_timeout_s is None else idle_timeout_s - IDLE_MARGIN_S
        connection.idle_limit_s = limit_s
        connection.watch()
        self.idle.setdefault(connection.replica.key, []).append(connection)

    def discard(self, connection: BackendConnection) -> None:
        """Close a connection.

        :param connection: the connection.
        """
        connection.close()
        self._forget(connection.replica)

    def keep_only(self, keys: frozenset[str]) -> None:
        """Close the idle connections that are too old or lead to replicas that are gone.

        :param keys: names of the incarnations that are known.
        """
        now = time.monotonic()
        for key, connections in tuple(self.idle.items()):
            kept = [one for one in connections if key in keys and _is_good(one, now)]
            for connection in connections:
                if connection not in kept:
                    self.discard(connection)
            self.idle[key] = kept
            if not kept:
                self.idle.pop(key)

    def close_idle(self, key: str) -> None:
        """Close the idle connections to one replica.

        :param key: its incarnation.
        """
        for connection in self.idle.pop(key, []):
            self.discard(connection)

    def close(self) -> None:
        """Close all idle connections."""
        self.keep_only(frozenset())

    def _kept(self, replica: Replica, *, non_idempotent: bool) -> BackendConnection | None:
        now = time.monotonic()
        connections = self.idle.get(replica.key, [])
        while connections:
            connection = connections.pop()
            too_old = non_idempotent and now - connection.idle_since > ONCE_IDLE_LIMIT_S
            if _is_good(connection, now) and not too_old:
                return connection
            self.discard(connection)
        return None

    def _forget(self, replica: Replica) -> None:
        self.open_counts[replica.key] -= 1
        if self.open_counts[replica.key] <= 0:
            self.open_counts.pop(replica.key)


def _is_good(connection: BackendConnection, now: float) -> bool:
    return connection.can_reuse() and now - connection.idle_since < connection.idle_limit_s


__all__ = ('ConnectionPool',)
