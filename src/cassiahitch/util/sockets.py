"""Options of sockets."""

from __future__ import annotations

import socket
import struct

#: Option of a socket that resets the connection when it is closed: switched on, for 0 seconds.
NO_LINGER = struct.pack('ii', 1, 0)


def reset_on_close(own: socket.socket) -> None:
    """Let the close of a connection reset it; what its peer has not got yet is dropped.

    :param own: its socket, open.
    """
    own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


__all__ = ('reset_on_close',)
