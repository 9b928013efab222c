"""All chunks of a host: those in its agent's memory, and those that its engine has staged."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.chunks import ChunkCache, VersionChunks, WeightsId
from cassiahitch.errors import PlatformError

if TYPE_CHECKING:
    from cassiahitch.direct.platformapi import Origin
    from cassiahitch.direct.staging.enginestate import StagingEngine
    from cassiahitch.direct.staging.layout import WeightsLayout
    from cassiahitch.direct.staging.manifests import ManifestReader
    from cassiahitch.direct.staging.peerclient import PeerClient


@dataclass(slots=True)
class ChunkRepository:
    """Finds manifests, and chunks in memory or at the engine.

    ``staged_weights`` is the version that the engine has staged completely, and
    ``corrupt_staged`` its chunks that turned out to be missing or wrong. ``on_newer_version`` is
    called with a version that another agent requests and that is newer than ``newest_version``.
    """

    engine: StagingEngine
    manifests: ManifestReader
    cache: ChunkCache = field(default_factory=ChunkCache)
    staged_weights: WeightsId | None = None
    newest_version: int = 0
    on_newer_version: Callable[[WeightsId], None] | None = None
    origin_region: str = ''
    origin_mbit_s: float = 0
    corrupt_staged: set[tuple[WeightsId, int]] = field(default_factory=set)

    @property
    def origin(self) -> Origin:
        """The origin of weights."""
        return self.manifests.origin

    @property
    def peers(self) -> PeerClient:
        """The other agents."""
        return self.manifests.peers

    @property
    def layout(self) -> WeightsLayout:
        """How each version is split, as the configuration declares it."""
        return self.manifests.layout

    def apply_layout(self, layout: WeightsLayout) -> None:
        """Apply the layout of a configuration; versions of another layout are not used any more.

        :param layout: the layout.
        """
        if layout == self.layout:
            return
        self.manifests.layout = layout
        self.staged_weights = None
        for weights, chunks in tuple(self.cache.versions.items()):
            if not layout.fits(chunks):
                self.cache.versions.pop(weights)

    def is_expected(self, weights: WeightsId) -> bool:
        """Return whether this host holds a version or will fetch it.

        Load pattern: an agent that does not reach the store learns of a new version from the
        agents that request its chunks.

        :param weights: the version that another agent requests.
        :return: whether a request for its chunks can succeed now or later.
        """
        if weights.version > self.newest_version and self.on_newer_version is not None:
            self.on_newer_version(weights)
        return (
            weights in self.cache.versions
            or weights == self.staged_weights
            or weights.version >= self.newest_version
        )

    async def open_version(self, weights: WeightsId) -> VersionChunks:
        """Return the chunks of a version; fetch its manifest if the version is not cached.

        :param weights: the version.
        :return: its chunks in memory, to which new ones are added.
        :raises PlatformError: if neither the origin nor another agent sends a sound manifest.
        """
        chunks = self.cache.versions.get(weights)
        if chunks is not None:
            return chunks
        return self.cache.add_version(weights, await self.manifests.read(weights))

    async def refresh_manifest(self, weights: WeightsId) -> bool:
        """Fetch the digests of a cached version again.

        :param weights: the version.
        :return: whether the digest of a chunk that was not verified yet was another one before.
        :raises PlatformError: if neither the origin nor another agent sends a sound manifest.
        """
        manifest = await self.manifests.read(weights)
        chunks = self.cache.versions.get(weights)
        return chunks is not None and chunks.replace_digests(manifest.chunks)

    def held_bitmap(self, weights: WeightsId) -> int:
        """Return which chunks of a version are in memory.

        :param weights: the version.
        :return: a bitmap by position.
        """
        chunks = self.cache.versions.get(weights)
        return sum(1 << index for index in chunks.contents) if chunks else 0

    def offered_bitmap(self, weights: WeightsId) -> int:
        """Return which chunks of a version other agents can fetch from this host.

        Load pattern: a new engine needs a version that all other engines loaded long ago, and
        that no agent has in memory any more.

        :param weights: the version.
        :return: a bitmap of the chunks in memory or staged, without staged ones found corrupt.
        """
        if weights != self.staged_weights:
            return self.held_bitmap(weights)
        corrupt = sum(1 << index for owner, index in self.corrupt_staged if owner == weights)
        return self.held_bitmap(weights) | self.layout.all_chunks & ~corrupt

    async def read_chunk(self, weights: WeightsId, index: int, timeout_s: float) -> bytes | None:
        """Return a chunk from memory or from the engine.

        :param weights: the version of the chunk.
        :param index: its position.
        :param timeout_s: longest time to wait until it is in memory, in seconds.
        :return: its bytes, or None after the timeout.
        """
        chunks = self.cache.versions.get(weights)
        if weights == self.staged_weights and (chunks is None or index not in chunks.contents):
            await self.restore_staged(weights, index)
        return await self.cache.wait_for_chunk(weights, index, timeout_s)

    async def restore_staged(self, weights: WeightsId, index: int) -> bool:
        """Copy a chunk that the engine has staged into memory, if its digest matches.

        :param weights: the version of the chunk.
        :param index: its position.
        :return: whether the chunk was copied.
        """
        try:
            await self.open_version(weights)
            content = await self.engine.read_staged(weights.model, index)
        except PlatformError:
            # The engine or the manifest is unavailable. The chunk is fetched from another source,
            # and staged chunks are not offered until the engine reports the version again.
            self.staged_weights = None
            return False
        if content is not None and self.cache.add_chunk(weights, index, content):
            return True
        self.corrupt_staged.add((weights, index))
        return False


__all__ = ('ChunkRepository',)
