"""Replicas that say that they leave, or want nothing for a while, get nothing more."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from direct_callers import Got, ask, run_virtually, until

from cassiahitch.codes import Code
from cassiahitch.direct.backends import pool
from cassiahitch.direct.backends.connection import BackendConnection, connect
from cassiahitch.direct.entry import DirectEntry
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.metrics.names import CounterName
from cassiahitch.metrics.snapshots import Series
from cassiahitch.standins.backends import BackendStandin, Fault
from cassiahitch.standins.directsite import DirectSite, DirectSize

PAUSE_S = 2.0
#: Seconds in which the store's news reach an entry.
SPREAD_S = 0.5
#: Requests at once of which one replica refuses none.
FEW = 4
#: Seconds that a request takes, so that several run at once.
TAKES_S = 0.05


def reached(backend: BackendStandin) -> int:
    return len(backend.runs) + backend.refused.total()


async def ask_until(entry: DirectEntry, path: str, condition: Callable[[], bool]) -> None:
    """Ask until something is so."""
    for _ in range(50):
        if condition():
            return
        answers = await ask_often(entry, path)
        assert {got.status for got in answers} == {200}
    raise AssertionError


async def ask_often(entry: DirectEntry, path: str = '/lookup/1', count: int = FEW) -> list[Got]:
    return await asyncio.gather(*(ask(entry, path) for _ in range(count)))


def counted(entry: DirectEntry, name: CounterName, label: str) -> int:
    return entry.parts.telemetry.metrics.snapshot().counters.get(Series(name, label), 0)


@pytest.mark.parametrize('path', ['/lookup/1', '/order/1', '/draft/1'])
def test_replica_that_says_that_it_leaves_gets_nothing_more(path: str) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        backends = site.models if path.startswith('/draft') else site.plain
        for one in backends:
            one.pause_s = TAKES_S
        await ask_until(entry, path, lambda: reached(backends[0]) > 0)
        backends[0].leaving = True
        service = backends[0].service
        await ask_until(
            entry, path, lambda: counted(entry, CounterName.replicas_leaving, service) > 0
        )
        before = reached(backends[0])
        for _ in range(3):
            # The list still names it, again and again, as ready.
            site.register(backends[0])
            await asyncio.sleep(SPREAD_S)
            assert {got.status for got in await ask_often(entry, path)} == {200}
        assert reached(backends[0]) == before
        assert counted(entry, CounterName.replicas_leaving, service) == 1
        key = f'{backends[0].id}@{backends[0].born_ms}'
        assert key not in entry.parts.runner.attempts.pool.idle

    run_virtually(body)


def test_next_start_of_a_replica_that_left_is_used() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for one in site.plain:
            one.leaving = True
        # All may go to the first one, and then all to the other.
        for _ in site.plain:
            await ask_often(entry)
        refused = await ask(entry, '/lookup/1')
        assert (refused.status, refused.code) == (503, Code.no_replica.value)
        site.plain[0].leaving = False
        site.plain[0].born_ms += 1
        site.register(site.plain[0])
        await asyncio.sleep(SPREAD_S)
        assert {got.status for got in await ask_often(entry)} == {200}

    run_virtually(body)


def test_what_runs_at_a_replica_that_leaves_goes_on() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for model in site.models:
            model.pause_s = 0.3
        running = [asyncio.create_task(ask(entry, '/draft/1')) for _ in range(6)]
        await until(lambda: all(model.running for model in site.models))
        for model in site.models:
            model.leaving = True
        await ask(entry, '/draft/2')
        assert all(got.whole for got in await asyncio.gather(*running))

    run_virtually(body)


def test_engine_whose_agent_hears_that_it_leaves_gets_no_request_and_no_load() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        await ask_often(entry, '/draft/1')
        site.models[0].leaving = True
        await asyncio.sleep(SPREAD_S)
        before = reached(site.models[0])
        await ask_often(entry, '/draft/1')
        assert reached(site.models[0]) == before
        site.declare(2)
        engines = [model.engine for model in site.models]
        await until(lambda: engines[1] is not None and engines[1].version == 2)
        await asyncio.sleep(2)
        assert engines[0] is not None
        assert (engines[0].version, engines[0].orders) == (1, 0)

    run_virtually(body)


@pytest.mark.parametrize('path', ['/lookup/1', '/order/1', '/draft/1'])
def test_replica_that_asks_for_a_pause_gets_nothing_until_its_end(path: str) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        backend = (site.models if path.startswith('/draft') else site.plain)[0]
        for one in (*site.plain, *site.models):
            one.pause_s = TAKES_S
        backend.fault = Fault.ask_pause
        backend.asked_pause_s = PAUSE_S
        await ask_until(entry, path, lambda: reached(backend) > 0)
        began = asyncio.get_running_loop().time()
        before = reached(backend)
        while asyncio.get_running_loop().time() < began + 0.9 * PAUSE_S:
            assert {got.status for got in await ask_often(entry, path)} == {200}
            await asyncio.sleep(0.1)
        assert reached(backend) == before
        backend.fault = Fault.none
        await asyncio.sleep(PAUSE_S)
        await ask_often(entry, path, 24)
        assert reached(backend) > before
        assert counted(entry, CounterName.replica_pauses, backend.service) == 1

    run_virtually(body)


def test_callers_are_told_when_the_first_of_all_that_pause_is_free() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        clock = asyncio.get_running_loop().time
        for one in site.plain:
            one.fault = Fault.ask_pause
            one.asked_pause_s = PAUSE_S
        for _ in site.plain:
            await ask_often(entry)
        began = clock()
        before = [reached(one) for one in site.plain]
        answers = await ask_often(entry)
        assert round(clock() - began) == 0
        assert [reached(one) for one in site.plain] == before
        assert {(got.status, got.code) for got in answers} == {(503, Code.overloaded.value)}
        times = [float(got.headers['retry-after']) for got in answers]
        assert PAUSE_S - 0.2 <= min(times)
        assert max(times) <= PAUSE_S + 1
        assert round(10 * (max(times) - min(times))) > 1

    run_virtually(body)


def test_longest_pause_is_bounded_by_the_settings() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for one in site.plain:
            one.pause_s = TAKES_S
        site.plain[0].faults = [Fault.ask_pause]
        site.plain[0].asked_pause_s = 1e6
        await ask_until(entry, '/lookup/1', lambda: reached(site.plain[0]) > 0)
        await asyncio.sleep(entry.settings.longest_pause_s + 2)
        await ask_often(entry, count=24)
        assert site.plain[0].runs

    run_virtually(body)


@pytest.mark.parametrize('leaves', [True, False])
def test_request_that_waits_for_a_connection_is_placed_anew(
    monkeypatch: pytest.MonkeyPatch, *, leaves: bool
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        signals = entry.parts.runner.attempts.signals
        marked: list[Replica] = []

        async def slow(replica: Replica, timeout_s: float) -> BackendConnection:
            connection = await connect(replica, timeout_s)
            if not marked:
                marked.append(replica)
                if leaves:
                    signals.mark_stopping(replica, 'test')
                else:
                    signals.mark_paused(replica, PAUSE_S)
            return connection

        monkeypatch.setattr(pool, 'connect', slow)
        assert (await ask(entry, '/order/1')).status == 200
        own = next(one for one in site.plain if one.id == marked[0].id)
        assert not reached(own)

    run_virtually(body)


def test_headers_that_cannot_be_read_are_ignored_and_counted() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for one in site.plain:
            one.odd_headers = {'Server-Leaving': 'maybe', 'Retry-After': 'soon'}
        assert {got.status for got in await ask_often(entry)} == {200}
        assert counted(entry, CounterName.headers_unreadable, 'Server-Leaving') == FEW

    run_virtually(body)


def test_pause_of_one_entry_is_not_that_of_another() -> None:
    async def body(site: DirectSite) -> None:
        first, second = site.entries
        for one in site.plain:
            one.faults = [Fault.ask_pause]
            one.asked_pause_s = PAUSE_S
        await ask_often(first, count=2)
        assert {got.status for got in await ask_often(second)} == {200}

    run_virtually(body, DirectSize(entries=2, models=1, plain=2))
