"""Requests, configuration and weights over sockets, with entries, agents and stand-ins."""

from __future__ import annotations

import asyncio
import json

import pytest
from direct_callers import SMALL_SITE, run, run_count, send_request, wait_until

from cassiahitch.codes import Code
from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.direct.state.eras import StoreEra
from cassiahitch.direct.state.feed import CallFailure, Reply
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.errors import PlatformError
from cassiahitch.standins.configurations import CALLER_API_KEY, PLAIN_SERVICE
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize
from cassiahitch.standins.faults import Fault
from cassiahitch.stores.api import CommitConflict, CommitSuccess, Condition, Row, Write


def expected_events(site: DirectSite, attempt: str) -> bytes:
    return b''.join(
        f'id: {number}\ndata: {attempt} {number}\n\n'.encode()
        for number in range(1, site.models[0].events + 1)
    )


def test_response_and_signature_are_forwarded_unchanged() -> None:
    async def body(site: DirectSite) -> None:
        got = await send_request(site.entries[0], '/lookup/7?x=1')
        backend = next(plain for plain in site.plain if plain.runs)
        assert (got.status, got.complete) == (200, True)
        assert got.headers['x-cassiahitch-response-seal'] == f'seal-{backend.id}'
        assert got.body.startswith(backend.id.encode())
        assert backend.runs[0].target == '/lookup/7?x=1'
        assert backend.runs[0].organisation == 'caterers'

    run(body)


def test_stream_is_forwarded_completely_and_in_order() -> None:
    async def body(site: DirectSite) -> None:
        got = await send_request(site.entries[0], '/draft/1')
        attempt = got.headers['x-cassiahitch-attempt-id']
        assert (got.status, got.complete, got.body) == (200, True, expected_events(site, attempt))

    run(body)


def test_interrupted_stream_resumes_at_another_replica() -> None:
    async def body(site: DirectSite) -> None:
        site.models[0].faults.append(Fault.cut)
        got = await send_request(site.entries[0], '/draft/1')
        attempt = got.headers['x-cassiahitch-attempt-id']
        assert (got.complete, got.body) == (True, expected_events(site, attempt))
        assert [execution.last_event_id for execution in site.models[1].runs] == [2]

    run(body)


def test_stream_that_cannot_resume_is_cut_off() -> None:
    async def body(site: DirectSite) -> None:
        for model in site.models:
            model.fault = Fault.cut
        got = await send_request(site.entries[0], '/draft/1')
        assert got.status == 200
        assert not got.complete

    run(body)


def test_stream_that_cannot_resume_is_reset_without_framing() -> None:
    async def body(site: DirectSite) -> None:
        for model in site.models:
            model.fault = Fault.cut
        entry = site.entries[0]
        reader, writer = await asyncio.open_connection(
            entry.settings.callers.address, entry.settings.callers.port
        )
        writer.write(
            b'POST /draft/1 HTTP/1.0\r\nHost: menus.example\r\nX-Cassiahitch-Attempt-Id: a\r\n'
            b'X-Cassiahitch-Deadline-Ms: 3000\r\nX-Cassiahitch-Model: m1\r\n'
            b'X-Cassiahitch-Token-Count: 100,30\r\nX-Cassiahitch-Key: %b\r\n\r\n'
            % CALLER_API_KEY.encode()
        )
        with pytest.raises(ConnectionResetError):
            while await reader.read(100):
                await asyncio.sleep(0)
        writer.close()

    run(body)


def test_at_most_once_request_is_not_retried_when_its_response_is_lost() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.fault = Fault.lose
        got = await send_request(site.entries[0], '/order/1')
        assert (got.status, run_count(site.plain)) == (502, 1)
        assert 'retry-after' not in got.headers
        assert json.loads(got.body)['ran'] == 'unknown'

    run(body)


def test_idempotent_request_is_retried_when_its_response_is_lost() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.faults = [Fault.lose]
            plain.fault = Fault.none
        site.plain[1].faults = []
        responses = [await send_request(site.entries[0], '/lookup/1') for _ in range(4)]
        assert {got.status for got in responses} == {200}

    run(body)


