"""Notices callers that close their connection.

The HTTP server stops to read a connection once bytes have come that follow the request, and looks
at sockets only between two turns of the loop. The kernel tells of the end of a connection in both
cases, also behind bytes that nobody has read.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Iterable
from typing import Protocol

from tornado.iostream import IOStream

#: Seconds between two looks at the callers of running requests.
POLL_INTERVAL_S = 0.1
#: What the kernel tells of a connection that its peer has closed or reset.
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class HasStream(Protocol):
    """A request whose caller may leave."""

    @property
    def stream(self) -> IOStream:
        """The connection of the caller."""


def find_disconnected(streams: Iterable[IOStream]) -> set[IOStream]:
    """Find the connections that their peers have closed, in one call of the kernel.

    :param streams: connections, some of which may be closed on this side already.
    :return: those that are at their end.
    """
    poll = select.poll()
    by_fd: dict[int, IOStream] = {}
    found: set[IOStream] = set()
    for stream in streams:
        if stream.closed():
            found.add(stream)
            continue
        by_fd[stream.socket.fileno()] = stream
        poll.register(stream.socket, HANGUP_EVENTS)
    return found | {by_fd[fd] for fd, _ in poll.poll(0)}


async def close_disconnected(running: Iterable[HasStream]) -> None:
    """Close the connections whose callers have left, for as long as the process runs.

    :param running: the requests that run, at any time.
    """
    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        for stream in find_disconnected({one.stream for one in running}):
            stream.close()


__all__ = (
    'close_disconnected',
    'find_disconnected',
)
