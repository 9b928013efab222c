"""Writes the answer of one request to its caller, and knows what of it has left."""

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

#: Bytes of a whole answer after each of which it is known whether they have left.
CHUNK_BYTES = 65_536


class CallerDisconnected(Exception):
    """The caller has closed its connection."""


@dataclass(frozen=True, slots=True)
class ResponseWriter:
    """Writes to one connection; ``progress`` counts the bytes."""

    connection: HTTP1Connection
    progress: Progress

    def write_response(self, line: ResponseStartLine, lines: HTTPHeaders, body: bytes) -> None:
        """Hand a whole answer over; the connection takes it by itself.

        :param line: its status.
        :param lines: its headers.
        :param body: its body.
        """
        first = body[:CHUNK_BYTES]
        self._submit(self.connection.write_headers(line, lines, first))
        self._mark(len(first))
        for start in range(CHUNK_BYTES, len(body), CHUNK_BYTES):
            piece = body[start : start + CHUNK_BYTES]
            self._submit(self.connection.write(piece))
            self._mark(len(piece))

    async def start(self, line: ResponseStartLine, lines: HTTPHeaders) -> None:
        """Write the start of an answer whose body follows in parts.

        :param line: its status.
        :param lines: its headers.
        :raises CallerDisconnected: if nobody reads it.
        """
        await _await_written(self._submit(self.connection.write_headers(line, lines, None)))

    async def write(self, data: bytes) -> None:
        """Write a part of the body.

        :param data: the part.
        :raises CallerDisconnected: if nobody reads it.
        """
        self.progress.bytes_handed_over += len(data)
        await _await_written(self.connection.write(data))
        self.progress.bytes_sent += len(data)

    def after_written(self, then: Callable[[asyncio.Future[None]], None]) -> None:
        """Do something once all bytes that were handed over so far have left.

        :param then: what to do.
        """
        # Nothing is written; the mark is reached when all bytes before it have left.
        self._submit(self.connection.stream.write(b'')).add_done_callback(then)

    def _submit(self, written: Awaitable[None]) -> asyncio.Future[None]:
        # The caller's connection takes the bytes by itself; not everybody waits for them.
        future = asyncio.ensure_future(written)
        future.add_done_callback(_retrieve)
        return future

    def _mark(self, size: int) -> None:
        self.progress.bytes_handed_over += size
        if not self.connection.stream.closed():
            self.after_written(partial(self._note_left, size))

    def _note_left(self, size: int, future: asyncio.Future[None]) -> None:
        if not future.cancelled() and future.exception() is None:
            self.progress.bytes_sent += size


def make_http_headers(headers: Headers) -> HTTPHeaders:
    """Return headers as the HTTP server takes them.

    :param headers: names and values.
    :return: headers.
    """
    lines = HTTPHeaders()
    for name, text in headers:
        lines.add(name, text)
    return lines


async def _await_written(written: Awaitable[None]) -> None:
    try:
        await written
    except StreamClosedError as error:
        raise CallerDisconnected from error


def _retrieve(future: asyncio.Future[None]) -> None:
    if not future.cancelled():
        future.exception()


__all__ = (
    'ResponseWriter',
    'CallerDisconnected',
    'make_http_headers',
)
