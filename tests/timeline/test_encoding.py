"""Tests of merging events and of their JSON encoding."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.timeline.clock import Timestamp
from cassiahitch.timeline.encoding import decode_events, encode_events
from cassiahitch.timeline.events import Event, EventKind
from cassiahitch.timeline.merging import merge

TEXT = st.text(max_size=20)
EVENTS = st.builds(
    Event,
    clock=st.builds(Timestamp, st.integers(0, 20), st.integers(0, 3)),
    process=st.sampled_from(['entry-1', 'entry-2', 'agent-1']),
    kind=st.sampled_from(EventKind),
    request_id=TEXT,
    rollout_id=TEXT,
    code=st.sampled_from(Code),
    detail=TEXT,
)
SOURCES = st.lists(st.lists(EVENTS, max_size=8), max_size=4)


@given(SOURCES, st.integers())
def test_merged_order_does_not_depend_on_sources(sources: list[list[Event]], seed: int) -> None:
    merged = merge(sources)
    shuffled = [*sources, *sources]
    random.Random(seed).shuffle(shuffled)
    assert merge(shuffled) == merged
    assert set(merged) == {event for source in sources for event in source}
    assert list(merged) == sorted(merged, key=lambda event: event.clock)


@given(st.lists(EVENTS, max_size=5))
def test_events_read_back_from_json(events: list[Event]) -> None:
    assert decode_events(encode_events(events)) == tuple(events)


@pytest.mark.parametrize(
    ('document', 'path'),
    [
        pytest.param(b'{', '(top)', id='cut'),
        pytest.param(b'{}', '(top)', id='object'),
        pytest.param(b'[{"clock":{"physical_ms":-1},"process":"a"}]', '0.clock', id='negative'),
        pytest.param(
            b'[{"clock":{"physical_ms":1},"process":"a","kind":"x"}]',
            '0.kind',
            id='unknown-kind',
        ),
    ],
)
def test_other_json_gives_numbered_error(document: bytes, path: str) -> None:
    with pytest.raises(CassiahitchError) as raised:
        decode_events(document)
    assert raised.value.code is Code.answer_corrupt
    assert raised.value.detail.startswith(f'events: {path}')


@given(st.binary(max_size=60))
def test_any_bytes_give_numbered_error(document: bytes) -> None:
    try:
        decode_events(document)
    except CassiahitchError as error:
        assert error.code is Code.answer_corrupt
