"""Builds the parts of an agent that bring weights to its engine."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.agentupdater import AgentStateUpdater
from cassiahitch.direct.staging.chunkmaps import ChunkMapExchange
from cassiahitch.direct.staging.loading import Loader
from cassiahitch.direct.staging.peerclient import PeerClient
from cassiahitch.direct.staging.receiving import ReceiveWindow
from cassiahitch.direct.staging.repository import ChunkRepository
from cassiahitch.direct.staging.uploads import LinkRates, UploadLimiter
from cassiahitch.direct.state.versions import VersionPolicy
from cassiahitch.direct.telemetry import StateLog
from cassiahitch.metrics.registry import Metrics
from cassiahitch.weights.plan import Participant

if TYPE_CHECKING:
    from cassiahitch.direct.platformapi import AgentPlatform
    from cassiahitch.direct.staging.enginestate import StagingEngine
    from cassiahitch.settings.direct import DirectAgentSettings
    from cassiahitch.stores.caller import HttpCaller


@dataclass(frozen=True, slots=True)
class AgentParts:
    """The parts of an agent; nothing runs yet."""

    engine: StagingEngine
    log: StateLog
    library: ChunkRepository
    uploads: UploadLimiter
    beliefs: AgentStateUpdater
    maps: ChunkMapExchange
    loader: Loader


def make_agent_parts(
    settings: DirectAgentSettings,
    platform: AgentPlatform,
    caller: HttpCaller,
    rng: random.Random,
) -> AgentParts:
    """Build the parts of an agent.

    :param settings: its settings.
    :param platform: the platform.
    :param caller: makes the calls to other agents.
    :param rng: spreads what agents would do at the same moment.
    :return: the parts.
    """
    log = StateLog()
    engine = platform.engine(settings.engine)
    peers = PeerClient(
        caller,
        settings.peer_port,
        settings.region,
        ReceiveWindow.of_link(settings.link_mbit_s),
    )
    library = ChunkRepository(engine, platform.origin, peers)
    uploads = UploadLimiter(LinkRates(settings.link_mbit_s, settings.region_link_mbit_s))
    versions = VersionPolicy(settings.bounds.weights_s)
    beliefs = AgentStateUpdater(settings, platform, library, uploads, log, versions, rng)
    library.on_newer = beliefs.hear
    maps = ChunkMapExchange(library, uploads, settings.peer_port)
    member = Participant(settings.address, settings.region, settings.failure_domain)
    loader = Loader(engine, library, beliefs, Metrics(settings.name), log, member, rng, maps)
    return AgentParts(engine, log, library, uploads, beliefs, maps, loader)


__all__ = (
    'AgentParts',
    'make_agent_parts',
)
