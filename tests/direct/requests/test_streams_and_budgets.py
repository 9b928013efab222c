"""Tests of event splitting, retry budgets, load delays and upload priorities."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.direct.backends.events import EventSplitter
from cassiahitch.direct.requests.budget import USABLE_FRACTION, RetryBudget
from cassiahitch.direct.staging.loadtiming import load_delay_s
from cassiahitch.direct.staging.uploads import PrioritySemaphore
from cassiahitch.direct.state.versions import BOUND_MARGIN_S

STREAM = b''.join(b'id: %d\ndata: x%d\n\n' % (number, number) for number in range(1, 8))


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_only_complete_events_are_forwarded_however_the_stream_is_split(
    boundaries: list[int],
) -> None:
    splitter = EventSplitter()
    bounds = [0, *sorted(boundaries), len(STREAM)]
    forwarded = b''
    for start, end in zip(bounds, bounds[1:], strict=False):
        forwarded += splitter.feed(STREAM[start:end])
        assert STREAM.startswith(forwarded)
        assert not forwarded or forwarded.endswith(b'\n\n')
    assert (forwarded, splitter.last_event_id, splitter.event_count) == (STREAM, '7', 7)


def test_partial_event_is_discarded_when_a_stream_breaks() -> None:
    splitter = EventSplitter()
    assert splitter.feed(STREAM[:20]) == b'id: 1\ndata: x1\n\n'
    splitter.discard_partial()
    assert splitter.feed(b'id: 2\ndata: again\n\n') == b'id: 2\ndata: again\n\n'


@given(st.integers(1, 12), st.integers(0, 200))
def test_retries_of_all_entries_stay_within_the_budget(entries: int, requests: int) -> None:
    budgets = [RetryBudget(0.2, 106, 10) for _ in range(entries)]
    spent_retries = 0
    for budget in budgets:
        for number in range(requests):
            budget.record_request('desk', number / 100)
        while budget.try_spend('desk', entries, 3):
            spent_retries += 1
    assert spent_retries <= USABLE_FRACTION * (106 + 0.2 * requests * entries) + 1


def test_retries_become_available_again_with_time() -> None:
    budget = RetryBudget(0.2, 30, 10)
    spent_retries = sum(budget.try_spend('desk', 6, 0) for _ in range(100))
    assert 0 < spent_retries < 100
    assert not budget.try_spend('desk', 6, 9.9)
    assert budget.try_spend('desk', 6, 10.1)


def test_loads_are_spread_over_the_remaining_time() -> None:
    hosts = tuple(f'h{number}' for number in range(5))
    delays_s = sorted(load_delay_s(host, hosts, 2, BOUND_MARGIN_S + 2) for host in hosts)
    assert delays_s[0] == 0
    assert delays_s[-1] < 2
    assert len(set(delays_s)) == len(hosts)
    assert {load_delay_s(host, hosts, 2, BOUND_MARGIN_S) for host in hosts} == {0}


def test_lowest_tier_gets_the_next_slot() -> None:
    async def wait_in_turn() -> list[int]:
        semaphore = PrioritySemaphore(1)
        order: list[int] = []

        async def use(tier: int) -> None:
            await semaphore.acquire(tier)
            order.append(tier)
            semaphore.release()

        await semaphore.acquire(0)
        waiters = [asyncio.create_task(use(tier)) for tier in (4, 2, 3)]
        await asyncio.sleep(0)
        waiters[1].cancel()
        await asyncio.sleep(0)
        semaphore.release()
        await asyncio.gather(*waiters, return_exceptions=True)
        assert semaphore.free == 1
        return order

    assert asyncio.run(wait_in_turn()) == [3, 4]
