"""Tests of the ring buffer of events of a process."""

from __future__ import annotations

from cassiahitch.clock import ManualClock
from cassiahitch.timeline.events import MAX_DETAIL_LENGTH, EventFilter, EventKind
from cassiahitch.timeline.ring import Timeline


def test_oldest_events_are_dropped_and_counted() -> None:
    timeline = Timeline('entry-1', ManualClock(), capacity=3)
    for number in range(5):
        timeline.record(EventKind.request_received, request_id=str(number))
    assert [event.request_id for event in timeline.events()] == ['2', '3', '4']
    assert timeline.dropped == 2


def test_events_after_a_time_are_selected_by_identifier_and_kind() -> None:
    timeline = Timeline('entry-1', ManualClock(), capacity=9)
    first = timeline.record(EventKind.request_received, request_id='a')
    timeline.record(EventKind.request_received, request_id='b')
    last = timeline.record(EventKind.request_answered, request_id='a')
    assert timeline.events(matching=EventFilter(request_id='a')) == (first, last)
    assert timeline.events(first.clock, EventFilter(request_id='a')) == (last,)
    kinds = frozenset((EventKind.request_answered,))
    assert timeline.events(matching=EventFilter(kinds=kinds)) == (last,)


def test_long_detail_is_cut() -> None:
    timeline = Timeline('entry-1', ManualClock(), capacity=1)
    event = timeline.record(EventKind.request_failed, detail='x' * 2000)
    assert len(event.detail) == MAX_DETAIL_LENGTH
