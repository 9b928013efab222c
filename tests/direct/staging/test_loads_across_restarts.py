"""Tests that weights serve no requests after a restart of their agent unless they are proven.

They guard against an agent that takes what it finds loaded for sound, although the one before it
was killed before it had proven that load.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from direct_callers import run_site_in_virtual_time, send_request, wait_until
from disturbed_engine import engine_of, lose_order

from cassiahitch.standins.configurations import CHUNK_COUNT
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize

if TYPE_CHECKING:
    from cassiahitch.standins.engineweights import EngineWeights

SITE = DirectSiteSize(entries=1, models=1, plain=0)
#: Requests that are sent after a restart, and the time between them in seconds.
REQUESTS = 60
REQUEST_INTERVAL_S = 0.05
#: Seconds from the start of an agent until an order of the one before it is executed.
LATE_ORDER_S = 2.0


async def send_requests(site: DirectSite) -> None:
    """Send requests for some seconds, of which none need be served."""
    for _ in range(REQUESTS):
        await send_request(site.entries[0], '/draft/1', deadline_ms=300)
        await asyncio.sleep(REQUEST_INTERVAL_S)


def served_versions(site: DirectSite) -> set[int]:
    return {run.version for run in site.models[0].runs}


async def load_without_agent(site: DirectSite, version: int) -> EngineWeights:
    """Let the engine execute an order while its agent is dead, and list the loaded version."""
    weights = engine_of(site)
    engine = await lose_order(site, version)
    await site.agents[0].stop()
    order = engine.lost_orders.pop()
    engine.lost_version = 0
    await engine.load(*order)
    await wait_until(lambda: weights.version == version)
    site.register(site.models[0])
    return weights


def test_restarted_agent_lets_no_load_serve_that_took_chunks_of_two_versions() -> None:
    async def body(site: DirectSite) -> None:
        weights = engine_of(site)
        engine = await lose_order(site, 2)
        await site.agents[0].stop()
        weights.staged[3] = site.weights.chunks[1][3]
        await engine.engine.load(*engine.lost_orders.pop())
        await wait_until(lambda: weights.version == 2)
        assert weights.loaded_digest != site.weights.content_digest(2)
        site.weights.down = True
        site.register(site.models[0])
        await site.restart_agent(0)
        await send_requests(site)
        assert 2 not in served_versions(site)

    run_site_in_virtual_time(body, SITE)


def test_restarted_agent_lets_no_load_serve_whose_chunks_were_repaired_since() -> None:
    async def body(site: DirectSite) -> None:
        weights = engine_of(site)
        engine = await lose_order(site, 2)
        await site.agents[0].stop()
        sound = weights.staged[3]
        weights.staged[3] = b'corrupt'
        await engine.engine.load(*engine.lost_orders.pop())
        await wait_until(lambda: weights.version == 2)
        weights.staged[3] = sound
        site.register(site.models[0])
        await site.restart_agent(0)
        await send_requests(site)
        assert 2 not in served_versions(site) or (
            weights.loaded_digest == site.weights.content_digest(2)
        )

    run_site_in_virtual_time(body, SITE)


def test_order_of_a_dead_agent_takes_no_chunks_that_the_next_one_staged() -> None:
    async def body(site: DirectSite) -> None:
        weights = engine_of(site)
        engine = await lose_order(site, 2)
        site.publish_version(3)
        await site.restart_agent(0)
        await asyncio.sleep(LATE_ORDER_S)
        await engine.engine.load(*engine.lost_orders.pop())
        assert weights.taken_digest == site.weights.content_digest(2)
        await wait_until(lambda: weights.version == 3)
        assert weights.loaded_digest == site.weights.content_digest(3)

    run_site_in_virtual_time(body, SITE)


def test_load_of_a_dead_agent_serves_no_requests() -> None:
    async def body(site: DirectSite) -> None:
        await load_without_agent(site, 2)
        await send_requests(site)
        assert 2 not in served_versions(site)

    run_site_in_virtual_time(body, SITE)


@pytest.mark.parametrize('version', [1, 2])
def test_engines_that_loaded_weights_get_requests_beside_others(version: int) -> None:
    async def body(site: DirectSite) -> None:
        added = await site.add_model_replica(len(site.models), loaded=False)
        weights = [model.engine for model in site.models if model.engine is not None]
        if version > 1:
            site.publish_version(version)
        await wait_until(lambda: {engine.version for engine in weights} == {version})
        for model in site.models:
            site.register(model)
        await asyncio.sleep(1)
        for _ in range(REQUESTS):
            await send_request(site.entries[0], '/draft/1', deadline_ms=300)
        assert len(added.runs) > REQUESTS / 4
        assert len(site.models[0].runs) > REQUESTS / 4

    run_site_in_virtual_time(body, SITE)


@pytest.mark.parametrize('version', [1, 2])
def test_proven_load_serves_right_after_a_restart_of_its_agent(version: int) -> None:
    async def body(site: DirectSite) -> None:
        weights = engine_of(site)
        if version > 1:
            site.publish_version(version)
            await wait_until(lambda: weights.version == version)
            site.register(site.models[0])
            await asyncio.sleep(1)
        # Nothing of the load can be proven by its chunks any more.
        weights.staged.clear()
        site.weights.down = True
        await site.restart_agent(0)
        await asyncio.sleep(0.5)
        response = await send_request(site.entries[0], '/draft/1', deadline_ms=500)
        assert response.status == 200

    run_site_in_virtual_time(body, SITE)


def test_sound_load_without_a_record_serves_after_a_restart_of_its_agent() -> None:
    async def body(site: DirectSite) -> None:
        await load_without_agent(site, 2)
        await site.restart_agent(0)
        await asyncio.sleep(2)
        response = await send_request(site.entries[0], '/draft/1', deadline_ms=500)
        assert response.status == 200

    run_site_in_virtual_time(body, SITE)


def test_weights_that_cannot_be_proven_are_loaded_again_and_serve() -> None:
    async def body(site: DirectSite) -> None:
        weights = engine_of(site)
        engine = await lose_order(site, 2)
        await site.agents[0].stop()
        engine.corrupt_chunks()
        await engine.engine.load(*engine.lost_orders.pop())
        await wait_until(lambda: weights.version == 2)
        assert weights.loaded_digest != site.weights.content_digest(2)
        site.register(site.models[0])
        await site.restart_agent(0)
        await wait_until(lambda: weights.loaded_digest == site.weights.content_digest(2))
        await asyncio.sleep(2)
        response = await send_request(site.entries[0], '/draft/1', deadline_ms=500)
        assert response.status == 200
        assert weights.version == 2

    run_site_in_virtual_time(body, SITE)


def replace_record(site: DirectSite, **fields: int) -> None:
    """Write the row of the engine's load as another release of the agent does."""
    agent = site.agents[0]
    row = {'born_ms': site.models[0].started_at_ms, 'loads': engine_of(site).load_sequence}
    site.store.put(agent.parts.loader.orders.records.table, agent.settings.address, row | fields)