@pytest.mark.parametrize('path', ['/order/1', '/lookup/1', '/draft/1'])
def test_refused_request_is_retried_and_at_last_reported_as_not_run(path: str) -> None:
    async def body(site: DirectSite) -> None:
        backends = site.models if path.startswith('/draft') else site.plain
        for backend in backends:
            backend.fault = Fault.refuse
        got = await send_request(site.entries[0], path)
        assert (got.status, run_count(backends)) == (503, 0)
        assert float(got.headers['retry-after']) > 0
        assert json.loads(got.body)['ran'] == 'no'
        backends[0].fault = Fault.none
        assert (await send_request(site.entries[0], path)).status == 200

    run(body)


@pytest.mark.parametrize('fault', [Fault.foreign, Fault.extra, Fault.unframed])
def test_invalid_bytes_around_a_response_reach_no_caller(fault: Fault) -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.fault = fault
        for _ in range(8):
            got = await send_request(site.entries[0], '/order/1')
            attempt = got.headers.get('x-cassiahitch-attempt-id', '')
            ends_as_replica_did = fault is Fault.unframed
            assert (got.status, got.complete) == (200, not ends_as_replica_did)
            assert got.ended_as_replica_did == ends_as_replica_did
            assert got.body.decode().endswith(attempt)

    run(body)


@pytest.mark.parametrize('fault', [Fault.cut, Fault.unsealed])
def test_incomplete_or_unsigned_response_is_no_success(fault: Fault) -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.fault = fault
        got = await send_request(site.entries[0], '/order/1')
        assert (got.status, run_count(site.plain)) == (502, 1)

    run(body)


def test_error_response_of_a_backend_server_is_forwarded_with_its_signature() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.fault = Fault.fail
        got = await send_request(site.entries[0], '/order/1')
        assert (got.status, got.body) == (500, b'failed')
        assert 'x-cassiahitch-response-seal' in got.headers

    run(body)


def test_error_response_is_forwarded_when_no_other_replica_is_left() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.fault = Fault.fail
        got = await send_request(site.entries[0], '/lookup/1')
        assert (got.status, got.body) == (500, b'failed')
        assert run_count(site.plain) == 2

    run(body, DirectSiteSize(entries=1, models=1, plain=1))


def test_request_on_a_reused_connection_gets_a_response_during_the_close() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        entry.frontend.closing = True
        got = await send_request(entry, '/order/1')
        assert (got.status, got.code, run_count(site.plain)) == (503, 1010, 0)

    run(body)


def test_unknown_route_and_unknown_key_are_refused_with_their_status() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        missing = await send_request(entry, '/other/1')
        unauthorised = await send_request(entry, '/order/1', key='stolen')
        assert [missing.status, unauthorised.status] == [404, 401]
        assert run_count(site.plain) == 0

    run(body)


def test_revoked_key_no_longer_runs_requests() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        site.update_configuration(tenants=[{'name': 'caterers', 'apiKeys': ['new'], 'priority': 1}])
        entry_state = entry.parts.entry_state
        await wait_until(lambda: bool(entry_state.catalogue and entry_state.catalogue.version == 3))
        assert (await send_request(entry, '/order/1')).status == 401
        assert (await send_request(entry, '/order/1', key='new')).status == 200

    run(body)


def test_entry_that_cannot_reach_the_store_refuses_keys_and_is_not_in_the_directory() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        assert (await send_request(entry, '/order/1')).status == 200
        site.store.faults.down = True
        await wait_until(lambda: not entry._is_ready())
        refused = await send_request(entry, '/order/1')
        assert (refused.status, refused.code) == (503, 1022)
        assert not entry._choose_addresses('', 'north').endpoints
        site.store.faults.down = False
        await wait_until(entry._is_ready)
        assert (await send_request(entry, '/order/1')).status == 200

    run(body, revoked_key_s=1)


def test_older_configuration_is_never_applied() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        site.update_configuration(tenants=[])
        entry_state = entry.parts.entry_state
        await wait_until(lambda: bool(entry_state.catalogue and entry_state.catalogue.version == 3))
        site.configure({**site.configuration, 'version': 2})
        site.store.discard_history()
        site.register(site.plain[0], 'draining')
        await wait_until(lambda: len(entry_state.replicas.usable(PLAIN_SERVICE)) == 1)
        assert entry_state.catalogue is not None
        assert entry_state.catalogue.version == 3

    run(body)


def test_draining_replica_gets_no_request() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        site.register(site.plain[0], 'draining')
        await wait_until(lambda: len(entry.parts.entry_state.replicas.usable(PLAIN_SERVICE)) == 1)
        for _ in range(5):
            assert (await send_request(entry, '/order/1')).status == 200
        assert not site.plain[0].runs

    run(body)


