"""Tests of the chunk service and of its client, which fetches chunks in parts."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Any

import pytest
from direct_callers import run_site_in_virtual_time, wait_until
from repositories import make_repository
from tornado.httpserver import HTTPServer

from cassiahitch.direct.staging.chunks import WeightsId, make_manifest
from cassiahitch.direct.staging.chunkservice import FULL_CHUNK, make_chunk_service, parse_range
from cassiahitch.direct.staging.peerclient import ChunkDownload, PeerClient, TransferState
from cassiahitch.direct.staging.receiving import PART_BYTES, ReceiveWindow
from cassiahitch.direct.staging.uploads import LinkRates, UploadLimiter
from cassiahitch.standins.configurations import CHUNK_COUNT, MODEL
from cassiahitch.standins.directsite import PEER_PORT, DirectSite, DirectSiteSize
from cassiahitch.standins.networks import loopback_address
from cassiahitch.standins.weightservice import WeightService
from cassiahitch.stores.http_client import HttpCall, HttpClient
from cassiahitch.util.listening import bound_port, listen
from cassiahitch.weights.tree import Tier

CHUNK_BYTES = 2 * PART_BYTES + 999
WEIGHTS = WeightsId(1, 'm1')
REGION = 'west'


def test_chunk_that_is_fetched_in_parts_is_complete() -> None:
    async def body() -> None:
        weights = WeightService('m1', CHUNK_BYTES)
        weights.publish(1, 2)
        unused: Any = None
        async with HttpClient() as http_client:
            window = ReceiveWindow.of_link(100)
            address = loopback_address(0, 0)
            listener = listen(address, 0)
            peers = PeerClient(http_client, bound_port(listener), REGION, window)
            repository = make_repository(unused, unused, peers)
            manifest = make_manifest(WEIGHTS, tuple(weights.digests(1)), (CHUNK_BYTES,) * 2)
            repository.cache.add_version(WEIGHTS, manifest).contents = dict(
                enumerate(weights.chunks[1])
            )
            upload_limiter = UploadLimiter(LinkRates(100, 100))
            server = HTTPServer(make_chunk_service(repository, upload_limiter, REGION))
            server.add_sockets([listener])
            states: list[TransferState] = []
            download = ChunkDownload(WEIGHTS, 1, CHUNK_BYTES, states.append)
            assert await peers.fetch_chunk(address, download, Tier.host) == weights.chunks[1][1]
            assert states.count(TransferState.receiving) == 3
            assert (
                await peers.fetch_chunk_when_available(address, download, Tier.region)
                == weights.chunks[1][1]
            )
            assert (window.in_flight_bytes, upload_limiter.upload_count) == (0, 0)
            server.stop()
            await server.close_all_connections()

    asyncio.run(body())


@pytest.mark.parametrize(
    'path',
    [
        f'chunks/{MODEL}/1/{CHUNK_COUNT}',
        f'chunks/{MODEL}/1/999999999',
        f'chunks/{MODEL}/1/{"9" * 40}',
        f'chunks/{MODEL}/{"9" * 40}/1',
        'chunks/m2/1/1',
        'chunks/m2/99/1',
    ],
)
def test_request_for_a_chunk_that_cannot_exist_changes_nothing(path: str) -> None:
    """Guards against a position that an agent adds to its bitmap of corrupt chunks."""

    async def body(site: DirectSite) -> None:
        repository = site.agents[0].parts.repository
        await wait_until(lambda: repository.staged_weights is not None)
        newest = repository.newest_version
        async with HttpClient() as http_client:
            url = f'http://{site.agents[0].settings.address}:{PEER_PORT}/{path}'
            response = await http_client.call(HttpCall('GET', url, None, 3))
        assert response.status == HTTPStatus.NOT_FOUND
        assert (repository.corrupt_staged, repository.newest_version) == (set(), newest)
        assert repository.offered_bitmap(WeightsId(1, MODEL)) == (1 << CHUNK_COUNT) - 1

    run_site_in_virtual_time(body, DirectSiteSize(entries=1, models=1, plain=0))


@pytest.mark.parametrize(
    ('header', 'span'),
    [
        ('bytes=0-0', slice(0, 1)),
        ('bytes=16384-32767', slice(16384, 32768)),
        ('', FULL_CHUNK),
        ('bytes=5-', FULL_CHUNK),
        ('bytes=-5', FULL_CHUNK),
        ('bytes=0-1,4-5', FULL_CHUNK),
        ('bytes=a-b', FULL_CHUNK),
        ('bytes=99999999999999999999-1', FULL_CHUNK),
    ],
)
def test_only_a_single_closed_range_is_supported(header: str, span: slice) -> None:
    assert parse_range(header) == span
