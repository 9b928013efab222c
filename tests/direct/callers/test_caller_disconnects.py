"""Backend servers do not continue to work for callers that have disconnected."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

import pytest
from direct_callers import run, run_site_in_virtual_time, send_request, wait_until
from slow_callers import connect

from cassiahitch.direct.backends import pool
from cassiahitch.direct.backends.connection import BackendConnection, ConnectFailed
from cassiahitch.direct.callers.progress import Phase
from cassiahitch.metrics.names import CounterName
from cassiahitch.metrics.snapshots import Series
from cassiahitch.standins.backends import BackendStandin
from cassiahitch.standins.configurations import CALLER_API_KEY
from cassiahitch.standins.directsite import DirectSite
from cassiahitch.standins.faults import Fault

#: Longest time from the disconnect of a caller to the end of its request, in seconds.
REACTION_BOUND_S = 0.5
SECOND_REQUEST = (
    b'GET /lookup/2 HTTP/1.1\r\nHost: menus.example\r\nX-Cassiahitch-Attempt-Id: late\r\n\r\n'
)


def request_count(backends: list[BackendStandin]) -> int:
    return sum(len(backend.runs) + backend.refused.total() for backend in backends)


@pytest.mark.parametrize('resumable', [True, False])
def test_stream_is_cancelled_at_its_engine_when_its_caller_disconnects(*, resumable: bool) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        entry_state = entry.parts.entry_state
        assert entry_state.catalogue is not None
        routes = tuple(
            replace(route, resumable=resumable) for route in entry_state.catalogue.routes
        )
        entry_state.catalogue = replace(entry_state.catalogue, routes=routes)
        for model in site.models:
            model.pause_s = 3
        await send_request(entry, '/draft/1', deadline_ms=8000, disconnect_after_s=0.5)
        await asyncio.sleep(0.5)
        assert not entry.frontend.running

    run(body)


def test_disconnect_is_logged_with_the_phase_and_the_replica_of_the_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for model in site.models:
            model.pause_s = 3
        got = await send_request(entry, '/draft/1', deadline_ms=8000, disconnect_after_s=0.5)
        await wait_until(lambda: not entry.frontend.running)
        record = next(
            vars(log_record)
            for log_record in caplog.records
            if log_record.getMessage() == 'caller left'
        )
        assert (record['request'], record['phase']) == (got.attempt, Phase.replica.value)
        assert record['replica'] in {model.id for model in site.models}
        assert round(record['placed_s'] * 10) in range(3, 7)
        counted = entry.parts.telemetry.metrics.snapshot().counters
        assert counted[Series(CounterName.requests_cancelled, Phase.replica.name)] == 1

    caplog.set_level('INFO')
    run_site_in_virtual_time(body)


def test_request_is_not_retried_after_its_caller_disconnected() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.fault = Fault.refuse_late
            plain.pause_s = 0.8
        await send_request(site.entries[0], '/order/1', disconnect_after_s=0.2)
        await asyncio.sleep(3)
        assert request_count(site.plain) == 1

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('path', ['/order/1', '/lookup/1', '/draft/1'])
def test_request_is_not_sent_if_its_caller_disconnects_during_the_connect(
    monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    attempts: list[str] = []

    async def connect_timeout(replica: object, timeout_s: float) -> BackendConnection:
        attempts.append(str(replica))
        await asyncio.sleep(timeout_s)
        raise ConnectFailed('timed out while connecting', refused=False)

    async def body(site: DirectSite) -> None:
        monkeypatch.setattr(pool, 'connect', connect_timeout)
        await send_request(site.entries[0], path, disconnect_after_s=0.1)
        await asyncio.sleep(2)
        assert len(attempts) == 1

    run_site_in_virtual_time(body)


@pytest.mark.parametrize(
    'trailing',
    [b'\r\n', SECOND_REQUEST, SECOND_REQUEST * 20, b'x'],
    ids=['empty line', 'second', 'many', 'byte'],
)
@pytest.mark.parametrize('wait_s', [0, 0.3], ids=['with the request', 'later'])
def test_disconnect_is_detected_behind_bytes_after_the_request(
    trailing: bytes, wait_s: float
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for model in site.models:
            model.pause_s = 3
        caller = await connect(entry)
        await caller.send('/draft/1', deadline_ms=8000)
        await asyncio.sleep(wait_s)
        caller.writer.write(trailing)
        await wait_until(lambda: any(model.running for model in site.models))
        await asyncio.sleep(0.05)
        caller.writer.close()
        await asyncio.sleep(REACTION_BOUND_S)
        assert not entry.frontend.running
        assert not request_count(site.plain)

    run_site_in_virtual_time(body)


def test_request_is_not_sent_if_its_caller_disconnected_before_it_was_read() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        # Opens connections to both replicas, so that no request waits for one.
        await asyncio.gather(*(send_request(entry, '/lookup/0') for _ in range(8)))
        count_before = request_count(site.plain)
        callers = entry.settings.callers
        request = (
            'GET /lookup/1 HTTP/1.1\r\nHost: menus.example\r\nX-Cassiahitch-Deadline-Ms: 3000\r\n'
            f'X-Cassiahitch-Attempt-Id: a\r\nX-Cassiahitch-Key: {CALLER_API_KEY}\r\n\r\n'
        )
        # Blocks the event loop of the entry until the connection is closed again.
        with socket.create_connection((callers.address, callers.port)) as connection:
            connection.sendall(request.encode())
        await asyncio.sleep(REACTION_BOUND_S)
        assert request_count(site.plain) == count_before

    run_site_in_virtual_time(body)
