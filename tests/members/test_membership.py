"""Tests of the membership, the host list, the backoff and the rate limiter."""

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

INFO = MemberInfo(Role.agent, '127.0.0.1:9', 'west', 'w1')


def heartbeat(
    incarnation: int = 1,
    sequence: int = 1,
    uptime_s: float = 500,
    leaving: bool = False,
) -> Heartbeat:
    return Heartbeat('h', incarnation, sequence, INFO, uptime_s, leaving=leaving)


def host_list(leaving: bool) -> tuple[HostRecord, ...]:
    return (HostRecord('h', '127.0.0.1', leaving),)


def test_member_without_heartbeats_is_suspect_then_dead_whatever_the_host_list() -> None:
    membership = Membership()
    assert membership.receive_heartbeat(heartbeat(), 0) == (MemberJoined('h', 1),)
    membership.apply_host_list(host_list(leaving=False), 0)
    assert membership.check_timeouts(SUSPECT_TIMEOUT_S) == (HealthChanged('h', 1, Health.suspect),)
    assert not membership.is_usable('h', 1)
    assert membership.check_timeouts(DEAD_TIMEOUT_S) == (HealthChanged('h', 1, Health.dead),)
    assert not membership.check_timeouts(DEAD_TIMEOUT_S + 1)


def test_returning_member_is_alive_in_the_same_incarnation() -> None:
    membership = Membership()
    membership.receive_heartbeat(heartbeat(), 0)
    membership.check_timeouts(3600)
    assert membership.receive_heartbeat(heartbeat(sequence=9), 3601) == (
        HealthChanged('h', 1, Health.alive),
    )
    assert membership.is_usable('h', 1)


def test_heartbeat_overrides_a_list_without_the_host() -> None:
    membership = Membership()
    membership.receive_heartbeat(heartbeat(), 0)
    assert not membership.apply_host_list((), 1)
    assert membership.is_usable('h', 1)


@pytest.mark.parametrize('by_list', [True, False], ids=['list', 'heartbeat'])
def test_leaving_is_permanent_in_an_incarnation(by_list: bool) -> None:
    membership = Membership()
    membership.receive_heartbeat(heartbeat(), 0)
    if by_list:
        assert membership.apply_host_list(host_list(leaving=True), 1) == (MemberLeaving('h', 1),)
    else:
        assert membership.receive_heartbeat(heartbeat(sequence=2, leaving=True), 1) == (
            MemberLeaving('h', 1),
        )
    membership.apply_host_list(host_list(leaving=False), 2)
    membership.receive_heartbeat(heartbeat(sequence=3), 2)
    assert not membership.is_usable('h', 1)
    membership.receive_heartbeat(heartbeat(incarnation=2, uptime_s=0), 3)
    assert membership.is_usable('h', 2)


def test_record_of_the_previous_incarnation_does_not_stop_the_next() -> None:
    membership = Membership()
    membership.receive_heartbeat(heartbeat(), 0)
    membership.apply_host_list(host_list(leaving=True), 1)
    membership.receive_heartbeat(heartbeat(incarnation=2, uptime_s=1), 10)
    assert membership.is_usable('h', 2)
    membership.apply_host_list(host_list(leaving=True), 20)
    assert membership.is_usable('h', 2)
    assert membership.apply_host_list(host_list(leaving=True), 9 + MAX_LAG_S) == (
        MemberLeaving('h', 2),
    )


def test_member_with_an_unclear_record_is_not_usable_until_it_is_clear() -> None:
    membership = Membership()
    membership.receive_heartbeat(heartbeat(incarnation=2, uptime_s=1), 10)
    membership.apply_host_list(host_list(leaving=True), 11)
    assert not membership.is_usable('h', 2)
    membership.apply_host_list(host_list(leaving=False), 12)
    assert membership.is_usable('h', 2)


def test_late_heartbeat_of_an_earlier_incarnation_is_dropped() -> None:
    membership = Membership()
    membership.receive_heartbeat(heartbeat(incarnation=1, uptime_s=100), 0)
    membership.receive_heartbeat(heartbeat(incarnation=2, uptime_s=1), 10)
    assert not membership.receive_heartbeat(heartbeat(incarnation=1, sequence=99, uptime_s=109), 11)
    assert membership.is_usable('h', 2)
    assert not membership.receive_heartbeat(heartbeat(incarnation=2, sequence=1), 12)


def test_late_heartbeat_of_a_stopped_process_is_dropped() -> None:
    membership = Membership()
    membership.receive_heartbeat(heartbeat(), 0)
    assert membership.mark_stopped('h', 1, 1) == (HealthChanged('h', 1, Health.dead),)
    assert not membership.receive_heartbeat(heartbeat(sequence=2), 2)
    assert not membership.members


@given(
    events=st.lists(
        st.tuples(
            st.sampled_from(['heartbeat', 'leave', 'listed', 'unlisted', 'poll', 'restart']),
            st.floats(0.01, 20),
        ),
        max_size=40,
    ),
)
def test_usable_agrees_with_a_simple_oracle(events: list[tuple[str, float]]) -> None:
    membership = Membership()
    incarnation, started_at, heartbeat_at, announced = 1, float(0), float(-99), False
    now = started_at
    for sequence, (event, delay) in enumerate(events):
        now += delay
        if event == 'restart':
            incarnation, started_at, heartbeat_at, announced = incarnation + 1, now, -99, False
        if event in {'heartbeat', 'leave'}:
            announced = announced or event == 'leave'
            heartbeat_at = now
            membership.receive_heartbeat(
                heartbeat(incarnation, sequence, now - started_at, leaving=event == 'leave'), now
            )
        if event in {'listed', 'unlisted'}:
            membership.apply_host_list(host_list(leaving=event == 'listed'), now)
        membership.check_timeouts(now)
        if membership.is_usable('h', incarnation):
            assert not announced
            assert now - heartbeat_at < SUSPECT_TIMEOUT_S
        for previous in range(1, incarnation):
            assert heartbeat_at < 0 or not membership.is_usable('h', previous)


def test_backoff_is_jittered_and_capped() -> None:
    delays = Backoff(random.Random(1), base_s=1, cap_s=8)
    drawn = [delays.next_delay_s() for _ in range(200)]
    assert max(drawn) <= 8
    assert max(drawn) > 7
    assert len({round(delay, 6) for delay in drawn}) > 190
    delays.reset()
    assert delays.next_delay_s() <= 1


def test_rate_limiter_spaces_starts() -> None:
    rate_limiter = RateLimiter(rate_per_s=10, burst=3)
    starts = [rate_limiter.reserve(100) for _ in range(13)]
    assert starts[:3] == [100, 100, 100]
    assert starts[-1] == pytest.approx(101)
