"""Stand-in of the origin of weights, behind a link of limited rate."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field

from cassiahitch.standins.http import StandInHandler, StandInServer

HTTP_NOT_FOUND = 404


@dataclass(slots=True)
class PublishedVersion:
    """A version under an origin path: JSON manifest and chunks."""

    manifest: bytes
    chunks: tuple[bytes, ...]


@dataclass(slots=True)
class MemoryOrigin:
    """Published versions and the link that carries them; ``link_bytes_per_s`` is its rate.

    The next ``corrupt_chunks`` chunks are sent with a wrong byte.
    """

    link_bytes_per_s: float
    versions: dict[str, PublishedVersion] = field(default_factory=dict)
    sent_bytes: int = 0
    link_free_at: float = 0
    corrupt_chunks: int = 0

    async def send(self, content: bytes) -> bytes:
        """Pass bytes through the link.

        :param content: the bytes.
        :return: the bytes, once the link has carried them.
        """
        now = time.monotonic()
        self.link_free_at = max(self.link_free_at, now) + len(content) / self.link_bytes_per_s
        self.sent_bytes += len(content)
        await asyncio.sleep(self.link_free_at - now)
        return content


def corrupt_first_byte(content: bytes) -> bytes:
    """Change the first byte.

    :param content: any bytes but none.
    :return: other bytes of the same length.
    """
    return bytes([content[0] ^ 1]) + content[1:]


class ManifestHandler(StandInHandler):
    """Serves manifests."""

    target: MemoryOrigin

    async def get(self, origin: str) -> None:
        """Return the manifest of an origin path.

        :param origin: the path.
        """
        version = self.target.versions.get(origin)
        if version is None:
            self.set_status(HTTP_NOT_FOUND)
            return
        self.write(await self.target.send(version.manifest))


class ChunkHandler(StandInHandler):
    """Serves chunks."""

    target: MemoryOrigin

    async def get(self, origin: str, index: str) -> None:
        """Return a chunk of an origin path.

        :param origin: the path.
        :param index: position in the manifest, from 0.
        """
        version = self.target.versions.get(origin)
        if version is None or int(index) >= len(version.chunks):
            self.set_status(HTTP_NOT_FOUND)
            return
        content = version.chunks[int(index)]
        if self.target.corrupt_chunks > 0:
            self.target.corrupt_chunks -= 1
            content = corrupt_first_byte(content)
        self.write(await self.target.send(content))


class PublishedHandler(StandInHandler):
    """Lists what is published."""

    target: MemoryOrigin

    def get(self) -> None:
        """Return the published paths and the bytes sent so far."""
        paths = sorted(self.target.versions)
        self.write(json.dumps({'paths': paths, 'sent_bytes': self.target.sent_bytes}))


def serve_origin(origin: MemoryOrigin) -> StandInServer:
    """Serve an origin over HTTP.

    :param origin: the origin.
    :return: the running server.
    """
    routes = [
        (r'/v1/weights/(.+)/manifest', ManifestHandler),
        (r'/v1/weights/(.+)/chunks/(\d+)', ChunkHandler),
        (r'/v1/published', PublishedHandler),
    ]
    return StandInServer(routes, origin)


__all__ = (
    'MemoryOrigin',
    'PublishedVersion',
    'corrupt_first_byte',
    'serve_origin',
)
