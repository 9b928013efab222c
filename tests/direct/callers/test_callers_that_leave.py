"""Backend servers do not work on for callers that have left."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

import pytest
from direct_callers import ask, run, run_virtually, until
from slow_callers import connect

from cassiahitch.direct.backends import pool
from cassiahitch.direct.backends.connection import BackendConnection, ConnectFailed
from cassiahitch.direct.callers.progress import Phase
from cassiahitch.metrics.names import CounterName
from cassiahitch.metrics.snapshots import Series
from cassiahitch.standins.backends import BackendStandin, Fault
from cassiahitch.standins.configurations import KEY
from cassiahitch.standins.directsite import DirectSite

#: Seconds after the close of a caller after which nothing may be done for it.
BOUND_S = 0.5
SECOND = b'GET /lookup/2 HTTP/1.1\r\nHost: menus.example\r\nX-Cassiahitch-Attempt-Id: late\r\n\r\n'


def reached(backends: list[BackendStandin]) -> int:
    return sum(len(one.runs) + one.refused.total() for one in backends)


@pytest.mark.parametrize('resumable', [True, False])
def test_stream_ends_at_its_engine_when_its_caller_has_left(*, resumable: bool) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        entry_state = entry.parts.entry_state
        assert entry_state.catalogue is not None
        routes = tuple(replace(one, resumable=resumable) for one in entry_state.catalogue.routes)
        entry_state.catalogue = replace(entry_state.catalogue, routes=routes)
        for model in site.models:
            model.pause_s = 3
        await ask(entry, '/draft/1', deadline_ms=8000, leave_after_s=0.5)
        await asyncio.sleep(0.5)
        assert not entry.frontend.running

    run(body)


def test_line_of_a_caller_that_left_says_where_its_request_was(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for model in site.models:
            model.pause_s = 3
        got = await ask(entry, '/draft/1', deadline_ms=8000, leave_after_s=0.5)
        await until(lambda: not entry.frontend.running)
        line = next(vars(one) for one in caplog.records if one.getMessage() == 'caller left')
        assert (line['request'], line['phase']) == (got.attempt, Phase.replica.value)
        assert line['replica'] in {model.id for model in site.models}
        assert round(line['placed_s'] * 10) in range(3, 7)
        counted = entry.parts.telemetry.metrics.snapshot().counters
        assert counted[Series(CounterName.requests_cancelled, Phase.replica.name)] == 1

    caplog.set_level('INFO')
    run_virtually(body)


def test_request_is_not_sent_again_after_its_caller_has_left() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.fault = Fault.refuse_late
            plain.pause_s = 0.8
        await ask(site.entries[0], '/order/1', leave_after_s=0.2)
        await asyncio.sleep(3)
        assert reached(site.plain) == 1

    run_virtually(body)


@pytest.mark.parametrize('path', ['/order/1', '/lookup/1', '/draft/1'])
def test_request_is_not_sent_once_connected_if_its_caller_has_left(
    monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    tries: list[str] = []

    async def silent(replica: object, timeout_s: float) -> BackendConnection:
        tries.append(str(replica))
        await asyncio.sleep(timeout_s)
        raise ConnectFailed('no answer to connecting', refused=False)

    async def body(site: DirectSite) -> None:
        monkeypatch.setattr(pool, 'connect', silent)
        await ask(site.entries[0], path, leave_after_s=0.1)
        await asyncio.sleep(2)
        assert len(tries) == 1

    run_virtually(body)


@pytest.mark.parametrize(
    'behind', [b'\r\n', SECOND, SECOND * 20, b'x'], ids=['empty line', 'second', 'many', 'byte']
)
@pytest.mark.parametrize('wait_s', [0, 0.3], ids=['with it', 'later'])
def test_leaving_is_noticed_behind_bytes_that_follow_the_request(
    behind: bytes, wait_s: float
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for model in site.models:
            model.pause_s = 3
        caller = await connect(entry)
        await caller.send('/draft/1', deadline_ms=8000)
        await asyncio.sleep(wait_s)
        caller.writer.write(behind)
        await until(lambda: any(model.running for model in site.models))
        await asyncio.sleep(0.05)
        caller.writer.close()
        await asyncio.sleep(BOUND_S)
        assert not entry.frontend.running
        assert not reached(site.plain)

    run_virtually(body)


def test_request_is_not_sent_if_its_caller_left_before_it_was_read() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        # Connections to both replicas are kept, so that nothing holds a request back.
        await asyncio.gather(*(ask(entry, '/lookup/0') for _ in range(8)))
        before = reached(site.plain)
        callers = entry.settings.callers
        request = (
            'GET /lookup/1 HTTP/1.1\r\nHost: menus.example\r\nX-Cassiahitch-Deadline-Ms: 3000\r\n'
            f'X-Cassiahitch-Attempt-Id: a\r\nX-Cassiahitch-Key: {KEY}\r\n\r\n'
        )
        # The loop of the entry stands still meanwhile.
        with socket.create_connection((callers.address, callers.port)) as own:
            own.sendall(request.encode())
        await asyncio.sleep(BOUND_S)
        assert reached(site.plain) == before

    run_virtually(body)
