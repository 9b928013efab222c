"""What an entry decides by a configuration that may not be the newest one.

Guards against an entry that lacks a newer, restricted route, and sends the request by a wider one
to a region that the newer route excludes; and against one that refuses a request for good, by a
status that callers don't retry, though a newer configuration may allow it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import pytest
from direct_callers import (
    run_count,
    run_site_in_virtual_time,
    send_request,
    wait_until,
    wait_until_configured,
)

from cassiahitch.codes import Code
from cassiahitch.direct.entry import DirectEntry
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.standins.backends import BackendStandin
from cassiahitch.standins.configurations import CALLER_API_KEY, FAILURE_DOMAINS
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize
from cassiahitch.standins.faults import Fault

#: Bound in seconds on the time for which an older configuration may decide.
CONFIGURATION_S = 2.0
#: Seconds after which a replica refuses a request, within which the configuration changes.
REFUSED_AFTER_S = 0.5
REQUESTS = 12
ALLOWED, EXCLUDED = (domain.partition('-')[0] for domain in FAILURE_DOMAINS)
TWO_REGIONS = DirectSiteSize(entries=1, models=2, plain=2)


def in_region(backends: Sequence[BackendStandin], region: str) -> list[BackendStandin]:
    return [backend for backend in backends if backend.failure_domain.startswith(region)]


def restricted(route: dict[str, Any], *regions: str) -> dict[str, Any]:
    return {**route, 'allowedRegions': list(regions)}


def route_of(site: DirectSite, name: str) -> dict[str, Any]:
    return next(route for route in site.configuration['routes'] if route['name'] == name)


async def apply_routes(site: DirectSite, routes: list[dict[str, Any]]) -> None:
    """Put routes into force at all entries."""
    site.update_configuration(routes=routes)
    await wait_until_configured(site)


async def allow_all_regions_but_for_one_route(site: DirectSite) -> None:
    """Put a configuration into force whose public route allows all regions, another one not."""
    public = {**route_of(site, 'lookup'), 'public': True}
    await apply_routes(
        site, [route_of(site, 'draft'), public, restricted(route_of(site, 'order'), ALLOWED)]
    )


def add_restricted_route(site: DirectSite) -> None:
    """Let the operator add a route that is nested in the public one, and restricted."""
    near = {**route_of(site, 'lookup'), 'name': 'near', 'prefix': '/lookup/near/'}
    nested = restricted(near, ALLOWED)
    site.update_configuration(routes=[*site.configuration['routes'], nested])


async def send_several(entry: DirectEntry, path: str, key: str) -> list[Any]:
    return [await send_request(entry, path, key=key) for _ in range(REQUESTS)]


def test_request_on_a_newer_restricted_route_leaves_its_region_by_no_older_wider_one() -> None:
    async def body(site: DirectSite) -> None:
        await allow_all_regions_but_for_one_route(site)
        site.store.faults.down = True
        add_restricted_route(site)
        await asyncio.sleep(CONFIGURATION_S)
        responses = await send_several(site.entries[0], '/lookup/near/1', '')
        assert run_count(in_region(site.plain, EXCLUDED)) == 0
        assert {got.status for got in responses} == {503}
        assert {got.code for got in responses} == {Code.configuration_stale}

    run_site_in_virtual_time(body, TWO_REGIONS, configuration_s=CONFIGURATION_S)


def test_entry_that_refuses_for_its_old_configuration_is_not_ready() -> None:
    async def body(site: DirectSite) -> None:
        await allow_all_regions_but_for_one_route(site)
        state = site.entries[0].parts.entry_state
        site.store.faults.down = True
        await asyncio.sleep(CONFIGURATION_S)
        assert not state.is_ready(boot_time())
        site.store.faults.down = False
        await wait_until(lambda: state.is_ready(boot_time()))
        assert (await send_request(site.entries[0], '/lookup/1', key='')).status == 200

    run_site_in_virtual_time(body, TWO_REGIONS, configuration_s=CONFIGURATION_S)


def test_public_requests_go_on_during_an_outage_if_no_region_is_restricted() -> None:
    async def body(site: DirectSite) -> None:
        public = {**route_of(site, 'lookup'), 'public': True}
        await apply_routes(site, [route_of(site, 'draft'), public])
        site.store.faults.down = True
        await asyncio.sleep(3 * CONFIGURATION_S)
        responses = await send_several(site.entries[0], '/lookup/1', '')
        assert {got.status for got in responses} == {200}

    run_site_in_virtual_time(body, TWO_REGIONS, configuration_s=CONFIGURATION_S)


@pytest.mark.parametrize(
    ('path', 'key'), [('/unknown/1', CALLER_API_KEY), ('/order/1', 'never-held')]
)
def test_request_that_a_newer_configuration_may_allow_is_not_refused_for_good_by_an_old_one(
    path: str, key: str
) -> None:
    async def body(site: DirectSite) -> None:
        refused = await send_request(site.entries[0], path, key=key)
        assert refused.status in {401, 404}
        site.store.faults.down = True
        await asyncio.sleep(CONFIGURATION_S)
        responses = await send_several(site.entries[0], path, key)
        assert {got.code for got in responses} == {Code.configuration_stale}
        assert (await send_request(site.entries[0], '/order/1')).status == 200

    run_site_in_virtual_time(body, TWO_REGIONS, configuration_s=CONFIGURATION_S)


def test_peer_with_an_old_configuration_does_not_confirm_that_of_an_entry_that_starts() -> None:
    async def body(site: DirectSite) -> None:
        updater = site.entries[0].table_followers.updater
        site.store.faults.down = True
        await asyncio.sleep(CONFIGURATION_S)
        assert not updater.confirm_by_peer(boot_time() - CONFIGURATION_S)

    run_site_in_virtual_time(body, TWO_REGIONS, configuration_s=CONFIGURATION_S)


def test_retry_on_a_route_that_is_no_longer_public_stays_in_the_regions_of_the_key() -> None:
    async def body(site: DirectSite) -> None:
        lookup = route_of(site, 'lookup')
        await apply_routes(site, [{**lookup, 'public': True}])
        for backend in site.plain:
            backend.pause_s = REFUSED_AFTER_S
            backend.faults = [Fault.refuse_late]
        sending = asyncio.create_task(send_request(site.entries[0], '/lookup/1'))
        await asyncio.sleep(REFUSED_AFTER_S / 5)
        first = next(backend for backend in site.plain if backend.arrivals)
        allowed = first.failure_domain.partition('-')[0]
        site.configuration['tenants'] = [
            restricted(organisation, allowed) for organisation in site.configuration['tenants']
        ]
        await apply_routes(site, [lookup])
        for backend in site.plain:
            backend.faults.clear()
        await sending
        excluded = [backend for backend in site.plain if backend is not first]
        assert sum(len(backend.arrivals) for backend in excluded) == 0

    run_site_in_virtual_time(body, TWO_REGIONS)


@pytest.mark.parametrize('path', ['/lookup/1', '/order/1', '/draft/1'])
def test_retry_runs_in_no_region_that_was_excluded_after_the_first_attempt(path: str) -> None:
    async def body(site: DirectSite) -> None:
        backends = site.models if path.startswith('/draft') else site.plain
        for backend in backends:
            backend.pause_s = REFUSED_AFTER_S
            backend.faults = [Fault.refuse_late]
        sending = asyncio.create_task(send_request(site.entries[0], path))
        await asyncio.sleep(REFUSED_AFTER_S / 5)
        first = next(backend for backend in backends if backend.arrivals)
        allowed = first.failure_domain.partition('-')[0]
        await apply_routes(
            site, [restricted(route, allowed) for route in site.configuration['routes']]
        )
        for backend in backends:
            backend.faults.clear()
        await sending
        excluded = [backend for backend in backends if backend is not first]
        assert sum(len(backend.arrivals) for backend in excluded) == 0

    run_site_in_virtual_time(body, TWO_REGIONS)
