"""Accepts connections of callers and keeps track of their requests."""

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
from cassiahitch.direct.callers.limits import BODY_MARGIN_BYTES, MAX_BODY_BYTES
from cassiahitch.direct.callers.shutdown import ShutdownSchedule
from cassiahitch.direct.connections.guard import ConnectionGuard
from cassiahitch.direct.connections.stream import GuardedStream

#: Time after which a connection without a request is closed, in seconds.
IDLE_TIMEOUT_S = 60.0

#: Serves the request of an exchange.
ServeRequest = Callable[[CallerExchange], Awaitable[None]]
#: Responds to a request that failed with an unexpected exception.
HandleError = Callable[[CallerExchange, Exception], Awaitable[None]]
#: Returns the response to bytes that are not an HTTP request.
RejectMalformed = Callable[[], bytes]
#: Returns the size of the largest body that the configuration allows, None while there is none.
FindBodyLimit = Callable[[], int | None]


class Frontend(HTTPServerConnectionDelegate):
    """Accepts connections of callers and serves their requests.

    ``open`` has the exchanges whose response is not sent completely, ``running`` those whose task
    runs, and ``lingering`` those whose response is sent while the rest of a refused body is read.
    ``closing`` is set when no new requests are accepted any more, and ``body_bytes`` is the number
    of buffered bytes of all request bodies.
    """

    def __init__(
        self,
        serve: ServeRequest,
        fail: HandleError,
        reject_malformed: RejectMalformed,
        request_buffer_bytes: int,
        guard: ConnectionGuard,
        find_body_limit: FindBodyLimit,
    ) -> None:
        """Create the frontend; it does not listen yet.

        :param serve: serves one request.
        :param fail: responds to a request whose ``serve`` raised an unexpected exception.
        :param reject_malformed: returns the response to bytes that are not an HTTP request.
        :param request_buffer_bytes: maximum number of buffered bytes of all request bodies.
        :param guard: limits what is held for all connections.
        :param find_body_limit: returns the size of the largest body that the configuration allows.
        """
        self.guard = guard
        self.find_body_limit = find_body_limit
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
        self.shutdown_schedule: ShutdownSchedule | None = None
        self.server = CallerHttpServer(
            self,
            reject_malformed,
            guard,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that reads the next request of a connection.

        :param server_conn: the connection.
        :param request_conn: the connection as the next request uses it.
        :return: the delegate.
        :raises TypeError: if the connection uses another protocol.
        """
        if not isinstance(request_conn, HTTP1Connection):
            raise TypeError('not an HTTP/1 connection')
        stream = request_conn.stream
        if not isinstance(stream, GuardedStream):
            raise TypeError('not a connection of this server')
        self.connections.add(server_conn)
        return CallerExchange(request_conn, stream, self)

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection.

        :param server_conn: the connection.
        """
        self.connections.discard(server_conn)

    @property
    def body_limit(self) -> int:
        """Size of the largest body that is read, in bytes.

        Bodies slightly above the limit of the configuration are read, so that other reasons to
        refuse the request take precedence.
        """
        configured = self.find_body_limit()
        if configured is None:
            return self.max_body_bytes
        return min(self.max_body_bytes, configured + BODY_MARGIN_BYTES)

    def is_busy(self, before: float) -> bool:
        """Return whether a request is running or its response is not sent completely.

        :param before: time in seconds; requests that arrived after it do not count.
        :return: whether there is such a request.
        """
        busy = (*self.open, *self.running, *self.lingering)
        return any(exchange.progress.opened_at <= before for exchange in busy)

    def start_shutdown(self, shutdown_schedule: ShutdownSchedule) -> None:
        """Close each connection after its next response, and accept only what can be finished.

        :param shutdown_schedule: decides by the grace period which requests are accepted.
        """
        self.shutdown_schedule = shutdown_schedule
        self.server.conn_params.no_keep_alive = True

    def abandon(self) -> None:
        """End all requests whose response has not started with an error response."""
        for exchange in tuple(self.open):
            exchange.abandon()

    def rejects(self, read_at: float, deadline: float) -> bool:
        """Return whether a request is too late to be served before this process ends.

        :param read_at: when it was read, in seconds.
        :param deadline: deadline of the request, in seconds.
        :return: whether to refuse it.
        """
        if self.closing:
            return True
        return self.shutdown_schedule is not None and not self.shutdown_schedule.accepts(
            read_at, deadline
        )


__all__ = ('Frontend',)
