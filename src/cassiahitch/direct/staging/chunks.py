"""In-memory cache of the chunks of an agent."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

from cassiahitch.weights.manifest import Manifest, verify_chunk

#: Seconds between two checks for a version that is not in the cache yet.
POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True, order=True)
class WeightsId:
    """Identifies a version of a model's weights; sorts by version."""

    version: int
    model: str


def make_manifest(weights: WeightsId, digests: tuple[str, ...], sizes: tuple[int, ...]) -> Manifest:
    """Return the manifest of weights for digests that the origin or another agent sent.

    :param weights: the version of the weights.
    :param digests: SHA-256 digests of the chunks.
    :param sizes: sizes of the chunks in bytes.
    :return: the manifest.
    """
    version = f'{weights.model}:{weights.version}'
    return Manifest(version, max(sizes), digests, sizes, sum(sizes))


@dataclass(slots=True)
class VersionChunks:
    """Verified chunks of one version.

    With each new chunk, ``chunk_added`` is set and replaced by a new event.
    """

    manifest: Manifest
    contents: dict[int, bytes] = field(default_factory=dict)
    chunk_added: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def complete(self) -> bool:
        """Whether all chunks of the version are in memory."""
        return len(self.contents) == len(self.manifest.chunks)

    def replace_digests(self, digests: tuple[str, ...]) -> bool:
        """Replace the digests of all chunks that no content has matched yet.

        :param digests: SHA-256 digests of all chunks.
        :return: whether one of them was another one before.
        """
        if len(digests) != len(self.manifest.chunks):
            return False
        replaced = tuple(
            known if index in self.contents else digest
            for index, (known, digest) in enumerate(zip(self.manifest.chunks, digests, strict=True))
        )
        if replaced == self.manifest.chunks:
            return False
        self.manifest = replace(self.manifest, chunks=replaced)
        return True


@dataclass(slots=True)
class ChunkCache:
    """Verified chunks of the newest two versions, in memory."""

    versions: dict[WeightsId, VersionChunks] = field(default_factory=dict)

    def add_version(self, weights: WeightsId, manifest: Manifest) -> VersionChunks:
        """Add a version without chunks, and remove older ones beyond the two newest.

        :param weights: the version.
        :param manifest: its manifest.
        :return: its chunks; the version is cached even if two newer ones are.
        """
        if weights not in self.versions:
            self.versions[weights] = VersionChunks(manifest)
            for old in sorted(self.versions)[:-2]:
                self.versions.pop(old)
        return self.versions.setdefault(weights, VersionChunks(manifest))

    def add_chunk(self, weights: WeightsId, index: int, content: bytes) -> bool:
        """Add a chunk if its content matches the digest in the manifest.

        :param weights: the version of the chunk.
        :param index: its position.
        :param content: its bytes.
        :return: whether it was added.
        """
        chunks = self.versions.get(weights)
        if chunks is None or not verify_chunk(chunks.manifest, index, content):
            return False
        chunks.contents[index] = content
        chunks.chunk_added.set()
        chunks.chunk_added = asyncio.Event()
        return True

    async def wait_for_chunk(
        self, weights: WeightsId, index: int, timeout_s: float
    ) -> bytes | None:
        """Return a chunk as soon as it is in the cache.

        :param weights: the version of the chunk.
        :param index: its position.
        :param timeout_s: longest time to wait, in seconds.
        :return: its bytes, or None after the timeout.
        """
        until = asyncio.get_running_loop().time() + timeout_s
        while True:
            chunks = self.versions.get(weights)
            content = chunks.contents.get(index) if chunks else None
            remaining_s = until - asyncio.get_running_loop().time()
            if content is not None or remaining_s <= 0:
                return content
            await _wait_for_event(chunks.chunk_added if chunks else None, remaining_s)


async def _wait_for_event(chunk_added: asyncio.Event | None, timeout_s: float) -> None:
    if chunk_added is None:
        await asyncio.sleep(min(timeout_s, POLL_INTERVAL_S))
        return
    try:
        async with asyncio.timeout(timeout_s):
            await chunk_added.wait()
    except TimeoutError:
        return


__all__ = (
    'ChunkCache',
    'VersionChunks',
    'WeightsId',
    'make_manifest',
)
