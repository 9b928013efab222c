"""The direct path over sockets: entries and agents against stand-ins of the platform."""

from __future__ import annotations

import asyncio
import json

import pytest
from direct_callers import SMALL, ask, run, until

from cassiahitch.codes import Code
from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.direct.state.feed import CallFailure, Reply
from cassiahitch.errors import PlatformError
from cassiahitch.standins.backends import BackendStandin, Fault
from cassiahitch.standins.configurations import DESK, KEY
from cassiahitch.standins.directsite import DirectSite, DirectSize
from cassiahitch.stores.api import CommitConflict, CommitSuccess, Condition, Write


def runs(backends: list[BackendStandin], attempt: str = '') -> int:
    return sum(
        len([one for one in backend.runs if attempt in one.attempt_id]) for backend in backends
    )


def events(site: DirectSite, attempt: str) -> bytes:
    return b''.join(
        f'id: {number}\ndata: {attempt} {number}\n\n'.encode()
        for number in range(1, site.models[0].events + 1)
    )


def test_answer_and_signature_of_the_backend_server_come_unchanged() -> None:
    async def body(site: DirectSite) -> None:
        got = await ask(site.entries[0], '/lookup/7?x=1')
        backend = next(one for one in site.plain if one.runs)
        assert (got.status, got.whole) == (200, True)
        assert got.headers['x-cassiahitch-response-seal'] == f'seal-{backend.id}'
        assert got.body.startswith(backend.id.encode())
        assert backend.runs[0].target == '/lookup/7?x=1'
        assert backend.runs[0].organisation == 'caterers'

    run(body)


def test_stream_comes_whole_and_in_order() -> None:
    async def body(site: DirectSite) -> None:
        got = await ask(site.entries[0], '/draft/1')
        attempt = got.headers['x-cassiahitch-attempt-id']
        assert (got.status, got.whole, got.body) == (200, True, events(site, attempt))

    run(body)


def test_stream_that_breaks_off_goes_on_at_another_replica() -> None:
    async def body(site: DirectSite) -> None:
        site.models[0].faults.append(Fault.cut)
        got = await ask(site.entries[0], '/draft/1')
        attempt = got.headers['x-cassiahitch-attempt-id']
        assert (got.whole, got.body) == (True, events(site, attempt))
        assert [one.last_event_id for one in site.models[1].runs] == [2]

    run(body)


def test_stream_that_cannot_go_on_does_not_look_whole() -> None:
    async def body(site: DirectSite) -> None:
        for model in site.models:
            model.fault = Fault.cut
        got = await ask(site.entries[0], '/draft/1')
        assert got.status == 200
        assert not got.whole

    run(body)


def test_stream_that_cannot_go_on_does_not_look_whole_without_framing() -> None:
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
            b'X-Cassiahitch-Token-Count: 100,30\r\nX-Cassiahitch-Key: %b\r\n\r\n' % KEY.encode()
        )
        with pytest.raises(ConnectionResetError):
            while await reader.read(100):
                await asyncio.sleep(0)
        writer.close()

    run(body)


def test_request_that_must_run_once_is_not_sent_again_when_its_answer_is_lost() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.fault = Fault.lose
        got = await ask(site.entries[0], '/order/1')
        assert (got.status, runs(site.plain)) == (502, 1)
        assert 'retry-after' not in got.headers
        assert json.loads(got.body)['ran'] == 'unknown'

    run(body)


def test_idempotent_request_is_sent_again_when_its_answer_is_lost() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.faults = [Fault.lose]
            plain.fault = Fault.none
        site.plain[1].faults = []
        answers = [await ask(site.entries[0], '/lookup/1') for _ in range(4)]
        assert {got.status for got in answers} == {200}

    run(body)


