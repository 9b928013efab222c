"""Detects callers that close their connection.

The HTTP server stops reading a connection once it has received bytes after the request, and reads
sockets only between two iterations of the event loop. The kernel reports the end of a connection in
both cases, even behind unread bytes.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Iterable
from typing import Protocol

from tornado.iostream import IOStream

#: Time between two checks of the connections of running requests, in seconds.
CHECK_INTERVAL_S = 0.1
#: Poll events of a connection that its peer has closed or reset.
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class HasStream(Protocol):
    """A request with the connection of its caller."""

    @property
    def stream(self) -> IOStream:
        """The connection of the caller."""


def find_disconnected(streams: Iterable[IOStream]) -> set[IOStream]:
    """Find connections that their peers have closed, with a single system call.

    :param streams: connections; those closed on this side already are included in the result.
    :return: the closed connections.
    """
    poll = select.poll()
    by_fd: dict[int, IOStream] = {}
    closed: set[IOStream] = set()
    for stream in streams:
        if stream.closed():
            closed.add(stream)
            continue
        by_fd[stream.socket.fileno()] = stream
        poll.register(stream.socket, HANGUP_EVENTS)
    return closed | {by_fd[fd] for fd, _ in poll.poll(0)}


async def close_disconnected(running: Iterable[HasStream]) -> None:
    """Close connections whose callers have disconnected, until cancelled.

    :param running: the running requests; it is read anew for each check.
    """
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        for stream in find_disconnected({request.stream for request in running}):
            stream.close()


__all__ = (
    'close_disconnected',
    'find_disconnected',
)
