"""Tests of the adaptive bound on requests in flight."""

from __future__ import annotations

from collections.abc import Sequence

from cassiahitch.limits.concurrency import SLACK, ConcurrencyLimit
from cassiahitch.routing.api import ServiceLoad

EQUAL = (500, 500, 500, 500)


def settle(limits: list[ConcurrencyLimit], demands: Sequence[int], capacity: int) -> list[int]:
    for _ in range(200):
        for limit, demand in zip(limits, demands, strict=True):
            limit.in_flight = 0
            limit.peak = 0
            while limit.allows() and limit.in_flight < demand:
                limit.dispatched()
        requests = sum(limit.in_flight for limit in limits)
        for limit in limits:
            limit.update(ServiceLoad(capacity, requests), len(limits))
    return [limit.in_flight for limit in limits]


def test_all_entries_together_fill_the_replicas_and_little_more() -> None:
    requests = settle([ConcurrencyLimit() for _ in range(4)], EQUAL, 100)
    assert 100 <= sum(requests) <= 100 * (1 + 2 * SLACK)


def test_entry_with_demand_uses_what_others_leave() -> None:
    requests = settle([ConcurrencyLimit() for _ in range(4)], [500, 5, 5, 5], 100)
    assert requests[0] >= 80


def test_bound_follows_a_loss_of_replicas() -> None:
    limits = [ConcurrencyLimit() for _ in range(4)]
    settle(limits, EQUAL, 100)
    requests = settle(limits, EQUAL, 40)
    assert 40 <= sum(requests) <= 40 * (1 + 2 * SLACK) + len(limits)