@pytest.mark.parametrize('path', ['/order/1', '/lookup/1', '/draft/1'])
def test_refused_request_goes_elsewhere_and_else_is_told_that_it_did_not_run(path: str) -> None:
    async def body(site: DirectSite) -> None:
        backends = site.models if path.startswith('/draft') else site.plain
        for backend in backends:
            backend.fault = Fault.refuse
        got = await ask(site.entries[0], path)
        assert (got.status, runs(backends)) == (503, 0)
        assert float(got.headers['retry-after']) > 0
        assert json.loads(got.body)['ran'] == 'no'
        backends[0].fault = Fault.none
        assert (await ask(site.entries[0], path)).status == 200

    run(body)


@pytest.mark.parametrize('fault', [Fault.foreign, Fault.extra, Fault.unframed])
def test_odd_bytes_around_an_answer_reach_no_caller(fault: Fault) -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.fault = fault
        for _ in range(8):
            got = await ask(site.entries[0], '/order/1')
            attempt = got.headers.get('x-cassiahitch-attempt-id', '')
            assert (got.status, got.whole) == (200, True)
            assert got.body.decode().endswith(attempt)

    run(body)


@pytest.mark.parametrize('fault', [Fault.cut, Fault.unsealed])
def test_answer_that_is_not_whole_or_not_signed_is_no_success(fault: Fault) -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.fault = fault
        got = await ask(site.entries[0], '/order/1')
        assert (got.status, runs(site.plain)) == (502, 1)

    run(body)


def test_failure_of_a_backend_server_comes_with_its_status_and_signature() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.fault = Fault.fail
        got = await ask(site.entries[0], '/order/1')
        assert (got.status, got.body) == (500, b'failed')
        assert 'x-cassiahitch-response-seal' in got.headers

    run(body)


def test_failure_is_passed_on_when_no_other_replica_can_be_asked() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.fault = Fault.fail
        got = await ask(site.entries[0], '/lookup/1')
        assert (got.status, got.body) == (500, b'failed')
        assert runs(site.plain) == 2

    run(body, DirectSize(entries=1, models=1, plain=1))


def test_request_on_a_kept_connection_is_answered_while_connections_are_closed() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        entry.frontend.closing = True
        got = await ask(entry, '/order/1')
        assert (got.status, got.code, runs(site.plain)) == (503, 1010, 0)

    run(body)


def test_unknown_route_and_unknown_key_are_refused_as_such() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        missing = await ask(entry, '/other/1')
        stranger = await ask(entry, '/order/1', key='stolen')
        assert [missing.status, stranger.status] == [404, 401]
        assert runs(site.plain) == 0

    run(body)


def test_key_that_is_taken_away_no_longer_runs_requests() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        site.change(tenants=[{'name': 'caterers', 'apiKeys': ['new'], 'priority': 1}])
        known = entry.parts.entry_state
        await until(lambda: bool(known.catalogue and known.catalogue.version == 3))
        assert (await ask(entry, '/order/1')).status == 401
        assert (await ask(entry, '/order/1', key='new')).status == 200

    run(body)


def test_entry_that_does_not_reach_the_store_stops_to_honour_keys_and_names_itself_to_nobody() -> (
    None
):
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        assert (await ask(entry, '/order/1')).status == 200
        site.store.faults.down = True
        await until(lambda: not entry._is_ready())
        refused = await ask(entry, '/order/1')
        assert (refused.status, refused.code) == (503, 1022)
        assert not entry._choose_addresses('north').endpoints
        site.store.faults.down = False
        await until(entry._is_ready)
        assert (await ask(entry, '/order/1')).status == 200

    run(body, revoked_key_s=1)


def test_older_configuration_never_comes_back() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        site.change(tenants=[])
        known = entry.parts.entry_state
        await until(lambda: bool(known.catalogue and known.catalogue.version == 3))
        site.configure({**site.configuration, 'version': 2})
        site.store.forget_history()
        site.register(site.plain[0], 'draining')
        await until(lambda: len(known.replicas.usable(DESK)) == 1)
        assert known.catalogue is not None
        assert known.catalogue.version == 3

    run(body)


