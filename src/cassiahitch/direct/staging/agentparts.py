"""Builds the components of an agent that bring weights to its engine."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.agentupdater import AgentStateUpdater
from cassiahitch.direct.staging.chunkmaps import ChunkMapExchange
from cassiahitch.direct.staging.loading import Loader
from cassiahitch.direct.staging.loadorders import LoadOrders
from cassiahitch.direct.staging.loadrecords import LoadRecords
from cassiahitch.direct.staging.loadtrust import LoadTrust
from cassiahitch.direct.staging.manifests import ManifestReader
from cassiahitch.direct.staging.peerclient import PeerClient
from cassiahitch.direct.staging.receiving import ReceiveWindow
from cassiahitch.direct.staging.repository import ChunkRepository
from cassiahitch.direct.staging.staging import Stager
from cassiahitch.direct.staging.uploads import LinkRates, UploadLimiter
from cassiahitch.direct.state.versions import VersionPolicy
from cassiahitch.direct.statelog import StateLog
from cassiahitch.metrics.registry import Metrics
from cassiahitch.weights.plan import Participant

if TYPE_CHECKING:
    from cassiahitch.direct.platformapi import AgentPlatform
    from cassiahitch.direct.staging.enginestate import StagingEngine
    from cassiahitch.settings.direct import DirectAgentSettings
    from cassiahitch.stores.http_client import HttpClient


@dataclass(frozen=True, slots=True)
class AgentParts:
    """The components of an agent; they start no task by themselves."""

    engine: StagingEngine
    log: StateLog
    repository: ChunkRepository
    upload_limiter: UploadLimiter
    updater: AgentStateUpdater
    map_exchange: ChunkMapExchange
    loader: Loader


def make_agent_parts(
    settings: DirectAgentSettings,
    platform: AgentPlatform,
    http_client: HttpClient,
    rng: random.Random,
) -> AgentParts:
    """Build the components of an agent.

    :param settings: its settings.
    :param platform: client of the platform.
    :param http_client: HTTP client for the calls to other agents.
    :param rng: source of the jitter that keeps agents from acting in step.
    :return: the components.
    """
    log = StateLog()
    metrics = Metrics(settings.name)
    manifests = ManifestReader(
        platform.origin, make_peer_client(settings, http_client), log, metrics, rng
    )
    repository = ChunkRepository(platform.engine(settings.engine), manifests)
    upload_limiter = UploadLimiter(LinkRates(settings.link_mbit_s, settings.region_link_mbit_s))
    versions = VersionPolicy(settings.bounds.weights_s)
    updater = AgentStateUpdater(settings, platform, repository, upload_limiter, log, versions, rng)
    repository.on_newer_version = updater.record_declaration
    map_exchange = ChunkMapExchange(repository, upload_limiter, settings.peer_port)
    local_agent = Participant(settings.address, settings.region, settings.failure_domain)
    loader = Loader(
        repository,
        updater,
        metrics,
        log,
        local_agent,
        rng,
        map_exchange,
        make_load_orders(settings, platform, repository, log),
    )
    return AgentParts(
        repository.engine, log, repository, upload_limiter, updater, map_exchange, loader
    )


def make_peer_client(settings: DirectAgentSettings, http_client: HttpClient) -> PeerClient:
    """Build the client of the other agents.

    :param settings: settings of the agent.
    :param http_client: HTTP client for the calls.
    :return: the client, which knows no other agent yet.
    """
    window = ReceiveWindow.of_link(settings.link_mbit_s)
    return PeerClient(http_client, settings.peer_port, settings.region, window)


def make_load_orders(
    settings: DirectAgentSettings,
    platform: AgentPlatform,
    repository: ChunkRepository,
    log: StateLog,
) -> LoadOrders:
    """Build the component that orders loads and decides which of them may serve.

    :param settings: settings of the agent.
    :param platform: client of the platform.
    :param repository: chunks of the host.
    :param log: log of the agent.
    :return: the component.
    """
    engine = repository.engine
    trust = LoadTrust()
    records = LoadRecords(platform.store, platform.tables.loads, settings.address, trust, log)
    stager = Stager(engine, repository, trust)
    return LoadOrders(engine, repository, stager, records, trust, log)


__all__ = (
    'AgentParts',
    'make_agent_parts',
)
