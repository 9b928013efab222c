"""Tests of the requests for chunks that are in progress."""

from __future__ import annotations

import pytest

from cassiahitch.weights.activefetches import (
    MAX_STALL_EXTENSIONS,
    OWN_LINK_STALL_MIN_SOURCES,
    ActiveFetches,
    FetchLimits,
)
from cassiahitch.weights.tree import Source

ORIGIN = Source('')
LIMITS = FetchLimits(max_in_flight=3, max_origin_in_flight=1, stall_timeout_s=3, wait_timeout_s=5)


def fetches_from(hosts: int) -> ActiveFetches:
    fetches = ActiveFetches(LIMITS)
    for index in range(hosts):
        fetches.start(index, Source(f'h{index}'), 0)
    return fetches


def test_source_that_sends_messages_is_awaited_up_to_the_total_wait() -> None:
    fetches = fetches_from(1)
    fetches.record_activity('h0', 2.5)
    assert not fetches.expire(4.9)
    fetches.record_activity('h0', 4.9)
    assert fetches.expire(5) == (0,)
    assert fetches.has_exceeded_wait(fetches.by_index[0])


@pytest.mark.parametrize('hosts', [1, OWN_LINK_STALL_MIN_SOURCES - 1])
def test_few_silent_sources_expire(hosts: int) -> None:
    fetches = fetches_from(hosts)
    assert fetches.expire(3) == tuple(range(hosts))


def test_stall_of_all_sources_extends_the_deadlines_a_limited_number_of_times() -> None:
    fetches = fetches_from(OWN_LINK_STALL_MIN_SOURCES)
    now = float(0)
    for _ in range(MAX_STALL_EXTENSIONS):
        now += LIMITS.stall_timeout_s
        assert not fetches.expire(now)
    assert len(fetches.expire(now + LIMITS.stall_timeout_s)) == OWN_LINK_STALL_MIN_SOURCES


def test_one_request_is_reserved_for_chunks_of_the_origin() -> None:
    fetches = fetches_from(2)
    assert fetches.has_capacity(origin=False, reserve_for_origin=False)
    assert not fetches.has_capacity(origin=False, reserve_for_origin=True)
    assert fetches.has_capacity(origin=True, reserve_for_origin=True)
    fetches.remove(0, Source('h0'))
    fetches.start(2, ORIGIN, 0)
    assert fetches.has_capacity(origin=False, reserve_for_origin=True)
    assert not fetches.has_capacity(origin=True, reserve_for_origin=True)


def test_request_is_removed_only_for_its_source() -> None:
    fetches = fetches_from(1)
    assert not fetches.remove(0, Source('h1'))
    assert fetches.remove(0, Source('h0'))
    assert not fetches.remove(0, Source('h0'))
