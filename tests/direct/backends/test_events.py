"""Tests of splitting a stream into events, however its bytes arrive.

They guard against an event that counts as complete before its last byte, whose stream would end as
complete when its backend server breaks off there.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.direct.backends.events import EventSplitter

LINE_ENDS = (b'\n', b'\r\n', b'\r')
EVENTS = 3


def stream(line_end: bytes) -> bytes:
    return b''.join(
        b'id: %d\ndata: event %d\n\n' % (number, number) for number in range(1, EVENTS + 1)
    ).replace(b'\n', line_end)


@pytest.mark.parametrize('line_end', LINE_ENDS)
def test_stream_is_inside_an_event_until_its_last_byte(line_end: bytes) -> None:
    content = stream(line_end)
    for cut in range(1, len(content) // EVENTS):
        splitter = EventSplitter()
        splitter.feed(content[:-cut])
        assert splitter.is_inside_event
        assert splitter.event_count == EVENTS - 1
        assert splitter.last_event_id == str(EVENTS - 1)


@given(st.sampled_from(LINE_ENDS), st.lists(st.integers(1, 60), max_size=8))
def test_events_do_not_depend_on_how_their_bytes_arrive(line_end: bytes, sizes: list[int]) -> None:
    content = stream(line_end)
    splitter = EventSplitter()
    received = b''
    rest = content
    for size in (*sizes, len(content)):
        received += splitter.feed(rest[:size])
        rest = rest[size:]
    assert received + splitter.partial_event == content
    assert not splitter.is_inside_event
    assert splitter.event_count == EVENTS


def test_blank_line_of_another_kind_ends_an_event_with_the_next_byte() -> None:
    splitter = EventSplitter()
    assert not splitter.feed(b'id: 1\r\ndata: x\r\n\r')
    assert splitter.feed(b'id: 2') == b'id: 1\r\ndata: x\r\n\r'
    assert splitter.event_count == 1
