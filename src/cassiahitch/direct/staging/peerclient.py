"""Client of the chunks of other agents."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum, auto
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from pydantic import BaseModel, ValidationError

from cassiahitch.codes import Code
from cassiahitch.direct.staging.receiving import PART_BYTES, ReceiveWindow
from cassiahitch.errors import PlatformError
from cassiahitch.stores.caller import Call, CallFailed, HttpCaller, Reply

if TYPE_CHECKING:
    from cassiahitch.direct.staging.chunks import WeightsId
    from cassiahitch.weights.tree import Tier

#: Seconds until a transfer fails.
TRANSFER_TIMEOUT_S = 3.0
#: Chunks that are received at once from other regions; more would queue before requests.
DOWNLOADS = 2
#: Other agents that are asked for a manifest.
ASKED = 3


Headers = tuple[tuple[str, str], ...]


class Transfer(Enum):
    """What holds a chunk that its source is ready to send."""

    waits_here = auto()
    moves = auto()


def _tell_nobody(_: Transfer) -> None:
    """Take a change of a transfer that nobody follows."""


@dataclass(frozen=True, slots=True)
class ChunkDownload:
    """A chunk that is wanted, its size in bytes, and who is told how its transfer goes on."""

    name: WeightsId
    index: int
    size: int
    tell: Callable[[Transfer], None] = _tell_nobody

    @property
    def path(self) -> str:
        """Its path at another agent."""
        return f'chunks/{self.name.model}/{self.name.version}/{self.index}'


class _DigestsModel(BaseModel):
    chunks: tuple[str, ...]


@dataclass(slots=True)
class PeerClient:
    """Fetches from the agents at given IP numbers, all at one port."""

    caller: HttpCaller
    port: int
    region: str
    window: ReceiveWindow
    addresses: tuple[str, ...] = ()
    downloads: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(DOWNLOADS))

    async def chunk(self, host: str, wanted: ChunkDownload, tier: Tier) -> bytes | None:
        """Return a chunk of another agent, which sends it part after part.

        :param host: the agent.
        :param wanted: the chunk.
        :param tier: what depends on the chunk.
        :return: its bytes, unverified, or nothing if it is not there yet.
        :raises PlatformError: ``chunk_missing`` or ``chunk_stalled``.
        """
        query = urlencode({'tier': tier.value, 'region': self.region})
        parts: list[bytes] = []
        for first in range(0, wanted.size, PART_BYTES):
            last = min(first + PART_BYTES, wanted.size) - 1
            span = (('Range', f'bytes={first}-{last}'),)
            wanted.tell(Transfer.waits_here)
            async with self.window.receive(last - first + 1, tier):
                wanted.tell(Transfer.moves)
                reply = await self._get(host, f'{wanted.path}?{query}', span)
            part = _content(reply)
            if part is None:
                return None
            parts.append(part)
        return b''.join(parts)

    async def awaited_chunk(self, host: str, wanted: ChunkDownload, tier: Tier) -> bytes | None:
        """Return a chunk of another agent, which may have it only after a while.

        :param host: the agent.
        :param wanted: the chunk.
        :param tier: what depends on the chunk.
        :return: its bytes, unverified, or nothing if it is not there yet.
        :raises PlatformError: ``chunk_missing`` or ``chunk_stalled``.
        """
        look = await self._get(host, f'{wanted.path}?look=1')
        if look.status != HTTPStatus.NO_CONTENT:
            return _content(look)
        wanted.tell(Transfer.waits_here)
        async with self.downloads:
            return await self.chunk(host, wanted, tier)

    async def digests(self, name: WeightsId) -> tuple[str, ...]:
        """Ask other agents for the digests of a version.

        :param name: the version.
        :return: SHA-256 digests of the chunks.
        :raises PlatformError: ``origin_unavailable`` if none knows them.
        """
        for address in self.addresses[:ASKED]:
            with suppress(PlatformError, ValidationError):
                reply = await self._get(address, f'manifests/{name.model}/{name.version}')
                return _DigestsModel.model_validate_json(reply.body).chunks
        raise PlatformError(Code.origin_unavailable, 'neither the origin nor an agent answers')

    async def _get(self, address: str, path: str, headers: Headers = ()) -> Reply:
        url = f'http://{address}:{self.port}/{path}'
        call = Call('GET', url, None, TRANSFER_TIMEOUT_S, headers=headers)
        try:
            return await self.caller.call(call)
        except CallFailed as error:
            raise PlatformError(Code.chunk_stalled, str(error)) from error


def _content(reply: Reply) -> bytes | None:
    match reply.status:
        case HTTPStatus.OK | HTTPStatus.PARTIAL_CONTENT:
            return reply.body
        case HTTPStatus.SERVICE_UNAVAILABLE:
            return None
        case status:
            raise PlatformError(Code.chunk_missing, f'status {status}')


__all__ = (
    'PeerClient',
    'Transfer',
    'ChunkDownload',
)
