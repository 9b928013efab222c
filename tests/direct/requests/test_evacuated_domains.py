"""Evacuated failure domains receive no requests from entries that reach the store.

Guards against requests that reach replicas of a failure domain after its evacuation: first sends,
retries, resumed streams and requests that waited for a connection; through entries that do not read
the store themselves, entries that start during the evacuation, and an outage of the store.
"""

from __future__ import annotations

import asyncio

import pytest
from direct_callers import run_site_in_virtual_time, send_request, wait_until
from limited_replicas import Load, backends_of

from cassiahitch.codes import Code
from cassiahitch.direct.state.evacuations import RETURN_RAMP_UP_S
from cassiahitch.standins.backends import BackendStandin
from cassiahitch.standins.configurations import FAILURE_DOMAINS
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize
from cassiahitch.standins.faults import Fault

#: Seconds after the operator's write within which the evacuation is in effect.
EVACUATION_S = 5.0
LOAD_PER_S = 25.0
LOAD_S = 6.0
#: Most seconds that an immediate refusal takes.
IMMEDIATELY_S = 0.1
#: Response time of the plain replicas in seconds.
PLAIN_S = 0.05
EVACUATED, OTHER = FAILURE_DOMAINS
FOUR_ENTRIES = DirectSiteSize(entries=4, models=4, plain=4)
#: Entries learn at different times that an evacuation has ended, which would blur the increase.
ONE_ENTRY = DirectSiteSize(entries=1, models=1, plain=4)
PATHS = ('/draft/1', '/lookup/1', '/order/1')


def in_domain(backends: list[BackendStandin], domain: str) -> list[BackendStandin]:
    return [backend for backend in backends if backend.failure_domain == domain]


def slow_down(site: DirectSite) -> None:
    """Let plain replicas take longer than is assumed for one that has just returned."""
    for backend in site.plain:
        backend.pause_s = PLAIN_S


def arrived_since(backends: list[BackendStandin], since: float) -> int:
    return sum(at >= since for backend in backends for at in backend.arrivals)


def now() -> float:
    return asyncio.get_running_loop().time()


@pytest.mark.parametrize('path', PATHS)
def test_evacuated_replicas_get_no_requests_until_the_row_is_removed(path: str) -> None:
    async def body(site: DirectSite) -> None:
        slow_down(site)
        evacuated = in_domain(backends_of(site, path), EVACUATED)
        load = Load(site, path, LOAD_PER_S)
        task = asyncio.create_task(load.run(EVACUATION_S + 2 * LOAD_S))
        await asyncio.sleep(1)
        assert arrived_since(evacuated, 0)
        site.evacuate(EVACUATED)
        written_at = now()
        await asyncio.sleep(EVACUATION_S + LOAD_S)
        assert not arrived_since(evacuated, written_at + EVACUATION_S)
        site.end_evacuation(EVACUATED)
        removed_at = now()
        await task
        assert arrived_since(evacuated, removed_at)
        assert {got.status for got in load.responses} == {200}

    run_site_in_virtual_time(body, FOUR_ENTRIES)


def test_running_streams_continue_and_interrupted_ones_resume_elsewhere() -> None:
    async def body(site: DirectSite) -> None:
        evacuated, others = (in_domain(site.models, domain) for domain in FAILURE_DOMAINS)
        for model in site.models:
            model.pause_s = 0.3
        for model in others:
            model.fault = Fault.cut
        tasks = [asyncio.create_task(send_request(entry, '/draft/1')) for entry in site.entries]
        await wait_until(
            lambda: all(any(model.running for model in one) for one in (evacuated, others))
        )
        site.evacuate(EVACUATED)
        evacuations = [entry.parts.entry_state.evacuations for entry in site.entries]
        await wait_until(lambda: all(one.is_evacuated(EVACUATED) for one in evacuations))
        evacuated_at = now()
        for model in others:
            model.fault = Fault.none
        responses = await asyncio.gather(*tasks)
        assert all(got.status == 200 and got.complete for got in responses)
        assert not arrived_since(evacuated, evacuated_at)

    run_site_in_virtual_time(body, FOUR_ENTRIES)


