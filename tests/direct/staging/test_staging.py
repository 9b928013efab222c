"""Tests of the chunks staged at an engine while versions arrive, load or are fetched again.

They guard against a load that finds chunks of two versions, and against fetching chunks again that
a restarted agent could read from its engine, or a new agent from other agents.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from direct_callers import run, wait_until
from repositories import make_repository

from cassiahitch.direct.staging.chunks import VersionChunks, WeightsId, make_manifest
from cassiahitch.direct.staging.enginestate import EngineReport, LoadOutcome
from cassiahitch.direct.staging.layout import ManifestDocument, WeightsLayout
from cassiahitch.direct.staging.peerclient import PeerClient
from cassiahitch.direct.staging.receiving import ReceiveWindow
from cassiahitch.direct.staging.staging import Stager
from cassiahitch.direct.state.layers import LayerRange
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize
from cassiahitch.standins.weightservice import WeightService
from cassiahitch.stores.http_client import HttpClient

CHUNKS = 8
#: Chunks that an agent requests from the origin before it receives the first chunk maps.
MAX_ORIGIN_CHUNKS = 2


@dataclass
class SlowEngine:
    """Stores chunks, and lets other tasks run before each one."""

    chunks: dict[int, bytes] = field(default_factory=dict)

    async def report(self) -> EngineReport:
        return EngineReport()

    async def stage(self, model: str, index: int, content: bytes) -> None:
        await asyncio.sleep(0)
        self.chunks[index] = content

    async def read_staged(self, model: str, index: int) -> bytes | None:
        await asyncio.sleep(0)
        return self.chunks.get(index)

    async def load(
        self, model: str, version: int, load_orders: int, layers: LayerRange | None = None
    ) -> LoadOutcome:
        return LoadOutcome.begun


class NoOrigin:
    """Fails the test if it is called."""

    async def manifest(self, url: str, model: str, version: int) -> ManifestDocument:
        raise AssertionError

    async def chunk(self, url: str, model: str, version: int, index: int) -> bytes:
        raise AssertionError


def make_chunks(version: int) -> tuple[WeightsId, VersionChunks]:
    weights = WeightService('m', 64)
    weights.publish(version, CHUNKS)
    weights_id = WeightsId(version, 'm')
    digests = tuple(weights.digests(version))
    manifest = make_manifest(weights_id, digests, (64,) * CHUNKS)
    return weights_id, VersionChunks(manifest, dict(enumerate(weights.chunks[version])))


def make_stager(engine: SlowEngine, http_client: HttpClient) -> Stager:
    peers = PeerClient(http_client, 1, 'r', ReceiveWindow.of_link(1))
    layout = WeightsLayout('m', CHUNKS, 64)
    return Stager(engine, make_repository(engine, NoOrigin(), peers, layout))


def test_chunks_of_a_newer_version_are_not_stored_among_those_being_loaded() -> None:
    async def body() -> None:
        async with HttpClient() as http_client:
            engine = SlowEngine()
            stager = make_stager(engine, http_client)
            old, old_chunks = make_chunks(2)
            new, new_chunks = make_chunks(3)
            await stager.stage_received(new, new_chunks)
            async with stager.lock:
                staging = asyncio.create_task(stager.stage_received(new, new_chunks))
                await stager.stage_all(old, old_chunks)
                await asyncio.sleep(0)
                assert engine.chunks == old_chunks.contents
            await staging
            assert engine.chunks == new_chunks.contents

    asyncio.run(body())


def test_chunks_are_stored_once_and_again_after_another_version() -> None:
    async def body() -> None:
        async with HttpClient() as http_client:
            engine = SlowEngine()
            stager = make_stager(engine, http_client)
            new, new_chunks = make_chunks(3)
            await stager.stage_received(new, new_chunks)
            engine.chunks.clear()
            await stager.stage_received(new, new_chunks)
            assert not engine.chunks
            await stager.stage_all(new, new_chunks)
            assert engine.chunks == new_chunks.contents
            async with stager.lock:
                await stager.stage_all(*make_chunks(2))
            await stager.stage_received(new, new_chunks)
            assert engine.chunks == new_chunks.contents

    asyncio.run(body())


def test_unacknowledged_load_order_finds_its_own_version_when_executed_later() -> None:
    async def body() -> None:
        async with HttpClient() as http_client:
            engine = SlowEngine()
            stager = make_stager(engine, http_client)
            old, old_chunks = make_chunks(2)
            async with stager.lock:
                await stager.stage_all(old, old_chunks)
                stager.hold_version()
            await stager.stage_received(*make_chunks(3))
            assert engine.chunks == old_chunks.contents
            stager.hold_until = asyncio.get_running_loop().time()
            new, new_chunks = make_chunks(3)
            await stager.stage_received(new, new_chunks)
            assert engine.chunks == new_chunks.contents

    asyncio.run(body())


def test_restarted_agent_fetches_only_the_missing_chunks() -> None:
    async def body(site: DirectSite) -> None:
        agent = site.agents[0]
        engine = site.models[0].engine
        assert engine is not None
        await wait_until(lambda: agent.parts.loader.report is not None)
        site.weights.publish(2, len(site.weights.chunks[1]))
        chunks = site.weights.chunks[2]
        weights = WeightsId(2, 'm1')
        await agent.parts.repository.open_version(weights)
        for index, chunk in enumerate(chunks[:-1]):
            agent.parts.repository.cache.add_chunk(weights, index, chunk)
        site.weights.down = True
        agent.parts.updater.record_declaration(weights)
        await wait_until(
            lambda: all(engine.staged.get(index) == chunks[index] for index in range(3))
        )
        await wait_until(lambda: engine.staged.get(len(chunks) - 2) == chunks[-2])
        restarted = await site.restart_agent(0)
        site.weights.down = False
        site.publish_version(2)
        await wait_until(lambda: engine.version == 2)
        assert engine.loaded_digest == site.weights.content_digest(2)
        assert site.weights.sent[2] == 1
        assert restarted.parts.repository.held_bitmap(weights).bit_count() == len(chunks)

    run(body, DirectSiteSize(entries=1, models=1, plain=0))


def slow_down_origin(site: DirectSite) -> None:
    services = [dict(service) for service in site.configuration['services']]
    for service in services:
        service['linkMbps'] = 0.02
    site.update_configuration(services=services)


def test_added_engine_gets_chunks_that_other_engines_have_staged() -> None:
    async def body(site: DirectSite) -> None:
        await wait_until(
            lambda: all(agent.parts.repository.staged_weights is not None for agent in site.agents)
        )
        slow_down_origin(site)
        added = await site.add_model_replica(2, loaded=False)
        engine = added.engine
        assert engine is not None
        await wait_until(lambda: engine.version == 1)
        assert engine.loaded_digest == site.weights.content_digest(1)
        assert site.weights.sent[1] <= MAX_ORIGIN_CHUNKS

    run(body, DirectSiteSize(entries=1, models=2, plain=0))


def test_corrupt_staged_chunk_is_not_offered_and_is_fetched_elsewhere() -> None:
    async def body(site: DirectSite) -> None:
        await wait_until(
            lambda: all(agent.parts.repository.staged_weights is not None for agent in site.agents)
        )
        other_engine = site.models[0].engine
        assert other_engine is not None
        other_engine.staged[2] = b'corrupt'
        slow_down_origin(site)
        added = await site.add_model_replica(2, loaded=False)
        engine = added.engine
        assert engine is not None
        await wait_until(lambda: engine.version == 1)
        assert engine.loaded_digest == site.weights.content_digest(1)
        assert not site.agents[0].parts.repository.offered_bitmap(WeightsId(1, 'm1')) >> 2 & 1

    run(body, DirectSiteSize(entries=1, models=2, plain=0))
