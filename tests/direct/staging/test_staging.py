"""Tests of what lies staged at an engine while versions arrive and power fails."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from direct_callers import run, until

from cassiahitch.direct.staging.chunks import VersionChunks, WeightsId, make_manifest
from cassiahitch.direct.staging.enginestate import EngineReport, LoadOutcome
from cassiahitch.direct.staging.peerclient import PeerClient
from cassiahitch.direct.staging.receiving import ReceiveWindow
from cassiahitch.direct.staging.repository import ChunkRepository
from cassiahitch.direct.staging.staging import Stager
from cassiahitch.standins.directsite import DirectSite, DirectSize
from cassiahitch.standins.weightservice import WeightService
from cassiahitch.stores.http_client import HttpClient

CHUNKS = 8
#: Chunks that are asked of the origin before an agent has heard what others hold.
AT_THE_START = 2


@dataclass
class SlowEngine:
    """Stores chunks, each after others had a turn."""

    chunks: dict[int, bytes] = field(default_factory=dict)

    async def report(self) -> EngineReport:
        return EngineReport()

    async def stage(self, model: str, index: int, content: bytes) -> None:
        await asyncio.sleep(0)
        self.chunks[index] = content

    async def read_staged(self, model: str, index: int) -> bytes | None:
        await asyncio.sleep(0)
        return self.chunks.get(index)

    async def load(self, model: str, version: int, load_orders: int) -> LoadOutcome:
        return LoadOutcome.begun


class NoOrigin:
    async def manifest(self, url: str, model: str, version: int) -> tuple[int, tuple[str, ...]]:
        raise AssertionError

    async def chunk(self, url: str, model: str, version: int, index: int) -> bytes:
        raise AssertionError


def make_held(version: int) -> tuple[WeightsId, VersionChunks]:
    weights = WeightService('m', 64)
    weights.publish(version, CHUNKS)
    name = WeightsId(version, 'm')
    digests = tuple(weights.digests(version))
    manifest = make_manifest(name, digests, (64,) * CHUNKS)
    return name, VersionChunks(manifest, dict(enumerate(weights.chunks[version])))


def make_stager(engine: SlowEngine, caller: HttpClient) -> Stager:
    peers = PeerClient(caller, 1, 'r', ReceiveWindow.of_link(1))
    return Stager(engine, ChunkRepository(engine, NoOrigin(), peers))


def test_chunks_of_a_newer_version_do_not_come_among_those_that_are_loaded() -> None:
    async def body() -> None:
        async with HttpClient() as caller:
            engine = SlowEngine()
            stager = make_stager(engine, caller)
            old, old_held = make_held(2)
            new, new_held = make_held(3)
            await stager.stage_received(new, new_held)
            async with stager.lock:
                arriving = asyncio.create_task(stager.stage_received(new, new_held))
                await stager.stage_all(old, old_held)
                await asyncio.sleep(0)
                assert engine.chunks == old_held.contents
            await arriving
            assert engine.chunks == new_held.contents

    asyncio.run(body())


def test_chunks_are_stored_once_and_again_after_another_version() -> None:
    async def body() -> None:
        async with HttpClient() as caller:
            engine = SlowEngine()
            stager = make_stager(engine, caller)
            new, new_held = make_held(3)
            await stager.stage_received(new, new_held)
            engine.chunks.clear()
            await stager.stage_received(new, new_held)
            assert not engine.chunks
            await stager.stage_all(new, new_held)
            assert engine.chunks == new_held.contents
            async with stager.lock:
                await stager.stage_all(*make_held(2))
            await stager.stage_received(new, new_held)
            assert engine.chunks == new_held.contents

    asyncio.run(body())


def test_order_that_got_no_answer_finds_its_own_version_when_it_is_carried_out_later() -> None:
    async def body() -> None:
        async with HttpClient() as caller:
            engine = SlowEngine()
            stager = make_stager(engine, caller)
            old, old_held = make_held(2)
            async with stager.lock:
                await stager.stage_all(old, old_held)
                stager.hold_version()
            await stager.stage_received(*make_held(3))
            assert engine.chunks == old_held.contents
            stager.hold_until = asyncio.get_running_loop().time()
            new, new_held = make_held(3)
            await stager.stage_received(new, new_held)
            assert engine.chunks == new_held.contents

    asyncio.run(body())


def test_agent_that_starts_again_fetches_only_what_it_had_not_yet() -> None:
    async def body(site: DirectSite) -> None:
        agent = site.agents[0]
        engine = site.models[0].engine
        assert engine is not None
        await until(lambda: agent.parts.loader.report is not None)
        site.weights.publish(2, len(site.weights.chunks[1]))
        chunks = site.weights.chunks[2]
        name = WeightsId(2, 'm1')
        await agent.parts.repository.open_version(name)
        for index, chunk in enumerate(chunks[:-1]):
            agent.parts.repository.cache.add_chunk(name, index, chunk)
        site.weights.down = True
        agent.parts.updater.record_declaration(name)
        await until(lambda: all(engine.staged.get(at) == chunks[at] for at in range(3)))
        await until(lambda: engine.staged.get(len(chunks) - 2) == chunks[-2])
        fresh = await site.restart_agent(0)
        site.weights.down = False
        site.declare(2)
        await until(lambda: engine.version == 2)
        assert engine.loaded_digest == site.weights.whole_digest(2)
        assert site.weights.sent[2] == 1
        assert fresh.parts.repository.held_bitmap(name).bit_count() == len(chunks)

    run(body, DirectSize(entries=1, models=1, plain=0))


def slow_down_origin(site: DirectSite) -> None:
    services = [dict(one) for one in site.configuration['services']]
    for one in services:
        one['linkMbps'] = 0.02
    site.change(services=services)


def test_added_engine_gets_what_the_engines_beside_it_have_staged() -> None:
    async def body(site: DirectSite) -> None:
        await until(
            lambda: all(one.parts.repository.staged_weights is not None for one in site.agents)
        )
        slow_down_origin(site)
        fresh = await site.add_model(2, loaded=False)
        engine = fresh.engine
        assert engine is not None
        await until(lambda: engine.version == 1)
        assert engine.loaded_digest == site.weights.whole_digest(1)
        assert site.weights.sent[1] <= AT_THE_START

    run(body, DirectSize(entries=1, models=2, plain=0))


def test_staged_chunk_that_is_spoilt_is_not_offered_and_comes_from_elsewhere() -> None:
    async def body(site: DirectSite) -> None:
        await until(
            lambda: all(one.parts.repository.staged_weights is not None for one in site.agents)
        )
        beside = site.models[0].engine
        assert beside is not None
        beside.staged[2] = b'rotten'
        slow_down_origin(site)
        fresh = await site.add_model(2, loaded=False)
        engine = fresh.engine
        assert engine is not None
        await until(lambda: engine.version == 1)
        assert engine.loaded_digest == site.weights.whole_digest(1)
        assert not site.agents[0].parts.repository.offered_bitmap(WeightsId(1, 'm1')) >> 2 & 1

    run(body, DirectSize(entries=1, models=2, plain=0))
