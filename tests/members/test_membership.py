from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.members.backoff import Backoff, RateLimiter
from cassiahitch.members.hostlist import MAX_LAG_S
from cassiahitch.members.membership import (
    DEAD_TIMEOUT_S,
    SUSPECT_TIMEOUT_S,
    Health,
    HealthChanged,
    Heartbeat,
    MemberInfo,
    MemberJoined,
    MemberLeaving,
    Membership,
    Role,
)
from cassiahitch.stores.api import HostRecord

PLACE = MemberInfo(Role.agent, '127.0.0.1:9', 'west', 'w1')


def beat(
    incarnation: int = 1,
    sequence: int = 1,
    uptime_s: float = 500,
    leaving: bool = False,
) -> Heartbeat:
    return Heartbeat('h', incarnation, sequence, PLACE, uptime_s, leaving=leaving)


def listed(leaving: bool) -> tuple[HostRecord, ...]:
    return (HostRecord('h', '127.0.0.1', leaving),)


def test_silence_is_suspected_then_dead_without_the_list() -> None:
    members = Membership()
    assert members.receive_heartbeat(beat(), 0) == (MemberJoined('h', 1),)
    members.apply_host_list(listed(leaving=False), 0)
    assert members.check_timeouts(SUSPECT_TIMEOUT_S) == (HealthChanged('h', 1, Health.suspect),)
    assert not members.usable('h', 1)
    assert members.check_timeouts(DEAD_TIMEOUT_S) == (HealthChanged('h', 1, Health.dead),)
    assert not members.check_timeouts(DEAD_TIMEOUT_S + 1)


def test_returning_member_is_alive_in_the_same_incarnation() -> None:
    members = Membership()
    members.receive_heartbeat(beat(), 0)
    members.check_timeouts(3600)
    assert members.receive_heartbeat(beat(sequence=9), 3601) == (
        HealthChanged('h', 1, Health.alive),
    )
    assert members.usable('h', 1)


def test_own_heartbeat_overrides_a_list_without_the_host() -> None:
    members = Membership()
    members.receive_heartbeat(beat(), 0)
    assert not members.apply_host_list((), 1)
    assert members.usable('h', 1)


@pytest.mark.parametrize('by_list', [True, False], ids=['list', 'heartbeat'])
def test_leaving_is_for_good_in_an_incarnation(by_list: bool) -> None:
    members = Membership()
    members.receive_heartbeat(beat(), 0)
    if by_list:
        assert members.apply_host_list(listed(leaving=True), 1) == (MemberLeaving('h', 1),)
    else:
        assert members.receive_heartbeat(beat(sequence=2, leaving=True), 1) == (
            MemberLeaving('h', 1),
        )
    members.apply_host_list(listed(leaving=False), 2)
    members.receive_heartbeat(beat(sequence=3), 2)
    assert not members.usable('h', 1)
    members.receive_heartbeat(beat(incarnation=2, uptime_s=0), 3)
    assert members.usable('h', 2)


def test_record_of_the_incarnation_before_does_not_stop_the_next() -> None:
    members = Membership()
    members.receive_heartbeat(beat(), 0)
    members.apply_host_list(listed(leaving=True), 1)
    members.receive_heartbeat(beat(incarnation=2, uptime_s=1), 10)
    assert members.usable('h', 2)
    members.apply_host_list(listed(leaving=True), 20)
    assert members.usable('h', 2)
    assert members.apply_host_list(listed(leaving=True), 9 + MAX_LAG_S) == (MemberLeaving('h', 2),)


def test_unclear_record_holds_work_back_until_it_is_clear() -> None:
    members = Membership()
    members.receive_heartbeat(beat(incarnation=2, uptime_s=1), 10)
    members.apply_host_list(listed(leaving=True), 11)
    assert not members.usable('h', 2)
    members.apply_host_list(listed(leaving=False), 12)
    assert members.usable('h', 2)


def test_late_heartbeat_of_an_earlier_incarnation_is_dropped() -> None:
    members = Membership()
    members.receive_heartbeat(beat(incarnation=1, uptime_s=100), 0)
    members.receive_heartbeat(beat(incarnation=2, uptime_s=1), 10)
    assert not members.receive_heartbeat(beat(incarnation=1, sequence=99, uptime_s=109), 11)
    assert members.usable('h', 2)
    assert not members.receive_heartbeat(beat(incarnation=2, sequence=1), 12)


def test_stopped_process_does_not_return() -> None:
    members = Membership()
    members.receive_heartbeat(beat(), 0)
    assert members.mark_stopped('h', 1, 1) == (HealthChanged('h', 1, Health.dead),)
    assert not members.receive_heartbeat(beat(sequence=2), 2)
    assert not members.members


@given(
    events=st.lists(
        st.tuples(
            st.sampled_from(['beat', 'leave', 'listed', 'unlisted', 'poll', 'restart']),
            st.floats(0.01, 20),
        ),
        max_size=40,
    ),
)
def test_usable_agrees_with_a_simple_oracle(events: list[tuple[str, float]]) -> None:
    members = Membership()
    incarnation, began, heard, said = 1, float(0), float(-99), False
    now = began
    for sequence, (event, delay) in enumerate(events):
        now += delay
        if event == 'restart':
            incarnation, began, heard, said = incarnation + 1, now, -99, False
        if event in {'beat', 'leave'}:
            said = said or event == 'leave'
            heard = now
            members.receive_heartbeat(
                beat(incarnation, sequence, now - began, leaving=event == 'leave'), now
            )
        if event in {'listed', 'unlisted'}:
            members.apply_host_list(listed(leaving=event == 'listed'), now)
        members.check_timeouts(now)
        if members.usable('h', incarnation):
            assert not said
            assert now - heard < SUSPECT_TIMEOUT_S
        for former in range(1, incarnation):
            assert heard < 0 or not members.usable('h', former)


def test_backoff_is_jittered_and_capped() -> None:
    delays = Backoff(random.Random(1), base_s=1, cap_s=8)
    drawn = [delays.next_delay_s() for _ in range(200)]
    assert max(drawn) <= 8
    assert max(drawn) > 7
    assert len({round(delay, 6) for delay in drawn}) > 190
    delays.reset()
    assert delays.next_delay_s() <= 1


def test_pace_spaces_starts() -> None:
    rate_limiter = RateLimiter(rate_per_s=10, burst=3)
    starts = [rate_limiter.reserve(100) for _ in range(13)]
    assert starts[:3] == [100, 100, 100]
    assert starts[-1] == pytest.approx(101)
