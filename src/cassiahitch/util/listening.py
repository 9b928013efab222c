"""Sockets that listen."""

from __future__ import annotations

import socket

#: Connections that wait to be accepted.
BACKLOG = 1024


def listen(address: str, port: int) -> socket.socket:
    """Return a listening socket that does not block.

    What its connections are given leaves at once: a small message would wait otherwise until the
    one before it is acknowledged.

    :param address: IP address.
    :param port: TCP port, 0 for any free one.
    :return: the socket.
    :raises OSError: if the address is in use.
    """
    own = socket.create_server((address, port), backlog=BACKLOG)
    own.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    own.setblocking(False)  # noqa: WPS425 (the only argument of the call)
    return own


def bound_port(own: socket.socket) -> int:
    """Return the port of a listening socket.

    :param own: the socket.
    :return: the port.
    """
    return int(own.getsockname()[1])


__all__ = (
    'listen',
    'bound_port',
)
