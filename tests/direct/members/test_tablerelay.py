"""Tests that entries and agents read the store's tables from a reader instead of the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import dataclass, field, replace

import pytest
from direct_callers import run as run_site
from direct_callers import run_site_in_virtual_time, send_request

from cassiahitch.direct import agent as agent_module
from cassiahitch.direct.entrystate import EntryState
from cassiahitch.direct.members.tablerelay import (
    READER_COUNT,
    REPLY_TIMEOUT_S,
    RelayedState,
    TableRelay,
    choose_readers,
)
from cassiahitch.direct.staging.agentupdater import AgentStateUpdater
from cassiahitch.direct.state.feed import (
    LARGE_CHANGE_BYTES,
    CallFailure,
    Reply,
    TableChanges,
    TableFeed,
    TableRow,
    TableSnapshot,
)
from cassiahitch.direct.state.follower import RELAY_QUERY_INTERVAL_S, TableFollower
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.tablecache import MAX_REMOVED_ROWS, TableCache
from cassiahitch.direct.statelog import StateLog
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize
from cassiahitch.wire.datagrammessages import RowRecord, TableRows

TABLE = 'declarations'


@dataclass
class FakeStore:
    """A store with one table; counts the reads."""

    version: int = 5
    rows: tuple[TableRow, ...] = (TableRow('a', b'1', 5),)
    reads: int = 0
    down: bool = False
    since: list[int] = field(default_factory=list)

    async def read_all(self, table: str) -> Reply:
        self.reads += 1
        return TableSnapshot(self.rows, self.version)

    async def read_changes(self, table: str, since: int, wait_s: float) -> Reply:
        self.reads += 1
        self.since.append(since)
        await asyncio.sleep(0.01)
        if self.down:
            return CallFailure('unreachable')
        return TableChanges(tuple(row for row in self.rows if row.version > since), self.version)


@dataclass
class FakeRelay:
    """A relay to one reader whose replies are given by callables."""

    reply: Callable[[], RelayedState | None]
    rows: Callable[[int], TableRows | None] = lambda _: None
    queries: int = 0
    announced: list[str] = field(default_factory=list)

    def readers(self) -> tuple[str, ...]:
        return ('reader',)

    async def query(self, table: str) -> RelayedState | None:
        self.queries += 1
        return self.reply()

    async def start_readers(self) -> tuple[str, ...]:
        return ()

    async def read_rows(
        self, readers: tuple[str, ...], table: str, since: int, era: int
    ) -> TableRows | None:
        return self.rows(since)

    def announce(self, table: str, before: int | None, rows: tuple[TableRow, ...]) -> None:
        self.announced.append(table)


class OwnReads(FakeRelay):
    """The relay of an entry that reads the table for others."""

    def readers(self) -> tuple[str, ...]:
        return ()

    def subscribers(self) -> tuple[str, ...]:
        return ('entry', 'agent')


@dataclass
class FollowerRun:
    """A follower, and the rows and confirmation times that it passed on."""

    store: FakeStore
    relay: FakeRelay
    rows: list[TableRow] = field(default_factory=list)
    confirmed: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.follower = TableFollower(
            self.store,  # type: ignore[arg-type]
            TABLE,
            TableFeed(random.Random(1)),
            self.record_rows,
            StateLog(),
            0.01,
            self.relay,  # type: ignore[arg-type]
            2,
        )

    def record_rows(self, rows: tuple[TableRow, ...], reply: Reply, sent_at: float) -> None:
        self.rows.extend(rows)
        if not isinstance(reply, CallFailure):
            self.confirmed.append(sent_at)


def run(follower_run: FollowerRun, body: Callable[[], Awaitable[None]]) -> None:
    async def run_follower() -> None:
        with ExitStack() as stack:
            stack.callback(asyncio.create_task(follower_run.follower.work()).cancel)
            await body()

    asyncio.run(run_follower())


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


def test_entry_without_an_announced_change_does_not_call_the_store() -> None:
    relay = FakeRelay(lambda: RelayedState(9, 5, boot_time() - 1))
    follower_run = FollowerRun(FakeStore(), relay)

    async def body() -> None:
        await until(lambda: relay.queries == 3)

    run(follower_run, body)
    assert follower_run.store.reads == 1
    assert follower_run.follower.feed.synced_version == 9


def test_freshness_counts_from_when_the_reader_asked_the_store() -> None:
    relay = FakeRelay(lambda: RelayedState(9, 5, boot_time() - 1))
    follower_run = FollowerRun(FakeStore(), relay)

    async def body() -> None:
        await until(lambda: len(follower_run.confirmed) == 2)

    run(follower_run, body)
    assert follower_run.confirmed[1] <= boot_time() - 1


@pytest.mark.parametrize(
    'reply',
    [
        lambda: None,
        lambda: RelayedState(9, 5, boot_time() - 3),
        lambda: RelayedState(9, 7, boot_time()),
    ],
    ids=['no reader replies', 'the reader has not reached the store', 'the table has changed'],
)
def test_entry_calls_the_store_itself_if(reply: Callable[[], RelayedState | None]) -> None:
    follower_run = FollowerRun(FakeStore(), FakeRelay(reply))

    async def body() -> None:
        await until(lambda: follower_run.store.reads == 3)

    run(follower_run, body)


def test_announced_change_causes_a_read_at_once_and_is_announced_further() -> None:
    relay = FakeRelay(lambda: RelayedState(5, 5, boot_time()))
    follower_run = FollowerRun(FakeStore(), relay)

    async def body() -> None:
        await until(lambda: follower_run.store.reads == 1)
        follower_run.store.rows = (TableRow('a', b'2', 6),)
        follower_run.store.version = 6
        queries = relay.queries
        follower_run.follower.note_remote_change(6)
        await until(lambda: len(follower_run.rows) == 2)
        assert relay.queries == queries

    run(follower_run, body)
    assert relay.announced == [TABLE, TABLE]


CHANGED_STATE = RelayedState(9, 7, 0)
CHANGES = TableRows(
    TABLE, after=5, since=9, changed=7, age_ms=500, rows=(RowRecord('a', b'2', version=7),)
)


def relay_with(rows: TableRows | None) -> FakeRelay:
    return FakeRelay(lambda: replace(CHANGED_STATE, confirmed_at=boot_time()), lambda _: rows)


def test_rows_that_changed_come_from_the_reader_with_its_age() -> None:
    follower_run = FollowerRun(FakeStore(), relay_with(CHANGES))

    async def body() -> None:
        await until(lambda: len(follower_run.rows) == 2)

    run(follower_run, body)
    assert follower_run.store.reads == 1
    assert follower_run.rows[1] == TableRow('a', b'2', 7)
    assert follower_run.confirmed[1] <= boot_time() - 0.5
    assert follower_run.follower.feed.synced_version == 9


def test_rows_that_took_long_to_arrive_are_used_and_not_read_again_from_the_store() -> None:
    old_rows = replace(CHANGES, age_ms=2500)
    relay = FakeRelay(lambda: RelayedState(9, 7, boot_time() - 3), lambda _: old_rows)
    follower_run = FollowerRun(FakeStore(), relay)

    async def body() -> None:
        await until(lambda: len(follower_run.rows) == 2)
        assert follower_run.store.reads == 1
        # The reader has nothing newer, and still has not confirmed what it has.
        await until(lambda: follower_run.store.reads == 3)

    run(follower_run, body)
    assert follower_run.rows[1] == TableRow('a', b'2', 7)
    assert follower_run.confirmed[1] <= boot_time() - 2.5
    assert follower_run.store.since == [9, 9]


def test_complete_table_of_the_reader_shows_which_rows_were_removed() -> None:
    snapshot = replace(CHANGES, whole=True, rows=(RowRecord('b', b'1', version=7),))
    follower_run = FollowerRun(FakeStore(), relay_with(snapshot))

    async def body() -> None:
        await until(lambda: len(follower_run.rows) == 3)

    run(follower_run, body)
    assert follower_run.rows[1:] == [TableRow('a', None, 9), TableRow('b', b'1', 7)]
    assert follower_run.follower.cache.rows.keys() == {'b'}


@pytest.mark.parametrize(
    'rows',
    [None, replace(CHANGES, since=4, rows=())],
    ids=['the reader has none', 'the reader is behind'],
)
def test_entry_reads_the_rows_itself_if(rows: TableRows | None) -> None:
    follower_run = FollowerRun(FakeStore(), relay_with(rows))

    async def body() -> None:
        await until(lambda: follower_run.store.reads == 3)

    run(follower_run, body)


def test_small_change_is_announced_with_its_rows_and_confirms_nothing() -> None:
    relay = FakeRelay(lambda: RelayedState(9, 7, boot_time()))
    follower_run = FollowerRun(FakeStore(), relay)

    async def body() -> None:
        await until(lambda: follower_run.store.reads == 1)
        follower_run.follower.apply_pushed(CHANGES)
        assert follower_run.rows[1:] == [TableRow('a', b'2', 7)]
        assert follower_run.confirmed[1:] == [float('-inf')]
        queries = relay.queries
        await until(lambda: relay.queries == queries + 2)

    run(follower_run, body)
    assert follower_run.store.reads == 1


def test_announcement_after_a_lost_one_only_triggers_a_read() -> None:
    follower_run = FollowerRun(FakeStore(), relay_with(None))

    async def body() -> None:
        await until(lambda: follower_run.store.reads == 1)
        follower_run.follower.apply_pushed(replace(CHANGES, after=6))
        assert follower_run.rows == [TableRow('a', b'1', 5)]
        assert follower_run.follower.change_hint.is_set()

    run(follower_run, body)


def test_cache_returns_rows_and_removals_after_a_version_or_else_the_complete_table() -> None:
    cache = TableCache()
    cache.apply_rows((TableRow('a', b'1', 3), TableRow('b', b'1', 4)), TableSnapshot((), 5))
    cache.apply_rows((TableRow('a', None, 6), TableRow('c', b'1', 7)), TableChanges((), 7))
    assert cache.records_since(5) == (
        False,
        (RowRecord('a', b'', True, 6), RowRecord('c', b'1', False, 7)),
    )
    assert cache.records_since(6) == (False, (RowRecord('c', b'1', False, 7),))
    table = (RowRecord('b', b'1', False, 4), RowRecord('c', b'1', False, 7))
    assert cache.records_since(4) == (True, table)
    cache.apply_rows((TableRow('a', b'2', 8),), TableChanges((), 8))
    assert cache.records_since(7) == (False, (RowRecord('a', b'2', False, 8),))
    for number in range(MAX_REMOVED_ROWS + 1):
        cache.apply_rows(
            (TableRow(f'x{number}', None, 10 + number),), TableChanges((), 10 + number)
        )
    assert cache.records_since(9)[0]
    assert not cache.records_since(10)[0]


def test_entries_take_rows_from_their_reader_and_agents_from_an_entry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Until an entry has queried it, an agent waits for changes at the store itself.
    monkeypatch.setattr(agent_module, 'DECLARATION_WAIT_S', 0.1)

    async def body(site: DirectSite) -> None:
        for entry in site.entries:
            await send_request(entry, '/draft/1')
        await asyncio.sleep(1)
        rows_sent = site.store.rows_sent['op']
        routes = [{**route, 'timeoutMs': 4321} for route in site.configuration['routes']]
        site.update_configuration(routes=routes, padding='x' * 20_000)
        version = site.configuration['version']
        states: list[EntryState | AgentStateUpdater] = [
            entry.parts.entry_state for entry in site.entries
        ]
        states += [agent.parts.updater for agent in site.agents]

        def in_force() -> bool:
            return all(state.catalogue and state.catalogue.version == version for state in states)

        await until(in_force)
        # One reader for each of the two regions, instead of eight processes.
        assert site.store.rows_sent['op'] - rows_sent <= 2

    run_site_in_virtual_time(body, DirectSiteSize(entries=6, models=2, plain=1))


def test_processes_that_start_read_large_tables_from_an_entry_of_their_region() -> None:
    async def body(site: DirectSite) -> None:
        site.update_configuration(padding='x' * 20_000)
        version = site.configuration['version']
        running = [entry.parts.entry_state for entry in site.entries]
        await until(lambda: all(_version_of(state) == version for state in running))
        await asyncio.sleep(1)
        rows_sent = site.store.rows_sent['op']
        started = [await site.add_entry(2), await site.add_entry(3)]
        agent = await site.restart_agent(0)
        states: list[EntryState | AgentStateUpdater] = [
            *(entry.parts.entry_state for entry in started),
            agent.parts.updater,
        ]
        await until(lambda: all(_version_of(state) == version for state in states))
        assert site.store.rows_sent['op'] == rows_sent

    run_site_in_virtual_time(body, DirectSiteSize(entries=2, models=2, plain=1))


def _version_of(state: EntryState | AgentStateUpdater) -> int:
    return state.catalogue.version if state.catalogue else 0


def test_entry_that_cannot_reach_the_store_takes_freshness_from_a_reader() -> None:
    relay = FakeRelay(lambda: RelayedState(9, 5, boot_time()))
    follower_run = FollowerRun(FakeStore(), relay)

    async def body() -> None:
        await until(lambda: follower_run.store.reads == 1)
        follower_run.store.down = True
        await until(lambda: len(follower_run.confirmed) == 3)

    run(follower_run, body)


def test_entry_queries_a_reader_before_it_reads_a_large_table_again() -> None:
    relay = FakeRelay(lambda: RelayedState(6, 6, boot_time()))
    follower_run = FollowerRun(FakeStore(), relay)
    follower_run.follower.feed.large_change_interval_s = 0.1

    async def body() -> None:
        await until(lambda: follower_run.store.reads == 1)
        follower_run.store.rows = (TableRow('a', bytes(LARGE_CHANGE_BYTES), 6),)
        follower_run.store.version = 6
        follower_run.follower.note_remote_change(6)
        await until(lambda: len(follower_run.rows) == 2)
        assert follower_run.follower.feed.in_burst
        queries = relay.queries
        await until(lambda: relay.queries == queries + 2)

    run(follower_run, body)
    assert follower_run.store.reads == 2
    assert not follower_run.follower.feed.in_burst


@pytest.mark.parametrize(
    ('later', 'snapshots'), [([], 1), ([7], 2)], ids=['one change', 'continuous changes']
)
def test_reader_confirms_a_large_change_at_once_unless_the_row_changes_continuously(
    later: list[int], snapshots: int
) -> None:
    follower_run = FollowerRun(FakeStore(), OwnReads(lambda: None))
    follower_run.follower.feed.large_change_interval_s = 0.1
    store = follower_run.store

    def change(version: int) -> None:
        store.rows = (TableRow('a', bytes(LARGE_CHANGE_BYTES), version),)
        store.version = version

    async def body() -> None:
        await until(lambda: len(store.since) == 1)
        change(6)
        await until(lambda: 6 in store.since)
        for version in later:
            change(version)
        await until(lambda: len(store.since) >= 6 and store.since[-1] == store.version)

    run(follower_run, body)
    first = store.since.index(6)
    assert set(store.since[:first]) == {5}
    assert store.reads - len(store.since) == snapshots
    assert follower_run.follower.feed.synced_version == store.version


def test_all_entries_choose_the_same_few_readers_while_others_come_and_go() -> None:
    names = tuple(f'entry-{number}' for number in range(12))
    chosen = choose_readers(names)
    assert len(chosen) == READER_COUNT
    for name in set(names) - set(chosen):
        assert choose_readers(tuple(other for other in names if other != name)) == chosen


def test_state_of_a_silent_reader_expires_within_the_configured_bounds() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        bounds = entry.settings.bounds
        relay = TableRelay(tuple, tuple, entry.http_client)
        query_s = RELAY_QUERY_INTERVAL_S + READER_COUNT * REPLY_TIMEOUT_S
        declarations = entry.table_followers.make_declaration_follower(relay)
        replicas = entry.table_followers.make_replica_follower(relay)
        assert declarations.max_relayed_age_s + query_s < bounds.configuration_s * 0.75
        # Just before a reply of the store, a reader's state is as old as two waits and a pause.
        assert 2 * declarations.wait_s < declarations.max_relayed_age_s * 0.85
        assert 2 * replicas.wait_s + replicas.feed.interval_s < replicas.max_relayed_age_s * 0.85
        assert replicas.max_relayed_age_s + query_s < bounds.drain_s * 0.75

    run_site(body, DirectSiteSize(entries=1, models=1, plain=0), configuration_s=3, drain_s=3)
