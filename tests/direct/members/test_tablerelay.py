"""Tests of what entries learn of the store's tables from each other."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import dataclass, field, replace

import pytest
from direct_callers import ask, run_virtually
from direct_callers import run as run_site

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
    LARGE_BYTES,
    CallFailure,
    Reply,
    TableChanges,
    TableFeed,
    TableRow,
    TableSnapshot,
)
from cassiahitch.direct.state.follower import RELAY_S, TableFollower
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.tablecache import REMOVED, TableCache
from cassiahitch.direct.telemetry import StateLog
from cassiahitch.standins.directsite import DirectSite, DirectSize
from cassiahitch.wire.beats import RowRecord, TableRows

TABLE = 'declarations'


@dataclass
class FakeStore:
    """A table with a version; counts the reads."""

    version: int = 5
    rows: tuple[TableRow, ...] = (TableRow('a', b'1', 5),)
    reads: int = 0
    down: bool = False

    async def read_all(self, table: str) -> Reply:
        self.reads += 1
        return TableSnapshot(self.rows, self.version)

    async def read_changes(self, table: str, since: int, wait_s: float) -> Reply:
        self.reads += 1
        await asyncio.sleep(0.01)
        if self.down:
            return CallFailure('away')
        return TableChanges(tuple(row for row in self.rows if row.version > since), self.version)


@dataclass
class FakeRelay:
    """Gives the answers of a reader."""

    answer: Callable[[], RelayedState | None]
    rows: Callable[[int], TableRows | None] = lambda _: None
    asked: int = 0
    announced: list[str] = field(default_factory=list)

    def readers(self) -> tuple[str, ...]:
        return ('reader',)

    async def query(self, table: str) -> RelayedState | None:
        self.asked += 1
        return self.answer()

    async def read_rows(self, table: str, since: int) -> TableRows | None:
        return self.rows(since)

    def announce(self, table: str, before: int | None, rows: tuple[TableRow, ...]) -> None:
        self.announced.append(table)


@dataclass
class Following:
    """A follower with what it was told."""

    store: FakeStore
    relay: FakeRelay
    rows: list[TableRow] = field(default_factory=list)
    confirmed: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.follower = TableFollower(
            self.store,  # type: ignore[arg-type]
            TABLE,
            TableFeed(random.Random(1)),
            self.take,
            StateLog(),
            0.01,
            self.relay,  # type: ignore[arg-type]
            2,
        )

    def take(self, rows: tuple[TableRow, ...], reply: Reply, asked_at: float) -> None:
        self.rows.extend(rows)
        if not isinstance(reply, CallFailure):
            self.confirmed.append(asked_at)


def run(following: Following, body: Callable[[], Awaitable[None]]) -> None:
    async def whole() -> None:
        with ExitStack() as stack:
            stack.callback(asyncio.create_task(following.follower.work()).cancel)
            await body()

    asyncio.run(whole())


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


def test_entry_that_hears_of_no_change_does_not_call_the_store() -> None:
    relay = FakeRelay(lambda: RelayedState(9, 5, boot_time() - 1))
    following = Following(FakeStore(), relay)

    async def body() -> None:
        await until(lambda: relay.asked == 3)

    run(following, body)
    assert following.store.reads == 1
    assert following.follower.feed.since == 9


def test_freshness_counts_from_when_the_reader_asked_the_store() -> None:
    relay = FakeRelay(lambda: RelayedState(9, 5, boot_time() - 1))
    following = Following(FakeStore(), relay)

    async def body() -> None:
        await until(lambda: len(following.confirmed) == 2)

    run(following, body)
    assert following.confirmed[1] <= boot_time() - 1


@pytest.mark.parametrize(
    'answer',
    [
        lambda: None,
        lambda: RelayedState(9, 5, boot_time() - 3),
        lambda: RelayedState(9, 7, boot_time()),
    ],
    ids=['no reader answers', 'the reader has not reached the store', 'the table has changed'],
)
def test_entry_calls_the_store_itself_if(answer: Callable[[], RelayedState | None]) -> None:
    following = Following(FakeStore(), FakeRelay(answer))

    async def body() -> None:
        await until(lambda: following.store.reads == 3)

    run(following, body)


def test_news_of_a_change_leads_to_a_read_at_once_and_is_passed_on() -> None:
    relay = FakeRelay(lambda: RelayedState(5, 5, boot_time()))
    following = Following(FakeStore(), relay)

    async def body() -> None:
        await until(lambda: following.store.reads == 1)
        following.store.rows = (TableRow('a', b'2', 6),)
        following.store.version = 6
        asked = relay.asked
        following.follower.hint(6)
        await until(lambda: len(following.rows) == 2)
        assert relay.asked == asked

    run(following, body)
    assert relay.announced == [TABLE, TABLE]


CHANGED = RelayedState(9, 7, 0)
NEWS = TableRows(
    TABLE, after=5, since=9, changed=7, age_ms=500, rows=(RowRecord('a', b'2', version=7),)
)


def relay_with(rows: TableRows | None) -> FakeRelay:
    return FakeRelay(lambda: replace(CHANGED, confirmed_at=boot_time()), lambda _: rows)


def test_rows_that_changed_come_from_the_reader_with_its_age() -> None:
    following = Following(FakeStore(), relay_with(NEWS))

    async def body() -> None:
        await until(lambda: len(following.rows) == 2)

    run(following, body)
    assert following.store.reads == 1
    assert following.rows[1] == TableRow('a', b'2', 7)
    assert following.confirmed[1] <= boot_time() - 0.5
    assert following.follower.feed.since == 9


def test_whole_table_of_the_reader_tells_which_rows_vanished() -> None:
    whole = replace(NEWS, whole=True, rows=(RowRecord('b', b'1', version=7),))
    following = Following(FakeStore(), relay_with(whole))

    async def body() -> None:
        await until(lambda: len(following.rows) == 3)

    run(following, body)
    assert following.rows[1:] == [TableRow('a', None, 9), TableRow('b', b'1', 7)]
    assert following.follower.copy.rows.keys() == {'b'}


@pytest.mark.parametrize(
    'rows',
    [None, replace(NEWS, age_ms=2500), replace(NEWS, since=4, rows=())],
    ids=['the reader has none', 'they are old', 'the reader knows less'],
)
def test_entry_reads_the_rows_itself_if(rows: TableRows | None) -> None:
    following = Following(FakeStore(), relay_with(rows))

    async def body() -> None:
        await until(lambda: following.store.reads == 3)

    run(following, body)


def test_small_news_come_with_their_rows_and_confirm_nothing() -> None:
    relay = FakeRelay(lambda: RelayedState(9, 7, boot_time()))
    following = Following(FakeStore(), relay)

    async def body() -> None:
        await until(lambda: following.store.reads == 1)
        following.follower.pushed(NEWS)
        assert following.rows[1:] == [TableRow('a', b'2', 7)]
        assert following.confirmed[1:] == [float('-inf')]
        asked = relay.asked
        await until(lambda: relay.asked == asked + 2)

    run(following, body)
    assert following.store.reads == 1


def test_news_after_lost_ones_are_only_a_hint() -> None:
    following = Following(FakeStore(), relay_with(None))

    async def body() -> None:
        await until(lambda: following.store.reads == 1)
        following.follower.pushed(replace(NEWS, after=6))
        assert following.rows == [TableRow('a', b'1', 5)]
        assert following.follower.news.is_set()

    run(following, body)


def test_copy_gives_rows_and_removals_after_a_version_or_else_the_whole_table() -> None:
    copy = TableCache()
    copy.take((TableRow('a', b'1', 3), TableRow('b', b'1', 4)), TableSnapshot((), 5))
    copy.take((TableRow('a', None, 6), TableRow('c', b'1', 7)), TableChanges((), 7))
    assert copy.after(5) == (False, (RowRecord('a', b'', True, 6), RowRecord('c', b'1', False, 7)))
    assert copy.after(6) == (False, (RowRecord('c', b'1', False, 7),))
    whole = (RowRecord('b', b'1', False, 4), RowRecord('c', b'1', False, 7))
    assert copy.after(4) == (True, whole)
    copy.take((TableRow('a', b'2', 8),), TableChanges((), 8))
    assert copy.after(7) == (False, (RowRecord('a', b'2', False, 8),))
    for number in range(REMOVED + 1):
        copy.take((TableRow(f'x{number}', None, 10 + number),), TableChanges((), 10 + number))
    assert copy.after(9)[0]
    assert not copy.after(10)[0]


def test_entries_take_rows_from_their_reader_and_agents_from_an_entry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # An agent that nobody has asked yet waits for news at the store.
    monkeypatch.setattr(agent_module, 'DECLARATION_WAIT_S', 0.1)

    async def body(site: DirectSite) -> None:
        for entry in site.entries:
            await ask(entry, '/draft/1')
        await asyncio.sleep(1)
        sent = site.store.sent['op']
        routes = [{**one, 'timeoutMs': 4321} for one in site.configuration['routes']]
        site.change(routes=routes, padding='x' * 20_000)
        version = site.configuration['version']
        know: list[EntryState | AgentStateUpdater] = [one.parts.entry_state for one in site.entries]
        know += [agent.parts.beliefs for agent in site.agents]

        def in_force() -> bool:
            return all(one.catalogue and one.catalogue.version == version for one in know)

        await until(in_force)
        # One for each of the two regions, of eight processes.
        assert site.store.sent['op'] - sent <= 2

    run_virtually(body, DirectSize(entries=6, models=2, plain=1))


def test_entry_that_is_cut_off_from_the_store_takes_freshness_from_a_reader() -> None:
    relay = FakeRelay(lambda: RelayedState(9, 5, boot_time()))
    following = Following(FakeStore(), relay)

    async def body() -> None:
        await until(lambda: following.store.reads == 1)
        following.store.down = True
        await until(lambda: len(following.confirmed) == 3)

    run(following, body)


def test_entry_asks_a_reader_before_it_reads_a_large_table_again() -> None:
    relay = FakeRelay(lambda: RelayedState(6, 6, boot_time()))
    following = Following(FakeStore(), relay)
    following.follower.feed.news_interval_s = 0.1

    async def body() -> None:
        await until(lambda: following.store.reads == 1)
        following.store.rows = (TableRow('a', bytes(LARGE_BYTES), 6),)
        following.store.version = 6
        following.follower.hint(6)
        await until(lambda: len(following.rows) == 2)
        assert following.follower.feed.unsettled
        asked = relay.asked
        await until(lambda: relay.asked == asked + 2)

    run(following, body)
    assert following.store.reads == 2
    assert not following.follower.feed.unsettled


def test_all_entries_choose_the_same_few_readers_while_others_come_and_go() -> None:
    names = tuple(f'entry-{number}' for number in range(12))
    chosen = choose_readers(names)
    assert len(chosen) == READER_COUNT
    for name in set(names) - set(chosen):
        assert choose_readers(tuple(one for one in names if one != name)) == chosen


def test_knowledge_of_a_silent_reader_is_dropped_before_the_bounds_end() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        bounds = entry.settings.bounds
        relay = TableRelay(tuple, tuple, entry.caller)
        question_s = RELAY_S + READER_COUNT * REPLY_TIMEOUT_S
        declarations = entry.tables.declarations(relay)
        replicas = entry.tables.replicas(relay)
        assert declarations.relayed_age_s + question_s < bounds.configuration_s * 0.75
        # Just before an answer, the reader's last knowledge is as old as two waits and a pause.
        assert 2 * declarations.wait_s < declarations.relayed_age_s * 0.85
        assert 2 * replicas.wait_s + replicas.feed.interval_s < replicas.relayed_age_s * 0.85
        assert replicas.relayed_age_s + question_s < bounds.drain_s * 0.75

    run_site(body, DirectSize(entries=1, models=1, plain=0), configuration_s=3, drain_s=3)
