"""All chunks of a host: those in memory, and those that its engine still has staged."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.direct.staging.chunks import ChunkCache, VersionChunks, WeightsId, make_manifest
from cassiahitch.errors import PlatformError

if TYPE_CHECKING:
    from cassiahitch.direct.platformapi import Origin
    from cassiahitch.direct.staging.enginestate import StagingEngine
    from cassiahitch.direct.staging.peerclient import PeerClient


@dataclass(slots=True)
class ChunkRepository:
    """Finds manifests and chunks; ``staged`` is the version that the engine has staged."""

    engine: StagingEngine
    origin: Origin
    peers: PeerClient
    shelf: ChunkCache = field(default_factory=ChunkCache)
    staged: WeightsId | None = None
    newest: int = 0
    on_newer: Callable[[WeightsId], None] | None = None
    origin_url: str = ''
    origin_region: str = ''
    origin_mbit_s: float = 0
    chunk_bytes: int = 0
    chunk_count: int = 0
    spoilt: set[tuple[WeightsId, int]] = field(default_factory=set)

    @property
    def version_bytes(self) -> int:
        """Size of one version."""
        return self.chunk_count * self.chunk_bytes

    def may_come(self, name: WeightsId) -> bool:
        """Tell whether a version is here, or will be.

        Load pattern: an agent that does not reach the store learns of a new version from those
        that wait for its chunks.

        :param name: the version that another agent asks for.
        :return: whether to wait for it.
        """
        if name.version > self.newest and self.on_newer is not None:
            self.on_newer(name)
        return name in self.shelf.held or name == self.staged or name.version >= self.newest

    async def open(self, name: WeightsId) -> VersionChunks:
        """Learn the manifest of a version and make room for its chunks.

        :param name: the version.
        :return: where its chunks go.
        :raises PlatformError: if neither the origin nor another agent answers.
        """
        held = self.shelf.held.get(name)
        if held is not None:
            return held
        digests = await self.digests(name)
        sizes = (self.chunk_bytes,) * len(digests)
        return self.shelf.begin(name, make_manifest(name, digests, sizes))

    async def digests(self, name: WeightsId) -> tuple[str, ...]:
        """Ask the origin, or else other agents, for the digests of a version.

        :param name: the version.
        :return: SHA-256 digests of the chunks.
        :raises PlatformError: if none answers with that version.
        """
        try:
            version, digests = await self.origin.manifest(self.origin_url, name.model, name.version)
        except PlatformError:
            return await self.peers.digests(name)
        if version != name.version:
            raise PlatformError(Code.manifest_changed, f'found version {version}')
        return digests

    def bits(self, name: WeightsId) -> int:
        """Return which chunks of a version are in memory here.

        :param name: the version.
        :return: a bit for each.
        """
        held = self.shelf.held.get(name)
        return sum(1 << index for index in held.contents) if held else 0

    def offered(self, name: WeightsId) -> int:
        """Return which chunks of a version others can have from here.

        Load pattern: engines are added whose version all others have had from the start, and
        which no agent has in memory.

        :param name: the version.
        :return: a bit for each that is in memory or staged, but for those that were found wrong.
        """
        if name != self.staged:
            return self.bits(name)
        wrong = sum(1 << index for found, index in self.spoilt if found == name)
        return self.bits(name) | ((1 << self.chunk_count) - 1) & ~wrong

    async def chunk(self, name: WeightsId, index: int, wait_s: float) -> bytes | None:
        """Return a chunk from memory or from the engine.

        :param name: its version.
        :param index: its position.
        :param wait_s: how long to wait for it.
        :return: its bytes, or nothing.
        """
        held = self.shelf.held.get(name)
        if name == self.staged and (held is None or index not in held.contents):
            await self.take_staged(name, index)
        return await self.shelf.wait(name, index, wait_s)

    async def take_staged(self, name: WeightsId, index: int) -> bool:
        """Take a chunk that the engine has staged into memory, if it is right.

        :param name: its version.
        :param index: its position.
        :return: whether it was right.
        """
        try:
            await self.open(name)
            content = await self.engine.staged(name.model, index)
        except PlatformError:
            # The engine or the origin is away; the chunk comes from another source, and nothing
            # is offered until the engine has told again that it serves the version.
            self.staged = None
            return False
        if content is not None and self.shelf.add(name, index, content):
            return True
        self.spoilt.add((name, index))
        return False


__all__ = ('ChunkRepository',)
