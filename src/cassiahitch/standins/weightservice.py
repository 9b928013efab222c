"""A stand-in of the platform's origin of weights."""

from __future__ import annotations

import hashlib
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from cassiahitch.direct.serving import start_server
from cassiahitch.platform import names
from cassiahitch.util.accesslog import no_access_log
from cassiahitch.util.endpoints import Endpoint


@dataclass(slots=True)
class WeightService:
    """Chunks of each version of one model.

    ``sent`` counts the chunks that were sent, ``missed`` the requests for versions that are gone.
    """

    model: str
    chunk_bytes: int
    chunks: dict[int, list[bytes]] = field(default_factory=dict)
    sent: Counter[int] = field(default_factory=Counter)
    missing_version_requests: Counter[int] = field(default_factory=Counter)
    corrupt: int = 0
    down: bool = False

    def publish(self, version: int, chunks: int) -> None:
        """Make a version available.

        :param version: the version.
        :param chunks: how many chunks it has.
        """
        self.chunks[version] = [
            hashlib.sha256(f'{version} {index}'.encode()).digest().ljust(self.chunk_bytes, b'.')
            for index in range(chunks)
        ]

    def digests(self, version: int) -> list[str]:
        """Return the digests of the chunks of a version.

        :param version: the version.
        :return: SHA-256 in hexadecimal.
        """
        return [hashlib.sha256(chunk).hexdigest() for chunk in self.chunks[version]]

    def content_digest(self, version: int) -> str:
        """Return the digest of all chunks of a version together.

        :param version: the version.
        :return: SHA-256 in hexadecimal.
        """
        return hashlib.sha256(b''.join(self.chunks[version])).hexdigest()


class _WeightHandler(RequestHandler):
    """Shares the chunks and refuses while the origin is down."""

    def initialize(self, weights: WeightService) -> None:
        """Take the chunks.

        :param weights: the chunks.
        """
        self.weights = weights

    def prepare(self) -> None:
        """Refuse while the origin is down, and what it does not have."""
        if self.weights.down:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            self.finish()
        elif self.version() not in self.weights.chunks:
            self.weights.missing_version_requests[self.version()] += 1
            self.set_status(HTTPStatus.GONE)
            self.finish()

    def version(self) -> int:
        """Return the version that is asked for.

        :return: the version.
        """
        return int(self.get_query_argument('version', str(max(self.weights.chunks, default=0))))


class ManifestHandler(_WeightHandler):
    """Serves digests."""

    def get(self, model: str) -> None:
        """Answer with the digests of a version.

        :param model: the model.
        """
        version = self.version()
        self.finish(
            {
                'model': model,
                'version': version,
                'chunkBytes': self.weights.chunk_bytes,
                'chunkDigests': self.weights.digests(version),
            }
        )


class ChunkHandler(_WeightHandler):
    """Serves chunks."""

    def get(self, model: str) -> None:
        """Answer with a chunk.

        :param model: the model.
        """
        version = self.version()
        index = int(self.get_query_argument(names.CHUNK_INDEX))
        content = self.weights.chunks[version][index]
        self.weights.sent[version] += 1
        if self.weights.corrupt > 0:
            self.weights.corrupt -= 1
            content = bytes(len(content))
        self.finish(content)


def serve_weights(weights: WeightService, address: str) -> tuple[HTTPServer, int]:
    """Serve chunks over HTTP.

    :param weights: the chunks.
    :param address: IP number to listen on.
    :return: the server, to be stopped, and its port.
    """
    arguments = {'weights': weights}
    routes: list[Any] = [
        (f'{names.MANIFEST_PATH}/([^/]+)', ManifestHandler, arguments),
        (f'{names.ORIGIN_CHUNK_PATH}/([^/]+)', ChunkHandler, arguments),
    ]
    return start_server(Application(routes, log_function=no_access_log), Endpoint(address, 0))


__all__ = (
    'WeightService',
    'serve_weights',
)
