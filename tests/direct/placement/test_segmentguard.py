"""Tests of the refusal of requests by their segments, and of the records that entries exchange."""

from __future__ import annotations

import pytest
from judged_calls import SERVICE, make_call, make_engine

from cassiahitch.direct.placement.isolation import isolate
from cassiahitch.direct.placement.segmentevidence import MAX_CRASH_SEGMENTS, Segment
from cassiahitch.direct.placement.segmentguard import (
    FIRST_TRIAL_S,
    MAX_REPORTED_SEGMENTS,
    MAX_TRIAL_DELAY_S,
    TRIAL_INTERVAL_S,
    Refused,
    SegmentGuard,
    Sound,
    Suspected,
)
from cassiahitch.direct.placement.segmentsharing import RECENT_CHANGE_S, SegmentSharing
from cassiahitch.wire.datagrammessages import MemberNews, SegmentCrashRecord, SegmentRecord
from cassiahitch.wire.datagrams import decode_datagram, encode_datagram

#: Largest payload in bytes of a datagram that networks carry in one piece.
MAX_DATAGRAM_BYTES = 1_472


def guard_after(*crashes: tuple[str, ...]) -> SegmentGuard:
    guard = SegmentGuard()
    for number, segments in enumerate(crashes):
        guard.record_crash(make_engine(f'r{number}'), [make_call(*segments)], 100)
    return guard


def exchange(sender: SegmentSharing, receiver: SegmentSharing, now: float) -> None:
    receiver.merge(sender.crash_records(now), sender.sound_records(now), now)


def test_request_with_the_common_segment_is_refused_whatever_else_it_has() -> None:
    guard = guard_after(('a', 'x'), ('b', 'x'))
    assert isinstance(guard.verdict(make_call('new', 'x')), Refused)
    assert isinstance(guard.verdict(make_call('a')), Suspected)
    assert isinstance(guard.verdict(make_call('c')), Sound)


def test_request_with_one_of_two_segments_that_crashes_do_not_tell_apart_is_an_experiment() -> None:
    guard = guard_after(('a', 'x'), ('a', 'x'))
    assert isinstance(guard.verdict(make_call('a', 'x')), Refused)
    assert isinstance(guard.verdict(make_call('a')), Suspected)


def test_request_that_had_begun_at_a_crash_is_no_evidence() -> None:
    guard = SegmentGuard()
    begun = make_call('a')
    begun.has_begun = True
    guard.record_crash(make_engine('r1'), [begun], 100)
    assert not guard.evidence.crashes


def test_first_event_ends_a_refusal() -> None:
    guard = guard_after(('x',), ('x',))
    guard.record_begin(make_call('x'), 101)
    assert isinstance(guard.verdict(make_call('x')), Sound)


def test_request_that_has_not_begun_is_withdrawn_once_its_segment_is_refused() -> None:
    guard = guard_after(('a', 'x'))
    withdrawn: list[str] = []
    waiting, begun, other = make_call('x'), make_call('x'), make_call('a')
    begun.has_begun = True
    with (
        guard.watch(waiting, lambda: withdrawn.append('waiting')),
        guard.watch(begun, lambda: withdrawn.append('begun')),
        guard.watch(other, lambda: withdrawn.append('other')),
    ):
        guard.record_crash(make_engine('r9'), [make_call('b', 'x')], 100)
    assert withdrawn == ['waiting']
    assert not guard.watches


def test_refused_segment_is_tried_after_times_that_grow_with_the_crashes() -> None:
    guard = guard_after(('x',), ('x',))
    verdict = guard.verdict(make_call('x'))
    assert isinstance(verdict, Refused)
    assert not guard.start_trial(verdict, 100 + FIRST_TRIAL_S - 1)
    assert guard.start_trial(verdict, 100 + FIRST_TRIAL_S)
    assert not guard.start_trial(verdict, 100 + FIRST_TRIAL_S + TRIAL_INTERVAL_S - 1)
    assert guard.start_trial(verdict, 100 + FIRST_TRIAL_S + TRIAL_INTERVAL_S)
    guard.record_crash(make_engine('r3'), [make_call('x')], 200)
    again = guard.verdict(make_call('x'))
    assert isinstance(again, Refused)
    assert again.trial_at - 200 > FIRST_TRIAL_S
    guard.record_crash(make_engine('r4'), [make_call('x')], 300)
    third = guard.verdict(make_call('x'))
    assert isinstance(third, Refused)
    assert third.trial_at - 300 > again.trial_at - 200


