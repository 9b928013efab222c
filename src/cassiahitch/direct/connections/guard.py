"""Closes the connections that the budget chooses, and reports them."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING, Protocol

from cassiahitch.direct.connections.budget import CloseReason, ConnectionBudget, Holding, Stage
from cassiahitch.direct.connections.turns import Turns
from cassiahitch.metrics.names import CounterName, GaugeName

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cassiahitch.direct.connections.budget import ConnectionLimits
    from cassiahitch.metrics.registry import Metrics

#: Time between two checks of the times of all connections, in seconds.
CHECK_INTERVAL_S = 0.25
#: Delay of a check beyond which no time counts as passed, in seconds: bytes that arrived while the
#: process was busy have not been read yet.
LATE_CHECK_S = 0.5
#: Least time between two log lines about closed connections, in seconds.
LOG_INTERVAL_S = 1.0
#: Requests that are served at a time of those that were sent before the response to the one before
#: them. Many connections that send ahead would take all connections to backend servers.
MAX_PIPELINED_REQUESTS = 4


class ClosableStream(Protocol):
    """A connection that can be closed."""

    def cut(self) -> None:
        """Close the connection, so that its client takes no response for complete."""


class LogChange(Protocol):
    """Logs a line about a change of state."""

    def __call__(self, message: str, **fields: object) -> None:
        """Log a line.

        :param message: the kind of change.
        :param fields: extra fields of the log line.
        """


class ConnectionGuard:
    """Keeps the connections to all HTTP ports of a process within their limits.

    Work that takes long, such as decoding a body in many chunks, is done in turns, one in each
    iteration of the event loop.
    """

    def __init__(
        self,
        find_limits: Callable[[], ConnectionLimits],
        metrics: Metrics,
        log: LogChange,
        rng: random.Random,
    ) -> None:
        """Create the guard.

        :param find_limits: returns the limits in force.
        :param metrics: counts the closed connections.
        :param log: logs them, at most one line in ``LOG_INTERVAL_S``.
        :param rng: source of random delays.
        """
        self.rng = rng
        self.pipeline_slots = asyncio.Semaphore(MAX_PIPELINED_REQUESTS)
        self.budget = ConnectionBudget(find_limits())
        self.find_limits = find_limits
        self.metrics = metrics
        self.log = log
        self.streams: dict[Holding, ClosableStream] = {}
        self.turns = Turns()
        self.closed: Counter[CloseReason] = Counter()
        self.logged_at: float = 0
        self._is_scheduled = False

    def open(self, stream: ClosableStream) -> Holding:
        """Count a new connection.

        :param stream: the connection.
        :return: what is held for it.
        """
        holding = self.budget.open(self.now())
        self.streams[holding] = stream
        self.check_soon()
        return holding

    def close(self, holding: Holding) -> None:
        """Remove a closed connection.

        :param holding: what was held for it.
        """
        self.budget.close(holding)
        self.streams.pop(holding, None)

    def hold_served(self, request_bytes: int) -> Holding:
        """Count a request that is served on although its connection has been closed.

        :param request_bytes: bytes of the request.
        :return: what is held for it, to be passed to :meth:`close` when it has ended.
        """
        holding = self.budget.open(self.now())
        holding.enter(Stage.served, self.now())
        self.hold(holding, request_bytes, 0)
        return holding

    def hold(self, holding: Holding, request_bytes: int, unread_bytes: int) -> None:
        """Change what is held for a connection, and close others if that is too much.

        :param holding: the connection.
        :param request_bytes: bytes of its request.
        :param unread_bytes: bytes of its response.
        """
        self.budget.hold(holding, request_bytes, unread_bytes)
        self.check_soon()

    def check_soon(self) -> None:
        """Close connections in the next iteration of the event loop if a limit is exceeded."""
        if not self._is_scheduled and self.budget.exceeded:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self.close_excess)

    def close_excess(self) -> None:
        """Close connections until all limits are kept."""
        self._is_scheduled = False
        self._close_all(self.budget.excess(self.now()))

    async def work(self) -> None:
        """Check the times of all connections, until cancelled."""
        while True:
            due_at = self.now() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.budget.limits = self.find_limits()
            if self.now() - due_at < LATE_CHECK_S:
                self._close_all(self.budget.expired(self.now()))
            self.check_soon()
            self._report()

    def now(self) -> float:
        """Return the current time.

        :return: seconds of the event loop's clock.
        """
        return asyncio.get_running_loop().time()

    def _close_all(self, chosen: Iterable[tuple[Holding, CloseReason]]) -> None:
        for holding, reason in chosen:
            self.metrics.count(CounterName.connections_closed, reason.value)
            self.closed[reason] += 1
            self.streams[holding].cut()

    def _report(self) -> None:
        budget = self.budget
        self.metrics.gauge(GaugeName.connection_bytes, budget.used_bytes)
        self.metrics.gauge(GaugeName.connections, len(budget.holdings))
        now = self.now()
        if not self.closed or now - self.logged_at < LOG_INTERVAL_S:
            return
        self.logged_at = now
        limits = budget.limits
        self.log(
            'closed connections',
            reasons=', '.join(f'{reason} {count}' for reason, count in self.closed.items()),
            held_bytes=budget.used_bytes,
            limit_bytes=limits.total_bytes,
            connections=len(budget.holdings),
            max_connections=limits.max_connections,
        )
        self.closed.clear()


__all__ = (
    'ClosableStream',
    'ConnectionGuard',
    'LogChange',
)
