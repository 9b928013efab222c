"""Tests of the figures that tell whether large requests starve."""

from __future__ import annotations

import random

import pytest
from direct_callers import ask, run, until, waiting_at

from cassiahitch.direct.placement.sizes import (
    MAX_ROUTES,
    MAX_SIZES_PER_ROUTE,
    OTHER_ROUTES,
    SizeTracker,
)
from cassiahitch.metrics.names import CounterName
from cassiahitch.standins.directsite import DirectSite, DirectSize

ONE = DirectSize(entries=1, models=1, plain=1)


def test_tenths_follow_the_sizes_of_the_route_and_no_other() -> None:
    book = SizeTracker()
    rng = random.Random(1)
    for _ in range(MAX_SIZES_PER_ROUTE):
        book.rank('draft', rng.randrange(1000))
        book.rank('quote', rng.randrange(100_000))
    found = {size: book.rank('draft', size).decile for size in (5, 450, 870, 950)}
    assert found == {5: 1, 450: 5, 870: 9, 950: 10}
    assert book.rank('quote', 5000).decile == 1


def test_old_sizes_are_forgotten() -> None:
    book = SizeTracker()
    for size in range(3 * MAX_SIZES_PER_ROUTE):
        book.rank('draft', size)
    kept = book.routes['draft']
    assert len(kept.latest) == len(kept.ordered) == MAX_SIZES_PER_ROUTE
    assert list(kept.latest) == kept.ordered


def test_labels_stay_few_however_many_routes_there_are() -> None:
    book = SizeTracker()
    labels = {
        book.rank(f'route-{number}', size).label for number in range(200) for size in range(60)
    }
    assert len(book.routes) == MAX_ROUTES + 1
    assert OTHER_ROUTES in book.routes
    assert len(labels) <= 64


def test_lines_and_counters_of_a_refusal_tell_the_size(caplog: pytest.LogCaptureFixture) -> None:
    async def body(site: DirectSite) -> None:
        model = site.models[0]
        parts = site.entries[0].parts
        served = await ask(site.entries[0], '/draft/1')
        assert served.status == 200
        model.running = 400
        await until(lambda: waiting_at(site, model) > 300)
        refused = await ask(site.entries[0], '/draft/1')
        assert refused.code == 1006
        lines = {one.getMessage(): one for one in caplog.records if hasattr(one, 'tenth')}
        assert lines.keys() == {'request sent', 'request found no place'}
        assert all(getattr(one, 'size') > 0 for one in lines.values())
        counts: dict[str, int] = {}
        for series, count in parts.telemetry.metrics.counters.items():
            counts[series.name] = counts.get(series.name, 0) + count
        assert counts[CounterName.offered_by_size] == 2
        assert counts[CounterName.served_by_size] == 1
        assert counts[CounterName.refused_by_size] == 1

    caplog.set_level('INFO')
    run(body, ONE)
