"""A stand-in of the platform's origin of weights."""

from __future__ import annotations

import hashlib
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from cassiahitch.direct.serving import start_server
from cassiahitch.platform import names
from cassiahitch.standins.engineweights import LAYERS
from cassiahitch.util.accesslog import no_access_log
from cassiahitch.util.endpoints import Endpoint


class ManifestFault(StrEnum):
    """What is wrong with a manifest that parses nevertheless."""

    wrong_digest = 'wrong_digest'
    malformed_digest = 'malformed_digest'
    short = 'short'
    long = 'long'
    empty = 'empty'
    other_model = 'other_model'
    other_version = 'other_version'
    other_chunk_size = 'other_chunk_size'
    other_layers = 'other_layers'


@dataclass(slots=True)
class WeightService:
    """The chunks of each published version of one model.

    ``sent`` counts the sent chunks by version, ``manifests_sent`` the sent manifests by version,
    ``missing_version_requests`` the requests for versions that are not available. The next
    ``corrupt`` chunks are sent as zeros, and the next ``corrupt_manifests`` manifests with
    ``manifest_fault``.
    """

    model: str
    chunk_bytes: int
    chunks: dict[int, list[bytes]] = field(default_factory=dict)
    sent: Counter[int] = field(default_factory=Counter)
    missing_version_requests: Counter[int] = field(default_factory=Counter)
    corrupt: int = 0
    corrupt_manifests: int = 0
    manifest_fault: ManifestFault = ManifestFault.wrong_digest
    manifests_sent: Counter[int] = field(default_factory=Counter)
    down: bool = False

    def publish(self, version: int, chunks: int) -> None:
        """Make a version available.

        :param version: the version.
        :param chunks: number of chunks of the version.
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
        """Return the digest of the complete content of a version.

        :param version: the version.
        :return: SHA-256 in hexadecimal.
        """
        return hashlib.sha256(b''.join(self.chunks[version])).hexdigest()


class _WeightHandler(RequestHandler):
    """Base of the handlers; refuses every request while the origin is down."""

    def initialize(self, weights: WeightService) -> None:
        """Set the weight service that the handler serves.

        :param weights: the weight service.
        """
        self.weights = weights

    def prepare(self) -> None:
        """Refuse the request if the origin is down or does not have the version."""
        if self.weights.down:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            self.finish()
        elif self.version() not in self.weights.chunks:
            self.weights.missing_version_requests[self.version()] += 1
            self.set_status(HTTPStatus.GONE)
            self.finish()

    def version(self) -> int:
        """Return the requested version.

        :return: the version, by default the newest.
        """
        return int(self.get_query_argument('version', str(max(self.weights.chunks, default=0))))


class ManifestHandler(_WeightHandler):
    """Serves manifests."""

    def get(self, model: str) -> None:
        """Return the manifest of a version.

        :param model: name of the model.
        """
        version = self.version()
        self.weights.manifests_sent[version] += 1
        manifest = {
            'model': model,
            'version': version,
            'chunkBytes': self.weights.chunk_bytes,
            'layers': LAYERS,
            'chunkDigests': self.weights.digests(version),
        }
        if self.weights.corrupt_manifests > 0:
            self.weights.corrupt_manifests -= 1
            manifest |= faulty_fields(manifest, self.weights.manifest_fault)
        self.finish(manifest)


def faulty_fields(manifest: dict[str, Any], fault: ManifestFault) -> dict[str, Any]:
    """Return the fields of a manifest that a fault changes.

    :param manifest: the sound manifest.
    :param fault: the fault.
    :return: the changed fields.
    """
    digests: list[str] = manifest['chunkDigests']
    middle = len(digests) // 2
    before, after = digests[:middle], digests[middle + 1 :]
    wrong = hashlib.sha256(b'corrupt').hexdigest()
    changes: dict[ManifestFault, dict[str, Any]] = {
        ManifestFault.wrong_digest: {'chunkDigests': [*before, wrong, *after]},
        ManifestFault.malformed_digest: {'chunkDigests': [*before, wrong[:-1], *after]},
        ManifestFault.short: {'chunkDigests': digests[:-1]},
        ManifestFault.long: {'chunkDigests': [*digests, wrong]},
        ManifestFault.empty: {'chunkDigests': []},
        ManifestFault.other_model: {'model': f'{manifest["model"]}-old'},
        ManifestFault.other_version: {'version': manifest['version'] + 1},
        ManifestFault.other_chunk_size: {'chunkBytes': manifest['chunkBytes'] + 1},
        ManifestFault.other_layers: {'layers': manifest['layers'] + 1},
    }
    return changes[fault]


class ChunkHandler(_WeightHandler):
    """Serves chunks."""

    def get(self, model: str) -> None:
        """Return a chunk of a version.

        :param model: name of the model.
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
    """Serve the weights of a model over HTTP.

    :param weights: the weight service.
    :param address: IP number to listen on.
    :return: the server, which the caller must stop, and its port.
    """
    arguments = {'weights': weights}
    routes: list[Any] = [
        (f'{names.MANIFEST_PATH}/([^/]+)', ManifestHandler, arguments),
        (f'{names.ORIGIN_CHUNK_PATH}/([^/]+)', ChunkHandler, arguments),
    ]
    return start_server(Application(routes, log_function=no_access_log), Endpoint(address, 0))


__all__ = (
    'ManifestFault',
    'WeightService',
    'serve_weights',
)
