"""Tests of the usual timeouts, by which repeated requests are recognised."""

from __future__ import annotations

import asyncio

from direct_callers import SMALL_SITE, run, send_request

from cassiahitch.direct.requests.callertimeouts import TIMEOUTS_PER_ROUTE, CallerTimeouts
from cassiahitch.standins.directsite import DirectSite


def test_repeated_requests_do_not_change_the_usual_timeout() -> None:
    caller_timeouts = CallerTimeouts()
    for number in range(TIMEOUTS_PER_ROUTE):
        caller_timeouts.record('draft', 6 if number % 4 == 0 else 4.5)
    assert caller_timeouts.usual_timeout_s('draft') == 6


def test_usual_timeout_is_zero_before_the_first_request() -> None:
    assert CallerTimeouts().usual_timeout_s('draft') == 0


def test_one_long_timeout_does_not_make_other_requests_late() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for number in range(10):
            assert (await send_request(entry, f'/draft/{number}', deadline_ms=3000)).status == 200
        assert (await send_request(entry, '/draft/p', deadline_ms=60_000)).status == 200
        for model in site.models:
            model.running += 4
        await asyncio.sleep(1.5)
        for number in range(5):
            assert (await send_request(entry, f'/draft/r{number}', deadline_ms=3000)).status == 200

    run(body, SMALL_SITE)
