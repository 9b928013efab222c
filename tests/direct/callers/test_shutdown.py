"""An entry that is told to stop ends no answer that it can finish."""

from __future__ import annotations

import asyncio
import json

import pytest
from direct_callers import SMALL, Got, ask, run, until
from slow_callers import connect

from cassiahitch.direct.callers.limits import RETRY_AFTER_S
from cassiahitch.direct.entry import ADDRESS_HOLD_LIFETIMES, ADDRESS_LIFETIME_S
from cassiahitch.settings.limits import ResponseLimits
from cassiahitch.standins.directsite import DirectSite

GRACE_S = 4.0
#: Bytes of an answer that is larger than the buffers of all sockets on its way.
LARGE_BYTES = 8_000_000
#: Grace period in which a caller has time to read that beside other work on the machine.
SLOW_GRACE_S = 6.0
#: Lifetime of addresses after which an entry ends early if nothing is open, and a pause of a
#: caller that is longer than callers hold the address.
SHORT_S = 0.2
PAUSE_S = 1.5
BODY = b'x' * 1000
LEAVING = (503, 1010)


@pytest.mark.parametrize('held', [True, False], ids=['held whole', 'passed on in pieces'])
def test_caller_that_reads_slowly_gets_its_whole_answer(*, held: bool) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for plain in site.plain:
            plain.padding = LARGE_BYTES
        if held:
            whole = 2 * LARGE_BYTES
            bounds = ResponseLimits(
                buffer_bytes=whole, total_buffer_bytes=whole, max_response_bytes=whole
            )
            entry.parts.runner.attempts.response_relay.buffer_budget.bounds = bounds
        caller = await connect(entry)
        await caller.send('/lookup/1')
        await until(lambda: any(plain.runs for plain in site.plain))
        await until(lambda: any(one.response_started for one in entry.frontend.open))
        if held:
            await until(lambda: not entry.frontend.running)
        stopped = asyncio.create_task(entry.stop())
        await asyncio.sleep(PAUSE_S)
        got = await caller.answer()
        await stopped
        assert (got.status, got.whole) == (200, True)
        assert len(got.body) > LARGE_BYTES

    run(body, SMALL, grace_s=SLOW_GRACE_S, address_lifetime_s=SHORT_S)


def test_request_whose_body_is_still_being_read_is_answered() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        caller = await connect(entry)
        await caller.send('/order/1', body=BODY, deadline_ms=300)
        stopped = asyncio.create_task(entry.stop())
        await asyncio.sleep(PAUSE_S)
        caller.send_rest(BODY)
        got = await caller.answer()
        await stopped
        assert (got.status, got.whole) == (200, True)

    run(body, SMALL, grace_s=GRACE_S, address_lifetime_s=SHORT_S)


def test_stream_that_is_read_late_after_the_signal_is_finished_or_refused_at_once() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for model in site.models:
            model.pause_s = 0.25
            model.events = 9
        stopped = asyncio.create_task(entry.stop())
        await asyncio.sleep(GRACE_S * 0.55)
        got = await ask(entry, '/draft/1')
        await stopped
        assert got.whole
        assert (got.status, got.code) == LEAVING
        assert not any(model.runs for model in site.models)
        assert 0 < float(got.headers['retry-after']) <= RETRY_AFTER_S
        assert got.headers['connection'] == 'close'

    run(body, SMALL, grace_s=GRACE_S)


def test_request_that_ends_in_time_is_taken_late_after_the_signal() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        stopped = asyncio.create_task(entry.stop())
        await asyncio.sleep(GRACE_S * 0.55)
        got = await ask(entry, '/order/1', deadline_ms=500)
        await stopped
        assert (got.status, got.whole) == (200, True)

    run(body, SMALL, grace_s=GRACE_S)


def test_caller_that_still_holds_the_address_is_answered_and_not_refused_a_connection() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        stopped = asyncio.create_task(entry.stop())
        await asyncio.sleep(GRACE_S * 0.75)
        got = await ask(entry, '/order/1')
        await stopped
        assert got.whole
        assert (got.status, got.code) == LEAVING

    run(body, SMALL, grace_s=GRACE_S)


