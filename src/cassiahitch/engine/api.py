"""Interface of an engine, the process of a backend server, and its messages."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class EngineState:
    """Loaded weights and load of an engine; ``load_epoch`` increases with every load."""

    digest: str
    load_epoch: int
    running: int
    queued: int


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """A request to run; ``resume_from`` is the number of bytes that the caller has already."""

    request_id: str
    body: bytes
    priority: int
    resume_from: int = 0


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """A request to load the weights ``digest`` from the staging folder ``path``."""

    digest: str
    path: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prompt prefix was added to an engine's cache or evicted; ``sequence`` may have gaps."""

    sequence: int
    prefix: str
    cached: bool


class Engine(Protocol):
    """An engine that runs requests and loads weights."""

    async def state(self) -> EngineState:
        """Return the loaded weights and the load of the engine."""

    async def load(self, request: LoadRequest) -> EngineState:
        """Load weights; raises ``load_refused`` if the fencing number is outdated."""

    def generate(self, request: GenerateRequest) -> AsyncGenerator[bytes, None]:
        """Run a request and yield the parts of its response."""

    async def cancel(self, request_id: str) -> None:
        """Cancel a running request."""

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after the sequence number ``after``."""


__all__ = (
    'CacheEvent',
    'Engine',
    'EngineState',
    'GenerateRequest',
    'LoadRequest',
)
