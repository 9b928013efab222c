"""Frames on a byte stream: length of the body, CRC-32 of the body, body."""

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
    """Return a frame with its header.

    :param body: body of the frame.
    :return: the frame.
    """
    return _HEADER.pack(len(body), zlib.crc32(body)) + body


async def read_frame(stream: IOStream, max_bytes: int) -> bytes:
    """Read the next frame.

    :param stream: stream of frames.
    :param max_bytes: largest accepted length of the body.
    :return: the body of the frame.
    :raises WireError: ``frame_too_large``, ``frame_corrupt`` or ``connection_closed``.
    """
    try:
        length, checksum = _HEADER.unpack(await stream.read_bytes(_HEADER.size))
        if length > max_bytes:
            raise WireError(
                Code.frame_too_large,
                f'{length} bytes in the body of a frame, above the limit of {max_bytes}',
            )
        body = await stream.read_bytes(length) if length else b''
    except StreamClosedError as error:
        raise WireError(Code.connection_closed, 'the peer closed the connection') from error
    if zlib.crc32(body) != checksum:
        raise WireError(Code.frame_corrupt, 'the checksum of a frame does not match its body')
    return body


__all__ = (
    'pack',
    'read_frame',
)
