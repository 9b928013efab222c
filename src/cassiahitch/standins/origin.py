"""A stand-in of the origin of weights behind a link of limited rate."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field

from cassiahitch.standins.http import StandInHandler, StandInServer

HTTP_NOT_FOUND = 404


@dataclass(slots=True)
class PublishedVersion:
    """A version that is published under an origin path: its JSON manifest and its chunks."""

    manifest: bytes
    chunks: tuple[bytes, ...]


@dataclass(slots=True)
class MemoryOrigin:
    """Published versions by path, sent over a link of ``link_bytes_per_s``.

    The next ``corrupt_chunks`` chunks are sent with a corrupt first byte.
    """

    link_bytes_per_s: float
    versions: dict[str, PublishedVersion] = field(default_factory=dict)
    sent_bytes: int = 0
    link_free_at: float = 0
    corrupt_chunks: int = 0

    async def send(self, content: bytes) -> bytes:
        """Return bytes after the time that the link takes for them.

        :param content: the bytes to send.
        :return: the same bytes.
        """
        now = time.monotonic()
        self.link_free_at = max(self.link_free_at, now) + len(content) / self.link_bytes_per_s
        self.sent_bytes += len(content)
        await asyncio.sleep(self.link_free_at - now)
        return content


def corrupt_first_byte(content: bytes) -> bytes:
    """Return bytes with a corrupt first byte.

    :param content: at least one byte.
    :return: bytes of the same length.
    """
    return bytes([content[0] ^ 1]) + content[1:]


class ManifestHandler(StandInHandler):
    """Serves manifests."""

    target: MemoryOrigin

    async def get(self, origin: str) -> None:
        """Return the manifest of an origin path.

        :param origin: origin path of the version.
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

        :param origin: origin path of the version.
        :param index: index of the chunk in the manifest, from 0.
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
    """Lists the published versions."""

    target: MemoryOrigin

    def get(self) -> None:
        """Return the published paths and the number of bytes sent so far."""
        paths = sorted(self.target.versions)
        self.write(json.dumps({'paths': paths, 'sent_bytes': self.target.sent_bytes}))


def serve_origin(origin: MemoryOrigin) -> StandInServer:
    """Serve an origin of weights over HTTP.

    :param origin: the published versions.
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
