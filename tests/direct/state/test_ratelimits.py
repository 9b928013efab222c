"""Tests of the rate limit that applies to a replica, by responses that overtake each other."""

from __future__ import annotations

import itertools
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.direct.state.ratelimits import (
    LimitObservation,
    RateLimitRegistry,
    RateLimitTracker,
)
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.util.endpoints import Endpoint


def make_replica(born_ms: int) -> Replica:
    return Replica('a', 'desk', Endpoint('10.0.0.1', 80), 'north-1', 4, born_ms=born_ms)


def test_replica_without_observations_has_no_limit() -> None:
    registry = RateLimitRegistry()
    assert not registry.is_limited('a@1')
    registry.observe(make_replica(1), LimitObservation(math.inf, 1, 2), 'answer')
    assert not registry.is_limited('a@1')


def test_limit_belongs_to_the_incarnation() -> None:
    registry = RateLimitRegistry()
    registry.observe(make_replica(1), LimitObservation(2, 1, 2), 'answer')
    assert registry.is_limited('a@1')
    assert not registry.is_limited('a@2')
    registry.keep_only(frozenset(('a@2',)))
    assert not registry.is_limited('a@1')


def test_lower_limit_applies_at_once_and_a_higher_one_only_from_a_newer_response() -> None:
    tracker = RateLimitTracker()
    assert tracker.observe(LimitObservation(5, 0, 1))
    assert tracker.observe(LimitObservation(2, 0, 2))
    # The replica may have written these responses before the last one.
    assert not tracker.observe(LimitObservation(5, 1, 3))
    assert not tracker.observe(LimitObservation(math.inf, 1.9, 3))
    assert tracker.current.per_s == 2
    assert tracker.observe(LimitObservation(5, 2, 3))
    assert tracker.observe(LimitObservation(math.inf, 3, 4))
    assert tracker.current.per_s == math.inf


def test_response_that_was_received_before_the_end_of_the_limit_does_not_restore_it() -> None:
    tracker = RateLimitTracker()
    tracker.observe(LimitObservation(2, 0, 1))
    tracker.observe(LimitObservation(math.inf, 5, 6))
    assert not tracker.observe(LimitObservation(2, 0, 4.9))
    assert tracker.observe(LimitObservation(2, 0, 7))


def test_naming_of_unknown_age_sets_a_limit_and_its_absence_ends_none() -> None:
    tracker = RateLimitTracker()
    assert tracker.observe(LimitObservation(2, -math.inf, 1))
    assert not tracker.observe(LimitObservation(math.inf, -math.inf, 9))
    assert tracker.current.per_s == 2


@pytest.mark.parametrize('order', list(itertools.permutations(range(4))))
def test_newest_limit_applies_in_any_order_of_observations_that_do_not_overlap(
    order: tuple[int, ...],
) -> None:
    observations = [
        LimitObservation(per_s, 2 * number, 2 * number + 1)
        for number, per_s in enumerate((2, math.inf, 3, 1))
    ]
    tracker = RateLimitTracker()
    for position in order:
        tracker.observe(observations[position])
    assert tracker.current.per_s == 1


@given(st.lists(st.tuples(st.floats(0, 100), st.floats(0, 10), st.floats(0, 10))))
def test_limit_is_never_above_the_newest_certain_observation(
    observed: list[tuple[float, float, float]],
) -> None:
    tracker = RateLimitTracker()
    observations = [
        LimitObservation(per_s, sent_at, sent_at + took_s) for per_s, sent_at, took_s in observed
    ]
    for observation in observations:
        tracker.observe(observation)
    for observation in observations:
        is_newest = all(
            other is observation or other.received_at < observation.sent_at
            for other in observations
        )
        assert not is_newest or tracker.current.per_s == observation.per_s
