"""The rate limit of a replica holds through retries, lost datagrams, restarts and changes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

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

from cassiahitch.standins.backends import BackendStandin
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize
from cassiahitch.standins.faults import Fault
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import DatagramMessage
from cassiahitch.wire.datagrams import DatagramSocket

NINE_ENTRIES = DirectSiteSize(entries=9, models=3, plain=3)
LIMIT_PER_S = 2.0
LOAD_PER_S = 30.0
LOAD_S = 12.0
PATHS = ('/draft/1', UNREPORTED_PATH, '/lookup/1')


def limit_all(backends: list[BackendStandin], per_s: float | None) -> None:
    for backend in backends:
        backend.limit_per_s = per_s


def current_time() -> float:
    return asyncio.get_running_loop().time()


def require_limit_kept(
    backends: list[BackendStandin], since: float, per_s: float = LIMIT_PER_S
) -> None:
    for backend in backends:
        assert most_in_window(backend.arrivals, since) <= allowed_in_window(per_s)


def drop_datagrams(
    monkeypatch: pytest.MonkeyPatch, is_lost: Callable[[DatagramSocket, Endpoint], bool]
) -> None:
    send = DatagramSocket.send

    def lossy_send(self: DatagramSocket, message: DatagramMessage, receiver: Endpoint) -> None:
        if not is_lost(self, receiver):
            send(self, message, receiver)

    monkeypatch.setattr(DatagramSocket, 'send', lossy_send)


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('fault', [Fault.refuse, Fault.lose, Fault.cut, Fault.fail])
def test_retries_and_resumed_streams_count_towards_the_limit(path: str, fault: Fault) -> None:
    async def body(site: DirectSite) -> None:
        named_at = current_time()
        limited, *others = backends_of(site, path)
        limited.limit_per_s = LIMIT_PER_S
        for other in others:
            other.fault = fault
        await Load(site, path, LOAD_PER_S).run(LOAD_S)
        require_limit_kept([limited], named_at + STABLE_S)

    run_site_in_virtual_time(body, NINE_ENTRIES)


@pytest.mark.parametrize('path', PATHS)
def test_requests_that_the_limited_replica_refuses_count_towards_the_limit(path: str) -> None:
    async def body(site: DirectSite) -> None:
        named_at = current_time()
        limited, *others = backends_of(site, path)
        limited.limit_per_s = LIMIT_PER_S
        limited.fault = Fault.refuse
        for other in others:
            other.pause_s = 0.05
        await Load(site, path, LOAD_PER_S).run(LOAD_S)
        require_limit_kept([limited], named_at + STABLE_S)

    run_site_in_virtual_time(body, NINE_ENTRIES)


@pytest.mark.parametrize('path', PATHS)
def test_limit_is_kept_and_used_while_datagrams_are_lost(
    monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    rng = random.Random(1)

    async def body(site: DirectSite) -> None:
        drop_datagrams(monkeypatch, lambda _socket, _receiver: not rng.randrange(5))
        named_at = current_time()
        backends = backends_of(site, path)
        limit_all(backends, LIMIT_PER_S)
        await Load(site, path, LOAD_PER_S).run(LOAD_S)
        require_limit_kept(backends, named_at + STABLE_S)
        used = sum(at >= named_at + STABLE_S for backend in backends for at in backend.arrivals)
        assert used >= 0.5 * len(backends) * LIMIT_PER_S * (LOAD_S - STABLE_S)

    run_site_in_virtual_time(body, NINE_ENTRIES)


@pytest.mark.parametrize('path', PATHS)
def test_entries_without_contact_to_the_agents_do_not_exceed_the_limit(
    monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    async def body(site: DirectSite) -> None:
        named_at = current_time()
        limit_all(backends_of(site, path), LIMIT_PER_S)
        agents = {agent.settings.address for agent in site.agents}
        entries = [entry.parts.messenger.socket for entry in site.entries[:4]]
        load = Load(site, path, LOAD_PER_S)
        await load.run(4)
        drop_datagrams(
            monkeypatch,
            lambda socket, receiver: (
                receiver.address in agents and any(socket is entry for entry in entries)
            ),
        )
        await load.run(LOAD_S - 4)
        require_limit_kept(backends_of(site, path), named_at + STABLE_S)

    run_site_in_virtual_time(body, NINE_ENTRIES)


@pytest.mark.parametrize('path', PATHS)
def test_restarted_agents_do_not_grant_the_limit_again(path: str) -> None:
    async def body(site: DirectSite) -> None:
        named_at = current_time()
        limit_all(backends_of(site, path), LIMIT_PER_S)
        load = asyncio.create_task(Load(site, path, LOAD_PER_S).run(LOAD_S))
        for _ in range(8):
            await asyncio.sleep(1.2)
            for position, _agent in enumerate(tuple(site.agents)):
                await site.restart_agent(position)
        await load
        require_limit_kept(backends_of(site, path), named_at + STABLE_S)

    run_site_in_virtual_time(body, NINE_ENTRIES)


@pytest.mark.parametrize('path', PATHS)
def test_new_entries_learn_the_limit_before_they_send(path: str) -> None:
    async def body(site: DirectSite) -> None:
        limited, *others = backends_of(site, path)
        limited.limit_per_s = LIMIT_PER_S
        for other in others:
            other.pause_s = 0.02
        await Load(site, path, LOAD_PER_S).run(4)
        for number in range(9, 13):
            await site.add_entry(number)
        await site.wait_until_ready()
        await asyncio.sleep(2)
        since = current_time()
        await Load(site, path, LOAD_PER_S, first_entry=9).run(4)
        require_limit_kept([limited], since)

    run_site_in_virtual_time(body, NINE_ENTRIES)


@pytest.mark.parametrize('path', PATHS)
def test_lowered_limit_applies_and_a_raised_one_is_used(path: str) -> None:
    async def body(site: DirectSite) -> None:
        backends = backends_of(site, path)
        limit_all(backends, 20)
        load = Load(site, path, 3 * LOAD_PER_S)
        await load.run(6)
        limit_all(backends, LIMIT_PER_S)
        lowered_at = current_time()
        await load.run(8)
        require_limit_kept(backends, lowered_at + STABLE_S)
        limit_all(backends, 20)
        raised_at = current_time()
        await load.run(6)
        require_limit_kept(backends, raised_at, 20)
        for backend in backends:
            used = sum(at >= raised_at + STABLE_S for at in backend.arrivals)
            assert used >= 0.75 * 20 * STABLE_S

    run_site_in_virtual_time(body, NINE_ENTRIES)


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('per_s', [LIMIT_PER_S, 0])
def test_end_of_the_limit_is_noticed_by_all_entries(path: str, per_s: float) -> None:
    async def body(site: DirectSite) -> None:
        backends = backends_of(site, path)
        limit_all(backends, per_s)
        named_at = current_time()
        await Load(site, path, LOAD_PER_S).run(10)
        require_limit_kept(backends, named_at + STABLE_S, per_s)
        limit_all(backends, None)
        # A limit of nothing ends with one of the rare requests that are sent nevertheless.
        await Load(site, path, LOAD_PER_S).run(6)
        load = Load(site, path, LOAD_PER_S)
        await load.run(2)
        assert {got.status for got in load.responses} == {200}

    run_site_in_virtual_time(body, NINE_ENTRIES)
