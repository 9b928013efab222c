"""Tests of the size ranks and counters that show whether large requests are starved."""

from __future__ import annotations

import random

import pytest
from direct_callers import reported_queue_length, run, send_request, wait_until

from cassiahitch.direct.placement.sizes import (
    MAX_ROUTES,
    MAX_SIZES_PER_ROUTE,
    OTHER_ROUTES,
    SizeTracker,
)
from cassiahitch.metrics.names import CounterName
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize

SINGLE_SERVERS = DirectSiteSize(entries=1, models=1, plain=1)


def test_deciles_depend_only_on_the_sizes_of_the_same_route() -> None:
    tracker = SizeTracker()
    rng = random.Random(1)
    for _ in range(MAX_SIZES_PER_ROUTE):
        tracker.rank('draft', rng.randrange(1000))
        tracker.rank('quote', rng.randrange(100_000))
    deciles = {size: tracker.rank('draft', size).decile for size in (5, 450, 870, 950)}
    assert deciles == {5: 1, 450: 5, 870: 9, 950: 10}
    assert tracker.rank('quote', 5000).decile == 1


def test_old_sizes_are_dropped() -> None:
    tracker = SizeTracker()
    for size in range(3 * MAX_SIZES_PER_ROUTE):
        tracker.rank('draft', size)
    sizes = tracker.routes['draft']
    assert len(sizes.latest) == len(sizes.sorted_sizes) == MAX_SIZES_PER_ROUTE
    assert list(sizes.latest) == sizes.sorted_sizes


def test_number_of_labels_is_bounded_for_any_number_of_routes() -> None:
    tracker = SizeTracker()
    labels = {
        tracker.rank(f'route-{number}', size).label for number in range(200) for size in range(60)
    }
    assert len(tracker.routes) == MAX_ROUTES + 1
    assert OTHER_ROUTES in tracker.routes
    assert len(labels) <= 64


def test_log_lines_and_counters_of_a_refusal_contain_the_size(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(site: DirectSite) -> None:
        model = site.models[0]
        parts = site.entries[0].parts
        served = await send_request(site.entries[0], '/draft/1')
        assert served.status == 200
        model.running = 400
        await wait_until(lambda: reported_queue_length(site, model) > 300)
        refused = await send_request(site.entries[0], '/draft/1')
        assert refused.code == 1006
        lines = {line.getMessage(): line for line in caplog.records if hasattr(line, 'tenth')}
        assert lines.keys() == {'request sent', 'request found no place'}
        assert all(getattr(line, 'size') > 0 for line in lines.values())
        counts: dict[str, int] = {}
        for series, count in parts.telemetry.metrics.counters.items():
            counts[series.name] = counts.get(series.name, 0) + count
        assert counts[CounterName.offered_by_size] == 2
        assert counts[CounterName.served_by_size] == 1
        assert counts[CounterName.refused_by_size] == 1

    caplog.set_level('INFO')
    run(body, SINGLE_SERVERS)
