"""Frames on a byte stream: length, CRC-32 of the body, body."""

from __future__ import annotations

import struct
import zlib
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from cassiahitch.codes import Code
from cassiahitch.errors import WireError

if TYPE_CHECKING:
    from tornado.iostream import IOStream

_HEADER = struct.Struct('>II')


def pack(body: bytes) -> bytes:
    """Put the header before the body of a frame.

    :param body: the body.
    :return: the frame.
    """
    return _HEADER.pack(len(body), zlib.crc32(body)) + body


async def read_frame(stream: IOStream, max_bytes: int) -> bytes:
    """Read the body of the next frame.

    :param stream: where the frames arrive.
    :param max_bytes: the largest body that is accepted.
    :return: the body.
    :raises WireError: ``frame_too_large``, ``frame_corrupt`` or ``connection_closed``.
    """
    try:
        length, checksum = _HEADER.unpack(await stream.read_bytes(_HEADER.size))
        if length > max_bytes:
            raise WireError(Code.frame_too_large, f'{length} bytes, at most {max_bytes}')
        body = await stream.read_bytes(length) if length else b''
    except StreamClosedError as error:
        raise WireError(Code.connection_closed, 'the peer closed the connection') from error
    if zlib.crc32(body) != checksum:
        raise WireError(Code.frame_corrupt, 'the checksum of a frame is wrong')
    return body


__all__ = (
    'pack',
    'read_frame',
)
