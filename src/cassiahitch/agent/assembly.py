"""Puts the parts of an agent together."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.agent.backend import Backend
from cassiahitch.agent.claims import ClaimStore
from cassiahitch.agent.distribution import Distribution
from cassiahitch.agent.executor import Executor
from cassiahitch.agent.fetching import Surroundings
from cassiahitch.agent.health import BackendHealth
from cassiahitch.agent.links import HostLinks
from cassiahitch.agent.loading import Loader
from cassiahitch.agent.sampler import StateSampler
from cassiahitch.agent.serving import ChunkService
from cassiahitch.engine.http import HttpEngine
from cassiahitch.ledger.claims import ClaimMachine
from cassiahitch.ledger.ledger import Ledger
from cassiahitch.settings.models import EngineKind
from cassiahitch.stores.http import HttpTableService, HttpWeightOrigin

if TYPE_CHECKING:
    from cassiahitch.agent.peers import PeerPool
    from cassiahitch.agent.staging import Staging
    from cassiahitch.settings.models import AgentSettings
    from cassiahitch.stores.http_client import HttpClient
    from cassiahitch.wire.node import Node

#: Requests that run at once on a backend server.
SLOTS = 16
#: Largest answer of a backend server, in bytes.
MAX_ANSWER_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class AgentParts:
    """The parts that an agent process drives."""

    executor: Executor
    health: BackendHealth
    loader: Loader
    distribution: Distribution


def assemble(
    node: Node,
    settings: AgentSettings,
    caller: HttpClient,
    peers: PeerPool,
    staging: Staging,
) -> AgentParts:
    """Create the parts of an agent.

    :param node: the process.
    :param settings: its settings.
    :param caller: makes HTTP calls.
    :param peers: calls other agents.
    :param staging: keeps chunks.
    :return: the parts; nothing runs yet.
    """
    sampler = StateSampler(HttpEngine(caller, settings.engine_url))
    health = BackendHealth(sampler.engine)
    executor = _executor(node, settings, caller, peers, sampler, health)
    loader = Loader(node, sampler, executor, staging)
    origin = HttpWeightOrigin(caller, settings.platform.origin_url)
    links = HostLinks(settings.link_bytes_per_s, node.clock)
    service = ChunkService(node, staging, links)
    around = Surroundings(node, origin, staging, peers, service, links)
    distribution = Distribution(around, loader.completed)
    loader.on_loaded = distribution.retain
    return AgentParts(executor, health, loader, distribution)


def _executor(
    node: Node,
    settings: AgentSettings,
    caller: HttpClient,
    peers: PeerPool,
    sampler: StateSampler,
    health: BackendHealth,
) -> Executor:
    plain = settings.engine_kind is EngineKind.plain
    backend = Backend(sampler.engine, sampler, settings.timeouts.engine_s, MAX_ANSWER_BYTES, plain)
    rng = random.Random(node.incarnation)
    machine = ClaimMachine(settings.host, Ledger(node.incarnation), rng)
    platform = settings.platform
    tables = HttpTableService(caller, platform.table_service_url, settings.timeouts.platform_s)
    executor = Executor(node, machine, backend, ClaimStore(node, tables, peers), SLOTS, health)
    if plain:
        executor.admit('')
    return executor


__all__ = (
    'SLOTS',
    'AgentParts',
    'assemble',
)
