"""A connection of an HTTP server that counts what is held for it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from tornado.iostream import IOStream, UnsatisfiableReadError

from cassiahitch.direct.connections.budget import FIELD_COST_BYTES, Stage
from cassiahitch.util.sockets import reset_on_close

if TYPE_CHECKING:
    from cassiahitch.direct.connections.guard import ConnectionGuard

#: Bytes that are read of the requests behind one that is being served.
READ_AHEAD_BYTES = 4096
#: Requests that a client may send before it has read the responses to earlier ones, without delay.
FREE_PIPELINED_REQUESTS = 1
#: Shortest and longest delay of each further request, in seconds; spread, so that the requests of
#: many connections do not arrive together.
PIPELINE_DELAY_S = (0.25, 0.75)
#: Bytes of the end of a header, less one: those that are searched again when more have arrived.
SEARCH_OVERLAP_BYTES = 3
#: Header lines that are kept of a header with too many.
KEPT_LINES = 64
#: Reads up to the end of a header.
ReadHeader = Callable[[bytes, int], Awaitable[bytes]]
LINE_END = b'\r\n'
CLOSE_FIELD = b'\r\nConnection: close\r\n\r\n'


class GuardedStream(IOStream):
    """A connection that counts its bytes and reads no more than the guard allows.

    ``too_many_fields`` is set if the current header has more fields than are parsed; it is cut
    then, and the connection must be closed after its response. ``pipelined`` counts the requests
    that were received before the response to the one before them was written.
    """

    def __init__(self, guard: ConnectionGuard, *arguments: Any, **options: Any) -> None:
        """Create the stream for a connected socket.

        :param guard: limits what is held for all connections.
        :param arguments: positional arguments of the base class.
        :param options: keyword arguments of the base class.
        """
        super().__init__(*arguments, **options)
        self.guard = guard
        self.too_many_fields = False
        self.pipelined = 0
        self.holding = guard.open(self)
        self._reads_header = False
        self._searched_bytes = 0
        self._discards_body = False

    def read_until_regex(self, regex: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read the header of the next request.

        :param regex: the end of the header.
        :param max_bytes: ignored; the limits in force have the size of the largest header.
        :return: the header.
        """
        max_bytes = self.guard.budget.limits.read_header_bytes
        self._discards_body = False
        self.too_many_fields = False
        self._reads_header = True
        self._searched_bytes = 0
        ahead = self._read_buffer_size
        self.holding.enter(Stage.header if ahead else Stage.idle, self.guard.now())
        self._hold(request_bytes=ahead)
        if not ahead:
            self.pipelined = 0
            return super().read_until_regex(regex, max_bytes)
        self.pipelined += 1
        if self.pipelined <= FREE_PIPELINED_REQUESTS:
            return super().read_until_regex(regex, max_bytes)
        return self._read_delayed(super().read_until_regex, regex, max_bytes)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read bytes, as many as the guard allows.

        :param buf: buffer for the bytes.
        :return: number of bytes, None if there are none or the guard allows none, 0 at the end.
        """
        if not self.guard.budget.may_read(self.holding):
            return None
        if self.reading():
            count = super().read_from_fd(buf)
        else:
            with memoryview(buf) as view, view[:READ_AHEAD_BYTES] as part:
                count = super().read_from_fd(part)
        if count:
            self._received(count)
        return count

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Write bytes.

        :param data: the bytes.
        :return: done when they are written to the socket.
        """
        if not self.holding.unread_bytes:
            self.holding.progress_at = self.guard.now()
        # Counted before, since the base class may write them at once.
        self._hold(unread_bytes=self.holding.unread_bytes + len(data))
        return super().write(data)

    def write_to_fd(self, data: memoryview) -> int:
        """Write bytes to the socket.

        :param data: the bytes.
        :return: number of bytes that were written.
        """
        count = super().write_to_fd(data)
        if count:
            self.holding.move(count, self.guard.now())
            self._hold(unread_bytes=max(0, self.holding.unread_bytes - count))
        return count

    def close_fd(self) -> None:
        """Close the socket."""
        super().close_fd()
        self.guard.close(self.holding)

    def cut(self) -> None:
        """Close the connection, so that its client takes no response for complete."""
        if self.closed():
            return
        if self.holding.stage is not Stage.idle:
            reset_on_close(self.socket)
        self.close()

    def discard_body(self) -> None:
        """Stop counting the current request, the rest of whose body is dropped."""
        self._discards_body = True
        self._hold(request_bytes=0)

    def unread(self, data: bytes) -> None:
        """Put back bytes that belong to the next request.

        :param data: the bytes.
        """
        self._read_buffer = bytearray(data) + self._read_buffer
        self._read_buffer_size += len(data)

    def _received(self, count: int) -> None:
        if self.holding.stage is Stage.idle:
            self.holding.enter(Stage.header, self.guard.now())
        if self.holding.stage is not Stage.served:
            self.holding.move(count, self.guard.now())
        if not self._discards_body:
            self._hold(request_bytes=self.holding.request_bytes + count)

    def _hold(self, *, request_bytes: int | None = None, unread_bytes: int | None = None) -> None:
        self.guard.hold(
            self.holding,
            self.holding.request_bytes if request_bytes is None else request_bytes,
            self.holding.unread_bytes if unread_bytes is None else unread_bytes,
        )

    async def _read_delayed(self, read_header: ReadHeader, regex: bytes, max_bytes: int) -> bytes:
        self.holding.waits_for_turn = True
        await asyncio.sleep(self.guard.rng.uniform(*PIPELINE_DELAY_S))
        self.holding.waits_for_turn = False
        return await read_header(regex, max_bytes)

    def _find_read_pos(self) -> int | None:
        if not self._reads_header or self._read_regex is None:
            return super()._find_read_pos()
        # The base class searches all bytes again whenever some arrive.
        start = max(0, self._searched_bytes - SEARCH_OVERLAP_BYTES)
        found = self._read_regex.search(self._read_buffer, start)
        self._searched_bytes = self._read_buffer_size
        self._check_max_bytes(
            self._read_regex, self._read_buffer_size if found is None else found.end()
        )
        if found is None:
            return None
        self._require_room(found.end())
        return found.end()

    def _require_room(self, header_bytes: int) -> None:
        """Count the objects of a header before it is parsed."""
        lines = self._read_buffer.count(b'\n', 0, header_bytes)
        fields = min(lines, self.guard.budget.limits.max_fields)
        self._hold(request_bytes=self.holding.request_bytes + fields * FIELD_COST_BYTES)
        if self.guard.budget.may_read(self.holding):
            return
        self.guard.close_excess()
        if self.closed() or not self.guard.budget.may_read(self.holding):
            raise UnsatisfiableReadError('no room for the header')

    def _consume(self, loc: int) -> bytes:
        data = super()._consume(loc)
        if not self._reads_header:
            return data
        self._reads_header = False
        if data.count(b'\n') <= self.guard.budget.limits.max_fields:
            return data
        self.too_many_fields = True
        lines = data.lstrip(LINE_END).split(LINE_END, KEPT_LINES)[:-1]
        return LINE_END.join(lines) + CLOSE_FIELD


__all__ = ('GuardedStream',)
