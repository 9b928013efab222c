"""Accepts connections of callers, and knows what is under way for them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
)

from cassiahitch.direct.callers.exchange import CallerExchange
from cassiahitch.direct.callers.httpserver import CallerHttpServer
from cassiahitch.direct.callers.limits import MAX_BODY_BYTES, READ_HEADER_BYTES
from cassiahitch.direct.callers.shutdown import ShutdownSchedule

#: Seconds for which a connection without a request is kept.
IDLE_TIMEOUT_S = 60.0

Serve = Callable[[CallerExchange], Awaitable[None]]
Fail = Callable[[CallerExchange, Exception], Awaitable[None]]
Malformed = Callable[[], bytes]


class Frontend(HTTPServerConnectionDelegate):
    """Accepts connections of callers and serves their requests."""

    def __init__(
        self,
        serve: Serve,
        fail: Fail,
        malformed: Malformed,
        request_buffer_bytes: int,
    ) -> None:
        """Create it; nothing listens yet.

        :param serve: answers one request.
        :param fail: ends one whose service failed with a fault inside.
        :param malformed: returns the answer to bytes that are no request.
        :param request_buffer_bytes: what is held of all bodies at a time.
        """
        self.serve = serve
        self.fail = fail
        self.running: set[CallerExchange] = set()
        self.open: set[CallerExchange] = set()
        self.lingering: set[CallerExchange] = set()
        self.connections: set[object] = set()
        self.closing = False
        self.max_body_bytes = MAX_BODY_BYTES
        self.request_buffer_bytes = request_buffer_bytes
        self.body_bytes = 0
        self.plan: ShutdownSchedule | None = None
        self.server = CallerHttpServer(
            self,
            malformed,
            max_header_size=READ_HEADER_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Begin to read a request.

        :param server_conn: the connection.
        :param request_conn: the connection, for this request.
        :return: what reads it.
        :raises TypeError: if the server speaks another protocol.
        """
        if not isinstance(request_conn, HTTP1Connection):
            raise TypeError('not an HTTP/1 connection')
        self.connections.add(server_conn)
        return CallerExchange(request_conn, self)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection.

        :param server_conn: the connection.
        """
        self.connections.discard(server_conn)

    def is_busy(self, before: float) -> bool:
        """Tell whether anything is under way for a caller.

        :param before: requests that came later do not count, in seconds.
        :return: whether an answer has not left as a whole, or a request still runs.
        """
        busy = (*self.open, *self.running, *self.lingering)
        return any(exchange.progress.opened_at <= before for exchange in busy)

    def start_shutdown(self, plan: ShutdownSchedule) -> None:
        """End each connection after its next answer, and take only what can be finished.

        :param plan: the grace period.
        """
        self.plan = plan
        self.server.conn_params.no_keep_alive = True

    def abandon(self) -> None:
        """Tell all callers whose answer has not begun that there is none."""
        for exchange in tuple(self.open):
            exchange.abandon()

    def rejects(self, read_at: float, deadline: float) -> bool:
        """Tell whether a request comes too late.

        :param read_at: when it was read, in seconds.
        :param deadline: when it ends at the latest, in seconds.
        :return: whether it is refused.
        """
        if self.closing:
            return True
        return self.plan is not None and not self.plan.accepts(read_at, deadline)


__all__ = ('Frontend',)
