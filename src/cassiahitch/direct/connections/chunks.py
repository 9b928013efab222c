"""Decodes chunked bodies in bounded steps.

Load pattern: bodies in chunks of one byte, whose framing costs far more work than their bytes. One
step decodes a bounded number of chunks, and runs of equal chunks are decoded together.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from functools import lru_cache

#: Longest line with the size of a chunk, in bytes.
MAX_SIZE_LINE_BYTES = 64
#: Largest chunk of which runs are decoded together, in bytes.
MAX_RUN_CHUNK_BYTES = 64
#: Chunks, or runs of them, that one step decodes.
STEP_CHUNKS = 2048
LINE_END = b'\r\n'
HEX_DIGITS = re.compile(b'[0-9a-fA-F]+')


class InvalidChunkError(ValueError):
    """A chunked body has an invalid chunk."""


@dataclass(slots=True)
class ChunkDecoder:
    """Decodes one chunked body.

    ``received`` holds the bytes that are not decoded yet, ``left`` the number of bytes that the
    current chunk still has, its line end included. ``chunks`` counts the decoded chunks and runs.
    ``done`` is set at the end of the body; what is received then belongs to the next request.
    """

    received: bytearray = field(default_factory=bytearray)
    left: int = 0
    chunks: int = 0
    done: bool = False
    needs_more: bool = True
    _ends: bool = False

    def feed(self, data: bytes) -> None:
        """Add received bytes.

        :param data: the bytes.
        """
        self.received += data
        self.needs_more = False

    def step(self) -> bytes:
        """Decode a bounded number of chunks.

        :return: bytes of the body.
        :raises InvalidChunkError: if a chunk is invalid.
        """
        body = bytearray()
        position = 0
        for _ in range(STEP_CHUNKS):
            following = self._decode(position, body)
            if following == position:
                self.needs_more = True
                break
            position = following
            if self.done:
                break
        del self.received[:position]
        return bytes(body)

    def _decode(self, position: int, body: bytearray) -> int:
        """Decode a part of a chunk, or its size; return the position after it."""
        if self.left > len(LINE_END):
            part = self.received[position : position + self.left - len(LINE_END)]
            body += part
            self.left -= len(part)
            return position + len(part)
        if self.left or self._ends:
            return self._decode_end(position)
        return self._decode_size(position, body)

    def _decode_end(self, position: int) -> int:
        end = position + len(LINE_END)
        line = self.received[position:end]
        if not LINE_END.startswith(line):
            raise InvalidChunkError('improperly terminated chunk')
        if len(line) < len(LINE_END):
            return position
        self.left = 0
        self.done = self._ends
        return end

    def _decode_size(self, position: int, body: bytearray) -> int:
        end = self.received.find(LINE_END, position, position + MAX_SIZE_LINE_BYTES)
        if end < 0:
            if len(self.received) - position >= MAX_SIZE_LINE_BYTES:
                raise InvalidChunkError('invalid chunk size')
            return position
        line = bytes(self.received[position:end])
        if HEX_DIGITS.fullmatch(line) is None:
            raise InvalidChunkError('invalid chunk size')
        self.chunks += 1
        size = int(line, 16)
        after = end + len(LINE_END)
        if not size:
            self._ends = True
            return after
        if size <= MAX_RUN_CHUNK_BYTES:
            run = _run_pattern(line, size).match(self.received, position)
            if run is not None:
                body += _run_bytes(run.group(), len(line) + len(LINE_END), size)
                return run.end()
        self.left = size + len(LINE_END)
        return after


@lru_cache(maxsize=256)
def _run_pattern(line: bytes, size: int) -> re.Pattern[bytes]:
    return re.compile(b'(?s:%b\r\n.{%d}\r\n)+' % (line, size))


def _run_bytes(run: bytes, start: int, size: int) -> bytes:
    """Return the bytes of the chunks of a run, which have the same size line."""
    period = start + size + len(LINE_END)
    body = bytearray(len(run) // period * size)
    for index in range(size):
        body[index::size] = run[start + index :: period]  # noqa: WPS362 (every size-th byte)
    return bytes(body)


__all__ = (
    'ChunkDecoder',
    'InvalidChunkError',
)
