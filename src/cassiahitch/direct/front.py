"""Requests of callers on tornado's HTTP server, and their answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from cassiahitch.codes import Code, Ran
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.direct.api import Headers

#: Largest header that is read at all, in bytes; the configuration sets a lower bound.
MAX_HEADER_BYTES = 131_072
#: Largest body that is read at all, in bytes; the configuration sets a lower bound.
MAX_BODY_BYTES = 67_108_864
#: Seconds after which a caller may come back, to another entry.
RETURN_S = 0.05
#: Seconds for which a connection without a request is kept.
IDLE_S = 60.0

Serve = Callable[['CallerExchange'], Awaitable[None]]


class CallerGone(Exception):
    """The caller has closed its connection."""


@dataclass(slots=True)
class Incoming:
    """A request as it was read."""

    method: str = ''
    target: str = ''
    headers: Headers = ()
    body: bytes = b''


class CallerExchange(HTTPMessageDelegate):
    """Reads one request and writes its answer."""

    def __init__(self, connection: HTTP1Connection, front: Front) -> None:
        """Create it for the next request of a connection.

        :param connection: the connection.
        :param front: serves the request.
        """
        self.connection = connection
        self.front = front
        self.incoming = Incoming()
        self.parts: list[bytes] = []
        self.gone = False
        self.started = False
        self.ended = False
        self.task: asyncio.Task[None] | None = None
        self.keeps_running = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Take the header in.

        :param start_line: method and target.
        :param headers: the headers.
        """
        method, target = start_line[:2]
        self.incoming.method = str(method)
        self.incoming.target = str(target)
        self.incoming.headers = tuple(headers.get_all())

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body in.

        :param chunk: the part.
        """
        self.parts.append(chunk)

    def finish(self) -> None:
        """Serve the whole request."""
        self.incoming.body = b''.join(self.parts)
        self.connection.set_close_callback(self.on_connection_close)
        self.task = asyncio.create_task(self._run())
        self.front.tasks.add(self.task)
        self.task.add_done_callback(self.front.tasks.discard)

    def on_connection_close(self) -> None:
        """Cancel what runs for a caller that has left."""
        self.gone = True
        if self.task is not None and not self.keeps_running:
            self.task.cancel()

    def check_open(self) -> None:
        """Refuse a request that was read while connections are being closed.

        :raises RequestError: ``leaving``.
        """
        if self.front.closing:
            raise RequestError(Code.leaving, 'this entry is about to end', Ran.no, RETURN_S)

    async def answer(self, status: int, reason: str, headers: Headers, body: bytes) -> None:
        """Write a whole answer.

        :param status: its status.
        :param reason: its reason.
        :param headers: its headers, without those of the connection.
        :param body: its body.
        """
        lines = _header_lines(headers)
        if status not in {HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED}:
            lines['Content-Length'] = str(len(body))
        self.started = True
        self._end_after(self._write_start(status, reason, lines, body))

    async def start(self, status: int, reason: str, headers: Headers) -> None:
        """Write the start of an answer whose body follows in parts.

        :param status: its status.
        :param reason: its reason.
        :param headers: its headers, without those of the connection.
        :raises CallerGone: if nobody reads it.
        """
        self.started = True
        await _written(self._write_start(status, reason, _header_lines(headers), None))

    async def write(self, data: bytes) -> None:
        """Write a part of the body.

        :param data: the part.
        :raises CallerGone: if nobody reads it.
        """
        if self.gone:
            raise CallerGone
        await _written(self.connection.write(data))

    def end(self) -> None:
        """End the answer as whole."""
        if not self.ended and not self.gone:
            self.ended = True
            self.connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the answer does not look whole."""
        self.ended = True
        if self.connection.stream is not None:
            self.connection.stream.close()

    def _write_start(
        self, status: int, reason: str, lines: HTTPHeaders, body: bytes | None
    ) -> Awaitable[None]:
        line = ResponseStartLine('HTTP/1.1', status, reason)
        return self.connection.write_headers(line, lines, body)

    def _end_after(self, written: Awaitable[None]) -> None:
        # The caller's connection takes the bytes by itself; nothing waits for them here.
        future = asyncio.ensure_future(written)
        future.add_done_callback(_retrieve)
        self.end()

    async def _run(self) -> None:
        with ExitStack() as stack:
            stack.callback(self._abort_unless_ended)
            await self.front.serve(self)

    def _abort_unless_ended(self) -> None:
        if not self.ended:
            self.abort()


class Front(HTTPServerConnectionDelegate):
    """Accepts connections of callers and serves their requests."""

    def __init__(self, serve: Serve) -> None:
        """Create it; nothing listens yet.

        :param serve: answers one request.
        """
        self.serve = serve
        self.tasks: set[asyncio.Task[None]] = set()
        self.closing = False
        self.server = HTTPServer(
            self,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_S,
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
        return CallerExchange(request_conn, self)

    def close_connections_after_answers(self) -> None:
        """End each connection after the answer to its next request."""
        self.server.conn_params.no_keep_alive = True


def _header_lines(headers: Headers) -> HTTPHeaders:
    lines = HTTPHeaders()
    for name, text in headers:
        lines.add(name, text)
    return lines


async def _written(written: Awaitable[None]) -> None:
    try:
        await written
    except StreamClosedError as error:
        raise CallerGone from error


def _retrieve(future: asyncio.Future[None]) -> None:
    if not future.cancelled():
        future.exception()


__all__ = (
    'CallerExchange',
    'CallerGone',
    'Front',
    'Incoming',
)
