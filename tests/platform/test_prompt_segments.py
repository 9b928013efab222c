"""Tests of the header that lists the segments of a prompt."""

from __future__ import annotations

import pytest

from cassiahitch.platform.requests import MAX_SHARED_SEGMENTS, PlatformRequests

NAME = 'X-Cassiahitch-Prompt-Prefix'
LONG_ID = 'f' * 65
#: Longest head of a request that the configurations of the sites allow.
MAX_HEAD_BYTES = 16_384


@pytest.mark.parametrize(
    ('text', 'segments'),
    [
        ('', ()),
        ('5c1e07a2:800', ()),
        ('5c1e07a2:800,91BD3F06:410,e4402b7d:250', ('5c1e07a2', '91bd3f06')),
        ('a1:1, a1:1 ,b2:2,c3:3', ('a1', 'b2')),
        (f'a1:1,x,:3,b2:-1,{LONG_ID}:1,b3:4,c3:3', ('a1', 'b3')),
        ('a1:9999999999,b2:1,c3:1', ('b2',)),
    ],
)
def test_shared_segments_are_read_and_the_header_is_forwarded_unchanged(
    text: str, segments: tuple[str, ...]
) -> None:
    headers = (
        ('X-Cassiahitch-Attempt-Id', 'a1'),
        ('X-Cassiahitch-Model', 'm1'),
        (NAME, text),
        ('Connection', NAME),
    )
    request = PlatformRequests().read_request('POST', '/', headers, b'')
    assert request.generation is not None
    assert request.generation.shared_segments == segments
    assert (NAME, text) in request.headers


def test_all_segments_of_the_longest_head_are_kept() -> None:
    text = ','.join(f'{number:x}:1' for number in range(0x800))
    headers = (('X-Cassiahitch-Attempt-Id', 'a1'), ('X-Cassiahitch-Model', 'm1'), (NAME, text))
    assert len(text) < MAX_HEAD_BYTES
    request = PlatformRequests().read_request('POST', '/', headers, b'')
    assert request.generation is not None
    assert len(request.generation.shared_segments) == 0x800 - 1


def test_number_of_kept_segments_is_bounded() -> None:
    text = ','.join(f'{number:x}:1' for number in range(MAX_SHARED_SEGMENTS + 1000))
    headers = (('X-Cassiahitch-Attempt-Id', 'a1'), ('X-Cassiahitch-Model', 'm1'), (NAME, text))
    request = PlatformRequests().read_request('POST', '/', headers, b'')
    assert request.generation is not None
    assert len(request.generation.shared_segments) == MAX_SHARED_SEGMENTS