def test_draining_replica_gets_no_request() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        site.register(site.plain[0], 'draining')
        await until(lambda: len(entry.parts.entry_state.replicas.usable(DESK)) == 1)
        for _ in range(5):
            assert (await ask(entry, '/order/1')).status == 200
        assert not site.plain[0].runs

    run(body)


def test_row_that_cannot_be_read_names_no_replica_and_stops_nothing() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        site.store.put('servers', site.plain[0].id, {'service': DESK, 'state': 'odd'})
        site.store.write([('servers', 'junk', b'\xff{'), ('op', 'version/odd', b'[]')])
        await until(lambda: len(entry.parts.entry_state.replicas.usable(DESK)) == 1)
        assert (await ask(entry, '/order/1')).status == 200
        assert not site.plain[0].runs

    run(body)


def test_address_that_another_replica_has_now_runs_nothing() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.id = f'{plain.id}-new'
        got = await ask(site.entries[0], '/order/1')
        assert (got.status, runs(site.plain)) == (503, 0)

    run(body)


def test_caller_that_leaves_ends_the_work_for_its_stream() -> None:
    async def body(site: DirectSite) -> None:
        for model in site.models:
            model.pause_s = 0.2
            model.events = 100
        await ask(site.entries[0], '/draft/1', leave_after_s=0.5)
        await until(lambda: not any(model.running for model in site.models))

    run(body)


def test_answer_comes_when_the_time_of_the_caller_ends() -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.fault = Fault.hang
        got = await ask(site.entries[0], '/order/1', deadline_ms=300)
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
        refused = await ask(entry, '/order/bad')
        assert statuses == [502, 502]
        assert (refused.status, refused.code) == (503, 1009)

    run(body, SMALL)


async def crash_with(site: DirectSite, path: str, number: int) -> int:
    """Crash the replica that runs a request, replace it, and return the caller's status."""
    entry = site.entries[0]
    known = entry.parts.entry_state
    asked = asyncio.create_task(ask(entry, path))
    await until(lambda: any(one.running for one in site.plain))
    victim = next(one for one in site.plain if one.running)
    await victim.stop()
    status = (await asked).status
    await until(lambda: len(known.crashes.suspects.records) == 1)
    site.deregister(victim)
    site.plain.remove(victim)
    fresh = await site.add_plain(5 + number)
    fresh.fault = Fault.hang
    await until(lambda: fresh.id in known.replicas.replicas)
    return status


def test_entries_find_each_other_and_a_leaving_one_is_named_no_more() -> None:
    async def body(site: DirectSite) -> None:
        first, second = site.entries
        await until(lambda: len(first._choose_addresses('north').endpoints) == 2)
        leaving = asyncio.create_task(second.stop())
        await until(lambda: len(first._choose_addresses('north').endpoints) == 1)
        await leaving

    run(body, DirectSize(entries=2, models=1, plain=1), grace_s=1)


def test_stopping_entry_finishes_what_it_has_read() -> None:
    async def body(site: DirectSite) -> None:
        for model in site.models:
            model.pause_s = 0.1
            model.events = 10
        asked = asyncio.create_task(ask(site.entries[0], '/draft/1'))
        await until(lambda: any(model.running for model in site.models))
        await site.entries[0].stop()
        got = await asked
        assert (got.status, got.whole) == (200, True)

    run(body, grace_s=20)


def test_new_weights_reach_all_engines_whole_and_few_chunks_come_from_the_origin() -> None:
    async def body(site: DirectSite) -> None:
        site.weights.corrupt = 2
        site.declare(2)
        engines = [model.engine for model in site.models]
        await until(lambda: all(one and one.version == 2 for one in engines))
        digest = site.weights.whole_digest(2)
        assert {one.loaded_digest for one in engines if one} == {digest}
        regions = 2
        assert site.weights.sent[2] <= regions * len(site.weights.chunks[2]) + 2

    run(body, DirectSize(entries=1, models=4, plain=0))


