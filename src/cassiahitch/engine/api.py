"""What the system needs of backend servers: model engines and plain services."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine has loaded; ``load_epoch`` rises with every load."""

    digest: str
    load_epoch: int
    running: int
    queued: int


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """A request for an engine; ``resume_from`` counts the bytes that a caller has already."""

    request_id: str
    body: bytes
    priority: int
    resume_from: int = 0


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """An order to load the version ``digest`` from a staging folder."""

    digest: str
    path: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix that entered or left an engine's cache; ``sequence`` may have gaps."""

    sequence: int
    prefix: str
    cached: bool


class Engine(Protocol):
    """A backend server that runs requests."""

    async def state(self) -> EngineState:
        """Return what the engine has loaded and its load."""

    async def load(self, order: LoadRequest) -> EngineState:
        """Load a version; raises ``load_refused`` for an old fencing number."""

    def generate(self, order: GenerateRequest) -> AsyncGenerator[bytes, None]:
        """Run a request and yield the parts of its answer."""

    async def cancel(self, request_id: str) -> None:
        """Stop a request that runs."""

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a sequence number."""


__all__ = (
    'CacheEvent',
    'Engine',
    'EngineState',
    'GenerateRequest',
    'LoadRequest',
)
