"""Writes the response of one request to its caller, and counts the bytes that were sent."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

if TYPE_CHECKING:
    from tornado.http1connection import HTTP1Connection

    from cassiahitch.direct.api import Headers
    from cassiahitch.direct.callers.progress import Progress

#: Bytes of a complete response that are written and counted as sent at a time.
CHUNK_BYTES = 65_536


class CallerDisconnected(Exception):
    """The caller has closed its connection."""


class SecondResponse(Exception):
    """A response was to be written into one that has been started."""


@dataclass(frozen=True, slots=True)
class ResponseWriter:
    """Writes one response to a connection and counts its bytes in ``progress``."""

    connection: HTTP1Connection
    progress: Progress

    def write_response(
        self, start_line: ResponseStartLine, http_headers: HTTPHeaders, body: bytes
    ) -> None:
        """Write a complete response without waiting until it is sent.

        :param start_line: status line.
        :param http_headers: the headers.
        :param body: the body.
        """
        first_chunk = body[:CHUNK_BYTES]
        self._submit(self.connection.write_headers(start_line, http_headers, first_chunk))
        self._count_when_sent(len(first_chunk))
        for start in range(CHUNK_BYTES, len(body), CHUNK_BYTES):
            chunk = body[start : start + CHUNK_BYTES]
            self._submit(self.connection.write(chunk))
            self._count_when_sent(len(chunk))

    async def start(self, start_line: ResponseStartLine, http_headers: HTTPHeaders) -> None:
        """Write the head of a response whose body follows in parts.

        :param start_line: status line.
        :param http_headers: the headers.
        :raises CallerDisconnected: if the connection is closed.
        """
        await _await_written(
            self._submit(self.connection.write_headers(start_line, http_headers, None))
        )

    async def start_close_delimited(
        self, start_line: ResponseStartLine, http_headers: HTTPHeaders
    ) -> None:
        """Write the head of a response whose body ends with the connection.

        :param start_line: status line.
        :param http_headers: the headers, with one that announces the close.
        :raises CallerDisconnected: if the connection is closed.
        """
        # Tornado's own function for a head would add chunks.
        lines = [f'{start_line.version} {start_line.code} {start_line.reason}']
        lines.extend(f'{name}: {text}' for name, text in http_headers.get_all())
        await _await_written(self.connection.write('\r\n'.join((*lines, '', '')).encode('latin1')))

    async def write(self, data: bytes) -> None:
        """Write a part of the body and wait until it is sent.

        :param data: the part.
        :raises CallerDisconnected: if the connection is closed.
        """
        self.progress.bytes_handed_over += len(data)
        await _await_written(self.connection.write(data))
        self.progress.bytes_sent += len(data)

    def call_when_sent(self, callback: Callable[[asyncio.Future[None]], None]) -> None:
        """Call a function when all bytes that were written so far are sent.

        :param callback: called with the future of the write.
        """
        # An empty write is done when all bytes before it are sent.
        self._submit(self.connection.stream.write(b'')).add_done_callback(callback)

    def _submit(self, written: Awaitable[None]) -> asyncio.Future[None]:
        # The connection sends the bytes by itself. Errors are retrieved here, since not every user
        # of the future awaits it.
        future = asyncio.ensure_future(written)
        future.add_done_callback(_ignore_error)
        return future

    def _count_when_sent(self, size: int) -> None:
        self.progress.bytes_handed_over += size
        if not self.connection.stream.closed():
            self.call_when_sent(partial(self._count_sent, size))

    def _count_sent(self, size: int, future: asyncio.Future[None]) -> None:
        if not future.cancelled() and future.exception() is None:
            self.progress.bytes_sent += size


def make_http_headers(headers: Headers) -> HTTPHeaders:
    """Convert headers to tornado's type.

    :param headers: names and values.
    :return: the headers.
    """
    http_headers = HTTPHeaders()
    for name, text in headers:
        http_headers.add(name, text)
    return http_headers


async def _await_written(written: Awaitable[None]) -> None:
    try:
        await written
    except StreamClosedError as error:
        raise CallerDisconnected from error


def _ignore_error(future: asyncio.Future[None]) -> None:
    if not future.cancelled():
        future.exception()


__all__ = (
    'CallerDisconnected',
    'ResponseWriter',
    'SecondResponse',
    'make_http_headers',
)
