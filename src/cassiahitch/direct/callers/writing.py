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
PIECE_BYTES = 65_536


class CallerGone(Exception):
    """The caller has closed its connection."""


@dataclass(frozen=True, slots=True)
class AnswerWriter:
    """Writes to one connection; ``progress`` counts the bytes."""

    connection: HTTP1Connection
    progress: Progress

    def write_whole(self, line: ResponseStartLine, lines: HTTPHeaders, body: bytes) -> None:
        """Hand a whole answer over; the connection takes it by itself.

        :param line: its status.
        :param lines: its headers.
        :param body: its body.
        """
        first = body[:PIECE_BYTES]
        self._hand_over(self.connection.write_headers(line, lines, first))
        self._mark(len(first))
        for start in range(PIECE_BYTES, len(body), PIECE_BYTES):
            piece = body[start : start + PIECE_BYTES]
            self._hand_over(self.connection.write(piece))
            self._mark(len(piece))

    async def start(self, line: ResponseStartLine, lines: HTTPHeaders) -> None:
        """Write the start of an answer whose body follows in parts.

        :param line: its status.
        :param lines: its headers.
        :raises CallerGone: if nobody reads it.
        """
        await _written(self._hand_over(self.connection.write_headers(line, lines, None)))

    async def write(self, data: bytes) -> None:
        """Write a part of the body.

        :param data: the part.
        :raises CallerGone: if nobody reads it.
        """
        self.progress.handed += len(data)
        await _written(self.connection.write(data))
        self.progress.left += len(data)

    def after_written(self, then: Callable[[asyncio.Future[None]], None]) -> None:
        """Do something once all bytes that were handed over so far have left.

        :param then: what to do.
        """
        # Nothing is written; the mark is reached when all bytes before it have left.
        self._hand_over(self.connection.stream.write(b'')).add_done_callback(then)

    def _hand_over(self, written: Awaitable[None]) -> asyncio.Future[None]:
        # The caller's connection takes the bytes by itself; not everybody waits for them.
        future = asyncio.ensure_future(written)
        future.add_done_callback(_retrieve)
        return future

    def _mark(self, size: int) -> None:
        self.progress.handed += size
        if not self.connection.stream.closed():
            self.after_written(partial(self._note_left, size))

    def _note_left(self, size: int, future: asyncio.Future[None]) -> None:
        if not future.cancelled() and future.exception() is None:
            self.progress.left += size


def make_lines(headers: Headers) -> HTTPHeaders:
    """Return headers as the HTTP server takes them.

    :param headers: names and values.
    :return: headers.
    """
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
    'AnswerWriter',
    'CallerGone',
    'make_lines',
)
