"""HTTP server whose connections are limited by a guard."""

from __future__ import annotations

import sys
from collections.abc import Awaitable
from typing import TYPE_CHECKING, Any

from tornado.http1connection import HTTP1Connection, is_transfer_encoding_chunked
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from cassiahitch.direct.connections.budget import Stage
from cassiahitch.direct.connections.chunks import ChunkDecoder, InvalidChunkError
from cassiahitch.direct.connections.stream import GuardedStream

if TYPE_CHECKING:
    from cassiahitch.direct.connections.guard import ConnectionGuard

#: Bytes of a chunked body that are read at a time.
READ_BYTES = 65_536
#: Chunks, or runs of equal ones, that a body may have before it is decoded in turn with others.
MAX_IMMEDIATE_CHUNKS = 1024
CONTINUE = b'HTTP/1.1 100 (Continue)\r\n\r\n'


class GuardedDelegate(HTTPMessageDelegate):
    """Passes a request on, reads its body if it is chunked, and records its stage."""

    def __init__(
        self, delegate: HTTPMessageDelegate, stream: GuardedStream, max_body_bytes: int
    ) -> None:
        """Create the delegate for one request.

        :param delegate: receives the request.
        :param stream: the connection.
        :param max_body_bytes: size of the largest chunked body that is passed on, in bytes.
        """
        self.max_body_bytes = max_body_bytes
        self.body_bytes = 0
        self.delegate = delegate
        self.stream = stream
        self.is_cut = False
        self.headers = HTTPHeaders()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Pass the header on.

        :param start_line: method and target.
        :param headers: the headers.
        :return: done when the body may be read; None if it may be at once.
        """
        self.stream.holding.enter(Stage.body, self.stream.guard.now())
        self.headers = headers
        checked = self.delegate.headers_received(start_line, headers)
        is_chunked = is_transfer_encoding_chunked(headers)
        return self._read_chunks(headers, checked) if is_chunked else checked

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a part of the body on.

        :param chunk: the part.
        :return: done when the next part may be read; None if it may be at once.
        """
        return self.delegate.data_received(chunk)

    def finish(self) -> None:
        """Pass the end of the request on, unless the connection closed before it."""
        if self.is_cut:
            self.delegate.on_connection_close()
            return
        holding = self.stream.holding
        holding.requests += 1
        holding.enter(Stage.served, self.stream.guard.now())
        self.delegate.finish()

    def on_connection_close(self) -> None:
        """Pass the end of the connection on."""
        # The server keeps the headers in reference cycles, which are freed much later.
        for name in tuple(self.headers):
            del self.headers[name]  # noqa: WPS420 (frees the field)
        self.delegate.on_connection_close()

    async def _read_chunks(self, headers: HTTPHeaders, checked: Awaitable[None] | None) -> None:
        if checked is not None:
            await checked
        # The server must not read the body again, nor ask the client to continue with it.
        headers.pop('Transfer-Encoding')
        expects = headers.pop('Expect', '') == '100-continue'
        try:
            # A request whose check was awaited has been refused.
            if expects and checked is None:
                self.stream.write(CONTINUE)
            await self._decode_body(ChunkDecoder())
        except StreamClosedError:
            self.is_cut = True
        except InvalidChunkError as error:
            raise HTTPInputError(str(error)) from error

    async def _decode_body(self, decoder: ChunkDecoder) -> None:
        while not decoder.done:
            if decoder.needs_more:
                decoder.feed(await self.stream.read_bytes(READ_BYTES, partial=True))
            if decoder.chunks <= MAX_IMMEDIATE_CHUNKS:
                await self._decode_step(decoder)
                continue
            await self.stream.wait_for_turn()
            if self.stream.closed():
                raise StreamClosedError
            await self._decode_step(decoder)
        self.stream.unread(bytes(decoder.received))

    async def _decode_step(self, decoder: ChunkDecoder) -> None:
        body = decoder.step()
        self.body_bytes += len(body)
        if self.body_bytes > self.max_body_bytes:
            raise HTTPInputError('the body is too large')
        delivered = self.delegate.data_received(body) if body else None
        if delivered is not None:
            await delivered


class GuardedServer(HTTPServer):
    """HTTP server whose connections count against the limits of a guard."""

    def initialize(  # type: ignore[override]
        self, request_callback: Any, guard: ConnectionGuard, **options: Any
    ) -> None:
        """Set up the server; tornado calls this with the arguments of the constructor.

        :param request_callback: application, or delegate for requests.
        :param guard: limits what is held for all connections.
        :param options: keyword arguments of the base class.
        """
        self.guard = guard
        super().initialize(request_callback, **options)

    def make_stream(self, stream: IOStream) -> GuardedStream:
        """Return the stream of a new connection.

        :param stream: the connection as it was accepted.
        :return: the stream that replaces it.
        """
        return GuardedStream(
            self.guard,
            stream.socket,
            max_buffer_size=self.max_buffer_size,
            read_chunk_size=self.read_chunk_size,
        )

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection.

        :param stream: the connection.
        :param address: address of the client.
        """
        super().handle_stream(self.make_stream(stream), address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that reads the next request of a connection.

        :param server_conn: the connection.
        :param request_conn: the connection as the next request uses it.
        :return: the delegate.
        :raises TypeError: if the connection was not made by this server.
        """
        delegate = super().start_request(server_conn, request_conn)
        stream = request_conn.stream if isinstance(request_conn, HTTP1Connection) else None
        if not isinstance(stream, GuardedStream):
            raise TypeError('not a connection of this server')
        max_body_bytes = self.conn_params.max_body_size or sys.maxsize
        return GuardedDelegate(delegate, stream, max_body_bytes)


__all__ = (
    'GuardedDelegate',
    'GuardedServer',
)
