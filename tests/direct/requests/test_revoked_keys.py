"""Tests of which keys run requests while configurations add, move and revoke them.

They guard against an open entry: that no organisation has a key is no reason to accept any.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from direct_callers import (
    run_count,
    run_site_in_virtual_time,
    send_request,
    wait_until,
    wait_until_configured,
)

from cassiahitch.standins.configurations import CALLER_API_KEY
from cassiahitch.standins.directsite import DirectSite
from cassiahitch.standins.faults import Fault

PATHS = ('/draft/1', '/lookup/1', '/order/1')
OTHER_KEY = 'key-of-bakers'
#: Seconds after which a replica refuses a request, within which the configuration changes.
REFUSED_AFTER_S = 0.5


def organisation(name: str, *keys: str) -> dict[str, Any]:
    return {'name': name, 'apiKeys': list(keys), 'priority': 1}


async def apply_organisations(site: DirectSite, organisations: list[dict[str, Any]]) -> None:
    site.update_configuration(tenants=organisations)
    await wait_until_configured(site)


async def statuses(site: DirectSite, key: str) -> list[int]:
    """Return the statuses of a request on each kind of route with a key."""
    return [(await send_request(site.entries[0], path, key=key)).status for path in PATHS]


@pytest.mark.parametrize(
    'organisations',
    [[organisation('caterers')], [organisation('caterers'), organisation('bakers')], []],
    ids=['the only organisation', 'two organisations', 'no organisation'],
)
def test_no_request_runs_after_the_last_key_was_revoked(
    organisations: list[dict[str, Any]],
) -> None:
    async def body(site: DirectSite) -> None:
        await apply_organisations(site, organisations)
        for key in (CALLER_API_KEY, 'never-held', ''):
            assert await statuses(site, key) == [401, 401, 401]
        assert run_count(site.models) + run_count(site.plain) == 0

    run_site_in_virtual_time(body)


def test_empty_key_of_an_organisation_admits_no_caller_without_a_key() -> None:
    async def body(site: DirectSite) -> None:
        await apply_organisations(
            site, [organisation('caterers', CALLER_API_KEY), organisation('bakers', '')]
        )
        assert await statuses(site, '') == [401, 401, 401]
        assert await statuses(site, CALLER_API_KEY) == [200, 200, 200]

    run_site_in_virtual_time(body)


def test_key_of_two_organisations_is_not_accepted() -> None:
    async def body(site: DirectSite) -> None:
        await apply_organisations(
            site,
            [
                organisation('caterers', CALLER_API_KEY, OTHER_KEY, OTHER_KEY),
                organisation('bakers', CALLER_API_KEY),
            ],
        )
        assert await statuses(site, CALLER_API_KEY) == [401, 401, 401]
        assert await statuses(site, OTHER_KEY) == [200, 200, 200]

    run_site_in_virtual_time(body)


def test_previous_keys_are_refused_once_a_newer_configuration_was_unreadable_for_the_bound() -> (
    None
):
    async def body(site: DirectSite) -> None:
        readable = site.configuration
        site.configure({**readable, 'version': 2, 'tenants': None})
        await asyncio.sleep(1)
        assert await statuses(site, 'never-held') == [401, 401, 401]
        assert await statuses(site, CALLER_API_KEY) == [200, 200, 200]
        await asyncio.sleep(6)
        assert await statuses(site, CALLER_API_KEY) == [503, 503, 503]
        site.configuration = {**readable, 'version': 2}
        await apply_organisations(site, [organisation('caterers', CALLER_API_KEY)])
        assert await statuses(site, CALLER_API_KEY) == [200, 200, 200]

    run_site_in_virtual_time(body)


def test_configuration_without_organisations_needs_no_keys() -> None:
    async def body(site: DirectSite) -> None:
        configuration = {**site.configuration, 'version': 9}
        configuration.pop('tenants')
        site.configure(configuration)
        state = site.entries[0].parts.entry_state
        await wait_until(lambda: state.catalogue is not None and state.catalogue.version == 9)
        assert await statuses(site, '') == [200, 200, 200]

    run_site_in_virtual_time(body)


@pytest.mark.parametrize(
    ('organisations', 'status', 'owners'),
    [
        ([organisation('caterers')], 401, []),
        ([organisation('caterers'), organisation('bakers', CALLER_API_KEY)], 200, ['bakers']),
    ],
    ids=['revoked', 'moved'],
)
def test_key_is_resolved_again_before_each_attempt(
    organisations: list[dict[str, Any]], status: int, owners: list[str]
) -> None:
    async def body(site: DirectSite) -> None:
        for replica in site.plain:
            replica.pause_s = REFUSED_AFTER_S
        site.plain[0].faults = [Fault.refuse_late]
        site.plain[1].faults = [Fault.refuse_late]
        sending = asyncio.create_task(send_request(site.entries[0], '/order/1'))
        await asyncio.sleep(REFUSED_AFTER_S / 5)
        await apply_organisations(site, organisations)
        for replica in site.plain:
            replica.faults.clear()
        assert (await sending).status == status
        assert [run.organisation for replica in site.plain for run in replica.runs] == owners

    run_site_in_virtual_time(body)
