"""State that a model engine reports, and the operations that its agent calls."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from cassiahitch.direct.state.layers import LayerRange


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine.

    ``weights`` holds the models of which layers are loaded, with their versions, and ``layers``
    which layers these are, None if the report does not name one range. ``loading`` says
    whether a load is in progress, and ``load_orders`` counts the loads that the engine has begun.
    ``running`` and ``waiting`` count requests. A ``pace`` above 1 means that the engine is slower
    than its configuration says. ``born_ms`` is the time at which the engine's process started,
    and ``stopping`` says whether it is shutting down. ``limit_per_s`` is the rate of requests that
    it accepts from all entries together, infinity if the report names no limit and None if that is
    unknown. ``cold_s`` is the time for which it stays cold.
    """

    weights: tuple[tuple[str, int], ...] = ()
    layers: LayerRange | None = None
    loading: bool = False
    load_orders: int = 0
    waiting: int = 0
    running: int = 0
    pace: float = 1
    born_ms: int = 0
    stopping: bool = False
    limit_per_s: float | None = math.inf
    cold_s: float = 0

    def loaded_version(self, model: str) -> int:
        """Return the version of a model that is loaded.

        :param model: the model.
        :return: the version, 0 if no layer is loaded.
        """
        return dict(self.weights).get(model, 0)


class LoadOutcome(StrEnum):
    """Outcome of an order to load weights."""

    begun = 'begun'
    in_effect = 'in_effect'
    refused = 'refused'
    unknown = 'unknown'


class StagingEngine(Protocol):
    """A model engine that stores chunks one by one and then loads them."""

    async def report(self) -> EngineReport:
        """Return the engine's state; raises ``engine_unavailable``."""

    async def stage(self, model: str, index: int, content: bytes) -> None:
        """Store a chunk at the engine; raises ``engine_unavailable``."""

    async def read_staged(self, model: str, index: int) -> bytes | None:
        """Return a stored chunk, unverified; raises ``engine_unavailable``."""

    async def load(
        self, model: str, version: int, load_orders: int, layers: LayerRange | None = None
    ) -> LoadOutcome:
        """Order a load; refused unless the engine has begun ``load_orders`` loads so far.

        The engine drops all layers that are not ordered. It keeps ordered layers that it has of the
        same version, and loads the others; without ``layers``, all layers are ordered.
        """


__all__ = (
    'EngineReport',
    'LoadOutcome',
    'StagingEngine',
)
