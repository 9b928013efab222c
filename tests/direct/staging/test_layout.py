"""Tests that a manifest is used only if it has the layout that the configuration declares.

They guard against versions that count as complete by a manifest that lists other chunks than those
that the engine loads.
"""

from __future__ import annotations

import asyncio

import pytest
from direct_callers import run_site_in_virtual_time, wait_until
from weight_checks import loaded_versions, wait_until_loaded_whole

from cassiahitch.codes import Code
from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.direct.staging.layout import ManifestDocument, WeightsLayout
from cassiahitch.errors import PlatformError
from cassiahitch.standins.configurations import CHUNK_COUNT, MODEL
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize

WEIGHTS = WeightsId(2, MODEL)
LAYOUT = WeightsLayout(MODEL, 2, 4096, 4)
DIGESTS = ('0' * 64, 'f' * 64)
#: More chunks than any test reads.
ALL = 10_000


def test_version_that_was_cached_for_another_layout_is_fetched_again() -> None:
    async def body(site: DirectSite) -> None:
        site.publish_version(2)
        await wait_until_loaded_whole(site, 2)
        repositories = [agent.parts.repository for agent in site.agents]
        assert all(
            repository.layout.fits(repository.cache.versions[WEIGHTS])
            for repository in repositories
        )
        services = site.configuration['services']
        engine = services[0]['engine'] | {'chunkCount': CHUNK_COUNT + 4}
        site.update_configuration(services=[services[0] | {'engine': engine}, *services[1:]])
        await wait_until(
            lambda: all(repository.layout.chunk_count != CHUNK_COUNT for repository in repositories)
        )
        assert not any(WEIGHTS in repository.cache.versions for repository in repositories)
        # The origin still has versions of the previous layout, which no engine can load whole.
        site.publish_version(3)
        await asyncio.sleep(3)
        assert loaded_versions(site) == {2}
        site.weights.publish(3, CHUNK_COUNT + 4)
        await wait_until_loaded_whole(site, 3)

    run_site_in_virtual_time(body, DirectSiteSize(entries=1, models=2, plain=0))


def test_fetch_under_way_ends_when_another_layout_is_declared() -> None:
    async def body(site: DirectSite) -> None:
        site.weights.corrupt = ALL
        site.publish_version(2)
        await asyncio.sleep(1)
        services = site.configuration['services']
        engine = services[0]['engine'] | {'chunkCount': CHUNK_COUNT - 4}
        site.weights.publish(2, CHUNK_COUNT - 4)
        site.weights.corrupt = 0
        site.update_configuration(services=[services[0] | {'engine': engine}, *services[1:]])
        await wait_until(lambda: loaded_versions(site) == {2})

    run_site_in_virtual_time(body, DirectSiteSize(entries=1, models=2, plain=0))


def document(**fields: str | int | tuple[str, ...]) -> ManifestDocument:
    whole = {'model': MODEL, 'version': 2, 'chunk_bytes': 4096, 'layer_count': 4}
    return ManifestDocument(**({'digests': DIGESTS} | whole | fields))  # type: ignore[arg-type]


def test_manifest_of_the_declared_layout_is_accepted() -> None:
    manifest = LAYOUT.accept(WEIGHTS, document())
    assert (manifest.chunks, manifest.sizes) == (DIGESTS, (4096, 4096))
    assert LAYOUT.accept(WEIGHTS, ManifestDocument(DIGESTS)) == manifest
    assert WeightsLayout(MODEL).accept(WEIGHTS, document(digests=DIGESTS[:1]))


@pytest.mark.parametrize(
    ('faulty', 'detail'),
    [
        (document(model='m2'), 'model m2 instead of m1'),
        (document(version=1), 'version 1 instead of 2'),
        (document(chunk_bytes=0), 'chunk size 0 instead of 4096'),
        (document(layer_count=5), 'number of layers 5 instead of 4'),
        (document(digests=()), 'number of digests 0 instead of 2'),
        (document(digests=DIGESTS[:1]), 'number of digests 1 instead of 2'),
        (document(digests=(*DIGESTS, DIGESTS[0])), 'number of digests 3 instead of 2'),
        (document(digests=(DIGESTS[0], 'F' * 64)), 'digest 1 is malformed'),
        (document(digests=('', DIGESTS[0])), 'digest 0 is malformed'),
    ],
)
def test_manifest_of_another_layout_is_refused(faulty: ManifestDocument, detail: str) -> None:
    with pytest.raises(PlatformError) as caught:
        LAYOUT.accept(WEIGHTS, faulty)
    assert (caught.value.code, caught.value.detail) == (Code.manifest_corrupt, detail)


def test_empty_manifest_is_refused_whatever_the_layout() -> None:
    with pytest.raises(PlatformError):
        WeightsLayout().accept(WEIGHTS, ManifestDocument(()))
