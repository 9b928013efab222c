"""HTTP client for the chunks and manifests of other agents."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from pydantic import BaseModel, ValidationError

from cassiahitch.codes import Code
from cassiahitch.direct.staging.layout import ManifestDocument
from cassiahitch.direct.staging.receiving import PART_BYTES, ReceiveWindow
from cassiahitch.errors import PlatformError
from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpClient, HttpResponse

if TYPE_CHECKING:
    from cassiahitch.direct.staging.chunks import WeightsId
    from cassiahitch.weights.tree import Tier

#: Seconds until a transfer fails.
TRANSFER_TIMEOUT_S = 3.0
#: Chunks that are received from other regions at the same time. Bytes of more chunks would queue
#: on the link in front of requests.
MAX_REGION_DOWNLOADS = 2


Headers = tuple[tuple[str, str], ...]


class TransferState(Enum):
    """State of the transfer of a chunk that its source is ready to send."""

    waiting_locally = auto()
    receiving = auto()


def _ignore_state(_: TransferState) -> None:
    """Ignore a change of the state of a transfer."""


@dataclass(frozen=True, slots=True)
class ChunkDownload:
    """A chunk to download, its size in bytes, and the callback for the state of its transfer."""

    weights: WeightsId
    index: int
    size: int
    on_transfer: Callable[[TransferState], None] = _ignore_state

    @property
    def path(self) -> str:
        """Path of the chunk at another agent."""
        return f'chunks/{self.weights.model}/{self.weights.version}/{self.index}'


class _DigestsModel(BaseModel):
    chunks: tuple[str, ...]


@dataclass(slots=True)
class PeerClient:
    """Fetches chunks and manifests from other agents, which all listen on the same port.

    ``addresses`` are the IP addresses of the agents that are queried for manifests, in this order.
    """

    http_client: HttpClient
    port: int
    region: str
    window: ReceiveWindow
    addresses: tuple[str, ...] = ()
    region_downloads: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(MAX_REGION_DOWNLOADS)
    )

    async def fetch_chunk(self, host: str, download: ChunkDownload, tier: Tier) -> bytes | None:
        """Fetch a chunk from another agent, part by part.

        :param host: the agent.
        :param download: the chunk.
        :param tier: priority of the chunk, by what depends on it.
        :return: its bytes, unverified, or None if the agent does not have it yet or is busy.
        :raises PlatformError: ``chunk_missing`` or ``chunk_stalled``.
        """
        query = urlencode({'tier': tier.value, 'region': self.region})
        parts: list[bytes] = []
        for first in range(0, download.size, PART_BYTES):
            last = min(first + PART_BYTES, download.size) - 1
            range_header = (('Range', f'bytes={first}-{last}'),)
            download.on_transfer(TransferState.waiting_locally)
            async with self.window.receive(last - first + 1, tier):
                download.on_transfer(TransferState.receiving)
                response = await self._get(host, f'{download.path}?{query}', range_header)
            part = _content(response)
            if part is None:
                return None
            parts.append(part)
        return b''.join(parts)

    async def fetch_chunk_when_available(
        self, host: str, download: ChunkDownload, tier: Tier
    ) -> bytes | None:
        """Wait until another agent has a chunk, and fetch it.

        :param host: the agent.
        :param download: the chunk.
        :param tier: priority of the chunk, by what depends on it.
        :return: its bytes, unverified, or None if the agent does not have it yet or is busy.
        :raises PlatformError: ``chunk_missing`` or ``chunk_stalled``.
        """
        availability = await self._get(host, f'{download.path}?look=1')
        if availability.status != HTTPStatus.NO_CONTENT:
            return _content(availability)
        download.on_transfer(TransferState.waiting_locally)
        async with self.region_downloads:
            return await self.fetch_chunk(host, download, tier)

    def next_addresses(self, count: int) -> tuple[str, ...]:
        """Return the agents to query for a manifest, other ones with each call.

        :param count: most agents to return.
        :return: their IP addresses.
        """
        chosen = self.addresses[:count]
        self.addresses = self.addresses[count:] + chosen
        return chosen

    async def fetch_manifest(self, host: str, weights: WeightsId) -> ManifestDocument:
        """Fetch the manifest of a version from another agent.

        :param host: the agent.
        :param weights: the version.
        :return: its digests, unchecked.
        :raises PlatformError: ``chunk_stalled``, ``object_missing`` if the agent does not have it,
            or ``manifest_corrupt``.
        """
        response = await self._get(host, f'manifests/{weights.model}/{weights.version}')
        if response.status != HTTPStatus.OK:
            raise PlatformError(Code.object_missing, 'the agent does not have the manifest')
        try:
            model = _DigestsModel.model_validate_json(response.body)
        except ValidationError as error:
            raise PlatformError(Code.manifest_corrupt, 'not a list of digests') from error
        return ManifestDocument(model.chunks)

    async def _get(self, address: str, path: str, headers: Headers = ()) -> HttpResponse:
        url = f'http://{address}:{self.port}/{path}'
        call = HttpCall('GET', url, None, TRANSFER_TIMEOUT_S, headers=headers)
        try:
            return await self.http_client.call(call)
        except HttpCallError as error:
            raise PlatformError(Code.chunk_stalled, str(error)) from error


def _content(response: HttpResponse) -> bytes | None:
    match response.status:
        case HTTPStatus.OK | HTTPStatus.PARTIAL_CONTENT:
            return response.body
        case HTTPStatus.SERVICE_UNAVAILABLE:
            return None
        case status:
            raise PlatformError(
                Code.chunk_missing, f'agent responded to the chunk request with status {status}'
            )


__all__ = (
    'ChunkDownload',
    'PeerClient',
    'TransferState',
)
