"""Splits the body of an HTTP response into lines as it arrives."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tornado.httputil import HTTPInputError, parse_response_start_line

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from tornado.httpclient import HTTPResponse

MAX_LINE_BYTES = 1_048_576
#: Status that tornado's client reports for a call without a response.
NO_RESPONSE_STATUS = 599


class LineStream:
    """Splits a response of tornado's curl client into lines."""

    def __init__(self) -> None:
        """Create the stream within a running event loop."""
        self.status: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.partial_line = b''

    def receive_head(self, line: str) -> None:
        """Receive a line of the head of the response.

        :param line: the line.
        """
        if self.status.done() or not line.startswith('HTTP/'):
            return
        try:
            self.status.set_result(parse_response_start_line(line.strip()).code)
        except HTTPInputError:
            self.status.set_result(NO_RESPONSE_STATUS)

    def receive(self, part: bytes) -> None:
        """Receive a part of the body.

        :param part: the bytes.
        """
        lines = (self.partial_line + part).split(b'\n')
        self.partial_line = lines.pop()
        if len(self.partial_line) > MAX_LINE_BYTES:
            lines.append(self.partial_line)
            self.partial_line = b''
        for line in filter(bytes.strip, lines):
            self.queue.put_nowait(line)

    def finish(self, response: asyncio.Future[HTTPResponse]) -> None:
        """Record the end of the response.

        :param response: the finished call.
        """
        failed = response.cancelled() or response.exception() is not None
        if not self.status.done():
            self.status.set_result(NO_RESPONSE_STATUS if failed else response.result().code)
        if self.partial_line.strip():
            self.queue.put_nowait(self.partial_line)
        self.queue.put_nowait(None)

    async def lines(self) -> AsyncGenerator[bytes, None]:
        """Yield the lines that are not empty until the response ends.

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
