"""Tests of the adaptive concurrency limit."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

import pytest

from cassiahitch.limits.concurrency import QUEUE_SLACK, ConcurrencyLimit
from cassiahitch.routing.api import ServiceLoad

EQUAL = (500, 500, 500, 500)
STEP_S = 0.25


def simulate(
    limits: list[ConcurrencyLimit],
    demands: Sequence[int],
    capacity: int,
    lag_steps: int = 0,
    start: int = 0,
) -> list[int]:
    """Return the total requests in flight after each step; a quarter of them ends per step."""
    reports: deque[ServiceLoad] = deque()
    totals: list[int] = []
    for step in range(start, start + 200):
        now = step * STEP_S
        for limit, demand in zip(limits, demands, strict=True):
            limit.in_flight -= limit.in_flight // 4
            while limit.allows() and limit.in_flight < demand:
                limit.acquire()
        totals.append(sum(limit.in_flight for limit in limits))
        reports.append(ServiceLoad(capacity, totals[-1], now))
        if len(reports) > lag_steps:
            load = reports.popleft()
            for limit in limits:
                limit.update(load, len(limits), now)
    return totals


def make_limits() -> list[ConcurrencyLimit]:
    return [ConcurrencyLimit() for _ in range(4)]


@pytest.mark.parametrize('lag_steps', [0, 2, 5, 8])
def test_entries_fill_the_replicas_without_oscillating_together(lag_steps: int) -> None:
    totals = simulate(make_limits(), EQUAL, 100, lag_steps)[-100:]
    assert min(totals) >= 100
    assert max(totals) <= 100 * (1 + QUEUE_SLACK) + 4


def test_entry_with_demand_uses_the_capacity_that_others_do_not() -> None:
    limits = make_limits()
    simulate(limits, (500, 5, 5, 5), 100, lag_steps=5)
    assert limits[0].in_flight >= 80


def test_bound_follows_a_loss_of_replicas() -> None:
    limits = make_limits()
    simulate(limits, EQUAL, 100)
    totals = simulate(limits, EQUAL, 40, start=200)
    assert 40 <= totals[-1] <= 40 * (1 + QUEUE_SLACK) + 4
