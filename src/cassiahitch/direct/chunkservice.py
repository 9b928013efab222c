"""Chunks and manifests for the agents of other hosts, over HTTP."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING

from tornado.web import Application, RequestHandler

from cassiahitch.direct.chunks import WeightsName

if TYPE_CHECKING:
    from cassiahitch.direct.library import ChunkLibrary

#: Longest time for which a request waits for a chunk, in seconds.
WAIT_S = 0.6
CHUNK_ROUTE = r'/chunks/([^/]+)/([0-9]+)/([0-9]+)'
MANIFEST_ROUTE = r'/manifests/([^/]+)/([0-9]+)'


class ChunkHandler(RequestHandler):
    """Serves one chunk; 503 means that it is not here yet, 404 that it will not be."""

    def initialize(self, library: ChunkLibrary) -> None:
        """Take what it serves.

        :param library: the chunks of this host.
        """
        self.library = library

    async def get(self, model: str, version: str, index: str) -> None:
        """Answer with a chunk.

        :param model: its model.
        :param version: its version.
        :param index: its position.
        """
        name = WeightsName(int(version), model)
        if not self.library.may_come(name):
            self.set_status(HTTPStatus.NOT_FOUND)
            return
        content = await self.library.chunk(name, int(index), WAIT_S)
        if content is None:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self.set_header('Content-Type', 'application/octet-stream')
        await self.finish(content)


class ManifestHandler(RequestHandler):
    """Serves the digests of a version that this host knows."""

    def initialize(self, library: ChunkLibrary) -> None:
        """Take what it serves.

        :param library: the chunks of this host.
        """
        self.library = library

    async def get(self, model: str, version: str) -> None:
        """Answer with the digests and sizes of chunks.

        :param model: the model.
        :param version: the version.
        """
        held = self.library.shelf.held.get(WeightsName(int(version), model))
        if held is None:
            self.set_status(HTTPStatus.NOT_FOUND)
            return
        await self.finish(json.dumps({'chunks': held.manifest.chunks}))


def chunk_service(library: ChunkLibrary) -> Application:
    """Return the service of chunks.

    :param library: the chunks of this host.
    :return: the service.
    """
    arguments = {'library': library}
    routes = [
        (CHUNK_ROUTE, ChunkHandler, arguments),
        (MANIFEST_ROUTE, ManifestHandler, arguments),
    ]
    return Application(routes, log_function=_quiet)


def _quiet(handler: RequestHandler) -> None:
    """Leave transfers out of the log."""


__all__ = ('chunk_service',)
