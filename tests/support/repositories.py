"""Builds a repository of chunks from stand-ins."""

from __future__ import annotations

from typing import Any

from cassiahitch.direct.staging.layout import WeightsLayout
from cassiahitch.direct.staging.manifests import ManifestReader
from cassiahitch.direct.staging.peerclient import PeerClient
from cassiahitch.direct.staging.repository import ChunkRepository
from cassiahitch.direct.statelog import StateLog
from cassiahitch.metrics.registry import Metrics


def make_repository(
    engine: Any, origin: Any, peers: PeerClient, layout: WeightsLayout | None = None
) -> ChunkRepository:
    manifests = ManifestReader(origin, peers, StateLog(), Metrics('agent'))
    manifests.layout = layout or WeightsLayout()
    return ChunkRepository(engine, manifests)
