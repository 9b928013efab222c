"""Chunks and manifests for the agents of other hosts, over HTTP."""

from __future__ import annotations

import asyncio
import json
import re
from contextlib import ExitStack, aclosing, suppress
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.util.access import no_access_log
from cassiahitch.weights.tree import Tier

if TYPE_CHECKING:
    from cassiahitch.direct.staging.repository import ChunkRepository
    from cassiahitch.direct.staging.uploads import UploadLimiter

#: Longest time for which a request waits for a chunk, in seconds.
WAIT_S = 0.6
RANGE = re.compile('bytes=([0-9]{1,9})-([0-9]{1,9})')
WHOLE = slice(0, None)
CHUNK_ROUTE = r'/chunks/([^/]+)/([0-9]+)/([0-9]+)'
MANIFEST_ROUTE = r'/manifests/([^/]+)/([0-9]+)'


class ChunkHandler(RequestHandler):
    """Serves one chunk; 503 means that it is not here yet, 404 that it will not be.

    With ``look`` in the query it only says whether the chunk is here, after a while.
    """

    def initialize(self, library: ChunkRepository, uploads: UploadLimiter, region: str) -> None:
        """Take what it serves.

        :param library: the chunks of this host.
        :param uploads: the links that they leave by.
        :param region: the region of this host.
        """
        self.library = library
        self.uploads = uploads
        self.region = region

    async def get(self, model: str, version: str, index: str) -> None:
        """Answer with a chunk.

        :param model: its model.
        :param version: its version.
        :param index: its position.
        """
        name = WeightsId(int(version), model)
        if not self.library.may_come(name):
            self.set_status(HTTPStatus.NOT_FOUND)
            return
        if self.get_query_argument('look', ''):
            found = await self.library.chunk(name, int(index), WAIT_S)
            here = found is not None
            self.set_status(HTTPStatus.NO_CONTENT if here else HTTPStatus.SERVICE_UNAVAILABLE)
            return
        tier = Tier(int(self.get_query_argument('tier', str(Tier.stray.value))))
        span = parse_span(self.request.headers.get('Range', ''))
        # Who has got the first part of a chunk gets the rest.
        if not span.start and self.uploads.refuses(tier):
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        try:
            async with asyncio.timeout(WAIT_S):
                content = await self.library.chunk(name, int(index), WAIT_S)
                await self.uploads.places.acquire(tier)
        except TimeoutError:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        with ExitStack() as stack:
            stack.callback(self.uploads.places.release)
            stack.enter_context(suppress(StreamClosedError))
            await self.send(content, span, tier)

    async def send(self, content: bytes | None, span: slice, tier: Tier) -> None:
        """Send a part of a chunk at the pace of the links.

        :param content: the chunk, or nothing if it is not here yet.
        :param span: the part.
        :param tier: what depends on it.
        """
        if content is None:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        if span != WHOLE:
            self.set_status(HTTPStatus.PARTIAL_CONTENT)
            content = content[span]
        crosses = self.get_query_argument('region', '') != self.region
        self.set_header('Content-Type', 'application/octet-stream')
        self.set_header('Content-Length', len(content))
        async with aclosing(self.uploads.paced(content, tier, crosses=crosses)) as parts:
            async for part in parts:
                self.write(part)
                await self.flush()


def parse_span(header: str) -> slice:
    """Read which part of a chunk is asked for.

    :param header: the header ``Range``, of which only one closed range is known.
    :return: the part, the whole chunk for any other header.
    """
    found = RANGE.fullmatch(header)
    if found is None:
        return WHOLE
    first, last = (int(text) for text in found.groups())
    return slice(first, last + 1)


class ManifestHandler(RequestHandler):
    """Serves the digests of a version that this host knows."""

    def initialize(self, library: ChunkRepository) -> None:
        """Take what it serves.

        :param library: the chunks of this host.
        """
        self.library = library

    async def get(self, model: str, version: str) -> None:
        """Answer with the digests and sizes of chunks.

        :param model: the model.
        :param version: the version.
        """
        held = self.library.shelf.held.get(WeightsId(int(version), model))
        if held is None:
            self.set_status(HTTPStatus.NOT_FOUND)
            return
        await self.finish(json.dumps({'chunks': held.manifest.chunks}))


def make_chunk_service(
    library: ChunkRepository, uploads: UploadLimiter, region: str
) -> Application:
    """Return the service of chunks.

    :param library: the chunks of this host.
    :param uploads: the links that they leave by.
    :param region: the region of this host.
    :return: the service.
    """
    arguments: dict[str, Any] = {'library': library}
    routes: list[Any] = [
        (CHUNK_ROUTE, ChunkHandler, {**arguments, 'uploads': uploads, 'region': region}),
        (MANIFEST_ROUTE, ManifestHandler, arguments),
    ]
    return Application(routes, log_function=no_access_log)


__all__ = ('make_chunk_service',)
