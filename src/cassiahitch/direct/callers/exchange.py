"""One request of a caller on tornado's HTTP server, and its response."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Iterator
from contextlib import ExitStack, contextmanager
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
from cassiahitch.direct.callers.incomingrequest import IncomingRequest
from cassiahitch.direct.callers.limits import (
    ALWAYS_READ_BODY_BYTES,
    OTHER_ENTRY_RETRY_AFTER_S,
    body_refusal,
    buffer_full,
    header_refusal,
    stated_length,
    total_body_refusal,
)
from cassiahitch.direct.callers.progress import Phase, Progress
from cassiahitch.direct.callers.responsewriter import (
    CallerDisconnected,
    ResponseWriter,
    SecondResponse,
    make_http_headers,
)
from cassiahitch.errors import RequestError
from cassiahitch.util.sockets import finish_on_close, reset_on_close

if TYPE_CHECKING:
    from cassiahitch.direct.api import Answered, Headers
    from cassiahitch.direct.callers.frontend import Frontend
    from cassiahitch.direct.connections.budget import Holding
    from cassiahitch.direct.connections.stream import GuardedStream

#: Time for which the rest of a refused body is read and dropped, in seconds, so that the caller can
#: read the response before the connection closes.
LINGER_TIMEOUT_S = 2.0


class CallerExchange(HTTPMessageDelegate):
    """Reads one request and writes its response.

    ``refusal`` is why the request is refused while it is read. ``response_ended`` is set when the
    last byte of the response was written, or the connection was aborted; ``response_finished``
    when tornado may read the next request. ``outlives_caller`` is set while the request continues
    at a replica even if its caller disconnects; ``holding`` counts it from then on. ``abandoned``
    is set if the shutdown of the entry cancelled the request before its response started.
    ``close_delimited`` is set if the response has neither chunks nor a length.
    """

    def __init__(
        self, connection: HTTP1Connection, stream: GuardedStream, frontend: Frontend
    ) -> None:
        """Create the exchange for the next request of a connection.

        :param connection: the connection of the caller.
        :param stream: its stream, which counts what is held for it.
        :param frontend: serves the request and keeps track of it.
        """
        self.connection = connection
        self.guarded = stream
        self.frontend = frontend
        self.incoming = IncomingRequest()
        self.body = bytearray()
        self.body_bytes = 0
        self.refusal: RequestError | None = None
        self.disconnected = False
        self.response_started = False
        self.response_ended = False
        self.task: asyncio.Task[None] | None = None
        self.outlives_caller = False
        self.holding: Holding | None = None
        self.timer: asyncio.Timeout | None = None
        self.closes_connection = False
        self.close_delimited = False
        self.abandoned = False
        self.serve_started = False
        self.response_finished = False
        self.progress = Progress()
        self.writer = ResponseWriter(connection, self.progress)

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Check the header of the request.

        :param start_line: method and target.
        :param headers: the headers.
        :return: done when the body may be read; None if it may be at once.
        """
        method, target, version = start_line
        self.incoming.version = str(version)
        self.incoming.method = str(method)
        self.incoming.target = str(target)
        self.incoming.headers = tuple(headers.get_all())
        self.progress.opened_at = asyncio.get_running_loop().time()
        self.frontend.open.add(self)
        # Tornado must not check the size of the body: it would close without an error response.
        self.connection.set_max_body_size(sys.maxsize)
        refusal = self._header_refusal()
        if refusal is None:
            return None
        self._refuse(refusal)
        # Until the response is written, tornado must not ask the caller to continue with its body.
        return self.task if 'Expect' in headers else None

    def data_received(self, chunk: bytes) -> None:
        """Buffer a part of the body, unless the request exceeds a limit.

        :param chunk: the part.
        """
        if self.refusal is not None:
            return
        self.progress.phase = Phase.body
        # Joined at once, since an object for each part would cost far more than a short part.
        self.body += chunk
        self.body_bytes += len(chunk)
        self.frontend.body_bytes += len(chunk)
        refusal = body_refusal(self.body_bytes, self.frontend.body_limit) or total_body_refusal(
            self.body_bytes, self.frontend.body_bytes, self.frontend.request_buffer_bytes
        )
        if refusal is not None:
            self._refuse(refusal)

    def finish(self) -> None:
        """Serve the request, which was read completely."""
        self.progress.read_at = asyncio.get_running_loop().time()
        self.connection.set_close_callback(self.on_connection_close)
        if self.refusal is not None:
            if self.response_ended:
                self._finish_response()
            return
        self.incoming.body = bytes(self.body)
        self.body.clear()
        self.progress.phase = Phase.place
        self._start_serving()

    def on_connection_close(self) -> None:
        """Cancel a request whose caller has disconnected, unless it may outlive its caller."""
        self.disconnected = True
        self.frontend.lingering.discard(self)
        self.stop_tracking()
        if self.task is None:
            # Frees the headers before the reference cycles of the exchange are collected.
            self.incoming = IncomingRequest()
        elif not self.outlives_caller:
            self.task.cancel()
        elif self.holding is None:
            self.holding = self.frontend.guard.hold_served(len(self.incoming.body))

    @property
    def stream(self) -> IOStream:
        """The connection of the caller."""
        return self.connection.stream

    def require_connected(self) -> None:
        """Check that the caller is connected, also by asking the kernel.

        :raises CallerDisconnected: if the caller has closed its connection.
        """
        if self.disconnected or find_disconnected((self.stream,)):
            raise CallerDisconnected

    @contextmanager
    def allow_outliving(self, *, outlives: bool) -> Iterator[None]:
        """Let an attempt at a replica continue if the caller disconnects, but no retry after it.

        :param outlives: whether the attempt may continue.
        :yield: for the duration of the attempt.
        """
        self.outlives_caller = outlives
        try:
            yield
        finally:
            self.outlives_caller = False

    def extend_deadline(self, seconds: float) -> None:
        """Extend the deadline of a response that makes progress.

        :param seconds: least time from now until the new deadline.
        """
        if self.timer is not None:
            until = asyncio.get_running_loop().time() + seconds
            self.timer.reschedule(max(until, self.timer.when() or until))

    def require_time_left(self, deadline: float) -> None:
        """Check that a request can be finished before a shutdown of this process ends.

        :param deadline: deadline of the request, in seconds of the event loop's clock.
        :raises RequestError: ``leaving``.
        """
        if self.frontend.rejects(self.progress.read_at or 0, deadline):
            raise RequestError(
                Code.leaving,
                'this entry is shutting down and could not finish the request',
                HasRun.no,
                OTHER_ENTRY_RETRY_AFTER_S,
            )

    def abandon(self) -> None:
        """End a request whose response has not started with an error response."""
        if self.response_started or self.refusal is not None:
            return
        # A request that was read but whose task has not started yet is refused when it starts,
        # since the frontend is closing by then.
        if self.task is None:
            self._refuse(
                RequestError(
                    Code.leaving,
                    'this entry is shutting down',
                    HasRun.no,
                    OTHER_ENTRY_RETRY_AFTER_S,
                )
            )
            return
        if self.serve_started:
            self.abandoned = True
            self.task.cancel()

    async def respond(self, status: int, reason: str, headers: Headers, body: bytes) -> None:
        """Send a complete response.

        :param status: HTTP status.
        :param reason: reason phrase.
        :param headers: headers, without those of the connection.
        :param body: the body.
        :raises SecondResponse: if a response has been started.
        """
        self._require_no_response()
        http_headers = self._make_headers(headers)
        if self.incoming.method == 'HEAD':
            body = b''
        if status not in {HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED}:
            http_headers['Content-Length'] = str(len(body))
        self.response_started = True
        self.progress.phase = Phase.writing
        self.writer.write_response(
            ResponseStartLine('HTTP/1.1', status, reason), http_headers, body
        )
        self.end_response()

    async def start_response(
        self, status: int, reason: str, headers: Headers, *, close_delimited: bool = False
    ) -> None:
        """Send the head of a response whose body follows in parts.

        :param status: HTTP status.
        :param reason: reason phrase.
        :param headers: headers, without those of the connection.
        :param close_delimited: whether the body ends with the connection.
        :raises CallerDisconnected: if the connection is closed.
        :raises SecondResponse: if a response has been started.
        """
        self._require_no_response()
        self.response_started = True
        self.close_delimited = close_delimited or self.incoming.needs_close(headers)
        if self.close_delimited:
            # Also if this process is killed, the caller must not take the close for the end.
            reset_on_close(self.stream.socket)
        start_line = ResponseStartLine('HTTP/1.1', status, reason)
        http_headers = self._make_headers(headers)
        if self.close_delimited:
            await self.writer.start_close_delimited(start_line, http_headers)
        else:
            await self.writer.start(start_line, http_headers)

    async def forward(self, answered: Answered) -> None:
        """Send a complete response of a backend server.

        It shows no end if that of the backend server does not.

        :param answered: the response.
        :raises CallerDisconnected: if the connection is closed.
        :raises SecondResponse: if a response has been started.
        """
        head = answered.head
        if not head.close_delimited:
            await self.respond(head.status, head.reason, head.headers, answered.body)
            return
        await self.start_response(head.status, head.reason, head.headers, close_delimited=True)
        await self.write_body(answered.body)
        self.end_response()

    async def write_body(self, data: bytes) -> None:
        """Send a part of the body.

        :param data: the part.
        :raises CallerDisconnected: if the connection is closed.
        """
        if self.disconnected:
            raise CallerDisconnected
        await self.writer.write(data)

    def end_response(self) -> None:
        """Complete the response; the exchange stays open until its last byte is sent."""
        if self.response_ended or self.disconnected:
            return
        self.response_ended = True
        self.progress.phase = Phase.writing
        if (
            self.refusal is None
            or self.progress.read_at is not None
            or self.incoming.expects_continue
        ):
            self._finish_response()
            return
        self.frontend.lingering.add(self)
        self.stop_tracking()
        asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, self._finish_response)

    def stop_tracking(self) -> None:
        """Remove the exchange from the open ones and discard its body."""
        self.frontend.open.discard(self)
        self._discard_body()

    def _discard_body(self) -> None:
        self.frontend.body_bytes -= self.body_bytes
        self.body_bytes = 0
        self.body.clear()

    def _finish_response(self) -> None:
        self.frontend.lingering.discard(self)
        if self.disconnected or self.response_finished:
            return
        self.response_finished = True
        if self.close_delimited and self.stream.writing():
            self.writer.call_when_sent(lambda _: self._finish_written_response())
            return
        self._finish_written_response()

    def _finish_written_response(self) -> None:
        if self.disconnected:
            return
        if self.close_delimited and not self.stream.closed():
            finish_on_close(self.stream.socket)
        self.connection.finish()
        if self.connection.stream.closed() or not self.connection.stream.writing():
            self._on_response_sent()
            return
        self.writer.call_when_sent(lambda _: self._on_response_sent())

    def _header_refusal(self) -> RequestError | None:
        headers = self.incoming.headers
        refusal = header_refusal(
            self.incoming.target,
            headers,
            self.frontend.body_limit,
            too_many_fields=self.guarded.too_many_fields,
        )
        length = stated_length(headers)
        if refusal is not None or length <= ALWAYS_READ_BODY_BYTES:
            return refusal
        return None if self.frontend.guard.budget.admits(length) else buffer_full()

    def _refuse(self, refusal: RequestError) -> None:
        self.refusal = refusal
        self._discard_body()
        self.guarded.discard_body()
        self._start_serving()

    def _start_serving(self) -> None:
        if self.stream.closed():
            # The request was read from a connection that has been closed since.
            self.on_connection_close()
            return
        self.task = asyncio.create_task(self._run())
        self.frontend.running.add(self)
        self.task.add_done_callback(lambda _: self.frontend.running.discard(self))

    def abort(self) -> None:
        """Close the connection, so that the response is recognised as incomplete."""
        self.response_ended = True
        self.stop_tracking()
        if self.connection.stream is None:
            return
        self.connection.stream.close()

    def _require_no_response(self) -> None:
        if self.response_started:
            raise SecondResponse('a response to the request has been started')

    def _make_headers(self, headers: Headers) -> HTTPHeaders:
        http_headers = make_http_headers(headers)
        self.closes_connection = (
            self.close_delimited
            or self.frontend.shutdown_schedule is not None
            or self.refusal is not None
        )
        if self.closes_connection:
            http_headers['Connection'] = 'close'
        return http_headers

    def _on_response_sent(self) -> None:
        self.stop_tracking()
        if self.closes_connection:
            self.connection.close()

    async def _run(self) -> None:
        self.serve_started = True
        with ExitStack() as stack:
            stack.callback(self._release_body)
            stack.callback(self._abort_unless_complete)
            try:
                await self.frontend.serve(self)
            except CallerDisconnected:
                return
            except Exception as error:  # noqa: BLE001 (any unexpected error gets a response)
                await self.frontend.fail(self, error)

    def _release_body(self) -> None:
        # The exchange is part of reference cycles, which are freed much later.
        self.incoming.body = b''
        if self.holding is not None:
            self.frontend.guard.close(self.holding)

    def _abort_unless_complete(self) -> None:
        if not self.response_ended:
            self.abort()


__all__ = ('CallerExchange',)
