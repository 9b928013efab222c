"""Tests that one corrupt manifest does not keep an engine from a version.

They guard against sound chunks that are refused for good, since their manifest is never doubted.
"""

from __future__ import annotations

import pytest
from direct_callers import run_site_in_virtual_time, wait_until

from cassiahitch.direct.staging.chunks import VersionChunks, WeightsId, make_manifest
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize


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
