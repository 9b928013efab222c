"""Socket options."""

from __future__ import annotations

import socket
import struct

#: Value of ``SO_LINGER``: enabled with a timeout of 0 s, so that closing sends a reset.
ZERO_LINGER = struct.pack('ii', 1, 0)


def reset_on_close(connected_socket: socket.socket) -> None:
    """Reset a connection when it is closed; data that its peer has not received is dropped.

    :param connected_socket: open socket of the connection.
    """
    connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)


__all__ = ('reset_on_close',)
