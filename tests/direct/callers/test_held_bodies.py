"""Tests that the body of a request is held for no longer than the request.

They guard against a process that outgrows its memory: a body in a reference cycle is freed only by
the garbage collector, which may run many requests later.
"""

from __future__ import annotations

import asyncio
import gc
from contextlib import ExitStack

import pytest
from direct_callers import run_count, run_site_in_virtual_time, send_request

from cassiahitch.direct.api import CallerRequest
from cassiahitch.direct.callers.incomingrequest import IncomingRequest
from cassiahitch.direct.connections.budget import LARGE_BODY_SHARE
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize

BODY = b'x' * 50_000
REQUESTS = 5
SITE = DirectSiteSize(entries=1, models=1, plain=1)


def held_bodies() -> int:
    """Return how many requests with a body are held, reachable or not."""
    kinds = (CallerRequest, IncomingRequest)
    return sum(len(one.body) == len(BODY) for one in gc.get_objects() if isinstance(one, kinds))


@pytest.mark.parametrize('path', ['/order/1', '/lookup/1', '/draft/1', '/unknown/1'])
@pytest.mark.parametrize('deadline_ms', [2000, 10])
def test_body_is_freed_with_its_request(path: str, deadline_ms: int) -> None:
    async def body(site: DirectSite) -> None:
        gc.collect()
        gc.disable()
        with ExitStack() as stack:
            stack.callback(gc.enable)
            for _ in range(REQUESTS):
                await send_request(site.entries[0], path, body=BODY, deadline_ms=deadline_ms)
            await asyncio.sleep(1)
            assert not held_bodies()

    run_site_in_virtual_time(body, SITE)


def test_body_of_a_request_that_outlives_its_caller_is_counted_until_its_end() -> None:
    async def body(site: DirectSite) -> None:
        budget = site.entries[0].frontend.guard.budget
        site.plain[0].pause_s = 2
        await send_request(site.entries[0], '/order/1', body=BODY, disconnect_after_s=0.5)
        await asyncio.sleep(0.5)
        assert budget.used_bytes > len(BODY)
        assert not budget.admits(round(LARGE_BODY_SHARE * budget.limits.total_bytes) - len(BODY))
        await asyncio.sleep(3)
        assert run_count(site.plain) == 1
        assert not budget.used_bytes
        assert not budget.holdings

    run_site_in_virtual_time(body, SITE)
