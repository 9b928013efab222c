"""Requests of callers on tornado's HTTP server, and their answers."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from cassiahitch.codes import Code, HasRun
from cassiahitch.direct.callers.disconnects import find_disconnected
from cassiahitch.direct.callers.limits import (
    RETRY_AFTER_S,
    body_refusal,
    header_refusal,
    total_body_refusal,
)
from cassiahitch.direct.callers.progress import Phase, Progress
from cassiahitch.direct.callers.responsewriter import (
    CallerDisconnected,
    ResponseWriter,
    make_http_headers,
)
from cassiahitch.errors import RequestError
from cassiahitch.util.sockets import reset_on_close

if TYPE_CHECKING:
    from cassiahitch.direct.api import Headers
    from cassiahitch.direct.callers.frontend import Frontend

#: Seconds for which the rest of a refused body is read and dropped, so that its caller can read
#: the answer before the connection closes.
LINGER_S = 2.0
#: Version of the protocol in which an answer without a length is not framed.
UNFRAMED_VERSION = 'HTTP/1.0'


@dataclass(slots=True)
class Incoming:
    """A request as it was read."""

    method: str = ''
    target: str = ''
    version: str = ''
    headers: Headers = ()
    body: bytes = b''


class CallerExchange(HTTPMessageDelegate):
    """Reads one request and writes its answer."""

    def __init__(self, connection: HTTP1Connection, frontend: Frontend) -> None:
        """Create it for the next request of a connection.

        :param connection: the connection.
        :param frontend: serves the request.
        """
        self.connection = connection
        self.frontend = frontend
        self.incoming = Incoming()
        self.parts: list[bytes] = []
        self.body_bytes = 0
        self.refusal: RequestError | None = None
        self.disconnected = False
        self.response_started = False
        self.response_ended = False
        self.task: asyncio.Task[None] | None = None
        self.outlives_caller = False
        self.timer: asyncio.Timeout | None = None
        self.closes_connection = False
        self.abandoned = False
        self.serving = False
        self.finished = False
        self.progress = Progress()
        self.writer = ResponseWriter(connection, self.progress)

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Take the header in.

        :param start_line: method and target.
        :param headers: the headers.
        :return: done when the reader may go on.
        """
        method, target, version = start_line
        self.incoming.version = str(version)
        self.incoming.method = str(method)
        self.incoming.target = str(target)
        self.incoming.headers = tuple(headers.get_all())
        self.progress.opened_at = asyncio.get_running_loop().time()
        self.frontend.open.add(self)
        # The bounds are checked here, where a refusal gets its answer.
        self.connection.set_max_body_size(sys.maxsize)
        refusal = header_refusal(
            self.incoming.target, self.incoming.headers, self.frontend.max_body_bytes
        )
        if refusal is None:
            return None
        self._refuse(refusal)
        # A caller that waits to be told to send its body must not be told so.
        return self.task if 'Expect' in headers else None

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body in.

        :param chunk: the part.
        """
        if self.refusal is not None:
            return
        self.progress.phase = Phase.body
        self.parts.append(chunk)
        self.body_bytes += len(chunk)
        self.frontend.body_bytes += len(chunk)
        refusal = body_refusal(self.body_bytes, self.frontend.max_body_bytes) or total_body_refusal(
            self.body_bytes, self.frontend.body_bytes, self.frontend.held_body_bytes
        )
        if refusal is not None:
            self._refuse(refusal)

    def finish(self) -> None:
        """Serve the whole request."""
        self.progress.read_at = asyncio.get_running_loop().time()
        self.connection.set_close_callback(self.on_connection_close)
        if self.refusal is not None:
            if self.response_ended:
                self._finish()
            return
        self.incoming.body = b''.join(self.parts)
        self.progress.phase = Phase.place
        self._serve()

    def on_connection_close(self) -> None:
        """Cancel what runs for a caller that has left."""
        self.disconnected = True
        self.frontend.lingering.discard(self)
        self.release()
        if self.task is not None and not self.outlives_caller:
            self.task.cancel()

    @property
    def stream(self) -> IOStream:
        """The connection of the caller."""
        return self.connection.stream

    def require_connected(self) -> None:
        """Stop what is done for a caller that has left, whether the loop has noticed it or not.

        :raises CallerDisconnected: if the caller has closed its connection.
        """
        if self.disconnected or find_disconnected((self.stream,)):
            raise CallerDisconnected

    @contextmanager
    def allow_outliving(self, *, outlives: bool) -> Iterator[None]:
        """Let what is at a replica go on without its caller, but nothing after it.

        :param outlives: whether it may.
        :yield: while it is at the replica.
        """
        self.outlives_caller = outlives
        try:
            yield
        finally:
            self.outlives_caller = False

    def extend_deadline(self, seconds: float) -> None:
        """Let an answer that makes progress go on beyond the time of its request.

        :param seconds: from now on, at least.
        """
        if self.timer is not None:
            until = asyncio.get_running_loop().time() + seconds
            self.timer.reschedule(max(until, self.timer.when() or until))

    def require_time_left(self, deadline: float) -> None:
        """Refuse a request that cannot be finished before this process ends.

        :param deadline: when the caller is told at the latest that there is no answer, in seconds.
        :raises RequestError: ``leaving``.
        """
        if self.frontend.rejects(self.progress.read_at or 0, deadline):
            raise RequestError(Code.leaving, 'this entry is about to end', HasRun.no, RETRY_AFTER_S)

    def abandon(self) -> None:
        """End a request whose answer has not begun with one that says that there is none."""
        if self.response_started or self.refusal is not None:
            return
        # One that was read and not looked at yet is refused when it is: the entry is closing.
        if self.task is None:
            self._refuse(RequestError(Code.leaving, 'this entry ends', HasRun.no, RETRY_AFTER_S))
            return
        if self.serving:
            self.abandoned = True
            self.task.cancel()

    async def respond(self, status: int, reason: str, headers: Headers, body: bytes) -> None:
        """Write a whole answer.

        :param status: its status.
        :param reason: its reason.
        :param headers: its headers, without those of the connection.
        :param body: its body.
        """
        lines = self._header_lines(headers)
        if self.incoming.method == 'HEAD':
            body = b''
        if status not in {HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED}:
            lines['Content-Length'] = str(len(body))
        self.response_started = True
        self.progress.phase = Phase.writing
        self.writer.write_response(ResponseStartLine('HTTP/1.1', status, reason), lines, body)
        self.end_response()

    async def start_response(self, status: int, reason: str, headers: Headers) -> None:
        """Write the start of an answer whose body follows in parts.

        :param status: its status.
        :param reason: its reason.
        :param headers: its headers, without those of the connection.
        :raises CallerDisconnected: if nobody reads it.
        """
        self.response_started = True
        line = ResponseStartLine('HTTP/1.1', status, reason)
        await self.writer.start(line, self._header_lines(headers))

    async def write_body(self, data: bytes) -> None:
        """Write a part of the body.

        :param data: the part.
        :raises CallerDisconnected: if nobody reads it.
        """
        if self.disconnected:
            raise CallerDisconnected
        await self.writer.write(data)

    def end_response(self) -> None:
        """End the answer as whole; the exchange is open until its last byte has left."""
        if self.response_ended or self.disconnected:
            return
        self.response_ended = True
        self.progress.phase = Phase.writing
        if self.refusal is None or self.progress.read_at is not None or self._expects_continue():
            self._finish()
            return
        self.frontend.lingering.add(self)
        self.release()
        asyncio.get_running_loop().call_later(LINGER_S, self._finish)

    def release(self) -> None:
        """Take in that nothing more can be done for the caller."""
        self.frontend.open.discard(self)
        self._drop_body()

    def _drop_body(self) -> None:
        self.frontend.body_bytes -= self.body_bytes
        self.body_bytes = 0
        self.parts.clear()

    def _finish(self) -> None:
        self.frontend.lingering.discard(self)
        if self.disconnected or self.finished:
            return
        self.finished = True
        self.connection.finish()
        if self.connection.stream.closed() or not self.connection.stream.writing():
            self._close_after()
            return
        self.writer.after_written(lambda _: self._close_after())

    def _expects_continue(self) -> bool:
        return any(name.lower() == 'expect' for name, _ in self.incoming.headers)

    def _refuse(self, refusal: RequestError) -> None:
        self.refusal = refusal
        self._drop_body()
        self._serve()

    def _serve(self) -> None:
        if self.stream.closed():
            # It was read before from a connection that has ended.
            self.on_connection_close()
            return
        self.task = asyncio.create_task(self._run())
        self.frontend.running.add(self)
        self.task.add_done_callback(lambda _: self.frontend.running.discard(self))

    def abort(self) -> None:
        """Close the connection, so that the answer does not look whole."""
        self.response_ended = True
        self.release()
        if self.connection.stream is None:
            return
        if self.incoming.version == UNFRAMED_VERSION and not self.stream.closed():
            # Its answers end with the connection, so that a proper end would look whole.
            reset_on_close(self.stream.socket)
        self.connection.stream.close()

    def _header_lines(self, headers: Headers) -> HTTPHeaders:
        lines = make_http_headers(headers)
        self.closes_connection = self.frontend.plan is not None or self.refusal is not None
        if self.closes_connection:
            lines['Connection'] = 'close'
        return lines

    def _close_after(self) -> None:
        self.release()
        if self.closes_connection:
            self.connection.close()

    async def _run(self) -> None:
        self.serving = True
        with ExitStack() as stack:
            stack.callback(self._abort_unless_ended)
            try:
                await self.frontend.serve(self)
            except CallerDisconnected:
                return
            except Exception as error:  # noqa: BLE001 (any fault inside gets its answer)
                await self.frontend.fail(self, error)

    def _abort_unless_ended(self) -> None:
        if not self.response_ended:
            self.abort()


__all__ = (
    'CallerExchange',
    'Incoming',
)
