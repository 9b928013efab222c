"""The HTTP server for callers, whose refusals of malformed requests have an error code."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from tornado.httputil import HTTPServerConnectionDelegate
from tornado.iostream import IOStream

from cassiahitch.direct.connections.server import GuardedServer
from cassiahitch.direct.connections.stream import GuardedStream

if TYPE_CHECKING:
    from cassiahitch.direct.connections.guard import ConnectionGuard

#: Response that tornado writes to bytes that are not an HTTP request, before it closes.
TORNADO_BAD_REQUEST = b'HTTP/1.1 400 Bad Request\r\n\r\n'

#: Returns the response to bytes that are not an HTTP request.
RejectMalformed = Callable[[], bytes]


class CallerStream(GuardedStream):
    """A connection that replaces tornado's refusal by a response with an error code."""

    def __init__(self, reject_malformed: RejectMalformed, *arguments: Any, **options: Any) -> None:
        """Create the stream for a connected socket.

        :param reject_malformed: returns the response to bytes that are not an HTTP request.
        :param arguments: positional arguments of the base class.
        :param options: keyword arguments of the base class.
        """
        self.reject_malformed = reject_malformed
        super().__init__(*arguments, **options)

    def set_nodelay(self, value: bool) -> None:  # noqa: FBT001 (the signature of the base class)
        """Disable Nagle's algorithm, so that small messages are sent at once.

        :param value: ignored; the HTTP server enables the algorithm again after each response.
        """
        super().set_nodelay(True)  # noqa: FBT003, WPS425 (the signature of the base class)

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Write bytes, and the response with an error code in place of tornado's refusal.

        :param data: the bytes.
        :return: done when they are written to the socket.
        """
        return super().write(self.reject_malformed() if data == TORNADO_BAD_REQUEST else data)


class CallerHttpServer(GuardedServer):
    """HTTP server that reports the end of each connection to its delegate."""

    def initialize(  # type: ignore[override]
        self,
        request_callback: HTTPServerConnectionDelegate,
        reject_malformed: RejectMalformed,
        guard: ConnectionGuard,
        **options: Any,
    ) -> None:
        """Set up the server; tornado calls this with the arguments of the constructor.

        :param request_callback: delegate for requests and for the end of connections.
        :param reject_malformed: returns the response to bytes that are not an HTTP request.
        :param guard: limits what is held for all connections.
        :param options: keyword arguments of the base class.
        """
        self.reject_malformed = reject_malformed
        self.delegate = request_callback
        super().initialize(request_callback, guard, **options)

    def make_stream(self, stream: IOStream) -> GuardedStream:
        """Return the stream of a new connection.

        :param stream: the connection as it was accepted.
        :return: the stream that replaces it.
        """
        return CallerStream(
            self.reject_malformed,
            self.guard,
            stream.socket,
            max_buffer_size=self.max_buffer_size,
            read_chunk_size=self.read_chunk_size,
        )

    def on_close(self, server_conn: object) -> None:
        """Report the end of a connection to the delegate.

        :param server_conn: the connection.
        """
        super().on_close(server_conn)
        self.delegate.on_close(server_conn)


__all__ = (
    'CallerHttpServer',
    'TORNADO_BAD_REQUEST',
)