def test_malformed_row_is_no_replica_and_stops_no_task() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        site.store.put('servers', site.plain[0].id, {'service': PLAIN_SERVICE, 'state': 'odd'})
        site.store.write([('servers', 'junk', b'\xff{'), ('op', 'version/odd', b'[]')])
        await wait_until(lambda: len(entry.parts.entry_state.replicas.usable(PLAIN_SERVICE)) == 1)
        assert (await send_request(entry, '/order/1')).status == 200
        assert not site.plain[0].runs

    run(body)


def test_address_reused_by_another_replica_runs_no_request() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.id = f'{plain.id}-new'
        got = await send_request(site.entries[0], '/order/1')
        assert (got.status, run_count(site.plain)) == (503, 0)

    run(body)


def test_disconnect_of_the_caller_cancels_its_stream() -> None:
    async def body(site: DirectSite) -> None:
        for model in site.models:
            model.pause_s = 0.2
            model.events = 100
        await send_request(site.entries[0], '/draft/1', disconnect_after_s=0.5)
        await wait_until(lambda: not any(model.running for model in site.models))

    run(body)


def test_error_response_is_sent_at_the_deadline_of_the_caller() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.fault = Fault.hang
        got = await send_request(site.entries[0], '/order/1', deadline_ms=300)
        assert (got.status, got.code) == (504, 1005)

    run(body)


def test_request_that_crashes_replicas_is_refused_after_the_second_crash() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        statuses = []
        for plain in site.plain:
            plain.fault = Fault.hang
        for number in range(2):
            statuses.append(await crash_with(site, '/order/bad', number))
        refused = await send_request(entry, '/order/bad')
        assert statuses == [502, 502]
        assert (refused.status, refused.code) == (503, 1009)

    run(body, SMALL_SITE)


async def crash_with(site: DirectSite, path: str, number: int) -> int:
    """Crash the replica that runs a request, replace it, and return the caller's status."""
    entry = site.entries[0]
    entry_state = entry.parts.entry_state
    request_task = asyncio.create_task(send_request(entry, path))
    await wait_until(lambda: any(plain.running for plain in site.plain))
    crashed_replica = next(plain for plain in site.plain if plain.running)
    await crashed_replica.stop()
    status = (await request_task).status
    await wait_until(lambda: len(entry_state.crashes.suspects.records) == 1)
    site.deregister(crashed_replica)
    site.plain.remove(crashed_replica)
    new_replica = await site.add_plain_replica(5 + number)
    new_replica.fault = Fault.hang
    await wait_until(lambda: new_replica.id in entry_state.replicas.replicas)
    return status


def test_entries_discover_each_other_and_drop_a_stopping_one() -> None:
    async def body(site: DirectSite) -> None:
        first, second = site.entries
        await wait_until(lambda: len(first._choose_addresses('', 'north').endpoints) == 2)
        stop_task = asyncio.create_task(second.stop())
        await wait_until(lambda: len(first._choose_addresses('', 'north').endpoints) == 1)
        await stop_task

    run(body, DirectSiteSize(entries=2, models=1, plain=1), grace_s=1)


def test_stopping_entry_finishes_the_requests_that_it_has_read() -> None:
    async def body(site: DirectSite) -> None:
        for model in site.models:
            model.pause_s = 0.1
            model.events = 10
        request_task = asyncio.create_task(send_request(site.entries[0], '/draft/1'))
        await wait_until(lambda: any(model.running for model in site.models))
        await site.entries[0].stop()
        got = await request_task
        assert (got.status, got.complete) == (200, True)

    run(body, grace_s=20)


def test_new_weights_reach_all_engines_with_few_chunks_from_the_origin() -> None:
    async def body(site: DirectSite) -> None:
        site.weights.corrupt = 2
        site.publish_version(2)
        engines = [model.engine for model in site.models]
        await wait_until(lambda: all(engine and engine.version == 2 for engine in engines))
        digest = site.weights.content_digest(2)
        assert {engine.loaded_digest for engine in engines if engine} == {digest}
        regions = 2
        assert site.weights.sent[2] <= regions * len(site.weights.chunks[2]) + 2

    run(body, DirectSiteSize(entries=1, models=4, plain=0))


