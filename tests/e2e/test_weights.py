"""Tests of rollouts over real sockets in which agents, chunks or the origin fail."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import pytest

from cassiahitch.controllers.rollout import serving_digest
from cassiahitch.metrics.names import CounterName
from cassiahitch.standins.origin import corrupt_first_byte
from cassiahitch.standins.scenario import OperatorClient
from cassiahitch.standins.site import Site, SiteSize
from cassiahitch.stores.http_client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from cassiahitch.agent.process import AgentProcess
    from cassiahitch.weights.manifest import Manifest

HOSTS = 6
WEIGHT_BYTES = 400_000
CHUNK_BYTES = 16_384
#: Slow enough for a fault in the middle of a rollout.
SLOW_BYTES_PER_S = 800_000
TIMEOUT_S = 40
POLL_INTERVAL_S = 0.02


class RolloutSite:
    """A site with one deployment, and methods to publish versions and to wait for them."""

    def __init__(self, site: Site, operator: OperatorClient) -> None:
        self.site = site
        self.operator = operator
        self.rng = random.Random(1)
        self.revision = 0
        self.deployment_revision = 0

    def publish(self, origin: str) -> Manifest:
        return self.site.publish(origin, origin, self.rng.randbytes(WEIGHT_BYTES), CHUNK_BYTES)

    async def declare(self, manifest: Manifest, replicas: int = HOSTS, **fields: Any) -> None:
        service = {'kind': 'Service', 'name': 'draft', 'type': 'model', 'idempotent': True}
        await self.operator.create(service)
        self.revision = await self.operator.create(model_of(manifest))
        deployment = {'kind': 'Deployment', 'name': 'draft', 'service': 'draft', 'model': 'menus'}
        declared = {**deployment, 'replicas': replicas, **fields}
        self.deployment_revision = await self.operator.create(declared)

    async def release(self, manifest: Manifest) -> None:
        self.revision = await self.operator.replace(model_of(manifest), self.revision)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_served(self, digest: str, hosts: int = HOSTS) -> None:
        await self.wait_until(lambda: self.serving_hosts(digest) == hosts)

    def serving_hosts(self, digest: str) -> int:
        return sum(agent.loader.loaded_digest == digest for agent in self.site.agents.values())

    def staged_chunks(self, manifest: Manifest) -> int:
        agents = self.site.agents.values()
        return sum(agent.distribution.stored_chunk_count(manifest.digest) for agent in agents)

    async def add_adapter(self, adapter: str) -> None:
        """Add an adapter to the deployment."""
        deployment = {'kind': 'Deployment', 'name': 'draft', 'service': 'draft', 'model': 'menus'}
        changed = {**deployment, 'replicas': HOSTS, 'adapters': [adapter]}
        await self.operator.replace(changed, self.deployment_revision)

    def staged_manifests(self) -> set[str]:
        agents = self.site.agents.values()
        return {digest for agent in agents for digest in agent.staging.manifest_sizes}

    def counter_total(self, name: CounterName) -> float:
        return sum(counter_value(agent, name) for agent in self.site.agents.values())


def model_of(manifest: Manifest) -> dict[str, Any]:
    return {
        'kind': 'Model',
        'name': 'menus',
        'version': manifest.version,
        'origin': manifest.version,
        'manifest': manifest.digest,
    }


def counter_value(agent: AgentProcess, name: CounterName) -> float:
    counters = agent.node.metrics.snapshot().counters
    return sum(count for series, count in counters.items() if series.name == name)


def run(check: Callable[[RolloutSite], Coroutine[None, None, None]]) -> None:
    """Run a test on a new site."""
    asyncio.run(on_site(check))


async def on_site(check: Callable[[RolloutSite], Coroutine[None, None, None]]) -> None:
    async with AsyncExitStack() as stack:
        site = await stack.enter_async_context(Site(SiteSize(1, HOSTS, 0)))
        caller = await stack.enter_async_context(HttpClient())
        await check(RolloutSite(site, OperatorClient(caller, site.urls[0], site.token)))


@pytest.mark.parametrize(
    ('objective', 'copies'),
    [
        pytest.param('origin_bytes', 1.1, id='origin-bytes'),
        pytest.param('time', 3.5, id='time'),
    ],
)
def test_origin_sends_within_the_bound_of_the_objective(objective: str, copies: float) -> None:
    async def check(rollouts: RolloutSite) -> None:
        manifest = rollouts.publish('v1')
        await rollouts.declare(manifest, objective=objective)
        await rollouts.wait_until_served(manifest.digest)
        assert rollouts.counter_total(CounterName.origin_bytes) <= copies * WEIGHT_BYTES
        assert rollouts.counter_total(CounterName.chunks_refused) == 0

    run(check)


def test_corrupt_chunks_of_origin_and_agent_are_fetched_again() -> None:
    async def check(rollouts: RolloutSite) -> None:
        rollouts.site.origin.corrupt_chunks = 3
        corrupt_sent_chunks(rollouts.site.agents['model-0'])
        manifest = rollouts.publish('v1')
        await rollouts.declare(manifest)
        await rollouts.wait_until_served(manifest.digest)
        assert rollouts.counter_total(CounterName.chunks_refused) >= 4
        for engine in rollouts.site.backends.engines.values():
            assert engine.digest == manifest.digest

    run(check)


def corrupt_sent_chunks(agent: AgentProcess) -> None:
    """Make an agent corrupt the first byte of every chunk that it sends."""
    read = agent.staging.read

    async def read_corrupted(manifest: str, index: int) -> bytes:
        return corrupt_first_byte(await read(manifest, index))

    agent.staging.read = read_corrupted  # type: ignore[method-assign]


def test_origin_that_changes_mid_flight_is_noticed_and_the_new_version_served() -> None:
    async def check(rollouts: RolloutSite) -> None:
        rollouts.site.origin.link_bytes_per_s = SLOW_BYTES_PER_S
        first = rollouts.publish('v1')
        await rollouts.declare(first)
        await rollouts.wait_until(lambda: rollouts.staged_chunks(first) > HOSTS)
        second = rollouts.publish('v1')
        await rollouts.wait_until(lambda: rollouts.counter_total(CounterName.chunks_refused) > 0)
        assert rollouts.serving_hosts(first.digest) == 0
        await rollouts.release(second)
        await rollouts.wait_until_served(second.digest)
        engines = rollouts.site.backends.engines.values()
        assert {(engine.digest, engine.load_epoch) for engine in engines} == {(second.digest, 1)}

    run(check)


def test_agent_that_dies_mid_rollout_does_not_stop_the_others() -> None:
    async def check(rollouts: RolloutSite) -> None:
        rollouts.site.origin.link_bytes_per_s = SLOW_BYTES_PER_S
        manifest = rollouts.publish('v1')
        await rollouts.declare(manifest)
        await rollouts.wait_until(lambda: rollouts.staged_chunks(manifest) > HOSTS)
        await rollouts.site.agents.pop('model-2').kill()
        await rollouts.wait_until_served(manifest.digest, HOSTS - 1)

    run(check)


def test_agent_that_joins_late_is_served_by_its_peers() -> None:
    async def check(rollouts: RolloutSite) -> None:
        manifest = rollouts.publish('v1')
        await rollouts.declare(manifest, HOSTS + 1)
        await rollouts.wait_until_served(manifest.digest)
        joiner = await rollouts.site.start_model_host(HOSTS)
        await rollouts.wait_until_served(manifest.digest, HOSTS + 1)
        assert counter_value(joiner, CounterName.origin_bytes) == 0

    run(check)


def test_model_and_adapter_load_together() -> None:
    async def check(rollouts: RolloutSite) -> None:
        model, adapter = rollouts.publish('v1'), rollouts.publish('a1')
        resource = {**model_of(adapter), 'kind': 'Adapter', 'name': 'prices', 'model': 'menus'}
        await rollouts.declare(model)
        await rollouts.operator.create(resource)
        await rollouts.add_adapter('prices')
        await rollouts.wait_until_served(serving_digest((model.digest, adapter.digest)))

    run(check)


def test_newer_version_replaces_one_under_way_and_staging_keeps_the_newest() -> None:
    async def check(rollouts: RolloutSite) -> None:
        rollouts.site.origin.link_bytes_per_s = SLOW_BYTES_PER_S
        versions = [rollouts.publish(f'v{number}') for number in range(3)]
        await rollouts.declare(versions[0])
        await rollouts.wait_until_served(versions[0].digest)
        await rollouts.release(versions[1])
        await rollouts.wait_until(lambda: rollouts.staged_chunks(versions[1]) > HOSTS)
        await rollouts.release(versions[2])
        await rollouts.wait_until_served(versions[2].digest)
        await rollouts.wait_until(lambda: rollouts.staged_manifests() == {versions[2].digest})

    run(check)
