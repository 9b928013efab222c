"""Lines of an HTTP answer as they arrive."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tornado.httputil import HTTPInputError, parse_response_start_line

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from tornado.httpclient import HTTPResponse

MAX_LINE_BYTES = 1_048_576
#: Status of a call without an answer, as tornado's client numbers it.
NO_RESPONSE_STATUS = 599


class LineStream:
    """Splits the answer of tornado's curl client into lines."""

    def __init__(self) -> None:
        """Create the stream within a running event loop."""
        self.status: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.rest = b''

    def receive_head(self, line: str) -> None:
        """Take a line of the head of the answer.

        :param line: the line.
        """
        if self.status.done() or not line.startswith('HTTP/'):
            return
        try:
            self.status.set_result(parse_response_start_line(line.strip()).code)
        except HTTPInputError:
            self.status.set_result(NO_RESPONSE_STATUS)

    def receive(self, part: bytes) -> None:
        """Take a part of the body.

        :param part: bytes.
        """
        lines = (self.rest + part).split(b'\n')
        self.rest = lines.pop()
        if len(self.rest) > MAX_LINE_BYTES:
            lines.append(self.rest)
            self.rest = b''
        for line in filter(bytes.strip, lines):
            self.queue.put_nowait(line)

    def finish(self, answer: asyncio.Future[HTTPResponse]) -> None:
        """Take the end of the answer.

        :param answer: the call, which is done.
        """
        failed = answer.cancelled() or answer.exception() is not None
        if not self.status.done():
            self.status.set_result(NO_RESPONSE_STATUS if failed else answer.result().code)
        if self.rest.strip():
            self.queue.put_nowait(self.rest)
        self.queue.put_nowait(None)

    async def lines(self) -> AsyncGenerator[bytes, None]:
        """Yield the lines that are not empty until the answer ends.

        :yield: each line.
        """
        line = await self.queue.get()
        while line is not None:
            yield line
            line = await self.queue.get()


__all__ = (
    'NO_RESPONSE_STATUS',
    'LineStream',
)
