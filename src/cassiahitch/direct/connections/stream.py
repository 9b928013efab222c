"""A connection of an HTTP server that counts what is held for it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from cassiahitch.direct.connections.budget import BUFFER_OVERHEAD, FIELD_COST_BYTES, Stage
from cassiahitch.util.sockets import reset_on_close

if TYPE_CHECKING:
    from cassiahitch.direct.connections.guard import ConnectionGuard

#: Bytes that are read of the requests behind one that is being served.
READ_AHEAD_BYTES = 4096
#: Shortest and longest delay of a request that was sent before the response to the one before it,
#: in seconds; spread, so that the requests of many connections do not arrive together.
PIPELINE_DELAY_S = (0.25, 0.75)
#: Bytes of the end of a header, less one: those that are searched again when more have arrived.
SEARCH_OVERLAP_BYTES = 3
#: Fields up to which a header is parsed at once; longer ones are parsed in turn with others, since
#: parsing them takes milliseconds.
MAX_IMMEDIATE_FIELDS = 128
#: Header lines that are kept of a header with too many.
KEPT_LINES = 64
LINE_END = b'\r\n'
CLOSE_FIELD = b'\r\nConnection: close\r\n\r\n'


class GuardedStream(IOStream):
    """A connection that counts its bytes and reads no more than the guard allows.

    ``too_many_fields`` is set if the current header has more fields than are parsed; it is cut
    then, and the connection must be closed after its response.
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
        self.holding = guard.open(self)
        self._turn: asyncio.Future[None] | None = None
        self._is_pipelined = False
        self._has_pipeline_slot = False
        self._reads_header = False
        self._searched_bytes = 0
        self._fields = 0
        self._discards_body = False
        self._is_closing = False

    def read_until_regex(self, regex: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read the header of the next request.

        :param regex: the end of the header.
        :param max_bytes: ignored; the limits in force have the size of the largest header.
        :return: the header.
        """
        max_bytes = self.guard.budget.limits.read_header_bytes
        self._release_pipeline_slot()
        self._discards_body = False
        self.too_many_fields = False
        ahead = self._read_buffer_size
        self.holding.enter(Stage.header if ahead else Stage.idle, self.guard.now())
        self._hold(request_bytes=ahead)
        read_header = partial(super().read_until_regex, regex, max_bytes)
        if self._is_pipelined:
            self._is_pipelined = False
            return self._read_delayed(read_header)
        header = self._start_header(read_header)
        if header.done() and self._fields <= MAX_IMMEDIATE_FIELDS:
            return header
        in_turn: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        header.add_done_callback(partial(self._pass_on, in_turn))
        return in_turn

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read bytes, as many as the guard allows.

        :param buf: buffer for the bytes.
        :return: number of bytes, None if there are none or the guard allows none, 0 at the end.
        """
        room = self.guard.budget.readable_bytes(self.holding)
        if room <= 0:
            return None
        room = min(room, len(buf) if self.reading() else READ_AHEAD_BYTES)
        with memoryview(buf) as view, view[:room] as part:
            count = super().read_from_fd(part)
        if count:
            self._count_received(count)
        return count

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Write bytes.

        :param data: the bytes.
        :return: done when they are written to the socket.
        """
        if data and self._read_buffer_size and self.holding.stage is Stage.served:
            self._is_pipelined = True
        if not self.holding.unread_bytes:
            self.holding.restart(self.guard.now())
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
        self._release_pipeline_slot()
        self.guard.close(self.holding)
        if self._turn is not None:
            self.guard.turns.drop(self._turn, StreamClosedError())

    def wait_for_turn(self) -> asyncio.Future[None]:
        """Wait until work of this connection may be done that takes long.

        :return: done when it may, at once after it is awaited; fails with ``StreamClosedError``
            when the connection closes.
        """
        turn = self.guard.turns.wait()
        if self.closed():
            self.guard.turns.drop(turn, StreamClosedError())
            return turn
        self._turn = turn
        self.holding.waits_for_turn = True
        turn.add_done_callback(self._end_turn)
        return turn

    def cut(self) -> None:
        """Close the connection, so that its client takes no response for complete."""
        if self.closed():
            return
        if self.holding.stage is not Stage.idle:
            reset_on_close(self.socket)
        self.close()
        self._drop_buffer()

    def close(self, exc_info: Any = False) -> None:  # noqa: FBT002 (as in the base class)
        """Close the connection.

        The base class looks for the end of a pending read first. A header that was not parsed by
        now is dropped: looking for room for it would close connections, this one among them.

        :param exc_info: error that is the reason.
        """
        self._is_closing = True
        super().close(exc_info)
        if isinstance(exc_info, UnsatisfiableReadError):
            self._drop_buffer()

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

    def _drop_buffer(self) -> None:
        # The stream is part of reference cycles, which are freed much later.
        self._read_buffer = bytearray()
        self._read_buffer_size = 0

    def _start_header(self, read_header: Callable[[], Awaitable[bytes]]) -> asyncio.Future[bytes]:
        self._reads_header = True
        self._searched_bytes = 0
        self._fields = 0
        return asyncio.ensure_future(read_header())

    async def _read_delayed(self, read_header: Callable[[], Awaitable[bytes]]) -> bytes:
        self.holding.waits_for_turn = True
        await asyncio.sleep(self.guard.rng.uniform(*PIPELINE_DELAY_S))
        self.holding.waits_for_turn = False
        header = await self._start_header(read_header)
        await self._take_pipeline_slot()
        if self._fields > MAX_IMMEDIATE_FIELDS:
            await self.wait_for_turn()
        return header

    async def _take_pipeline_slot(self) -> None:
        self.holding.waits_for_turn = True
        await self.guard.pipeline_slots.acquire()
        self.holding.waits_for_turn = False
        self._has_pipeline_slot = True
        if self.closed():
            self._release_pipeline_slot()
            raise StreamClosedError

    def _release_pipeline_slot(self) -> None:
        if self._has_pipeline_slot:
            self._has_pipeline_slot = False
            self.guard.pipeline_slots.release()

    def _pass_on(self, in_turn: asyncio.Future[bytes], header: asyncio.Future[bytes]) -> None:
        error = header.exception()
        if in_turn.done():
            return
        if error:
            _fail(in_turn, error)
        elif self._fields <= MAX_IMMEDIATE_FIELDS:
            in_turn.set_result(header.result())
        else:
            turn = self.wait_for_turn()
            turn.add_done_callback(partial(self._pass_on_in_turn, in_turn, header.result()))

    def _pass_on_in_turn(
        self, in_turn: asyncio.Future[bytes], header: bytes, turn: asyncio.Future[None]
    ) -> None:
        error = turn.exception()
        if in_turn.done():
            return
        if error or self.closed():
            _fail(in_turn, error or StreamClosedError())
            return
        in_turn.set_result(header)

    def _end_turn(self, _: asyncio.Future[None]) -> None:
        self._turn = None
        self.holding.waits_for_turn = False

    def _count_received(self, count: int) -> None:
        if self.holding.stage is Stage.idle:
            self.holding.enter(Stage.header, self.guard.now())
        if self.holding.stage is not Stage.served:
            self.holding.move(count, self.guard.now())
        if self._discards_body:
            return
        cost = round(count * BUFFER_OVERHEAD)
        self._hold(request_bytes=self.holding.request_bytes + cost)

    def _hold(self, *, request_bytes: int | None = None, unread_bytes: int | None = None) -> None:
        self.guard.hold(
            self.holding,
            self.holding.request_bytes if request_bytes is None else request_bytes,
            self.holding.unread_bytes if unread_bytes is None else unread_bytes,
        )

    def _find_read_pos(self) -> int | None:
        if not self._reads_header or self._read_regex is None:
            return super()._find_read_pos()
        if self._is_closing:
            return None
        # The base class searches all bytes again whenever some arrive.
        start = max(0, self._searched_bytes - SEARCH_OVERLAP_BYTES)
        found = self._read_regex.search(self._read_buffer, start)
        self._searched_bytes = self._read_buffer_size
        end = found.end() if found else None
        self._check_max_bytes(self._read_regex, end or self._read_buffer_size)
        if end:
            self._require_room(end)
        return end

    def _require_room(self, header_bytes: int) -> None:
        """Count the objects of a header before it is parsed."""
        lines = self._read_buffer.count(b'\n', 0, header_bytes)
        fields = min(lines, self.guard.budget.limits.max_fields)
        self._hold(request_bytes=self.holding.request_bytes + fields * FIELD_COST_BYTES)
        if self.guard.budget.has_room(self.holding):
            return
        self.guard.close_excess()
        if self.closed() or not self.guard.budget.has_room(self.holding):
            raise UnsatisfiableReadError('no room for the header')

    def _consume(self, loc: int) -> bytes:
        data = super()._consume(loc)
        if not self._reads_header:
            return data
        self._reads_header = False
        self._fields = data.count(b'\n')
        if self._fields <= self.guard.budget.limits.max_fields:
            return data
        self._fields = KEPT_LINES
        self.too_many_fields = True
        lines = data.lstrip(LINE_END).split(LINE_END, KEPT_LINES)[:-1]
        return LINE_END.join(lines) + CLOSE_FIELD


def _fail(header: asyncio.Future[bytes], error: BaseException) -> None:
    header.set_exception(error)
    # Retrieved here, since the server does not await a header after its own timeout.
    header.exception()


__all__ = ('GuardedStream',)
