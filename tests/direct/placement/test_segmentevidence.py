"""Tests of the evidence on segments that crash engines."""

from __future__ import annotations

from itertools import permutations

from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.direct.placement.segmentevidence import (
    MAX_CRASH_SEGMENTS,
    MAX_CRASHES,
    MAX_SOUND_SEGMENTS,
    SOUND_BEFORE_S,
    SUSPICION_S,
    Segment,
    SegmentCrash,
    SegmentEvidence,
)

SERVICE = 'drafts'
IDS = st.sampled_from(['a', 'b', 'c', 'd'])
TIMES = st.integers(0, 40)
CRASHES = st.builds(
    SegmentCrash,
    replica=st.sampled_from(['r1', 'r2', 'r3']),
    born_ms=st.just(1),
    service=st.just(SERVICE),
    at=TIMES,
    segments=st.frozensets(IDS, min_size=1),
)
BEGINS = st.tuples(IDS, TIMES)
Event = SegmentCrash | tuple[str, int]
EVENTS = st.lists(st.one_of(CRASHES, BEGINS), max_size=6)


def crash(replica: str, *segments: str, at: float = 100) -> SegmentCrash:
    return SegmentCrash(replica, 1, SERVICE, at, frozenset(segments))


def evidence_of(*events: Event) -> SegmentEvidence:
    evidence = SegmentEvidence()
    for event in events:
        if isinstance(event, SegmentCrash):
            evidence.record_crash(event)
        else:
            evidence.record_sound(Segment(SERVICE, event[0]), event[1])
    return evidence


def refused(evidence: SegmentEvidence) -> list[set[str]]:
    return [set(group.segments) for group in evidence.conclude(SERVICE).groups]


@given(EVENTS)
def test_segment_of_a_request_that_began_later_than_a_crash_is_never_suspect(
    events: list[Event],
) -> None:
    evidence = evidence_of(*events)
    began: dict[str, int] = {}
    for event in events:
        if not isinstance(event, SegmentCrash):
            began[event[0]] = max(event[1], began.get(event[0], 0))
    for recorded in evidence.crashes.values():
        for segment in recorded.segments & began.keys():
            assert began[segment] <= recorded.at - SOUND_BEFORE_S


@given(st.lists(st.one_of(CRASHES, BEGINS), max_size=4))
def test_evidence_of_entries_is_the_same_in_any_order(events: list[Event]) -> None:
    # The time of a crash is the same at all entries but for the time of a message.
    at_by_replica = {'r1': 10, 'r2': 20, 'r3': 30}
    aligned = [
        crash(event.replica, *event.segments, at=at_by_replica[event.replica])
        if isinstance(event, SegmentCrash)
        else event
        for event in events
    ]
    results = {
        frozenset(evidence_of(*order, *order).crashes.values()) for order in permutations(aligned)
    }
    assert len(results) == 1
    assert results == {frozenset(evidence_of(*aligned).crashes.values())}


def test_one_crash_refuses_nothing() -> None:
    assert refused(evidence_of(crash('r1', 'a', 'b'))) == []


def test_segment_that_several_crashes_have_in_common_is_refused() -> None:
    evidence = evidence_of(crash('r1', 'a', 'b'), crash('r2', 'a', 'c'))
    assert refused(evidence) == [{'a'}]


def test_segment_beside_the_one_that_explains_the_crashes_is_not_refused() -> None:
    crashes = (crash('r1', 'a', 'b'), crash('r2', 'a', 'b'), crash('r3', 'a'))
    assert refused(evidence_of(*crashes)) == [{'a'}]


def test_crash_for_another_reason_refuses_nothing_else() -> None:
    crashes = (crash('r1', 'a'), crash('r2', 'a', 'b'), crash('r3', 'b'))
    assert refused(evidence_of(*crashes)) == [{'a'}]


def test_two_segments_that_crash_engines_are_both_refused() -> None:
    crashes = [crash(f'r{number}', 'a' if number % 2 else 'b') for number in range(4)]
    assert refused(evidence_of(*crashes)) == [{'a'}, {'b'}]


def test_segments_that_crashes_cannot_tell_apart_are_one_group_until_one_of_them_begins() -> None:
    evidence = evidence_of(crash('r1', 'a', 'b'), crash('r2', 'a', 'b'))
    assert refused(evidence) == [{'a', 'b'}]
    assert evidence.record_sound(Segment(SERVICE, 'a'), 101)
    assert refused(evidence) == [{'b'}]


def test_segment_of_another_service_is_judged_on_its_own() -> None:
    evidence = evidence_of(crash('r1', 'a'), crash('r2', 'a'))
    evidence.record_sound(Segment('other', 'a'), 101)
    assert refused(evidence) == [{'a'}]


def test_begin_long_before_a_crash_does_not_clear_a_segment() -> None:
    crashes = (crash('r1', 'a'), crash('r2', 'a'))
    assert refused(evidence_of(('a', 100 - int(SOUND_BEFORE_S)), *crashes)) == [{'a'}]
    assert refused(evidence_of(('a', 101 - int(SOUND_BEFORE_S)), *crashes)) == []


def test_flood_of_segments_does_not_grow_the_memory() -> None:
    evidence = SegmentEvidence()
    for number in range(2 * MAX_CRASHES):
        segments = [f'{number:x}-{segment:x}' for segment in range(2 * MAX_CRASH_SEGMENTS)]
        evidence.record_crash(crash(f'r{number}', *segments, at=100 + number))
    assert len(evidence.crashes) == MAX_CRASHES
    assert min(recorded.at for recorded in evidence.crashes.values()) == 100 + MAX_CRASHES
    most = max(len(recorded.segments) for recorded in evidence.crashes.values())
    assert most == MAX_CRASH_SEGMENTS
    for number in range(MAX_SOUND_SEGMENTS + 9):
        evidence.record_sound(Segment(SERVICE, f'{number:x}'), number)
    assert len(evidence.sound_at) == MAX_SOUND_SEGMENTS


def test_crash_that_nothing_explains_is_forgotten_before_those_of_a_refused_segment() -> None:
    crashes = (crash('r1', 'a'), crash('r2', 'a'), crash('r3', 'b'))
    evidence = evidence_of(*crashes)
    evidence.expire(100 + SUSPICION_S)
    assert refused(evidence) == [{'a'}]
    assert 'b' not in evidence.conclude(SERVICE).suspects