class Rotting(dict[int, bytes]):
    """Staged chunks, of which some rot as soon as they are stored for the first time."""

    def __init__(self, staged: dict[int, bytes], indices: set[int]) -> None:
        super().__init__(staged)
        self.left = indices

    def __setitem__(self, index: int, content: bytes) -> None:
        rots = index in self.left
        self.left.discard(index)
        super().__setitem__(index, b'rotten' if rots else content)


def test_chunk_that_rots_at_the_engine_is_mended_before_the_load() -> None:
    async def body(site: DirectSite) -> None:
        engine = site.models[0].engine
        assert engine is not None
        staged = Rotting(engine.staged, {0, 1, 2})
        engine.staged = staged
        site.declare(2)
        await until(lambda: engine.version == 2)
        assert not staged.left
        assert engine.loaded_digest == site.weights.whole_digest(2)

    run(body, DirectSize(entries=1, models=2, plain=0))


def test_engine_that_starts_empty_is_brought_to_the_version_in_force() -> None:
    async def body(site: DirectSite) -> None:
        fresh = await site.add_model(5, loaded=False)
        assert fresh.engine is not None
        await until(lambda: bool(fresh.engine and fresh.engine.version == 1))
        assert fresh.engine.loaded_digest == site.weights.whole_digest(1)
        assert site.weights.sent[1] <= len(site.weights.chunks[1])

    run(body)


def test_agent_that_does_not_reach_the_store_gets_new_weights_with_the_others() -> None:
    async def body(site: DirectSite) -> None:
        cut = site.agents[0].platform.store
        await until(lambda: all(agent.parts.loader.report for agent in site.agents))
        site.agents[0].platform.store = Unreachable()
        follower = site.agents[0].declarations
        follower.store = site.agents[0].platform.store
        await until(lambda: not follower.store_reachable)
        site.declare(2)
        await until(lambda: all(one.engine and one.engine.version == 2 for one in site.models))
        assert cut is not follower.store

    run(body, DirectSize(entries=1, models=3, plain=0))


class Unreachable:
    """A store that never answers."""

    async def read_all(self, table: str) -> Reply:
        await asyncio.sleep(0.05)
        return CallFailure('cut off')

    async def read_changes(self, table: str, since: int, wait_s: float) -> Reply:
        await asyncio.sleep(0.05)
        return CallFailure('cut off')

    async def commit(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> CommitSuccess | CommitConflict:
        raise PlatformError(Code.store_unavailable, 'cut off')


def test_no_request_begins_on_weights_that_are_replaced() -> None:
    async def body(site: DirectSite) -> None:
        for agent in site.agents:
            agent.tasks.failed.clear()
            await agent.stack.aclose()
        site.declare(2)
        known = site.entries[0].parts.entry_state
        await until(lambda: known.versions.oldest_allowed('m1', _now()) == 2)
        got = await ask(site.entries[0], '/draft/1')
        assert (got.status, runs(site.models)) == (503, 0)

    run(body, DirectSize(entries=1, models=1, plain=0), weights_s=1.5)


def _now() -> float:
    return asyncio.get_running_loop().time()


def test_agent_that_has_most_of_a_version_turns_to_a_newer_one() -> None:
    async def body(site: DirectSite) -> None:
        agent = site.agents[0]
        await until(lambda: all(one.parts.loader.report is not None for one in site.agents))
        for other in site.agents[1:]:
            await other.stack.aclose()
        name = WeightsId(2, 'm1')
        site.weights.publish(2, len(site.weights.chunks[1]))
        held = await agent.parts.repository.open_version(name)
        for index, chunk in enumerate(site.weights.chunks[2][:-1]):
            agent.parts.repository.cache.add_chunk(name, index, chunk)
        site.weights.chunks.pop(2)
        agent.parts.updater.record_declaration(name)
        await until(lambda: site.weights.missed[2] > 0)
        site.declare(3)
        await until(lambda: bool(site.models[0].engine and site.models[0].engine.version == 3))
        assert not held.complete

    run(body, DirectSize(entries=1, models=2, plain=0))
