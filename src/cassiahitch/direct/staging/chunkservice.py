"""HTTP service of chunks and manifests for the agents of other hosts."""

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
from cassiahitch.util.accesslog import no_access_log
from cassiahitch.weights.tree import Tier

if TYPE_CHECKING:
    from cassiahitch.direct.staging.repository import ChunkRepository
    from cassiahitch.direct.staging.uploads import UploadLimiter

#: Longest time for which a request waits for a chunk or for an upload slot, in seconds.
CHUNK_WAIT_S = 0.6
CLOSED_RANGE = re.compile('bytes=([0-9]{1,9})-([0-9]{1,9})')
FULL_CHUNK = slice(0, None)
CHUNK_ROUTE = r'/chunks/([^/]+)/([0-9]{1,10})/([0-9]{1,10})'
MANIFEST_ROUTE = r'/manifests/([^/]+)/([0-9]{1,10})'


class ChunkHandler(RequestHandler):
    """Serves one chunk.

    Status 503 means that this host does not hold the chunk yet or is sending too many chunks,
    status 404 that it does not expect the version or that there is no such chunk. With ``look`` in
    the query, the response has no body: it is 204 once this host holds the chunk, or 503 after
    ``CHUNK_WAIT_S``.
    """

    def initialize(
        self, repository: ChunkRepository, upload_limiter: UploadLimiter, region: str
    ) -> None:
        """Set what the handler serves.

        :param repository: the chunks of this host.
        :param upload_limiter: limits what is sent.
        :param region: the region of this host.
        """
        self.repository = repository
        self.upload_limiter = upload_limiter
        self.region = region

    async def get(self, model: str, version: str, index: str) -> None:
        """Send a chunk, or the requested range of it.

        :param model: the model.
        :param version: the version of its weights.
        :param index: the position of the chunk.
        """
        weights = WeightsId(int(version), model)
        is_declared = self.repository.layout.has_chunk(weights.model, int(index))
        if not is_declared or not self.repository.is_expected(weights):
            self.set_status(HTTPStatus.NOT_FOUND)
            return
        if self.get_query_argument('look', ''):
            chunk = await self.repository.read_chunk(weights, int(index), CHUNK_WAIT_S)
            is_here = chunk is not None
            self.set_status(HTTPStatus.NO_CONTENT if is_here else HTTPStatus.SERVICE_UNAVAILABLE)
            return
        tier = Tier(int(self.get_query_argument('tier', str(Tier.joiner.value))))
        span = parse_range(self.request.headers.get('Range', ''))
        # An agent that has received the first part of a chunk is not refused the others.
        if not span.start and self.upload_limiter.refuses(tier):
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        try:
            async with asyncio.timeout(CHUNK_WAIT_S):
                content = await self.repository.read_chunk(weights, int(index), CHUNK_WAIT_S)
                await self.upload_limiter.slots.acquire(tier)
        except TimeoutError:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        with ExitStack() as stack:
            stack.callback(self.upload_limiter.slots.release)
            stack.enter_context(suppress(StreamClosedError))
            await self.send_range(content, span, tier)

    async def send_range(self, content: bytes | None, span: slice, tier: Tier) -> None:
        """Send a range of a chunk at the rate that the links allow.

        :param content: the chunk, or None if this host does not hold it yet.
        :param span: the range.
        :param tier: priority of the chunk, by what depends on it.
        """
        if content is None:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        if span != FULL_CHUNK:
            self.set_status(HTTPStatus.PARTIAL_CONTENT)
            content = content[span]
        crosses = self.get_query_argument('region', '') != self.region
        self.set_header('Content-Type', 'application/octet-stream')
        self.set_header('Content-Length', len(content))
        async with aclosing(
            self.upload_limiter.paced_slices(content, tier, crosses=crosses)
        ) as parts:
            async for part in parts:
                self.write(part)
                await self.flush()


def parse_range(header: str) -> slice:
    """Parse which bytes of a chunk are requested.

    :param header: the header ``Range``, of which only a single closed range is supported.
    :return: the range; the full chunk for any other header.
    """
    match = CLOSED_RANGE.fullmatch(header)
    if match is None:
        return FULL_CHUNK
    first, last = (int(text) for text in match.groups())
    return slice(first, last + 1)


class ManifestHandler(RequestHandler):
    """Serves the digests of a version that is in memory, and status 404 for any other."""

    def initialize(self, repository: ChunkRepository) -> None:
        """Set what the handler serves.

        :param repository: the chunks of this host.
        """
        self.repository = repository

    async def get(self, model: str, version: str) -> None:
        """Send the digests of the chunks of a version.

        :param model: the model.
        :param version: the version of its weights.
        """
        chunks = self.repository.cache.versions.get(WeightsId(int(version), model))
        if chunks is None:
            self.set_status(HTTPStatus.NOT_FOUND)
            return
        await self.finish(json.dumps({'chunks': chunks.manifest.chunks}))


def make_chunk_service(
    repository: ChunkRepository, upload_limiter: UploadLimiter, region: str
) -> Application:
    """Build the HTTP service of chunks and manifests.

    :param repository: the chunks of this host.
    :param upload_limiter: limits what is sent.
    :param region: the region of this host.
    :return: the service.
    """
    arguments: dict[str, Any] = {'repository': repository}
    routes: list[Any] = [
        (
            CHUNK_ROUTE,
            ChunkHandler,
            {**arguments, 'upload_limiter': upload_limiter, 'region': region},
        ),
        (MANIFEST_ROUTE, ManifestHandler, arguments),
    ]
    return Application(routes, log_function=no_access_log)


__all__ = ('make_chunk_service',)
