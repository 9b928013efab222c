"""Tests of the adaptive bound on requests in flight."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

import pytest

from cassiahitch.limits.concurrency import SLACK, ConcurrencyLimit
from cassiahitch.routing.api import ServiceLoad

EQUAL = (500, 500, 500, 500)
STEP_S = 0.25


def totals(
    limits: list[ConcurrencyLimit],
    demands: Sequence[int],
    capacity: int,
    late: int = 0,
    start: int = 0,
) -> list[int]:
    """Return the requests in flight over time; a quarter of them ends in each step."""
    reports: deque[ServiceLoad] = deque()
    found: list[int] = []
    for step in range(start, start + 200):
        now = step * STEP_S
        for limit, demand in zip(limits, demands, strict=True):
            limit.in_flight -= limit.in_flight // 4
            while limit.allows() and limit.in_flight < demand:
                limit.acquire()
        found.append(sum(limit.in_flight for limit in limits))
        reports.append(ServiceLoad(capacity, found[-1], now))
        if len(reports) > late:
            load = reports.popleft()
            for limit in limits:
                limit.update(load, len(limits), now)
    return found


def make_limits() -> list[ConcurrencyLimit]:
    return [ConcurrencyLimit() for _ in range(4)]


@pytest.mark.parametrize('late', [0, 2, 5, 8])
def test_entries_fill_the_replicas_without_swinging_together(late: int) -> None:
    found = totals(make_limits(), EQUAL, 100, late)[-100:]
    assert min(found) >= 100
    assert max(found) <= 100 * (1 + SLACK) + 4


def test_entry_with_demand_uses_what_others_leave() -> None:
    limits = make_limits()
    totals(limits, (500, 5, 5, 5), 100, late=5)
    assert limits[0].in_flight >= 80


def test_bound_follows_a_loss_of_replicas() -> None:
    limits = make_limits()
    totals(limits, EQUAL, 100)
    found = totals(limits, EQUAL, 40, start=200)
    assert 40 <= found[-1] <= 40 * (1 + SLACK) + 4