class CorruptingStore(dict[int, bytes]):
    """Staged chunks, some of which are corrupted when they are stored for the first time."""

    def __init__(self, staged: dict[int, bytes], indices: set[int]) -> None:
        super().__init__(staged)
        self.indices_left = indices

    def __setitem__(self, index: int, content: bytes) -> None:
        corrupt_now = index in self.indices_left
        self.indices_left.discard(index)
        super().__setitem__(index, b'rotten' if corrupt_now else content)


def test_corrupt_staged_chunk_is_repaired_before_the_load() -> None:
    async def body(site: DirectSite) -> None:
        engine = site.models[0].engine
        assert engine is not None
        staged = CorruptingStore(engine.staged, {0, 1, 2})
        engine.staged = staged
        site.publish_version(2)
        await wait_until(lambda: engine.version == 2)
        assert not staged.indices_left
        assert engine.loaded_digest == site.weights.content_digest(2)

    run(body, DirectSiteSize(entries=1, models=2, plain=0))


def test_engine_that_starts_empty_loads_the_current_version() -> None:
    async def body(site: DirectSite) -> None:
        new_replica = await site.add_model_replica(5, loaded=False)
        assert new_replica.engine is not None
        await wait_until(lambda: bool(new_replica.engine and new_replica.engine.version == 1))
        assert new_replica.engine.loaded_digest == site.weights.content_digest(1)
        assert site.weights.sent[1] <= len(site.weights.chunks[1])

    run(body)


def test_agent_that_cannot_reach_the_store_gets_new_weights_with_the_others() -> None:
    async def body(site: DirectSite) -> None:
        original_store = site.agents[0].platform.store
        await wait_until(lambda: all(agent.parts.loader.report for agent in site.agents))
        site.agents[0].platform.store = UnreachableStore()
        follower = site.agents[0].declarations
        follower.store = site.agents[0].platform.store
        await wait_until(lambda: not follower.log.store_reachable)
        site.publish_version(2)
        await wait_until(
            lambda: all(model.engine and model.engine.version == 2 for model in site.models)
        )
        assert original_store is not follower.store

    run(body, DirectSiteSize(entries=1, models=3, plain=0))


class UnreachableStore:
    """A store that cannot be reached."""

    def __init__(self) -> None:
        self.era = StoreEra()

    async def read_all(self, table: str) -> Reply:
        await asyncio.sleep(0.05)
        return CallFailure('cut off')

    async def read(self, table: str, key: str) -> Row | None:
        raise PlatformError(Code.store_unavailable, 'cut off')

    async def read_changes(self, table: str, since: int, wait_s: float) -> Reply:
        await asyncio.sleep(0.05)
        return CallFailure('cut off')

    async def commit(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> CommitSuccess | CommitConflict:
        raise PlatformError(Code.store_unavailable, 'cut off')


def test_no_request_starts_on_replaced_weights() -> None:
    async def body(site: DirectSite) -> None:
        for agent in site.agents:
            agent.tasks.failed.clear()
            await agent.stack.aclose()
        site.publish_version(2)
        entry_state = site.entries[0].parts.entry_state
        await wait_until(lambda: entry_state.versions.oldest_allowed('m1', boot_time()) == 2)
        got = await send_request(site.entries[0], '/draft/1')
        assert (got.status, run_count(site.models)) == (503, 0)

    run(body, DirectSiteSize(entries=1, models=1, plain=0), weights_s=1.5)


def _now() -> float:
    return asyncio.get_running_loop().time()


def test_agent_with_most_of_a_version_switches_to_a_newer_one() -> None:
    async def body(site: DirectSite) -> None:
        agent = site.agents[0]
        await wait_until(lambda: all(peer.parts.loader.report is not None for peer in site.agents))
        for other in site.agents[1:]:
            await other.stack.aclose()
        weights_id = WeightsId(2, 'm1')
        site.weights.publish(2, len(site.weights.chunks[1]))
        staged_version = await agent.parts.repository.open_version(weights_id)
        for index, chunk in enumerate(site.weights.chunks[2][:-1]):
            agent.parts.repository.cache.add_chunk(weights_id, index, chunk)
        site.weights.chunks.pop(2)
        agent.parts.updater.record_declaration(weights_id)
        await wait_until(lambda: site.weights.missing_version_requests[2] > 0)
        site.publish_version(3)
        await wait_until(lambda: bool(site.models[0].engine and site.models[0].engine.version == 3))
        assert not staged_version.complete

    run(body, DirectSiteSize(entries=1, models=2, plain=0))
