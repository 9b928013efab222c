"""Listening TCP sockets."""

from __future__ import annotations

import socket

#: Largest number of connections that wait to be accepted.
BACKLOG = 1024


def listen(address: str, port: int) -> socket.socket:
    """Return a non-blocking listening socket.

    Its connections send data without delay (``TCP_NODELAY``); otherwise a small message would wait
    until the previous one is acknowledged.

    :param address: local IP address.
    :param port: TCP port, 0 for any free one.
    :return: the socket.
    :raises OSError: if the address is in use.
    """
    listener = socket.create_server((address, port), backlog=BACKLOG)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setblocking(False)  # noqa: WPS425 (the only argument of the call)
    return listener


def bound_port(listener: socket.socket) -> int:
    """Return the port that a listening socket is bound to.

    :param listener: the socket.
    :return: the port.
    """
    return int(listener.getsockname()[1])


__all__ = (
    'listen',
    'bound_port',
)
