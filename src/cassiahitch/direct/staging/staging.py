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

#: Seconds after an order without an answer in which an engine may still carry it out.
UNSURE_S = 10.0


@dataclass(slots=True)
class Stager:
    """Owns what the engine has staged, which is one version or a part of it.

    Whoever orders a load holds ``lock`` from before the chunks are verified until the order is
    accepted, so that chunks of a newer version do not come among them.
    """

    engine: StagingEngine
    library: ChunkRepository
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    name: WeightsId | None = None
    stored: set[int] = field(default_factory=set)
    unsure_until: float = float('-inf')

    async def store_arrived(self, name: WeightsId, held: VersionChunks) -> None:
        """Store the chunks that have arrived since the last time.

        Load pattern: power fails while a version is fetched. What is staged then need not be
        fetched again, and the version is whole again once the rest is here.

        :param name: the version that is fetched.
        :param held: its chunks.
        :raises PlatformError: ``engine_unavailable``.
        """
        if name == self.name and self.stored.issuperset(held.contents):
            return
        async with self.lock:
            if name != self.name and asyncio.get_running_loop().time() < self.unsure_until:
                return
            self.begin(name)
            for index in sorted(held.contents.keys() - self.stored):
                await self.engine.stage(name.model, index, held.contents[index])
                self.stored.add(index)

    async def store_whole(self, name: WeightsId, held: VersionChunks) -> None:
        """Store all chunks that are not there as they should be; the caller holds the lock.

        :param name: the version.
        :param held: its chunks.
        :raises PlatformError: ``engine_unavailable``.
        """
        self.begin(name)
        for index, content in sorted(held.contents.items()):
            found = await self.engine.staged(name.model, index)
            if found is None or not verify_chunk(held.manifest, index, found):
                await self.engine.stage(name.model, index, content)
            self.stored.add(index)
        self.library.staged = name
        self.library.spoilt.clear()

    def keep_version(self) -> None:
        """Keep the version that is staged for a while.

        Load pattern: an order to load gets no answer, and an engine that stood still carries it
        out seconds later, when chunks of a newer version would lie there.
        """
        self.unsure_until = asyncio.get_running_loop().time() + UNSURE_S

    def begin(self, name: WeightsId) -> None:
        """Count nothing as stored if another version was staged.

        :param name: the version that is staged from here on.
        """
        if name != self.name:
            self.name = name
            self.stored.clear()
            if self.library.staged != name:
                self.library.staged = None


__all__ = ('Stager',)
