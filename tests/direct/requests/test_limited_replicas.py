"""Replicas that name a rate limit get no more than that from all entries together."""

from __future__ import annotations

import asyncio

import pytest
from direct_callers import run_site_in_virtual_time
from limited_replicas import (
    STABLE_S,
    UNREPORTED_PATH,
    Load,
    allowed_in_window,
    backends_of,
    most_in_window,
)

from cassiahitch.standins.directsite import DirectSite, DirectSiteSize

NINE_ENTRIES = DirectSiteSize(entries=9, models=3, plain=3)
LIMIT_PER_S = 2.0
#: Requests per second of all callers, several times the limit of all replicas.
LOAD_PER_S = 30.0
LOAD_S = 12.0
#: Requests per second that any two replicas can serve.
LOW_LOAD_PER_S = 9.0
#: Fraction of the limit that has to be used while more requests arrive.
USED_FRACTION = 0.75
PATHS = ('/draft/1', UNREPORTED_PATH, '/lookup/1', '/order/1')


@pytest.mark.parametrize('path', PATHS)
def test_limited_replica_gets_no_more_than_its_limit_from_all_entries_together(path: str) -> None:
    async def body(site: DirectSite) -> None:
        named_at = asyncio.get_running_loop().time()
        backend, *others = backends_of(site, path)
        backend.limit_per_s = LIMIT_PER_S
        for other in others:
            # The limited replica responds faster, as its queue is short.
            other.pause_s = 0.02
        load = Load(site, path, LOAD_PER_S)
        await load.run(LOAD_S)
        most = most_in_window(backend.arrivals, named_at + STABLE_S)
        assert most <= allowed_in_window(LIMIT_PER_S)
        assert {got.status for got in load.responses} == {200}

    run_site_in_virtual_time(body, NINE_ENTRIES)


@pytest.mark.parametrize('path', PATHS)
def test_limits_of_all_replicas_are_kept_and_used(path: str) -> None:
    async def body(site: DirectSite) -> None:
        named_at = asyncio.get_running_loop().time()
        backends = backends_of(site, path)
        for backend in backends:
            backend.limit_per_s = LIMIT_PER_S
        load = Load(site, path, LOAD_PER_S)
        await load.run(LOAD_S)
        for backend in backends:
            most = most_in_window(backend.arrivals, named_at + STABLE_S)
            assert most <= allowed_in_window(LIMIT_PER_S)
            used = sum(at >= named_at + STABLE_S for at in backend.arrivals)
            assert used >= USED_FRACTION * LIMIT_PER_S * (LOAD_S - STABLE_S)
        assert {got.status for got in load.responses} == {200, 503}

    run_site_in_virtual_time(body, NINE_ENTRIES)


@pytest.mark.parametrize('path', ['/draft/1', UNREPORTED_PATH, '/lookup/1'])
def test_end_of_a_limit_is_noticed_while_other_replicas_serve_all_requests(path: str) -> None:
    async def body(site: DirectSite) -> None:
        limited = backends_of(site, path)[0]
        limited.limit_per_s = LIMIT_PER_S
        await Load(site, path, LOW_LOAD_PER_S).run(LOAD_S)
        limited.limit_per_s = None
        await Load(site, path, LOW_LOAD_PER_S).run(2 * LOAD_S)
        key = f'{limited.id}@{limited.started_at_ms}'
        for entry in site.entries:
            assert not entry.parts.entry_state.rate_limits.is_limited(key)

    run_site_in_virtual_time(body, NINE_ENTRIES)
