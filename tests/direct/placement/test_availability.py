"""Tests of which replicas want no requests, by their own word."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.direct.placement.availability import (
    RAMP_UP_S,
    RETENTION_S,
    ExpiredAnnouncement,
    ReplicaAvailability,
)

NONE: frozenset[str] = frozenset()


def make() -> ReplicaAvailability:
    return ReplicaAvailability(random.Random(1))


def test_replica_that_leaves_gets_nothing_more_and_is_news_once() -> None:
    availability = make()
    assert availability.may_send('a@1', 0)
    assert availability.record_stopping('a@1', 1)
    assert not availability.record_stopping('a@1', 2)
    assert not availability.may_send('a@1', 1e9)


def test_next_start_under_the_same_id_is_free_of_the_mark() -> None:
    availability = make()
    availability.record_stopping('a@1', 1)
    availability.record_pause('a@1', 9, 1)
    assert availability.may_send('a@2', 1)


def test_mark_outlives_rows_that_come_and_go() -> None:
    availability = make()
    availability.record_stopping('a@1', 1)
    for now in range(1, 100):
        availability.expire(frozenset({'a@1'} if now % 9 else ()), now)
        assert not availability.may_send('a@1', now)
    assert availability.expire(NONE, 99 + RETENTION_S) == [
        ExpiredAnnouncement('a@1', stopping=True, after_s=98 + RETENTION_S)
    ]
    assert not availability.announcements


def test_longest_of_several_pauses_holds() -> None:
    availability = make()
    assert availability.record_pause('a@1', 5, 0)
    assert not availability.record_pause('a@1', 1, 1)
    assert not availability.may_send('a@1', 4.9)
    assert availability.may_send('a@1', 5)
    assert not availability.expire(NONE, 4)
    assert availability.expire(NONE, 5 + RAMP_UP_S) == [
        ExpiredAnnouncement('a@1', stopping=False, after_s=5)
    ]


def test_pause_of_no_time_is_none() -> None:
    availability = make()
    assert not availability.record_pause('a@1', 0, 3)
    assert availability.may_send('a@1', 3)


def test_requests_come_back_little_by_little_after_a_pause() -> None:
    availability = make()
    availability.record_pause('a@1', 5, 0)
    shares = [
        sum(availability.passes_ramp_up('a@1', 5 + part * RAMP_UP_S) for _ in range(1000)) / 1000
        for part in (0.01, 0.5, 1)
    ]
    few, half, all_of_them = (round(100 * share) for share in shares)
    assert few < 10
    assert half in range(40, 60)
    assert all_of_them == 100


def test_first_that_is_free_decides_when_to_come_back() -> None:
    availability = make()
    availability.record_stopping('a@1', 0)
    availability.record_pause('b@1', 5, 0)
    availability.record_pause('c@1', 3, 0)
    assert availability.available_in_s(('a@1', 'b@1', 'c@1'), 1) == 2
    assert not availability.available_in_s(('a@1', 'b@1', 'd@1'), 1)
    assert availability.available_in_s(('a@1',), 1) is None


@dataclass
class Seen:
    """What the replicas of a random run said, and what they were sent."""

    availability: ReplicaAvailability = field(default_factory=make)
    left: set[str] = field(default_factory=set)
    until: dict[str, float] = field(default_factory=dict)
    starts: dict[str, int] = field(default_factory=dict)

    def key(self, name: str) -> str:
        return f'{name}@{self.starts.get(name, 0)}'


@given(
    st.lists(
        st.tuples(
            st.sampled_from(('a', 'b', 'c')),
            st.sampled_from(('leave', 'pause', 'start', 'tidy', 'unlist', 'send')),
            st.floats(0, RETENTION_S / 61),
        ),
        max_size=60,
    )
)
def test_nothing_is_sent_against_the_word_of_a_replica(
    steps: list[tuple[str, str, float]],
) -> None:
    seen = Seen()
    now = float(0)
    for name, step, amount in steps:
        now += amount
        key = seen.key(name)
        match step:
            case 'leave':
                seen.availability.record_stopping(key, now)
                seen.left.add(key)
            case 'pause':
                seen.availability.record_pause(key, amount, now)
                seen.until[key] = max(seen.until.get(key, 0), now + amount)
            case 'start':
                seen.starts[name] = seen.starts.get(name, 0) + 1
            case 'tidy' | 'unlist':
                listed = NONE if step == 'unlist' else frozenset(map(seen.key, 'abc'))
                seen.availability.expire(listed, now)
            case _:
                expected = key not in seen.left and now >= seen.until.get(key, 0)
                assert seen.availability.may_send(key, now) is expected
