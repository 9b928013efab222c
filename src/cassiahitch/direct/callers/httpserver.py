"""The HTTP server for callers: tells when a connection ends, and gives each refusal a code."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.iostream import IOStream

#: What tornado's reader writes for bytes that are no request, before it closes the connection.
TORNADO_BAD_REQUEST = b'HTTP/1.1 400 Bad Request\r\n\r\n'

Malformed = Callable[[], bytes]


class CallerStream(IOStream):
    """A connection on which a bare refusal becomes an answer with a numbered code."""

    def __init__(self, malformed: Malformed, *arguments: Any, **options: Any) -> None:
        """Create it around a connected socket.

        :param malformed: returns the answer to bytes that are no request.
        :param arguments: those of the base class.
        :param options: those of the base class.
        """
        self.malformed = malformed
        super().__init__(*arguments, **options)

    def set_nodelay(self, value: bool) -> None:  # noqa: FBT001 (the signature of the base class)
        """Let small messages leave at once, also between two answers.

        :param value: what the HTTP server wants, which turns it off after each answer.
        """
        super().set_nodelay(True)  # noqa: FBT003, WPS425 (the signature of the base class)

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Write bytes.

        :param data: the bytes.
        :return: done when the socket has taken them.
        """
        return super().write(self.malformed() if data == TORNADO_BAD_REQUEST else data)


class CallerHttpServer(HTTPServer):
    """Serves callers."""

    def initialize(  # type: ignore[override]
        self, request_callback: HTTPServerConnectionDelegate, malformed: Malformed, **options: Any
    ) -> None:
        """Set it up; tornado calls this with the arguments of the constructor.

        :param request_callback: begins requests and hears of the end of connections.
        :param malformed: returns the answer to bytes that are no request.
        :param options: those of the base class.
        """
        self.malformed = malformed
        self.delegate = request_callback
        super().initialize(request_callback, **options)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection.

        :param stream: the connection.
        :param address: the caller's address.
        """
        own = CallerStream(
            self.malformed,
            stream.socket,
            max_buffer_size=self.max_buffer_size,
            read_chunk_size=self.read_chunk_size,
        )
        super().handle_stream(own, address)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection.

        :param server_conn: the connection.
        """
        super().on_close(server_conn)
        self.delegate.on_close(server_conn)


__all__ = (
    'TORNADO_BAD_REQUEST',
    'CallerHttpServer',
)
