"""Tests of events, retry budgets and turns."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.direct.backends.events import EventSplitter
from cassiahitch.direct.requests.budget import USABLE_FRACTION, RetryBudget
from cassiahitch.direct.staging.loading import load_delay_s
from cassiahitch.direct.staging.uploads import PrioritySemaphore
from cassiahitch.direct.state.versions import BOUND_MARGIN_S

STREAM = b''.join(b'id: %d\ndata: x%d\n\n' % (number, number) for number in range(1, 8))


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_only_whole_events_pass_in_any_pieces(cuts: list[int]) -> None:
    splitter = EventSplitter()
    bounds = [0, *sorted(cuts), len(STREAM)]
    passed = b''
    for start, end in zip(bounds, bounds[1:], strict=False):
        passed += splitter.feed(STREAM[start:end])
        assert STREAM.startswith(passed)
        assert not passed or passed.endswith(b'\n\n')
    assert (passed, splitter.last_event_id, splitter.event_count) == (STREAM, '7', 7)


def test_half_event_is_dropped_at_a_break() -> None:
    splitter = EventSplitter()
    assert splitter.feed(STREAM[:20]) == b'id: 1\ndata: x1\n\n'
    splitter.discard_partial()
    assert splitter.feed(b'id: 2\ndata: again\n\n') == b'id: 2\ndata: again\n\n'


@given(st.integers(1, 12), st.integers(0, 200))
def test_retries_of_all_entries_stay_within_the_budget(entries: int, requests: int) -> None:
    budgets = [RetryBudget(0.2, 106, 10) for _ in range(entries)]
    spent = 0
    for budget in budgets:
        for number in range(requests):
            budget.record_request('desk', number / 100)
        while budget.try_spend('desk', entries, 3):
            spent += 1
    assert spent <= USABLE_FRACTION * (106 + 0.2 * requests * entries) + 1


def test_retries_come_back_with_time() -> None:
    budget = RetryBudget(0.2, 30, 10)
    spent = sum(budget.try_spend('desk', 6, 0) for _ in range(100))
    assert 0 < spent < 100
    assert not budget.try_spend('desk', 6, 9.9)
    assert budget.try_spend('desk', 6, 10.1)


def test_loads_are_spread_over_the_time_that_is_left() -> None:
    hosts = tuple(f'h{number}' for number in range(5))
    turns = sorted(load_delay_s(host, hosts, 2, BOUND_MARGIN_S + 2) for host in hosts)
    assert turns[0] == 0
    assert turns[-1] < 2
    assert len(set(turns)) == len(hosts)
    assert {load_delay_s(host, hosts, 2, BOUND_MARGIN_S) for host in hosts} == {0}


def test_lowest_tier_gets_the_next_place() -> None:
    async def whole() -> list[int]:
        places = PrioritySemaphore(1)
        order: list[int] = []

        async def use(tier: int) -> None:
            await places.acquire(tier)
            order.append(tier)
            places.release()

        await places.acquire(0)
        waiting = [asyncio.create_task(use(tier)) for tier in (4, 2, 3)]
        await asyncio.sleep(0)
        waiting[1].cancel()
        await asyncio.sleep(0)
        places.release()
        await asyncio.gather(*waiting, return_exceptions=True)
        assert places.free == 1
        return order

    assert asyncio.run(whole()) == [3, 4]