@pytest.mark.parametrize('fields', [{}, {'chunks': CHUNK_COUNT - 1}])
def test_load_recorded_by_a_release_that_missed_chunks_serves_no_requests(
    fields: dict[str, int],
) -> None:
    async def body(site: DirectSite) -> None:
        weights = engine_of(site)
        engine = await lose_order(site, 2)
        await site.agents[0].stop()
        weights.staged[CHUNK_COUNT - 1] = site.weights.chunks[1][CHUNK_COUNT - 1]
        await engine.engine.load(*engine.lost_orders.pop())
        await wait_until(lambda: weights.version == 2)
        assert weights.loaded_digest != site.weights.content_digest(2)
        replace_record(site, **fields)
        site.register(site.models[0])
        await site.restart_agent(0)
        for _ in range(REQUESTS):
            is_whole = weights.loaded_digest == site.weights.content_digest(2)
            await send_request(site.entries[0], '/draft/1', deadline_ms=300)
            assert is_whole or 2 not in served_versions(site)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await wait_until(lambda: weights.loaded_digest == site.weights.content_digest(2))
        await wait_until(lambda: not site.agents[0].parts.loader.orders.trust.has_unproven_load)

    run_site_in_virtual_time(body, SITE)


@pytest.mark.parametrize('fields', [{}, {'chunks': CHUNK_COUNT}])
def test_sound_load_recorded_by_another_release_is_not_loaded_again(
    fields: dict[str, int],
) -> None:
    async def body(site: DirectSite) -> None:
        weights = engine_of(site)
        site.publish_version(2)
        trust = site.agents[0].parts.loader.orders.trust
        await wait_until(lambda: weights.version == 2 and trust.proven_load() is not None)
        await site.agents[0].stop()
        loads = weights.load_sequence
        replace_record(site, **fields)
        site.weights.down = bool(fields)
        await site.restart_agent(0)
        restarted = site.agents[0].parts.loader.orders
        await wait_until(lambda: restarted.trust.proven_chunks == CHUNK_COUNT)
        await asyncio.sleep(1)
        assert weights.load_sequence == loads
        assert restarted.records.recorded == restarted.trust.proven_load()

    run_site_in_virtual_time(body, SITE)
