"""Checks of the weights that the engines of a site have loaded."""

from __future__ import annotations

from direct_callers import wait_until

from cassiahitch.standins.directsite import DirectSite


def loaded_versions(site: DirectSite) -> set[int]:
    return {model.engine.version for model in site.models if model.engine}


async def wait_until_loaded_whole(site: DirectSite, version: int) -> None:
    """Wait until all engines have a version, and check that no chunk is of another one."""
    await wait_until(lambda: loaded_versions(site) == {version})
    digests = {model.engine.loaded_digest for model in site.models if model.engine}
    assert digests == {site.weights.content_digest(version)}
