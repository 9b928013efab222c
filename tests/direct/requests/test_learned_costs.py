"""Entries learn the cost of requests from their responses, and agents learn the announced work.

Guards against costs that are learned from broken-off or refused requests, against announcements
that stay at an agent after their requests, and against any of this without the setting.
"""

from __future__ import annotations

import asyncio
from functools import partial

import pytest
from direct_callers import run_site_in_virtual_time, send_request

from cassiahitch.direct.entry import DirectEntry
from cassiahitch.direct.placement.costs import RequestCosts
from cassiahitch.metrics.names import CounterName, LatencyName
from cassiahitch.metrics.snapshots import Series
from cassiahitch.settings.direct import DirectEntrySettings
from cassiahitch.standins.directsite import DirectSite
from cassiahitch.standins.faults import Fault

#: Tokens of a stream of 5 events, each with the tokens of a pass of 6 and the last with half of it.
STREAM_TOKENS = 27.5
#: Time in which the report of an engine reaches its agent, in seconds.
REPORT_S = 0.6


@pytest.fixture
def place_by_cost(monkeypatch: pytest.MonkeyPatch) -> None:
    settings = partial(DirectEntrySettings, place_by_cost=True)
    monkeypatch.setattr('cassiahitch.standins.directsite.DirectEntrySettings', settings)


def costs_of(entry: DirectEntry) -> RequestCosts:
    return entry.parts.candidates.placement.costs


async def send_many(entry: DirectEntry, path: str, count: int = 6) -> set[int]:
    responses = await asyncio.gather(*(send_request(entry, path) for _ in range(count)))
    return {response.status for response in responses}


@pytest.mark.usefixtures('place_by_cost')
def test_completed_streams_teach_their_output_length() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        assert await send_many(entry, '/draft/1') == {200}
        mean = costs_of(entry).outputs['draft'].mean
        assert mean.total / mean.weight == pytest.approx(STREAM_TOKENS)
        snapshot = entry.parts.telemetry.metrics.snapshot()
        counted = snapshot.counters[Series(CounterName.output_tokens_counted, 'draft')]
        assert counted == pytest.approx(6 * STREAM_TOKENS, abs=6)
        assert Series(LatencyName.prediction_error, 'draft') in snapshot.latencies

    run_site_in_virtual_time(body)


@pytest.mark.usefixtures('place_by_cost')
def test_routes_of_one_service_teach_different_service_times() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for path, pause_s in (('/lookup/1', 0.2), ('/order/1', 0.05)):
            for standin in site.plain:
                standin.pause_s = pause_s
            for _ in range(8):
                assert (await send_request(entry, path)).status == 200
        now = asyncio.get_running_loop().time()
        costs = costs_of(entry)
        assert costs.service_s('lookup', now) == pytest.approx(0.2, rel=0.2)
        assert costs.service_s('order', now) == pytest.approx(0.05, rel=0.2)

    run_site_in_virtual_time(body)


@pytest.mark.usefixtures('place_by_cost')
def test_agents_hold_the_announced_work_while_requests_run_and_none_afterwards() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for model in site.models:
            model.pause_s = 0.1
        sending = asyncio.create_task(send_many(entry, '/draft/1'))
        await asyncio.sleep(0.05)
        assert sum(len(agent.reporter.announced.requests) for agent in site.agents) == 6
        assert await sending == {200}
        await asyncio.sleep(REPORT_S)
        assert not any(agent.reporter.announced.requests for agent in site.agents)

    run_site_in_virtual_time(body)


@pytest.mark.usefixtures('place_by_cost')
def test_streams_that_are_broken_off_teach_their_whole_length() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for model in site.models:
            model.faults = [Fault.half_event]
        assert await send_many(entry, '/draft/1') == {200}
        assert not all(model.faults for model in site.models)
        mean = costs_of(entry).outputs['draft'].mean
        assert mean.total / mean.weight == pytest.approx(STREAM_TOKENS)

    run_site_in_virtual_time(body)


def test_nothing_is_learned_or_announced_without_the_setting() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        assert await send_many(entry, '/draft/1') == {200}
        assert await send_many(entry, '/lookup/1') == {200}
        costs = costs_of(entry)
        assert not costs.outputs
        assert not costs.services
        assert not any(agent.reporter.announced.requests for agent in site.agents)

    run_site_in_virtual_time(body)
