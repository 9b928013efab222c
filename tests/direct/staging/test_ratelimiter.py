"""Tests of the permits that an agent grants for a limited replica."""

from __future__ import annotations

import math
from collections.abc import Iterable
from itertools import repeat

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.direct.staging.ratelimiter import BURST_S, MIN_PER_S, RateLimiter, Refusal
from cassiahitch.direct.state.ratelimits import LimitObservation
from cassiahitch.util.endpoints import Endpoint

ENTRY = Endpoint('10.1.0.1', 7700)
OTHER = Endpoint('10.1.0.2', 7700)
WINDOW_S = 4.0


def make_limiter(per_s: float, now: float = 0) -> RateLimiter:
    limiter = RateLimiter()
    limiter.observe(LimitObservation(per_s, now, now), now)
    return limiter


def grant_times(limiter: RateLimiter, times: Iterable[float]) -> list[float]:
    return [now for number, now in enumerate(times) if limiter.request(ENTRY, number, now) is None]


def most_in_window(times: list[float]) -> int:
    return max((sum(first <= at < first + WINDOW_S for at in times) for first in times), default=0)


def test_unlimited_replica_needs_no_tokens() -> None:
    limiter = RateLimiter()
    assert len(grant_times(limiter, repeat(0, 100))) == 100


def test_limiter_starts_without_tokens_as_an_earlier_process_may_have_granted_permits() -> None:
    limiter = make_limiter(2, now=100)
    assert limiter.request(ENTRY, 1, 100) == Refusal(0.5)
    assert limiter.request(ENTRY, 2, 100.5) is None


@pytest.mark.parametrize('per_s', [0.5, 2.1, 40])
def test_limit_is_used_while_more_requests_arrive(per_s: float) -> None:
    granted = grant_times(make_limiter(per_s), [tick / 200 for tick in range(200 * 20)])
    assert len(granted) >= 0.9 * per_s * 20
    assert most_in_window(granted) <= per_s * WINDOW_S + max(1, per_s * BURST_S)


@given(
    st.floats(0.3, 50),
    st.lists(st.tuples(st.floats(0, 0.4), st.booleans()), max_size=80),
)
def test_no_window_has_more_permits_than_the_limit_and_the_burst(
    per_s: float, steps: list[tuple[float, bool]]
) -> None:
    limiter = make_limiter(per_s)
    now: float = 0
    used = []
    for number, (pause_s, returned) in enumerate(steps):
        now += pause_s
        granted = limiter.request(ENTRY, number, now) is None
        if granted and returned:
            limiter.release(ENTRY, number)
        elif granted:
            used.append(now)
    assert most_in_window(used) <= per_s * WINDOW_S + limiter.depth + 1e-6


def test_returned_permit_is_granted_again_once() -> None:
    limiter = make_limiter(1)
    assert limiter.request(ENTRY, 7, 1) is None
    assert isinstance(limiter.request(OTHER, 7, 1), Refusal)
    limiter.release(OTHER, 7)
    limiter.release(ENTRY, 8)
    assert isinstance(limiter.request(OTHER, 8, 1), Refusal)
    limiter.release(ENTRY, 7)
    limiter.release(ENTRY, 7)
    assert limiter.request(OTHER, 9, 1) is None
    assert isinstance(limiter.request(OTHER, 10, 1), Refusal)


def test_changed_limit_applies_to_the_next_permits() -> None:
    limiter = make_limiter(20)
    limiter.request(ENTRY, 1, 10)
    limiter.observe(LimitObservation(2, 10, 10), 10)
    granted = grant_times(limiter, [10 + tick / 100 for tick in range(1000)])
    assert most_in_window(granted) <= 2 * WINDOW_S + 1
    limiter.observe(LimitObservation(math.inf, 20, 20.1), 20.1)
    assert len(grant_times(limiter, repeat(20.1, 50))) == 50
    limiter.observe(LimitObservation(2, 21, 21.1), 21.1)
    assert limiter.request(ENTRY, 1, 21.1) == Refusal(0.5)


@pytest.mark.parametrize('per_s', [0, 0.01])
def test_permits_are_granted_rarely_for_a_limit_of_nearly_nothing(per_s: float) -> None:
    limiter = make_limiter(per_s)
    granted = grant_times(limiter, [tick / 10 for tick in range(1000)])
    assert 0.8 * MIN_PER_S * 100 <= len(granted) <= MIN_PER_S * 100 + 1
