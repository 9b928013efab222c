"""Chunks that an agent holds in memory, and those that wait for them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from cassiahitch.weights.manifest import Manifest, verify_chunk

#: Seconds between looks for a version that is not known yet.
POLL_S = 0.05


@dataclass(frozen=True, slots=True, order=True)
class WeightsId:
    """A version of a model's weights."""

    version: int
    model: str


def make_manifest(name: WeightsId, digests: tuple[str, ...], sizes: tuple[int, ...]) -> Manifest:
    """Return the manifest of weights whose digests the origin names.

    :param name: the weights.
    :param digests: SHA-256 digests of the chunks.
    :param sizes: sizes of the chunks in bytes.
    :return: the manifest.
    """
    version = f'{name.model}:{name.version}'
    return Manifest(version, max(sizes), digests, sizes, sum(sizes))


@dataclass(slots=True)
class VersionChunks:
    """Verified chunks of one version; ``arrived`` is set and replaced with each new one."""

    manifest: Manifest
    contents: dict[int, bytes] = field(default_factory=dict)
    arrived: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def complete(self) -> bool:
        """Whether all chunks are there."""
        return len(self.contents) == len(self.manifest.chunks)


@dataclass(slots=True)
class ChunkCache:
    """The chunks of the newest version and of the one before."""

    held: dict[WeightsId, VersionChunks] = field(default_factory=dict)

    def begin(self, name: WeightsId, manifest: Manifest) -> VersionChunks:
        """Make room for a version; only the newest two are kept.

        :param name: the version.
        :param manifest: its manifest.
        :return: where its chunks go.
        """
        if name not in self.held:
            self.held[name] = VersionChunks(manifest)
            for old in sorted(self.held)[:-2]:
                self.held.pop(old)
        return self.held.setdefault(name, VersionChunks(manifest))

    def add(self, name: WeightsId, index: int, content: bytes) -> bool:
        """Add a chunk if its digest is right.

        :param name: its version.
        :param index: its position.
        :param content: its bytes.
        :return: whether it was right.
        """
        held = self.held.get(name)
        if held is None or not verify_chunk(held.manifest, index, content):
            return False
        held.contents[index] = content
        held.arrived.set()
        held.arrived = asyncio.Event()
        return True

    async def wait(self, name: WeightsId, index: int, seconds: float) -> bytes | None:
        """Return a chunk as soon as it is there.

        :param name: its version.
        :param index: its position.
        :param seconds: how long to wait.
        :return: its bytes, or nothing after that time.
        """
        until = asyncio.get_running_loop().time() + seconds
        while True:
            held = self.held.get(name)
            content = held.contents.get(index) if held else None
            left_s = until - asyncio.get_running_loop().time()
            if content is not None or left_s <= 0:
                return content
            await _until(held.arrived if held else None, left_s)


async def _until(arrived: asyncio.Event | None, seconds: float) -> None:
    if arrived is None:
        await asyncio.sleep(min(seconds, POLL_S))
        return
    try:
        async with asyncio.timeout(seconds):
            await arrived.wait()
    except TimeoutError:
        return


__all__ = (
    'ChunkCache',
    'VersionChunks',
    'WeightsId',
    'make_manifest',
)