def test_kept_connection_is_told_that_it_closes_by_an_answer_begun_before_the_signal() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for plain in site.plain:
            plain.pause_s = 0.3
        asked = asyncio.create_task(ask(entry, '/order/1'))
        await until(lambda: any(plain.running for plain in site.plain))
        stopped = asyncio.create_task(entry.stop())
        got = await asked
        await stopped
        assert (got.status, got.whole) == (200, True)
        assert got.headers['connection'] == 'close'

    run(body, SMALL, grace_s=1)


async def silent_stream(site: DirectSite) -> Got:
    """Ask for a stream whose backend server is silent for long after its first events."""
    for model in site.models:
        model.pause_s = 0.1
    asked = asyncio.create_task(ask(site.entries[0], '/draft/1'))
    await until(lambda: any(model.running for model in site.models))
    silent = next(model for model in site.models if model.running)
    await asyncio.sleep(0.25)
    silent.pause_s = 1.6
    for other in site.models:
        if other is not silent:
            other.running = 400
    await asyncio.sleep(0.5)
    silent.pause_s = 0.05
    return await asked


def test_stream_of_a_silent_replica_goes_on_when_no_other_place_is_to_be_had() -> None:
    async def body(site: DirectSite) -> None:
        got = await silent_stream(site)
        assert (got.status, got.whole) == (200, True)

    run(body)


@pytest.mark.parametrize(('path', 'pause_s'), [('/draft/1', 1.6), ('/lookup/1', 0.7)])
def test_silent_replica_is_waited_for_when_no_retry_is_to_be_had(path: str, pause_s: float) -> None:
    async def body(site: DirectSite) -> None:
        for backend in (*site.models, *site.plain):
            backend.pause_s = pause_s
            backend.events = 2
        got = await ask(site.entries[0], path, deadline_ms=3900)
        assert (got.status, got.whole) == (200, True)

    run(body, SMALL, retry_ratio=0, retry_slack=0)


def test_request_that_is_still_at_a_replica_at_the_end_is_answered() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.pause_s = 60
        asked = asyncio.create_task(ask(site.entries[0], '/order/1'))
        await until(lambda: any(plain.running for plain in site.plain))
        await site.entries[0].stop()
        got = await asked
        assert (got.status, got.whole) == (502, True)
        assert (got.code, json.loads(got.body)['ran']) == (1010, 'unknown')

    run(body, SMALL, grace_s=1)


def test_request_whose_body_never_comes_is_told_at_the_end_that_it_did_not_run() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        caller = await connect(entry)
        await caller.send('/order/1', body=BODY)
        await until(lambda: bool(entry.frontend.open))
        await entry.stop()
        got = await caller.answer()
        assert got.whole
        assert (got.status, got.code) == LEAVING
        assert json.loads(got.body)['ran'] == 'no'

    run(body, SMALL, grace_s=1)


def test_request_read_at_the_very_end_is_refused_and_not_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        caller = await connect(entry)
        await caller.send('/order/1', body=BODY)
        await until(lambda: bool(entry.frontend.open))
        exchange = next(iter(entry.frontend.open))
        finish = exchange.finish

        def finish_at_the_end() -> None:
            finish()
            entry.frontend.closing = True
            entry.frontend.abandon()

        monkeypatch.setattr(exchange, 'finish', finish_at_the_end)
        caller.send_rest(BODY)
        got = await caller.answer()
        assert (got.status, got.code) == LEAVING
        assert not entry.frontend.open

    run(body)


def test_callers_that_are_refused_again_and_again_do_not_keep_the_process() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        began = asyncio.get_running_loop().time()
        stopped = asyncio.create_task(entry.stop())
        await asyncio.sleep(ADDRESS_LIFETIME_S * ADDRESS_HOLD_LIFETIMES - 1)
        refusals = 0
        while not stopped.done():
            try:
                got = await ask(entry, '/order/1', deadline_ms=9000)
            except ConnectionError:
                break
            refusals += (got.status, got.code) == LEAVING
        await stopped
        assert refusals > 20
        assert (
            asyncio.get_running_loop().time() - began
            < ADDRESS_LIFETIME_S * ADDRESS_HOLD_LIFETIMES + 1
        )

    run(body, SMALL, grace_s=9)