@pytest.mark.parametrize('path', PATHS)
def test_request_is_refused_at_once_if_all_failure_domains_are_evacuated(path: str) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for domain in FAILURE_DOMAINS:
            site.evacuate(domain)
        evacuations = entry.parts.entry_state.evacuations
        await wait_until(lambda: len(evacuations.evacuated_at) == 2)
        asked_at = now()
        refused = await send_request(entry, path)
        assert now() - asked_at < IMMEDIATELY_S
        assert (refused.status, refused.code) == (503, Code.no_replica.value)
        assert float(refused.headers['retry-after']) > 0
        assert not arrived_since([*site.plain, *site.models], asked_at)

    run_site_in_virtual_time(body)


def test_last_known_evacuation_applies_while_the_store_is_down() -> None:
    async def body(site: DirectSite) -> None:
        slow_down(site)
        evacuated = in_domain(site.plain, EVACUATED)
        site.evacuate(EVACUATED)
        await asyncio.sleep(EVACUATION_S)
        site.store.faults.down = True
        down_at = now()
        await Load(site, '/lookup/1', LOAD_PER_S).run(LOAD_S / 2)
        site.end_evacuation(EVACUATED)
        await Load(site, '/lookup/1', LOAD_PER_S).run(LOAD_S / 2)
        assert not arrived_since(evacuated, down_at)
        site.store.faults.down = False
        await asyncio.sleep(EVACUATION_S)
        await Load(site, '/lookup/1', LOAD_PER_S).run(1)
        assert arrived_since(evacuated, down_at)

    run_site_in_virtual_time(body, FOUR_ENTRIES, configuration_s=30, revoked_key_s=30)


def test_started_entry_knows_the_evacuation_before_it_serves() -> None:
    async def body(site: DirectSite) -> None:
        slow_down(site)
        evacuated = in_domain(site.plain, EVACUATED)
        site.evacuate(EVACUATED)
        await asyncio.sleep(EVACUATION_S)
        started_at = now()
        entry = await site.add_entry(len(site.entries))
        statuses: list[int] = []
        for _ in range(40):
            statuses.append((await send_request(entry, '/lookup/1')).status)
            await asyncio.sleep(0.02)
        assert set(statuses) <= {200, 503}
        assert 200 in statuses
        assert not arrived_since(evacuated, started_at)

    run_site_in_virtual_time(body, FOUR_ENTRIES)


def test_directory_still_lists_the_entries_of_an_evacuated_failure_domain() -> None:
    async def body(site: DirectSite) -> None:
        site.evacuate(EVACUATED)
        await asyncio.sleep(EVACUATION_S)
        region = EVACUATED.partition('-')[0]
        chosen = site.entries[1]._choose_addresses('menus.example', region)
        assert str(site.entries[0].settings.callers) in {str(one) for one in chosen.endpoints}

    run_site_in_virtual_time(body, FOUR_ENTRIES)


def test_traffic_returns_gradually() -> None:
    async def body(site: DirectSite) -> None:
        slow_down(site)
        evacuated = in_domain(site.plain, EVACUATED)
        site.evacuate(EVACUATED)
        await asyncio.sleep(EVACUATION_S)
        site.end_evacuation(EVACUATED)
        evacuations = [entry.parts.entry_state.evacuations for entry in site.entries]
        await wait_until(lambda: not any(one.is_evacuated(EVACUATED) for one in evacuations))
        returned_at = now()
        await Load(site, '/lookup/1', 200).run(RETURN_RAMP_UP_S * 2)
        early, late = (
            sum(
                first <= at - returned_at < first + RETURN_RAMP_UP_S / 4
                for backend in evacuated
                for at in backend.arrivals
            )
            for first in (0, RETURN_RAMP_UP_S * 1.5)
        )
        assert 0 < early < late / 2

    run_site_in_virtual_time(body, ONE_ENTRY)
