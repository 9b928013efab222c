"""Options of sockets."""

from __future__ import annotations

import struct

#: Option of a socket that resets the connection when it is closed: switched on, for 0 seconds.
NO_LINGER = struct.pack('ii', 1, 0)

__all__ = ('NO_LINGER',)