def test_engines_that_end_together_do_not_delay_the_trial_of_a_sound_segment() -> None:
    guard = guard_after(*(('x',) for _ in range(6)))
    verdict = guard.verdict(make_call('x'))
    assert isinstance(verdict, Refused)
    assert verdict.trial_at == 100 + FIRST_TRIAL_S
    guard.record_begin(make_call('x'), verdict.trial_at)
    assert isinstance(guard.verdict(make_call('x')), Sound)


def test_refused_segment_is_tried_again_within_a_bounded_time_after_any_number_of_crashes() -> None:
    guard = SegmentGuard()
    for number in range(40):
        engine = make_engine(f'r{number}')
        guard.record_crash(engine, [make_call('x')], 100 + number)
    verdict = guard.verdict(make_call('x'))
    assert isinstance(verdict, Refused)
    assert verdict.trial_at == 139 + MAX_TRIAL_DELAY_S


def test_flood_of_segments_of_one_organisation_does_not_displace_those_of_others() -> None:
    guard = SegmentGuard()
    flood = [
        make_call(*(f'{number:x}-{part:x}' for part in range(40)), organisation='flood')
        for number in range(40)
    ]
    calls = [*flood, make_call('x', organisation='caterers')]
    guard.record_crash(make_engine('r1'), calls, 100)
    crash = next(iter(guard.evidence.crashes.values()))
    assert 'x' in crash.segments
    assert len(crash.segments) == MAX_CRASH_SEGMENTS


@pytest.mark.parametrize('before', [15, 16, 40, 70, 1000])
def test_segment_behind_any_number_of_sound_ones_is_refused(before: int) -> None:
    guard = SegmentGuard()
    sound = tuple(f'{number:x}' for number in range(before))
    guard.record_begin(make_call(*sound), 99)
    guard.record_crash(make_engine('r1'), [make_call(*sound, 'x')], 100)
    guard.record_crash(make_engine('r2'), [make_call(*sound, 'x')], 102)
    assert isinstance(guard.verdict(make_call(*sound, 'x')), Refused)
    assert isinstance(guard.verdict(make_call(*sound)), Sound)


def test_segment_behind_many_that_no_other_request_has_is_refused_at_all_entries() -> None:
    first, second = SegmentSharing(SegmentGuard()), SegmentSharing(SegmentGuard())
    for number, sharing in enumerate((first, second)):
        own = tuple(f'{number:x}{part:03x}' for part in range(60))
        sharing.guard.record_crash(make_engine(f'r{number}'), [make_call(*own, 'x')], 100)
    for _ in range(20):
        exchange(first, second, 100.1)
        exchange(second, first, 100.1)
    for sharing in (first, second):
        assert isinstance(sharing.guard.verdict(make_call('x')), Refused)


def test_segment_that_was_suspect_before_is_not_displaced_by_new_ones() -> None:
    guard = guard_after(('x',))
    flood = [make_call(*(f'{number:x}-{part:x}' for part in range(90))) for number in range(9)]
    guard.record_crash(make_engine('r9'), [*flood, make_call('y', 'x')], 100)
    assert isinstance(guard.verdict(make_call('x')), Refused)


def test_segment_that_is_named_only_to_have_it_refused_is_cleared_by_ordinary_requests() -> None:
    guard = guard_after(('shared', 'x'), ('shared', 'x'), ('shared', 'x'))
    guard.record_begin(make_call('shared'), 101)
    assert isinstance(guard.verdict(make_call('shared')), Sound)
    assert isinstance(guard.verdict(make_call('other', 'x')), Refused)


