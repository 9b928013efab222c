"""Socket options."""

from __future__ import annotations

import socket
import struct

#: Value of ``SO_LINGER``: enabled with a timeout of 0 s, so that closing sends a reset.
ZERO_LINGER = struct.pack('ii', 1, 0)
#: Value of ``SO_LINGER``: disabled, so that closing sends what is left and then an end.
NO_LINGER = struct.pack('ii', 0, 0)


def reset_on_close(connected_socket: socket.socket) -> None:
    """Reset a connection when it is closed; data that its peer has not received is dropped.

    :param connected_socket: open socket of the connection.
    """
    connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)


def finish_on_close(connected_socket: socket.socket) -> None:
    """Let the peer receive all data and then the end of the connection when it is closed.

    :param connected_socket: open socket of a connection that was to be reset.
    """
    connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


__all__ = (
    'finish_on_close',
    'reset_on_close',
)
