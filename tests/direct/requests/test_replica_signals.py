"""Replicas that announce their shutdown or ask for a pause get no new requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

import pytest
from direct_callers import CallerResponse, run_site_in_virtual_time, send_request, wait_until

from cassiahitch.codes import Code
from cassiahitch.direct.backends import pool
from cassiahitch.direct.backends.connection import BackendConnection, connect
from cassiahitch.direct.entry import DirectEntry
from cassiahitch.direct.placement.limiterchoice import STABLE_S
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.metrics.names import CounterName
from cassiahitch.metrics.snapshots import Series
from cassiahitch.settings.direct import DirectEntrySettings
from cassiahitch.standins.backends import BackendStandin
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize
from cassiahitch.standins.faults import Fault

PAUSE_S = 2.0
LONG_PAUSE_S = 45.0
#: Bound on pauses in the settings of a test, which takes less time than the default one.
LONGEST_PAUSE_S = 30.0
#: Time in which a change of the store reaches an entry, in seconds.
PROPAGATION_S = 0.5
#: Number of concurrent requests that a single replica accepts.
CONCURRENT_REQUESTS = 4
#: Duration of a request in seconds, long enough for several to run at once.
REQUEST_DURATION_S = 0.05


def request_count(backend: BackendStandin) -> int:
    return len(backend.runs) + backend.refused.total()


async def request_until(entry: DirectEntry, path: str, condition: Callable[[], bool]) -> None:
    """Send requests until a condition holds; all of them must succeed."""
    for _ in range(50):
        if condition():
            return
        responses = await send_concurrently(entry, path)
        assert {got.status for got in responses} == {200}
    raise AssertionError


async def send_concurrently(
    entry: DirectEntry, path: str = '/lookup/1', count: int = CONCURRENT_REQUESTS
) -> list[CallerResponse]:
    return await asyncio.gather(*(send_request(entry, path) for _ in range(count)))


def counter_value(entry: DirectEntry, name: CounterName, label: str) -> int:
    return entry.parts.telemetry.metrics.snapshot().counters.get(Series(name, label), 0)


@pytest.mark.parametrize('path', ['/lookup/1', '/order/1', '/draft/1'])
def test_replica_that_announces_its_shutdown_gets_no_new_requests(path: str) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        backends = site.models if path.startswith('/draft') else site.plain
        for standin in backends:
            standin.pause_s = REQUEST_DURATION_S
        await request_until(entry, path, lambda: request_count(backends[0]) > 0)
        backends[0].stopping = True
        service = backends[0].service
        await request_until(
            entry, path, lambda: counter_value(entry, CounterName.replicas_leaving, service) > 0
        )
        count_before = request_count(backends[0])
        for _ in range(3):
            # The list still contains it as ready.
            site.register(backends[0])
            await asyncio.sleep(PROPAGATION_S)
            assert {got.status for got in await send_concurrently(entry, path)} == {200}
        assert request_count(backends[0]) == count_before
        assert counter_value(entry, CounterName.replicas_leaving, service) == 1
        key = f'{backends[0].id}@{backends[0].started_at_ms}'
        assert key not in entry.parts.runner.attempts.pool.idle

    run_site_in_virtual_time(body)


def test_restarted_replica_is_used_again() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for standin in site.plain:
            standin.stopping = True
        # Each round marks one replica, as all requests of a round may go to the same one.
        for _ in site.plain:
            await send_concurrently(entry)
        refused = await send_request(entry, '/lookup/1')
        assert (refused.status, refused.code) == (503, Code.no_replica.value)
        site.plain[0].stopping = False
        site.plain[0].started_at_ms += 1
        site.register(site.plain[0])
        await asyncio.sleep(PROPAGATION_S)
        assert {got.status for got in await send_concurrently(entry)} == {200}

    run_site_in_virtual_time(body)


def test_running_requests_continue_at_a_stopping_replica() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for model in site.models:
            model.pause_s = 0.3
        running = [asyncio.create_task(send_request(entry, '/draft/1')) for _ in range(6)]
        await wait_until(lambda: all(model.running for model in site.models))
        for model in site.models:
            model.stopping = True
        await send_request(entry, '/draft/2')
        assert all(got.complete for got in await asyncio.gather(*running))

    run_site_in_virtual_time(body)


def test_stopping_engine_reported_by_its_agent_gets_no_requests_and_no_weights() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        await send_concurrently(entry, '/draft/1')
        site.models[0].stopping = True
        await asyncio.sleep(PROPAGATION_S)
        count_before = request_count(site.models[0])
        await send_concurrently(entry, '/draft/1')
        assert request_count(site.models[0]) == count_before
        site.publish_version(2)
        engines = [model.engine for model in site.models]
        await wait_until(lambda: engines[1] is not None and engines[1].version == 2)
        await asyncio.sleep(2)
        assert engines[0] is not None
        assert (engines[0].version, engines[0].load_sequence) == (1, 0)

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('path', ['/lookup/1', '/order/1', '/draft/1'])
def test_replica_that_asks_for_a_pause_gets_no_requests_until_its_end(path: str) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        backend = (site.models if path.startswith('/draft') else site.plain)[0]
        for standin in (*site.plain, *site.models):
            standin.pause_s = REQUEST_DURATION_S
        backend.fault = Fault.ask_pause
        backend.refusal_retry_after_s = PAUSE_S
        await request_until(entry, path, lambda: request_count(backend) > 0)
        started_at = asyncio.get_running_loop().time()
        count_before = request_count(backend)
        while asyncio.get_running_loop().time() < started_at + 0.9 * PAUSE_S:
            assert {got.status for got in await send_concurrently(entry, path)} == {200}
            await asyncio.sleep(0.1)
        assert request_count(backend) == count_before
        backend.fault = Fault.none
        await asyncio.sleep(PAUSE_S)
        await send_concurrently(entry, path, 24)
        assert request_count(backend) > count_before
        assert counter_value(entry, CounterName.replica_pauses, backend.service) == 1

    run_site_in_virtual_time(body)


def test_retry_after_is_the_end_of_the_first_pause_when_all_replicas_pause() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        clock = asyncio.get_running_loop().time
        for standin in site.plain:
            standin.fault = Fault.ask_pause
            standin.refusal_retry_after_s = PAUSE_S
        for _ in site.plain:
            await send_concurrently(entry)
        started_at = clock()
        count_before = [request_count(standin) for standin in site.plain]
        responses = await send_concurrently(entry, count=24)
        assert round(clock() - started_at) == 0
        assert [request_count(standin) for standin in site.plain] == count_before
        assert {(got.status, got.code) for got in responses} == {(503, Code.overloaded.value)}
        retry_after_s = [float(got.headers['retry-after']) for got in responses]
        assert PAUSE_S - 0.2 <= min(retry_after_s)
        assert max(retry_after_s) <= PAUSE_S + 1
        assert round(10 * (max(retry_after_s) - min(retry_after_s))) > 1

    run_site_in_virtual_time(body)


def test_pause_of_more_than_half_a_minute_lasts_as_long_as_the_replica_asks() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        backend = site.plain[0]
        backend.faults = [Fault.ask_pause]
        backend.refusal_retry_after_s = LONG_PAUSE_S
        for standin in site.plain:
            standin.pause_s = REQUEST_DURATION_S
        await request_until(entry, '/lookup/1', lambda: request_count(backend) > 0)
        await asyncio.sleep(LONG_PAUSE_S - 1)
        count_before = request_count(backend)
        await send_concurrently(entry, count=24)
        assert request_count(backend) == count_before
        await asyncio.sleep(3)
        await send_concurrently(entry, count=24)
        assert request_count(backend) > count_before

    run_site_in_virtual_time(body)


def test_longest_pause_is_bounded_by_the_settings(monkeypatch: pytest.MonkeyPatch) -> None:
    settings = partial(DirectEntrySettings, longest_pause_s=LONGEST_PAUSE_S)
    monkeypatch.setattr('cassiahitch.standins.directsite.DirectEntrySettings', settings)

    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for standin in site.plain:
            standin.pause_s = REQUEST_DURATION_S
        site.plain[0].faults = [Fault.ask_pause]
        site.plain[0].refusal_retry_after_s = 1e6
        await request_until(entry, '/lookup/1', lambda: request_count(site.plain[0]) > 0)
        assert entry.settings.longest_pause_s == LONGEST_PAUSE_S
        await asyncio.sleep(LONGEST_PAUSE_S + 2)
        await send_concurrently(entry, count=24)
        assert site.plain[0].runs

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('stopping', [True, False])
def test_request_that_waits_for_a_connection_moves_to_another_replica(
    monkeypatch: pytest.MonkeyPatch, *, stopping: bool
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        signals = entry.parts.runner.attempts.signals
        marked: list[Replica] = []

        async def connect_and_mark(replica: Replica, timeout_s: float) -> BackendConnection:
            connection = await connect(replica, timeout_s)
            if not marked:
                marked.append(replica)
                if stopping:
                    signals.mark_stopping(replica, 'test')
                else:
                    signals.mark_paused(replica, PAUSE_S)
            return connection

        monkeypatch.setattr(pool, 'connect', connect_and_mark)
        assert (await send_request(entry, '/order/1')).status == 200
        marked_backend = next(standin for standin in site.plain if standin.id == marked[0].id)
        assert not request_count(marked_backend)

    run_site_in_virtual_time(body)


def test_invalid_headers_are_ignored_and_counted() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for standin in site.plain:
            standin.extra_headers = {
                'Server-Leaving': 'maybe',
                'Retry-After': 'soon',
                'Server-Limit': 'few',
            }
        assert {got.status for got in await send_concurrently(entry)} == {200}
        for name in ('Server-Leaving', 'Server-Limit'):
            ignored = counter_value(entry, CounterName.headers_unreadable, name)
            assert ignored == CONCURRENT_REQUESTS

    run_site_in_virtual_time(body)


def test_rate_limit_is_recorded_until_a_later_response_names_none(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        site.plain[0].extra_headers = {'Server-Limit': '20'}
        await request_until(entry, '/lookup/1', lambda: request_count(site.plain[0]) > 0)
        service = site.plain[0].service
        assert counter_value(entry, CounterName.rate_limits_named, service) == 1
        key = f'{site.plain[0].id}@{site.plain[0].started_at_ms}'
        rate_limits = entry.parts.entry_state.rate_limits
        assert rate_limits.tracker(key).current.per_s == 20
        site.plain[0].extra_headers = {}
        # Until then, the agent that limits the rate is not certain.
        await asyncio.sleep(STABLE_S)
        assert (await send_request(entry, '/lookup/1')).status == 503
        await asyncio.sleep(1)
        assert (await send_request(entry, '/lookup/1')).status == 200
        assert not rate_limits.is_limited(key)
        messages = [record.message for record in caplog.records]
        assert messages.count('replica names a rate limit') == 1
        assert messages.count('rate limit of a replica is over') == 1

    caplog.set_level('INFO')
    run_site_in_virtual_time(body, DirectSiteSize(entries=1, models=1, plain=1))


def test_pause_requested_from_one_entry_does_not_apply_to_another() -> None:
    async def body(site: DirectSite) -> None:
        first, second = site.entries
        for standin in site.plain:
            standin.faults = [Fault.ask_pause]
            standin.refusal_retry_after_s = PAUSE_S
        await send_concurrently(first, count=2)
        assert {got.status for got in await send_concurrently(second)} == {200}

    run_site_in_virtual_time(body, DirectSiteSize(entries=2, models=1, plain=2))