def test_all_entries_send_suspect_requests_to_one_engine_that_has_not_crashed() -> None:
    engines = tuple(make_engine(f'r{number}') for number in range(6))
    guard = guard_after(('x',))
    verdict = guard.verdict(make_call('x'))
    chosen = isolate(guard, verdict, engines, lambda _: True)
    assert len(chosen) == 1
    assert isolate(guard, verdict, tuple(reversed(engines)), lambda _: True) == chosen
    assert chosen[0].id != 'r0'
    others = isolate(guard, verdict, engines, lambda engine: engine not in chosen)
    assert len(others) == 1
    assert others != chosen
    assert isolate(guard, Sound(), engines, lambda _: True) == engines


def test_crashes_that_two_entries_saw_refuse_the_segment_at_both() -> None:
    first, second = SegmentSharing(guard_after(('a', 'x'))), SegmentSharing(SegmentGuard())
    second.guard.record_crash(make_engine('r9'), [make_call('b', 'x')], 100)
    exchange(first, second, 100.1)
    exchange(second, first, 100.2)
    for sharing in (first, second):
        assert isinstance(sharing.guard.verdict(make_call('x')), Refused)


def test_entry_that_saw_a_begin_contradicts_the_suspicion_of_another() -> None:
    first, second = SegmentSharing(guard_after(('a', 'x'))), SegmentSharing(SegmentGuard())
    second.guard.record_begin(make_call('a'), 99)
    exchange(first, second, 100.1)
    exchange(second, first, 100.2)
    assert isinstance(first.guard.verdict(make_call('a')), Sound)
    assert isinstance(first.guard.verdict(make_call('x')), Suspected)
    assert isinstance(second.guard.verdict(make_call('a')), Sound)


@pytest.mark.parametrize('crashes', [5, 40])
def test_entry_that_starts_late_has_all_evidence_after_one_message_for_each_crash(
    crashes: int,
) -> None:
    informed = SegmentSharing(guard_after(*((f'{number:x}', 'x') for number in range(crashes))))
    late = SegmentSharing(SegmentGuard())
    now = 101 + RECENT_CHANGE_S
    for _ in range(crashes):
        exchange(informed, late, now)
    assert late.guard.evidence.crashes.keys() == informed.guard.evidence.crashes.keys()


def test_records_of_a_message_fit_into_a_datagram_under_a_flood_of_segments() -> None:
    calls = [f'{number:012x}' for number in range(MAX_REPORTED_SEGMENTS)]
    sharing = SegmentSharing(guard_after(*(tuple(calls) for _ in range(40))))
    for segment in calls:
        sharing.guard.evidence.sound_at[Segment('other', segment)] = 100
        sharing.guard.sound_to_send[Segment('other', segment)] = 100
    message = MemberNews(
        segment_crashes=sharing.crash_records(100), sound_segments=sharing.sound_records(100)
    )
    content = encode_datagram(message)
    assert decode_datagram(content) == message
    assert len(content) <= MAX_DATAGRAM_BYTES


@pytest.mark.parametrize(
    'record',
    [
        SegmentCrashRecord('r1', 1, SERVICE, -5, ('f' * 1000,)),
        SegmentCrashRecord('r1', 1, SERVICE, 2**62, ()),
        SegmentCrashRecord('r1', -1, SERVICE, 0, tuple(map(str, range(10_000)))),
    ],
)
def test_odd_records_are_cut_to_the_bounds(record: SegmentCrashRecord) -> None:
    sharing = SegmentSharing(SegmentGuard())
    sharing.merge((record,), (SegmentRecord(SERVICE, 'f' * 1000, -1),), 100)
    assert not sharing.guard.evidence.sound_at
    for crash in sharing.guard.evidence.crashes.values():
        assert len(crash.segments) <= MAX_REPORTED_SEGMENTS


def test_message_without_evidence_has_no_field_that_an_older_entry_does_not_know() -> None:
    assert encode_datagram(MemberNews(number=1)) == encode_datagram(
        MemberNews(number=1, segment_crashes=(), sound_segments=())
    )
