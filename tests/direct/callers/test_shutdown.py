"""A stopping entry finishes every response that it can, and sends error responses otherwise."""

from __future__ import annotations

import asyncio
import json

import pytest
from direct_callers import SMALL_SITE, CallerResponse, run, send_request, wait_until
from slow_callers import connect

from cassiahitch.direct.callers.limits import OTHER_ENTRY_RETRY_AFTER_S
from cassiahitch.direct.entry import ADDRESS_HOLD_LIFETIMES, ADDRESS_LIFETIME_S
from cassiahitch.settings.limits import ResponseLimits
from cassiahitch.standins.directsite import DirectSite

GRACE_S = 4.0
#: Bytes of a response that exceeds the buffers of all sockets on its way.
LARGE_BYTES = 8_000_000
#: Grace period that is long enough to read such a response on a busy machine, in seconds.
SLOW_GRACE_S = 6.0
#: Lifetime of addresses, in seconds, that lets an idle entry stop early.
ADDRESS_LIFETIME_SHORT_S = 0.2
#: Pause of a caller that is longer than callers use the address, in seconds.
PAUSE_S = 1.5
BODY = b'x' * 1000
SHUTTING_DOWN = (503, 1010)


@pytest.mark.parametrize('buffered', [True, False], ids=['buffered', 'forwarded in parts'])
def test_slow_caller_gets_its_complete_response(*, buffered: bool) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for plain in site.plain:
            plain.padding = LARGE_BYTES
        if buffered:
            response_bytes = 2 * LARGE_BYTES
            limits = ResponseLimits(
                buffer_bytes=response_bytes,
                total_buffer_bytes=response_bytes,
                max_response_bytes=response_bytes,
            )
            entry.parts.runner.attempts.response_relay.buffer_budget.limits = limits
        caller = await connect(entry)
        await caller.send('/lookup/1')
        await wait_until(lambda: any(plain.runs for plain in site.plain))
        await wait_until(lambda: any(exchange.response_started for exchange in entry.frontend.open))
        if buffered:
            await wait_until(lambda: not entry.frontend.running)
        stop_task = asyncio.create_task(entry.stop())
        await asyncio.sleep(PAUSE_S)
        got = await caller.read_response()
        await stop_task
        assert (got.status, got.complete) == (200, True)
        assert len(got.body) > LARGE_BYTES

    run(body, SMALL_SITE, grace_s=SLOW_GRACE_S, address_lifetime_s=ADDRESS_LIFETIME_SHORT_S)


def test_request_whose_body_is_still_being_read_gets_a_response() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        caller = await connect(entry)
        await caller.send('/order/1', body=BODY, deadline_ms=300)
        stop_task = asyncio.create_task(entry.stop())
        await asyncio.sleep(PAUSE_S)
        caller.send_second_half(BODY)
        got = await caller.read_response()
        await stop_task
        assert (got.status, got.complete) == (200, True)

    run(body, SMALL_SITE, grace_s=GRACE_S, address_lifetime_s=ADDRESS_LIFETIME_SHORT_S)


def test_stream_requested_late_after_the_signal_is_refused_at_once() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for model in site.models:
            model.pause_s = 0.25
            model.events = 9
        stop_task = asyncio.create_task(entry.stop())
        await asyncio.sleep(GRACE_S * 0.55)
        got = await send_request(entry, '/draft/1')
        await stop_task
        assert got.complete
        assert (got.status, got.code) == SHUTTING_DOWN
        assert not any(model.runs for model in site.models)
        assert 0 < float(got.headers['retry-after']) <= OTHER_ENTRY_RETRY_AFTER_S
        assert got.headers['connection'] == 'close'

    run(body, SMALL_SITE, grace_s=GRACE_S)


def test_short_request_is_accepted_late_after_the_signal() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        stop_task = asyncio.create_task(entry.stop())
        await asyncio.sleep(GRACE_S * 0.55)
        got = await send_request(entry, '/order/1', deadline_ms=500)
        await stop_task
        assert (got.status, got.complete) == (200, True)

    run(body, SMALL_SITE, grace_s=GRACE_S)


def test_caller_with_a_cached_address_gets_an_error_response() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        stop_task = asyncio.create_task(entry.stop())
        await asyncio.sleep(GRACE_S * 0.75)
        got = await send_request(entry, '/order/1')
        await stop_task
        assert got.complete
        assert (got.status, got.code) == SHUTTING_DOWN

    run(body, SMALL_SITE, grace_s=GRACE_S)


