"""Tests of the decoder of chunked bodies.

They guard against bodies that differ from what was sent, against framing that other HTTP servers
read otherwise, and against steps whose work is not bounded.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.direct.connections.chunks import ChunkDecoder, InvalidChunkError

END = b'0\r\n\r\n'


def encode(parts: list[bytes]) -> bytes:
    return b''.join(b'%x\r\n%b\r\n' % (len(part), part) for part in parts) + END


def decode(decoder: ChunkDecoder, pieces: list[bytes]) -> bytes:
    body = b''
    for piece in pieces:
        decoder.feed(piece)
        while not (decoder.needs_more or decoder.done):
            body += decoder.step()
    return body


@given(
    st.lists(st.binary(min_size=1, max_size=80) | st.sampled_from([b'a', b'\r', b'\n'])),
    st.integers(1, 50),
    st.binary(max_size=8),
)
def test_bodies_are_decoded_however_they_are_cut(
    parts: list[bytes], piece_bytes: int, following: bytes
) -> None:
    data = encode(parts) + following
    pieces = [data[start : start + piece_bytes] for start in range(0, len(data), piece_bytes)]
    decoder = ChunkDecoder()
    assert decode(decoder, pieces) == b''.join(parts)
    assert decoder.done
    assert bytes(decoder.received) == following


def test_runs_of_equal_chunks_are_decoded_together() -> None:
    decoder = ChunkDecoder()
    body = bytes(range(256)) * 40
    assert decode(decoder, [encode([body[at : at + 1] for at in range(len(body))])]) == body
    assert decoder.chunks == 2


def test_a_step_decodes_a_bounded_number_of_chunks() -> None:
    parts = [b'x' * (1 + number % 2) for number in range(10_000)]
    decoder = ChunkDecoder()
    decoder.feed(encode(parts))
    assert 0 < len(decoder.step()) < 5000
    assert not decoder.needs_more
    assert not decoder.done


@pytest.mark.parametrize(
    'data',
    [b'x\r\n', b'-1\r\n', b'+1\r\na\r\n', b'1;a=b\r\n', b' 1\r\n', b'\r\n', b'1' * 80, b'1\r\nab']
    + [b'0\r\nTrailer: 1\r\n\r\n', b'1\r\na\n\r', b'1\na\n'.ljust(80, b'1')],
)
def test_invalid_framing_is_refused(data: bytes) -> None:
    with pytest.raises(InvalidChunkError):
        decode(ChunkDecoder(), [data])
