"""Tests of replica availability: no requests are sent to replicas that are stopping or paused."""

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

NO_REPLICAS: frozenset[str] = frozenset()


def make_availability() -> ReplicaAvailability:
    return ReplicaAvailability(random.Random(1))


def test_stopping_replica_receives_no_requests_and_is_reported_as_new_once() -> None:
    availability = make_availability()
    assert availability.may_send('a@1', 0)
    assert availability.record_stopping('a@1', 1)
    assert not availability.record_stopping('a@1', 2)
    assert not availability.may_send('a@1', 1e9)


def test_announcement_does_not_apply_to_the_next_start_under_the_same_id() -> None:
    availability = make_availability()
    availability.record_stopping('a@1', 1)
    availability.record_pause('a@1', 9, 1)
    assert availability.may_send('a@2', 1)


def test_announcement_is_kept_while_the_replica_is_listed_intermittently() -> None:
    availability = make_availability()
    availability.record_stopping('a@1', 1)
    for now in range(1, 100):
        availability.expire(frozenset({'a@1'} if now % 9 else ()), now)
        assert not availability.may_send('a@1', now)
    assert availability.expire(NO_REPLICAS, 99 + RETENTION_S) == [
        ExpiredAnnouncement('a@1', stopping=True, after_s=98 + RETENTION_S)
    ]
    assert not availability.announcements


def test_latest_end_of_several_pauses_counts() -> None:
    availability = make_availability()
    assert availability.record_pause('a@1', 5, 0)
    assert not availability.record_pause('a@1', 1, 1)
    assert not availability.may_send('a@1', 4.9)
    assert availability.may_send('a@1', 5)
    assert not availability.expire(NO_REPLICAS, 4)
    assert availability.expire(NO_REPLICAS, 5 + RAMP_UP_S) == [
        ExpiredAnnouncement('a@1', stopping=False, after_s=5)
    ]


def test_pause_of_zero_seconds_is_ignored() -> None:
    availability = make_availability()
    assert not availability.record_pause('a@1', 0, 3)
    assert availability.may_send('a@1', 3)


def test_share_of_requests_ramps_up_after_a_pause() -> None:
    availability = make_availability()
    availability.record_pause('a@1', 5, 0)
    shares = [
        sum(availability.passes_ramp_up('a@1', 5 + fraction * RAMP_UP_S) for _ in range(1000))
        / 1000
        for fraction in (0.01, 0.5, 1)
    ]
    start, middle, end = (round(100 * share) for share in shares)
    assert start < 10
    assert middle in range(40, 60)
    assert end == 100


def test_first_available_replica_determines_the_retry_time() -> None:
    availability = make_availability()
    availability.record_stopping('a@1', 0)
    availability.record_pause('b@1', 5, 0)
    availability.record_pause('c@1', 3, 0)
    assert availability.available_in_s(('a@1', 'b@1', 'c@1'), 1) == 2
    assert not availability.available_in_s(('a@1', 'b@1', 'd@1'), 1)
    assert availability.available_in_s(('a@1',), 1) is None


@dataclass
class Reference:
    """Expected announcements in a random run, next to the tested availability."""

    availability: ReplicaAvailability = field(default_factory=make_availability)
    stopping: set[str] = field(default_factory=set)
    paused_until: dict[str, float] = field(default_factory=dict)
    starts: dict[str, int] = field(default_factory=dict)

    def key(self, name: str) -> str:
        return f'{name}@{self.starts.get(name, 0)}'


@given(
    st.lists(
        st.tuples(
            st.sampled_from(('a', 'b', 'c')),
            st.sampled_from(('stop', 'pause', 'restart', 'expire', 'unlist', 'send')),
            st.floats(0, RETENTION_S / 61),
        ),
        max_size=60,
    )
)
def test_nothing_is_sent_to_stopping_or_paused_replicas(
    steps: list[tuple[str, str, float]],
) -> None:
    reference = Reference()
    now = float(0)
    for name, step, amount in steps:
        now += amount
        key = reference.key(name)
        match step:
            case 'stop':
                reference.availability.record_stopping(key, now)
                reference.stopping.add(key)
            case 'pause':
                reference.availability.record_pause(key, amount, now)
                reference.paused_until[key] = max(reference.paused_until.get(key, 0), now + amount)
            case 'restart':
                reference.starts[name] = reference.starts.get(name, 0) + 1
            case 'expire' | 'unlist':
                listed = NO_REPLICAS if step == 'unlist' else frozenset(map(reference.key, 'abc'))
                reference.availability.expire(listed, now)
            case _:
                expected = key not in reference.stopping and now >= reference.paused_until.get(
                    key, 0
                )
                assert reference.availability.may_send(key, now) is expected