def test_response_started_before_the_signal_announces_the_close_of_its_connection() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for plain in site.plain:
            plain.pause_s = 0.3
        request_task = asyncio.create_task(send_request(entry, '/order/1'))
        await wait_until(lambda: any(plain.running for plain in site.plain))
        stop_task = asyncio.create_task(entry.stop())
        got = await request_task
        await stop_task
        assert (got.status, got.complete) == (200, True)
        assert got.headers['connection'] == 'close'

    run(body, SMALL_SITE, grace_s=1)


async def stalled_stream(site: DirectSite) -> CallerResponse:
    """Request a stream whose backend server stalls for a while after its first events."""
    for model in site.models:
        model.pause_s = 0.1
    request_task = asyncio.create_task(send_request(site.entries[0], '/draft/1'))
    await wait_until(lambda: any(model.running for model in site.models))
    stalled = next(model for model in site.models if model.running)
    await asyncio.sleep(0.25)
    stalled.pause_s = 1.6
    for other in site.models:
        if other is not stalled:
            other.running = 400
    await asyncio.sleep(0.5)
    stalled.pause_s = 0.05
    return await request_task


def test_stalled_stream_continues_when_no_other_replica_has_capacity() -> None:
    async def body(site: DirectSite) -> None:
        got = await stalled_stream(site)
        assert (got.status, got.complete) == (200, True)

    run(body)


@pytest.mark.parametrize(('path', 'pause_s'), [('/draft/1', 1.6), ('/lookup/1', 0.7)])
def test_request_stays_at_a_stalled_replica_when_the_retry_budget_is_spent(
    path: str, pause_s: float
) -> None:
    async def body(site: DirectSite) -> None:
        for backend in (*site.models, *site.plain):
            backend.pause_s = pause_s
            backend.events = 2
        got = await send_request(site.entries[0], path, deadline_ms=3900)
        assert (got.status, got.complete) == (200, True)

    run(body, SMALL_SITE, retry_ratio=0, retry_slack=0)


def test_request_still_at_a_replica_at_the_end_gets_an_error_response() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.pause_s = 60
        request_task = asyncio.create_task(send_request(site.entries[0], '/order/1'))
        await wait_until(lambda: any(plain.running for plain in site.plain))
        await site.entries[0].stop()
        got = await request_task
        assert (got.status, got.complete) == (502, True)
        assert (got.code, json.loads(got.body)['ran']) == (1010, 'unknown')

    run(body, SMALL_SITE, grace_s=1)


def test_request_with_an_incomplete_body_is_reported_as_not_run_at_the_end() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        caller = await connect(entry)
        await caller.send('/order/1', body=BODY)
        await wait_until(lambda: bool(entry.frontend.open))
        await entry.stop()
        got = await caller.read_response()
        assert got.complete
        assert (got.status, got.code) == SHUTTING_DOWN
        assert json.loads(got.body)['ran'] == 'no'

    run(body, SMALL_SITE, grace_s=1)


def test_request_read_at_the_very_end_is_refused_and_not_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        caller = await connect(entry)
        await caller.send('/order/1', body=BODY)
        await wait_until(lambda: bool(entry.frontend.open))
        exchange = next(iter(entry.frontend.open))
        finish = exchange.finish

        def finish_at_the_end() -> None:
            finish()
            entry.frontend.closing = True
            entry.frontend.abandon()

        monkeypatch.setattr(exchange, 'finish', finish_at_the_end)
        caller.send_second_half(BODY)
        got = await caller.read_response()
        assert (got.status, got.code) == SHUTTING_DOWN
        assert not entry.frontend.open

    run(body)


def test_callers_that_keep_retrying_do_not_delay_the_shutdown() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        started_at = asyncio.get_running_loop().time()
        stop_task = asyncio.create_task(entry.stop())
        await asyncio.sleep(ADDRESS_LIFETIME_S * ADDRESS_HOLD_LIFETIMES - 1)
        refusals = 0
        while not stop_task.done():
            try:
                got = await send_request(entry, '/order/1', deadline_ms=9000)
            except ConnectionError:
                break
            refusals += (got.status, got.code) == SHUTTING_DOWN
        await stop_task
        assert refusals > 20
        assert (
            asyncio.get_running_loop().time() - started_at
            < ADDRESS_LIFETIME_S * ADDRESS_HOLD_LIFETIMES + 1
        )

    run(body, SMALL_SITE, grace_s=9)
