"""What a model engine says of itself and takes from its agent."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine; ``pace`` above 1 means that it is slower than its configuration says.

    ``orders`` counts the orders that it began, ``loading`` tells that one is in progress, and
    ``weights`` holds the models that are whole, with their versions. ``leaving`` tells that it is
    about to end.
    """

    weights: tuple[tuple[str, int], ...] = ()
    loading: bool = False
    orders: int = 0
    waiting: int = 0
    running: int = 0
    pace: float = 1
    born_ms: int = 0
    leaving: bool = False

    def version(self, model: str) -> int:
        """Return the version of a model that is loaded.

        :param model: the model.
        :return: the version, 0 if none is whole.
        """
        return dict(self.weights).get(model, 0)


class LoadOutcome(StrEnum):
    """What became of an order to load."""

    begun = 'begun'
    in_effect = 'in_effect'
    refused = 'refused'
    unknown = 'unknown'


class StagingEngine(Protocol):
    """A model engine that loads what its agent staged chunk by chunk."""

    async def report(self) -> EngineReport:
        """Return the engine's state; raises ``engine_unavailable``."""

    async def stage(self, model: str, index: int, content: bytes) -> None:
        """Store a chunk at the engine; raises ``engine_unavailable``."""

    async def staged(self, model: str, index: int) -> bytes | None:
        """Return a stored chunk, unverified; raises ``engine_unavailable``."""

    async def load(self, model: str, version: int, orders: int) -> LoadOutcome:
        """Order to load what is staged, if the engine has begun just so many orders."""


__all__ = (
    'EngineReport',
    'LoadOutcome',
    'StagingEngine',
)
