"""Streams that the soak's engines break off: all ways of it come, and none is taken for whole."""

from __future__ import annotations

import pytest

from cassiahitch.soak.brokenstreams import (
    FIRST_ENDINGS,
    REST_ENDINGS,
    StreamEnding,
    choose_ending,
    kept_parts,
)

EVENTS = [b'id: 1\n\n', b'id: 2\n\n', b'id: 3\n\n', b'id: 4\n\n']
ATTEMPTS = [f's{number}' for number in range(200)]


def test_all_endings_are_drawn_for_first_and_for_second_sends() -> None:
    assert {choose_ending(attempt, 0) for attempt in ATTEMPTS} == set(FIRST_ENDINGS)
    assert {choose_ending(attempt, 2) for attempt in ATTEMPTS} == set(REST_ENDINGS)


def test_ending_of_an_attempt_is_always_the_same() -> None:
    assert choose_ending('s1', 2) is choose_ending('s1', 2)


@pytest.mark.parametrize(
    ('ending', 'parts'),
    [
        (StreamEnding.whole, EVENTS),
        (StreamEnding.after_event, EVENTS[:2]),
        (StreamEnding.inside_event, [*EVENTS[:2], EVENTS[2][:3]]),
        (StreamEnding.empty, []),
    ],
)
def test_response_has_the_parts_before_its_ending(ending: StreamEnding, parts: list[bytes]) -> None:
    assert kept_parts(EVENTS, ending) == parts


def test_response_without_events_has_none_to_break_off() -> None:
    assert kept_parts([], StreamEnding.inside_event) == []
