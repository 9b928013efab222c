"""Creates and connects the components of an agent."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.agent.backend import Backend
from cassiahitch.agent.claims import ClaimStore
from cassiahitch.agent.distribution import Distribution
from cassiahitch.agent.executor import Executor
from cassiahitch.agent.fetching import FetchContext
from cassiahitch.agent.health import BackendHealth
from cassiahitch.agent.links import HostLinks
from cassiahitch.agent.loading import Loader
from cassiahitch.agent.sampler import StateSampler
from cassiahitch.agent.serving import ChunkService
from cassiahitch.engine.http import HttpEngine
from cassiahitch.ledger.claims import ClaimCoordinator
from cassiahitch.ledger.ledger import Ledger
from cassiahitch.settings.models import EngineKind
from cassiahitch.stores.http import HttpTableService, HttpWeightOrigin

if TYPE_CHECKING:
    from cassiahitch.agent.peers import PeerPool
    from cassiahitch.agent.staging import Staging
    from cassiahitch.settings.models import AgentSettings
    from cassiahitch.stores.http_client import HttpClient
    from cassiahitch.wire.node import Node

#: Maximum number of requests that run concurrently on a backend server.
MAX_CONCURRENT_RUNS = 16
#: Maximum size of a response of a backend server, in bytes.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class AgentComponents:
    """The components that an agent process drives."""

    executor: Executor
    health: BackendHealth
    loader: Loader
    distribution: Distribution


def create_components(
    node: Node,
    settings: AgentSettings,
    http_client: HttpClient,
    peers: PeerPool,
    staging: Staging,
) -> AgentComponents:
    """Create the components of an agent.

    :param node: identity and shared services of this process.
    :param settings: settings of the agent.
    :param http_client: HTTP client.
    :param peers: connections to other agents.
    :param staging: staging area for chunks.
    :return: the components; no task is started.
    """
    sampler = StateSampler(HttpEngine(http_client, settings.engine_url))
    health = BackendHealth(sampler.engine)
    executor = _executor(node, settings, http_client, peers, sampler, health)
    loader = Loader(node, sampler, executor, staging)
    origin = HttpWeightOrigin(http_client, settings.platform.origin_url)
    links = HostLinks(settings.link_bytes_per_s, node.clock)
    service = ChunkService(node, staging, links)
    context = FetchContext(node, origin, staging, peers, service, links)
    distribution = Distribution(context, loader.record_complete)
    loader.discard_replaced = distribution.discard_replaced
    return AgentComponents(executor, health, loader, distribution)


def _executor(
    node: Node,
    settings: AgentSettings,
    http_client: HttpClient,
    peers: PeerPool,
    sampler: StateSampler,
    health: BackendHealth,
) -> Executor:
    plain = settings.engine_kind is EngineKind.plain
    backend = Backend(
        sampler.engine, sampler, settings.timeouts.engine_s, MAX_RESPONSE_BYTES, plain
    )
    rng = random.Random(node.incarnation)
    coordinator = ClaimCoordinator(settings.host, Ledger(node.incarnation), rng)
    platform = settings.platform
    tables = HttpTableService(http_client, platform.table_service_url, settings.timeouts.platform_s)
    executor = Executor(
        node, coordinator, backend, ClaimStore(node, tables, peers), MAX_CONCURRENT_RUNS, health
    )
    if plain:
        executor.admit('')
    return executor


__all__ = (
    'MAX_CONCURRENT_RUNS',
    'AgentComponents',
    'create_components',
)
