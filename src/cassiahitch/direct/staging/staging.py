"""Stores chunks at the engine of a host, which keeps them while its agent restarts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.weights.manifest import verify_chunk

if TYPE_CHECKING:
    from cassiahitch.direct.staging.chunks import VersionChunks, WeightsId
    from cassiahitch.direct.staging.enginestate import StagingEngine
    from cassiahitch.direct.staging.repository import ChunkRepository

#: Seconds for which an engine may still execute a load order that it has not acknowledged.
UNACKNOWLEDGED_ORDER_S = 10.0


@dataclass(slots=True)
class Stager:
    """Stores the chunks of one version, complete or not, at the engine.

    Whoever orders a load holds ``lock`` from before the chunks are verified until the order is
    accepted, so that no chunks of a newer version are stored among them. ``stored`` holds the
    positions of the stored chunks of ``weights``.
    """

    engine: StagingEngine
    repository: ChunkRepository
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    weights: WeightsId | None = None
    stored: set[int] = field(default_factory=set)
    hold_until: float = float('-inf')

    async def stage_received(self, weights: WeightsId, chunks: VersionChunks) -> None:
        """Store the chunks that were received since the last call.

        Load pattern: power fails while a version is fetched. Chunks that are staged by then need
        not be fetched again, and the version is complete as soon as the missing ones arrive.

        :param weights: the version that is being fetched.
        :param chunks: its chunks.
        :raises PlatformError: ``engine_unavailable``.
        """
        if weights == self.weights and self.stored.issuperset(chunks.contents):
            return
        async with self.lock:
            if weights != self.weights and asyncio.get_running_loop().time() < self.hold_until:
                return
            self.select_version(weights)
            for index in sorted(chunks.contents.keys() - self.stored):
                await self.engine.stage(weights.model, index, chunks.contents[index])
                self.stored.add(index)

    async def stage_all(self, weights: WeightsId, chunks: VersionChunks) -> None:
        """Verify all chunks at the engine, and store those that are missing or corrupt there.

        The caller holds the lock.

        :param weights: the version.
        :param chunks: its chunks.
        :raises PlatformError: ``engine_unavailable``.
        """
        self.select_version(weights)
        for index, content in sorted(chunks.contents.items()):
            staged = await self.engine.read_staged(weights.model, index)
            if staged is None or not verify_chunk(chunks.manifest, index, staged):
                await self.engine.stage(weights.model, index, content)
            self.stored.add(index)
        self.repository.staged_weights = weights
        self.repository.corrupt_staged.clear()

    def hold_version(self) -> None:
        """Keep received chunks of other versions from replacing the staged one for some seconds.

        Load pattern: a load order gets no response because the engine is stalled. The engine
        executes it up to ``UNACKNOWLEDGED_ORDER_S`` later, and must not find chunks of a newer
        version by then.
        """
        self.hold_until = asyncio.get_running_loop().time() + UNACKNOWLEDGED_ORDER_S

    def select_version(self, weights: WeightsId) -> None:
        """Select the version to stage; another one starts with no stored chunks.

        :param weights: the version.
        """
        if weights != self.weights:
            self.weights = weights
            self.stored.clear()
            if self.repository.staged_weights != weights:
                self.repository.staged_weights = None


__all__ = ('Stager',)
