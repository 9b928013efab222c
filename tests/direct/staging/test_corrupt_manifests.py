"""Tests that corrupt manifests neither keep an engine from a version nor let it load a part.

They guard against sound chunks that are refused for good, since their manifest is never doubted,
and against engines that load a version of which some chunks were never listed.
"""

from __future__ import annotations

import asyncio
import json
from contextlib import ExitStack

import pytest
from direct_callers import run_site_in_virtual_time, wait_until
from tornado.web import Application, RequestHandler
from weight_checks import loaded_versions, wait_until_loaded_whole

from cassiahitch.direct.serving import start_server
from cassiahitch.direct.staging.chunks import VersionChunks, WeightsId, make_manifest
from cassiahitch.standins.backends import BackendStandin
from cassiahitch.standins.configurations import CHUNK_COUNT, FAILURE_DOMAINS, MODEL_SERVICE
from cassiahitch.standins.directsite import MODEL_HOSTS, PEER_PORT, DirectSite, DirectSiteSize
from cassiahitch.standins.networks import loopback_address
from cassiahitch.standins.weightservice import ManifestFault
from cassiahitch.util.endpoints import Endpoint

#: More manifests than any test reads.
ALL = 10_000
#: Seconds for which an agent waits between two reads of a manifest that stays corrupt.
READ_INTERVAL_S = 2


@pytest.mark.parametrize('models', [1, 3])
@pytest.mark.parametrize('corrupt_manifests', [1, 2])
@pytest.mark.parametrize('corrupt_chunks', [0, 1])
def test_version_with_a_corrupt_manifest_is_loaded(
    corrupt_chunks: int, corrupt_manifests: int, models: int
) -> None:
    async def body(site: DirectSite) -> None:
        site.weights.corrupt_manifests = corrupt_manifests
        site.weights.corrupt = corrupt_chunks
        site.publish_version(2)
        engines = [model.engine for model in site.models]
        await wait_until(lambda: all(engine and engine.version == 2 for engine in engines))
        digests = {engine.loaded_digest for engine in engines if engine}
        assert digests == {site.weights.content_digest(2)}

    run_site_in_virtual_time(body, DirectSiteSize(entries=1, models=models, plain=0))


def test_digest_of_a_verified_chunk_is_kept() -> None:
    weights = WeightsId(2, 'm1')
    chunks = VersionChunks(make_manifest(weights, ('right', 'wrong'), (4, 4)), {0: b'....'})
    assert chunks.replace_digests(('wrong', 'right'))
    assert chunks.manifest.chunks == ('right', 'right')
    assert not chunks.replace_digests(('wrong', 'right'))
    assert not chunks.replace_digests(('wrong',))


@pytest.mark.parametrize('models', [1, 3])
@pytest.mark.parametrize('fault', ManifestFault)
def test_version_of_corrupt_manifests_is_loaded_only_whole(
    fault: ManifestFault, models: int
) -> None:
    async def body(site: DirectSite) -> None:
        site.weights.manifest_fault = fault
        site.weights.corrupt_manifests = models + 1
        site.publish_version(2)
        await wait_until_loaded_whole(site, 2)

    run_site_in_virtual_time(body, DirectSiteSize(entries=1, models=models, plain=0))


@pytest.mark.parametrize('fault', [ManifestFault.short, ManifestFault.empty, ManifestFault.long])
def test_long_series_of_corrupt_manifests_costs_few_reads_and_delays_a_version_little(
    fault: ManifestFault,
) -> None:
    async def body(site: DirectSite) -> None:
        site.weights.manifest_fault = fault
        site.weights.corrupt_manifests = ALL
        site.publish_version(2)
        await asyncio.sleep(12)
        assert loaded_versions(site) == {1}
        # One read at once, one after each of the first delays, and one per longest delay.
        assert site.weights.manifests_sent[2] <= len(site.models) * (3 + 12 / READ_INTERVAL_S)
        site.weights.corrupt_manifests = 0
        sound_at = asyncio.get_running_loop().time()
        await wait_until_loaded_whole(site, 2)
        assert asyncio.get_running_loop().time() - sound_at < 2 * READ_INTERVAL_S

    run_site_in_virtual_time(body, DirectSiteSize(entries=1, models=3, plain=0))


class UncheckedManifestHandler(RequestHandler):
    """Serves a manifest as an agent of an earlier release does that did not check it."""

    digests: list[str] = []
    requests = 0

    def get(self, _model: str, _version: str) -> None:
        UncheckedManifestHandler.requests += 1
        self.finish(json.dumps({'chunks': self.digests}))


@pytest.mark.parametrize('listed', [0, CHUNK_COUNT - 1, CHUNK_COUNT + 1])
def test_manifest_of_an_agent_that_does_not_check_it_is_refused(listed: int) -> None:
    async def body(site: DirectSite) -> None:
        address = loopback_address(MODEL_HOSTS, 5)
        old = BackendStandin('m-5', MODEL_SERVICE, FAILURE_DOMAINS[0])
        old.address = address
        old.port = 1
        site.register(old)
        site.weights.publish(2, CHUNK_COUNT)
        UncheckedManifestHandler.digests = [*site.weights.digests(2), 'f' * 64][:listed]
        UncheckedManifestHandler.requests = 0
        routes = [(r'/manifests/([^/]+)/([0-9]+)', UncheckedManifestHandler)]
        server, _ = start_server(Application(routes), Endpoint(address, PEER_PORT))
        with ExitStack() as stack:
            stack.callback(server.stop)
            site.weights.down = True
            site.publish_version(2)
            await asyncio.sleep(5)
            assert UncheckedManifestHandler.requests
            assert loaded_versions(site) == {1}
            site.weights.down = False
            await wait_until_loaded_whole(site, 2)

    run_site_in_virtual_time(body, DirectSiteSize(entries=1, models=2, plain=0))
