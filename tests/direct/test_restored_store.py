"""Tests of entries and agents whose store comes back from an older copy.

Guards against keys that were revoked, configurations and weights that were replaced, and backend
servers that were withdrawn, which come into force again while the store has an older state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest
from direct_callers import CallerResponse, run_site_in_virtual_time, send_request, wait_until

from cassiahitch.direct.entry import DirectEntry
from cassiahitch.direct.state.eras import ERA_SETTLE_S, REWRITE_JITTER_S
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.platform import names
from cassiahitch.platform.adapter import ENTRY_TABLE, LOAD_TABLE
from cassiahitch.standins.configurations import CALLER_API_KEY, MODEL
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize
from cassiahitch.standins.rowstore import StoreCopy
from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpResponse

SITE = DirectSiteSize(entries=3, models=2, plain=1)
#: Seconds for which the store is unavailable during a restore, and within which a process has read
#: the state after it.
OUTAGE_S = 0.4
DETECTION_S = 1.5
#: Seconds from the restore until the operator has written again.
OPERATOR_DELAY_S = 1.5
PATH = '/draft/1'
OTHER_KEY = 'key-of-another-caller'


def run_restored(body: Callable[[DirectSite], Awaitable[None]]) -> None:
    """Run a test on a site whose store names eras and was never restored."""

    async def run_body(site: DirectSite) -> None:
        site.store.era = 0
        await wait_until(lambda: {entry_era(entry) for entry in site.entries} == {0})
        await body(site)

    run_site_in_virtual_time(run_body, SITE)


def entry_era(entry: DirectEntry) -> int:
    return entry.table_followers.updater.settlement.era


def configuration_version(entry: DirectEntry) -> int:
    catalogue = entry.parts.entry_state.catalogue
    return catalogue.version if catalogue else 0


async def restore(site: DirectSite, copy: StoreCopy) -> None:
    site.store.faults.down = True
    await asyncio.sleep(OUTAGE_S)
    site.store.restore(copy)
    site.store.faults.down = False


def organisation(name: str, *keys: str) -> dict[str, Any]:
    return {'name': name, 'apiKeys': list(keys), 'priority': 1}


def revoke_key(site: DirectSite) -> None:
    """Revoke the key of one organisation and give one to another."""
    site.update_configuration(tenants=[organisation('caterers'), organisation('bakers', OTHER_KEY)])


async def wait_for_version(entries: list[DirectEntry], version: int) -> None:
    await wait_until(lambda: all(configuration_version(entry) == version for entry in entries))


def write_again(site: DirectSite) -> None:
    """Write what the operator and the replicas wrote."""
    site.configure(site.configuration)
    for backend in (*site.models, *site.plain):
        site.register(backend)


async def responses_of_all(entries: list[DirectEntry], key: str) -> list[CallerResponse]:
    return [await send_request(entry, PATH, key=key) for entry in entries]


def rows_of(site: DirectSite, table: str) -> set[str]:
    return {row.key for row in site.store.table(table)}


def test_revoked_key_and_older_configuration_stay_out_of_force() -> None:
    async def body(site: DirectSite) -> None:
        copy = site.store.copy()
        revoke_key(site)
        version = site.configuration['version']
        await wait_for_version(site.entries, version)
        await restore(site, copy)
        restored_at = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < restored_at + OPERATOR_DELAY_S:
            for response in await responses_of_all(site.entries, CALLER_API_KEY):
                assert response.status in {401, 503}
            assert {configuration_version(entry) for entry in site.entries} == {version}
            await asyncio.sleep(0.05)
        assert {entry_era(entry) for entry in site.entries} == {1}
        for response in await responses_of_all(site.entries, OTHER_KEY):
            assert response.status == 200
        write_again(site)
        await asyncio.sleep(ERA_SETTLE_S)
        assert all(entry.parts.entry_state.is_ready(boot_time()) for entry in site.entries)
        assert {configuration_version(entry) for entry in site.entries} == {version}

    run_restored(body)


def test_withdrawn_weights_stay_withdrawn() -> None:
    async def body(site: DirectSite) -> None:
        copy = site.store.copy()
        site.publish_version(2)
        await wait_until(
            lambda: all(model.engine and model.engine.version == 2 for model in site.models)
        )
        await restore(site, copy)
        await asyncio.sleep(ERA_SETTLE_S)
        states = [entry.parts.entry_state for entry in site.entries]
        assert {state.versions.newest(MODEL) for state in states} == {2}
        assert {agent.parts.updater.versions.newest(MODEL) for agent in site.agents} == {2}
        assert {model.engine.version for model in site.models if model.engine} == {2}

    run_restored(body)


def test_draining_replica_and_one_that_the_copy_lacks_stay_as_they_were() -> None:
    async def body(site: DirectSite) -> None:
        draining, other = site.models
        copy = site.store.copy()
        rows = {name: row for name, row in copy.rows.items() if row.key != other.id}
        site.register(draining, 'draining')
        registries = [entry.parts.entry_state.replicas for entry in site.entries]
        await wait_until(
            lambda: all(registry.replicas[draining.id].draining for registry in registries)
        )
        await restore(site, replace(copy, rows=rows))
        restored_at = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < restored_at + OPERATOR_DELAY_S:
            assert all(registry.replicas[draining.id].draining for registry in registries)
            assert all(other.id in registry.replicas for registry in registries)
            await asyncio.sleep(0.05)
        assert {entry_era(entry) for entry in site.entries} == {1}
        await asyncio.sleep(ERA_SETTLE_S + DETECTION_S)
        assert not any(other.id in registry.replicas for registry in registries)

    run_restored(body)


def test_rows_of_entries_and_of_loads_are_written_again_and_not_all_at_once() -> None:
    async def body(site: DirectSite) -> None:
        copy = site.store.copy()
        own_tables = {ENTRY_TABLE, LOAD_TABLE}
        rows = {name: row for name, row in copy.rows.items() if row.table not in own_tables}
        site.publish_version(2)
        await wait_until(lambda: len(rows_of(site, LOAD_TABLE)) == len(site.models))
        await restore(site, replace(copy, rows=rows))
        assert not rows_of(site, ENTRY_TABLE)
        await asyncio.sleep(DETECTION_S + REWRITE_JITTER_S)
        assert rows_of(site, ENTRY_TABLE) == {entry.settings.address for entry in site.entries}
        assert rows_of(site, LOAD_TABLE) == {model.address for model in site.models}
        changes = [row.key for row in site.store.changes if row.table in own_tables]
        await asyncio.sleep(DETECTION_S + REWRITE_JITTER_S)
        assert [row.key for row in site.store.changes if row.table in own_tables] == changes

    run_restored(body)


def test_row_whose_first_response_was_lost_around_the_restore_is_written_again() -> None:
    async def body(site: DirectSite) -> None:
        copy = site.store.copy()
        rows = {name: row for name, row in copy.rows.items() if row.table != ENTRY_TABLE}
        site.store.faults.lost = True
        await restore(site, replace(copy, rows=rows))
        await asyncio.sleep(DETECTION_S)
        site.store.faults.lost = False
        await asyncio.sleep(DETECTION_S + REWRITE_JITTER_S)
        assert rows_of(site, ENTRY_TABLE) == {entry.settings.address for entry in site.entries}

    run_restored(body)


class Suspension:
    """Lets an entry send and receive nothing, as if its host were suspended."""

    def __init__(self, entry: DirectEntry) -> None:
        self.entry = entry
        self.resumed = asyncio.Event()
        self.call = entry.http_client.call
        self.relay = entry.parts.messenger.relay
        entry.http_client.call = self.wait  # type: ignore[method-assign]
        entry.parts.messenger.relay = None

    async def wait(self, call: HttpCall) -> HttpResponse:
        """Fail once the entry goes on, as a connection that its server closed meanwhile."""
        await self.resumed.wait()
        raise HttpCallError('the connection was closed', sent=True)

    def resume(self) -> None:
        self.entry.http_client.call = self.call  # type: ignore[method-assign]
        self.entry.parts.messenger.relay = self.relay
        self.resumed.set()


def test_entry_that_was_suspended_during_the_restore_accepts_no_revoked_key() -> None:
    async def body(site: DirectSite) -> None:
        copy = site.store.copy()
        version = site.configuration['version']
        suspended = site.entries[-1]
        suspension = Suspension(suspended)
        await asyncio.sleep(DETECTION_S)
        revoke_key(site)
        await asyncio.sleep(suspended.settings.bounds.revoked_key_s)
        await restore(site, copy)
        suspension.resume()
        resumed_at = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < resumed_at + OPERATOR_DELAY_S:
            response = await send_request(suspended, PATH)
            assert response.status in {401, 503}
            await asyncio.sleep(0.05)
        assert entry_era(suspended) == 1
        assert configuration_version(suspended) == version
        write_again(site)
        await wait_for_version([suspended], version + 2)
        assert (await send_request(suspended, PATH)).status == 401
        assert (await send_request(suspended, PATH, key=OTHER_KEY)).status == 200

    run_restored(body)


def test_entry_that_starts_after_the_restore_takes_the_configuration_of_its_peers() -> None:
    async def body(site: DirectSite) -> None:
        copy = site.store.copy()
        site.publish_version(2)
        revoke_key(site)
        version = site.configuration['version']
        await wait_for_version(site.entries, version)
        await restore(site, copy)
        started = await site.add_entry(len(site.entries))
        versions = set()
        while not started.parts.entry_state.is_ready(boot_time()):
            versions.add(configuration_version(started))
            assert (await send_request(started, PATH)).status in {401, 503}
            await asyncio.sleep(0.02)
        assert entry_era(started) == 1
        assert versions <= {0, version}
        assert configuration_version(started) == version
        assert started.parts.entry_state.versions.newest(MODEL) == 2
        assert (await send_request(started, PATH)).status == 401
        # Its peers vouch for their configuration, so that it does not wait for the operator.
        assert site.store.rows[names.OPERATOR_TABLE, names.CONFIGURATION_KEY].version < version

    run_restored(body)


def test_entry_that_starts_alone_after_a_restore_waits_for_the_operator() -> None:
    async def body(site: DirectSite) -> None:
        copy = site.store.copy()
        for entry in site.entries:
            entry.frontend.server.stop()
            await entry.stack.aclose()
        site.store.restore(copy)
        started_at = boot_time()
        started = await site.add_entry(len(site.entries))
        await wait_until(lambda: started.parts.entry_state.is_ready(boot_time()))
        assert boot_time() - started_at >= ERA_SETTLE_S
        assert (await send_request(started, PATH)).status == 200

    run_restored(body)


def test_agent_that_starts_after_the_restore_takes_declarations_of_entries() -> None:
    async def body(site: DirectSite) -> None:
        copy = site.store.copy()
        revoke_key(site)
        site.publish_version(2)
        version = site.configuration['version']
        await wait_for_version(site.entries, version)
        await wait_until(
            lambda: all(model.engine and model.engine.version == 2 for model in site.models)
        )
        await restore(site, copy)
        started = await site.restart_agent(0)
        updater = started.parts.updater
        await asyncio.sleep(DETECTION_S)
        assert updater.catalogue is not None
        assert updater.catalogue.version == version
        assert updater.versions.newest(MODEL) == 2
        assert {model.engine.version for model in site.models if model.engine} == {2}

    run_restored(body)


@pytest.mark.parametrize('era', [None, 0])
def test_entry_starts_at_once_if_the_store_was_never_restored(era: int | None) -> None:
    async def body(site: DirectSite) -> None:
        site.store.era = era
        started_at = boot_time()
        started = await site.add_entry(len(site.entries))
        await wait_until(lambda: started.parts.entry_state.is_ready(boot_time()))
        assert boot_time() - started_at < ERA_SETTLE_S / 2

    run_site_in_virtual_time(body, SITE)
